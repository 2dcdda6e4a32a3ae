package admit_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"dotterelgap/core/admit"
	"dotterelgap/core/sched"

	"github.com/matryer/is"
)

// script plays the lines of a file against a queue at a service with places of 100 ms each.
type script struct {
	q       *admit.Queue
	now     time.Time
	places  int
	busy    int
	names   map[admit.Ticket]string
	tickets map[string]admit.Ticket
}

// TestScripts plays who is told what, in which order; each file states what it guards against.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	is.New(t).NoErr(err)
	is.New(t).True(len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile(file)
			is.NoErr(err)
			s := &script{q: admit.New(admit.DefaultOptions()), now: begin, names: map[admit.Ticket]string{}, tickets: map[string]admit.Ticket{}}
			for n, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
				if strings.HasPrefix(line, "#") {
					continue
				}
				command, want, _ := strings.Cut(line, " -> ")
				if got := s.run(strings.Fields(command)); got != want {
					t.Fatalf("%s:%d: %s: got %q", file, n+1, line, got)
				}
			}
		})
	}
}

func (s *script) run(f []string) string {
	switch f[0] {
	case "places":
		s.places = number(f[1])
	case "most":
		opts := admit.DefaultOptions()
		opts.MaxCount = number(f[1])
		s.q = admit.New(opts)
	case "ask":
		return s.ask(f[1], f[2:])
	case "leave":
		s.q.Leave(s.tickets[f[1]])
	case "close":
		return s.told(s.q.Close(s.now))
	case "free":
		s.busy -= number(f[1])
		return s.told(s.q.Advance(s.now, s.room()))
	case "after":
		s.now = s.now.Add(duration(f[1]))
		return s.told(s.q.Advance(s.now, s.room()))
	}
	return ""
}

func (s *script) room() sched.Room {
	const service = 100 * time.Millisecond
	r := sched.Room{Places: s.places, Free: s.places - s.busy, Service: service, Interval: service / 10}
	if r.Free <= 0 {
		r.Free, r.Next = 0, r.Interval
	}
	return r
}

func (s *script) ask(name string, fields []string) string {
	r := admit.Request{Deadline: 10 * time.Second}
	for _, f := range fields {
		key, value, _ := strings.Cut(f, "=")
		switch key {
		case "rank":
			r.Rank = number(value)
		case "customer":
			r.Customer = hash(value)
		case "objective":
			r.Objective = duration(value)
		case "deadline":
			r.Deadline = duration(value)
		}
	}
	d, ticket := s.q.Ask(s.now, r, s.room())
	s.names[ticket], s.tickets[name] = name, ticket
	return s.decision(d)
}

// decision returns the words for a decision; a request that is sent is in flight at once.
func (s *script) decision(d sched.Decision) string {
	switch d.Action {
	case sched.Send:
		s.busy++
		s.q.Taken()
		return "send"
	case sched.Wait:
		return "wait"
	}
	if d.After <= 0 {
		return "reject without a time to return"
	}
	return fmt.Sprint("reject ", d.Reason)
}

func (s *script) told(all []admit.Told) string {
	if len(all) == 0 {
		return "nothing"
	}
	var words []string
	for _, t := range all {
		words = append(words, s.names[t.Ticket]+" "+s.decision(t.Decision))
	}
	return strings.Join(words, ", ")
}

func number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		panic(err)
	}
	return n
}

func duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		panic(err)
	}
	return d
}
