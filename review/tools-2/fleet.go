package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of the small site skpeg-ho.
const (
	contactWindow = 3000 * time.Millisecond
	drainTime     = 2000 * time.Millisecond
	retryRatio    = 0.2
	retryBurst    = 58
)

// host is the Host header of all routes, key the key of the only tenant.
const (
	host = "ficu95.example"
	key  = "n2ctnfzs989anu6wsjnb"
)

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{f: f, start: time.Now()}, nil
}

// log writes a line with the time since the start of the case.
func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// fleet is a small deployment: nodes as processes on loopback addresses of their own.
type fleet struct {
	rec   *record
	dir   string
	bin   string
	ports [5]int // callers, ready, api, internal, metrics
	procs []*exec.Cmd
}

// The listeners of a node, as indexes of ports.
const (
	callers = iota
	ready
	api
	internal
	metrics
)

func newFleet(rec *record, nodes int) (*fleet, error) {
	bin, err := filepath.Abs("target/dotterelgap")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(bin); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, bin: bin, procs: make([]*exec.Cmd, nodes)}
	next := 11000 + os.Getpid()%800*20
	for i := range f.ports {
		for !f.free(next) {
			next++
		}
		f.ports[i] = next
		next++
	}
	return f, nil
}

// addrOf returns the address of a listener of a node.
func (f *fleet) addrOf(node, listener int) string {
	return fmt.Sprintf("127.0.0.%d:%d", 41+node, f.ports[listener])
}

func (f *fleet) free(port int) bool {
	for node := range f.procs {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:%d", 41+node, port))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

// zones are the zones of the nodes.
var zones = []string{"sialkot", "gujranwala", "lahore"}

// start starts a node with the command of the deploy file and settings as its template renders them.
func (f *fleet) start(node int, bootstrap bool) error {
	var seeds []string
	for n := range f.procs {
		seeds = append(seeds, f.addrOf(n, api))
	}
	settings := map[string]any{
		"name": fmt.Sprintf("front-%s-1", zones[node%3]), "place": zones[node%3],
		"regions": map[string]string{"sialkot": "punjab", "gujranwala": "punjab", "lahore": "punjab"},
		"listen":  f.addrOf(node, callers), "ready": f.addrOf(node, ready), "api": f.addrOf(node, api),
		"internal": f.addrOf(node, internal), "metrics": f.addrOf(node, metrics), "seeds": seeds,
		"data_dir": filepath.Join(f.dir, fmt.Sprint("data-", node)), "bootstrap": bootstrap,
		"tolerate_hosts": 1, "tolerate_places": 0, "tolerate_regions": 0, "memory_mb": 284, "stop_timeout": "8s",
		"retry_ratio": retryRatio, "retry_burst": retryBurst, "retry_window": "10s", "admission": true, "log_level": "info",
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	file := filepath.Join(f.dir, fmt.Sprintf("node-%d.json", node))
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(f.dir, fmt.Sprintf("node-%d.log", node)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(f.bin, "node", "-config", file)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	f.procs[node] = cmd
	f.rec.log("node %d started", node)
	return nil
}

// startAll starts all nodes, puts the configuration in force and waits until all are ready.
func (f *fleet) startAll(config string) error {
	for node := range f.procs {
		if err := f.start(node, true); err != nil {
			return err
		}
	}
	if err := f.publish(config); err != nil {
		return err
	}
	return f.awaitReady(20 * time.Second)
}

// publish sends a configuration until it is acknowledged.
func (f *fleet) publish(config string) error {
	for limit := time.Now().Add(20 * time.Second); time.Now().Before(limit); time.Sleep(100 * time.Millisecond) {
		for node := range f.procs {
			if code, err := f.call("PUT", node, "/dotterelgap/config", config); err == nil && code == 200 {
				f.rec.log("configuration acknowledged by node %d", node)
				return nil
			}
		}
	}
	return errors.New("the configuration was not acknowledged")
}

func (f *fleet) awaitReady(most time.Duration) error {
	for limit := time.Now().Add(most); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		count := 0
		for node := range f.procs {
			resp, err := control.Get("http://" + f.addrOf(node, ready) + "/dotterelgap/readyz")
			if err != nil {
				break
			}
			_ = resp.Body.Close()
			if resp.StatusCode == 200 {
				count++
			}
		}
		if count == len(f.procs) {
			f.rec.log("all nodes are ready")
			return nil
		}
	}
	return errors.New("the nodes did not become ready")
}

// kill kills nodes at the same moment and reaps them.
func (f *fleet) kill(nodes ...int) {
	for _, n := range nodes {
		if f.procs[n] != nil {
			_ = f.procs[n].Process.Kill()
		}
	}
	for _, n := range nodes {
		if f.procs[n] != nil {
			_ = f.procs[n].Wait()
			f.procs[n] = nil
		}
	}
	f.rec.log("nodes %v killed", nodes)
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	for n := range f.procs {
		f.kill(n)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// control is the client of operators and engines.
var control = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call calls the API of a node.
func (f *fleet) call(method string, node int, path, body string) (int, error) {
	req, err := http.NewRequest(method, "http://"+f.addrOf(node, api)+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := control.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// route is a route of the configuration.
type route struct {
	Name     string `json:"name"`
	Host     string `json:"host"`
	Prefix   string `json:"path_prefix"`
	Kind     string `json:"kind"`
	Timeout  int    `json:"timeout_ms"`
	SLO      int    `json:"slo_ms"`
	Priority int    `json:"priority"`
	Service  string `json:"service"`
	Attempts int    `json:"attempts"`
	Public   bool   `json:"public"`
	Sticky   bool   `json:"sticky"`
	Resume   bool   `json:"resumable"`
	GapSLO   int    `json:"gap_slo_ms"`
}

// configuration returns a configuration with these routes and services.
func configuration(version int, routes []route, services ...string) string {
	data, err := json.Marshal(routes)
	if err != nil {
		panic(err)
	}
	return fmt.Sprintf(`{"version":%d,"routes":%s,"services":[%s],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,`+
		`"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"hule930","api_keys":["%s"],"priority":1,"prepaid":100000000}]}`,
		version, data, strings.Join(services, ","), key)
}

// deskService is the configuration of the application service.
const deskService = `{"name":"wuno96b","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}`

// engine is a stand-in of an engine. It answers as the pages say.
type engine struct {
	id, service string
	slots       int
	// queue is how many requests more it takes; they share the slots.
	queue int
	work  time.Duration
	rec   *record
	ln    net.Listener
	srv   *http.Server
	born  int64

	mu      sync.Mutex
	seq     int
	running int
	arrived []arrival
}

// arrival is a request that reached an engine.
type arrival struct {
	id  string
	at  time.Time
	ran bool
}

func newEngine(rec *record, id, service string, slots int, work time.Duration) (*engine, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, service: service, slots: slots, work: work, rec: rec, ln: ln, born: time.Now().UnixMilli()}
	e.srv = &http.Server{Handler: e}
	go func() { _ = e.srv.Serve(ln) }()
	return e, nil
}

// body returns a check-in; it increases seq.
func (e *engine) body(state string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"sialkot","version":"v1","slots":%d,"state":%q,"cold_left_ms":0,"seq":%d,"born":%d}`,
		e.service, e.ln.Addr(), e.slots, state, e.seq, e.born)
}

// checkIn sends check-ins, to one node after another until one acknowledges, until stop is closed.
func (e *engine) checkIn(f *fleet, stop <-chan struct{}) {
	for {
		body := e.body("ready")
		for node := range f.procs {
			if code, err := f.call("PUT", node, "/dotterelgap/instances/"+e.id, body); err == nil && code/100 == 2 {
				break
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		h.Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	full := e.running >= e.slots
	if !full {
		e.running++
	}
	e.arrived = append(e.arrived, arrival{id: id, at: time.Now(), ran: !full})
	e.mu.Unlock()
	if full {
		e.rec.log("engine %s rejects %s", e.id, id)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	e.rec.log("engine %s runs %s", e.id, id)
	h.Set("X-Server-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")
	select {
	case <-r.Context().Done():
		return
	case <-time.After(e.work):
	}
	h.Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(bytes.Repeat([]byte("x"), 800))
}

// arrivals returns a copy of what has reached the engine.
func (e *engine) arrivals() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.arrived...)
}
