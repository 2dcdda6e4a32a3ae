package conns

import (
	"errors"
	"math"
	"net/netip"
	"slices"
	"syscall"
	"time"
)

// errFull is returned while the pool has as many connections as it may, all in use.
var errFull = errors.New("too many connections to upstreams are in use")

// reservedShare is the share of the descriptors of the process that is for other processes and
// files.
const reservedShare = 1.0 / 16

// Shares of the descriptors for connections to the other listeners of a process.
const (
	apiShare     = 1.0 / 16
	readyShare   = 1.0 / 64
	metricsShare = 1.0 / 64
)

// FileShares is how many connections a process may have of each kind. Each request in progress needs
// one of its caller and at most one to an upstream.
type FileShares struct {
	Upstreams, Callers, API, Ready, Metrics int
}

// Shares divides the descriptors of the process, less a reserve.
func Shares() FileShares {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil || l.Cur > math.MaxInt32 {
		return FileShares{math.MaxInt32, math.MaxInt32, math.MaxInt32, math.MaxInt32, math.MaxInt32}
	}
	part := func(share float64) int { return int(share * float64(l.Cur)) }
	s := FileShares{API: part(apiShare), Ready: part(readyShare), Metrics: part(metricsShare)}
	left := int(l.Cur) - part(reservedShare) - s.API - s.Ready - s.Metrics
	s.Upstreams = left / 2
	s.Callers = left - s.Upstreams
	return s
}

// Sweep closes the connections that have been idle for too long, and all idle ones to addresses
// that are not known any more. It is to be called regularly.
func (p *Pool) Sweep(now time.Time, known func(netip.AddrPort) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list
		if !known(addr) {
			kept = nil
		}
		for len(kept) > 0 && now.Sub(kept[0].idleSince) >= p.idleTimeout(kept[0]) {
			kept = kept[1:]
		}
		p.drop(addr, list[:len(list)-len(kept)])
		p.setIdle(addr, slices.Clone(kept))
	}
}

// reserve counts a connection that is about to be opened. At the limit it closes the connection
// that has been idle for longest, or returns errFull if there is none.
func (p *Pool) reserve(addr netip.AddrPort) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.total >= p.opts.MaxOpen && !p.dropOldest() {
		return errFull
	}
	p.count(addr, 1)
	return nil
}

// dropOldest closes the connection that has been idle for longest. The caller holds the lock.
func (p *Pool) dropOldest() bool {
	var oldest netip.AddrPort
	for addr, list := range p.idle {
		if !oldest.IsValid() || list[0].idleSince.Before(p.idle[oldest][0].idleSince) {
			oldest = addr
		}
	}
	if !oldest.IsValid() {
		return false
	}
	list := p.idle[oldest]
	p.drop(oldest, list[:1])
	p.setIdle(oldest, list[1:])
	return true
}

// drop closes idle connections to an address. The caller holds the lock and removes them from
// the idle ones.
func (p *Pool) drop(addr netip.AddrPort, list []*conn) {
	for _, c := range list {
		_ = c.Close()
	}
	p.count(addr, -len(list))
}

// setIdle sets the idle connections to an address. The caller holds the lock.
func (p *Pool) setIdle(addr netip.AddrPort, list []*conn) {
	if len(list) == 0 {
		delete(p.idle, addr)
		return
	}
	p.idle[addr] = list
}

// count adds to the number of open connections to an address. The caller holds the lock.
func (p *Pool) count(addr netip.AddrPort, n int) {
	p.total += n
	p.open[addr] += n
	if p.open[addr] <= 0 {
		delete(p.open, addr)
	}
}
