package sched

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of what nodes tell each other of the load of a service without prompts.
const (
	// loadPeriod is the time over which a node's load is averaged, and after which it tells it again.
	loadPeriod = time.Second
	// minToldRate is the rate in requests per second below which a node tells nothing.
	minToldRate = 0.2
	// crowdedShare is the part of the places of a service from which on nodes tell each other of each
	// request. Below it requests hardly ever wait, and the datagrams would cost more than they gain.
	// The load is estimated low, since an occupancy is.
	crowdedShare = 0.35
	// crowdedTime is how long nodes tell of each request after an upstream rejected one as full.
	crowdedTime = time.Second
	// maxToldLoads bounds the loads of other nodes that are remembered for one service.
	maxToldLoads = 1024
)

// serviceLoad is what a node knows of the load of a service without prompts.
type serviceLoad struct {
	hash uint64
	// inFlight are this node's requests. sent counts those since begin, and rate is their number per
	// second in the period before.
	inFlight, sent int
	begin          time.Time
	rate           float64
	// own is this node's estimate of the time of a request, and occupied that of all nodes.
	own, occupied occupancy
	// told are the rates of other nodes.
	told []toldLoad
	// fullUntil is the time until which the service counts as crowded because of a rejection.
	fullUntil time.Time
}

// toldLoad is the rate of another node in requests per second.
type toldLoad struct {
	at   time.Time
	rate float64
}

// began records that a request of this node is sent.
func (l *serviceLoad) began(now time.Time) {
	if l.begin.IsZero() {
		l.begin = now
	}
	l.inFlight++
	l.sent++
}

// tell returns the update on this node's load once a period is over.
func (l *serviceLoad) tell(now time.Time) (u Update, send bool) {
	period := now.Sub(l.begin)
	if l.begin.IsZero() || period < loadPeriod {
		return Update{}, false
	}
	l.rate = float64(l.sent) / period.Seconds()
	l.sent, l.begin = 0, now
	l.occupied.observe(time.Duration(l.own))
	return Update{Kind: ServiceLoad, Upstream: l.hash, Load: l.rate, Occupies: time.Duration(l.own)}, l.rate >= minToldRate
}

// hear records the load of another node. A node with a slow link overestimates the time of a
// request, so that the estimates of the others count more.
func (l *serviceLoad) hear(now time.Time, rate float64, occupies time.Duration) {
	l.occupied.observe(occupies)
	if len(l.told) >= maxToldLoads {
		l.told = slices.Delete(l.told, 0, 1)
	}
	l.told = append(l.told, toldLoad{at: now, rate: rate})
}

// total returns the mean number of requests of all nodes in flight. Each node tells its rate once in
// a period.
func (l *serviceLoad) total(now time.Time) float64 {
	l.told = slices.DeleteFunc(l.told, func(t toldLoad) bool { return now.Sub(t.at) >= loadPeriod })
	rate := l.rate
	for _, t := range l.told {
		rate += t.rate
	}
	return rate * l.occupied.time().Seconds()
}

// crowded reports whether requests for the service may have to wait. Nodes then tell each other
// of each request.
func (b *Balancer) crowded(now time.Time, service string) bool {
	l, ok := b.loads[service]
	if !ok {
		return false
	}
	places := 0
	for _, t := range b.services[service] {
		places += t.slots()
	}
	return now.Before(l.fullUntil) || l.inFlight >= places || l.total(now) >= crowdedShare*float64(places)
}

// keepLoads keeps the loads of the services that have upstreams.
func (b *Balancer) keepLoads() {
	next := make(map[string]*serviceLoad, len(b.services))
	b.loadByHash = make(map[uint64]*serviceLoad, len(b.services))
	for _, t := range b.targets {
		name := t.up.Service
		l, ok := next[name]
		if !ok {
			l, ok = b.loads[name]
		}
		if !ok {
			l = &serviceLoad{hash: xxhash.Sum64String(name)}
		}
		next[name] = l
		b.loadByHash[l.hash] = l
	}
	b.loads = next
}

// recordLoad records the end of an attempt at a service.
func (b *Balancer) recordLoad(now time.Time, service string, o Outcome) {
	l, ok := b.loads[service]
	if !ok {
		return
	}
	l.inFlight = max(l.inFlight-1, 0)
	if o == Rejected {
		l.fullUntil = now.Add(crowdedTime)
	}
}

// TellLoad returns the update on this node's load of a service for the other nodes; send is false
// if there is none to send now.
func (b *Balancer) TellLoad(now time.Time, service string) (u Update, send bool) {
	l, ok := b.loads[service]
	if !ok || !b.opts.SharePlaces {
		return Update{}, false
	}
	return l.tell(now)
}
