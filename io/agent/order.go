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

// orderSequence accepts orders only in the order of their numbers. After a restart
// it accepts none until it knows the highest number.
type orderSequence struct {
	known   bool
	highest uint64
}

// observe records the highest number that the control group has assigned.
func (s *orderSequence) observe(highest uint64) {
	s.known = true
	s.highest = max(s.highest, highest)
}

// accept reports whether an order with this number may go to the engine. It accepts
// the highest number again, because the order may be a retry.
func (s *orderSequence) accept(number uint64) bool {
	if !s.known || number < s.highest {
		return false
	}
	s.highest = number
	return true
}

// Order forwards an order to the engine unless its number is outdated.
func (s *Service) Order(args *wire.OrderArgs, reply *wire.OrderResult) error {
	s.a.mu.Lock()
	ok := args.Agent == s.a.deps.Node.ID && s.a.orders.accept(args.Number)
	reply.Highest = s.a.orders.highest
	s.a.mu.Unlock()
	if !ok {
		reply.Message = "the order is for another incarnation of the agent, or its number is outdated or cannot be checked yet"
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
		return fmt.Errorf("engine rejected the order: %s", resp.Status)
	}
	return nil
}
