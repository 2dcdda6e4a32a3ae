package agent

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
	"dotterelgap/core/runs"
	"dotterelgap/io/wire"

	"github.com/matryer/is"
)

// runOnce calls an upstream that handles the connection after the head of the request, with a body of
// this size, and returns the response.
func runOnce(t *testing.T, size int, handle func(c *net.TCPConn, br *bufio.Reader)) (*response, error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		br := bufio.NewReader(c)
		if _, err := http.ReadRequest(br); err == nil {
			handle(c.(*net.TCPConn), br)
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	a := &Agent{
		deps: Deps{Upstream: &url.URL{Scheme: "http", Host: ln.Addr().String()}}, singleUseClient: &http.Client{Transport: newTransport(true)},
	}
	a.meter = escrow.NewMeter(fleet.NodeID("agent-1"), 0)
	a.runs = runs.New(a.meter, runs.DefaultLimits())
	res := newResponse(cancel)
	c := &call{agent: a, response: res, dispatch: wire.Dispatch{Request: wire.Request{
		Method: http.MethodPost, Path: "/orders", Body: []byte(strings.Repeat("x", size)),
	}}}
	err = c.do(ctx)
	return res, err
}

// Guards against a response without a length, which was broken off while the upload was still being
// written, being taken for a complete one.
func TestUnframedResponseBeforeTheEndOfTheUpload(t *testing.T) {
	const longBody = 32 << 20 // more than the sockets of both ends hold
	for name, c := range map[string]struct {
		readFirst, complete bool
	}{"closed with unread bytes": {}, "the upload is read first": {true, true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := runOnce(t, longBody, func(conn *net.TCPConn, br *bufio.Reader) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart of the body")
				if c.readFirst {
					_, _ = io.CopyN(io.Discard, br, longBody)
				}
			})
			is.Equal(err == nil, c.complete)
		})
	}
}

// Guards against a status that is none being passed on, at which the entry's server would panic.
func TestStatusOutsideTheProtocol(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			res, err := runOnce(t, 4, func(conn *net.TCPConn, _ *bufio.Reader) {
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 2\r\n\r\nok")
			})
			is.True(err != nil)
			is.Equal(res.head, nil)
		})
	}
}
