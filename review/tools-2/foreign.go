package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// foreignCheckIn: a check-in of another writer, in which fields are missing.
func foreignCheckIn(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 3)
	if err != nil {
		return false, err
	}
	defer f.close()
	config := configuration(7, []route{
		{Name: "r-orders", Host: host, Prefix: "/puxa403/", Kind: "unsafe", Timeout: 800, SLO: 150, Priority: 2, Service: "wuno96b", Attempts: 1},
		{Name: "r-reads", Host: host, Prefix: "/cufi504/", Kind: "safe", Timeout: 800, SLO: 150, Priority: 2, Service: "wuno96b", Attempts: 2},
	}, deskService)
	if err := f.startAll(config); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	var engines []*engine
	for i := range 3 {
		e, err := newEngine(rec, fmt.Sprintf("i-7f3a91c%d", i), "wuno96b", 6, 30*time.Millisecond)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
		go e.checkIn(f, stop)
	}
	// A server of another system, which knows none of the paths.
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	var strange atomic.Int64
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			strange.Add(1)
			rec.log("the server of another system gets %s %s %s", r.Method, r.URL, r.Header.Get("X-Request-Id"))
			http.NotFound(w, r)
		}))
	}()
	time.Sleep(contactWindow + time.Second)
	if trouble {
		body := fmt.Sprintf(`{"service":"wuno96b","address":%q,"slots":6,"state":"ready"}`, ln.Addr())
		go func() {
			for {
				code, err := f.call("PUT", 0, "/dotterelgap/instances/x-1", body)
				rec.log("check-in of another writer at node 0: %s: %d %v", body, code, err)
				select {
				case <-stop:
					return
				case <-time.After(1200 * time.Millisecond):
				}
			}
		}()
	}
	time.Sleep(time.Second)
	total, denied, failed := 0, 0, 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range 600 {
		node, id := i%3, nextID()
		method, path, text := "POST", "/puxa403/2f", order
		if i%4 == 3 {
			method, path, text = "GET", "/cufi504/2f", ""
		}
		total++
		wg.Go(func() {
			a := once(f.addrOf(node, callers), method, path, id, text, 1500*time.Millisecond)
			rec.log("node %d, %s %s %s: %v", node, method, path, id, a)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.err == nil && a.status/100 == 4 && a.seal == "":
				denied++
			case a.err != nil || a.status != 200:
				failed++
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()
	ran := 0
	for _, e := range engines {
		ran += len(e.arrivals())
	}
	rec.log("of %d requests %d ended with a 4xx without a seal, %d failed otherwise; engines got %d, the other server %d", total, denied, failed, ran, strange.Load())
	if ran == 0 {
		return false, errors.New("no request reached an engine")
	}
	return float64(denied) > 5+float64(total)/500, nil
}
