package group

import (
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/storage"
)

// maxLeaderWrite is how long a write of a leader, or a read of a chunk, may take before it gives up the lead. A disk that is only
// slow takes less; one that hangs may never finish.
const maxLeaderWrite = 4 * time.Second

// storeTask is one use of the store: to save Ready, to adopt a written snapshot, or to open the stored
// one for a transfer.
type storeTask struct {
	isRetry bool // the disk has refused a write
	ready   *consensus.Ready
	adopt   *consensus.Snapshot
	isStale bool   // the leader has sent a newer snapshot than adopt
	opens   uint64 // index of the stored snapshot to open for a transfer, 0 for none
	began   time.Duration
	reader  *storage.SnapshotReader // of the snapshot in ready, or of the one that was opened
	err     error
}

// storeWriter uses the store beside the loop of the replica, for one task at a time.
type storeWriter struct {
	tasks   chan *storeTask
	results chan *storeTask
	isBusy  bool          // used only by the loop
	began   time.Duration // of the task that the writer is carrying out; used only by the loop
	done    sync.WaitGroup
}

func newStoreWriter() *storeWriter {
	return &storeWriter{tasks: make(chan *storeTask, 1), results: make(chan *storeTask, 1)}
}

// run carries out tasks until the writer is stopped.
func (sw *storeWriter) run(st *storage.Store) {
	for ta := range sw.tasks {
		ta.err = ta.run(st)
		sw.results <- ta
	}
}

// stop returns once the store is not used any more. The loop has ended.
func (sw *storeWriter) stop() {
	close(sw.tasks)
	sw.done.Wait()
}

func (ta *storeTask) run(st *storage.Store) error {
	if ta.isRetry {
		if err := st.Resume(); err != nil {
			return err
		}
	}
	switch {
	case ta.ready != nil:
		if err := st.Save(ta.ready); err != nil || ta.ready.Snapshot == nil {
			return err
		}

		return ta.open(st, ta.ready.Snapshot.Index)
	case ta.adopt != nil && ta.isStale:
		return st.DropSnapshot(ta.adopt.Index)
	case ta.adopt != nil:
		return st.AdoptSnapshot(*ta.adopt, false)
	case ta.opens > 0:
		return ta.open(st, ta.opens)
	}

	return nil
}

func (ta *storeTask) open(st *storage.Store, index uint64) (err error) {
	ta.reader, err = st.OpenSnapshot(index)

	return err
}

// startTask gives the store a task. It must be idle.
func (n *node) startTask(ta *storeTask) {
	ta.began = n.now()
	n.writer.isBusy, n.writer.began = true, ta.began
	n.writer.tasks <- ta
}

// startSnapshotTask gives the store what is due with snapshots, if it is idle.
func (n *node) startSnapshotTask() {
	if n.replica.Role() != consensus.RoleLeader {
		n.dropTransfer()
	}
	switch {
	case n.writer.isBusy:
	case n.written != nil:
		sn := n.written
		n.written = nil
		n.startTask(&storeTask{adopt: sn, isStale: sn.Index <= n.snapshots.stored()})
	case n.isTransferDue:
		n.startTask(&storeTask{opens: n.storedSnapshot.Index})
	}
}

// finishTask does what may follow only once a task is done.
func (n *node) finishTask(ta *storeTask) error {
	n.writer.isBusy = false
	switch {
	case ta.err != nil && ta.opens > 0:
		n.recordReadFailure(ta.err)
		n.dropTransfer() // the replica asks again

		return n.readFailure
	case ta.err != nil:
		return n.suspend(ta.err, ta)
	}
	if n.unstored != nil {
		n.unstored = nil
		n.disk.recordSuccess(time.Now())
	}
	switch {
	case ta.ready != nil:
		n.logSlowWrite(ta)
		n.carryOut(ta.ready, ta.reader)
	case ta.adopt != nil:
		n.finishAdoption(ta)
	case ta.opens > 0:
		n.dropTransfer()
		n.transfer = ta.reader
	}

	return nil
}

// resignIfStuck gives up the lead if the disk has not finished a write for maxLeaderWrite: nothing new can
// be applied here meanwhile, though followers may go on to store entries. It does so too for a read of a
// snapshot, without which a follower that lacks entries gets none.
func (n *node) resignIfStuck() {
	write, read := time.Duration(0), time.Duration(0)
	if n.writer.isBusy {
		write = n.now() - n.writer.began
	}
	if n.sent != nil {
		read = n.sent.waited()
	}
	took := max(write, read)
	if took < maxLeaderWrite || n.replica.Role() != consensus.RoleLeader {
		return
	}
	n.log.WithFields(log.Fields{"ms": took.Milliseconds(), "read": read > write, "term": n.replica.Term()}).Warn("the disk does not finish a write or a read, the leader gives up its lead")
	for _, m := range n.replica.Resign(n.now()) {
		n.send(m)
	}
	n.updateStatus()
}

// logSlowWrite logs a write of the log that took long.
func (n *node) logSlowWrite(ta *storeTask) {
	now := n.now()
	took := now - ta.began
	if took < minLoggedPause || (n.writeLoggedAt > 0 && now < n.writeLoggedAt+pauseLogPeriod) {
		return
	}
	n.writeLoggedAt = now
	n.log.WithFields(log.Fields{
		"ms": took.Milliseconds(), "entries": len(ta.ready.Entries), "isSnapshot": ta.ready.Snapshot != nil, "role": n.replica.Role().String(), "term": n.replica.Term(),
	}).Warn("a write of the replica took long")
}

// carryOut does what may follow only once rd is stored. received is its snapshot, nil if it has none.
func (n *node) carryOut(rd *consensus.Ready, received *storage.SnapshotReader) {
	for _, m := range rd.Messages {
		n.send(m)
	}
	n.replica.Advance(n.now(), *rd)
	if rd.Snapshot != nil {
		n.storeSnapshot(*rd.Snapshot)
		n.queueSnapshot(rd.Snapshot, received)
	}
}
