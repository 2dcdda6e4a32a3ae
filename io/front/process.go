package front

import (
	"math"
	runtimemetrics "runtime/metrics"
	"time"
)

// waitQuantile is the part of the goroutines that waited for the processor for at most what
// process.wait returns.
const waitQuantile = 0.9

// process measures this process by what the runtime counts.
type process struct {
	// waits are the counts of the runtime's histogram at the latest call of wait.
	waits []uint64
}

// wait returns how long most goroutines that became ready since the latest call waited for the
// processor. Timers alone don't show it, since the runtime lets their goroutines go first.
func (p *process) wait() time.Duration {
	samples := []runtimemetrics.Sample{{Name: "/sched/latencies:seconds"}}
	runtimemetrics.Read(samples)
	h := samples[0].Value.Float64Histogram()
	if p.waits == nil {
		p.waits = make([]uint64, len(h.Counts))
	}
	var total uint64
	for i, count := range h.Counts {
		p.waits[i], h.Counts[i] = count, count-p.waits[i]
		total += h.Counts[i]
	}
	rest := uint64(math.Ceil(waitQuantile * float64(total)))
	for i, count := range h.Counts {
		if rest <= count {
			return time.Duration(max(h.Buckets[i], 0) * float64(time.Second))
		}
		rest -= count
	}
	return 0
}

// reachable returns the heap that the latest garbage collection found reachable, the stacks and what
// the runtime needs for itself, in bytes.
func (p *process) reachable() (bytes uint64) {
	samples := []runtimemetrics.Sample{
		{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"}, {Name: "/memory/classes/other:bytes"},
		{Name: "/memory/classes/metadata/other:bytes"}, {Name: "/memory/classes/metadata/mspan/inuse:bytes"},
	}
	runtimemetrics.Read(samples)
	for _, s := range samples {
		bytes += s.Value.Uint64()
	}
	return bytes
}
