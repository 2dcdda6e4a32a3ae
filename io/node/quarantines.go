package node

import (
	"context"
	"slices"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/io/disk"

	"go.uber.org/zap"
)

// quarantineFile is the file in the data folder with the quarantines, so that they outlive
// the end of all nodes at the same time.
const quarantineFile = "quarantines"

// savedQuarantines is the content of quarantineFile.
type savedQuarantines struct {
	Quarantines []fleet.Quarantine `cbor:"quarantines"`
	SavedAt     time.Time          `cbor:"saved_at"`
}

// keepQuarantines reads the quarantines from the data folder and then writes each change
// to it, until ctx ends.
func (n *Node) keepQuarantines(ctx context.Context) {
	file := disk.NewValue[savedQuarantines](n.deps.FS, n.deps.DataDir, quarantineFile)
	saved, err := file.Load()
	if err != nil {
		n.log.Error("node: reading the quarantines failed", zap.Error(err))
	}
	for _, q := range saved.Quarantines {
		q.Left -= max(time.Since(saved.SavedAt), 0)
		n.mesh.Quarantine(q)
	}
	last := saved.Quarantines
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.quarantined:
		}
		now := n.mesh.Quarantines()
		if slices.EqualFunc(now, last, sameQuarantine) {
			continue
		}
		if err := file.Save(savedQuarantines{Quarantines: now, SavedAt: time.Now()}); err != nil {
			n.log.Error("node: writing the quarantines failed", zap.Error(err))
			continue
		}
		last = now
	}
}

// sameQuarantine reports whether two records differ in the time that is left at most.
func sameQuarantine(a, b fleet.Quarantine) bool {
	return a.Key() == b.Key() && a.Round == b.Round && a.Lifted == b.Lifted
}
