package conns

import (
	"io"
	"net/http"
	"net/netip"
	"sync"
)

// Response is an upstream's answer whose body is read by the caller.
type Response struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only if the answer is whole.
	Body io.Reader
	// Length is the body's length, or -1 if it is not known beforehand.
	Length int64
	// Reused is set where the connection had served another request before.
	Reused bool

	pool  *Pool
	addr  netip.AddrPort
	conn  *conn
	resp  *http.Response
	wrote <-chan error
	stop  func() bool
	clean bool
	whole bool
	once  sync.Once
}

// bodyReader notes whether the body was read to its end.
type bodyReader struct {
	a *Response
}

func (b bodyReader) Read(p []byte) (int, error) {
	n, err := b.a.resp.Body.Read(p)
	if err == io.EOF {
		b.a.whole = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept only if the whole answer was
// read and the whole request written.
func (a *Response) Close() {
	a.once.Do(a.close)
}

func (a *Response) close() {
	canceled := !a.stop()
	if canceled || !a.whole || !a.clean || a.resp.Close || !a.written() {
		_ = a.conn.Close()
		a.pool.closed(a.addr)
		return
	}
	a.pool.put(a.addr, a.conn)
}

// written tells whether the request's body has gone out in full.
func (a *Response) written() bool {
	if a.wrote == nil {
		return true
	}
	select {
	case err := <-a.wrote:
		return err == nil
	default:
		return false
	}
}
