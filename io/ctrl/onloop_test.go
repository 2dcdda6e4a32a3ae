package ctrl_test

import (
	"context"
	"testing"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/io/ctrl"
	"dotterelgap/io/wire"

	"github.com/matryer/is"
)

// Guards against a data race of a caller that gives up on a loop that does not answer, with what the
// loop does later on its behalf (KNOWN-RED, HasLeader).
func TestCallerThatGivesUpOnTheLoop(t *testing.T) {
	is := is.New(t)
	held := make(chan struct{})
	h, client := startWith(t, func(d *ctrl.Deps) {
		d.OnDepartures = func([]fleet.Departure) {
			close(held)
			time.Sleep(4 * time.Second) // a channel would order what the detector is to see
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	recorded := make(chan error, 1)
	go func() {
		_, err := ctrl.Call[wire.DepartReply](ctx, client, "Control.Depart", &fleet.Departure{ID: "i-1", State: fleet.UpstreamGone})
		recorded <- err
	}()
	<-held
	is.True(!h.HasLeader()) // gives up after some seconds
	is.NoErr(<-recorded)
	is.True(h.HasLeader())
}

// startWith starts a control group of one host with dependencies that modify changes.
func startWith(t *testing.T, modify func(*ctrl.Deps)) (*ctrl.Host, *ctrl.Client) {
	t.Helper()
	srv := listen(t)
	dir := t.TempDir()
	createFolder(t, dir, srv.Addr())
	h, client, _ := serveFolder(t, dir, srv, modify)
	return h, client
}
