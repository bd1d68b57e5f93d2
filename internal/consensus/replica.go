package consensus

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Errors of proposals and membership changes.
var (
	ErrNotLeader         = errors.New("consensus: this replica is not the leader")
	ErrChangeInFlight    = errors.New("consensus: a membership change is in flight, or no entry of this term is committed yet")
	ErrNotCaughtUp       = errors.New("consensus: the learner has not caught up")
	ErrLastVoter         = errors.New("consensus: cannot remove the last voter")
	ErrNotOneVoterChange = errors.New("consensus: the voter sets differ by more than one replica")
	ErrTransferRunning   = errors.New("consensus: a leadership transfer is in progress")
)

// maxPromotionLag is how many entries a learner may lag behind when it becomes a voter.
const maxPromotionLag = 64

// Replica is one member of a group. It is not safe for concurrent use.
type Replica struct {
	cfg              Config
	hardState        HardState
	emittedHardState HardState // the one that Ready returned last
	storedHardState  HardState // the one that Advance confirmed last
	role             Role
	leader           ReplicaID
	log              raftLog

	electionDue       time.Duration
	heartbeatDue      time.Duration
	lastLeaderContact time.Duration
	hasLeaderContact  bool
	contactReplyDue   time.Duration
	preVoting         bool
	forcedElection    bool
	votes             map[ReplicaID]bool

	progress       map[ReplicaID]*progress
	round          uint64 // number of the latest heartbeat round as leader
	pendingReads   []pendingRead
	transferTarget ReplicaID
	transferStart  time.Duration

	incoming         *incomingSnapshot // being received in chunks
	chunks           []SnapshotChunk   // for Ready.Chunks
	source           *SnapshotSource   // being sent as leader, nil if there is no transfer
	pendingInstall   *Snapshot         // received completely; the next Ready returns it
	unstoredInstall  uint64            // index of the received snapshot that Advance has not confirmed, 0 if there is none
	droppedTransfers []DroppedTransfer // for Ready.DroppedTransfers
	lastTransfer     uint64            // number of the latest transfer of a snapshot as leader

	unsyncedMessages []Message // for Ready.Unsynced
	messages         []Message // for Ready.Messages
	readStates       []ReadState
}

type pendingRead struct {
	context uint64
	index   uint64 // commit index when the read started, 0 if set on confirmation
	round   uint64 // heartbeat round that a quorum must acknowledge
}

// New returns a follower with the recovered state of cfg.
func New(cfg Config, now time.Duration) *Replica {
	cfg.Defaults()
	r := &Replica{cfg: cfg, hardState: cfg.HardState, emittedHardState: cfg.HardState, storedHardState: cfg.HardState}
	r.log = newRaftLog(cfg.Snapshot, cfg.Entries)
	r.cfg.Snapshot, r.cfg.Entries = Snapshot{}, nil // free the memory
	// The first election timeout is shorter, so that a restarted group soon elects a
	// leader. This is safe because a pre-vote does not disrupt a live leader.
	r.electionDue = now + cfg.ElectionTimeout/4 + time.Duration(cfg.Random(int64(cfg.ElectionTimeout/2)))

	return r
}

// ID returns the replica's identity.
func (r *Replica) ID() ReplicaID { return r.cfg.ID }

// Role returns the current role.
func (r *Replica) Role() Role { return r.role }

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.hardState.Term }

// Leader returns the leader of the current term, or "" if it is unknown.
func (r *Replica) Leader() ReplicaID { return r.leader }

// Membership returns the membership of the newest entry in this replica's log, committed or not.
func (r *Replica) Membership() Membership { return r.log.membership() }

// Commit returns the highest index known to be committed.
func (r *Replica) Commit() uint64 { return r.log.commit }

// MembershipAt returns the membership that applies at index.
func (r *Replica) MembershipAt(index uint64) Membership {
	m := r.log.memberships[0].membership
	for _, at := range r.log.memberships {
		if at.index <= index {
			m = at.membership
		}
	}

	return m
}

// TermAt returns the term of the entry at index, and false if the log does not hold it.
func (r *Replica) TermAt(index uint64) (uint64, bool) { return r.log.term(index) }

// Compact removes applied entries up to index. The stored snapshot must cover them. What follows a
// snapshot that is being sent stays, up to maxTransferLogBytes: without it the follower would need the
// next snapshot as well.
func (r *Replica) Compact(index uint64) {
	index = min(index, r.log.applied)
	if r.source != nil && r.source.Snapshot.Index+1 >= r.log.tailStart(maxTransferLogBytes) {
		index = min(index, r.source.Snapshot.Index)
	}
	r.log.compact(index)
}

// TailFrom returns the index from which the newest entries hold at most maxBytes of data.
func (r *Replica) TailFrom(maxBytes int) uint64 { return r.log.tailStart(maxBytes) }

// Tick starts elections, heartbeats and timeouts that are due at now.
func (r *Replica) Tick(now time.Duration) {
	if r.role == RoleLeader {
		r.tickLeader(now)

		return
	}

	if now >= r.electionDue {
		r.resetElectionTimer(now)
		r.campaign(now, false)
	}
}

// Step handles a received message.
func (r *Replica) Step(now time.Duration, m Message) {
	if m.To != r.cfg.ID || m.Group != r.cfg.Group {
		return
	}

	if m.Term > r.hardState.Term && !r.followHigherTerm(now, m) {
		return
	}
	if m.Term < r.hardState.Term {
		r.rejectLowerTerm(m)

		return
	}

	switch m.Kind {
	case MessagePreVote:
		r.onPreVote(now, m)
	case MessageVote:
		r.onVote(now, m)
	case MessagePreVoteReply, MessageVoteReply:
		r.onVoteReply(now, m)
	case MessageAppend:
		r.onAppend(now, m)
	case MessageAppendReply:
		r.onAppendReply(now, m)
	case MessageSnapshot:
		r.onSnapshot(now, m)
	case MessageSnapshotReply:
		r.onSnapshotReply(now, m)
	case MessageTimeoutNow:
		if r.isVoter() {
			r.campaign(now, true)
		}
	}
}

// followHigherTerm adopts the higher term of m, except for pre-votes and granted pre-vote
// replies, and reports whether m must be handled. A vote request is ignored while the leader
// is alive, unless a leadership transfer caused it.
func (r *Replica) followHigherTerm(now time.Duration, m Message) bool {
	switch m.Kind {
	case MessagePreVote:
		return true
	case MessagePreVoteReply:
		if !m.Reject {
			return true
		}
	case MessageVote:
		if !m.Force && r.leaderIsAlive(now) {
			return false
		}
	}

	leader := ReplicaID("")
	if m.Kind == MessageAppend || m.Kind == MessageSnapshot {
		leader = m.From
	}
	r.becomeFollower(now, m.Term, leader)

	return true
}

func (r *Replica) rejectLowerTerm(m Message) {
	switch m.Kind {
	case MessageAppend, MessageSnapshot:
		r.send(Message{Kind: MessageAppendReply, To: m.From, Reject: true, Round: m.Round, Hint: r.log.lastIndex()})
	case MessagePreVote:
		r.send(Message{Kind: MessagePreVoteReply, To: m.From, Reject: true})
	}
}

// Ready returns the pending work. The driver calls Advance once it is stored, and Ready only then
// again.
func (r *Replica) Ready() Ready {
	rd := r.ReadyUnsynced()
	rd.Messages, rd.Snapshot, rd.Chunks, rd.DroppedTransfers = r.messages, r.pendingInstall, r.chunks, r.droppedTransfers
	r.messages, r.pendingInstall, r.chunks, r.droppedTransfers = nil, nil, nil, nil

	if r.hardState != r.emittedHardState {
		hs := r.hardState
		rd.HardState, r.emittedHardState = &hs, hs
	}
	if r.log.emitted < r.log.lastIndex() {
		tail := r.log.entries[r.log.emitted-r.log.snapIndex:]
		rd.Entries = tail[:len(tail):len(tail)]
		r.log.emitted = r.log.lastIndex()
	}

	return rd
}

// ReadyUnsynced returns the pending work that needs no write. The driver may call it while it
// stores what Ready returned.
func (r *Replica) ReadyUnsynced() Ready {
	rd := Ready{Unsynced: r.unsyncedMessages, Reads: r.readStates}
	r.unsyncedMessages, r.readStates = nil, nil
	if end := min(r.log.commit, r.log.persisted); end > r.log.applied {
		rd.Committed = append([]Entry(nil), r.log.entries[r.log.applied-r.log.snapIndex:end-r.log.snapIndex]...)
		r.log.applied = end
	}

	return rd
}

// Advance records that everything in rd is stored. What has replaced parts of it meanwhile is not.
func (r *Replica) Advance(now time.Duration, rd Ready) {
	if rd.HardState != nil {
		r.storedHardState = *rd.HardState
	}
	if rd.Snapshot != nil && rd.Snapshot.Index == r.unstoredInstall {
		r.unstoredInstall = 0
	}
	r.log.recordStored(rd.Entries)
	if r.role == RoleLeader {
		r.advanceCommit(now)
	}
}

func (r *Replica) isVoter() bool { return r.log.membership().IsVoter(r.cfg.ID) }

func (r *Replica) resetElectionTimer(now time.Duration) {
	t := int64(r.cfg.ElectionTimeout)
	r.electionDue = now + r.cfg.ElectionTimeout + time.Duration(r.cfg.Random(t))
}

func (r *Replica) leaderIsAlive(now time.Duration) bool {
	return r.hasLeaderContact && r.leader != "" && now < r.lastLeaderContact+r.cfg.ElectionTimeout
}

func (r *Replica) becomeFollower(now time.Duration, term uint64, leader ReplicaID) {
	if term > r.hardState.Term {
		r.hardState = HardState{Term: term}
	}
	if r.role == RoleLeader {
		r.failPendingReads()
	}

	r.role, r.leader, r.preVoting = RoleFollower, leader, false
	r.progress, r.transferTarget = nil, ""
	r.releaseSource()
	r.resetElectionTimer(now)
}

func (r *Replica) send(m Message) {
	m.From, m.Group = r.cfg.ID, r.cfg.Group
	if m.Term == 0 {
		m.Term = r.hardState.Term
	}
	r.messages = append(r.messages, m)
}

func encodeMembership(m Membership) []byte {
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // two slices of strings always encode
	}

	return b
}
