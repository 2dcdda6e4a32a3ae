// Package conns keeps HTTP/1.1 connections to upstreams and carries out single
// exchanges on them. It never sends a request twice by itself: what was sent and
// not surely rejected may have run, and whether to try again is the caller's
// decision.
//
// A connection serves one request at a time. It is used again only if the
// answer before it was whole, nothing unasked for has arrived since, and the
// other side has not closed it.
//
// # Usage
//
//	p := conns.NewPool(conns.DefaultOptions())
//	a, err := p.Send(ctx, addr, req)
//	var lost *conns.LostError // it may have run
//	io.Copy(w, a.Body)
//	a.Close()
package conns
