package group

import (
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/storage"
)

// storeTask is one use of the store: to save Ready, to adopt a written snapshot, or to read the stored
// one for a transfer.
type storeTask struct {
	isRetry  bool // the disk has refused a write
	ready    *consensus.Ready
	adopt    *consensus.Snapshot
	isStale  bool // the leader has sent a newer snapshot than adopt
	isRead   bool
	began    time.Duration
	snapshot consensus.Snapshot // that was read
	isFound  bool
	err      error
}

// storeWriter uses the store beside the loop of the replica, for one task at a time.
type storeWriter struct {
	tasks   chan *storeTask
	results chan *storeTask
	isBusy  bool // used only by the loop
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
		return st.Save(ta.ready)
	case ta.adopt != nil && ta.isStale:
		return st.DropSnapshot(ta.adopt.Index)
	case ta.adopt != nil:
		return st.AdoptSnapshot(*ta.adopt, false)
	case ta.isRead:
		ta.snapshot, ta.isFound = st.LatestSnapshot()

		return st.Failure()
	}

	return nil
}

// startTask gives the store a task. It must be idle.
func (n *node) startTask(ta *storeTask) {
	ta.began = n.now()
	n.writer.isBusy = true
	n.writer.tasks <- ta
}

// startSnapshotTask gives the store what is due with snapshots, if it is idle.
func (n *node) startSnapshotTask() {
	if n.replica.Role() != consensus.RoleLeader {
		n.isTransferDue, n.transfer = false, nil
	}
	switch {
	case n.writer.isBusy:
	case n.written != nil:
		sn := n.written
		n.written = nil
		n.startTask(&storeTask{adopt: sn, isStale: sn.Index <= n.snapshots.stored()})
	case n.isTransferDue:
		n.startTask(&storeTask{isRead: true})
	}
}

// finishTask does what may follow only once a task is done.
func (n *node) finishTask(ta *storeTask) error {
	n.writer.isBusy = false
	if ta.err != nil {
		return n.suspend(ta.err, ta)
	}
	if n.unstored != nil {
		n.unstored = nil
		n.disk.recordSuccess(time.Now())
	}
	switch {
	case ta.ready != nil:
		n.logSlowWrite(ta)
		n.carryOut(ta.ready)
	case ta.adopt != nil:
		n.finishAdoption(ta)
	case ta.isRead:
		n.log.WithFields(log.Fields{
			"index": ta.snapshot.Index, "bytes": len(ta.snapshot.Data), "found": ta.isFound, "ms": (n.now() - ta.began).Milliseconds(),
		}).Info("snapshot read for a transfer")
		n.isTransferDue = false
		if ta.isFound {
			n.transfer = &ta.snapshot
		}
	}

	return nil
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

// carryOut does what may follow only once rd is stored.
func (n *node) carryOut(rd *consensus.Ready) {
	for _, m := range rd.Messages {
		n.send(m)
	}
	n.replica.Advance(n.now(), *rd)
	if rd.Snapshot != nil {
		n.snapshots.store(rd.Snapshot.Index)
		n.queueSnapshot(rd.Snapshot)
	}
}

// latestSnapshot returns the stored snapshot for a transfer to a follower. It is read beside the
// loop, and the replica asks again with the next heartbeat.
func (n *node) latestSnapshot() (consensus.Snapshot, bool) {
	if sn := n.transfer; sn != nil && sn.Index == n.snapshots.stored() {
		n.transfer = nil

		return *sn, true
	}
	n.isTransferDue = n.snapshots.stored() > 0

	return consensus.Snapshot{}, false
}
