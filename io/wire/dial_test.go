package wire

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// An attempt to connect whose SYN packet was lost times out early and is retried. Other
// errors and the end of the context are returned.
func TestDialWithRetry(t *testing.T) {
	is := is.New(t)
	attempts := 0
	conn, err := dialWithRetry(t.Context(), time.Millisecond, func(ctx context.Context) (net.Conn, error) {
		if attempts++; attempts < 4 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		c, _ := net.Pipe()
		return c, nil
	})
	is.NoErr(err)
	is.Equal(attempts, 4)
	is.NoErr(conn.Close())

	refused := errors.New("refused")
	attempts = 0
	_, err = dialWithRetry(t.Context(), time.Minute, func(context.Context) (net.Conn, error) {
		attempts++
		return nil, refused
	})
	is.True(errors.Is(err, refused))
	is.Equal(attempts, 1)

	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = dialWithRetry(ctx, time.Millisecond, func(ctx context.Context) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	is.True(errors.Is(err, context.DeadlineExceeded))
}
