package ctrl

import (
	"time"

	"dotterelgap/core/raft"

	"golang.org/x/sys/unix"
)

// clock tells a host's time without the steps of the time of day, and remembers
// when it wrote the last entry of each term.
type clock struct {
	wall time.Time
	boot time.Duration
	// written holds boot times of this process, before those times of day of
	// earlier processes.
	lastWrites  map[uint64]entryWrite
	savedWrites map[uint64]raft.Written
}

// written is when an entry was written, on the boot clock.
type entryWrite struct {
	at    time.Duration
	index uint64
}

func newClock(saved map[uint64]raft.Written) *clock {
	return &clock{wall: time.Now().Round(0), boot: bootTime(), lastWrites: map[uint64]entryWrite{}, savedWrites: saved}
}

// now is the time of day at the process's start, and the time since.
func (c *clock) now() time.Time { return c.wall.Add(bootTime() - c.boot) }

// wrote notes that an entry is about to be written.
func (c *clock) recordWrite(e raft.Entry) { c.lastWrites[e.Term] = entryWrite{bootTime(), e.Index} }

// since is how long ago the last entry of a term was written, and its index.
func (c *clock) sinceWrite(term uint64) (ago time.Duration, index uint64, ok bool) {
	if w, ok := c.lastWrites[term]; ok {
		return bootTime() - w.at, w.index, true
	}
	w, ok := c.savedWrites[term]
	return time.Now().Round(0).Sub(w.At), w.Index, ok
}

// steady is the host's time for the log.
func (h *Host) logTime() time.Time { return h.clock.now() }

// bootTime is the time since the machine started, with the time for which it
// was suspended. Unlike the monotonic clock it can't lose a suspension.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("ctrl: the boot clock can't be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
