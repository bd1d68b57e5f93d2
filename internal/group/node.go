package group

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/machine"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/storage"
)

const (
	inboxSize      = 4096
	batchLimit     = 1024
	tickPeriod     = 20 * time.Millisecond
	snapshotEvery  = 20_000 // entries
	trailEntries   = 5_000  // kept behind a snapshot for slow followers
	maxReadWaiters = 65_536

	// snapshotBytes of commands are applied between two snapshots at most, a tenth
	// of the smallest disk.
	snapshotBytes = 12 << 20
	// trailBytes bounds the commands kept behind a snapshot in memory.
	trailBytes = 4 << 20
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

type waiter struct {
	term uint64
	prop *proposal
}

// node runs one replica: it feeds the core, stores, sends and applies.
type node struct {
	replica *consensus.Replica
	store   *storage.Store
	start   time.Time
	wallMs  func() int64
	send    func(m consensus.Message)
	onApply func()
	// onStatus is told of each new status, with the one before it.
	onStatus  func(old, st Status)
	sinceSnap int // bytes of commands applied since the last snapshot was begun

	// A snapshot is encoded and written beside the loop, at most one at a time.
	isSaving   bool
	saved      chan savedSnapshot
	background sync.WaitGroup

	inbox   chan event
	waiters map[uint64]waiter
	reads   map[uint64]*readRequest
	readSeq uint64

	mu       sync.RWMutex // guards machine and status
	machine  *machine.Machine
	status   Status
	applied  chan struct{} // closed and replaced after each batch applied
	lastSnap uint64
}

// savedSnapshot is a snapshot, without its data, that was written or could not be.
type savedSnapshot struct {
	snapshot consensus.Snapshot
	err      error
}

// Status describes a replica for operators.
type Status struct {
	Replica    consensus.ReplicaID  `json:"replica"`
	Role       string               `json:"role"`
	Leader     consensus.ReplicaID  `json:"leader"`
	Term       uint64               `json:"term"`
	Commit     uint64               `json:"commit"`
	Applied    uint64               `json:"applied"`
	Membership consensus.Membership `json:"membership"`
	// IsSettled reports whether this replica leads and has applied everything that
	// former leaders committed.
	IsSettled bool `json:"isSettled"`
}

type nodeConfig struct {
	id        consensus.ReplicaID
	group     consensus.GroupID
	bootstrap consensus.Membership
	files     storage.Files
	dir       string
	election  time.Duration
	heartbeat time.Duration
	wallMs    func() int64
	send      func(m consensus.Message)
	onApply   func()
	onStatus  func(old, st Status)
}

func openNode(cfg nodeConfig) (*node, error) {
	st, re, err := storage.Open(cfg.files, cfg.dir, cfg.group)
	if err != nil {
		return nil, err
	}

	ma := machine.New()
	if re.Snapshot.Index > 0 {
		if ma, err = machine.Restore(re.Snapshot.Data); err != nil {
			return nil, err
		}
	} else {
		re.Snapshot.Membership = cfg.bootstrap
	}
	n := &node{
		store: st, start: time.Now(), wallMs: cfg.wallMs, send: cfg.send, onApply: cfg.onApply, onStatus: cfg.onStatus,
		inbox: make(chan event, inboxSize), waiters: map[uint64]waiter{}, reads: map[uint64]*readRequest{},
		machine: ma, applied: make(chan struct{}), lastSnap: re.Snapshot.Index, saved: make(chan savedSnapshot, 1),
	}
	n.replica = consensus.New(consensus.Config{
		ID: cfg.id, Group: cfg.group, ElectionTimeout: cfg.election, HeartbeatPeriod: cfg.heartbeat,
		Random: rand.Int64N, LatestSnapshot: st.LatestSnapshot,
		HardState: re.HardState, Snapshot: re.Snapshot, Entries: re.Entries,
	}, n.now())
	n.updateStatus()

	return n, nil
}

func (n *node) now() time.Duration { return time.Since(n.start) }

// run is the loop of the replica. It returns when ctx ends or the disk fails.
func (n *node) run(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	defer n.failAll(result.New(result.ShuttingDown, "group: the replica stops").With(result.Unknown))
	defer n.store.Close()
	defer n.background.Wait()

	for {
		var batch []*proposal
		select {
		case ev := <-n.inbox:
			batch = n.take(ev, batch)
		case sv := <-n.saved:
			if err := n.adopt(sv); err != nil {
				return err
			}
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		batch = n.gather(batch)
		n.propose(batch)
		n.replica.Tick(n.now())
		if err := n.flush(); err != nil {
			return err
		}
	}
}

// gather takes what else waits in the inbox, so that many entries share one sync.
func (n *node) gather(batch []*proposal) []*proposal {
	for range batchLimit {
		select {
		case ev := <-n.inbox:
			batch = n.take(ev, batch)
		default:
			return batch
		}
	}

	return batch
}

func (n *node) take(ev event, batch []*proposal) []*proposal {
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
		machine.Stamp(p.command, at)
		commands[i] = p.command
	}
	first, err := n.replica.Propose(n.now(), commands)
	for i, p := range batch {
		if err != nil {
			p.answer <- proposalAnswer{err: result.New(result.NotLeader, "group: %v", err)}

			continue
		}
		n.waiters[first+uint64(i)] = waiter{term: n.replica.Term(), prop: p}
	}
}

func (n *node) startRead(rr *readRequest) {
	if len(n.reads) >= maxReadWaiters {
		rr.answer <- readAnswer{err: result.New(result.QueueFull, "group: %d reads wait", len(n.reads))}

		return
	}

	n.readSeq++
	if err := n.replica.ReadIndex(n.now(), n.readSeq); err != nil {
		rr.answer <- readAnswer{err: result.New(result.NotLeader, "group: %v", err)}

		return
	}
	n.reads[n.readSeq] = rr
}

// flush carries out what the core wants until it wants nothing.
func (n *node) flush() error {
	for {
		rd := n.replica.Ready()
		if rd.Empty() {
			n.updateStatus()

			return nil
		}

		for _, m := range rd.Early {
			n.send(m)
		}
		if rd.MustSync() {
			if err := n.store.Save(&rd); err != nil {
				return err
			}
		}
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
	}
}

func (n *node) finishRead(rs consensus.ReadState) {
	rr, ok := n.reads[rs.Context]
	if !ok {
		return
	}

	delete(n.reads, rs.Context)
	an := readAnswer{index: rs.Index}
	if !rs.OK {
		an.err = result.New(result.NotLeader, "group: leadership was lost")
	}
	rr.answer <- an
}

func (n *node) apply(rd *consensus.Ready) error {
	if rd.Snapshot != nil {
		ma, err := machine.Restore(rd.Snapshot.Data)
		if err != nil {
			return err
		}
		n.mu.Lock()
		n.machine, n.lastSnap = ma, rd.Snapshot.Index
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
			n.sinceSnap += len(en.Data)
		} else {
			n.machine.Skip(en.Index)
		}
		n.answer(en, rep)
	}
	// The view must be there before anybody can see that the entries are applied:
	// a read that waited for them is answered from the view.
	n.onApply()
	n.signalApplied()
	last := rd.Committed[len(rd.Committed)-1].Index
	n.mu.Unlock()

	if !n.isSaving && (last >= n.lastSnap+snapshotEvery || n.sinceSnap > snapshotBytes) {
		return n.snapshot(last)
	}

	return nil
}

// signalApplied wakes those that wait for entries; n.mu is held.
func (n *node) signalApplied() {
	close(n.applied)
	n.applied = make(chan struct{})
}

func (n *node) answer(en consensus.Entry, rep []byte) {
	w, ok := n.waiters[en.Index]
	if !ok {
		return
	}

	delete(n.waiters, en.Index)
	if w.term != en.Term {
		w.prop.answer <- proposalAnswer{err: result.New(result.NotLeader, "group: leadership was lost")}

		return
	}
	w.prop.answer <- proposalAnswer{reply: rep}
}

// snapshot begins to store the state after index. Entries are applied meanwhile: the
// encoding of a large state takes longer than followers wait for their leader.
func (n *node) snapshot(index uint64) error {
	encode, err := n.machine.Freeze()
	if err != nil {
		return err
	}

	term, _ := n.replica.TermAt(index)
	sn := consensus.Snapshot{Index: index, Term: term, Membership: n.replica.MembershipAt(index)}
	n.isSaving, n.sinceSnap = true, 0
	n.background.Go(func() {
		data, err := encode()
		if err == nil {
			whole := sn
			whole.Data = data
			err = n.store.WriteSnapshot(whole)
		}
		n.saved <- savedSnapshot{snapshot: sn, err: err}
	})

	return nil
}

// adopt takes a written snapshot over and drops the log that it covers.
func (n *node) adopt(sv savedSnapshot) error {
	n.isSaving = false
	sn := sv.snapshot
	switch {
	case sv.err != nil:
		return sv.err
	case sn.Index <= n.lastSnap:
		return n.store.DropSnapshot(sn.Index) // the leader has sent a newer one
	}
	if err := n.store.AdoptSnapshot(sn, false); err != nil {
		return err
	}
	n.lastSnap = sn.Index
	keep := max(n.replica.TailFrom(trailBytes), 1) - 1
	if sn.Index > trailEntries {
		keep = max(keep, sn.Index-trailEntries)
	}
	n.replica.Compact(min(keep, sn.Index))

	return nil
}

// updateStatus publishes the state of the replica and answers proposals that it
// cannot answer any more.
func (n *node) updateStatus() {
	re := n.replica
	st := Status{
		Replica: re.ID(), Role: re.Role().String(), Leader: re.Leader(), Term: re.Term(),
		Commit: re.Commit(), Membership: re.Membership(),
	}
	n.mu.Lock()
	st.Applied = n.machine.Applied()
	if t, ok := re.TermAt(st.Applied); ok && re.Role() == consensus.RoleLeader {
		st.IsSettled = t == re.Term()
	}
	old := n.status
	n.status = st
	n.mu.Unlock()
	if n.onStatus != nil {
		n.onStatus(old, st)
	}

	if re.Role() != consensus.RoleLeader && len(n.waiters) > 0 {
		n.failAll(result.New(result.NotLeader, "group: leadership was lost").With(result.Unknown))
	}
}

func (n *node) failAll(err error) {
	for i, w := range n.waiters {
		w.prop.answer <- proposalAnswer{err: err}
		delete(n.waiters, i)
	}
	for i, rr := range n.reads {
		rr.answer <- readAnswer{err: err}
		delete(n.reads, i)
	}
}

// post puts an event into the inbox.
func (n *node) post(ctx context.Context, ev event) error {
	select {
	case n.inbox <- ev:
		return nil
	case <-ctx.Done():
		return result.New(result.GroupTimeout, "group: the inbox is full")
	}
}

// do runs f on the loop and waits for it.
func (n *node) do(ctx context.Context, f func(now time.Duration, re *consensus.Replica) error) error {
	done := make(chan error, 1)
	err := n.post(ctx, event{call: func(now time.Duration, re *consensus.Replica) { done <- f(now, re) }})
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
	if err := n.post(ctx, event{proposal: p}); err != nil {
		return nil, err
	}

	select {
	case an := <-p.answer:
		return an.reply, an.err
	case <-ctx.Done():
		return nil, result.New(result.GroupTimeout, "group: the command was not committed in time").With(result.Unknown)
	}
}

func (n *node) readLocal(ctx context.Context) (uint64, error) {
	rr := &readRequest{answer: make(chan readAnswer, 1)}
	if err := n.post(ctx, event{read: rr}); err != nil {
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
			return result.New(result.GroupTimeout, "group: position %d is not applied yet", index)
		}
	}
}

func (n *node) getStatus() Status {
	n.mu.RLock()
	defer n.mu.RUnlock()

	return n.status
}
