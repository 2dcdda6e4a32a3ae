package conns_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// longBody is more than what the sockets of both ends hold, so that it is still being written when
// the response arrives.
const longBody = 32 << 20

// startRaw starts an upstream that handles each connection once it has read the head of a request.
func startRaw(t *testing.T, handle func(c net.Conn, br *bufio.Reader)) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				br := bufio.NewReader(c)
				if _, err := http.ReadRequest(br); err == nil {
					handle(c, br)
				}
			}()
		}
	}()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// Guards against a response without a length, which was broken off while the upload was still being
// written, being taken for a complete one.
func TestUnframedResponseBeforeTheEndOfTheUpload(t *testing.T) {
	for name, c := range map[string]struct {
		end      func(c net.Conn, br *bufio.Reader)
		complete bool
	}{
		"reset": {end: func(c net.Conn, _ *bufio.Reader) { _ = c.(*net.TCPConn).SetLinger(0) }},
		// The upstream stops to send first, so that its part arrives before the reset.
		"half closed, then reset": {end: func(c net.Conn, _ *bufio.Reader) {
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(50 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}},
		"closed with unread bytes": {end: func(net.Conn, *bufio.Reader) {}},
		"the upload is read first": {complete: true, end: func(_ net.Conn, br *bufio.Reader) { _, _ = io.CopyN(io.Discard, br, longBody) }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := startRaw(t, func(conn net.Conn, br *bufio.Reader) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\npart of the body")
				c.end(conn, br)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			r := request("r1")
			r.Body = []byte(strings.Repeat("x", longBody))
			resp, err := newPool(t).Send(ctx, addr, r)
			if err != nil {
				is.True(!c.complete)
				return
			}
			defer resp.Close()
			_, err = io.ReadAll(resp.Body)
			is.Equal(err == nil, c.complete)
		})
	}
}

// Guards against a status that is none being passed on as a response.
func TestStatusOutsideTheProtocol(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999", "2x0", "-20", "+20", "20", "2000"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			addr := startRaw(t, func(c net.Conn, _ *bufio.Reader) {
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Odd\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok")
			})
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			resp, err := newPool(t).Send(ctx, addr, request("r1"))
			if err == nil {
				resp.Close()
			}
			is.True(err != nil)
			is.NoErr(ctx.Err()) // at once, not at the deadline
		})
	}
}
