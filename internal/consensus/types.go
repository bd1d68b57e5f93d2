// Package consensus holds the replication protocol of a group: terms, pre-vote,
// log replication, read index, snapshots in chunks, learners and membership
// changes one at a time. The Replica is a plain struct that takes messages and
// the time as arguments and hands out what must be stored and sent.
package consensus

import (
	"slices"
	"time"
)

// ReplicaID names one replica for as long as its data folder lives.
type ReplicaID string

// GroupID names a replication group.
type GroupID uint32

// EntryKind tells what the data of an Entry means.
type EntryKind uint8

// Kinds of log entries.
const (
	EntryCommand EntryKind = iota
	EntryMembership
	EntryNoop
)

// Entry is one position of the replicated log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// HardState is what a replica must not forget between two messages it sends.
type HardState struct {
	Term uint64    `cbor:"1,keyasint"`
	Vote ReplicaID `cbor:"2,keyasint"`
}

// Membership lists the replicas of a group. Learners receive the log and never vote.
type Membership struct {
	Voters   []ReplicaID `cbor:"1,keyasint"`
	Learners []ReplicaID `cbor:"2,keyasint"`
}

// IsVoter reports whether id votes.
func (m Membership) IsVoter(id ReplicaID) bool { return slices.Contains(m.Voters, id) }

// IsLearner reports whether id receives the log without voting.
func (m Membership) IsLearner(id ReplicaID) bool { return slices.Contains(m.Learners, id) }

// Quorum returns the number of voters that form a majority.
func (m Membership) Quorum() int { return len(m.Voters)/2 + 1 }

// All returns voters and learners.
func (m Membership) All() []ReplicaID {
	return append(slices.Clone(m.Voters), m.Learners...)
}

// WithLearner returns a copy in which id is a learner.
func (m Membership) WithLearner(id ReplicaID) Membership {
	n := m.Without(id)
	n.Learners = append(n.Learners, id)
	slices.Sort(n.Learners)

	return n
}

// WithVoter returns a copy in which id votes.
func (m Membership) WithVoter(id ReplicaID) Membership {
	n := m.Without(id)
	n.Voters = append(n.Voters, id)
	slices.Sort(n.Voters)

	return n
}

// Equal reports whether two memberships name the same replicas.
func (m Membership) Equal(o Membership) bool {
	return slices.Equal(m.Voters, o.Voters) && slices.Equal(m.Learners, o.Learners)
}

// Without returns a copy that lacks id.
func (m Membership) Without(id ReplicaID) Membership {
	isID := func(o ReplicaID) bool { return o == id }

	return Membership{
		Voters:   slices.DeleteFunc(slices.Clone(m.Voters), isID),
		Learners: slices.DeleteFunc(slices.Clone(m.Learners), isID),
	}
}

// Snapshot is the state of the group's state machine after Index.
type Snapshot struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	Data       []byte     `cbor:"4,keyasint"`
}

// MessageKind tells the purpose of a Message.
type MessageKind uint8

// Kinds of messages between replicas.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageSnapshot
	MessageSnapshotReply
	MessageTimeoutNow
)

// Message is sent between two replicas of one group. It may be lost, repeated,
// delayed and reordered.
type Message struct {
	Kind    MessageKind
	Group   GroupID
	From    ReplicaID
	To      ReplicaID
	Term    uint64
	Index   uint64 // log position before Entries, or the last one of a candidate
	LogTerm uint64 // term at Index
	Commit  uint64
	Round   uint64 // heartbeat round, echoed by replies
	Reject  bool
	Force   bool   // the vote follows a leadership transfer
	Hint    uint64 // highest position that a rejecting follower may share
	Entries []Entry

	SnapshotOffset uint64
	SnapshotDone   bool
	Membership     Membership
	Chunk          []byte
}

// Role is the part a replica plays in its term.
type Role uint8

// Roles of a replica.
const (
	RoleFollower Role = iota
	RoleCandidate
	RoleLeader
)

// String returns the role's name.
func (ro Role) String() string {
	return [...]string{"follower", "candidate", "leader"}[ro]
}

// ReadState says that reads under Context may be served once Index is applied.
type ReadState struct {
	Context uint64
	Index   uint64
	OK      bool
}

// Ready is what the driver must do next: send Early, store HardState, Snapshot
// and Entries with one sync, send Messages, call Advance, then apply Committed.
type Ready struct {
	Early     []Message
	HardState *HardState
	Snapshot  *Snapshot
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	Reads     []ReadState
}

// Empty reports whether there is nothing to do.
func (rd *Ready) Empty() bool {
	return len(rd.Early) == 0 && rd.HardState == nil && rd.Snapshot == nil && len(rd.Entries) == 0 &&
		len(rd.Messages) == 0 && len(rd.Committed) == 0 && len(rd.Reads) == 0
}

// MustSync reports whether something must be stored before Messages are sent.
func (rd *Ready) MustSync() bool {
	return rd.HardState != nil || rd.Snapshot != nil || len(rd.Entries) > 0
}

// Config builds a Replica.
type Config struct {
	ID              ReplicaID
	Group           GroupID
	ElectionTimeout time.Duration
	HeartbeatPeriod time.Duration
	MaxAppendBytes  int
	MaxInFlight     uint64 // entries sent and not yet acknowledged, a follower
	ChunkBytes      int
	Random          func(n int64) int64
	// LatestSnapshot returns the stored snapshot, which covers all that Compact dropped.
	LatestSnapshot func() (Snapshot, bool)

	// Recovered state.
	HardState HardState
	Snapshot  Snapshot // Data is not used
	Entries   []Entry
}

// Defaults fills the fields left zero.
func (c *Config) Defaults() {
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = 500 * time.Millisecond
	}
	if c.HeartbeatPeriod == 0 {
		c.HeartbeatPeriod = 100 * time.Millisecond
	}
	if c.MaxAppendBytes == 0 {
		c.MaxAppendBytes = 1 << 20
	}
	if c.MaxInFlight == 0 {
		c.MaxInFlight = 8192
	}
	if c.ChunkBytes == 0 {
		c.ChunkBytes = 256 << 10
	}
}
