package agent

import (
	"dotterelgap/core/escrow"
	"dotterelgap/core/runs"
	"dotterelgap/io/wire"
)

// Service is the net/rpc service "Agent".
type Service struct {
	a *Agent
}

// Claim handles a claim on a grant as its witness.
func (s *Service) Claim(args *escrow.Claim, reply *escrow.ClaimReply) error {
	s.a.mu.Lock()
	defer s.a.mu.Unlock()
	*reply = s.a.witness.Claim(*args)
	return nil
}

// Grants returns the grants of a customer that this witness has recorded.
func (s *Service) Grants(args *wire.GrantsArgs, reply *wire.GrantsReply) error {
	s.a.mu.Lock()
	defer s.a.mu.Unlock()
	reply.Grants = s.a.witness.Grants(args.Customer, args.Place)
	return nil
}

// Resolve returns the outcome of an attempt. It ensures that an attempt that has not
// started never starts.
func (s *Service) Resolve(args *wire.RunID, reply *wire.Resolved) error {
	if args.Agent != s.a.deps.Node.ID {
		reply.OtherLife = true
		return nil
	}
	s.a.mu.Lock()
	defer s.a.mu.Unlock()
	r := s.a.runs.Resolve(runs.ID{Customer: args.Customer, Key: args.Key}, args.Attempt)
	*reply = wire.Resolved{NotRun: r.NotRun, Running: r.Running, Expired: r.Expired, Used: r.Used, Payment: r.Payment}
	return nil
}

// Ack bills a run and returns the number of tokens that are billed. The agent has
// the final decision: a run that was voided in favour of another is billed at zero.
func (s *Service) Ack(args *wire.AckArgs, reply *wire.AckReply) error {
	if args.Agent != s.a.deps.Node.ID {
		reply.OtherLife = true
		return nil
	}
	s.a.mu.Lock()
	defer s.a.mu.Unlock()
	reply.Billed = s.a.runs.Ack(runs.ID{Customer: args.Customer, Key: args.Key}, args.Attempt, args.Billed)
	return nil
}

// Void keeps a request from being billed at this agent, in favour of a later attempt
// at another agent.
func (s *Service) Void(args *wire.RunID, reply *wire.VoidReply) error {
	if args.Agent != s.a.deps.Node.ID {
		return nil
	}
	s.a.mu.Lock()
	defer s.a.mu.Unlock()
	reply.Voided = s.a.runs.Void(runs.ID{Customer: args.Customer, Key: args.Key})
	return nil
}

// Cancel stops a run whose caller has disconnected. The tokens used so far are
// charged.
func (s *Service) Cancel(args *wire.RunID, _ *wire.Empty) error {
	if args.Agent != s.a.deps.Node.ID {
		return nil
	}
	s.a.mu.Lock()
	defer s.a.mu.Unlock()
	if res, ok := s.a.responses[runs.ID{Customer: args.Customer, Key: args.Key}]; ok {
		res.cancel()
	}
	return nil
}

// Drain makes the agent refuse new work immediately and shut down.
func (s *Service) Drain(_ *wire.Empty, _ *wire.Empty) error {
	s.a.Drain()
	if s.a.deps.Stop != nil {
		s.a.deps.Stop()
	}
	return nil
}
