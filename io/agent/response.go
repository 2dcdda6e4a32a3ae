package agent

import (
	"context"
	"sync"

	"dotterelgap/io/wire"

	"github.com/cespare/xxhash/v2"
)

// response buffers the upstream's response to a run. Any number of readers can
// follow it while it is received.
type response struct {
	mu      sync.Mutex
	changed chan struct{}
	head    *wire.Piece
	body    []byte
	end     *wire.Piece
	digest  *xxhash.Digest
	cancel  context.CancelFunc
}

func newResponse(cancel context.CancelFunc) *response {
	return &response{changed: make(chan struct{}), digest: xxhash.New(), cancel: cancel}
}

func (r *response) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *response) setHead(p wire.Piece) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head = &p
	r.signal()
}

func (r *response) append(data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.body = append(r.body, data...)
	_, _ = r.digest.Write(data)
	r.signal()
}

// finish sets the final piece: an end, a refusal or a failure.
func (r *response) finish(p wire.Piece) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.Offset = int64(len(r.body))
	p.Digest = r.digest.Sum64()
	r.end = &p
	r.signal()
}

// size returns the length of the body so far, in bytes.
func (r *response) size() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int64(len(r.body))
}

// snapshot is the state of a response for a reader at an offset.
type snapshot struct {
	head *wire.Piece
	data []byte
	end  *wire.Piece
	// changed is closed once the response has changed.
	changed <-chan struct{}
}

func (r *response) at(offset int64) snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := snapshot{head: r.head, end: r.end, changed: r.changed}
	if offset < int64(len(r.body)) {
		s.data = r.body[offset:len(r.body):len(r.body)]
	}
	return s
}
