package front_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against "OPTIONS *" being answered by the HTTP server itself, with 200 for a route that does
// not exist.
func TestOptionsOfTheServer(t *testing.T) {
	is := is.New(t)
	_, url := startFront(t, &fakeBudgets{done: make(chan struct{}, 1)}, nil)
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "OPTIONS * HTTP/1.1\r\nHost: h.example\r\nId: r1\r\nKey: k1\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusNotFound)
	is.Equal(resp.Header.Get("Id"), "r1") // a response of the front
}
