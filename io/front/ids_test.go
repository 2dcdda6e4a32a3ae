package front_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dotterelgap/core/quota"

	"github.com/matryer/is"
)

// reservations implements front.Budgets as a holder does: a reservation replaces an earlier one
// with the same id.
type reservations struct {
	mu       sync.Mutex
	reserved int
	open     map[string]bool
	settled  int
}

func (p *reservations) Reserve(_ context.Context, id, _ string, _ quota.Tokens) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reserved++
	p.open[id] = true
	return nil
}

func (p *reservations) Begin(context.Context, string, string, quota.Tokens) error { return nil }

func (p *reservations) Settle(id string, _ quota.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[id] {
		p.settled++
	}
	delete(p.open, id)
}

// Guards against two concurrent requests with the same id, or without one, sharing a
// reservation: only one of them would be billed, and the tokens of the other would stay
// reserved for ever.
func TestRequestsWithOneIDAreBilledEach(t *testing.T) {
	for _, id := range []string{"r1", ""} {
		t.Run("id "+id, func(t *testing.T) {
			is := is.New(t)
			p := &reservations{open: map[string]bool{}}
			const requests = 2
			var both sync.WaitGroup
			both.Add(requests)
			url := start(t, p, func(w http.ResponseWriter, r *http.Request) {
				both.Done()
				both.Wait()
				w.Header().Set("Id", r.Header.Get("Id"))
				_, _ = io.WriteString(w, event(0))
			})
			var wg sync.WaitGroup
			for range requests {
				wg.Go(func() {
					req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/plan/a", strings.NewReader("body"))
					is.NoErr(err)
					req.Host = "h.example"
					req.Header.Set("Id", id)
					req.Header.Set("Key", "k1")
					resp, err := http.DefaultClient.Do(req)
					is.NoErr(err)
					_, err = io.ReadAll(resp.Body)
					is.NoErr(err)
					_ = resp.Body.Close()
				})
			}
			wg.Wait()
			p.mu.Lock()
			defer p.mu.Unlock()
			is.Equal(p.reserved, requests)
			is.Equal(p.settled, requests)
		})
	}
}

// Guards against a caller that sends its body a byte now and then and is waited for without
// end: its request ends at its deadline as one that did not run.
func TestTricklingBodyEnds(t *testing.T) {
	is := is.New(t)
	p := &reservations{open: map[string]bool{}}
	url := start(t, p, func(http.ResponseWriter, *http.Request) { t.Error("the request ran") })
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /plan/a HTTP/1.1\r\nHost: h.example\r\nId: r1\r\nKey: k1\r\nWait: 300ms\r\nContent-Length: 100000\r\n\r\n")
	is.NoErr(err)
	began := time.Now()
	go func() {
		for {
			if _, err := c.Write([]byte{'x'}); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	data, err := io.ReadAll(c) // until the connection is closed
	is.NoErr(err)
	is.True(time.Since(began) < 2*time.Second)
	is.True(strings.HasPrefix(string(data), "HTTP/1.1 408 "))
}
