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

// upstream answers on each connection by a script: one step a request.
type upstream struct {
	addr netip.AddrPort
	// got receives the requests' ids as they were read.
	got chan string
}

// step answers one request on its connection; false closes the connection.
type step func(c net.Conn, id string) bool

func start(t *testing.T, steps ...step) *upstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	u := &upstream{addr: ln.Addr().(*net.TCPAddr).AddrPort(), got: make(chan string, 64)}
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
		u.got <- r.Header.Get("X-Id")
		if !s(c, r.Header.Get("X-Id")) {
			return
		}
	}
	_, _ = io.Copy(io.Discard, br)
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func good(c net.Conn, id string) bool {
	_, err := io.WriteString(c, answer(id, "body of "+id))
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

func TestConnectionIsUsedAgain(t *testing.T) {
	is := is.New(t)
	p, u := newPool(t), start(t, good, good, good)
	for i := range 3 {
		id := fmt.Sprint("r", i)
		body, err := send(t, p, u, id)
		is.NoErr(err)
		is.Equal(body, "body of "+id)
	}
	is.Equal(p.Dialed(), uint64(1))
}

// An answer to an earlier request is passed over, and the connection is not used
// again.
func TestStrayAnswer(t *testing.T) {
	is := is.New(t)
	stray := func(c net.Conn, id string) bool {
		_, err := io.WriteString(c, answer("other", "not yours")+answer(id, "yours"))
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

// Bytes that follow a whole answer are nobody's: the connection is dropped.
func TestExtraBytes(t *testing.T) {
	is := is.New(t)
	extra := func(c net.Conn, id string) bool {
		_, err := io.WriteString(c, answer(id, "yours")+answer(id, "again"))
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

// Answers that are not whole are errors, never short answers.
func TestBrokenAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"cut in the body":            "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 10\r\n\r\nhalf",
		"cut in a chunk":             "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal",
		"no last chunk":              "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"bytes that are no answer":   "what is this\r\n\r\n",
		"cut in the head":            "HTTP/1.1 200 OK\r\nX-Id: r",
		"closed without an answer":   "",
		"only another one's answer":  "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n",
		"an interim answer, no more": "HTTP/1.1 100 Continue\r\n\r\n",
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
			is.True(!errors.As(err, &notSent)) // it may have run
			is.Equal(<-u.got, "r1")
			is.Equal(len(u.got), 0) // and was sent once only
		})
	}
}

// A body without length ends with its connection; if that is reset, it is not
// whole.
func TestUnframedAnswer(t *testing.T) {
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

// A connection that the upstream closed while idle is not used.
func TestClosedWhileIdle(t *testing.T) {
	is := is.New(t)
	p := newPool(t)
	closed := make(chan struct{}, 128)
	u := start(t, func(c net.Conn, id string) bool {
		good(c, id)
		_ = c.Close()
		closed <- struct{}{}
		return false
	})
	_, err := send(t, p, u, "r1")
	is.NoErr(err)
	<-closed
	for range 100 { // the close arrives by the kernel
		if _, err = send(t, p, u, "r2"); err == nil {
			break
		}
	}
	is.NoErr(err)
	is.Equal(p.Dialed(), uint64(2))
}

// An upstream that says how long it keeps idle connections is believed.
func TestKeepAliveIsKeptTo(t *testing.T) {
	is := is.New(t)
	p := newPool(t)
	short := func(c net.Conn, id string) bool {
		_, err := io.WriteString(c, strings.Replace(answer(id, "x"), "\r\n", "\r\nKeep-Alive: timeout=1, max=9\r\nConnection: close\r\n", 1))
		return err == nil
	}
	u := start(t, short, short)
	for range 2 {
		_, err := send(t, p, u, "r1")
		is.NoErr(err)
	}
	is.Equal(p.Dialed(), uint64(2)) // "Connection: close"
}

// A request that ends early stops the upstream's work: its connection closes.
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
	go func() { <-u.got; cancel() }()
	_, err := p.Send(ctx, u.addr, request("r1"))
	var lost *conns.LostError
	is.True(errors.As(err, &lost))
	<-stopped
}

// Nothing is sent where nobody listens.
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

// The target goes out byte for byte, and a long body is written while an early
// answer is read; the connection is then not used again.
func TestEarlyAnswerToLongBody(t *testing.T) {
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
				_, _ = io.WriteString(c, answer("r1", "early"))
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

// What an upstream does after a request was withdrawn tells whether its answer had
// begun.
func TestWithdrawn(t *testing.T) {
	waitForClose := func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }
	for name, s := range map[string]struct {
		step     step
		declined bool
	}{
		"closes its side without a byte": {func(c net.Conn, _ string) bool { waitForClose(c); return false }, true},
		"had begun its answer": {func(c net.Conn, id string) bool {
			waitForClose(c)
			_, _ = io.WriteString(c, answer(id, "x")[:9])
			return false
		}, false},
		"does not close": {func(c net.Conn, _ string) bool {
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
				<-u.got
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
