package conns

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Buffer sizes of a connection.
const (
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	// inlineBody is the longest body that is written before the answer is read.
	// Longer ones are written beside it, since an upstream may answer early.
	inlineBody = 8 << 10
)

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	br   *bufio.Reader
	uses int
	// idleSince is when the latest answer ended; keepAlive is how long the
	// upstream said it keeps idle connections, or 0.
	idleSince time.Time
	keepAlive time.Duration
	// answered is set once the answer in progress has begun.
	answered atomic.Bool
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, br: bufio.NewReaderSize(c, readBuffer)}
}

// withdrawTime is how long an upstream may take to close its side of a connection
// after a request was withdrawn.
const withdrawTime = 100 * time.Millisecond

// withdrawOn withdraws the request when ctx ends, which stops the upstream's work.
// While no answer has begun only this side is closed: what comes until the other
// side closes too tells whether one had.
func (c *conn) withdrawOn(ctx context.Context) func() bool {
	c.answered.Store(false)
	return context.AfterFunc(ctx, func() {
		half, ok := c.Conn.(interface{ CloseWrite() error })
		if !ok || c.answered.Load() || half.CloseWrite() != nil {
			_ = c.Close()
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(withdrawTime))
	})
}

// errNoByte says that the other side closed the connection before it sent a byte.
var errNoByte = errors.New("closed without an answer")

// quiet tells whether an idle connection is still open and nothing has arrived
// on it that nobody asked for.
func (c *conn) quiet() bool {
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

// Request is what is sent to an upstream. The target goes out byte for byte.
type Request struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the request id that the answer must echo, by the header named IDHeader.
	ID       string
	IDHeader string
}

// head writes the request line and the header.
func (r *Request) head(w *bufio.Writer) error {
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

// write sends the request. The returned channel, if not nil, gets the outcome of
// writing a long body.
func (c *conn) write(r *Request) (<-chan error, error) {
	w := bufio.NewWriterSize(c, writeBuffer)
	if err := r.head(w); err != nil {
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

// read reads the answer to r, passing over interim answers and answers to
// earlier requests. stray is set if there was one of the latter.
func (c *conn) read(r *Request) (resp *http.Response, stray bool, err error) {
	if _, err := c.br.Peek(1); err == io.EOF {
		return nil, false, errNoByte
	}
	for {
		resp, err = http.ReadResponse(c.br, &http.Request{Method: r.Method})
		if err != nil {
			return nil, stray, err
		}
		if resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		id := resp.Header.Get(r.IDHeader)
		if id == "" || id == r.ID {
			return resp, stray, nil
		}
		stray = true
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, stray, err
		}
	}
}

// keepAliveOf reads the time that an upstream keeps idle connections.
func keepAliveOf(h http.Header) time.Duration {
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
