package front

import (
	"context"
	"time"

	"dotterelgap/core/admit"
	"dotterelgap/core/policy"
	"dotterelgap/core/sched"

	"github.com/cespare/xxhash/v2"
)

// admission drives the queues of the services without prompts. The Front's lock guards it. The
// nil admission lets all requests pass.
type admission struct {
	f      *Front
	queues map[string]*serviceQueue
	// closed is set once nothing waits any more.
	closed bool
}

// serviceQueue is the queue of one service, with the calls that wait in it.
type serviceQueue struct {
	*admit.Queue
	service string
	waiting map[admit.Ticket]chan<- admit.Told
	// scheduled is set while a timer will advance the queue.
	scheduled bool
}

func newAdmission(f *Front) *admission { return &admission{f: f, queues: map[string]*serviceQueue{}} }

// queue returns the queue of a service.
func (a *admission) queue(service string) *serviceQueue {
	q, ok := a.queues[service]
	if !ok {
		q = &serviceQueue{Queue: admit.New(admit.DefaultOptions()), service: service, waiting: map[admit.Ticket]chan<- admit.Told{}}
		a.queues[service] = q
		if a.closed {
			q.Close(time.Now())
		}
	}
	return q
}

// forget deletes the queues of services that are not in the policy any more.
func (a *admission) forget(t *policy.Table) {
	if a == nil || t == nil {
		return
	}
	for name, q := range a.queues {
		if _, ok := t.Service(name); !ok && len(q.waiting) == 0 && q.Idle() {
			delete(a.queues, name)
		}
	}
}

// ask decides on a request. If it waits, the channel gets the decision.
func (a *admission) ask(r admit.Request, service string) (sched.Decision, admit.Ticket, <-chan admit.Told) {
	q := a.queue(service)
	now := time.Now()
	d, ticket := q.Ask(now, r, a.f.balancer.Room(now, service))
	if d.Action != sched.Wait {
		return d, ticket, nil
	}
	told := make(chan admit.Told, 1)
	q.waiting[ticket] = told
	a.advance(service)
	return d, ticket, told
}

// advance tells the requests that wait for a service what was decided.
func (a *admission) advance(service string) {
	if a == nil {
		return
	}
	q, ok := a.queues[service]
	if !ok || len(q.waiting) == 0 {
		return
	}
	now := time.Now()
	room := a.f.balancer.Room(now, service)
	q.tell(q.Advance(now, room))
	if after, ok := q.Recheck(now, room); ok && !q.scheduled {
		q.scheduled = true
		time.AfterFunc(after, func() { a.onTimer(q) })
	}
}

// onTimer advances a queue and schedules the next time.
func (a *admission) onTimer(q *serviceQueue) {
	a.f.mu.Lock()
	defer a.f.mu.Unlock()
	q.scheduled = false
	a.advance(q.service)
}

// tell passes decisions to the calls that wait for them.
func (q *serviceQueue) tell(all []admit.Told) {
	for _, t := range all {
		if ch, ok := q.waiting[t.Ticket]; ok {
			delete(q.waiting, t.Ticket)
			ch <- t
		}
	}
}

// leave removes a call that waits. If it was to be sent, its place is free again.
func (a *admission) leave(service string, ticket admit.Ticket, told <-chan admit.Told) {
	q := a.queue(service)
	delete(q.waiting, ticket)
	q.Leave(ticket)
	select {
	case t := <-told:
		if t.Decision.Action == sched.Send {
			q.Taken()
		}
	default:
	}
	a.advance(service)
}

// stopWaiting rejects all requests that wait.
func (f *Front) stopWaiting() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.admission == nil {
		return
	}
	f.admission.closed = true
	for _, q := range f.admission.queues {
		q.tell(q.Close(time.Now()))
	}
}

// admitted is what admission decided on a call.
type admitted struct {
	decision sched.Decision
	// asked is set if admission decided on the request, and granted while it is to be sent and
	// is not in flight yet.
	asked, granted bool
	waited         time.Duration
}

// admit returns nil once the request may be sent, or the response to one that is rejected.
func (c *call) admit(ctx context.Context) *responseError {
	if c.f.admission == nil || c.service.Engine != nil {
		return nil
	}
	began := time.Now()
	c.admitted.asked = true
	d, ok := c.awaitDecision(ctx)
	c.admitted.decision = d
	c.admitted.waited = time.Since(began)
	c.f.metrics.countAdmission(c.admitted)
	if !ok {
		return c.expiredError()
	}
	if d.Action == sched.Reject {
		failure := *errNotAdmitted
		failure.retryAfter = d.After
		return &failure
	}
	c.admitted.granted = true
	return nil
}

// awaitDecision waits until the request may be sent or is rejected; ok is false if the caller
// left or the deadline passed before.
func (c *call) awaitDecision(ctx context.Context) (d sched.Decision, ok bool) {
	a, service := c.f.admission, c.service.Name
	c.f.mu.Lock()
	d, ticket, told := a.ask(c.admitRequest(), service)
	c.f.mu.Unlock()
	if told == nil {
		return d, true
	}
	c.f.metrics.addWaiting(1)
	defer c.f.metrics.addWaiting(-1)
	select {
	case t := <-told:
		return t.Decision, true
	case <-ctx.Done():
		c.f.mu.Lock()
		defer c.f.mu.Unlock()
		a.leave(service, ticket, told)
		return d, false
	}
}

func (c *call) admitRequest() admit.Request {
	return admit.Request{
		ID: xxhash.Sum64String(c.id), Rank: c.rank(), Customer: xxhash.Sum64String(c.customer), Size: len(c.body), Bytes: len(c.body),
		Objective: c.objectiveLeft(), Deadline: c.timeLeft(),
	}
}

// notAdmitted returns the response to a request that is rejected because of the upstreams' load.
func (c *call) notAdmitted(reason sched.Reason, after time.Duration) *responseError {
	c.admitted.decision = sched.Decision{Action: sched.Reject, Reason: reason}
	failure := *errNotAdmitted
	failure.retryAfter = after + time.Duration(xxhash.Sum64String(c.id)%uint64(retrySpread))
	return &failure
}

// placeTaken tells admission that the request is in flight, or is not sent.
func (c *call) placeTaken() {
	if !c.admitted.granted {
		return
	}
	c.admitted.granted = false
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	c.f.admission.queue(c.service.Name).Taken()
}

// countUnplaced counts a request for which no upstream could be chosen.
func (c *call) countUnplaced(failure *responseError) {
	c.f.metrics.countPaced(failure)
	if failure.code == errNotAdmitted.code {
		c.f.metrics.countAdmission(c.admitted)
	}
}
