package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dotterelgap/core/quota"
	"dotterelgap/io/front"

	"github.com/matryer/is"
)

// busyCaller sends one request after another on one connection until it is closed. It returns
// the number of responses, and whether the last one announced the close.
func busyCaller(url, name string) (responses int, announced bool, err error) {
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		_, err := fmt.Fprintf(c, "POST /plan/a HTTP/1.1\r\nHost: h.example\r\nId: %s-%d\r\nKey: k1\r\nContent-Length: 4\r\n\r\nbody", name, n)
		if err != nil {
			return n, announced, err
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return n, announced, err
		}
		if _, err := io.ReadAll(resp.Body); err != nil {
			return n, announced, err
		}
		if announced = resp.Close; announced {
			return n + 1, announced, nil
		}
		time.Sleep(time.Duration(n%5) * time.Millisecond)
	}
}

// stopNotice is how long the front of TestStopUnderLoadCutsNoRequest serves after Close.
const stopNotice = time.Second

// Guards against a planned stop that closes connections on which requests keep coming: each
// caller is told to close its connection before it is closed, so that no request is cut off.
func TestStopUnderLoadCutsNoRequest(t *testing.T) {
	is := is.New(t)
	p := &fakeBudgets{done: make(chan struct{}, 1<<16)}
	// The notice is longer than a busy machine keeps a caller from its next request.
	notice := func(d *front.Deps) { d.LeaveNotice = stopNotice }
	f, url := startFrontWith(t, p, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(2 * time.Millisecond)
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, event(0))
	}, notice)
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			n, announced, err := busyCaller(url, fmt.Sprint("c", i))
			if err != nil || !announced {
				t.Errorf("caller %d: closed without an announcement after %d responses: %v", i, n, err)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	is.NoErr(f.Close(ctx))
	wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, used := range p.settled {
		is.Equal(used, quota.Tokens(903))
	}
}
