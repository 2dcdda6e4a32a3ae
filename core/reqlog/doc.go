// Package reqlog reads the processes' log lines and puts together what happened to
// one request: its own lines, and what the processes that served it came to believe
// shortly before and while it ran.
//
// # Usage
//
//	r := reqlog.NewReader("8319dc9bab8933b6")
//	err := r.Read(file)
//	r.Report().Write(os.Stdout)
package reqlog
