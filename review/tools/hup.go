package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playHup stops a front as planned and, while it finishes its requests, changes the settings
// file and tells the front so.
func playHup(w *world) (outcome, error) {
	// The children of a process that handles SIGHUP start with the default for it.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
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
	if err := w.awaitReady(w.nodes, 20*time.Second); err != nil {
		return outcome{}, err
	}
	for range 4 {
		if _, err := w.startEngine("peg-assistant", 96, 15, 200*time.Millisecond, w.nodes[:3]); err != nil {
			return outcome{}, err
		}
	}
	time.Sleep(2 * time.Second)

	// Streams of 3 s, each sent before the stop.
	const streams = 30
	var wg sync.WaitGroup
	var mu sync.Mutex
	ends := map[string]int{}
	for i := range streams {
		wg.Go(func() {
			c := &http.Client{Transport: &http.Transport{}}
			req, _ := http.NewRequest("POST", front.url(w.ports.front, "/plan/2f"), strings.NewReader("a prompt"))
			req.Header.Set("X-Model", "m")
			req.Header.Set("X-Token-Usage", "300,45")
			req.Header.Set("X-Prompt-Prefix", fmt.Sprintf("a0:200,%x:100", 0x100+i))
			req.Header.Set("X-Deadline-Ms", "6000")
			ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
			defer cancel()
			status := 0
			err := ask(ctx, c, req, fmt.Sprintf("%016x", i), func(st int) { status = st })
			end := fmt.Sprintf("answered %d, whole", status)
			if err != nil {
				end = fmt.Sprintf("status %d, ended early", status)
			}
			w.log("request %016x: %s %v", i, end, err)
			mu.Lock()
			defer mu.Unlock()
			ends[end]++
		})
	}
	time.Sleep(600 * time.Millisecond)
	w.log("SIGTERM to %s", front.name)
	_ = front.cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		front.seeds = []*node{w.nodes[1], w.nodes[2], front}
		text, err := front.settings()
		if err != nil {
			return outcome{}, err
		}
		if err := os.WriteFile(filepath.Join(w.dir, front.name+".json"), []byte(text), 0o600); err != nil {
			return outcome{}, err
		}
		w.log("the settings name other seeds; SIGHUP to %s", front.name)
		_ = front.cmd.Process.Signal(syscall.SIGHUP)
	}
	stopped := time.Now()
	select {
	case <-front.exited:
		w.log("%s ended %.2f s later: %v", front.name, time.Since(stopped).Seconds(), front.cmd.ProcessState)
	case <-time.After(grace):
		front.kill()
		return outcome{}, fmt.Errorf("%s did not end in its grace time", front.name)
	}
	wg.Wait()
	whole := ends["answered 200, whole"]
	text := fmt.Sprintf("of %d requests that the front had passed on before its stop, %d were answered whole; engines ran %d", streams, whole, runCount.Load())
	return outcome{broken: whole < streams, text: text}, nil
}
