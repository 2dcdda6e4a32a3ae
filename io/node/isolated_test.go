package node

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A request waits for a quarter of its time while the control group does not reply, and not at all
// without a limit.
func TestWaitWhileIsolated(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	ctx, cancel := context.WithDeadline(t.Context(), now.Add(4*time.Hour))
	defer cancel()
	wait := isolatedWait(ctx).Sub(now)
	is.True(wait > 59*time.Minute)
	is.True(wait < 61*time.Minute)
	is.True(isolatedWait(t.Context()).Sub(now) < time.Minute)
}
