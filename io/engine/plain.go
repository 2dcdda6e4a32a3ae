package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Plain is a stand-in for a business service. GET /ledger returns the number of
// orders. POST /orders places an order, which must not be repeated, and counts the
// orders per idempotency key.
type Plain struct {
	mux   *http.ServeMux
	delay time.Duration

	mu     sync.Mutex
	orders map[string]int
	total  int
}

// NewPlain returns a service without orders. Each order takes at least delay.
func NewPlain(delay time.Duration) *Plain {
	p := &Plain{mux: http.NewServeMux(), delay: delay, orders: map[string]int{}}
	p.mux.HandleFunc("GET /ledger", p.ledger)
	p.mux.HandleFunc("POST /orders", p.order)
	p.mux.HandleFunc("GET /counts", p.counts)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.ServeHTTP(w, r)
}

func (p *Plain) ledger(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, "{\"orders\":%d}\n", p.total)
}

func (p *Plain) order(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.total++
	n := p.total
	p.orders[r.Header.Get("Idempotency-Key")]++
	p.mu.Unlock()
	time.Sleep(p.delay)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(w, "{\"order\":%d,\"bytes\":%d}\n", n, len(body))
}

// counts returns the number of orders per idempotency key.
func (p *Plain) counts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p.orders)
}
