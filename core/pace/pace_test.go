package pace_test

import (
	"testing"
	"time"

	"dotterelgap/core/pace"

	"github.com/matryer/is"
)

var start = time.Unix(1_700_000_000, 0)

const step = 5 * time.Millisecond

// play offers a request each step to an upstream that responds after a time, well or badly, and
// returns the number of requests sent in each second. It ends early when the pace is done.
func play(p *pace.Pace, from time.Time, seconds int, good func(at time.Duration) bool) (sent []int, done time.Time) {
	sent = make([]int, seconds)
	type response struct {
		at   time.Time
		good bool
	}
	var pending []response
	for at := time.Duration(0); at < time.Duration(seconds)*time.Second; at += step {
		now := from.Add(at)
		for len(pending) > 0 && !pending[0].at.After(now) {
			if pending[0].good {
				p.Good(now)
			} else {
				p.Bad(now)
			}
			pending = pending[1:]
		}
		if p.Done(now) {
			return sent, now
		}
		if p.OpensIn(now) > 0 {
			p.Held(now)
			continue
		}
		p.Sent(now)
		sent[at/time.Second]++
		pending = append(pending, response{now.Add(50 * time.Millisecond), good(at)})
	}
	return sent, time.Time{}
}

func always(time.Duration) bool { return true }

func never(time.Duration) bool { return false }

// Guards against a recovered upstream that stays slow: it starts with 10 requests a second, gets
// 150 in the fifth second, and all that is offered 7 s after the start.
func TestRecoveredUpstreamReachesFullRate(t *testing.T) {
	is := is.New(t)
	p := pace.New(start, 1, 0)
	sent, done := play(p, start, 20, always)
	is.True(sent[0] >= 5 && sent[0] <= 20)
	is.True(sent[4] >= 150)
	is.True(!done.IsZero() && done.Sub(start) <= 7*time.Second)
}

// Guards against an upstream that goes on failing and gets bursts, or no request at all.
func TestFailingUpstreamGetsTheLeastRate(t *testing.T) {
	is := is.New(t)
	p := pace.New(start, 1, 0)
	sent, done := play(p, start, 90, never)
	is.True(done.IsZero())
	for _, n := range sent[5:] {
		is.True(n >= 1 && n <= 3)
	}
}

// Guards against an upstream that relapses at a higher rate and is pushed over it again and again:
// it gets less at once.
func TestRelapsingUpstreamIsSlowedAtOnce(t *testing.T) {
	is := is.New(t)
	p := pace.New(start, 1, 0)
	sent, _ := play(p, start, 7, func(at time.Duration) bool { return at < 3*time.Second })
	is.True(sent[2] >= 20)
	is.True(sent[5] <= sent[2]/4)
	is.True(sent[6] <= sent[2]/8)
}

// Guards against failures that all have one cause and stop the requests for long.
func TestFailuresAtTheSameTimeHalveOnce(t *testing.T) {
	is := is.New(t)
	p := pace.New(start, 1, 0)
	before := p.Rate()
	for range 20 {
		p.Bad(start.Add(time.Second))
	}
	is.Equal(p.Rate(), before/2)
}

// Guards against an upstream that fails a small part of its requests at any time, and never gets
// its usual share again.
func TestUsualFailuresDoNotHoldUpThePace(t *testing.T) {
	is := is.New(t)
	n := 0
	p := pace.New(start, 1, 0)
	_, done := play(p, start, 20, func(time.Duration) bool { n++; return n%10 != 0 })
	is.True(!done.IsZero() && done.Sub(start) <= 12*time.Second)
}

// Guards against an upstream that has recovered and starts at the rate of a new one, though this
// node sent it more shortly before.
func TestRecoveredUpstreamStartsAtHalf(t *testing.T) {
	is := is.New(t)
	is.Equal(pace.New(start, 14, 30).Rate(), 15.0)
	is.True(pace.New(start, 14, 0.1).Rate() > 0.5)
}

// Guards against an upstream without requests that is paced for ever.
func TestUnusedPaceEnds(t *testing.T) {
	is := is.New(t)
	p := pace.New(start, 45, 0)
	is.True(!p.Done(start.Add(time.Second)))
	is.True(p.Done(start.Add(time.Minute)))
	is.True(p.OpensIn(start) == 0)
	p.Sent(start)
	is.True(p.OpensIn(start) <= 10*time.Second) // the least rate of a node is bounded
}
