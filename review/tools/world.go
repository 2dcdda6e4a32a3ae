package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
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

// world is a deployment on loopback addresses: nodes, and the platform's part around them.
type world struct {
	trouble bool
	dir     string
	begin   time.Time
	// subnet is the first two bytes of all addresses. Ports are those of each node's listeners.
	subnet  string
	ports   ports
	client  *http.Client
	mu      sync.Mutex
	record  *os.File
	nodes   []*node
	closing []func()
}

type ports struct{ front, ready, control, internal, engine int }

// node is a front machine with its process.
type node struct {
	w         *world
	name      string
	ip        string
	dataDir   string
	bootstrap bool
	seeds     []*node
	// maxFDs is the limit of descriptors of the machine.
	maxFDs int
	cmd    *exec.Cmd
	exited chan struct{}
}

func newWorld(record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: os.Getenv("TROUBLE") != "0", dir: dir, begin: time.Now(), record: f}
	w.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	for try := 0; ; try++ {
		w.subnet = fmt.Sprintf("127.%d", 20+rand.IntN(200))
		base := 12000 + 10*rand.IntN(1500)
		w.ports = ports{base, base + 1, base + 2, base + 3, base + 4}
		if w.portsFree() {
			break
		}
		if try > 50 {
			return nil, errors.New("no free ports")
		}
	}
	w.log("trouble %t, deployment on %s.0.0, ports from %d", w.trouble, w.subnet, w.ports.front)
	return w, nil
}

func (w *world) portsFree() bool {
	for i := 1; i <= 8; i++ {
		for _, p := range []int{w.ports.front, w.ports.ready, w.ports.control, w.ports.internal, 9464} {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s.1.%d:%d", w.subnet, i, p))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...))
	_, _ = w.record.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

func (w *world) since() time.Duration { return time.Since(w.begin) }

// onClose registers a function that ends something that the case started.
func (w *world) onClose(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closing = append(w.closing, f)
}

func (w *world) close() {
	w.mu.Lock()
	closing := w.closing
	w.mu.Unlock()
	for _, f := range closing {
		f()
	}
	for _, n := range w.nodes {
		n.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	_ = w.record.Close()
}

// addNode adds a front machine; one with a disk can be a member of the core.
func (w *world) addNode(disk bool) *node {
	i := len(w.nodes) + 1
	n := &node{w: w, name: fmt.Sprintf("front-%d", i), ip: fmt.Sprintf("%s.1.%d", w.subnet, i), maxFDs: 4100}
	if disk {
		n.dataDir = filepath.Join(w.dir, "data-"+n.name)
	}
	w.nodes = append(w.nodes, n)
	return n
}

// settings fills in the template of the deploy file as the platform does.
func (n *node) settings() (string, error) {
	data, err := os.ReadFile("deploy/node.json")
	if err != nil {
		return "", err
	}
	text := string(data)
	p := n.w.ports
	addr := func(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }
	var seeds []string
	for _, s := range n.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", s.ip, p.control)))
	}
	section := ""
	if open := strings.Index(text, "{{#data_dir}}"); open >= 0 {
		const end = "{{/data_dir}}"
		stop := strings.Index(text, end)
		if n.dataDir != "" {
			section = strings.ReplaceAll(text[open+len("{{#data_dir}}"):stop], "{{.}}", n.dataDir)
		}
		text = text[:open] + section + text[stop+len(end):]
	}
	text = strings.NewReplacer(
		"{{node_name}}", n.name, "{{zone}}", "sialkot", "{{listen.front}}", addr(p.front),
		"{{listen.ready}}", addr(p.ready), "{{listen.control}}", addr(p.control), "{{ip}}", n.ip,
		"{{internal_ports.0}}", fmt.Sprint(p.internal), "{{seeds|json}}", "["+strings.Join(seeds, ",")+"]",
		"{{zones|json}}", `{"sialkot":"punjab"}`, "{{bootstrap|json}}", fmt.Sprint(n.bootstrap), "{{tolerate.machines}}", "1", "{{tolerate.zones}}", "0",
		"{{tolerate.regions}}", "0", "{{limits.memory_mb}}", "284", "{{bounds.grace_s}}", "8",
		"{{bounds.budget_ratio}}", "0.2", "{{bounds.budget_burst}}", "58", "{{bounds.budget_window_s}}", "10",
	).Replace(text)
	if strings.Contains(text, "{{") {
		return "", errors.New("a placeholder of deploy/node.json is not known: " + text)
	}
	return text, nil
}

// start starts the node's process with the command of the deploy file and the machine's
// limit of descriptors.
func (n *node) start() error {
	text, err := n.settings()
	if err != nil {
		return err
	}
	file := filepath.Join(n.w.dir, n.name+".json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(n.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	script := fmt.Sprintf(`ulimit -n %d && exec target/dotterelgap node -config "$1"`, n.maxFDs)
	n.cmd = exec.Command("/bin/sh", "-c", script, "sh", file)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	if err := n.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.exited = exited
	cmd := n.cmd
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	n.w.log("%s started, %s, disk %t, bootstrap %t", n.name, n.ip, n.dataDir != "", n.bootstrap)
	return nil
}

// kill ends the process with SIGKILL and waits for its end.
func (n *node) kill() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	<-n.exited
}

// stop ends the process as the platform does: SIGTERM, and SIGKILL after grace.
func (n *node) stop(grace time.Duration) {
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-n.exited:
	case <-time.After(grace):
		n.w.log("%s is still there at the end of the grace time and is killed", n.name)
		n.kill()
	}
}

func (n *node) url(port int, path string) string {
	return fmt.Sprintf("http://%s:%d%s", n.ip, port, path)
}

// call sends a request and returns the status and the body of the response. The status is 0
// without a response.
func (w *world) call(method, url, body string, timeout time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

// order sends an order as the operator does: to one node after another until it is
// acknowledged or limit has passed. It returns the node that acknowledged it, or nil.
func (w *world) order(nodes []*node, body string, limit time.Duration) *node {
	end := time.Now().Add(limit)
	pause := 50 * time.Millisecond
	for i := 0; time.Now().Before(end); i++ {
		n := nodes[i%len(nodes)]
		status, text := w.call("PUT", n.url(w.ports.control, "/dotterelgap/config"), body, time.Second)
		if status == http.StatusOK {
			return n
		}
		w.log("PUT config at %s: %d %s", n.name, status, strings.TrimSpace(text))
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return nil
}

// awaitReady waits until all nodes say that they are ready.
func (w *world) awaitReady(nodes []*node, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, n := range nodes {
		for {
			if status, _ := w.call("GET", n.url(w.ports.ready, "/dotterelgap/readyz"), "", time.Second); status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.log("%d nodes are ready", len(nodes))
	return nil
}

// policy returns a configuration with the given version.
func policy(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[`+
		`{"name":"plans","host":"h.example","path_prefix":"/plan/","kind":"stream","timeout_ms":6000,"slo_ms":800,"priority":1,"service":"peg-assistant","attempts":1,"public":false,"sticky":true,"resumable":false,"gap_slo_ms":300},`+
		`{"name":"reads","host":"h.example","path_prefix":"/read/","kind":"safe","timeout_ms":800,"slo_ms":150,"priority":2,"service":"franchise-desk","attempts":2,"public":false,"sticky":false}],`+
		`"services":[{"name":"peg-assistant","health_path":"/healthz","max_conns":500,"protocol":"h1","tls":false,"engine":{"slots":96,"kv_capacity":297824,"kv_bytes":131072,"link_mbps":550000.0,"moves":true,"backups":true,"stride":3,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}},`+
		`{"name":"franchise-desk","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},`+
		`"tenants":[{"name":"acme","api_keys":["k1k1k1k1k1"],"priority":1,"prepaid":900000000}]}`, version)
}
