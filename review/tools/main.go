// Command standin plays the cases of the review that are scripts: it starts nodes with the
// command of the deploy file and plays the platform, the operator, the engines and the
// consumers around them.
//
// Usage: standin CASE, in the root of the repository. With TROUBLE=0 in the environment the
// case is played without its disruption. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// playTime is the longest time that a case may take.
const playTime = 110 * time.Second

// outcome is the result of a case.
type outcome struct {
	broken bool
	text   string
}

func main() {
	cases := map[string]func(*world) (outcome, error){
		"descriptors": playDescriptors,
		"replacement": playReplacement,
		"writer":      playWriter,
		"hup":         playHup,
		"locked":      playLocked,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*world) (outcome, error), record string) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	}
	defer w.close()
	type result struct {
		o   outcome
		err error
	}
	done := make(chan result, 1)
	go func() {
		o, err := run(w)
		done <- result{o, err}
	}()
	var r result
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	select {
	case r = <-done:
	case <-stop:
		r.err = errors.New("stopped by a signal")
	case <-time.After(playTime):
		r.err = fmt.Errorf("not finished after %s", playTime)
	}
	switch {
	case r.err != nil:
		w.log("RESULT could not run: %v", r.err)
		return 2
	case r.o.broken:
		w.log("RESULT rule broken: %s", r.o.text)
		return 1
	}
	w.log("RESULT rule held: %s", r.o.text)
	return 0
}
