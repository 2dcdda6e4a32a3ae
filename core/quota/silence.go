package quota

import (
	"maps"
	"time"
)

// Silence is what the leader of the control group has seen of a holder that sends no
// statements. A holder that is only partitioned and serves records further raises.
type Silence struct {
	raised map[string]Tokens
	since  time.Time
}

// Observe records the watermarks that the holder's witnesses report. It returns for how long they
// have not changed.
func (s *Silence) Observe(now time.Time, raised map[string]Tokens) time.Duration {
	if s.since.IsZero() || !maps.Equal(s.raised, raised) {
		s.raised, s.since = raised, now
	}
	return now.Sub(s.since)
}
