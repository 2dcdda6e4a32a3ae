package route

import (
	"cmp"
	"slices"
	"time"

	"dotterelgap/core/fleet"
)

// smoothing is the weight of the latest observation in a moving average.
const smoothing = 0.2

// target is an entry's view of one upstream.
type target struct {
	node      fleet.Node
	rampStart time.Time
	inFlight  int
	// load is the latest report; sinceReport counts this entry's requests after it.
	load        Load
	sinceReport int
	queueTime   time.Duration
	tokenTime   time.Duration
	// firstToken is the moving average of the time to first token; it is compared with
	// that of other upstreams.
	firstToken   time.Duration
	cache        blockCache
	failures     int
	ejections    int
	ejectedUntil time.Time
}

func newTarget(n fleet.Node, now time.Time, slowStart bool, opts Options) *target {
	t := &target{node: n, queueTime: opts.QueueTime, tokenTime: opts.TokenTime, cache: newBlockCache(opts.CacheBlocks)}
	if slowStart {
		t.rampStart = now
	}
	return t
}

func (t *target) usable(now time.Time) bool {
	return !now.Before(t.ejectedUntil)
}

// queue returns the estimated number of requests ahead of a new one.
func (t *target) queue() int {
	return max(t.load.Waiting+t.load.Running+t.sinceReport, t.inFlight)
}

func (t *target) report(l Load) {
	t.load = l
	t.sinceReport = 0
}

// observe updates the upstream's estimates from one response.
func (t *target) observe(res Result, opts Options) {
	t.firstToken = smooth(t.firstToken, res.FirstToken)
	queued := time.Duration(t.queue()) * t.queueTime
	cached := t.cache.prefix(res.Blocks) * opts.BlockTokens
	uncached := max(res.Tokens-cached, 1)
	prefill := time.Duration(uncached) * t.tokenTime
	total := max(queued+prefill, time.Microsecond)
	// Scale both estimates by the same factor: each then changes in proportion to its
	// share of the predicted time.
	ratio := float64(res.FirstToken) / float64(total)
	ratio = min(max(ratio, 0.25), 4)
	t.queueTime = scale(t.queueTime, ratio)
	t.tokenTime = scale(t.tokenTime, ratio)
}

func smooth(old, n time.Duration) time.Duration {
	if old == 0 {
		return n
	}
	return old + time.Duration(smoothing*float64(n-old))
}

func scale(d time.Duration, ratio float64) time.Duration {
	f := 1 + smoothing*(ratio-1)
	return min(max(time.Duration(float64(d)*f), time.Microsecond), time.Minute)
}

// failed counts a failure and ejects the upstream after several consecutive ones.
func (r *Router) failed(now time.Time, t *target) {
	t.failures++
	if t.failures >= r.opts.EjectAfter {
		r.eject(now, t)
	}
}

// checkSlow ejects an upstream that responds far more slowly than its peers: it has a
// fault that it does not report.
func (r *Router) checkSlow(now time.Time, t *target) {
	p, ok := r.services[t.node.Service]
	if !ok || len(p.subset) < 3 {
		return
	}
	median := medianFirstToken(p.subset)
	if median > 0 && float64(t.firstToken) > r.opts.SlowFactor*float64(median) {
		r.eject(now, t)
	}
}

func medianFirstToken(from []*target) time.Duration {
	times := make([]time.Duration, 0, len(from))
	for _, t := range from {
		if t.firstToken > 0 {
			times = append(times, t.firstToken)
		}
	}
	if len(times) < 3 {
		return 0
	}
	slices.SortFunc(times, func(a, b time.Duration) int { return cmp.Compare(a, b) })
	return times[len(times)/2]
}

// eject ejects an upstream for a while, for longer each time, unless too many upstreams
// of the service are ejected already.
func (r *Router) eject(now time.Time, t *target) {
	p, ok := r.services[t.node.Service]
	if !ok {
		return
	}
	out := 1
	for _, o := range p.subset {
		if o != t && !o.usable(now) {
			out++
		}
	}
	if float64(out) > r.opts.EjectShare*float64(len(p.subset)) {
		return
	}
	t.ejections = min(t.ejections+1, 6)
	t.ejectedUntil = now.Add(r.opts.EjectTime << (t.ejections - 1))
	t.failures = 0
	t.firstToken = 0
	t.rampStart = t.ejectedUntil
}
