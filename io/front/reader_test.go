package front_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dotterelgap/core/policy"

	"github.com/matryer/is"
)

// Guards against a node that holds what a slow caller does not read, or leaves an upstream's
// response unread for seconds meanwhile: the caller is given up. One that reads slowly and
// steadily gets all of it.
func TestCallerThatReadsSlowly(t *testing.T) {
	for name, c := range map[string]struct {
		perSecond int // bytes
		path      string
		complete  bool
	}{
		"stopped":                   {path: "/plan/a"},
		"1 KB/s":                    {path: "/plan/a", perSecond: 1 << 10},
		"fast enough":               {path: "/plan/a", perSecond: 4 << 20, complete: true},
		"stopped, not a stream":     {path: "/plan/long"},
		"fast enough, not a stream": {path: "/plan/long", perSecond: 4 << 20, complete: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var wrote, longest atomic.Int64
			ended := make(chan struct{})
			f, url := startFront(t, &reservations{open: map[string]bool{}}, func(w http.ResponseWriter, r *http.Request) {
				defer close(ended)
				conn := hijack(w)
				defer func() { _ = conn.Close() }()
				_ = conn.(*net.TCPConn).SetWriteBuffer(16 << 10)
				head := responseHead
				if strings.HasSuffix(r.URL.Path, "long") {
					head = strings.Replace(head, "200 OK", "201 Created", 1)
				}
				_, _ = io.WriteString(conn, head)
				text := chunk(fmt.Sprintf("data: %s\n\n", strings.Repeat("x", 2000)))
				for wrote.Load() < 2<<20 {
					began := time.Now()
					n, err := io.WriteString(conn, text)
					longest.Store(max(longest.Load(), int64(time.Since(began))))
					if err != nil {
						return
					}
					wrote.Add(int64(n))
				}
				_, _ = io.WriteString(conn, "0\r\n\r\n")
			})
			doc := testDocument()
			doc.Number, doc.Routes[0].Timeout = 2, 20*time.Second
			f.SetPolicy(policy.Compile(doc))
			conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			if !c.complete {
				is.NoErr(conn.(*net.TCPConn).SetReadBuffer(4 << 10))
			}
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nId: r1\r\nKey: k1\r\nWait: 20s\r\nContent-Length: 1\r\n\r\nx", c.path)
			is.NoErr(err)
			began := time.Now()
			for read := 0; c.perSecond > 0; {
				n, err := conn.Read(make([]byte, 1<<10))
				read += n
				select {
				case <-ended:
				default:
					time.Sleep(time.Until(began.Add(time.Duration(read) * time.Second / time.Duration(c.perSecond))))
					if err == nil {
						continue
					}
				}
				break
			}
			<-ended
			t.Logf("ended after %v; upstream wrote %d KB, one write took %v", time.Since(began), wrote.Load()>>10, time.Duration(longest.Load()))
			if c.complete {
				is.True(wrote.Load() >= 2<<20)
				return
			}
			is.True(time.Since(began) < 4*time.Second)
			is.True(wrote.Load() < 1<<20)
			is.True(time.Duration(longest.Load()) < 2*time.Second)
		})
	}
}
