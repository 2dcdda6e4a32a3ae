package front

import (
	"encoding/binary"
	"fmt"
	"sync"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/poison"
	"dotterelgap/core/sched"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

// guard keeps requests that would crash engines away from them.
type guard struct {
	f        *Front
	mu       sync.Mutex
	detector *poison.Detector
}

func newGuard(f *Front) *guard {
	return &guard{f: f, detector: poison.NewDetector()}
}

// sharedKeys returns the keys of a prompt's parts without the request's own part.
func sharedKeys(parts []sched.PartKey) []uint64 {
	if len(parts) < 2 {
		return nil
	}
	keys := make([]uint64, len(parts)-1)
	for i := range keys {
		keys[i] = parts[i].Key
	}
	return keys
}

// quarantined reports whether a prompt with these parts is to be rejected, and for how
// long.
func (g *guard) quarantined(parts []uint64) (left time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.Quarantined(time.Now(), parts)
}

// answered records that the first event of a response, or a whole one, arrived.
func (g *guard) answered(parts []uint64) {
	g.mu.Lock()
	tracked := g.detector.Tracks(time.Now(), parts)
	g.mu.Unlock()
	if tracked {
		g.report(poison.Report{Kind: poison.Answered, Parts: parts})
	}
}

// crashed records that an upstream closed the connection of a request before its first
// event was complete; begun is set if its response had begun.
func (g *guard) crashed(u fleet.Upstream, parts []uint64, begun bool) {
	if len(parts) == 0 {
		return
	}
	kind := poison.Unanswered
	if begun {
		kind = poison.Broken
	}
	g.report(poison.Report{Kind: kind, Upstream: incarnation(u), Parts: parts})
}

// incarnation returns a hash that differs between the incarnations of an upstream.
func incarnation(u fleet.Upstream) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(u.ID)
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(u.Born.UnixMilli()))
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// report applies a report of this node and sends it to the others.
func (g *guard) report(r poison.Report) {
	g.apply(r)
	g.f.deps.Report(r)
}

// apply applies a report, and replicates the quarantines that follow from it.
func (g *guard) apply(r poison.Report) {
	g.mu.Lock()
	changed := g.detector.Report(time.Now(), r)
	g.mu.Unlock()
	for _, q := range changed {
		g.log("front: a quarantine of prompt parts changed", q)
		g.f.metrics.countQuarantine(q)
		g.f.deps.Quarantine(q)
	}
}

// merge applies the quarantines that other nodes began or lifted.
func (g *guard) merge(quarantines []fleet.Quarantine) {
	now := time.Now()
	g.mu.Lock()
	var changed []fleet.Quarantine
	for _, q := range quarantines {
		if g.detector.Merge(now, q) {
			changed = append(changed, q)
		}
	}
	g.mu.Unlock()
	for _, q := range changed {
		g.log("front: another node changed a quarantine of prompt parts", q)
	}
}

func (g *guard) log(msg string, q fleet.Quarantine) {
	keys := make([]string, len(q.Parts))
	for i, p := range q.Parts {
		keys[i] = fmt.Sprintf("%016x", p)
	}
	g.f.log.Warn(msg, zap.Strings("part_keys", keys), zap.Uint64("round", q.Round),
		zap.Bool("lifted", q.Lifted), zap.Duration("left", q.Left.Round(time.Second)))
}
