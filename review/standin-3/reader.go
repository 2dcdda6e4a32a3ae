package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Figures of the case of slow readers.
const (
	// reportSize is the length of an answer in bytes.
	reportSize = 160 << 10
	// A slow consumer takes readStep bytes each readPause: 64 KB a second without a pause in between.
	readStep, readPause = 8 << 10, 125 * time.Millisecond
	// readerBuffer is the receive buffer of a consumer's socket.
	readerBuffer   = 16 << 10
	reportDeadline = 8 * time.Second
	// readers consumers send a request each, one every readerGap, the first readersEarly before the SIGTERM.
	readers, readerGap = 12, 100 * time.Millisecond
	readersEarly       = time.Second
)

const readerConfiguration = `{"version":7,"routes":[
{"name":"r-report","host":"desk.example","path_prefix":"/report/","kind":"unsafe","timeout_ms":8000,"slo_ms":3000,"priority":2,"service":"desk","attempts":1,"public":true,"sticky":false,"resumable":false,"gap_slo_ms":0}],
"services":[{"name":"desk","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}`

// reading is the state of the case.
type reading struct {
	*play

	mu sync.Mutex
	// ran holds the requests that an engine has run and answered in full.
	ran      map[string]bool
	whole    int
	cut      []string
	unserved int
}

// readerCase stops a machine as planned work does, while its consumers read their answers slowly but without a
// pause. Without the trouble they read at once.
func (p *play) readerCase() int {
	c := &reading{play: p, ran: map[string]bool{}}
	var engines []*engine
	for _, zone := range zoneNames {
		e, err := startEngine("desk", zone, 96, p.rec, c.work)
		if err != nil {
			p.fail(err.Error())
			return cannotRun
		}
		engines = append(engines, e)
	}
	if !p.setUp(readerConfiguration, engines) {
		return cannotRun
	}
	time.Sleep(2 * time.Second)
	n := p.f.nodes[fleetSize-1]
	var all sync.WaitGroup
	for i := range readers {
		all.Go(func() {
			time.Sleep(time.Duration(i) * readerGap)
			c.request(n)
		})
	}
	time.Sleep(readersEarly)
	p.f.terminate(n)
	all.Wait()
	return c.judge()
}

func (c *reading) work(e *engine, w http.ResponseWriter, _ *http.Request, id string) {
	e.rec.printf("%s: runs %s", e.id, id)
	time.Sleep(deskWork)
	w.Header().Set("X-Server-Seal", e.seal(id))
	w.Header().Set("Content-Length", strconv.Itoa(reportSize))
	if _, err := w.Write(make([]byte, reportSize)); err != nil {
		return
	}
	e.rec.printf("%s: has answered %s in full", e.id, id)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ran[id] = true
}

// request sends one request on a new channel and reads the answer.
func (c *reading) request(n *node) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	begin := time.Now()
	conn, err := net.Dial("tcp4", c.f.addr(n, c.f.ports.front))
	if err != nil {
		c.end(id, "no channel", begin, 0, err)
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetReadBuffer(readerBuffer)
	_, err = fmt.Fprintf(conn, "POST /report/a HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 4\r\n\r\nbody",
		id, reportDeadline.Milliseconds())
	if err != nil {
		c.end(id, "not sent", begin, 0, err)
		return
	}
	c.rec.printf("consumer: sends %s to %s", id, n.name)
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 1024), nil)
	if err != nil {
		c.end(id, "no answer", begin, 0, err)
		return
	}
	got, err := c.read(resp.Body)
	if resp.StatusCode != http.StatusOK {
		c.end(id, strconv.Itoa(resp.StatusCode), begin, got, nil)
		return
	}
	c.end(id, "200", begin, got, err)
}

// read reads a body, slowly if that is the trouble.
func (c *reading) read(body io.Reader) (got int, err error) {
	buf := make([]byte, readStep)
	for {
		n, err := io.ReadFull(body, buf)
		got += n
		switch err {
		case nil:
		case io.EOF:
			return got, nil
		case io.ErrUnexpectedEOF:
			// Either the last part of the whole body or the end of a broken one.
			if got == reportSize {
				return got, nil
			}
			return got, err
		default:
			return got, err
		}
		if c.trouble {
			time.Sleep(readPause)
		}
	}
}

func (c *reading) end(id, answer string, begin time.Time, got int, err error) {
	took := time.Since(begin)
	c.rec.printf("consumer: %s gets %s, %d of %d bytes after %v: %v", id, answer, got, reportSize, took.Round(time.Millisecond), err)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case answer == "200" && got == reportSize:
		c.whole++
	case c.ran[id] && err != nil && took < reportDeadline:
		c.cut = append(c.cut, id)
	default:
		c.unserved++
	}
}

// judge checks LOST: around a SIGTERM, no channel ends without a complete answer once the request was passed on,
// unless the engine broke off or the time was up.
func (c *reading) judge() int {
	c.say("whole answers %d, cut answers %d, not served %d", c.whole, len(c.cut), c.unserved)
	switch {
	case len(c.cut) > 0:
		c.say("LOST is broken")
		return ruleBroken
	case c.whole == 0:
		c.fail("nothing was served")
		return cannotRun
	}
	c.say("LOST held")
	return ruleHeld
}
