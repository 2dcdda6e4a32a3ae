package sigs

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Signals delivers the signals of the process. There must be one at most.
type Signals struct {
	ctx     context.Context
	stop    context.CancelFunc
	hangups chan os.Signal
}

// Catch catches SIGTERM, SIGINT and SIGHUP until the process exits.
func Catch() *Signals {
	s := &Signals{hangups: make(chan os.Signal, 1)}
	signal.Notify(s.hangups, syscall.SIGHUP)
	s.ctx, s.stop = context.WithCancel(context.Background())
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, os.Interrupt)
	go func() {
		for range stops {
			s.stop()
		}
	}()
	return s
}

// Context returns a context that ends with the first SIGTERM or SIGINT.
func (s *Signals) Context() context.Context { return s.ctx }

// Hangups returns a channel with a value for SIGHUP, also for one that came before the first
// call. Further ones are merged with one that has not been received yet.
func (s *Signals) Hangups() <-chan os.Signal { return s.hangups }

// StopOnHangup makes SIGHUP, also an earlier one, have the effect of SIGTERM.
func (s *Signals) StopOnHangup() {
	go func() {
		for range s.hangups {
			s.stop()
		}
	}()
}

// IgnoreClosedOutput lets the process run on if the reader of its standard output or standard
// error is gone. Without it, the next write ends the process with SIGPIPE.
func (s *Signals) IgnoreClosedOutput() { signal.Ignore(syscall.SIGPIPE) }
