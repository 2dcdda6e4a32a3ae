package conns_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"dotterelgap/io/conns"

	"github.com/matryer/is"
)

// upstream serves each connection by a script, with one step per request.
type upstream struct {
	addr netip.AddrPort
	// received gets the ids of the requests that were read.
	received chan string
}

// step responds to one request; the connection is closed if it returns false.
type step func(c net.Conn, id string) bool

func start(t *testing.T, steps ...step) *upstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	u := &upstream{addr: ln.Addr().(*net.TCPAddr).AddrPort(), received: make(chan string, 64)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go u.serve(c, steps)
		}
	}()
	return u
}

func (u *upstream) serve(c net.Conn, steps []step) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for _, s := range steps {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		u.received <- r.Header.Get("X-Id")
		if !s(c, r.Header.Get("X-Id")) {
			return
		}
	}
	_, _ = io.Copy(io.Discard, br)
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func respond(c net.Conn, id string) bool {
	_, err := io.WriteString(c, response(id, "body of "+id))
	return err == nil
}

func request(id string) *conns.Request {
	h := http.Header{}
	h.Set("X-Id", id)
	return &conns.Request{Method: "POST", Target: "/a//b?x=%2F", Host: "h.example", Header: h, ID: id, IDHeader: "X-Id"}
}

func send(t *testing.T, p *conns.Pool, u *upstream, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := p.Send(ctx, u.addr, request(id))
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a.Body)
	return string(body), err
}

func newPool(t *testing.T) *conns.Pool {
	p := conns.NewPool(conns.DefaultOptions())
	t.Cleanup(func() { _ = p.Close() })
	return p
}

func TestConnectionIsReused(t *testing.T) {
	is := is.New(t)
	p, u := newPool(t), start(t, respond, respond, respond)
	for i := range 3 {
		id := fmt.Sprint("r", i)
		body, err := send(t, p, u, id)
		is.NoErr(err)
		is.Equal(body, "body of "+id)
	}
	is.Equal(p.Dialed(), uint64(1))
}

// A response to another request is skipped, and the connection is not reused.
func TestStrayResponse(t *testing.T) {
	is := is.New(t)
	stray := func(c net.Conn, id string) bool {
		_, err := io.WriteString(c, response("other", "not yours")+response(id, "yours"))
		return err == nil
	}
	p, u := newPool(t), start(t, stray)
	for range 2 {
		body, err := send(t, p, u, "r1")
		is.NoErr(err)
		is.Equal(body, "yours")
	}
	is.Equal(p.Dialed(), uint64(2))
}

// A connection on which bytes follow a complete response is closed.
func TestExtraBytes(t *testing.T) {
	is := is.New(t)
	extra := func(c net.Conn, id string) bool {
		_, err := io.WriteString(c, response(id, "yours")+response(id, "again"))
		return err == nil
	}
	p, u := newPool(t), start(t, extra, extra)
	for i := range 3 {
		body, err := send(t, p, u, fmt.Sprint("r", i))
		is.NoErr(err)
		is.Equal(body, "yours")
	}
	is.Equal(p.Dialed(), uint64(3))
}

// An incomplete response is an error, never a shorter response.
func TestIncompleteResponses(t *testing.T) {
	for name, text := range map[string]string{
		"truncated body":                     "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 10\r\n\r\nhalf",
		"truncated chunk":                    "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal",
		"no last chunk":                      "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"not HTTP":                           "what is this\r\n\r\n",
		"truncated head":                     "HTTP/1.1 200 OK\r\nX-Id: r",
		"closed without a response":          "",
		"only a response to another request": "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n",
		"only an interim response":           "HTTP/1.1 100 Continue\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPool(t)
			u := start(t, func(c net.Conn, _ string) bool {
				_, _ = io.WriteString(c, text)
				return false
			})
			_, err := send(t, p, u, "r1")
			is.True(err != nil)
			var notSent *conns.NotSentError
			is.True(!errors.As(err, &notSent)) // the upstream may have run it
			is.Equal(<-u.received, "r1")
			is.Equal(len(u.received), 0) // it was sent only once
		})
	}
}

// A body without a length ends when the connection closes; it is incomplete if the
// connection is reset.
func TestUnframedResponse(t *testing.T) {
	is := is.New(t)
	head := "HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nall of it"
	p := newPool(t)
	u := start(t, func(c net.Conn, _ string) bool { _, _ = io.WriteString(c, head); return false })
	body, err := send(t, p, u, "r1")
	is.NoErr(err)
	is.Equal(body, "all of it")

	u = start(t, func(c net.Conn, _ string) bool {
		_, _ = io.WriteString(c, head)
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	})
	_, err = send(t, p, u, "r1")
	is.True(err != nil)
}

// A connection that the upstream closed while it was idle is not reused.
func TestClosedWhileIdle(t *testing.T) {
	is := is.New(t)
	p := newPool(t)
	closed := make(chan struct{}, 128)
	u := start(t, func(c net.Conn, id string) bool {
		respond(c, id)
		_ = c.Close()
		closed <- struct{}{}
		return false
	})
	_, err := send(t, p, u, "r1")
	is.NoErr(err)
	<-closed
	for range 100 { // the kernel reports the close after a delay
		if _, err = send(t, p, u, "r2"); err == nil {
			break
		}
	}
	is.NoErr(err)
	is.Equal(p.Dialed(), uint64(2))
}

// A connection is not reused after "Connection: close", whatever its Keep-Alive header says.
func TestCloseOverridesKeepAlive(t *testing.T) {
	is := is.New(t)
	p := newPool(t)
	short := func(c net.Conn, id string) bool {
		_, err := io.WriteString(c, strings.Replace(response(id, "x"), "\r\n", "\r\nKeep-Alive: timeout=1, max=9\r\nConnection: close\r\n", 1))
		return err == nil
	}
	u := start(t, short, short)
	for range 2 {
		_, err := send(t, p, u, "r1")
		is.NoErr(err)
	}
	is.Equal(p.Dialed(), uint64(2)) // "Connection: close"
}

// Canceling a request closes its connection, which stops the upstream's work.
func TestCancelCloses(t *testing.T) {
	is := is.New(t)
	p := newPool(t)
	stopped := make(chan struct{})
	u := start(t, func(c net.Conn, _ string) bool {
		_, _ = c.Read(make([]byte, 1))
		close(stopped)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-u.received; cancel() }()
	_, err := p.Send(ctx, u.addr, request("r1"))
	var lost *conns.LostError
	is.True(errors.As(err, &lost))
	<-stopped
}

// A request whose connection is refused is not sent.
func TestRefusedIsNotSent(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().(*net.TCPAddr).AddrPort()
	is.NoErr(ln.Close())
	_, err = newPool(t).Send(context.Background(), addr, request("r1"))
	var notSent *conns.NotSentError
	is.True(errors.As(err, &notSent))
}

// The target is sent byte for byte, and an early response is read while a long body is
// still being written; the connection is then not reused.
func TestEarlyResponseToLongBody(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	line := make(chan string, 2)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				br := bufio.NewReader(c)
				first, _ := br.ReadString('\n')
				line <- first
				_, _ = io.WriteString(c, response("r1", "early"))
				// The rest of the body is never read.
			}()
		}
	}()
	p := newPool(t)
	r := request("r1")
	r.Body = make([]byte, 64<<20)
	for range 2 {
		a, err := p.Send(context.Background(), ln.Addr().(*net.TCPAddr).AddrPort(), r)
		is.NoErr(err)
		body, err := io.ReadAll(a.Body)
		is.NoErr(err)
		is.Equal(string(body), "early")
		a.Close()
		is.Equal(<-line, "POST /a//b?x=%2F HTTP/1.1\r\n")
	}
	is.Equal(p.Dialed(), uint64(2))
}

// LostError.Declined is set only if the upstream closes its side of the connection after a
// request was canceled, without having sent a byte.
func TestCanceled(t *testing.T) {
	waitForClose := func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }
	for name, s := range map[string]struct {
		step     step
		declined bool
	}{
		"closes its side without sending a byte": {func(c net.Conn, _ string) bool { waitForClose(c); return false }, true},
		"had begun its response": {func(c net.Conn, id string) bool {
			waitForClose(c)
			_, _ = io.WriteString(c, response(id, "x")[:9])
			return false
		}, false},
		"does not close its side": {func(c net.Conn, _ string) bool {
			waitForClose(c)
			waitForClose(c)
			time.Sleep(time.Second)
			return false
		}, false},
		"resets the connection": {func(c net.Conn, _ string) bool {
			waitForClose(c)
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := start(t, s.step)
			p := conns.NewPool(conns.DefaultOptions())
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				<-u.received
				cancel()
			}()
			_, err := p.Send(ctx, u.addr, request("r1"))
			var lost *conns.LostError
			is.True(errors.As(err, &lost))
			is.Equal(lost.Declined, s.declined)
			is.True(errors.Is(err, context.Canceled))
			is.Equal(p.Open(u.addr), 0)
		})
	}
}
