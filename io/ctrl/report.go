package ctrl

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/ledger"
	"dotterelgap/core/raft"
	"dotterelgap/core/state"
	"dotterelgap/io/admin"
	"dotterelgap/io/wire"
)

func (h *Host) customerReply(name string) (any, error) {
	var r admin.CustomerReply
	var err error
	ok := h.onLoop(func(time.Time) {
		l := h.state.Ledger
		a, found := l.Accounts[name]
		if !found {
			err = &ledger.UnknownCustomerError{Customer: name}
			return
		}
		r = admin.CustomerReply{Name: name, Paid: a.Paid, Billed: a.Billed, Free: l.Free(name)}
		for _, g := range l.Grants {
			if g.Grant.Customer != name {
				continue
			}
			gr := h.grantReply(g)
			r.Granted += gr.Outstanding
			r.Spent += gr.Spent
			r.Grants = append(r.Grants, gr)
		}
	})
	if !ok {
		return nil, &leadershipLostError{}
	}
	sortGrants(r.Grants)
	return r, err
}

func sortGrants(gs []admin.GrantReply) {
	slices.SortFunc(gs, func(a, b admin.GrantReply) int { return cmp.Compare(a.ID, b.ID) })
}

func (h *Host) grantReply(g *ledger.OpenGrant) admin.GrantReply {
	r := admin.GrantReply{
		ID: g.Grant.ID, Place: g.Grant.Place, Holder: g.Grant.Holder, Amount: g.Grant.Amount,
		Outstanding: g.Outstanding, Settling: g.Settling,
	}
	for _, n := range g.Spent {
		r.Spent += n
	}
	if g.Settling {
		r.Doubt = h.doubtReason(g)
	}
	return r
}

// doubtReason returns why a settling grant is not settled yet.
func (h *Host) doubtReason(g *ledger.OpenGrant) string {
	for _, id := range h.agentsWithoutReport(g) {
		return fmt.Sprintf("waiting for the report of %s", id)
	}
	if g.Doubt {
		return "an agent that may have run work on the grant is gone without its final report; needs a write-off"
	}
	return "settlement in progress"
}

func (h *Host) agentsWithoutReport(g *ledger.OpenGrant) []fleet.NodeID {
	var out []fleet.NodeID
	for id, a := range h.state.Ledger.Agents {
		if a.Gone {
			continue
		}
		if r, ok := h.leader.reports[g.Grant.ID][id]; !ok || !r.Done() {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (h *Host) statusReply() (any, error) {
	r := admin.StatusReply{Nodes: []admin.NodeReply{}, Lagging: []fleet.NodeID{}, Doubts: []admin.GrantReply{}}
	ok := h.onLoop(func(time.Time) {
		r.Version = h.state.Config.Version
		r.Environment = h.state.Document().Environment.Name
		r.Control = h.machine.Status()
		for _, s := range h.leader.presence.Nodes() {
			load := h.leader.loads[s.Node.ID]
			lags := s.Node.Role == fleet.RoleEntry && s.Config < r.Version
			r.Nodes = append(r.Nodes, admin.NodeReply{Node: s.Node, Config: s.Config, Lags: lags, Running: load.Running, Waiting: load.Waiting})
			if lags {
				r.Lagging = append(r.Lagging, s.Node.ID)
			}
		}
		for _, g := range h.state.Ledger.Settling() {
			r.Doubts = append(r.Doubts, h.grantReply(h.state.Ledger.Grants[g.ID]))
		}
	})
	if !ok {
		return nil, &leadershipLostError{}
	}
	return r, nil
}

func (h *Host) findNode(id fleet.NodeID) (fleet.Node, bool) {
	var n fleet.Node
	found := false
	h.onLoop(func(time.Time) {
		for _, s := range h.leader.presence.Nodes() {
			if s.Node.ID == id {
				n, found = s.Node, true
			}
		}
	})
	return n, found
}

func unknownNode(id fleet.NodeID) error {
	return &admin.Failure{Status: http.StatusNotFound, Code: "unknown_node", Message: fmt.Sprintf("no live process with id %q", id)}
}

// drainNode requests that a process drains and shuts down. It is idempotent.
func (h *Host) drainNode(r admin.DrainRequest) (any, error) {
	n, ok := h.findNode(r.Node)
	if !ok {
		return nil, unknownNode(r.Node)
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	method := "Agent.Drain"
	if n.Role == fleet.RoleEntry {
		method = "Entry.Drain"
	}
	if err := h.deps.Pool.Call(ctx, n.Addr, method, &wire.Empty{}, &wire.Empty{}); err != nil {
		return nil, err
	}
	return struct{}{}, nil
}

// replace advances the replacement of a lost control host by one step. The operator's
// command repeats the request until the replacement is complete.
func (h *Host) replace(r admin.ReplaceRequest) (any, error) {
	var reply admin.ReplaceReply
	ok := h.onLoop(func(now time.Time) {
		reply = h.advanceReplacement(now, r.Lost)
		reply.Members = h.machine.Status().Members.Members
	})
	if !ok {
		return nil, &leadershipLostError{}
	}
	return reply, nil
}

// advanceReplacement has a learner that has caught up take the lost member's vote, removes that
// member, and reports completion only once every voter has all committed entries.
func (h *Host) advanceReplacement(now time.Time, lost raft.MemberID) admin.ReplaceReply {
	status := h.machine.Status()
	if lost == status.Self {
		return admin.ReplaceReply{Message: "the leader can't be replaced as a lost host"}
	}
	if m, member := status.Members.Find(lost); member {
		if m.Voter {
			h.leader.leaving[lost] = now
			return admin.ReplaceReply{Message: "waiting for a new host to join, catch up and take over the vote"}
		}
		if _, err := h.machine.Remove(now, lost); err != nil {
			return admin.ReplaceReply{Message: err.Error()}
		}
		return admin.ReplaceReply{Message: "removed the lost host"}
	}
	for _, m := range status.Members.Members {
		if !m.Voter {
			return admin.ReplaceReply{Message: "waiting for the new host to become a voter"}
		}
		if m.ID != status.Self && !h.machine.VoterCaughtUp(now, m.ID) {
			return admin.ReplaceReply{Message: fmt.Sprintf("waiting for %x to catch up with the log", uint64(m.ID))}
		}
	}
	if status.Members.Voters() < h.deps.Size {
		return admin.ReplaceReply{Message: "waiting for a new host to join"}
	}
	return admin.ReplaceReply{Complete: true, Message: "the group could lose any other host now"}
}

// sendOrder commits a number for an order and sends the order to the agent.
func (h *Host) sendOrder(r admin.OrderRequest) (any, error) {
	n, ok := h.findNode(r.Agent)
	if !ok {
		return nil, unknownNode(r.Agent)
	}
	res, hint := h.commit(state.Command{Order: &state.Order{Agent: r.Agent, ID: r.ID}})
	if hint.NotLeader {
		return nil, &leadershipLostError{}
	}
	if res.Err != nil {
		return nil, res.Err
	}
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	args := wire.OrderArgs{Agent: r.Agent, Number: res.Order, Action: r.Action, Name: r.Name}
	var result wire.OrderResult
	if err := h.deps.Pool.Call(ctx, n.Addr, "Agent.Order", &args, &result); err != nil {
		return nil, err
	}
	return admin.OrderReply{Number: res.Order, Done: result.Done, Message: result.Message}, nil
}
