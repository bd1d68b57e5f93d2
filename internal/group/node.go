package group

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/storage"
)

const (
	inboxSize       = 4096 // events
	maxBatchEvents  = 1024 // events that may share one sync
	tickPeriod      = 20 * time.Millisecond
	retainedEntries = 5_000 // retained for slow followers although a snapshot covers them
	maxReadWaiters  = 65_536

	// snapshotRetryPause is the pause after a snapshot that the disk refused.
	snapshotRetryPause = time.Second

	// retainedBytes bounds the commands in memory that are retained although a snapshot covers them.
	retainedBytes = 4 << 20
)

// event is one input of a node's loop; exactly one field is set.
type event struct {
	message  *consensus.Message
	proposal *proposal
	read     *readRequest
	call     func(now time.Duration, re *consensus.Replica)
}

type proposal struct {
	command []byte
	answer  chan proposalAnswer
}

type proposalAnswer struct {
	reply []byte
	err   error
}

type readRequest struct {
	answer chan readAnswer
}

type readAnswer struct {
	index uint64
	err   error
}

// pendingProposal is a proposal in the log that is not applied yet, with the term in
// which it was appended.
type pendingProposal struct {
	term     uint64
	proposal *proposal
}

// node runs one replica: it passes events to the consensus core, stores and sends what
// the core returns, and applies committed entries.
type node struct {
	replica *consensus.Replica
	store   *storage.Store
	dir     string
	start   time.Time
	wallMs  func() int64
	send    func(m consensus.Message)
	onApply func()
	// onStatus is called with the previous and the current status.
	onStatus func(old, st Status)
	// onDroppedTransfer is called with each received snapshot that was dropped; nil ignores them.
	onDroppedTransfer func(dropped consensus.DroppedTransfer)

	// A snapshot is encoded and written in the background, at most one at a time.
	isSnapshotting  bool
	isSnapshotDue   bool          // the last one could not be written
	snapshotRetryAt time.Duration // earliest time of the next one
	snapshotResults chan snapshotResult
	background      sync.WaitGroup

	// Only the loop uses these.
	storedSnapshot consensus.Snapshot // metadata of the newest one
	sent           *storage.SnapshotReader
	readFailure    error // the stored snapshot is damaged

	pauses      *pauseWatch
	log         log.Interface
	disk        *disk
	unstored    *unstored           // set while the disk refuses writes
	heardLeader consensus.ReplicaID // leader that sent a message since then

	inbox            chan event
	pendingProposals map[uint64]pendingProposal
	pendingReads     map[uint64]*readRequest
	lastReadID       uint64

	mu                sync.RWMutex // guards machine and status
	machine           *statemachine.Machine
	status            Status
	applied           chan struct{} // closed and replaced after each batch applied
	lastSnapshotIndex uint64
}

func (n *node) now() time.Duration { return time.Since(n.start) }

// run is the loop of the replica. It returns when ctx ends or the data folder is unusable. While
// the disk refuses writes, the loop goes on without the replica.
func (n *node) run(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	defer n.failPending(result.New(result.ShuttingDown, "group: the replica stops").WithExecution(result.ExecutionUnknown))
	defer n.store.Close()
	defer n.background.Wait()
	defer n.closeSent()

	n.pauses.ended = n.now()
	for {
		var batch []*proposal
		select {
		case ev := <-n.inbox:
			n.pauses.begin()
			batch = n.handleEvent(ev, batch)
		case sv := <-n.snapshotResults:
			n.pauses.begin()
			if err := n.finishSnapshot(sv); err != nil {
				return err
			}
		case <-ticker.C:
			n.pauses.begin()
		case <-ctx.Done():
			return nil
		}
		batch = n.collectBatch(batch)
		n.pauses.end(stepReceive)
		if n.unstored != nil {
			if err := n.resume(); err != nil {
				return err
			}
			if n.unstored != nil {
				n.updateStatus()
				n.pauses.finish()

				continue
			}
		}
		n.propose(batch)
		n.replica.Tick(n.now())
		n.pauses.end(stepPropose)
		if err := n.processReady(); err != nil {
			return err
		}
		n.pauses.finish()
	}
}

// collectBatch handles the other events in the inbox, so that many entries share one sync.
func (n *node) collectBatch(batch []*proposal) []*proposal {
	for range maxBatchEvents {
		select {
		case ev := <-n.inbox:
			n.pauses.current.events++
			batch = n.handleEvent(ev, batch)
		default:
			return batch
		}
	}

	return batch
}

// handleEvent passes an event to the replica; a proposal is only appended to batch.
func (n *node) handleEvent(ev event, batch []*proposal) []*proposal {
	if n.unstored != nil {
		n.handleSuspended(ev)

		return batch
	}
	switch {
	case ev.message != nil:
		n.replica.Step(n.now(), *ev.message)
	case ev.proposal != nil:
		return append(batch, ev.proposal)
	case ev.read != nil:
		n.startRead(ev.read)
	case ev.call != nil:
		ev.call(n.now(), n.replica)
	}

	return batch
}

func (n *node) propose(batch []*proposal) {
	if len(batch) == 0 {
		return
	}

	at := n.wallMs()
	commands := make([][]byte, len(batch))
	for i, p := range batch {
		statemachine.Stamp(p.command, at)
		commands[i] = p.command
	}
	first, err := n.replica.Propose(n.now(), commands)
	for i, p := range batch {
		if err != nil {
			p.answer <- proposalAnswer{err: result.New(result.NotLeader, "group: %v", err)}

			continue
		}
		n.pendingProposals[first+uint64(i)] = pendingProposal{term: n.replica.Term(), proposal: p}
	}
}

// startRead begins a read; its answer follows once the leader is confirmed by a quorum.
func (n *node) startRead(rr *readRequest) {
	if len(n.pendingReads) >= maxReadWaiters {
		rr.answer <- readAnswer{err: result.New(result.QueueFull, "group: %d reads are pending, the limit", len(n.pendingReads))}

		return
	}

	n.lastReadID++
	if err := n.replica.ReadIndex(n.now(), n.lastReadID); err != nil {
		rr.answer <- readAnswer{err: result.New(result.NotLeader, "group: %v", err)}

		return
	}
	n.pendingReads[n.lastReadID] = rr
}

// processReady carries out what the consensus core requests, until nothing is left.
func (n *node) processReady() error {
	for {
		if n.readFailure != nil {
			return n.readFailure
		}
		rd := n.replica.Ready()
		if rd.Empty() {
			n.updateStatus()
			n.pauses.end(stepPublish)

			return nil
		}

		for _, m := range rd.Unsynced {
			n.send(m)
		}
		for _, dropped := range rd.DroppedTransfers {
			if n.onDroppedTransfer != nil {
				n.onDroppedTransfer(dropped)
			}
		}
		n.pauses.end(stepSend)
		if rd.MustSync() {
			if err := n.store.Save(&rd); err != nil {
				return n.suspend(err, unstored{ready: &rd})
			}
			n.pauses.end(stepStore)
		}
		if err := n.carryOut(rd); err != nil {
			return err
		}
		n.pauses.end(stepApply)
		if n.unstored != nil {
			return nil
		}
	}
}

// carryOut does what may follow only once rd is stored.
func (n *node) carryOut(rd consensus.Ready) error {
	for _, m := range rd.Messages {
		n.send(m)
	}
	n.replica.Advance(n.now(), rd)
	if err := n.apply(&rd); err != nil {
		return err
	}
	for _, rs := range rd.Reads {
		n.finishRead(rs)
	}

	return nil
}

func (n *node) finishRead(rs consensus.ReadState) {
	rr, ok := n.pendingReads[rs.Context]
	if !ok {
		return
	}

	delete(n.pendingReads, rs.Context)
	an := readAnswer{index: rs.Index}
	if !rs.OK {
		an.err = result.New(result.NotLeader, "group: this replica lost leadership before it could confirm the read")
	}
	rr.answer <- an
}

func (n *node) apply(rd *consensus.Ready) error {
	if rd.Snapshot != nil {
		n.storedSnapshot = *rd.Snapshot
		sr, err := n.store.OpenSnapshot(rd.Snapshot.Index)
		if err != nil {
			return err
		}
		ma, err := n.restoreSnapshot(sr)
		if err != nil {
			return err
		}
		n.mu.Lock()
		n.machine, n.lastSnapshotIndex = ma, rd.Snapshot.Index
		n.onApply()
		n.signalApplied()
		n.mu.Unlock()
	}
	if len(rd.Committed) == 0 {
		return nil
	}

	n.mu.Lock()
	for _, en := range rd.Committed {
		var rep []byte
		if en.Kind == consensus.EntryCommand {
			rep = n.machine.Apply(en.Index, en.Data)
		} else {
			n.machine.Skip(en.Index)
		}
		n.answerProposal(en, rep)
		if err := n.snapshotIfDue(en.Index); err != nil {
			n.mu.Unlock()

			return err
		}
	}
	// The view is updated before the lock is released and waiters are notified: a read
	// that waited for these entries is answered from the view.
	n.onApply()
	n.signalApplied()
	n.mu.Unlock()

	return nil
}

// signalApplied notifies those that wait for entries to be applied; n.mu is held.
func (n *node) signalApplied() {
	close(n.applied)
	n.applied = make(chan struct{})
}

func (n *node) answerProposal(en consensus.Entry, rep []byte) {
	w, ok := n.pendingProposals[en.Index]
	if !ok {
		return
	}

	delete(n.pendingProposals, en.Index)
	if w.term != en.Term {
		w.proposal.answer <- proposalAnswer{err: result.New(result.NotLeader, "group: this replica lost leadership, the command was not committed")}

		return
	}
	w.proposal.answer <- proposalAnswer{reply: rep}
}

// failPending answers all pending proposals and reads with err.
func (n *node) failPending(err error) {
	for i, w := range n.pendingProposals {
		w.proposal.answer <- proposalAnswer{err: err}
		delete(n.pendingProposals, i)
	}
	for i, rr := range n.pendingReads {
		rr.answer <- readAnswer{err: err}
		delete(n.pendingReads, i)
	}
}

// enqueue puts an event into the inbox.
func (n *node) enqueue(ctx context.Context, ev event) error {
	select {
	case n.inbox <- ev:
		return nil
	case <-ctx.Done():
		return result.New(result.GroupTimeout, "group: the inbox is full")
	}
}

// runOnLoop runs f on the loop and waits for it.
func (n *node) runOnLoop(ctx context.Context, f func(now time.Duration, re *consensus.Replica) error) error {
	done := make(chan error, 1)
	err := n.enqueue(ctx, event{call: func(now time.Duration, re *consensus.Replica) { done <- f(now, re) }})
	if err != nil {
		return err
	}

	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return result.New(result.GroupTimeout, "group: %v", ctx.Err())
	}
}

func (n *node) proposeLocal(ctx context.Context, command []byte) ([]byte, error) {
	p := &proposal{command: command, answer: make(chan proposalAnswer, 1)}
	if err := n.enqueue(ctx, event{proposal: p}); err != nil {
		return nil, err
	}

	select {
	case an := <-p.answer:
		return an.reply, an.err
	case <-ctx.Done():
		return nil, result.New(result.GroupTimeout, "group: the command was not committed in time").WithExecution(result.ExecutionUnknown)
	}
}

func (n *node) readLocal(ctx context.Context) (uint64, error) {
	rr := &readRequest{answer: make(chan readAnswer, 1)}
	if err := n.enqueue(ctx, event{read: rr}); err != nil {
		return 0, err
	}

	select {
	case an := <-rr.answer:
		return an.index, an.err
	case <-ctx.Done():
		return 0, result.New(result.GroupTimeout, "group: the read was not confirmed in time")
	}
}

// waitApplied waits until the entry at index is applied here.
func (n *node) waitApplied(ctx context.Context, index uint64) error {
	for {
		n.mu.RLock()
		at, changed := n.machine.Applied(), n.applied
		n.mu.RUnlock()
		if at >= index {
			return nil
		}

		select {
		case <-changed:
		case <-ctx.Done():
			return result.New(result.GroupTimeout, "group: entry %d was not applied in time", index)
		}
	}
}
