package front

import (
	"net/http"
	"net/url"
	"time"

	"dotterelgap/core/sched"
)

// Destination is where a request would go now, and why.
type Destination struct {
	// Code is the code of the response if the request would be rejected before an upstream is
	// chosen, or because none is left; empty if it would be sent or would wait.
	Code string
	// Policy is the number of the policy in force.
	Policy uint64
	// Route, Service and Customer are those of the request, as far as they are known.
	Route, Service, Customer string
	// Rank is the request's priority, Objective its latency objective, and Timeout the time for
	// which it may take.
	Rank               int
	Objective, Timeout time.Duration
	// Upstream is the id of the upstream that would get it.
	Upstream string
	// Waits is set if it would not be sent at once, but wait for a place or be rejected early, and
	// Waiting is the number of requests that wait already.
	Waits   bool
	Waiting int
	// Prospects are the upstreams of the service.
	Prospects []sched.Prospect
}

// Where returns where a request with this host, path and header would go now. Nothing is sent,
// reserved or counted. Whether the customer has tokens left is not looked at.
func (f *Front) Where(host, path string, header http.Header) (Destination, error) {
	u, err := url.ParseRequestURI(path)
	if err != nil {
		return Destination{}, err
	}
	r := &http.Request{Method: http.MethodPost, Host: host, URL: u, RequestURI: path, Header: header}
	c := &call{f: f, r: r, start: time.Now(), id: header.Get(f.deps.Dialect.RequestID)}
	failure := c.identify()
	if failure == nil {
		failure = c.checkQuarantine()
	}
	d := c.destination()
	if failure != nil {
		d.Code = failure.code
		return d, nil
	}
	c.survey(&d)
	return d, nil
}

// destination returns what is known of a request that was identified, as far as it was.
func (c *call) destination() Destination {
	d := Destination{Customer: c.customer}
	if c.table != nil {
		d.Policy = c.table.Number
	}
	if c.route != nil {
		d.Route, d.Rank, d.Objective, d.Timeout = c.route.Name, c.rank(), c.route.Objective, c.route.Timeout
	}
	if c.service != nil {
		d.Service = c.service.Name
	}
	return d
}

// survey sets what the balancer knows.
func (c *call) survey(d *Destination) {
	f := c.f
	f.mu.Lock()
	now := time.Now()
	list, choice, ok := f.balancer.Survey(now, c.query())
	d.Prospects, d.Upstream = list, choice.Upstream.ID
	if f.admission != nil && c.service.Engine == nil {
		q := f.admission.queue(d.Service)
		d.Waits, d.Waiting = !q.Passes(f.balancer.Room(now, d.Service)), q.Waiting()
	}
	f.mu.Unlock()
	if !ok {
		d.Upstream = ""
		d.Code = c.noChoiceError(errNoUpstream).code
	}
}
