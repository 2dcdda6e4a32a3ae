package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

// The bounds of the head office installation.
const (
	catchUp = 4 * time.Second
	grace   = 8 * time.Second
	recover = 12 * time.Second
	// wipeAfter is the time from the end of the replaced machine to the ack before the loss of
	// the disk.
	wipeAfter = 100 * time.Millisecond
)

// playReplacement replaces a machine of the core as planned and then has another one lose its
// disk.
func playReplacement(w *world) (outcome, error) {
	a, b, c := w.addNode(true), w.addNode(true), w.addNode(true)
	thin := w.addNode(false)
	for _, n := range w.nodes {
		n.seeds, n.bootstrap = []*node{a, b, c}, true
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
	time.Sleep(5 * time.Second)

	d := w.addNode(true)
	d.seeds = []*node{a, b, c}
	if err := d.start(); err != nil {
		return outcome{}, err
	}
	if err := w.awaitReady([]*node{d}, 10*time.Second); err != nil {
		return outcome{}, err
	}
	time.Sleep(catchUp + time.Second)
	w.log("%s has had catch_up_s and a second more; SIGTERM to %s, which is removed for good", d.name, a.name)
	a.stop(grace)
	w.log("%s is gone", a.name)
	time.Sleep(wipeAfter)

	if w.order([]*node{b, c, thin, d}, policy(5), 10*time.Second) == nil {
		return outcome{}, fmt.Errorf("configuration 5 was not acknowledged")
	}
	w.log("configuration 5 acknowledged")
	if w.trouble {
		b.kill()
		if err := os.RemoveAll(b.dataDir); err != nil {
			return outcome{}, err
		}
		w.log("%s lost power and its disk", b.name)
		time.Sleep(time.Second)
		b.bootstrap = false
		if err := b.start(); err != nil {
			return outcome{}, err
		}
	}
	return w.readBack([]*node{c, thin, d, b}), nil
}

// readBack checks recover_s later whether the operator can still read the acknowledged
// configuration and change it.
func (w *world) readBack(nodes []*node) outcome {
	back := time.Now()
	time.Sleep(recover)
	w.log("recover_s later, the operator reads the configuration and sends one more")
	read, acked := false, false
	for time.Since(back) < recover+20*time.Second && !(read && acked) {
		for _, n := range nodes {
			status, text := w.call("GET", n.url(w.ports.control, "/dotterelgap/config"), "", 3*time.Second)
			w.log("GET config at %s: %d %.60s", n.name, status, strings.TrimSpace(text))
			read = read || status == http.StatusOK
		}
		if !acked {
			if n := w.order(nodes, policy(8), 4*time.Second); n != nil {
				w.log("configuration 8 acknowledged by %s", n.name)
				acked = true
			}
		}
	}
	text := fmt.Sprintf("%.0f s later: the acknowledged configuration could be read: %t; a valid configuration was acknowledged: %t",
		time.Since(back).Seconds(), read, acked)
	return outcome{broken: !read, text: text}
}
