package agent

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"dotterelgap/io/wire"
)

// orderTimeout bounds one order to the engine.
const orderTimeout = 30 * time.Second

// orderGate lets orders pass in the order of their numbers only. After a
// restart it passes none until it has learned the highest number.
type orderGate struct {
	known   bool
	highest uint64
}

// learn takes in the highest number that the control group has given out.
func (g *orderGate) learn(highest uint64) {
	g.known = true
	g.highest = max(g.highest, highest)
}

// pass tells whether an order with this number may go to the engine. The number
// that the control group gave out last may pass again: it is a repeat.
func (g *orderGate) pass(number uint64) bool {
	if !g.known || number < g.highest {
		return false
	}
	g.highest = number
	return true
}

// Order carries an order to the engine if its number is not an old one.
func (s *Service) Order(args *wire.OrderArgs, reply *wire.OrderResult) error {
	s.a.mu.Lock()
	ok := args.Agent == s.a.deps.Node.ID && s.a.orders.pass(args.Number)
	reply.Highest = s.a.orders.highest
	s.a.mu.Unlock()
	if !ok {
		reply.Message = "the order's number is old, or the newest is not known here yet"
		return nil
	}
	if err := s.a.giveOrder(*args); err != nil {
		reply.Message = err.Error()
		return nil
	}
	reply.Done = true
	return nil
}

func (a *Agent) giveOrder(o wire.OrderArgs) error {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	u := a.deps.Upstream.JoinPath("orders", o.Action)
	q := url.Values{"name": {o.Name}, "number": {strconv.FormatUint(o.Number, 10)}}
	u.RawQuery = q.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), http.NoBody)
	if err != nil {
		return err
	}
	resp, err := a.once.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the engine refused the order: %s", resp.Status)
	}
	return nil
}
