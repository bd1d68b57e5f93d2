package group

import (
	"context"
	"sync"
	"sync/atomic"
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

// node runs one replica: its loop passes events to the consensus core, stores and sends what
// the core returns, and passes committed entries to the applier.
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

	// A snapshot is encoded and written in the background.
	snapshots       snapshotSchedule
	snapshotResults chan snapshotResult
	written         *consensus.Snapshot     // not adopted yet
	isTransferDue   bool                    // a follower needs the stored snapshot
	transfer        *storage.SnapshotReader // opened for that
	sent            *chunkReader            // of the one that is being sent to followers
	chunkResults    chan chunkResult
	readFailure     error              // the stored snapshot is damaged
	storedSnapshot  consensus.Snapshot // metadata of the newest one
	background      sync.WaitGroup

	pauses        *pauseWatch
	log           log.Interface
	disk          *disk
	writer        *storeWriter
	writeLoggedAt time.Duration
	unstored      *storeTask          // set while the disk refuses writes
	heardLeader   consensus.ReplicaID // leader that sent a message since then

	inbox            chan event
	pendingProposals map[uint64]pendingProposal
	queuedReads      []*readRequest
	pendingReads     map[uint64][]*readRequest // by the ID of their round
	readWaiters      int                       // queued and pending reads
	lastReadID       uint64

	applier *applier
	status  atomic.Pointer[Status] // without what the applier publishes

	mu      sync.RWMutex // guards machine, which only the applier changes; the loop never waits for it
	machine *statemachine.Machine
}

func (n *node) now() time.Duration { return time.Since(n.start) }

// run is the loop of the replica. It returns when ctx ends or the data folder is unusable. While
// the disk refuses writes, the loop goes on without the replica.
func (n *node) run(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	defer n.failPending(errStopping())
	defer n.store.Close()
	n.writer.done.Go(func() { n.writer.run(n.store) })
	defer n.writer.stop()
	defer n.background.Wait()
	defer n.closeSnapshots()
	n.applier.done.Go(n.applyTasks)
	defer n.applier.stop(errStopping())

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
		case ta := <-n.writer.results:
			n.pauses.begin()
			if err := n.finishTask(ta); err != nil {
				return err
			}
		case re := <-n.chunkResults:
			n.pauses.begin()
			n.finishChunk(re)
		case err := <-n.applier.failed:
			return err
		case <-n.applier.room:
			n.pauses.begin()
		case <-ticker.C:
			n.pauses.begin()
		case <-ctx.Done():
			return nil
		}
		batch = n.collectBatch(batch)
		n.applier.feed()
		n.pauses.end(stepReceive)
		if n.unstored != nil {
			n.resume()
			n.updateStatus()
			n.pauses.finish()

			continue
		}
		n.propose(batch)
		n.startReads()
		n.replica.Tick(n.now())
		n.pauses.end(stepPropose)
		n.processReady()
		n.resignIfStuck()
		n.pauses.finish()
		if n.readFailure != nil {
			return n.readFailure
		}
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
		n.queueRead(ev.read)
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

// queueRead takes a read for the next round of heartbeats.
func (n *node) queueRead(rr *readRequest) {
	if n.readWaiters >= maxReadWaiters {
		rr.answer <- readAnswer{err: result.New(result.QueueFull, "group: %d reads are pending, the limit", n.readWaiters)}

		return
	}
	n.readWaiters++
	n.queuedReads = append(n.queuedReads, rr)
}

// startReads begins the queued reads with one round of heartbeats; their answer follows once a
// quorum has confirmed the leader.
func (n *node) startReads() {
	if len(n.queuedReads) == 0 {
		return
	}

	reads := n.queuedReads
	n.queuedReads = nil
	n.lastReadID++
	if err := n.replica.ReadIndex(n.now(), n.lastReadID); err != nil {
		n.answerReads(reads, readAnswer{err: result.New(result.NotLeader, "group: %v", err)})

		return
	}
	n.pendingReads[n.lastReadID] = reads
}

func (n *node) answerReads(reads []*readRequest, an readAnswer) {
	n.readWaiters -= len(reads)
	for _, rr := range reads {
		rr.answer <- an
	}
}

// processReady carries out what the consensus core requests, until nothing is left but what waits
// for the store.
func (n *node) processReady() {
	for {
		n.startSnapshotTask()
		rd := n.takeReady()
		if rd.Empty() {
			n.updateStatus()
			n.pauses.end(stepPublish)

			return
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
		n.queueCommitted(rd.Committed)
		for _, rs := range rd.Reads {
			n.finishRead(rs)
		}
		n.pauses.end(stepApply)
		switch {
		case n.writer.isBusy:
		case rd.MustSync():
			n.startTask(&storeTask{ready: &rd})
		default:
			n.carryOut(&rd, nil)
		}
		n.pauses.end(stepStore)
	}
}

// takeReady returns the pending work: while the store is busy, that which needs no write.
func (n *node) takeReady() consensus.Ready {
	if n.writer.isBusy {
		return n.replica.ReadyUnsynced()
	}

	return n.replica.Ready()
}

func (n *node) finishRead(rs consensus.ReadState) {
	reads := n.pendingReads[rs.Context]
	delete(n.pendingReads, rs.Context)
	an := readAnswer{index: rs.Index}
	if !rs.OK {
		an.err = result.New(result.NotLeader, "group: this replica lost leadership before it could confirm the read")
	}
	n.answerReads(reads, an)
}

// failPending answers all pending proposals and reads with err.
func (n *node) failPending(err error) {
	for i, w := range n.pendingProposals {
		w.proposal.answer <- proposalAnswer{err: err}
		delete(n.pendingProposals, i)
	}
	for i, reads := range n.pendingReads {
		n.answerReads(reads, readAnswer{err: err})
		delete(n.pendingReads, i)
	}
	n.answerReads(n.queuedReads, readAnswer{err: err})
	n.queuedReads = nil
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
		changed := n.applier.next()
		if n.applier.position.Load().index >= index {
			return nil
		}

		select {
		case <-changed:
		case <-ctx.Done():
			return result.New(result.GroupTimeout, "group: entry %d was not applied in time", index)
		}
	}
}
