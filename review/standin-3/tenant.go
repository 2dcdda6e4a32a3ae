package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case of the tenant.
const (
	prepaid = 300_000
	// tenantRate is the rate of the tenant's requests. Each has promptTokens and at most mostOutput
	// tokens, of which the engine makes all, stride in an event.
	tenantRate   = 100.0
	promptTokens = 900
	mostOutput   = 90
	stride       = 3
	eventPause   = 5 * time.Millisecond
	firstPause   = 40 * time.Millisecond
	planDeadline = 6 * time.Second
	// usedUpShare is the share of the prepaid amount that must have been consumed before the race.
	usedUpShare = 0.97
	usedUpPause = 2 * time.Second
	// races is the number of races. raceGap is the time between the second operator's configuration and the first
	// one's next, and between that and the next race.
	races   = 3
	raceGap = 1500 * time.Millisecond
	// tenantTail is the traffic after the race.
	tenantTail = 6 * time.Second
)

// tenantConfiguration returns a configuration with some routes more and the prepaid amount of the tenant kasur, or
// without that tenant if the amount is 0.
func tenantConfiguration(version, routes, kasur int) string {
	var extra strings.Builder
	for i := range routes {
		fmt.Fprintf(&extra, `{"name":"r-extra%d","host":"plan.example","path_prefix":"/extra%d/","kind":"safe","timeout_ms":800,"slo_ms":150,"priority":2,"service":"model","attempts":1,"public":false,"sticky":true,"resumable":false,"gap_slo_ms":300},`, i, i)
	}
	tenants := `{"name":"pattoki","api_keys":["key-pattoki"],"priority":1,"prepaid":500000}`
	if kasur > 0 {
		tenants += fmt.Sprintf(`,{"name":"kasur","api_keys":["key-kasur"],"priority":1,"prepaid":%d}`, kasur)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s
{"name":"r-plan","host":"plan.example","path_prefix":"/plan/","kind":"stream","timeout_ms":6000,"slo_ms":800,"priority":1,"service":"model","attempts":1,"public":false,"sticky":true,"resumable":false,"gap_slo_ms":300}],
"services":[{"name":"model","health_path":"/healthz","max_conns":500,"protocol":"h1","tls":false,"engine":{"slots":96,"kv_capacity":297824,"kv_bytes":131072,"link_mbps":550000.0,"moves":true,"backups":true,"stride":%d,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[%s]}`, version, extra.String(), stride, tenants)
}

// tenancy is the state of the case.
type tenancy struct {
	*play

	mu sync.Mutex
	// consumed counts what whole answers have brought to the tenant: the prompt once, and the events.
	consumed int
	answers  map[string]int
	// begun counts the requests that got a part of an answer, ended all, wholeAnswers those with a
	// whole answer.
	begun, ended, wholeAnswers int
}

// tenantCase has a tenant use up its prepaid amount. Then two operators change the configuration at once, of whom
// the second began from a version that did not have the tenant yet; the first one sends its change again, on the
// newest version. Without the trouble, the second operator's configuration has the tenant too.
func (p *play) tenantCase() int {
	c := &tenancy{play: p, answers: map[string]int{}}
	var engines []*engine
	for i := range 6 {
		e, err := startEngine("model", zoneNames[i%len(zoneNames)], 96, p.rec, stream)
		if err != nil {
			p.fail(err.Error())
			return cannotRun
		}
		engines = append(engines, e)
	}
	if !p.setUp(tenantConfiguration(7, 0, prepaid), engines) {
		return cannotRun
	}
	var traffic sync.WaitGroup
	done := make(chan struct{})
	traffic.Go(func() { c.consume(tenantRate, done) })
	usedUp := c.awaitUsedUp(40 * time.Second)
	before := c.tokens()
	p.say("kasur has consumed %d of its %d tokens", before, prepaid)
	time.Sleep(usedUpPause)
	acked := usedUp
	for i := range races {
		acked = acked && c.race(8+5*i)
	}
	time.Sleep(tenantTail)
	close(done)
	traffic.Wait()
	switch {
	case !usedUp:
		p.fail("the tenant's amount was not used up")
		return cannotRun
	case !acked:
		p.fail("a configuration was not acknowledged")
		return cannotRun
	}
	return c.judge()
}

// race sends the configurations of two operators at once, and then the first one's again on the newest version. It
// reports whether all were acknowledged.
func (c *tenancy) race(version int) bool {
	var first, second, again bool
	var both sync.WaitGroup
	send := func(operator string, version, node, kasur int) bool {
		name := fmt.Sprintf("%s, version %d, kasur's amount %d", operator, version, kasur)
		return c.f.publish(name, tenantConfiguration(version, version%5, kasur), node, 5*time.Second)
	}
	base := prepaid
	if c.trouble {
		base = 0 // the second operator's base did not have the tenant
	}
	both.Go(func() { first = send("operator 1", version, 1, prepaid) })
	both.Go(func() { second = send("operator 2", version+1, 4, base) })
	both.Wait()
	time.Sleep(raceGap)
	again = send("operator 1", version+3, 2, prepaid)
	time.Sleep(raceGap)
	return first && second && again
}

// stream answers with all events of a request.
func stream(e *engine, w http.ResponseWriter, r *http.Request, id string) {
	e.rec.printf("%s: runs %s of tenant %s", e.id, id, r.Header.Get("X-Tenant"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Server-Seal", e.seal(id))
	flush := http.NewResponseController(w)
	time.Sleep(firstPause)
	for i := 1; i <= mostOutput/stride; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("t", 30)); err != nil {
			return
		}
		if flush.Flush() != nil {
			return
		}
		time.Sleep(eventPause)
	}
}

// consume sends the tenant's requests at a steady rate, each on a new channel, until done is closed.
func (c *tenancy) consume(rate float64, done <-chan struct{}) {
	client := &http.Client{Timeout: planDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	var all sync.WaitGroup
	defer all.Wait()
	begin := time.Now()
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(time.Until(begin.Add(time.Duration(float64(i) / rate * float64(time.Second))))):
		}
		all.Go(func() { c.request(client) })
	}
}

func (c *tenancy) request(client *http.Client) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	in := c.platform.rotation()
	n := in[rand.IntN(len(in))]
	req, err := http.NewRequest(http.MethodPost, "http://"+c.f.addr(n, c.f.ports.front)+"/plan/a", bytes.NewReader(make([]byte, 2000)))
	if err != nil {
		panic(err)
	}
	req.Host = "plan.example"
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Deadline-Ms": fmt.Sprint(planDeadline.Milliseconds()), "Authorization": "Bearer key-kasur", "X-Model": "m",
		"X-Token-Usage":   fmt.Sprintf("%d,%d", promptTokens, mostOutput),
		"X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:%d,%s:%d", promptTokens/2, id, promptTokens-promptTokens/2),
	} {
		req.Header.Set(name, value)
	}
	c.rec.printf("consumer: kasur sends %s to %s", id, n.name)
	answer, events := "no answer", 0
	if resp, err := client.Do(req); err == nil {
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		events = bytes.Count(body, []byte("\n\n"))
		answer = fmt.Sprint(resp.StatusCode)
		if err != nil {
			answer += " broken off"
		}
	}
	c.rec.printf("consumer: %s gets %s with %d events", id, answer, events)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[answer]++
	c.ended++
	if events > 0 || answer[0] == '2' {
		c.begun++
	}
	if answer == "200" && events == mostOutput/stride {
		c.consumed += promptTokens + events*stride
		c.wholeAnswers++
	}
}

func (c *tenancy) tokens() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.consumed
}

// awaitUsedUp waits until the tenant has consumed usedUpShare of its amount. What is left may be too little at
// each node for one request more, which is then refused with 402 or 503.
func (c *tenancy) awaitUsedUp(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		c.mu.Lock()
		usedUp := float64(c.consumed) >= usedUpShare*prepaid
		c.mu.Unlock()
		if usedUp {
			return true
		}
	}
	return false
}

// judge checks BUDGET: the tenant gets no more than its prepaid amount. Whole answers only are counted.
func (c *tenancy) judge() int {
	c.say("answers to kasur: %v", c.answers)
	c.say("kasur has consumed %d tokens of %d", c.consumed, prepaid)
	if c.consumed > prepaid {
		c.say("BUDGET is broken")
		return ruleBroken
	}
	c.say("BUDGET held")
	return ruleHeld
}
