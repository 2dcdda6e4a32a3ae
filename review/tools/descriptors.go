package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The figures of the case: those of the head office installation where it has one.
const (
	contactWindow = 3 * time.Second
	engineCountAt = 18
	// kept is the number of consumers that keep a channel to the front, a bit less than half of
	// what the engines run at once.
	kept = 720
	// newcomers is the number of consumers that open a new channel each second.
	newcomers = 10
	// releaseStep engines are replaced every releaseGap.
	releaseStep = 2
	releaseGap  = time.Second
	// loadTime is the time for which consumers send.
	loadTime = 75 * time.Second
)

// playDescriptors replaces the engines of a service in release after release while consumers
// use one front, and watches whether the front still takes new channels.
func playDescriptors(w *world) (outcome, error) {
	for range 3 {
		w.addNode(true)
	}
	front := w.addNode(false)
	for _, n := range w.nodes {
		n.seeds, n.bootstrap = w.nodes[:3], true
		if err := n.start(); err != nil {
			return outcome{}, err
		}
	}
	if w.order(w.nodes, policy(3), 20*time.Second) == nil {
		return outcome{}, fmt.Errorf("the first configuration was not acknowledged")
	}
	w.log("configuration 3 acknowledged")
	if err := w.awaitReady(w.nodes, 20*time.Second); err != nil {
		return outcome{}, err
	}
	var engines []*engine
	for range engineCountAt {
		e, err := w.startEngine("peg-assistant", 96, 7, 280*time.Millisecond, w.nodes[:3])
		if err != nil {
			return outcome{}, err
		}
		engines = append(engines, e)
	}
	for range 3 {
		if _, err := w.startEngine("franchise-desk", 6, 0, 0, w.nodes[:3]); err != nil {
			return outcome{}, err
		}
	}
	time.Sleep(2 * time.Second)

	watch := &watch{w: w}
	ctx, cancel := context.WithTimeout(context.Background(), loadTime)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { watch.probe(ctx, front) })
	for i := range kept {
		wg.Go(func() { watch.keepAsking(ctx, front, i) })
	}
	for i := range newcomers {
		wg.Go(func() { watch.keepOpening(ctx, front, i) })
	}
	replaced := 0
	wg.Go(func() {
		ticker := time.NewTicker(releaseGap)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			watch.report(front, replaced)
			if !w.trouble {
				continue
			}
			for range releaseStep {
				e, err := w.startEngine("peg-assistant", 96, 7, 280*time.Millisecond, w.nodes[:3])
				if err != nil {
					w.log("engine: %v", err)
					return
				}
				engines = append(engines, e)
				go engines[0].leave()
				engines = engines[1:]
				replaced++
			}
		}
	})
	wg.Wait()
	return watch.judge(), nil
}

// watch records what the platform and the consumers see of one front.
type watch struct {
	w  *world
	mu sync.Mutex
	// probes holds the readiness probes, tries the attempts of newcomers.
	probes []probe
	tries  []try

	sent, served, refused, failed atomic.Int64
	taken, untaken                atomic.Int64
}

type probe struct {
	at    time.Duration
	ready bool
}

// try is one attempt to use a new channel. answered is when the first byte of the answer came,
// or 0.
type try struct {
	who      int
	at       time.Duration
	answered time.Duration
}

// probe asks once a second whether the front is ready, on a kept channel, as the platform does.
func (s *watch) probe(ctx context.Context, n *node) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		status, _ := s.w.call("GET", n.url(s.w.ports.ready, "/dotterelgap/readyz"), "", time.Second)
		s.mu.Lock()
		s.probes = append(s.probes, probe{s.w.since(), status == http.StatusOK})
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// ask sends one request and reads its whole answer. answered is called with its status once
// the head of the answer is there.
func ask(ctx context.Context, c *http.Client, req *http.Request, id string, answered func(int)) error {
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("Authorization", "Bearer k1k1k1k1k1")
	resp, err := c.Do(req.WithContext(ctx))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	answered(resp.StatusCode)
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// keepAsking is a consumer that keeps its channel and asks for one stream after another.
func (s *watch) keepAsking(ctx context.Context, n *node, i int) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1}}
	time.Sleep(time.Duration(rand.IntN(2000)) * time.Millisecond)
	for k := 0; ctx.Err() == nil; k++ {
		req, _ := http.NewRequest("POST", n.url(s.w.ports.front, "/plan/2f"), strings.NewReader("a prompt"))
		req.Header.Set("X-Model", "m")
		req.Header.Set("X-Token-Usage", "300,21")
		req.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%x:200,%x:100", 0xa000+i%40, 0x100000+i))
		req.Header.Set("X-Deadline-Ms", "6000")
		try, cancel := context.WithTimeout(context.Background(), 6*time.Second)
		status := 0
		s.sent.Add(1)
		err := ask(try, c, req, fmt.Sprintf("%08x%08x", i, k), func(st int) { status = st })
		cancel()
		switch {
		case err != nil:
			s.failed.Add(1)
		case status == http.StatusOK:
			s.served.Add(1)
		default:
			s.refused.Add(1)
		}
		pause := time.Duration(rand.IntN(100)) * time.Millisecond
		if err != nil || status != http.StatusOK {
			pause += 500 * time.Millisecond
		}
		time.Sleep(pause)
	}
	c.CloseIdleConnections()
}

// keepOpening is a consumer that opens a new channel for each of its safe requests, one a
// second. It gives up a channel on which nothing is answered within a second.
func (s *watch) keepOpening(ctx context.Context, n *node, i int) {
	time.Sleep(time.Duration(i) * 100 * time.Millisecond)
	for k := 0; ctx.Err() == nil; k++ {
		c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		req, _ := http.NewRequest("GET", n.url(s.w.ports.front, "/read/lo20/"), nil)
		req.Header.Set("X-Deadline-Ms", "1500")
		t := try{who: i, at: s.w.since()}
		once, cancel := context.WithTimeout(context.Background(), time.Second)
		_ = ask(once, c, req, fmt.Sprintf("%08x%08x", 0x70000000+i, k), func(int) { t.answered = s.w.since() })
		cancel()
		if t.answered > 0 {
			s.taken.Add(1)
		} else {
			s.untaken.Add(1)
		}
		s.mu.Lock()
		s.tries = append(s.tries, t)
		s.mu.Unlock()
		time.Sleep(max(time.Second-(s.w.since()-t.at), 0))
	}
}

// report logs what happened in the last second. The number of open descriptors is for the
// reader only; the rule doesn't depend on it.
func (s *watch) report(n *node, replaced int) {
	fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
	s.w.log("engines replaced %d, requests run by engines %d; kept channels: sent %d, served %d, refused %d, failed %d; new channels: taken %d, not taken %d; descriptors of %s: %d",
		replaced, runCount.Swap(0), s.sent.Swap(0), s.served.Swap(0), s.refused.Swap(0), s.failed.Swap(0), s.taken.Swap(0), s.untaken.Swap(0), n.name, len(fds))
}

// judge looks for a span of contactWindow in which the front said that it is ready, took no
// new channel, and seven consumers or more tried.
func (s *watch) judge() outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	longest, at := time.Duration(0), time.Duration(0)
	for _, first := range s.tries {
		from := first.at
		to := s.w.since()
		for _, t := range s.tries {
			if t.answered >= from {
				to = min(to, t.answered)
			}
		}
		for _, p := range s.probes {
			if p.at >= from && !p.ready {
				to = min(to, p.at)
			}
		}
		who := map[int]bool{}
		for _, t := range s.tries {
			if t.at >= from && t.at <= to-time.Second {
				who[t.who] = true
			}
		}
		if len(who) >= 7 && to-from > longest {
			longest, at = to-from, from
		}
	}
	text := fmt.Sprintf("the longest span without a new channel, while the front said that it is ready and seven consumers or more tried: %.1f s from %.1f s; the rule allows %.1f s",
		longest.Seconds(), at.Seconds(), contactWindow.Seconds())
	return outcome{broken: longest >= contactWindow, text: text}
}
