package conns_test

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"dotterelgap/io/conns"

	"github.com/matryer/is"
)

// Guards against idle connections that are kept for ever since no further request goes to their
// upstream (review, case 4).
func TestIdleConnectionsToGoneUpstreams(t *testing.T) {
	is := is.New(t)
	p, gone, stays := newPool(t), start(t, respond), start(t, respond)
	for _, u := range []*upstream{gone, stays} {
		_, err := send(t, p, u, "r")
		is.NoErr(err)
		is.Equal(p.Open(u.addr), 1)
	}
	p.Sweep(time.Now(), func(addr netip.AddrPort) bool { return addr == stays.addr })
	is.Equal(p.Open(gone.addr), 0)
	is.Equal(p.Open(stays.addr), 1)
	p.Sweep(time.Now().Add(conns.DefaultOptions().IdleTimeout), func(netip.AddrPort) bool { return true })
	is.Equal(p.Open(stays.addr), 0)
}

// At the limit of connections the one that has been idle for longest is closed. If all are in use,
// the request is not sent.
func TestLimitOfConnections(t *testing.T) {
	is := is.New(t)
	opts := conns.DefaultOptions()
	opts.MaxOpen = 2
	p := conns.NewPool(opts)
	defer func() { _ = p.Close() }()
	first, second := start(t, respond), start(t, respond)
	for _, u := range []*upstream{first, second} {
		_, err := send(t, p, u, "r")
		is.NoErr(err)
	}
	var inUse []*conns.Response
	for range 2 {
		r, err := p.Send(t.Context(), start(t, respond).addr, request("s"))
		is.NoErr(err)
		inUse = append(inUse, r)
		is.Equal(p.Open(first.addr), 0)
	}
	is.Equal(p.Open(second.addr), 0)
	_, err := p.Send(t.Context(), first.addr, request("t"))
	var notSent *conns.NotSentError
	is.True(errors.As(err, &notSent))
	for _, r := range inUse {
		r.Close()
	}
	_, err = send(t, p, start(t, respond), "u")
	is.NoErr(err)
}
