package group

import (
	"io"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
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

// openSnapshot returns the stored snapshot for transfers to followers, nil until it is open. It is opened
// beside the loop, and the replica asks again with the next heartbeat.
func (n *node) openSnapshot() *consensus.SnapshotSource {
	sr, sn := n.transfer, n.storedSnapshot
	if sr == nil || sr.Snapshot().Index != sn.Index {
		n.isTransferDue = sn.Index > 0

		return nil
	}
	n.transfer, n.sent = nil, newChunkReader(sr, sn.Size, n.chunkResults, n.now)
	n.background.Go(n.sent.run)
	n.log.WithFields(log.Fields{"index": sn.Index, "bytes": sn.Size}).Info("snapshot opened for a transfer")

	return &consensus.SnapshotSource{Snapshot: sn, Read: n.sent.read, Close: n.closeSent}
}

// closeSent closes the snapshot that is being sent, if there is one.
func (n *node) closeSent() {
	if n.sent != nil {
		n.sent.close()
	}
	n.sent = nil
}

// closeSnapshots closes what is open for transfers.
func (n *node) closeSnapshots() {
	n.closeSent()
	n.dropTransfer()
}

// dropTransfer closes a snapshot that was opened for a transfer which has not begun.
func (n *node) dropTransfer() {
	if n.transfer != nil {
		_ = n.transfer.Close() // it was only read
	}
	n.isTransferDue, n.transfer = false, nil
}

// recordReadFailure records that a stored snapshot can't be read for a transfer. A damaged one ends the
// replica.
func (n *node) recordReadFailure(err error) {
	n.log.WithError(err).WithField("index", n.storedSnapshot.Index).Error("the snapshot can't be read for a transfer")
	if !storage.IsTransient(err) {
		n.readFailure = err
	}
}

// restoreSnapshot returns the state that a stored snapshot holds, and closes it.
func (n *node) restoreSnapshot(sr *storage.SnapshotReader) (*statemachine.Machine, error) {
	defer func() { _ = sr.Close() }() // it was only read

	began := n.now()
	ma, err := restoreState(n.dir, sr.Snapshot(), sr)
	if err != nil {
		return nil, err
	}
	if _, err := io.Copy(io.Discard, sr); err != nil { // checks the digest
		return nil, err
	}
	sn := sr.Snapshot()
	n.log.WithFields(log.Fields{"index": sn.Index, "bytes": sn.Size, "ms": (n.now() - began).Milliseconds()}).
		Info("snapshot of the leader installed")

	return ma, nil
}

// storeSnapshot records that sn is the stored snapshot.
func (n *node) storeSnapshot(sn consensus.Snapshot) {
	sn.Data = nil
	n.storedSnapshot = sn
	n.snapshots.store(sn.Index)
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
	n.storeSnapshot(*sn)
	dropTo := max(n.replica.TailFrom(retainedBytes), 1) - 1
	if sn.Index > retainedEntries {
		dropTo = max(dropTo, sn.Index-retainedEntries)
	}
	n.replica.Compact(min(dropTo, sn.Index))
}
