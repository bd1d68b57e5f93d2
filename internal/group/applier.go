package group

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/storage"
)

const (
	maxApplyTasks = 64 // in the queue of the applier
	// maxApplyTaskBytes bounds the commands of a task: the state is locked while they are applied.
	maxApplyTaskBytes = 1 << 20
	// maxQueuedApplyBytes bounds the commands in the queue of the applier, unless one is larger.
	maxQueuedApplyBytes = 4 << 20
)

// applyTask is a part of the log: a received snapshot or committed entries.
type applyTask struct {
	snapshot   *consensus.Snapshot
	reader     *storage.SnapshotReader // of snapshot
	entries    []consensus.Entry
	proposals  map[uint64]*proposal // to answer, by index
	membership consensus.Membership // after each of the entries
	bytes      int                  // of the entries' commands
}

// position is the place in the log of the last entry that was applied.
type position struct {
	index, term uint64
}

// applier is the queue to the goroutine that applies entries and restores received snapshots, in
// log order, and what that goroutine publishes. The loop puts tasks in and never waits for it.
type applier struct {
	tasks       chan *applyTask
	queuedBytes atomic.Int64
	held        []*applyTask  // tasks for which the queue has no room yet; used only by the loop
	isHolding   atomic.Bool   // the loop waits for room
	room        chan struct{} // wakes the loop
	failed      chan error    // receives the error that ends the replica
	isStopping  atomic.Bool   // tasks that are left are not carried out
	done        sync.WaitGroup

	position atomic.Pointer[position]
	mu       sync.Mutex
	changed  chan struct{} // closed and replaced with each position
}

func newApplier(at position) *applier {
	ap := &applier{
		tasks: make(chan *applyTask, maxApplyTasks), room: make(chan struct{}, 1), failed: make(chan error, 1), changed: make(chan struct{}),
	}
	ap.position.Store(&at)

	return ap
}

// offer puts a task into the queue unless that is full.
func (ap *applier) offer(ta *applyTask) bool {
	queued, size := ap.queuedBytes.Load(), int64(ta.bytes)
	if queued > 0 && queued+size > maxQueuedApplyBytes {
		return false
	}
	select {
	case ap.tasks <- ta:
		ap.queuedBytes.Add(size)

		return true
	default:
		return false
	}
}

// feed moves held tasks into the queue as far as it has room.
func (ap *applier) feed() {
	ap.isHolding.Store(len(ap.held) > 0)
	for len(ap.held) > 0 && ap.offer(ap.held[0]) {
		ap.held[0] = nil
		ap.held = ap.held[1:]
	}
	ap.isHolding.Store(len(ap.held) > 0)
}

// release frees the room of a task that was carried out.
func (ap *applier) release(ta *applyTask) {
	ap.queuedBytes.Add(-int64(ta.bytes))
	if !ap.isHolding.Load() {
		return
	}
	select {
	case ap.room <- struct{}{}:
	default:
	}
}

// moveTo publishes the position and notifies those that wait for it.
func (ap *applier) moveTo(at position) {
	ap.position.Store(&at)
	ap.mu.Lock()
	defer ap.mu.Unlock()
	close(ap.changed)
	ap.changed = make(chan struct{})
}

// next returns a channel that is closed with the next position.
func (ap *applier) next() <-chan struct{} {
	ap.mu.Lock()
	defer ap.mu.Unlock()

	return ap.changed
}

// stop ends the goroutine of the applier after the task that it is carrying out, and answers the
// proposals of the others with err. The loop has ended.
func (ap *applier) stop(err error) {
	ap.isStopping.Store(true)
	close(ap.tasks)
	ap.done.Wait()
	for ta := range ap.tasks {
		ta.fail(err)
	}
	for _, ta := range ap.held {
		ta.fail(err)
	}
}

func (ta *applyTask) fail(err error) {
	if ta.reader != nil {
		_ = ta.reader.Close() // it was only read
	}
	for _, p := range ta.proposals {
		p.answer <- proposalAnswer{err: err}
	}
}

// queueSnapshot passes a received snapshot to the applier, which closes its reader.
func (n *node) queueSnapshot(sn *consensus.Snapshot, sr *storage.SnapshotReader) {
	n.applier.held = append(n.applier.held, &applyTask{snapshot: sn, reader: sr})
	n.applier.feed()
}

// queueCommitted passes committed entries to the applier, with the proposals that wait for them.
func (n *node) queueCommitted(entries []consensus.Entry) {
	ap := n.applier
	var ta *applyTask
	for _, en := range entries {
		if ta == nil || en.Kind == consensus.EntryMembership || ta.bytes+len(en.Data) > maxApplyTaskBytes {
			ta = &applyTask{membership: n.replica.MembershipAt(en.Index), proposals: map[uint64]*proposal{}}
			ap.held = append(ap.held, ta)
		}
		ta.entries = append(ta.entries, en)
		ta.bytes += len(en.Data)
		if p := n.takeProposal(en); p != nil {
			ta.proposals[en.Index] = p
		}
	}
	ap.feed()
}

// takeProposal returns the pending proposal that en commits, nil if there is none.
func (n *node) takeProposal(en consensus.Entry) *proposal {
	w, ok := n.pendingProposals[en.Index]
	if !ok {
		return nil
	}

	delete(n.pendingProposals, en.Index)
	if w.term != en.Term {
		w.proposal.answer <- proposalAnswer{err: result.New(result.NotLeader, "group: this replica lost leadership, the command was not committed")}

		return nil
	}

	return w.proposal
}

// applyTasks carries out the tasks of the queue until the applier is stopped.
func (n *node) applyTasks() {
	ap := n.applier
	for ta := range ap.tasks {
		var err error
		switch {
		case ap.isStopping.Load():
			ta.fail(errStopping())

			continue
		case ta.snapshot != nil:
			err = n.restore(ta)
		default:
			err = n.apply(ta)
		}
		ap.release(ta)
		if err != nil {
			ta.fail(err)
			ap.failed <- err

			return
		}
	}
}

func errStopping() error {
	return result.New(result.ShuttingDown, "group: the replica stops").WithExecution(result.ExecutionUnknown)
}

// restore replaces the state by that of a received snapshot.
func (n *node) restore(ta *applyTask) error {
	ma, err := n.restoreSnapshot(ta.reader)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.machine = ma
	n.onApply()
	n.applier.moveTo(position{ta.snapshot.Index, ta.snapshot.Term})

	return nil
}

// apply applies the entries of a task and answers its proposals.
func (n *node) apply(ta *applyTask) error {
	replies, err := n.applyEntries(ta)
	if err != nil {
		return err
	}
	for i, p := range ta.proposals {
		p.answer <- proposalAnswer{reply: replies[i]}
	}

	return nil
}

// applyEntries applies the entries of a task, and begins a snapshot after the one at which it is due. It
// returns the replies to the proposals by their index.
func (n *node) applyEntries(ta *applyTask) (map[uint64][]byte, error) {
	replies := make(map[uint64][]byte, len(ta.proposals))
	n.mu.Lock()
	defer n.mu.Unlock()

	for _, en := range ta.entries {
		if en.Kind != consensus.EntryCommand {
			n.machine.Skip(en.Index)
		} else if rep := n.machine.Apply(en.Index, en.Data); ta.proposals[en.Index] != nil {
			replies[en.Index] = rep
		}
		if !n.snapshots.begin(en.Index, n.machine.IsSnapshotDue(), n.now()) {
			continue
		}
		if err := n.snapshot(consensus.Snapshot{Index: en.Index, Term: en.Term, Membership: ta.membership}); err != nil {
			return nil, err
		}
	}
	// The view is updated before the entries count as applied: a read that waited for them is
	// answered from the view.
	n.onApply()
	last := ta.entries[len(ta.entries)-1]
	n.applier.moveTo(position{last.Index, last.Term})

	return replies, nil
}

// snapshotSchedule decides when a snapshot of the state is begun, at most one at a time. It is safe
// for concurrent use.
type snapshotSchedule struct {
	mu        sync.Mutex
	index     uint64 // of the stored snapshot
	isRunning bool
	isDue     bool          // the last one could not be written
	retryAt   time.Duration // earliest time of the next one
}

// begin reports whether a snapshot at index, where isDue says whether the state is due for one, is begun
// now. One that is due while another is being written is left out. One that the disk refused is begun as
// soon as possible: the log grows until then.
func (ss *snapshotSchedule) begin(index uint64, isDue bool, now time.Duration) bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()

	if (!isDue && !ss.isDue) || ss.isRunning || index <= ss.index || now < ss.retryAt {
		return false
	}
	ss.isRunning = true

	return true
}

// end records that writing a snapshot has ended.
func (ss *snapshotSchedule) end() {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.isRunning = false
}

// retry makes a snapshot due from a time on.
func (ss *snapshotSchedule) retry(at time.Duration) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.isDue, ss.retryAt = true, at
}

// store records that the snapshot at index is the stored one.
func (ss *snapshotSchedule) store(index uint64) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.index, ss.isDue = index, false
}

// stored returns the index of the stored snapshot.
func (ss *snapshotSchedule) stored() uint64 {
	ss.mu.Lock()
	defer ss.mu.Unlock()

	return ss.index
}
