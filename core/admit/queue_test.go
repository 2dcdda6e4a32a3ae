package admit_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"dotterelgap/core/admit"
	"dotterelgap/core/sched"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// full is the room of a service whose places are all taken.
var full = sched.Room{Places: 10, Service: 20 * time.Millisecond, Next: time.Millisecond, Interval: 2 * time.Millisecond}

// Guards against a queue that grows beyond its bounds, or that loses a request: each one that
// waits is told once, unless its caller leaves.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		opts := admit.Options{MaxCount: 8, MaxBytes: 4000, MaxWait: time.Second}
		q := admit.New(opts)
		now := begin
		waiting := map[admit.Ticket]int{}
		bytes := 0
		told := func(all []admit.Told) {
			for _, w := range all {
				size, ok := waiting[w.Ticket]
				if !ok {
					t.Fatalf("ticket %d is told twice, or has left", w.Ticket)
				}
				bytes -= size
				delete(waiting, w.Ticket)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			room := full
			room.Free = rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "free")
			if rapid.Bool().Draw(t, "ask") {
				r := admit.Request{
					Rank: rapid.SampledFrom([]int{math.MinInt, 0, 1, 5, math.MaxInt}).Draw(t, "rank"), Bytes: rapid.IntRange(0, 3000).Draw(t, "bytes"),
					Size: rapid.SampledFrom([]int{-1, 0, 300, math.MaxInt}).Draw(t, "size"), Customer: rapid.Uint64().Draw(t, "customer"),
					Objective: time.Second, Deadline: time.Second, ID: rapid.Uint64().Draw(t, "id"),
				}
				if d, ticket := q.Ask(now, r, room); d.Action == sched.Wait {
					waiting[ticket] = r.Bytes
					bytes += r.Bytes
				}
			} else {
				for ticket := range waiting {
					if rapid.Bool().Draw(t, "leave") {
						q.Leave(ticket)
						bytes -= waiting[ticket]
						delete(waiting, ticket)
					}
					break
				}
			}
			told(q.Advance(now, room))
			if q.Waiting() != len(waiting) || len(waiting) > opts.MaxCount || bytes > opts.MaxBytes {
				t.Fatalf("%d wait, %d are known to, with %d bytes", q.Waiting(), len(waiting), bytes)
			}
		}
		told(q.Close(now))
		if len(waiting) > 0 {
			t.Fatal("not all were told at the end")
		}
	})
}

// Guards against callers that return together: their times to return are spread.
func TestReturnsAreSpread(t *testing.T) {
	is := is.New(t)
	q := admit.New(admit.Options{})
	least, most := time.Hour, time.Duration(0)
	for i := range 100 {
		d, _ := q.Ask(begin, admit.Request{ID: hash(fmt.Sprint(i)), Objective: time.Second, Deadline: 3 * time.Second}, full)
		is.Equal(d.Action, sched.Reject)
		least, most = min(least, d.After), max(most, d.After)
		// Callers with little time do not wait for long.
		d, _ = q.Ask(begin, admit.Request{ID: hash(fmt.Sprint(i)), Objective: 120 * time.Millisecond, Deadline: 600 * time.Millisecond}, full)
		is.True(d.After > 0)
		is.True(d.After <= 200*time.Millisecond)
	}
	is.True(least > 0)
	is.True(most-least > 500*time.Millisecond)
	is.True(most < 2*time.Second)
}

func BenchmarkAsk(b *testing.B) {
	q := admit.New(admit.DefaultOptions())
	now := begin
	free := full
	free.Free = 1
	for i := range b.N {
		now = now.Add(time.Millisecond)
		q.Ask(now, admit.Request{Rank: i % 3, Customer: uint64(i % 24), Objective: time.Second, Deadline: time.Second}, full)
		if i%2 == 0 {
			for range q.Advance(now, free) {
				q.Taken()
			}
		}
	}
}
