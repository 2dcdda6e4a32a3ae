package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// channel is a consumer's channel to a node, which is kept for many requests.
type channel struct {
	net.Conn
	br *bufio.Reader
}

func openChannel(addr string) (*channel, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{c, bufio.NewReader(c)}, nil
}

var lastID atomic.Int64

// nextID returns the id of a new request.
func nextID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1)) }

// head returns the head of a request.
func head(method, path, id string, deadline time.Duration, more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s\r\n",
		method, path, host, id, deadline.Milliseconds(), key, more)
}

// answer is what a consumer got.
type answer struct {
	status int
	seal   string
	body   string
	err    error
	close  bool
}

// String describes the answer for the record.
func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer: %v", a.err)
	}
	return fmt.Sprintf("%d, seal %q, %d bytes", a.status, a.seal, len(a.body))
}

// read reads an answer.
func (c *channel) read(method string, deadline time.Time) answer {
	_ = c.SetReadDeadline(deadline)
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, seal: resp.Header.Get("X-Server-Seal"), body: string(body), err: err, close: resp.Close}
}

// send sends a whole request with a body and reads the answer.
func (c *channel) send(method, path, id, body string, deadline time.Duration) answer {
	more := ""
	if body != "" {
		more = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c, head(method, path, id, deadline, more)+body); err != nil {
		return answer{err: err}
	}
	return c.read(method, time.Now().Add(deadline+time.Second))
}

// once sends a request on a channel of its own.
func once(addr, method, path, id, body string, deadline time.Duration) answer {
	c, err := openChannel(addr)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	return c.send(method, path, id, body, deadline)
}

var order = strings.Repeat("o", 600)
