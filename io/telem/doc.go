// Package telem sets up logs, metrics and traces for a process.
//
// # Usage
//
//	t, err := telem.Start(telem.Settings{LogLevel: "info", LogFormat: "console"}, "entry")
//	defer t.Close()
//	t.Log.Info("entry: ready")
//	http.Handle("/metrics", t.Metrics())
package telem
