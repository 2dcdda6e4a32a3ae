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

// orderSequence lets orders pass in the order of their numbers only. After a
// restart it passes none until it has learned the highest number.
type orderSequence struct {
	known   bool
	highest uint64
}

// observe takes in the highest number that the control group has given out.
func (s *orderSequence) observe(highest uint64) {
	s.known = true
	s.highest = max(s.highest, highest)
}

// accept tells whether an order with this number may go to the engine. The number
// that the control group gave out last may pass again: it is a repeat.
func (s *orderSequence) accept(number uint64) bool {
	if !s.known || number < s.highest {
		return false
	}
	s.highest = number
	return true
}

// Order carries an order to the engine if its number is not an old one.
func (s *Service) Order(args *wire.OrderArgs, reply *wire.OrderResult) error {
	s.a.mu.Lock()
	ok := args.Agent == s.a.deps.Node.ID && s.a.orders.accept(args.Number)
	reply.Highest = s.a.orders.highest
	s.a.mu.Unlock()
	if !ok {
		reply.Message = "the order's number is old, or the newest is not known here yet"
		return nil
	}
	if err := s.a.sendOrder(*args); err != nil {
		reply.Message = err.Error()
		return nil
	}
	reply.Done = true
	return nil
}

func (a *Agent) sendOrder(o wire.OrderArgs) error {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	u := a.deps.Upstream.JoinPath("orders", o.Action)
	q := url.Values{"name": {o.Name}, "number": {strconv.FormatUint(o.Number, 10)}}
	u.RawQuery = q.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), http.NoBody)
	if err != nil {
		return err
	}
	resp, err := a.singleUseClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the engine refused the order: %s", resp.Status)
	}
	return nil
}
