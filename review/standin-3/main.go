package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

// play is one running case.
type play struct {
	f        *fleet
	platform *platform
	rec      *recorder
	stop     chan struct{}
	trouble  bool
}

// cases are the cases by name. Each returns an exit code.
var cases = map[string]func(*play) int{"tenant": (*play).tenantCase, "retry": (*play).retryCase, "reader": (*play).readerCase, "funds": (*play).fundsCase}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	binary := flag.String("binary", "", "the program of the deploy file")
	record := flag.String("record", "record.txt", "where the record is written")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	playCase, ok := cases[*name]
	if !ok {
		fmt.Println("there is no such case")
		return cannotRun
	}
	rec, err := newRecorder(*record)
	if err != nil {
		fmt.Println(err)
		return cannotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "standin-3-")
	if err != nil {
		fmt.Println(err)
		return cannotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := newFleet(*binary, dir, rec)
	if err != nil {
		fmt.Println(err)
		return cannotRun
	}
	defer f.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		f.stop()
		_ = os.RemoveAll(dir)
		os.Exit(cannotRun)
	}()
	if err := f.startAll(); err != nil {
		fmt.Println(err)
		return cannotRun
	}
	p := &play{f: f, platform: newPlatform(f), rec: rec, stop: make(chan struct{}), trouble: *trouble}
	defer close(p.stop)
	go p.platform.watch(p.stop)
	return playCase(p)
}

// setUp publishes the first configuration and waits until all nodes are ready and know the engines.
func (p *play) setUp(configuration string, engines []*engine) bool {
	for _, e := range engines {
		go e.checkIn(p.f.control(), p.stop)
	}
	if !p.f.publish("operator", configuration, 0, 20*time.Second) {
		return p.fail("the first configuration was not acknowledged")
	}
	if !p.platform.await(20 * time.Second) {
		return p.fail("the nodes are not ready")
	}
	time.Sleep(2 * time.Second)
	return true
}

func (p *play) fail(why string) bool {
	p.say("the case could not run: %s", why)
	return false
}

// say writes a line to the record and to the standard output.
func (p *play) say(format string, args ...any) {
	p.rec.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}
