package node

import (
	"context"
	"time"

	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
	"dotterelgap/core/policy"
	"dotterelgap/core/state"
	"dotterelgap/io/ctrl"
	"dotterelgap/io/wire"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// Times of requests for policies.
const (
	fetchTimeout      = 2 * time.Second
	confirmTimeout    = 3 * time.Second
	confirmRetryPause = 300 * time.Millisecond
	// hedgeAfter is the time without a reply after which another peer is asked for its policy.
	hedgeAfter = 100 * time.Millisecond
	// peerPolicyAfter is the time after which a node without a reply from a quorum serves
	// with the latest policy of its peers.
	peerPolicyAfter = 3 * time.Second
)

// Service is the net/rpc service "Node" of a node.
type Service struct {
	n *Node
}

// Policy returns the policy in force on this node, if it is newer than the client's.
func (s *Service) Policy(args *wire.PolicyArgs, reply *state.Published) error {
	if p := s.n.published.Load(); p != nil && p.Number > args.Have {
		*reply = *p
	}
	return nil
}

// offer queues a policy that the control group has accepted. Only the newest stays queued.
func (n *Node) offer(p state.Published) {
	if p.Number == 0 {
		return
	}
	for {
		select {
		case n.policies <- p:
			return
		case old := <-n.policies:
			if old.Number > p.Number {
				p = old
			}
		}
	}
}

// followPolicies applies policies until ctx ends, and requests the first one from a
// quorum.
func (n *Node) followPolicies(ctx context.Context) {
	n.wg.Go(func() { n.confirmFirst(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-n.policies:
			n.applyPolicy(p)
		}
	}
}

// number returns the number of the policy in force on this node, or 0.
func (n *Node) number() uint64 {
	if p := n.published.Load(); p != nil {
		return p.Number
	}
	return 0
}

func (n *Node) applyPolicy(p state.Published) {
	if p.Number <= n.number() {
		return
	}
	data, err := unpack(p.Data)
	var decoded *policy.Policy
	if err == nil {
		decoded, err = n.deps.Interface.Decode(data)
	}
	if err != nil {
		n.log.Error("node: decoding an accepted policy failed", zap.Uint64("policy", p.Number), zap.Error(err))
		return
	}
	n.published.Store(&p)
	// Before any request comes under the policy: a customer without an amount has no limit.
	n.budgets.setCustomers(decoded.Prepaid())
	n.front.SetPolicy(policy.Compile(decoded))
	n.logUnlimited(decoded)
	n.mesh.Update(true, func(self *fleet.Peer) { self.Policy = p.Number })
	n.warnUnknownRegions(decoded)
	n.log.Info("node: policy in force", zap.Uint64("policy", p.Number), zap.Int("routes", len(decoded.Routes)))
}

// logUnlimited logs how many customers have no prepaid amount, and so no limit.
func (n *Node) logUnlimited(p *policy.Policy) {
	if count := len(p.Customers) - len(p.Prepaid()); count > 0 {
		n.log.Warn("node: customers without a prepaid amount have no limit", zap.Uint64("policy", p.Number), zap.Int("customers", count))
	}
}

// confirmFirst requests the policy from a quorum until it replies. After peerPolicyAfter
// the node also counts as ready with a policy from its peers.
func (n *Node) confirmFirst(ctx context.Context) {
	began := time.Now()
	for ctx.Err() == nil {
		tryCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
		p, err := n.quorumPolicy(tryCtx)
		cancel()
		if err == nil && p.Number > 0 {
			n.offer(p)
			n.confirmed.Store(true)
			return
		}
		if n.number() > 0 && time.Since(began) > peerPolicyAfter {
			n.confirmed.Store(true)
		}
		select {
		case <-ctx.Done():
		case <-time.After(confirmRetryPause):
		}
	}
}

// quorumPolicy returns the policy in force, confirmed by a quorum, and applies the evacuations
// that come with it.
func (n *Node) quorumPolicy(ctx context.Context) (state.Published, error) {
	have := n.published.Load()
	args := wire.PolicyArgs{}
	if have != nil {
		args.Have = have.Number
	}
	reply, err := ctrl.Call[wire.PolicyReply](ctx, n.client, "Control.Policy", &args)
	if err != nil {
		return state.Published{}, err
	}
	n.applyEvacuations(reply.Evacuations)
	if have != nil && reply.Policy.Number == have.Number {
		return *have, nil
	}
	return reply.Policy, nil
}

// Publish puts a policy in force. After an error, the policy may or may not be in force.
func (n *Node) Publish(ctx context.Context, p *policy.Policy, data []byte) error {
	packed, err := pack(data)
	if err != nil {
		return err
	}
	args := state.Publish{Number: p.Number, Data: packed, Prepaid: map[string]escrow.Tokens{}}
	for c, tokens := range p.Prepaid() {
		args.Prepaid[c] = escrow.Tokens(tokens)
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := ctrl.Call[wire.PublishReply](ctx, n.client, "Control.Publish", &args)
	if err != nil {
		return err
	}
	if reply.Accepted {
		n.offer(state.Published{Number: p.Number, Data: packed})
	}
	return nil
}

// NoPolicyError is returned if no policy was published yet.
type NoPolicyError struct{}

// Error implements error.
func (*NoPolicyError) Error() string { return "no policy was published yet" }

// Published returns the policy in force in its published form, confirmed by a quorum.
func (n *Node) Published(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	p, err := n.quorumPolicy(ctx)
	if err != nil {
		return nil, err
	}
	if p.Number == 0 {
		return nil, trace.Wrap(&NoPolicyError{})
	}
	return unpack(p.Data)
}
