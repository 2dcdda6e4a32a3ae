package poison_test

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/poison"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func keys(names []string) []uint64 {
	var out []uint64
	for _, n := range names {
		out = append(out, xxhash.Sum64String(n))
	}
	return out
}

// TestScripts runs the scripts in testdata. A line has a time in ms, then "answered" and
// parts, "broken" or "unanswered" with an engine and parts, or "rejected" or "served" and
// the parts of a prompt that must be.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) { runScript(t, name) })
	}
}

func runScript(t *testing.T, name string) {
	f, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	d := poison.NewDetector()
	sc := bufio.NewScanner(f)
	for n := 1; sc.Scan(); n++ {
		fields := strings.Fields(sc.Text())
		if len(fields) < 3 || fields[0] == "#" {
			continue
		}
		ms, err := strconv.Atoi(fields[0])
		if err != nil {
			t.Fatalf("%s:%d: %v", name, n, err)
		}
		now, args := start.Add(time.Duration(ms)*time.Millisecond), fields[2:]
		switch fields[1] {
		case "answered":
			d.Report(now, poison.Report{Kind: poison.Answered, Parts: keys(args)})
		case "broken":
			d.Report(now, poison.Report{Kind: poison.Broken, Upstream: keys(args)[0], Parts: keys(args[1:])})
		case "unanswered":
			d.Report(now, poison.Report{Kind: poison.Unanswered, Upstream: keys(args)[0], Parts: keys(args[1:])})
		default:
			if _, rejected := d.Quarantined(now, keys(args)); rejected != (fields[1] == "rejected") {
				t.Errorf("%s:%d: %s: rejected is %v", name, n, sc.Text(), rejected)
			}
		}
	}
}

// Guards against state that grows with what callers send.
func TestStateIsBounded(t *testing.T) {
	is := is.New(t)
	d := poison.NewDetector()
	rnd := rand.New(rand.NewPCG(1, 2))
	for i := range 5000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		d.Report(now, poison.Report{Kind: poison.Broken, Upstream: rnd.Uint64(), Parts: []uint64{rnd.Uint64(), rnd.Uint64()}})
		d.Merge(now, fleet.Quarantine{Parts: []uint64{rnd.Uint64()}, Round: 1, Left: time.Minute})
	}
	suspects, quarantines := d.Size()
	is.True(suspects <= 1024)
	is.Equal(quarantines, fleet.MaxQuarantines)
}

// TestReportRoundTrip checks the encoding, and that no bytes make the decoder fail.
func TestReportRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := poison.Report{
			Kind:     rapid.SampledFrom([]poison.Kind{poison.Answered, poison.Unanswered, poison.Broken}).Draw(t, "kind"),
			Upstream: rapid.Uint64().Draw(t, "upstream"), Parts: rapid.SliceOfN(rapid.Uint64(), 0, 32).Draw(t, "parts"),
		}
		b := r.Append(nil)
		got, ok := poison.ParseReport(b)
		if !ok || fmt.Sprint(got) != fmt.Sprint(r) {
			t.Fatalf("got %v, %v, want %v", got, ok, r)
		}
		if _, ok := poison.ParseReport(b[:rapid.IntRange(0, len(b)-1).Draw(t, "cut")]); ok {
			t.Fatal("a truncated report was accepted")
		}
		_, _ = poison.ParseReport(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"))
	})
}

// Guards against a node ignoring a quarantine because it remembers an earlier one of the
// same parts that has ended.
func TestNewQuarantineAfterOneThatEnded(t *testing.T) {
	is := is.New(t)
	d := poison.NewDetector()
	q := fleet.Quarantine{Parts: keys([]string{"d"}), Round: 2, Left: time.Minute}
	is.True(d.Merge(start, q))
	later := start.Add(2 * time.Minute)
	q.Round = 1 // of a node that does not know the earlier one
	is.True(d.Merge(later, q))
	_, ok := d.Quarantined(later, q.Parts)
	is.True(ok)
}

// Guards against nodes reporting each answer for as long as they remember a quarantine
// that has ended.
func TestAnswersAreNotReportedAfterAQuarantine(t *testing.T) {
	is := is.New(t)
	d := poison.NewDetector()
	parts := keys([]string{"d"})
	d.Merge(start, fleet.Quarantine{Parts: parts, Round: 1, Left: time.Minute})
	later := start.Add(2 * time.Minute)
	d.Report(later, poison.Report{Kind: poison.Answered, Parts: parts})
	is.True(!d.Tracks(later, parts))
}
