package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Figures of the case of lost funds.
const (
	fundsPrepaid = 800_000
	fundsRate    = 20.0
	// fundsLead is the traffic before the freeze, freezeFor how long machines stand still, downFor how long all
	// processes are down in the final fault.
	fundsLead = 10 * time.Second
	freezeFor = 7600 * time.Millisecond
	downFor   = time.Second
	recover   = 12 * time.Second
	// changeBefore is how long before the final fault a change of the configuration is sent.
	changeBefore = 300 * time.Millisecond
	// judgedFor is how long requests are judged after recover.
	judgedFor = 6 * time.Second
	// owedShare is the share of the prepaid amount into which a request has to fit to be owed.
	owedShare = 0.97
)

// frozen are the nodes that freeze: those without a data folder, whose loss does not count.
var frozen = []int{3, 4, 5}

// fundsCase freezes the machines without a disk, and then ends all processes, shortly after a change was sent. Without the trouble no machine freezes.
// From recover after the machines are back, at least a quarter of the requests that are owed is to be served.
func (p *play) fundsCase() int {
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
	if !p.setUp(tenantConfiguration(7, 0, fundsPrepaid), engines) {
		return cannotRun
	}
	var traffic sync.WaitGroup
	done := make(chan struct{})
	traffic.Go(func() { c.consume(fundsRate, done) })
	time.Sleep(fundsLead)
	if p.trouble {
		for _, i := range frozen {
			p.rec.printf("platform: %s freezes", p.f.nodes[i].name)
			p.f.nodes[i].signal(syscall.SIGSTOP)
		}
	}
	time.Sleep(freezeFor - changeBefore)
	changed := tenantConfiguration(8, 1, fundsPrepaid)
	go p.f.publish("operator, version 8", changed, 0, changeBefore)
	time.Sleep(changeBefore)
	before := c.count()
	p.f.killAll()
	time.Sleep(downFor)
	if err := p.f.startAgain(); err != nil {
		p.fail(err.Error())
		return cannotRun
	}
	go p.f.publish("operator, version 8 again", changed, 0, recover)
	p.say("all processes are back; kasur has consumed %d of %d tokens", before.tokens, fundsPrepaid)
	time.Sleep(recover)
	from := c.count()
	time.Sleep(judgedFor)
	to := c.count()
	close(done)
	traffic.Wait()
	return c.judgeFunds(before, from, to)
}

// counts are the requests, the whole answers and the most tokens that the tenant may have consumed so far.
type counts struct{ requests, whole, tokens, most int }

func (c *tenancy) count() counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return counts{requests: c.ended, whole: c.wholeAnswers, tokens: c.consumed, most: c.begun * (promptTokens + mostOutput)}
}

// judgeFunds checks RECOVER.
func (c *tenancy) judgeFunds(before, from, to counts) int {
	sent, served := to.requests-from.requests, to.whole-from.whole
	c.say("answers to kasur: %v", c.answers)
	c.say("before the final fault: %d of %d served", before.whole, before.requests)
	c.say("from %v after it: %d of %d served; consumed at the most %d of %d tokens, %.0f%%", recover, served, sent, to.most, fundsPrepaid,
		100*float64(to.most)/fundsPrepaid)
	switch {
	case sent == 0 || 4*before.whole < before.requests:
		c.fail("too little was served before the final fault")
		return cannotRun
	case float64(to.most+promptTokens+mostOutput) > owedShare*fundsPrepaid:
		c.fail("the requests are not owed")
		return cannotRun
	case 4*served < sent:
		c.say("RECOVER is broken")
		return ruleBroken
	}
	c.say("RECOVER held")
	return ruleHeld
}

// killAll ends all processes at once, those that are frozen too.
func (f *fleet) killAll() {
	f.rec.printf("platform: all processes are killed")
	var all sync.WaitGroup
	for _, n := range f.nodes {
		all.Go(func() { <-n.signal(syscall.SIGKILL) })
	}
	all.Wait()
}

// startAgain starts all processes with their disks.
func (f *fleet) startAgain() error {
	for _, n := range f.nodes {
		if err := f.start(n, false); err != nil {
			return fmt.Errorf("%s: %w", n.name, err)
		}
	}
	return nil
}
