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

// latestSnapshot reads the stored snapshot for a transfer to a follower.
func (n *node) latestSnapshot() (consensus.Snapshot, bool) {
	began := n.now()
	sn, ok := n.store.LatestSnapshot()
	n.log.WithFields(log.Fields{"index": sn.Index, "bytes": len(sn.Data), "found": ok, "ms": (n.now() - began).Milliseconds()}).
		Info("snapshot read for a transfer")

	return sn, ok
}

// finishSnapshot adopts a written snapshot. One that the disk refused is due again after a pause;
// until then the log is retained.
func (n *node) finishSnapshot(sv snapshotResult) error {
	n.snapshots.end()
	switch {
	case sv.err == nil && n.unstored != nil:
		n.unstored.snapshot = &sv

		return nil
	case sv.err == nil:
		return n.adoptSnapshot(sv)
	case !storage.IsTransient(sv.err):
		return sv.err
	}
	n.snapshots.retry(n.now() + snapshotRetryPause)
	n.disk.log.WithError(sv.err).WithField("index", sv.snapshot.Index).Warn("the disk refuses a snapshot, it will be retried")

	return nil
}

// adoptSnapshot makes a written snapshot the current one and drops the log that it
// covers, except for the entries that are retained for slow followers.
func (n *node) adoptSnapshot(sv snapshotResult) error {
	sn := sv.snapshot
	if sn.Index <= n.snapshots.stored() {
		// The leader has sent a newer one meanwhile.
		if err := n.store.DropSnapshot(sn.Index); err != nil {
			return n.suspend(err, unstored{snapshot: &sv})
		}

		return nil
	}
	if err := n.store.AdoptSnapshot(sn, false); err != nil {
		return n.suspend(err, unstored{snapshot: &sv})
	}
	n.snapshots.store(sn.Index)
	dropTo := max(n.replica.TailFrom(retainedBytes), 1) - 1
	if sn.Index > retainedEntries {
		dropTo = max(dropTo, sn.Index-retainedEntries)
	}
	n.replica.Compact(min(dropTo, sn.Index))

	return nil
}
