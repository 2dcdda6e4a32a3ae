package conns

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Buffer sizes of a connection, in bytes.
const (
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	// inlineBody is the size of the largest body that is written before the response is
	// read. Larger bodies are written concurrently, since an upstream may respond early.
	inlineBody = 8 << 10
)

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	meter *meter
	br    *bufio.Reader // reads from meter
	uses  int
	// ids holds the hashes of the ids of the latest requests.
	ids [rememberedIDs]uint64
	// idleSince is when the last response ended. keepAlive is the idle timeout that the
	// upstream announced, or 0.
	idleSince time.Time
	keepAlive time.Duration
	// responding is set once the response to the current request has begun.
	responding atomic.Bool
}

// rememberedIDs is the number of requests whose responses may be repeated on a connection and
// are then told from the response to a later request with the same id.
const rememberedIDs = 16

// begin records that a request is sent on the connection.
func (c *conn) begin(id string) {
	c.ids[c.uses%rememberedIDs] = xxhash.Sum64String(id)
	c.uses++
}

// mayServe reports whether the response to a request can be told from a late copy of an earlier
// one: the request has an id, and no recent request on this connection had the same one.
func (c *conn) mayServe(id string) bool {
	return id != "" && !slices.Contains(c.ids[:], xxhash.Sum64String(id))
}

func newConn(c net.Conn) *conn {
	m := &meter{r: c}
	return &conn{Conn: c, meter: m, br: bufio.NewReaderSize(m, readBuffer)}
}

// cancelTimeout is how long an upstream may take to close its side of a connection
// after a request was canceled.
const cancelTimeout = 100 * time.Millisecond

// cancelOn cancels the request when ctx ends, which stops the upstream's work. If no
// response has begun, it closes only the write side: a byte that arrives before the upstream
// closes its side shows that the upstream had begun to respond.
func (c *conn) cancelOn(ctx context.Context) func() bool {
	c.responding.Store(false)
	return context.AfterFunc(ctx, func() {
		half, ok := c.Conn.(interface{ CloseWrite() error })
		if !ok || c.responding.Load() || half.CloseWrite() != nil {
			_ = c.Close()
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(cancelTimeout))
	})
}

// errNoResponse reports that the upstream closed the connection before it sent a byte.
var errNoResponse = errors.New("connection closed without a response")

// errNoID reports that a response on a connection that was in use before has no id. It may be a
// late copy of an earlier response.
var errNoID = errors.New("response without an id on a reused connection")

// reusable reports whether an idle connection is still open and has received no
// unsolicited bytes.
func (c *conn) reusable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = n < 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK))
		return true
	})
	return err == nil && open
}

// Request is a request to an upstream. Its target is sent byte for byte.
type Request struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the request id. A response that echoes another id in the header IDHeader
	// belongs to another request.
	ID       string
	IDHeader string
}

// writeHead writes the request line and the header.
func (r *Request) writeHead(w *bufio.Writer) error {
	for _, s := range []string{r.Method, " ", r.Target, " HTTP/1.1\r\nHost: ", r.Host, "\r\n"} {
		if _, err := w.WriteString(s); err != nil {
			return err
		}
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		if _, err := w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n"); err != nil {
			return err
		}
	}
	if err := r.Header.Write(w); err != nil {
		return err
	}
	_, err := w.WriteString("\r\n")
	return err
}

// write sends the request. A long body is written concurrently; the returned channel
// then gets the result, and otherwise is nil.
func (c *conn) write(r *Request) (<-chan error, error) {
	w := bufio.NewWriterSize(c, writeBuffer)
	if err := r.writeHead(w); err != nil {
		return nil, err
	}
	if len(r.Body) <= inlineBody {
		if _, err := w.Write(r.Body); err != nil {
			return nil, err
		}
		return nil, w.Flush()
	}
	done := make(chan error, 1)
	go func() {
		_, err := w.Write(r.Body)
		done <- errors.Join(err, w.Flush())
	}()
	return done, nil
}

// read reads the response to r. It skips interim responses and responses to earlier
// requests, up to maxBeforeResponse; stray is set if there was one of the latter.
func (c *conn) read(r *Request) (resp *http.Response, stray bool, err error) {
	c.meter.limit(maxBeforeResponse)
	defer c.meter.unlimit()
	if _, err := c.br.Peek(1); err == io.EOF {
		return nil, false, errNoResponse
	}
	for {
		resp, err = http.ReadResponse(c.br, &http.Request{Method: r.Method})
		if err != nil {
			return nil, stray, err
		}
		if err := checkStatus(resp); err != nil {
			return nil, stray, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		id := resp.Header.Get(r.IDHeader)
		if id == "" && c.uses > 1 {
			return nil, stray, errNoID
		}
		if id == "" || id == r.ID {
			return resp, stray, nil
		}
		stray = true
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, stray, err
		}
	}
}

// parseKeepAlive returns the idle timeout that an upstream announces, or 0.
func parseKeepAlive(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n > 0 {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}
