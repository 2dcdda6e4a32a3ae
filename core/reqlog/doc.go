// Package reqlog reads the log lines of all processes and reports what happened to one
// request: the lines of the request itself, and the lines without a request id that the
// processes that served it logged shortly before and while it ran.
//
// # Usage
//
//	r := reqlog.NewReader("8319dc9bab8933b6")
//	err := r.Read(file)
//	r.Report().Write(os.Stdout)
package reqlog
