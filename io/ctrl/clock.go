package ctrl

import (
	"time"

	"dotterelgap/core/raft"

	"golang.org/x/sys/unix"
)

// clock is a host's wall clock without later adjustments of the time of day. It also
// records when the host wrote the last entry of each term.
type clock struct {
	wall time.Time
	boot time.Duration
	// lastWrites holds the boot times of this process's writes. savedWrites holds the
	// times of day of the writes of earlier processes.
	lastWrites  map[uint64]entryWrite
	savedWrites map[uint64]raft.Written
}

// entryWrite is the boot time at which an entry was written.
type entryWrite struct {
	at    time.Duration
	index uint64
}

func newClock(saved map[uint64]raft.Written) *clock {
	return &clock{wall: time.Now().Round(0), boot: bootTime(), lastWrites: map[uint64]entryWrite{}, savedWrites: saved}
}

// now returns the time of day at the start of the process plus the time since.
func (c *clock) now() time.Time { return c.wall.Add(bootTime() - c.boot) }

// recordWrite records that an entry is about to be written.
func (c *clock) recordWrite(e raft.Entry) { c.lastWrites[e.Term] = entryWrite{bootTime(), e.Index} }

// sinceWrite returns how long ago the last entry of a term was written, and its index.
func (c *clock) sinceWrite(term uint64) (ago time.Duration, index uint64, ok bool) {
	if w, ok := c.lastWrites[term]; ok {
		return bootTime() - w.at, w.index, true
	}
	w, ok := c.savedWrites[term]
	return time.Now().Round(0).Sub(w.At), w.Index, ok
}

// logTime returns the host's time for timestamps in the log.
func (h *Host) logTime() time.Time { return h.clock.now() }

// bootTime returns the time since the machine booted, including suspension. Go's
// monotonic clock does not count the time for which the machine was suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("ctrl: read boot clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
