package poison

import (
	"slices"
	"time"
)

// Parameters of a suspect's score.
const (
	// brokenWeight is what a crash adds to the score of each part of a request whose
	// response had begun, and unansweredWeight of one whose response had not. The latter
	// is more likely to have been hit by another request's crash.
	brokenWeight     = 1.0
	unansweredWeight = 0.5
	// answeredWeight is what an answer takes off the score of each part of the prompt.
	answeredWeight = 2.0
	// threshold is the score at which a part is quarantined.
	threshold = 3.0
	// commonCause is the time within which crashes of several upstreams count once. They
	// then have a cause outside of the prompts, such as a power or network failure.
	commonCause = 100 * time.Millisecond
	// suspectTTL is the time without a crash after which a suspect is forgotten.
	suspectTTL = 10 * time.Minute
	// maxCrashes is the number of latest crashes that a suspect remembers.
	maxCrashes = 8
)

// crash is the part of an upstream's crash in a suspect's score.
type crash struct {
	upstream uint64
	weight   float64
}

// suspect is a prompt part that was involved in crashes.
type suspect struct {
	score   float64
	crashes []crash
	// broken is set once a request whose response had begun was counted. From then on only
	// such requests change others.
	broken    bool
	others    others
	countedAt time.Time
}

// count adds a request that failed in a crash. The requests of one crash count once, with
// the highest of their weights.
func (s *suspect) count(now time.Time, r Report, part uint64) {
	weight := unansweredWeight
	if r.Kind == Broken {
		weight = brokenWeight
	}
	i := slices.IndexFunc(s.crashes, func(c crash) bool { return c.upstream == r.Upstream })
	if i < 0 && len(s.crashes) > 0 && now.Sub(s.countedAt) < commonCause {
		return
	}
	s.narrow(r, part)
	if i < 0 {
		s.crashes = append(s.crashes, crash{upstream: r.Upstream})
		if len(s.crashes) > maxCrashes {
			s.crashes = slices.Delete(s.crashes, 0, 1)
		}
		i = len(s.crashes) - 1
		s.countedAt = now
	}
	added := max(weight-s.crashes[i].weight, 0)
	s.crashes[i].weight += added
	s.score = min(s.score+added, threshold)
}

// narrow updates the other possible causes from a request with this part.
func (s *suspect) narrow(r Report, part uint64) {
	switch {
	case r.Kind == Broken && !s.broken:
		s.broken = true
		s.others = others{}
	case r.Kind != Broken && s.broken:
		return
	}
	s.others.add(r.Upstream, without(r.Parts, part))
}

// set returns the parts that are quarantined if this suspect reaches the threshold.
func (s *suspect) set(part uint64) []uint64 {
	out := append(slices.Clone(s.others.parts), part)
	slices.Sort(out)
	return out
}
