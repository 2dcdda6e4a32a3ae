// Package conns keeps HTTP/1.1 connections to upstreams and sends single requests on
// them. It never retries a request: an upstream may have run a request that was sent and
// not certainly rejected, so the caller decides whether to retry.
//
// A connection serves one request at a time. It is reused only if the previous response
// was complete, no unsolicited bytes have arrived since, and the upstream has not closed
// it. A response must echo the id of its request there, which no recent request on the
// connection had: an upstream may send a response twice, late.
//
// # Usage
//
//	p := conns.NewPool(conns.DefaultOptions())
//	r, err := p.Send(ctx, addr, req)
//	var lost *conns.LostError // the upstream may have run the request
//	io.Copy(w, r.Body)
//	r.Close()
package conns
