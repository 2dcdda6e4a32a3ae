package ctrl

import (
	"context"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/quota"

	"go.uber.org/zap"
)

const (
	// lockedInterval is the time between two reports on locked tokens.
	lockedInterval = 10 * time.Second
	// lockedCustomers limits the customers that a log line names.
	lockedCustomers = 5
)

// reportLocked reports the tokens of holders that have sent nothing for holderTimeout and could not
// be ended. Nobody else can spend them. It must run on the loop.
func (h *Host) reportLocked(now time.Time) {
	if now.Sub(h.leader.lockedAt) < lockedInterval {
		return
	}
	h.leader.lockedAt = now
	var locked []quota.Locked
	if len(h.leader.silent) > 0 {
		locked = h.state.Quota.Locked(func(id fleet.NodeID) bool { return h.leader.silent[id] != nil })
	}
	var sum quota.Tokens
	for _, l := range locked {
		sum += l.Tokens
	}
	h.metrics.locked.Record(context.Background(), int64(sum))
	if sum == 0 {
		return
	}
	h.log.Warn("control: tokens are locked at holders that are not heard", zap.Int64("tokens", int64(sum)),
		zap.Int("holders", len(h.leader.silent)), zap.Int("customers", len(locked)),
		zap.Any("most", locked[:min(len(locked), lockedCustomers)]))
}
