package consensus

import (
	"encoding/binary"
	"hash"
	"time"

	"github.com/cespare/xxhash/v2"
)

// DroppedTransfer describes a received snapshot whose digest is not that of the sent one.
type DroppedTransfer struct {
	From     ReplicaID
	Term     uint64
	Transfer uint64
	Index    uint64
	Bytes    int
	Sent     uint64 // digest that the leader sent
	Received uint64 // digest of what was received
}

// incomingSnapshot is a snapshot that is being received in chunks. Two leaders encode the same
// state differently, so that the chunks of two transfers are never joined: a transfer is
// identified by its leader, the leader's term, and its number among the transfers of that term.
type incomingSnapshot struct {
	from     ReplicaID
	term     uint64
	transfer uint64 // 0 if the leader's version does not number transfers and sends no digest
	digest   uint64
	snapshot Snapshot
}

func newIncomingSnapshot(m Message) *incomingSnapshot {
	return &incomingSnapshot{
		from: m.From, term: m.Term, transfer: m.SnapshotTransfer, digest: m.SnapshotDigest,
		snapshot: Snapshot{Index: m.Index, Term: m.LogTerm, Membership: m.Membership},
	}
}

// holds reports whether the chunk in m belongs to the transfer.
func (in *incomingSnapshot) holds(m Message) bool {
	return in.from == m.From && in.term == m.Term && in.transfer == m.SnapshotTransfer && in.digest == m.SnapshotDigest &&
		in.snapshot.Index == m.Index && in.snapshot.Term == m.LogTerm
}

// follows reports whether the transfer began after that of the chunk in m, which has the same
// leader and term and was delayed.
func (in *incomingSnapshot) follows(m Message) bool {
	return in.from == m.From && in.term == m.Term && m.SnapshotTransfer < in.transfer
}

// verify returns a description of the transfer if what was received differs from what was sent.
func (in *incomingSnapshot) verify() *DroppedTransfer {
	if in.transfer == 0 {
		return nil
	}
	received := snapshotDigest(&in.snapshot)
	if received == in.digest {
		return nil
	}

	return &DroppedTransfer{
		From: in.from, Term: in.term, Transfer: in.transfer, Index: in.snapshot.Index, Bytes: len(in.snapshot.Data),
		Sent: in.digest, Received: received,
	}
}

// NewSnapshotDigest returns the xxHash64 of the index, term and membership of sn, to which its data is
// still to be written. It detects damage by accident; replicas trust each other otherwise.
func NewSnapshotDigest(sn *Snapshot) hash.Hash64 {
	b := binary.LittleEndian.AppendUint64(nil, sn.Index)
	b = binary.LittleEndian.AppendUint64(b, sn.Term)
	for _, ids := range [][]ReplicaID{sn.Membership.Voters, sn.Membership.Learners} {
		b = binary.LittleEndian.AppendUint64(b, uint64(len(ids)))
		for _, id := range ids {
			b = binary.LittleEndian.AppendUint64(b, uint64(len(id)))
			b = append(b, id...)
		}
	}
	di := xxhash.New()
	_, _ = di.Write(b) // never fails

	return di
}

// snapshotDigest returns the digest of a snapshot and its data.
func snapshotDigest(sn *Snapshot) uint64 {
	di := NewSnapshotDigest(sn)
	_, _ = di.Write(sn.Data) // never fails

	return di.Sum64()
}

// outgoingSnapshot is a snapshot that the leader sends to a follower in chunks.
type outgoingSnapshot struct {
	transfer uint64
	digest   uint64 // computed once per transfer
	snapshot Snapshot
	offset   uint64 // of the chunk that the follower lacks next
	sentTo   uint64 // end of the furthest chunk sent
}

// accepts reports whether the reply m belongs to the transfer. The reply of a follower whose
// version does not number transfers is recognized by its index. An offset beyond what was sent
// counts bytes of another leader.
func (ou *outgoingSnapshot) accepts(m Message) bool {
	return m.Index == ou.snapshot.Index && (m.SnapshotTransfer == 0 || m.SnapshotTransfer == ou.transfer) && m.SnapshotOffset <= ou.sentTo
}

func (r *Replica) startSnapshot(now time.Duration, id ReplicaID, pr *progress) {
	ou := &outgoingSnapshot{}
	if sent := r.snapshotInTransit(); sent != nil {
		ou.snapshot, ou.digest = sent.snapshot, sent.digest
	} else {
		sn, ok := r.cfg.LatestSnapshot()
		if !ok || sn.Index < r.log.snapIndex {
			return
		}
		ou.snapshot, ou.digest = sn, snapshotDigest(&sn)
	}

	r.lastTransfer++
	ou.transfer = r.lastTransfer
	pr.outgoing = ou
	r.sendChunk(now, id, pr)
}

// snapshotInTransit returns a transfer of the newest snapshot that another follower is
// receiving, if the log still holds all entries after it. Followers then share one copy of its
// data.
func (r *Replica) snapshotInTransit() *outgoingSnapshot {
	var newest *outgoingSnapshot
	for _, pr := range r.progress {
		if pr.outgoing != nil && (newest == nil || pr.outgoing.snapshot.Index > newest.snapshot.Index) {
			newest = pr.outgoing
		}
	}
	if newest == nil || newest.snapshot.Index < r.log.snapIndex {
		return nil
	}

	return newest
}

func (r *Replica) sendChunk(now time.Duration, id ReplicaID, pr *progress) {
	pr.snapshotSent = now
	ou := pr.outgoing
	size := uint64(len(ou.snapshot.Data))
	from := min(ou.offset, size)
	end := min(from+uint64(r.cfg.ChunkBytes), size)
	ou.sentTo = max(ou.sentTo, end)
	r.sendUnsynced(Message{
		Kind: MessageSnapshot, To: id, Index: ou.snapshot.Index, LogTerm: ou.snapshot.Term,
		Membership: ou.snapshot.Membership, SnapshotOffset: from, Chunk: ou.snapshot.Data[from:end],
		SnapshotDone: end == size, SnapshotTransfer: ou.transfer, SnapshotDigest: ou.digest, Round: r.round,
	})
}

func (r *Replica) onSnapshotReply(now time.Duration, m Message) {
	pr := r.progress[m.From]
	if r.role != RoleLeader || pr == nil {
		return
	}

	pr.lastContact = now
	if pr.outgoing == nil || !pr.outgoing.accepts(m) {
		return
	}
	switch {
	case m.Reject:
		pr.outgoing = nil // the next heartbeat starts a new transfer
	case m.SnapshotDone:
		pr.outgoing = nil
		pr.match = max(pr.match, m.Index)
		pr.next = pr.match + 1
		r.sendAppend(now, m.From, true)
	default:
		pr.outgoing.offset = m.SnapshotOffset
		r.sendChunk(now, m.From, pr)
	}
}
