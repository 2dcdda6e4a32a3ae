package main

import (
	"fmt"
	"net/http"
	"time"
)

// writerTime is the time for which consumers send.
const writerTime = 40 * time.Second

// playWriter has another writer check in, once for each engine, with a service that isn't
// named anywhere, at the address where the engine runs.
func playWriter(w *world) (outcome, error) {
	for range 3 {
		w.addNode(true)
	}
	w.addNode(false)
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
	var engines []*engine
	for range 3 {
		e, err := w.startEngine("franchise-desk", 6, 0, 0, w.nodes)
		if err != nil {
			return outcome{}, err
		}
		engines = append(engines, e)
	}
	time.Sleep(3 * time.Second)
	if w.trouble {
		for i, e := range engines {
			body := fmt.Sprintf(`{"service":"asset-inventory","address":%q,"zone":"sialkot","version":"v1","slots":1,"state":"ready","cold_left_ms":0,"seq":1,"born":%d}`,
				e.addr, time.Now().UnixMilli())
			status, text := w.call("PUT", w.nodes[i].url(w.ports.control, fmt.Sprintf("/dotterelgap/instances/asset-%d", i)), body, time.Second)
			w.log("another writer checks in at %s: %s -> %d %s", w.nodes[i].name, body, status, text)
		}
	}
	time.Sleep(time.Second)
	sent, served, statuses := 0, 0, map[int]int{}
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for end := time.Now().Add(writerTime); time.Now().Before(end); <-ticker.C {
		status := w.readOnce(w.nodes[sent%len(w.nodes)], sent)
		sent++
		statuses[status]++
		if status == http.StatusOK {
			served++
		}
		if sent%25 == 0 {
			w.log("sent %d, served %d, by status %v; requests run by engines %d", sent, served, statuses, runCount.Load())
		}
	}
	text := fmt.Sprintf("in %.0f s: requests sent %d, served %d, by status %v, run by engines %d",
		writerTime.Seconds(), sent, served, statuses, runCount.Load())
	return outcome{broken: served == 0, text: text}, nil
}

// readOnce sends one safe request and returns the status of the answer, or 0.
func (w *world) readOnce(n *node, i int) int {
	req, err := http.NewRequest("GET", n.url(w.ports.front, "/read/lo20/"), nil)
	if err != nil {
		return 0
	}
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", fmt.Sprintf("%016x", i))
	req.Header.Set("Authorization", "Bearer k1k1k1k1k1")
	req.Header.Set("X-Deadline-Ms", "1500")
	c := &http.Client{Timeout: 1500 * time.Millisecond}
	resp, err := c.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
