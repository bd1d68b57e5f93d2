package consensus

import (
	"slices"
	"time"
)

// progress is the leader's replication state for one follower.
type progress struct {
	match       uint64 // highest index known to be replicated
	next        uint64 // index of the next entry to send
	lastContact time.Duration
	ackedRound  uint64
	commitSent  uint64 // highest commit index sent

	// probing is set when the follower rejects an append or stops replying. It then
	// receives only empty appends until its log matches at next-1. Otherwise every
	// append in flight would be rejected and each rejection would resend entries. Only
	// replies to appends of probeRound and later end it: others may have waited long.
	probing    bool
	probeRound uint64

	// unacked are the appends in flight, in the order of their entries, and unackedBytes their size.
	unacked      []sentEntries
	unackedBytes int

	outgoing     *outgoingSnapshot // nil unless the follower is receiving a snapshot
	snapshotSent time.Duration
}

// sentEntries are the entries of one append.
type sentEntries struct {
	last  uint64
	bytes int
}

// recordSent records entries that were sent, and moves next behind them.
func (pr *progress) recordSent(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	pr.next += uint64(len(entries))
	se := sentEntries{last: pr.next - 1, bytes: sizeOf(entries)}
	pr.unacked = append(pr.unacked, se)
	pr.unackedBytes += se.bytes
}

// acknowledge records that the follower has stored the entries up to match.
func (pr *progress) acknowledge(match uint64) {
	pr.match, pr.next = match, max(pr.next, match+1)
	n := 0
	for ; n < len(pr.unacked) && pr.unacked[n].last <= match; n++ {
		pr.unackedBytes -= pr.unacked[n].bytes
	}
	pr.unacked = slices.Delete(pr.unacked, 0, n)
}

// sendFrom sets the entry to send next. Those in flight no longer count.
func (pr *progress) sendFrom(next uint64) {
	pr.next, pr.unacked, pr.unackedBytes = next, nil, 0
}

func (r *Replica) becomeLeader(now time.Duration) {
	r.role, r.leader = RoleLeader, r.cfg.ID
	r.progress = map[ReplicaID]*progress{}
	r.round++
	r.syncProgress(now)
	r.appendToOwnLog([]Entry{{Kind: EntryNoop}})
	r.broadcast(now)
}

// syncProgress keeps one progress for each other member of the current membership.
func (r *Replica) syncProgress(now time.Duration) {
	m := r.log.membership()
	for _, id := range m.All() {
		if id != r.cfg.ID && r.progress[id] == nil {
			r.progress[id] = &progress{next: r.log.lastIndex() + 1, lastContact: now}
		}
	}
	for id := range r.progress {
		if !m.IsVoter(id) && !m.IsLearner(id) {
			delete(r.progress, id)
		}
	}
	r.releaseSource()
}

func (r *Replica) tickLeader(now time.Duration) {
	if !r.hasQuorumContactSince(now - 2*r.cfg.ElectionTimeout) {
		r.becomeFollower(now, r.hardState.Term, "")

		return
	}
	if r.transferTarget != "" && now > r.transferStart+r.cfg.ElectionTimeout {
		r.transferTarget = ""
	}
	if now >= r.heartbeatDue {
		r.round++
		r.broadcast(now)
	}
}

func (r *Replica) hasQuorumContactSince(since time.Duration) bool {
	m, n := r.log.membership(), 0
	for _, id := range m.Voters {
		if id == r.cfg.ID || (r.progress[id] != nil && r.progress[id].lastContact >= since) {
			n++
		}
	}

	return n >= m.Quorum()
}

// broadcast sends every other member its missing entries, or a heartbeat. Messages are
// sent in the order of replica IDs so that simulations with a fixed seed are repeatable.
func (r *Replica) broadcast(now time.Duration) {
	r.heartbeatDue = now + r.cfg.HeartbeatPeriod
	for _, id := range r.peers() {
		r.sendAppend(now, id, true)
	}
}

func (r *Replica) peers() []ReplicaID {
	ids := make([]ReplicaID, 0, len(r.progress))
	for id := range r.progress {
		ids = append(ids, id)
	}
	slices.Sort(ids)

	return ids
}

func (r *Replica) sendAppend(now time.Duration, id ReplicaID, heartbeat bool) {
	pr := r.progress[id]
	if pr.outgoing != nil {
		if heartbeat {
			r.continueTransfer(now, id, pr)
			r.sendEmptyAppend(id, r.log.snapIndex)
		}

		return
	}
	if pr.next <= r.log.snapIndex {
		if !r.startSnapshot(now, id, pr) && heartbeat {
			r.sendEmptyAppend(id, r.log.snapIndex)
		}

		return
	}
	if !pr.probing && now > pr.lastContact+r.cfg.ElectionTimeout {
		pr.probing, pr.probeRound = true, r.round+1 // appends of this round may be in flight
		pr.sendFrom(max(pr.match, r.log.snapIndex) + 1)
	}
	if pr.probing {
		if heartbeat {
			r.sendEmptyAppend(id, pr.next-1)
		}

		return
	}

	var entries []Entry
	if window := pr.match + r.cfg.MaxInFlight; pr.next <= window && pr.unackedBytes < r.cfg.MaxInFlightBytes {
		entries = r.log.slice(pr.next, r.cfg.MaxAppendBytes, window-pr.next+1)
	}
	if len(entries) == 0 && !heartbeat {
		return
	}

	prev, _ := r.log.term(pr.next - 1)
	r.sendUnsynced(Message{
		Kind: MessageAppend, To: id, Index: pr.next - 1, LogTerm: prev,
		Entries: entries, Commit: r.log.commit, Round: r.round,
	})
	pr.recordSent(entries)
	pr.commitSent = r.log.commit
}

// sendEmptyAppend sends an append without entries. It probes for a matching index, and serves as
// the heartbeat of a follower that is receiving a snapshot.
func (r *Replica) sendEmptyAppend(id ReplicaID, index uint64) {
	t, _ := r.log.term(index)
	r.sendUnsynced(Message{Kind: MessageAppend, To: id, Index: index, LogTerm: t, Round: r.round})
}

// sendUnsynced sends a message that holds whatever is stored later, but waits for the term and the
// vote to be stored.
func (r *Replica) sendUnsynced(m Message) {
	if r.hardState != r.storedHardState {
		r.send(m)

		return
	}
	m.From, m.Group, m.Term = r.cfg.ID, r.cfg.Group, r.hardState.Term
	r.unsyncedMessages = append(r.unsyncedMessages, m)
}

func (r *Replica) onAppendReply(now time.Duration, m Message) {
	pr := r.progress[m.From]
	if r.role != RoleLeader || pr == nil {
		return
	}

	pr.lastContact = now
	pr.ackedRound = max(pr.ackedRound, m.Round)
	r.confirmReads()
	if pr.outgoing != nil {
		return
	}
	if m.Reject {
		if m.Index < pr.match || (pr.probing && m.Index != pr.next-1) {
			return // reply to an older message
		}
		pr.sendFrom(max(pr.match+1, min(m.Hint+1, r.log.lastIndex()+1)))
		pr.probing = true
		// A follower that waits for a snapshot rejects the next heartbeat too.
		r.sendAppend(now, m.From, pr.next > r.log.snapIndex)

		return
	}
	if pr.probing && m.Round >= pr.probeRound && m.Index+1 >= pr.next {
		pr.probing = false
	}

	if m.Index > pr.match && m.Index <= r.log.lastIndex() {
		pr.acknowledge(m.Index)
		r.advanceCommit(now)
	}
	if r.role != RoleLeader {
		return // the committed membership change removed this replica
	}
	// A follower that acknowledges after the quorum receives the commit index now
	// instead of with the next heartbeat.
	r.sendAppend(now, m.From, pr.match == r.log.lastIndex() && pr.commitSent < r.log.commit)
	r.sendTimeoutNowIfCurrent(m.From, pr)
}

func (r *Replica) sendTimeoutNowIfCurrent(id ReplicaID, pr *progress) {
	if r.transferTarget == id && pr.match == r.log.lastIndex() {
		r.send(Message{Kind: MessageTimeoutNow, To: id})
	}
}

// advanceCommit commits entries of the current term that a quorum of voters has stored,
// and thereby all entries before them.
func (r *Replica) advanceCommit(now time.Duration) {
	m := r.log.membership()
	stored := make([]uint64, 0, len(m.Voters))
	for _, id := range m.Voters {
		switch {
		case id == r.cfg.ID:
			stored = append(stored, r.log.persisted)
		case r.progress[id] != nil:
			stored = append(stored, r.progress[id].match)
		default:
			stored = append(stored, 0)
		}
	}
	slices.Sort(stored)

	index := stored[len(stored)-m.Quorum()]
	if t, ok := r.log.term(index); !ok || t != r.hardState.Term || index <= r.log.commit {
		return
	}
	r.log.commit = index
	r.confirmReads()
	if !m.IsVoter(r.cfg.ID) && r.log.membershipIndex() <= index {
		r.becomeFollower(now, r.hardState.Term, "")

		return
	}
	for _, id := range r.peers() {
		if pr := r.progress[id]; pr.outgoing == nil && pr.match == r.log.lastIndex() && pr.commitSent < index {
			r.sendAppend(now, id, true)
		}
	}
}

func (r *Replica) appendToOwnLog(entries []Entry) {
	for i := range entries {
		entries[i].Index = r.log.lastIndex() + 1 + uint64(i)
		entries[i].Term = r.hardState.Term
	}
	r.log.append(entries)
}

// Propose appends commands to the log and returns the index of the first.
func (r *Replica) Propose(now time.Duration, commands [][]byte) (uint64, error) {
	if r.role != RoleLeader {
		return 0, ErrNotLeader
	}
	if r.transferTarget != "" {
		return 0, ErrTransferRunning
	}

	entries := make([]Entry, len(commands))
	for i, c := range commands {
		entries[i] = Entry{Kind: EntryCommand, Data: c}
	}
	r.appendToOwnLog(entries)
	for _, id := range r.peers() {
		r.sendAppend(now, id, false)
	}

	return entries[0].Index, nil
}

// ProposeMembership appends a membership whose voters differ from the current ones by at
// most one replica, and returns its index.
func (r *Replica) ProposeMembership(now time.Duration, next Membership) (uint64, error) {
	switch {
	case r.role != RoleLeader:
		return 0, ErrNotLeader
	case r.log.membershipIndex() > r.log.commit || !r.committedInTerm():
		return 0, ErrChangeInFlight
	case len(next.Voters) == 0:
		return 0, ErrLastVoter
	case !r.differsByOneVoter(r.log.membership(), next):
		return 0, ErrNotOneVoterChange
	}
	for _, id := range next.Voters {
		if !r.log.membership().IsVoter(id) && !r.CaughtUp(id) {
			return 0, ErrNotCaughtUp
		}
	}

	r.appendToOwnLog([]Entry{{Kind: EntryMembership, Data: encodeMembership(next)}})
	r.syncProgress(now)
	r.broadcast(now)

	return r.log.lastIndex(), nil
}

// differsByOneVoter reports whether the sets of voters differ by at most one replica.
func (r *Replica) differsByOneVoter(old, next Membership) bool {
	n := 0
	for _, id := range next.Voters {
		if !old.IsVoter(id) {
			n++
		}
	}
	for _, id := range old.Voters {
		if !next.IsVoter(id) {
			n++
		}
	}

	return n <= 1
}

func (r *Replica) committedInTerm() bool {
	t, ok := r.log.term(r.log.commit)

	return ok && t == r.hardState.Term
}

// CaughtUp reports whether the follower id lags by at most maxPromotionLag entries.
func (r *Replica) CaughtUp(id ReplicaID) bool {
	pr := r.progress[id]

	return pr != nil && pr.match > 0 && pr.match+maxPromotionLag >= r.log.lastIndex()
}

// LastContact returns when the leader last received a reply from the follower id. Before the
// first reply it returns when the leader started to track id. It returns false if id is not
// tracked.
func (r *Replica) LastContact(id ReplicaID) (time.Duration, bool) {
	pr := r.progress[id]
	if pr == nil {
		return 0, false
	}

	return pr.lastContact, true
}

// TransferLeadership starts a transfer to the active voter with the most complete log. It
// returns false if this replica is not the leader or no other voter is active.
func (r *Replica) TransferLeadership(now time.Duration) bool {
	if r.role != RoleLeader {
		return false
	}

	best := r.mostCompleteVoter(now)
	if best == "" {
		return false
	}

	r.transferTarget, r.transferStart = best, now
	r.sendTimeoutNowIfCurrent(best, r.progress[best])

	return true
}

// mostCompleteVoter returns the other active voter with the most complete log, "" for none.
func (r *Replica) mostCompleteVoter(now time.Duration) ReplicaID {
	best := ReplicaID("")
	for _, id := range r.log.membership().Voters {
		pr := r.progress[id]
		if pr == nil || now > pr.lastContact+r.cfg.ElectionTimeout {
			continue
		}
		if best == "" || pr.match > r.progress[best].match {
			best = id
		}
	}

	return best
}

// Resign gives up leadership at once, because this replica can't store entries for now. It
// returns the message that makes the active voter with the most complete log campaign, if
// there is one: messages in Ready wait until entries are stored.
func (r *Replica) Resign(now time.Duration) []Message {
	if r.role != RoleLeader {
		return nil
	}

	var out []Message
	if best := r.mostCompleteVoter(now); best != "" {
		out = []Message{{Kind: MessageTimeoutNow, From: r.cfg.ID, To: best, Group: r.cfg.Group, Term: r.hardState.Term}}
	}
	r.becomeFollower(now, r.hardState.Term, "")

	return out
}

// ReadIndex starts a linearizable read. A later Ready contains the ReadState for context.
func (r *Replica) ReadIndex(now time.Duration, context uint64) error {
	if r.role != RoleLeader {
		return ErrNotLeader
	}

	r.round++
	index := uint64(0) // 0 until an entry of this term is committed; confirmReads then sets it
	if r.committedInTerm() {
		index = r.log.commit
	}
	r.pendingReads = append(r.pendingReads, pendingRead{context: context, index: index, round: r.round})
	r.broadcast(now)
	r.confirmReads()

	return nil
}

func (r *Replica) confirmReads() {
	if r.role != RoleLeader || len(r.pendingReads) == 0 || !r.committedInTerm() {
		return
	}

	m := r.log.membership()
	rounds := make([]uint64, 0, len(m.Voters))
	for _, id := range m.Voters {
		switch {
		case id == r.cfg.ID:
			rounds = append(rounds, r.round)
		case r.progress[id] != nil:
			rounds = append(rounds, r.progress[id].ackedRound)
		default:
			rounds = append(rounds, 0)
		}
	}
	slices.Sort(rounds)
	acked := rounds[len(rounds)-m.Quorum()]

	n := 0
	for ; n < len(r.pendingReads) && r.pendingReads[n].round <= acked; n++ {
		index := r.pendingReads[n].index
		if index == 0 {
			index = r.log.commit
		}
		r.readStates = append(r.readStates, ReadState{Context: r.pendingReads[n].context, Index: index, OK: true})
	}
	r.pendingReads = r.pendingReads[n:]
}

func (r *Replica) failPendingReads() {
	for _, rd := range r.pendingReads {
		r.readStates = append(r.readStates, ReadState{Context: rd.context})
	}
	r.pendingReads = nil
}
