package node

import (
	"context"
	"fmt"
	"sync"

	"dotterelgap/core/codec"
	"dotterelgap/core/fleet"
	"dotterelgap/core/quota"
	"dotterelgap/core/raft"
	"dotterelgap/io/ctrl"
	"dotterelgap/io/disk"

	"go.uber.org/zap"
)

const (
	// keeperFile is the name of the journal of the raises that a keeper has recorded.
	keeperFile = "raises"
	// compactSize is the size, in bytes, above which the journal is compacted.
	compactSize = 256 << 10
	// keeperQueue bounds the raises that wait to be written, and those that are written with
	// one sync.
	keeperQueue = 256
)

// keeper is a durable witness: its records are on the disk of a control host.
type keeper struct {
	log *zap.Logger
	// ended reports whether the ledger has ended a holder, as far as this host knows.
	ended func(fleet.NodeID) bool

	id fleet.NodeID
	// queue holds the raises that wait to be written. Several are written with one sync.
	queue  chan pendingRaise
	done   chan struct{}
	cancel context.CancelFunc

	mu      sync.Mutex
	witness *quota.Witness
	journal *disk.Journal
}

// pendingRaise is a raise that waits to be written. ok receives whether it was recorded.
type pendingRaise struct {
	raise quota.Raise
	ok    chan bool
}

// openKeeper opens the keeper of a data folder.
func openKeeper(log *zap.Logger, fsys disk.FS, dir string, member raft.MemberID, ended func(fleet.NodeID) bool) (*keeper, error) {
	id := ctrl.KeeperID(member)
	ctx, cancel := context.WithCancel(context.Background())
	k := &keeper{
		log: log, id: id, witness: quota.NewWitness(id), ended: ended,
		queue: make(chan pendingRaise, keeperQueue), done: make(chan struct{}), cancel: cancel,
	}
	var err error
	k.journal, err = disk.OpenJournal(fsys, dir, keeperFile, func(payload []byte) error {
		var r quota.Raise
		if err := codec.Unmarshal(payload, &r); err != nil {
			return err
		}
		if r.Witness != id {
			return fmt.Errorf("record of keeper %s found in the data folder of %s", r.Witness, id)
		}
		k.witness.Raise(r)
		return nil
	})
	if err != nil {
		cancel()
		return nil, err
	}
	go func() {
		defer close(k.done)
		k.run(ctx)
	}()
	return k, nil
}

// run writes the queued raises until ctx ends. It writes up to keeperQueue of them with one
// sync.
func (k *keeper) run(ctx context.Context) {
	for {
		var batch []pendingRaise
		select {
		case <-ctx.Done():
			return
		case e := <-k.queue:
			batch = append(batch, e)
		}
		for len(k.queue) > 0 && len(batch) < keeperQueue {
			batch = append(batch, <-k.queue)
		}
		k.write(batch)
	}
}

// raise records a holder's watermarks on the disk. It returns false while too many raises
// are queued, as on a disk that hangs.
func (k *keeper) raise(r quota.Raise) bool {
	if r.Witness != k.id {
		return false
	}
	e := pendingRaise{raise: r, ok: make(chan bool, 1)}
	select {
	case k.queue <- e:
	default:
		return false
	}
	select {
	case <-k.done:
		return false
	case ok := <-e.ok:
		return ok
	}
}

// write writes a batch to the journal and then records it.
func (k *keeper) write(batch []pendingRaise) {
	k.mu.Lock()
	defer k.mu.Unlock()
	payloads := make([][]byte, 0, len(batch))
	for _, e := range batch {
		payload, err := codec.Marshal(e.raise)
		if err != nil {
			panic("node: encoding a raise failed: " + err.Error())
		}
		payloads = append(payloads, payload)
	}
	err := k.journal.Append(payloads...)
	if err != nil {
		k.log.Error("node: writing the raises of holders failed", zap.Int("raises", len(batch)), zap.Error(err))
	}
	for _, e := range batch {
		e.ok <- err == nil && k.witness.Raise(e.raise)
	}
	if k.journal.Size() > compactSize {
		k.compact()
	}
}

// compact rewrites the journal with the latest raise of each holder that has not ended.
func (k *keeper) compact() {
	k.witness.Forget(k.ended)
	var payloads [][]byte
	for _, r := range k.witness.Raises() {
		payload, err := codec.Marshal(r)
		if err != nil {
			panic("node: encoding a raise failed: " + err.Error())
		}
		payloads = append(payloads, payload)
	}
	if err := k.journal.Replace(payloads); err != nil {
		k.log.Error("node: compacting the journal of raises failed", zap.Error(err))
	}
}

// peek reports the raises of a holder.
func (k *keeper) peek(witness, holder fleet.NodeID) quota.WitnessReport {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.witness.Peek(witness, holder)
}

func (k *keeper) close() {
	k.cancel()
	<-k.done
	_ = k.journal.Close()
}
