package node

import (
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
	// keeperFile holds the raises that a keeper has recorded.
	keeperFile = "raises"
	// keeperSize is the size, in bytes, above which the file is written anew.
	keeperSize = 256 << 10
)

// keeper is a witness whose records are on the disk of a control host.
type keeper struct {
	log *zap.Logger
	// ended tells whether the ledger has ended a holder, as far as is known here.
	ended func(fleet.NodeID) bool

	mu      sync.Mutex
	id      fleet.NodeID
	witness *quota.Witness
	journal *disk.Journal
}

// openKeeper opens the keeper of a data folder.
func openKeeper(log *zap.Logger, fsys disk.FS, dir string, member raft.MemberID, ended func(fleet.NodeID) bool) (*keeper, error) {
	id := ctrl.KeeperID(member)
	k := &keeper{log: log, id: id, witness: quota.NewWitness(id), ended: ended}
	var err error
	k.journal, err = disk.OpenJournal(fsys, dir, keeperFile, func(payload []byte) error {
		var r quota.Raise
		if err := codec.Unmarshal(payload, &r); err != nil {
			return err
		}
		if r.Witness != id {
			return fmt.Errorf("a record of %s in the folder of %s", r.Witness, id)
		}
		k.witness.Raise(r)
		return nil
	})
	return k, err
}

// raise records a holder's marks on the disk.
func (k *keeper) raise(r quota.Raise) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	payload, err := codec.Marshal(r)
	if err == nil {
		err = k.journal.Append(payload)
	}
	if err != nil {
		k.log.Error("node: what a holder may spend can't be recorded", zap.String("holder", string(r.Holder)), zap.Error(err))
		return false
	}
	ok := k.witness.Raise(r)
	if k.journal.Size() > keeperSize {
		k.compact()
	}
	return ok
}

// compact writes the file anew with the latest raise of each holder that lives.
func (k *keeper) compact() {
	k.witness.Forget(k.ended)
	var payloads [][]byte
	for _, r := range k.witness.Raises() {
		payload, err := codec.Marshal(r)
		if err != nil {
			k.log.Error("node: a holder's raise can't be encoded", zap.Error(err))
			return
		}
		payloads = append(payloads, payload)
	}
	if err := k.journal.Replace(payloads); err != nil {
		k.log.Error("node: the file of raises can't be written anew", zap.Error(err))
	}
}

// peek tells about the raises of a holder.
func (k *keeper) peek(witness, holder fleet.NodeID) quota.Testimony {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.witness.Peek(witness, holder)
}

func (k *keeper) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	_ = k.journal.Close()
}
