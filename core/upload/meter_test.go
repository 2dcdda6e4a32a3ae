package upload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// TestMeterBoundsTheSum checks who yields when memory is used up, and that the sum stays bounded.
func TestMeterBoundsTheSum(t *testing.T) {
	is := is.New(t)
	m := NewMeter(100)
	for id := ID(1); id <= 2; id++ {
		a, _ := m.Reserve(start, id, 50)
		is.Equal(a, Granted)
	}
	// None of the same size yields while all make progress.
	a, victim := m.Reserve(start.Add(Grace/2), 3, 50)
	is.Equal(a, Rejected)
	is.Equal(victim, ID(0))
	m.Release(3)
	// The largest yields to a smaller one, once.
	a, victim = m.Reserve(start.Add(Grace/2), 4, 10)
	is.Equal(a, Wait)
	is.True(victim == 1 || victim == 2)
	a, again := m.Reserve(start.Add(Grace/2), 4, 10)
	is.Equal(a, Wait)
	is.Equal(again, ID(0))
	is.True(!m.Complete(victim)) // it has to end, also if the rest arrives
	m.Release(victim)
	a, _ = m.Reserve(start.Add(Grace/2), 4, 10)
	is.Equal(a, Granted)
	is.Equal(m.Used(), int64(60))
}

// TestStalledUploadYields checks that the one without progress yields before larger ones, and that a
// complete one never does.
func TestStalledUploadYields(t *testing.T) {
	is := is.New(t)
	m := NewMeter(100)
	m.Reserve(start, 1, 10)
	m.Reserve(start, 2, 60)
	m.Reserve(start, 3, 30)
	is.True(m.Complete(3))
	later := start.Add(2 * Grace)
	m.Progress(later, 2)
	a, victim := m.Reserve(later, 4, 10)
	is.Equal(a, Wait)
	is.Equal(victim, ID(1))
	m.Release(1)
	a, _ = m.Reserve(later, 4, 10)
	is.Equal(a, Granted)
	a, _ = m.Reserve(later.Add(2*Grace), 5, 90)
	is.Equal(a, Wait) // 2 yields, which is not enough
	m.Release(2)
	a, _ = m.Reserve(later.Add(2*Grace), 5, 90)
	is.Equal(a, Wait) // 4 yields
	m.Release(4)
	a, _ = m.Reserve(later.Add(2*Grace), 5, 90)
	is.Equal(a, Rejected) // 3 is complete
}

// TestLoneUploadIsGranted checks that the largest body is served in calm, whatever the memory.
func TestLoneUploadIsGranted(t *testing.T) {
	is := is.New(t)
	m := NewMeter(100)
	a, _ := m.Reserve(start, 1, 500)
	is.Equal(a, Granted)
	a, _ = m.Reserve(start, 1, 1000)
	is.Equal(a, Granted)
	a, _ = m.Reserve(start, 2, 1)
	is.Equal(a, Wait)
	m.Release(1)
	is.Equal(m.Used(), int64(0))
}
