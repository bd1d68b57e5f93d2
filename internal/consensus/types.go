// Package consensus implements the Raft protocol of a replication group: elections
// with pre-vote, log replication, read index, chunked snapshots, learners, leadership
// transfer and single-server membership changes. A Replica does no I/O and reads no
// clock: messages and the time are arguments, and Ready returns what the driver must
// store, send and apply.
package consensus

import (
	"slices"
	"time"
)

// ReplicaID identifies a replica. A replica whose data folder is lost returns under a new ID.
type ReplicaID string

// GroupID identifies a replication group.
type GroupID uint32

// EntryKind determines how the data of an Entry is interpreted.
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

// HardState is a replica's term and the vote that it cast in it. It must be stored before the
// replica sends any message that depends on it.
type HardState struct {
	Term uint64    `cbor:"1,keyasint"`
	Vote ReplicaID `cbor:"2,keyasint"`
}

// Membership lists the replicas of a group. Learners receive the log and never vote.
type Membership struct {
	Voters   []ReplicaID `cbor:"1,keyasint"`
	Learners []ReplicaID `cbor:"2,keyasint"`
}

// IsVoter reports whether id is a voter.
func (m Membership) IsVoter(id ReplicaID) bool { return slices.Contains(m.Voters, id) }

// IsLearner reports whether id is a learner.
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

// WithVoter returns a copy in which id is a voter.
func (m Membership) WithVoter(id ReplicaID) Membership {
	n := m.Without(id)
	n.Voters = append(n.Voters, id)
	slices.Sort(n.Voters)

	return n
}

// Equal reports whether both memberships have the same voters and learners.
func (m Membership) Equal(o Membership) bool {
	return slices.Equal(m.Voters, o.Voters) && slices.Equal(m.Learners, o.Learners)
}

// Without returns a copy from which id is removed.
func (m Membership) Without(id ReplicaID) Membership {
	isID := func(o ReplicaID) bool { return o == id }

	return Membership{
		Voters:   slices.DeleteFunc(slices.Clone(m.Voters), isID),
		Learners: slices.DeleteFunc(slices.Clone(m.Learners), isID),
	}
}

// Snapshot is the state of the group's state machine after the entry at Index is applied. Data is nil where
// only the metadata is needed: the data stays in a file of the driver.
type Snapshot struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	Data       []byte     `cbor:"4,keyasint"`

	// Size and Digest are those of a stored snapshot: the bytes of its data, and the sum of its
	// NewSnapshotDigest.
	Size   uint64 `cbor:"-"`
	Digest uint64 `cbor:"-"`
}

// SnapshotSource is a stored snapshot that a leader sends. It stays readable until Close, though a newer one
// is stored meanwhile.
type SnapshotSource struct {
	Snapshot Snapshot // with its size and digest
	// Read returns so many bytes of the data, from an offset, which the caller owns. It returns nil without an
	// error if they are not at hand yet; the driver calls Replica.SendChunks once they are.
	Read  func(offset uint64, bytes int) ([]byte, error)
	Close func()
}

// SnapshotChunk is a received part of a snapshot's data, which the driver stores after the parts before it.
// One at offset 0 begins anew: the driver drops what it has stored of any snapshot in transfer.
type SnapshotChunk struct {
	Snapshot Snapshot // metadata; its size is not known yet
	Offset   uint64
	Data     []byte
}

// MessageKind determines which protocol step a Message belongs to.
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

// Message is sent between two replicas of one group. Messages may be lost, duplicated,
// delayed and reordered.
type Message struct {
	Kind    MessageKind
	Group   GroupID
	From    ReplicaID
	To      ReplicaID
	Term    uint64
	Index   uint64 // index of the entry before Entries, or of a candidate's last entry
	LogTerm uint64 // term of the entry at Index
	Commit  uint64
	Round   uint64 // heartbeat round; replies return it
	Reject  bool
	Force   bool   // the election follows a leadership transfer, so a live leader does not prevent it
	Hint    uint64 // highest index at which a rejecting follower's log may match
	Entries []Entry

	SnapshotOffset   uint64
	SnapshotDone     bool
	SnapshotTransfer uint64 // number of the transfer among those of the term's leader; 0 if its version has no such numbers
	SnapshotDigest   uint64 // digest of the whole snapshot; only valid if SnapshotTransfer is set
	Membership       Membership
	Chunk            []byte
}

// Role is the role of a replica in its current term.
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

// ReadState is the result of ReadIndex for the same Context. If OK, the read may be served
// once Index is applied; otherwise the replica lost leadership and the read must be retried.
type ReadState struct {
	Context uint64
	Index   uint64
	OK      bool
}

// Ready lists the driver's pending work. The driver sends Unsynced and applies Committed at once, and
// stores Chunks, which need no sync, and HardState, Snapshot and Entries with one sync. Once they are
// stored it sends Messages, applies Snapshot and calls Advance. Until then it may go on to call Step,
// Tick and Propose, and take further work that needs no write from ReadyUnsynced; it calls Ready again
// after Advance.
type Ready struct {
	Unsynced  []Message // need no sync: a leader's appends and snapshots, and replies about what is stored
	Chunks    []SnapshotChunk
	HardState *HardState
	Snapshot  *Snapshot // received completely: its data is that of the chunks since offset 0
	Entries   []Entry
	Messages  []Message // sent only once everything above is stored
	Committed []Entry   // stored here and on a quorum
	Reads     []ReadState

	DroppedTransfers []DroppedTransfer // only reported; nothing has to be stored or sent for them
}

// Empty reports whether there is no pending work.
func (rd *Ready) Empty() bool {
	return len(rd.Unsynced) == 0 && len(rd.Chunks) == 0 && rd.HardState == nil && rd.Snapshot == nil && len(rd.Entries) == 0 &&
		len(rd.Messages) == 0 && len(rd.Committed) == 0 && len(rd.Reads) == 0 && len(rd.DroppedTransfers) == 0
}

// MustSync reports whether something must be stored before Messages are sent.
func (rd *Ready) MustSync() bool {
	return len(rd.Chunks) > 0 || rd.HardState != nil || rd.Snapshot != nil || len(rd.Entries) > 0
}

// Config holds the settings and the recovered state of a Replica.
type Config struct {
	ID              ReplicaID
	Group           GroupID
	ElectionTimeout time.Duration
	HeartbeatPeriod time.Duration
	MaxAppendBytes  int
	MaxInFlight     uint64 // unacknowledged entries per follower
	// MaxInFlightBytes is the size of unacknowledged entries from which on a follower is sent no more.
	MaxInFlightBytes int
	ChunkBytes       int
	Random           func(n int64) int64
	// OpenSnapshot opens the stored snapshot, which covers all entries that Compact removed. It returns nil
	// if there is none, or if it can't be read for now.
	OpenSnapshot func() *SnapshotSource

	// Recovered state.
	HardState HardState
	Snapshot  Snapshot // Data is ignored
	Entries   []Entry
}

// Defaults sets fields that are zero to their default values.
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
	if c.MaxInFlightBytes == 0 {
		c.MaxInFlightBytes = 4 << 20
	}
	if c.ChunkBytes == 0 {
		c.ChunkBytes = 256 << 10
	}
}
