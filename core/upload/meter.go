package upload

import "time"

// ID identifies an upload at its Meter.
type ID uint64

// Grace is how long an upload that is not complete may make no progress before it yields
// to others. Less is a pause on the network.
const Grace = time.Second

// Answer is the answer to Meter.Reserve.
type Answer int

// The answers of Meter.Reserve.
const (
	// Granted means that the bytes are reserved.
	Granted Answer = iota
	// Wait means that the bytes fit once uploads that yield have been released.
	Wait
	// Rejected means that no upload yields to this one.
	Rejected
)

// holding is the memory of one upload.
type holding struct {
	bytes      int64
	progressAt time.Time
	// complete is set once all has arrived; the upload then keeps its memory.
	complete bool
	// yielding is set once the upload was told to end.
	yielding bool
}

// Meter bounds the sum of the bytes that uploads hold. Its state is one entry for each
// upload.
type Meter struct {
	limit    int64
	used     int64
	yielding int64
	held     map[ID]*holding
}

// NewMeter returns a Meter with a limit in bytes; 0 means no limit.
func NewMeter(limit int64) *Meter { return &Meter{limit: limit, held: map[ID]*holding{}} }

// Used returns the bytes that uploads hold.
func (m *Meter) Used() int64 { return m.used }

// Reserve sets the bytes that an upload holds. Unless the answer is Granted, the upload holds as
// many as before. victim is an upload that has to end now; 0 if there is none. An upload that is
// alone is always granted what it needs.
func (m *Meter) Reserve(now time.Time, id ID, bytes int64) (a Answer, victim ID) {
	h := m.held[id]
	if h == nil {
		h = &holding{progressAt: now}
		m.held[id] = h
	}
	if h.yielding {
		return Rejected, 0
	}
	more := bytes - h.bytes
	if m.limit == 0 || m.used+more <= m.limit || m.used == h.bytes {
		h.bytes = bytes
		m.used += more
		return Granted, 0
	}
	if m.used-m.yielding+more <= m.limit {
		return Wait, 0
	}
	if victim = m.victim(now, id, bytes); victim == 0 {
		return Rejected, 0
	}
	m.yield(victim)
	return Wait, victim
}

// victim returns the upload that yields to one of this size: the one without progress for longest,
// or the largest if it is larger than this one; 0 if there is none.
func (m *Meter) victim(now time.Time, id ID, bytes int64) ID {
	if v := m.Stalled(now, id); v != 0 {
		return v
	}
	var largest ID
	for v, h := range m.held {
		if v == id || h.complete || h.yielding || h.bytes <= bytes {
			continue
		}
		if l := m.held[largest]; largest == 0 || h.bytes > l.bytes || h.bytes == l.bytes && v < largest {
			largest = v
		}
	}
	return largest
}

// Stalled returns the upload other than id that has made no progress for longest, for Grace at
// least, and holds memory; 0 if there is none.
func (m *Meter) Stalled(now time.Time, id ID) ID {
	var oldest ID
	for v, h := range m.held {
		if v == id || h.complete || h.yielding || h.bytes == 0 || now.Sub(h.progressAt) < Grace {
			continue
		}
		if o := m.held[oldest]; oldest == 0 || h.progressAt.Before(o.progressAt) || h.progressAt.Equal(o.progressAt) && v < oldest {
			oldest = v
		}
	}
	return oldest
}

// yield marks an upload that has to end.
func (m *Meter) yield(id ID) {
	m.held[id].yielding = true
	m.yielding += m.held[id].bytes
}

// End marks an upload that has to end for another reason than memory.
func (m *Meter) End(id ID) {
	if h := m.held[id]; h != nil && !h.yielding {
		m.yield(id)
	}
}

// Progress records that bytes of an upload have arrived.
func (m *Meter) Progress(now time.Time, id ID) {
	if h := m.held[id]; h != nil {
		h.progressAt = now
	}
}

// Complete records that an upload has arrived in full. It reports false if the upload was told to
// end before.
func (m *Meter) Complete(id ID) bool {
	h := m.held[id]
	if h == nil {
		return true
	}
	h.complete = !h.yielding
	return h.complete
}

// Release frees the memory of an upload.
func (m *Meter) Release(id ID) {
	h := m.held[id]
	if h == nil {
		return
	}
	m.used -= h.bytes
	if h.yielding {
		m.yielding -= h.bytes
	}
	delete(m.held, id)
}
