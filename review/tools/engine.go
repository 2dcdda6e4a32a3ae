package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// The bounds of the deployment that engines keep.
const (
	heartbeat = 1200 * time.Millisecond
	drainTime = 2 * time.Second
)

// engine is one engine, from its start to its end. It sends its heartbeats to the nodes of
// control and leaves as the protocol says.
type engine struct {
	w       *world
	service string
	id      string
	addr    string
	born    int64
	slots   int
	control []*node
	srv     *http.Server
	seq     atomic.Int64
	state   atomic.Value
	stop    chan struct{}
	// events is the number of events of a stream, gap the pause before each; without events
	// the answer is a short body.
	events int
	gap    time.Duration
}

var engineCount, runCount atomic.Int64

// startEngine starts an engine at an address of its own and registers it.
func (w *world) startEngine(service string, slots, events int, gap time.Duration, control []*node) (*engine, error) {
	i := engineCount.Add(1)
	e := &engine{
		w: w, service: service, id: fmt.Sprintf("i-%08x", 0x51000000+i), slots: slots, events: events, gap: gap,
		addr: fmt.Sprintf("%s.%d.%d:%d", w.subnet, 2+i/250, 1+i%250, w.ports.engine),
		born: time.Now().UnixMilli(), control: control, stop: make(chan struct{}),
	}
	e.state.Store("ready")
	ln, err := net.Listen("tcp", e.addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set("X-Instance-Id", e.id) })
	mux.HandleFunc("/", e.serve)
	e.srv = &http.Server{Handler: mux}
	go func() { _ = e.srv.Serve(ln) }()
	go e.beat()
	return e, nil
}

func (e *engine) serve(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	h := rw.Header()
	h.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		h.Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	runCount.Add(1)
	h.Set("X-Server-Seal", e.id)
	if e.events == 0 {
		_, _ = io.WriteString(rw, "balance of the ledger\n")
		return
	}
	h.Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(rw)
	for i := 1; i <= e.events; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.gap):
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: some words of the plan\n\n", i)
		_ = rc.Flush()
	}
}

func (e *engine) body() string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"sialkot","version":"v1","slots":%d,"state":%q,"cold_left_ms":0,"stage":"mixed","models":[{"name":"m","version":1,"adapters":[]}],"seq":%d,"born":%d}`,
		e.service, e.addr, e.slots, e.state.Load(), e.seq.Add(1), e.born)
}

// say sends a call about the engine to one node after another until one acknowledges it.
func (e *engine) say(method, body string) bool {
	for i := range e.control {
		n := e.control[(int(e.seq.Load())+i)%len(e.control)]
		if status, _ := e.w.call(method, n.url(e.w.ports.control, "/dotterelgap/instances/"+e.id), body, time.Second); status/100 == 2 {
			return true
		}
	}
	return false
}

func (e *engine) beat() {
	for {
		e.say("PUT", e.body())
		select {
		case <-e.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// leave empties the engine and ends it: it reports that it drains, serves for drainTime after
// the ack and until its last request has ended, signs off and exits.
func (e *engine) leave() {
	close(e.stop)
	e.state.Store("draining")
	e.say("PUT", e.body())
	time.Sleep(drainTime)
	e.say("DELETE", e.body())
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	_ = e.srv.Shutdown(ctx)
	_ = e.srv.Close()
}
