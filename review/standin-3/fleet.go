package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The figures of the small deployment, from its sheet and its bounds.
const (
	retryRatio  = 0.2
	retryBurst  = 58.0
	retryWindow = 10 * time.Second
	grace       = 8 * time.Second
	memoryMB    = 284
	// restartDelay is how long after the end of a process the platform starts it again.
	restartDelay = 500 * time.Millisecond
	// fleetSize is the number of nodes; the first diskNodes of them have a data folder.
	fleetSize, diskNodes = 6, 3
)

// zones are the zones of the deployment with their region, and zoneNames their order.
var (
	zones     = map[string]string{"sialkot": "punjab", "gujranwala": "punjab", "lahore": "punjab"}
	zoneNames = []string{"sialkot", "gujranwala", "lahore"}
)

// ports are the same on all nodes, each of which has a loopback address of its own.
type ports struct{ front, ready, api, internal, metrics int }

// node is one node of the fleet under test.
type node struct {
	name, zone, ip string
	disk           bool
	settings       string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// fleet is the system under test, with its files in a temporary folder.
type fleet struct {
	binary string
	dir    string
	ports  ports
	nodes  []*node
	rec    *recorder
}

func newFleet(binary, dir string, rec *recorder) (*fleet, error) {
	f := &fleet{binary: binary, dir: dir, rec: rec}
	block := 16 + os.Getpid()%200
	for i := range fleetSize {
		zone := zoneNames[i%len(zoneNames)]
		f.nodes = append(f.nodes, &node{
			name: fmt.Sprintf("front-%s-%d", zone, i/len(zoneNames)+1), zone: zone,
			ip: fmt.Sprintf("127.%d.7.%d", block, i+1), disk: i < diskNodes,
		})
	}
	return f, f.choosePorts()
}

// choosePorts finds ports that are free on the addresses of all nodes.
func (f *fleet) choosePorts() error {
	for base := 7300 + os.Getpid()%1000*10; base < 30000; base += 10 {
		p := ports{base, base + 1, base + 2, base + 3, base + 4}
		if f.free(p) {
			f.ports = p
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func (f *fleet) free(p ports) bool {
	for _, n := range f.nodes {
		for _, port := range []int{p.front, p.ready, p.api, p.internal, p.metrics} {
			ln, err := net.Listen("tcp4", f.addr(n, port))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

func (f *fleet) addr(n *node, port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// control returns the addresses of the control interfaces.
func (f *fleet) control() []string {
	var out []string
	for _, n := range f.nodes {
		out = append(out, f.addr(n, f.ports.api))
	}
	return out
}

// writeSettings writes a node's settings as the platform fills in the template of the deploy file.
func (f *fleet) writeSettings(n *node, bootstrap bool) error {
	var seeds []string
	for _, s := range f.nodes[:3] {
		seeds = append(seeds, f.addr(s, f.ports.api))
	}
	s := map[string]any{
		"name": n.name, "place": n.zone, "regions": zones,
		"listen": f.addr(n, f.ports.front), "ready": f.addr(n, f.ports.ready), "api": f.addr(n, f.ports.api),
		"internal": f.addr(n, f.ports.internal), "metrics": f.addr(n, f.ports.metrics),
		"seeds": seeds, "bootstrap": bootstrap, "tolerate_hosts": 1, "tolerate_places": 0, "tolerate_regions": 0,
		"memory_mb": memoryMB, "stop_timeout": grace.String(),
		"retry_ratio": retryRatio, "retry_burst": retryBurst, "retry_window": retryWindow.String(),
		"admission": true, "log_level": "info",
	}
	if n.disk {
		s["data_dir"] = filepath.Join(f.dir, n.name+"-data")
	}
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	n.settings = filepath.Join(f.dir, n.name+".json")
	return os.WriteFile(n.settings, data, 0o644)
}

// start starts the process of a node with the command of the deploy file.
func (f *fleet) start(n *node, bootstrap bool) error {
	if err := f.writeSettings(n, bootstrap); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(f.binary, "node", "-config", n.settings, "-cold-overage=", "-cold-burst=")
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.ended = cmd, ended
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	f.rec.printf("platform: %s starts", n.name)
	return nil
}

// startAll starts the whole system for the first time.
func (f *fleet) startAll() error {
	for _, n := range f.nodes {
		if err := f.start(n, true); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to the process of a node. The channel is closed once the process has ended.
func (n *node) signal(s os.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(s)
	return n.ended
}

// terminate stops a node as planned work does: with SIGTERM, and with SIGKILL after the grace.
func (f *fleet) terminate(n *node) {
	f.rec.printf("platform: SIGTERM to %s", n.name)
	ended := n.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(grace):
		f.rec.printf("platform: SIGKILL to %s after the grace", n.name)
		<-n.signal(syscall.SIGKILL)
	}
	f.rec.printf("platform: %s has ended", n.name)
}

// restart stops a node and starts it again.
func (f *fleet) restart(n *node) {
	f.terminate(n)
	time.Sleep(restartDelay)
	if err := f.start(n, false); err != nil {
		f.rec.printf("platform: %s does not start: %v", n.name, err)
	}
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		if n.cmd != nil {
			<-n.signal(syscall.SIGKILL)
		}
	}
}
