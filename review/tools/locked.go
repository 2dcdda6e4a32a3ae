package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The figures of the case. A request has the size of a production plan, and the customer's
// consumer sends perSecond of them.
const (
	promptTokens = 2890
	outputTokens = 51
	perSecond    = 10
	// lockedPrepaid is 45 s of the customer's use.
	lockedPrepaid = 45 * perSecond * (promptTokens + outputTokens)
)

// playLocked has a machine of the core removed for good while the other fronts without a disk
// are restarted in turn, and looks at what its customer can still use after a final fault.
func playLocked(w *world) (outcome, error) {
	for range 3 {
		w.addNode(true)
	}
	for range 3 {
		w.addNode(false)
	}
	core, thin := w.nodes[:3], w.nodes[3:6]
	for _, n := range w.nodes {
		n.seeds, n.bootstrap = core, true
		if err := n.start(); err != nil {
			return outcome{}, err
		}
	}
	body := strings.Replace(policy(3), `"prepaid":900000000`, fmt.Sprintf(`"prepaid":%d`, lockedPrepaid), 1)
	if w.order(w.nodes, body, 20*time.Second) == nil {
		return outcome{}, fmt.Errorf("the first configuration was not acknowledged")
	}
	if err := w.awaitReady(w.nodes, 20*time.Second); err != nil {
		return outcome{}, err
	}
	for range 4 {
		if _, err := w.startEngine("peg-assistant", 96, 17, 10*time.Millisecond, w.nodes); err != nil {
			return outcome{}, err
		}
	}
	time.Sleep(3 * time.Second)

	c := &customer{w: w}
	lost := core[2]
	w.log("the customer's channels are at %s", lost.name)
	before := c.use("before", []*node{lost}, 8*time.Second)
	rest := append([]*node{core[0], core[1]}, thin...)
	if w.trouble {
		lost.kill()
		w.log("%s lost power and is removed for good", lost.name)
		go func() {
			time.Sleep(time.Second)
			d := w.addNode(true)
			d.seeds = core
			if err := d.start(); err != nil {
				w.log("%v", err)
			}
		}()
	} else {
		rest = append(rest, lost)
	}
	var rolled sync.WaitGroup
	rolled.Go(func() {
		var each sync.WaitGroup
		for _, n := range thin {
			each.Go(func() {
				w.log("planned restart of %s: SIGTERM", n.name)
				n.stop(grace)
				n.bootstrap = false
				if err := n.start(); err != nil {
					w.log("%v", err)
				}
			})
			time.Sleep(1300 * time.Millisecond)
		}
		each.Wait()
	})
	time.Sleep(2 * time.Second)
	middle := c.use("after the removal", rest[:2], 10*time.Second)
	rolled.Wait()
	if err := w.awaitReady(rest, 20*time.Second); err != nil {
		return outcome{}, err
	}
	w.log("final fault: all processes are killed")
	for _, n := range w.nodes {
		if n != lost || !w.trouble {
			n.kill()
		}
	}
	time.Sleep(time.Second)
	for _, n := range w.nodes {
		if n != lost || !w.trouble {
			n.bootstrap = false
			if err := n.start(); err != nil {
				return outcome{}, err
			}
		}
	}
	if err := w.awaitReady(rest, 20*time.Second); err != nil {
		return outcome{}, err
	}
	time.Sleep(recover)
	after := c.use("later than recover_s after the final fault", rest, 5*time.Second)
	used := c.used()
	fits := lockedPrepaid*97/100 - used - after.sent*(promptTokens+outputTokens)
	text := fmt.Sprintf("served before the final fault %d of %d, later than recover_s after it %d of %d; the customer paid for %d tokens and used %d, so all %d of these requests were owed: %t",
		before.served+middle.served, before.sent+middle.sent, after.served, after.sent, lockedPrepaid, used, after.sent, fits >= 0)
	broken := 4*after.served < after.sent && 4*(before.served+middle.served) >= before.sent+middle.sent && fits >= 0
	return outcome{broken: broken, text: text}, nil
}

// customer sends requests of one tenant and counts what it gets.
type customer struct {
	w      *world
	mu     sync.Mutex
	ids    int
	tokens int
}

// tally counts requests and how they ended.
type tally struct {
	sent, served int
	statuses     map[int]int
}

func (c *customer) used() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tokens
}

// use sends requests to the nodes in turn for a time, each on a channel that is kept.
func (c *customer) use(when string, nodes []*node, span time.Duration) tally {
	t := tally{statuses: map[int]int{}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	for end := time.Now().Add(span); time.Now().Before(end); <-ticker.C {
		n := nodes[t.sent%len(nodes)]
		t.sent++
		wg.Go(func() {
			status := c.plan(n)
			mu.Lock()
			defer mu.Unlock()
			t.statuses[status]++
			if status == http.StatusOK {
				t.served++
			}
		})
	}
	wg.Wait()
	c.w.log("%s: sent %d, served %d, by status %v; used so far %d of %d tokens", when, t.sent, t.served, t.statuses, c.used(), lockedPrepaid)
	return t
}

// plan sends one request and returns the status of its answer, or 0 if it isn't whole. It
// counts the prompt once a part of the answer came, and the tokens that were delivered.
func (c *customer) plan(n *node) int {
	c.mu.Lock()
	c.ids++
	id := c.ids
	c.mu.Unlock()
	req, err := http.NewRequest("POST", n.url(c.w.ports.front, "/plan/2f"), strings.NewReader("a prompt"))
	if err != nil {
		return 0
	}
	req.Host = "h.example"
	for k, v := range map[string]string{
		"X-Request-Id": fmt.Sprintf("%016x", id), "Authorization": "Bearer k1k1k1k1k1", "X-Model": "m", "X-Deadline-Ms": "6000",
		"X-Token-Usage": fmt.Sprintf("%d,%d", promptTokens, outputTokens), "X-Prompt-Prefix": fmt.Sprintf("a0a0:2000,%x:890", 0x5000+id),
	} {
		req.Header.Set(k, v)
	}
	client := &http.Client{Timeout: 6 * time.Second, Transport: c.w.client.Transport}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if resp.StatusCode == http.StatusOK && len(data) > 0 {
		events := strings.Count(string(data), "\n\n")
		c.mu.Lock()
		c.tokens += promptTokens + min(3*events, outputTokens)
		c.mu.Unlock()
	}
	if err != nil {
		return 0
	}
	return resp.StatusCode
}
