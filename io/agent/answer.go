package agent

import (
	"context"
	"sync"

	"dotterelgap/io/wire"

	"github.com/cespare/xxhash/v2"
)

// answer is the growing answer of a run. Any number of readers follow it.
type answer struct {
	mu     sync.Mutex
	grown  chan struct{}
	head   *wire.Piece
	body   []byte
	end    *wire.Piece
	digest *xxhash.Digest
	cancel context.CancelFunc
}

func newAnswer(cancel context.CancelFunc) *answer {
	return &answer{grown: make(chan struct{}), digest: xxhash.New(), cancel: cancel}
}

func (a *answer) signal() {
	close(a.grown)
	a.grown = make(chan struct{})
}

func (a *answer) setHead(p wire.Piece) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = &p
	a.signal()
}

func (a *answer) append(data []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.body = append(a.body, data...)
	_, _ = a.digest.Write(data)
	a.signal()
}

// finish sets the last piece: an end, a refusal or a failure.
func (a *answer) finish(p wire.Piece) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p.Offset = int64(len(a.body))
	p.Digest = a.digest.Sum64()
	a.end = &p
	a.signal()
}

// size is the length of the body so far, in bytes.
func (a *answer) size() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int64(len(a.body))
}

// view is what a reader at an offset sees at one moment.
type view struct {
	head *wire.Piece
	data []byte
	end  *wire.Piece
	// grown is closed once there is more to see.
	grown <-chan struct{}
}

func (a *answer) at(offset int64) view {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := view{head: a.head, end: a.end, grown: a.grown}
	if offset < int64(len(a.body)) {
		v.data = a.body[offset:len(a.body):len(a.body)]
	}
	return v
}
