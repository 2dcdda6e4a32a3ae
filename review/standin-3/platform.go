package main

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// platform asks the nodes once a second whether they are ready, and takes a node out after two misses.
type platform struct {
	f      *fleet
	mu     sync.Mutex
	misses []int
}

func newPlatform(f *fleet) *platform {
	p := &platform{f: f, misses: make([]int, len(f.nodes))}
	for i := range p.misses {
		p.misses[i] = 2
	}
	return p
}

func (p *platform) watch(stop <-chan struct{}) {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for i, n := range p.f.nodes {
			go p.probe(client, i, n)
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

func (p *platform) probe(client *http.Client, i int, n *node) {
	resp, err := client.Get("http://" + p.f.addr(n, p.f.ports.ready) + "/dotterelgap/readyz")
	ok := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_ = resp.Body.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.misses[i]++
	if ok {
		p.misses[i] = 0
	}
}

// rotation returns the nodes that get new channels.
func (p *platform) rotation() []*node {
	p.mu.Lock()
	defer p.mu.Unlock()
	var in []*node
	for i, m := range p.misses {
		if m < 2 {
			in = append(in, p.f.nodes[i])
		}
	}
	if len(in) == 0 {
		return p.f.nodes
	}
	return in
}

// await waits until all nodes are ready.
func (p *platform) await(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		p.mu.Lock()
		ready := true
		for _, m := range p.misses {
			ready = ready && m == 0
		}
		p.mu.Unlock()
		if ready {
			return true
		}
	}
	return false
}

// publish sends a configuration as an operator does, beginning at a node of its choice, until it is
// acknowledged.
func (f *fleet) publish(operator, configuration string, first int, limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	addrs := f.control()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for i := range addrs {
			addr := addrs[(first+i)%len(addrs)]
			req, err := http.NewRequest(http.MethodPut, "http://"+addr+"/dotterelgap/config", strings.NewReader(configuration))
			if err != nil {
				return false
			}
			req.Header.Set("Content-Type", "application/json")
			resp, err := client.Do(req)
			if err != nil {
				continue
			}
			body, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			f.rec.printf("%s: %s answers %d %s", operator, addr, resp.StatusCode, body)
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}
