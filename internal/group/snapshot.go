package group

import (
	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/storage"
)

// snapshotResult is the outcome of writing a snapshot; the data of the snapshot is left out.
type snapshotResult struct {
	snapshot consensus.Snapshot
	err      error
}

// snapshot starts to store the state after the entry that sn names, which was applied last. Entries
// are applied meanwhile: encoding a large state takes long.
func (n *node) snapshot(sn consensus.Snapshot) error {
	encode, err := n.machine.Freeze()
	if err != nil {
		return err
	}

	began := n.now()
	n.background.Go(func() {
		stored, err := n.store.WriteSnapshot(sn, encode)
		if err != nil {
			stored = sn
		} else {
			n.log.WithFields(log.Fields{"index": sn.Index, "bytes": stored.Size, "ms": (n.now() - began).Milliseconds()}).Info("snapshot written")
		}
		n.snapshotResults <- snapshotResult{snapshot: stored, err: err}
	})

	return nil
}

// finishSnapshot takes a written snapshot, to adopt it. One that the disk refused is due again after
// a pause; until then the log is retained.
func (n *node) finishSnapshot(sv snapshotResult) error {
	if sv.err == nil {
		n.written = &sv.snapshot

		return nil
	}
	n.snapshots.end()
	if !storage.IsTransient(sv.err) {
		return sv.err
	}
	n.snapshots.retry(n.now() + snapshotRetryPause)
	n.disk.log.WithError(sv.err).WithField("index", sv.snapshot.Index).Warn("the disk refuses a snapshot, it will be retried")

	return nil
}

// finishAdoption drops the log that an adopted snapshot covers, except for the entries that are
// retained for slow followers.
func (n *node) finishAdoption(ta *storeTask) {
	n.snapshots.end()
	if ta.isStale {
		return
	}
	sn := ta.adopt
	n.snapshots.store(sn.Index)
	dropTo := max(n.replica.TailFrom(retainedBytes), 1) - 1
	if sn.Index > retainedEntries {
		dropTo = max(dropTo, sn.Index-retainedEntries)
	}
	n.replica.Compact(min(dropTo, sn.Index))
}
