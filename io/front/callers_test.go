package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dotterelgap/io/front"

	"github.com/matryer/is"
)

// caller is a connection of a caller.
type caller struct {
	net.Conn
	br *bufio.Reader
}

func dialFront(t *testing.T, url string) *caller {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return &caller{c, bufio.NewReader(c)}
}

func (c *caller) begin(id string) error {
	_, err := fmt.Fprintf(c, "POST /plan/a HTTP/1.1\r\nHost: h.example\r\nId: %s\r\nKey: k1\r\nContent-Length: 4\r\n\r\nbody", id)
	return err
}

// finish returns the status of the response, and whether the connection is closed after it.
func (c *caller) finish() (status int, closed bool, err error) {
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return 0, false, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close, err
}

// Guards against callers that use up the descriptors of a node: idle connections are closed first, then
// new ones are told so.
func TestTooManyCallers(t *testing.T) {
	is := is.New(t)
	finish := make(chan struct{})
	p := &fakeBudgets{done: make(chan struct{}, 100)}
	_, url := startFrontWith(t, p, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.Header.Get("Id"), "long") {
			<-finish
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, event(0))
	}, func(d *front.Deps) { d.MaxCallers = 2 })
	idle, busy := dialFront(t, url), dialFront(t, url)
	is.NoErr(idle.begin("a"))
	status, _, err := idle.finish()
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.NoErr(busy.begin("long-1"))
	time.Sleep(50 * time.Millisecond)

	third := dialFront(t, url) // in place of the idle one
	is.NoErr(third.begin("long-2"))
	_, _, err = idle.finish()
	is.True(err != nil)
	fourth := dialFront(t, url) // none is idle
	is.NoErr(fourth.begin("b"))
	status, closed, err := fourth.finish()
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(closed)

	close(finish)
	for _, c := range []*caller{busy, third} {
		status, _, err = c.finish()
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}
	is.NoErr(fourth.Close())
	fifth := dialFront(t, url)
	is.NoErr(fifth.begin("c"))
	status, _, err = fifth.finish()
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
}
