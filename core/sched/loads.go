package sched

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of what nodes tell each other of the load of a service without prompts.
const (
	// loadPeriod is the time over which a node's load is averaged and after which it tells it again.
	loadPeriod = time.Second
	// minToldLoad is the load, in requests in flight, below which a node tells nothing.
	minToldLoad = 0.05
	// crowdedShare is the part of the places of a service from which on nodes tell each other of each
	// request. Below it requests hardly ever wait, and the datagrams would cost more than they gain.
	crowdedShare = 0.5
	// crowdedTime is how long nodes tell of each request after an upstream rejected one as full.
	crowdedTime = time.Second
	// maxToldLoads bounds the loads of other nodes that are remembered for one service.
	maxToldLoads = 256
)

// serviceLoad is what a node knows of the load of a service without prompts.
type serviceLoad struct {
	hash uint64
	// inFlight are this node's requests, area their sum over time since begin, and average their mean
	// number in the period before.
	inFlight int
	area     float64
	at       time.Time
	begin    time.Time
	average  float64
	// told are the averages of other nodes.
	told []toldLoad
	// fullUntil is the time until which the service counts as crowded because of a rejection.
	fullUntil time.Time
}

// toldLoad is the average load of another node.
type toldLoad struct {
	at   time.Time
	load float64
}

// change records that a request of this node began or ended.
func (l *serviceLoad) change(now time.Time, by int) {
	l.advance(now)
	l.inFlight = max(l.inFlight+by, 0)
}

// advance adds the time since the latest change.
func (l *serviceLoad) advance(now time.Time) {
	if l.begin.IsZero() {
		l.begin, l.at = now, now
	}
	l.area += float64(l.inFlight) * now.Sub(l.at).Seconds()
	l.at = now
}

// tell returns the update on this node's load once a period is over.
func (l *serviceLoad) tell(now time.Time) (u Update, send bool) {
	l.advance(now)
	period := now.Sub(l.begin)
	if period < loadPeriod {
		return Update{}, false
	}
	l.average = l.area / period.Seconds()
	l.area, l.begin = 0, now
	return Update{Kind: ServiceLoad, Upstream: l.hash, Load: l.average}, l.average >= minToldLoad
}

// hear records the load of another node.
func (l *serviceLoad) hear(now time.Time, load float64) {
	if len(l.told) >= maxToldLoads {
		l.told = slices.Delete(l.told, 0, 1)
	}
	l.told = append(l.told, toldLoad{at: now, load: load})
}

// total returns the average load of all nodes. Each node tells its load once in a period.
func (l *serviceLoad) total(now time.Time) float64 {
	l.told = slices.DeleteFunc(l.told, func(t toldLoad) bool { return now.Sub(t.at) >= loadPeriod })
	sum := l.average
	for _, t := range l.told {
		sum += t.load
	}
	return sum
}

// crowded reports whether nodes are to tell each other of each request for the service.
func (b *Balancer) crowded(now time.Time, l *serviceLoad, service string) bool {
	if now.Before(l.fullUntil) {
		return true
	}
	places := 0
	for _, t := range b.services[service] {
		places += t.slots()
	}
	return l.total(now) >= crowdedShare*float64(places)
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
	l.change(now, -1)
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
