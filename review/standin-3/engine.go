package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// heartbeat is the time between two check-ins of an engine.
const heartbeat = 1200 * time.Millisecond

// engine is a stand-in of a server, as PROTOCOL.md describes it: it checks in, answers only requests
// that are for it, and echoes their ids. What it does with a request is up to work.
type engine struct {
	id, addr, service, zone string
	born                    int64
	slots                   int
	rec                     *recorder
	work                    func(e *engine, w http.ResponseWriter, r *http.Request, id string)
}

func startEngine(service, zone string, slots int, rec *recorder, work func(*engine, http.ResponseWriter, *http.Request, string)) (*engine, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{
		id: fmt.Sprintf("i-%08x", rand.Uint32()), addr: ln.Addr().String(), service: service, zone: zone,
		born: time.Now().UnixMilli(), slots: slots, rec: rec, work: work,
	}
	go func() { _ = (&http.Server{Handler: e}).Serve(ln) }()
	rec.printf("%s: an engine of %s starts at %s", e.id, service, e.addr)
	return e, nil
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	switch expected := r.Header.Get("X-Expect-Instance"); {
	case r.URL.Path == "/healthz":
		w.Header().Set("X-Instance-Id", e.id)
	case expected != "" && expected != e.id:
		e.reject(w, id, http.StatusMisdirectedRequest, "another instance")
	default:
		e.work(e, w, r, id)
	}
}

// reject answers that the request did not run.
func (e *engine) reject(w http.ResponseWriter, id string, status int, why string) {
	e.rec.printf("%s: answers %d to %s and does not run it (%s)", e.id, status, id, why)
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

// seal is the digest that the engine puts on its answers.
func (e *engine) seal(id string) string { return "seal." + e.id + "." + id }

// checkIn sends the engine's heartbeats to the nodes until stop is closed.
func (e *engine) checkIn(addrs []string, stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for seq := 1; ; seq++ {
		body, err := json.Marshal(map[string]any{
			"service": e.service, "address": e.addr, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready",
			"cold_left_ms": 0, "seq": seq, "born": e.born,
		})
		if err != nil {
			panic(err)
		}
		first := rand.IntN(len(addrs))
		for i := range addrs {
			if e.beat(client, addrs[(first+i)%len(addrs)], body) {
				break
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (e *engine) beat(client *http.Client, addr string, body []byte) bool {
	req, err := http.NewRequest(http.MethodPut, "http://"+addr+"/dotterelgap/instances/"+e.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode/100 == 2
}
