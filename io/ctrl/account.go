package ctrl

import (
	"time"

	"dotterelgap/io/wire"
)

// Account returns where a customer's tokens are.
func (s *Service) Account(args *wire.AccountArgs, reply *wire.AccountReply) error {
	h, err := s.running()
	if err != nil {
		return err
	}
	if reply.Hint = h.confirmLeadership(); reply.NotLeader {
		return nil
	}
	if !h.onLoop(func(time.Time) { reply.Account, reply.Known = h.state.Quota.View(args.Customer) }) {
		reply.NotLeader = true
	}
	return nil
}
