package conns

import (
	"io"
	"net/http"
	"net/netip"
	"sync"
)

// Response is an upstream's response. The caller reads its body and closes it.
type Response struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only if the response is complete.
	Body io.Reader
	// Length is the length of the body, or -1 if it is unknown.
	Length int64
	// Framed is set if the body has a length or chunks. Otherwise it ends with its
	// connection, and may have been broken off.
	Framed bool
	// Reused is set if the connection had served another request before.
	Reused bool

	pool *Pool
	addr netip.AddrPort
	conn *conn
	resp *http.Response
	// wrote gets the result of writing a long body of the request; nil for others.
	wrote <-chan error
	// writeErr is the result of writing a long body, once it is known.
	writeErr error
	// stop detaches the connection from the request's context. It returns false if the
	// request was canceled.
	stop func() bool
	// clean is false if a stray response preceded this one.
	clean    bool
	complete bool
	once     sync.Once
}

// bodyReader records whether the body was read to its end.
type bodyReader struct {
	r *Response
}

func (b bodyReader) Read(p []byte) (int, error) {
	n, err := b.r.resp.Body.Read(p)
	if err != io.EOF {
		return n, err
	}
	if !b.r.Framed && !b.r.uploaded() {
		return n, io.ErrUnexpectedEOF
	}
	b.r.complete = true
	return n, io.EOF
}

// uploaded waits until the body of the request has been written and reports whether all of it was. A
// reset that the writer has met is not reported to the reader again, for which the connection then
// ends as if the upstream had closed it. The wait ends with the request's context at the latest.
func (r *Response) uploaded() bool {
	if r.wrote == nil {
		return true
	}
	err := <-r.wrote
	r.wrote = nil
	r.writeErr = err
	return err == nil
}

// Close ends the exchange. The connection is reused only if the whole response was
// read and the whole request was written.
func (r *Response) Close() {
	r.once.Do(r.close)
}

func (r *Response) close() {
	canceled := !r.stop()
	if canceled || !r.complete || !r.clean || r.resp.Close || !r.written() {
		_ = r.conn.Close()
		r.pool.closed(r.addr)
		return
	}
	r.pool.put(r.addr, r.conn)
}

// written reports whether the whole body of the request was written.
func (r *Response) written() bool {
	if r.wrote == nil {
		return r.writeErr == nil
	}
	select {
	case err := <-r.wrote:
		return err == nil
	default:
		return false
	}
}
