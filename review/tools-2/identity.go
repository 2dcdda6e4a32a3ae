package main

import (
	"errors"
	"fmt"
	"time"
)

// foreignIdentity: a check-in of another writer under the id of each engine, with a service that is not
// named anywhere.
func foreignIdentity(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 3)
	if err != nil {
		return false, err
	}
	defer f.close()
	config := configuration(7, []route{{Name: "r-reads", Host: host, Prefix: "/cufi504/", Kind: "safe", Timeout: 800, SLO: 150, Priority: 2, Service: "wuno96b", Attempts: 2}}, deskService)
	if err := f.startAll(config); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	var engines []*engine
	for i := range 3 {
		e, err := newEngine(rec, fmt.Sprintf("i-7f3a91c%d", i), "wuno96b", 6, 30*time.Millisecond)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
		go e.checkIn(f, stop)
	}
	time.Sleep(contactWindow + time.Second)
	if a := once(f.addrOf(0, callers), "GET", "/cufi504/2f", nextID(), "", 1500*time.Millisecond); a.status != 200 {
		return false, errors.New("no request is served before the disruption: " + a.String())
	}
	if trouble {
		for i, e := range engines {
			body := fmt.Sprintf(`{"service":"another-system","address":%q,"zone":"sialkot","version":"v1","slots":6,"state":"ready","cold_left_ms":0,"seq":1000,"born":%d}`, e.ln.Addr(), e.born)
			code, err := f.call("PUT", i, "/dotterelgap/instances/"+e.id, body)
			rec.log("check-in of another writer at node %d under %s: %s: %d %v", i, e.id, body, code, err)
		}
	}
	time.Sleep(time.Second)
	// One request each 200 ms for 40 s; the engines go on checking in.
	served := 0
	answers := map[string]int{}
	for i := range 200 {
		id := nextID()
		a := once(f.addrOf(i%3, callers), "GET", "/cufi504/2f", id, "", 1500*time.Millisecond)
		rec.log("node %d, request %s: %v", i%3, id, a)
		answers[fmt.Sprint(a.status)]++
		if a.status == 200 && a.seal != "" {
			served++
		}
		time.Sleep(200 * time.Millisecond)
	}
	rec.log("%d of 200 requests were served; answers by status: %v", served, answers)
	return served == 0, nil
}
