package conns_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Limits of what an upstream sends in these tests, in bytes.
const (
	// socketBuffers is what the sockets of both ends may hold.
	socketBuffers = 16 << 20
	endlessMost   = 64 << 20
	bodyRead      = 1 << 20
)

// endless returns a step that sends begin and then the repeated text until the connection
// is closed. sent gets the number of bytes.
func endless(begin, repeated string, sent chan<- int) step {
	return func(c net.Conn, _ string) bool {
		n, _ := io.WriteString(c, begin)
		block := strings.Repeat(repeated, 1+4096/len(repeated))
		for n < endlessMost {
			m, err := io.WriteString(c, block)
			n += m
			if err != nil {
				break
			}
		}
		sent <- n
		return false
	}
}

// Guards against an upstream that sends bytes without end before its response filling the
// memory or holding the request until its deadline.
func TestEndlessHead(t *testing.T) {
	for name, c := range map[string]struct{ begin, repeated string }{
		"no response":        {"", "x"},
		"status line":        {"HTTP/1.1 200 ", "x"},
		"header":             {"HTTP/1.1 200 OK\r\nX-A: ", "x"},
		"headers":            {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		"interim responses":  {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		"stray responses":    {"", response("other", "body")},
		"one stray response": {"HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sent := make(chan int, 1)
			u := start(t, endless(c.begin, c.repeated, sent))
			p := newPool(t)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := p.Send(ctx, u.addr, request("r1"))
			is.True(err != nil)
			is.NoErr(ctx.Err()) // long before the deadline
			n := <-sent
			t.Logf("%d bytes", n)
			is.True(n <= socketBuffers)
			is.Equal(p.Open(u.addr), 0)
		})
	}
}

// Guards against a body without end being read after its request has ended.
func TestEndlessBodyEndsWithItsRequest(t *testing.T) {
	is := is.New(t)
	sent := make(chan int, 1)
	u := start(t, endless("HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\n", "x", sent))
	p := newPool(t)
	resp, err := p.Send(t.Context(), u.addr, request("r1"))
	is.NoErr(err)
	_, err = io.CopyN(io.Discard, resp.Body, bodyRead)
	is.NoErr(err)
	resp.Close()
	is.True(<-sent <= socketBuffers+bodyRead)
	is.Equal(p.Open(u.addr), 0)
}
