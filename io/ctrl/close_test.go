package ctrl_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a process that is kept alive for seconds after its control host has been closed,
// by a task that waits for the loop.
func TestClosedHostKeepsNobodyWaiting(t *testing.T) {
	is := is.New(t)
	h, client, _ := startClosable(t)
	ctx, cancel := context.WithCancel(t.Context())
	joined := make(chan struct{})
	go func() {
		defer close(joined)
		h.StayJoined(ctx, client)
	}()
	for !h.HasLeader() {
		time.Sleep(10 * time.Millisecond)
	}
	is.NoErr(h.Close())
	began := time.Now()
	is.True(!h.HasLeader())
	cancel()
	<-joined
	is.True(time.Since(began) < time.Second)
}
