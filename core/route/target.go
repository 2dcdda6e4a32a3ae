package route

import (
	"cmp"
	"slices"
	"time"

	"dotterelgap/core/fleet"
)

// smoothing is the weight of the newest observation.
const smoothing = 0.2

// target is what an entry knows of one upstream.
type target struct {
	node     fleet.Node
	since    time.Time
	inFlight int
	// load is the newest report; sinceReport counts own requests after it.
	load        Load
	sinceReport int
	turnTime    time.Duration
	tokenTime   time.Duration
	// firstToken smooths the times to the first token, for comparison.
	firstToken time.Duration
	cache      blockCache
	failures   int
	ejections  int
	ejected    time.Time
}

func newTarget(n fleet.Node, now time.Time, slowStart bool, opts Options) *target {
	t := &target{node: n, turnTime: opts.TurnTime, tokenTime: opts.TokenTime, cache: newBlockCache(opts.CacheBlocks)}
	if slowStart {
		t.since = now
	}
	return t
}

func (t *target) usable(now time.Time) bool {
	return !now.Before(t.ejected)
}

// queue estimates how many requests are before a new one.
func (t *target) queue() int {
	return max(t.load.Waiting+t.load.Running+t.sinceReport, t.inFlight)
}

func (t *target) report(l Load) {
	t.load = l
	t.sinceReport = 0
}

// observe learns the upstream's times from one answer.
func (t *target) observe(res Result, opts Options) {
	t.firstToken = smooth(t.firstToken, res.FirstToken)
	queued := time.Duration(t.queue()) * t.turnTime
	cached := t.cache.prefix(res.Blocks) * opts.BlockTokens
	uncached := max(res.Tokens-cached, 1)
	prefill := time.Duration(uncached) * t.tokenTime
	total := max(queued+prefill, time.Microsecond)
	// The error is shared out in the proportion of the two estimates.
	ratio := float64(res.FirstToken) / float64(total)
	ratio = min(max(ratio, 0.25), 4)
	t.turnTime = scale(t.turnTime, ratio)
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

// failed counts a failure and ejects the upstream after several in a row.
func (r *Router) failed(now time.Time, t *target) {
	t.failures++
	if t.failures >= r.opts.EjectAfter {
		r.eject(now, t)
	}
}

// checkSlow ejects an upstream that answers far more slowly than its peers: it
// fails without saying so.
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

// eject takes an upstream out for a while, longer each time, unless too many of
// the service are out already.
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
	t.ejected = now.Add(r.opts.EjectFor << (t.ejections - 1))
	t.failures = 0
	t.firstToken = 0
	t.since = t.ejected
}
