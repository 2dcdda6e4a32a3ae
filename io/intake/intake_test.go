package intake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The limits of the server under test.
const (
	testHead    = 1 << 10
	testTimeout = 200 * time.Millisecond
	testIdle    = 300 * time.Millisecond
	testBody    = 1 << 20
)

// startServer serves requests whose bodies are read through the gate, and returns its address.
func startServer(t *testing.T, g *Gate) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	head := func() (int, time.Duration, time.Duration) { return testHead, testTimeout, testIdle }
	cs := NewConns(Limits{Head: head}, g)
	s := &http.Server{
		ConnContext: cs.OnConnect, ConnState: cs.OnState, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, MaxHeaderBytes: 1 << 30,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := g.Read(w, r, testBody, time.Now().Add(5*time.Second))
			if err != nil {
				respondError(w, r, statusOf(err), err.Error())
				return
			}
			defer body.Close()
			_, _ = fmt.Fprint(w, len(body.Data))
		}),
	}
	go func() { _ = s.Serve(cs.Listen(ln)) }()
	t.Cleanup(func() { _ = s.Close() })
	return ln.Addr().String()
}

type client struct {
	net.Conn
	br *bufio.Reader
}

func dial(t *testing.T, addr, text string) *client {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.WriteString(c, text)
	return &client{c, bufio.NewReader(c)}
}

// status returns the status of the next response and whether the connection is closed after it.
func (c *client) status() (int, bool, error) {
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return 0, false, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close, err
}

const post = "POST / HTTP/1.1\r\nHost: a\r\n"

// TestBodies checks how uploads end.
func TestBodies(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		status int
		closed bool
	}{
		"length":              {post + "Content-Length: 4\r\n\r\nbody", 200, false},
		"chunks":              {post + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2;x=y\r\ndy\r\n0\r\n\r\n", 200, false},
		"expects continue":    {post + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\nbody", 100, false},
		"body of a GET":       {"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody", 200, false},
		"HTTP/1.0":            {"POST / HTTP/1.0\r\nContent-Length: 4\r\n\r\nbody", 200, true},
		"stops":               {post + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n", 408, true},
		"does not begin":      {post + "Content-Length: 4\r\n\r\n", 408, true},
		"announced too large": {post + "Content-Length: 2000000\r\n\r\n", 413, true},
		"too large":           {post + "Transfer-Encoding: chunked\r\n\r\n200000\r\n" + strings.Repeat("x", 2<<20), 413, true},
		"malformed chunk":     {post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400, true},
		"head over the limit": {post + strings.Repeat("A: b\r\n", (testHead+2*headSlack)/6) + "\r\n", 431, true},
		"head within":         {post + "A: " + strings.Repeat("b", testHead/2) + "\r\nContent-Length: 0\r\n\r\n", 200, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			status, closed, err := dial(t, startServer(t, NewGate(Options{Idle: testIdle})), c.text).status()
			is.NoErr(err)
			is.Equal(status, c.status)
			is.Equal(closed, c.closed)
		})
	}
}

// TestConnectionsEnd checks that heads and idle connections end by the limits of the policy.
func TestConnectionsEnd(t *testing.T) {
	for name, text := range map[string]string{
		"idle from the start": "", "head without end": post, "idle after a request": post + "Content-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := dial(t, startServer(t, NewGate(Options{})), text)
			_, err := io.ReadAll(c.br)
			var timeout net.Error
			is.True(!errors.As(err, &timeout) || !timeout.Timeout()) // closed before the client's own deadline
		})
	}
}

// TestUploadYields checks that an upload that stopped yields its memory to another one.
func TestUploadYields(t *testing.T) {
	is := is.New(t)
	g := NewGate(Options{Memory: testBody, Idle: 8 * time.Second})
	addr := startServer(t, g)
	stopped := dial(t, addr, post+fmt.Sprintf("Content-Length: %d\r\n\r\nbo", testBody-100))
	time.Sleep(1200 * time.Millisecond) // longer than upload.Grace
	next := dial(t, addr, post+"Content-Length: 4096\r\n\r\n"+strings.Repeat("x", 4096))
	status, _, err := next.status()
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	status, closed, err := stopped.status()
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(closed)
	g.mu.Lock()
	defer g.mu.Unlock()
	is.True(g.meter.Used() <= testBody)
}
