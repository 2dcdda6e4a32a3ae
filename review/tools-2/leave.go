package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// forgottenLeave: an engine signs off, all nodes are killed, and a late check-in of the engine arrives.
func forgottenLeave(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 3)
	if err != nil {
		return false, err
	}
	defer f.close()
	config := configuration(7, []route{{Name: "r-orders", Host: host, Prefix: "/puxa403/", Kind: "unsafe", Timeout: 800, SLO: 150, Priority: 2, Service: "wuno96b", Attempts: 1}}, deskService)
	if err := f.startAll(config); err != nil {
		return false, err
	}
	stop, stopLeaver := make(chan struct{}), make(chan struct{})
	defer close(stop)
	var engines []*engine
	for i := range 3 {
		e, err := newEngine(rec, fmt.Sprintf("i-7f3a91c%d", i), "wuno96b", 6, 100*time.Millisecond)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
		if i > 0 {
			go e.checkIn(f, stop)
		} else {
			go e.checkIn(f, stopLeaver)
		}
	}
	leaver := engines[0]
	time.Sleep(contactWindow + time.Second)
	for i := range 30 {
		if a := once(f.addrOf(i%3, callers), "POST", "/puxa403/2f", nextID(), order, 1500*time.Millisecond); a.status != 200 {
			return false, fmt.Errorf("an order before the disruption: %v", a)
		}
	}
	if len(leaver.arrivals()) == 0 {
		return false, errors.New("no order reached the engine before it left")
	}
	// The last check-in of the engine is on its way for some seconds.
	close(stopLeaver)
	late := leaver.body("ready")
	rec.log("engine %s sends a check-in that will arrive late: %s", leaver.id, late)
	code, err := f.call("DELETE", 0, "/dotterelgap/instances/"+leaver.id, "")
	if err != nil || code != 200 {
		return false, fmt.Errorf("leave: %d %v", code, err)
	}
	left := time.Now()
	rec.log("engine %s has signed off at node 0: %d; it serves on for some seconds", leaver.id, code)
	time.Sleep(300 * time.Millisecond)
	if trouble {
		f.kill(0, 1, 2)
		time.Sleep(500 * time.Millisecond)
		for node := range 3 {
			if err := f.start(node, false); err != nil {
				return false, err
			}
		}
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	back := time.Now()
	time.Sleep(time.Until(left.Add(2500 * time.Millisecond)))
	code, err = f.call("PUT", 1, "/dotterelgap/instances/"+leaver.id, late)
	rec.log("the late check-in arrives at node 1: %d %v", code, err)
	// From here on all machines are in touch, and drain_ms have long passed.
	time.Sleep(time.Until(back.Add(contactWindow + time.Second)))
	time.Sleep(time.Until(left.Add(drainTime + 2*time.Second)))
	from := time.Now()
	rec.log("all machines have been calm for contact_window_ms; %v since the leave", from.Sub(left).Round(time.Millisecond))
	answers := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range 400 {
		wg.Go(func() {
			id := nextID()
			a := once(f.addrOf(i%3, callers), "POST", "/puxa403/2f", id, order, 1500*time.Millisecond)
			rec.log("order %s: %v", id, a)
			mu.Lock()
			defer mu.Unlock()
			answers[fmt.Sprint(a.status)]++
		})
		time.Sleep(10 * time.Millisecond)
		if i == 300 {
			rec.log("engine %s exits, %v after its leave", leaver.id, time.Since(left).Round(time.Millisecond))
			_ = leaver.srv.Close()
		}
	}
	wg.Wait()
	late2 := 0
	for _, a := range leaver.arrivals() {
		if a.at.After(from) {
			late2++
		}
	}
	rec.log("answers by status: %v; orders that reached the engine that had signed off: %d of 400", answers, late2)
	return late2 > 0, nil
}
