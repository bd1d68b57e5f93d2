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

// snapshotIfDue starts a snapshot of the state after the last entry applied, at index, if it is due there. One
// that is due while another is being written is left out. One that the disk refused is taken as soon as
// possible: the log grows until then.
func (n *node) snapshotIfDue(index uint64) error {
	if (!n.machine.IsSnapshotDue() && !n.isSnapshotDue) || n.isSnapshotting || n.now() < n.snapshotRetryAt {
		return nil
	}

	return n.snapshot(index)
}

// snapshot starts to store the state after index. Entries are applied meanwhile: encoding
// a large state can take longer than the followers' election timeout.
func (n *node) snapshot(index uint64) error {
	encode, err := n.machine.Freeze()
	if err != nil {
		return err
	}

	term, _ := n.replica.TermAt(index)
	sn := consensus.Snapshot{Index: index, Term: term, Membership: n.replica.MembershipAt(index)}
	n.isSnapshotting = true
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

// openSnapshot opens the stored snapshot for transfers to followers. A damaged one ends the replica.
func (n *node) openSnapshot() *consensus.SnapshotSource {
	sn := n.storedSnapshot
	if sn.Index == 0 {
		return nil
	}
	sr, err := n.store.OpenSnapshot(sn.Index)
	if err != nil {
		n.recordReadFailure(sn, err)

		return nil
	}
	n.log.WithFields(log.Fields{"index": sn.Index, "bytes": sn.Size}).Info("snapshot opened for a transfer")
	n.sent = sr

	return &consensus.SnapshotSource{
		Snapshot: sn,
		ReadAt: func(b []byte, offset uint64) error {
			err := sr.ReadAt(b, offset)
			if err != nil {
				n.recordReadFailure(sn, err)
			}

			return err
		},
		Close: n.closeSent,
	}
}

// closeSent closes the snapshot that is being sent, if there is one.
func (n *node) closeSent() {
	if n.sent != nil {
		_ = n.sent.Close() // it was only read
	}
	n.sent = nil
}

// recordReadFailure records that a stored snapshot can't be read for a transfer.
func (n *node) recordReadFailure(sn consensus.Snapshot, err error) {
	n.log.WithError(err).WithField("index", sn.Index).Error("the snapshot can't be read for a transfer")
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

// finishSnapshot adopts a written snapshot. One that the disk refused is due again after a pause;
// until then the log is retained.
func (n *node) finishSnapshot(sv snapshotResult) error {
	n.isSnapshotting = false
	switch {
	case sv.err == nil && n.unstored != nil:
		n.unstored.snapshot = &sv

		return nil
	case sv.err == nil:
		return n.adoptSnapshot(sv)
	case !storage.IsTransient(sv.err):
		return sv.err
	}
	n.isSnapshotDue, n.snapshotRetryAt = true, n.now()+snapshotRetryPause
	n.disk.log.WithError(sv.err).WithField("index", sv.snapshot.Index).Warn("the disk refuses a snapshot, it will be retried")

	return nil
}

// adoptSnapshot makes a written snapshot the current one and drops the log that it
// covers, except for the entries that are retained for slow followers.
func (n *node) adoptSnapshot(sv snapshotResult) error {
	sn := sv.snapshot
	if sn.Index <= n.lastSnapshotIndex {
		// The leader has sent a newer one meanwhile.
		if err := n.store.DropSnapshot(sn.Index); err != nil {
			return n.suspend(err, unstored{snapshot: &sv})
		}

		return nil
	}
	if err := n.store.AdoptSnapshot(sn, false); err != nil {
		return n.suspend(err, unstored{snapshot: &sv})
	}
	n.lastSnapshotIndex, n.isSnapshotDue, n.storedSnapshot = sn.Index, false, sn
	dropTo := max(n.replica.TailFrom(retainedBytes), 1) - 1
	if sn.Index > retainedEntries {
		dropTo = max(dropTo, sn.Index-retainedEntries)
	}
	n.replica.Compact(min(dropTo, sn.Index))

	return nil
}
