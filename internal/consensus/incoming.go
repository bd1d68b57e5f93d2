package consensus

import (
	"hash"
	"time"
)

// maxIgnoredOffsets is the number of first chunks that are received after replies that named an offset
// beyond, before the transfer begins anew: the leader's version may know no such replies.
const maxIgnoredOffsets = 3

// DroppedTransfer describes a received snapshot whose digest is not that of the sent one.
type DroppedTransfer struct {
	From     ReplicaID
	Term     uint64
	Transfer uint64
	Index    uint64
	Bytes    uint64
	Sent     uint64 // digest that the leader sent
	Received uint64 // digest of what was received
}

// incomingSnapshot is a snapshot that is being received in chunks, which the driver stores. It is
// identified by its index, term and digest, so that another leader that stores the same bytes goes on
// with it. Chunks without a digest are joined only if they come from one leader in one term.
type incomingSnapshot struct {
	// The latest transfer by its leader, the leader's term, and its number among the transfers of that term.
	from     ReplicaID
	term     uint64
	transfer uint64 // 0 if the leader's version does not number transfers and sends no digest

	snapshot Snapshot    // with the digest that the leader sent
	size     uint64      // received so far
	received hash.Hash64 // digest of what was received
	ignored  int         // first chunks in a row, although a reply named an offset beyond
}

func newIncomingSnapshot(m Message) *incomingSnapshot {
	sn := Snapshot{Index: m.Index, Term: m.LogTerm, Membership: m.Membership, Digest: m.SnapshotDigest}

	return &incomingSnapshot{from: m.From, term: m.Term, transfer: m.SnapshotTransfer, snapshot: sn, received: NewSnapshotDigest(&sn)}
}

// isSame reports whether the chunk in m belongs to the snapshot.
func (in *incomingSnapshot) isSame(m Message) bool {
	if in.snapshot.Index != m.Index || in.snapshot.Term != m.LogTerm || in.snapshot.Digest != m.SnapshotDigest {
		return false
	}

	return (in.transfer != 0 && m.SnapshotTransfer != 0) || (in.from == m.From && in.term == m.Term && in.transfer == m.SnapshotTransfer)
}

// follows reports whether the latest transfer began after that of the chunk in m, which has the same
// leader and term and was delayed.
func (in *incomingSnapshot) follows(m Message) bool {
	return in.from == m.From && in.term == m.Term && m.SnapshotTransfer < in.transfer
}

// goOn makes the transfer of the chunk in m the latest one. It returns false if its leader does not go on
// where the former one stopped.
func (in *incomingSnapshot) goOn(m Message) bool {
	if in.from != m.From || in.term != m.Term || in.transfer != m.SnapshotTransfer {
		in.from, in.term, in.transfer, in.ignored = m.From, m.Term, m.SnapshotTransfer, 0
	}
	if m.SnapshotOffset > 0 || in.size == 0 {
		in.ignored = 0

		return true
	}
	in.ignored++

	return in.ignored <= maxIgnoredOffsets
}

// append adds a chunk.
func (in *incomingSnapshot) append(chunk []byte) {
	_, _ = in.received.Write(chunk) // never fails
	in.size += uint64(len(chunk))
}

// verify returns a description of the transfer if what was received differs from what was sent.
func (in *incomingSnapshot) verify() *DroppedTransfer {
	received := in.received.Sum64()
	if in.transfer == 0 || received == in.snapshot.Digest {
		return nil
	}

	return &DroppedTransfer{
		From: in.from, Term: in.term, Transfer: in.transfer, Index: in.snapshot.Index, Bytes: in.size,
		Sent: in.snapshot.Digest, Received: received,
	}
}

func (r *Replica) onSnapshot(now time.Duration, m Message) {
	if r.role == RoleLeader {
		return
	}

	r.followLeader(now, m)
	reply := Message{
		Kind: MessageSnapshotReply, To: m.From, Index: m.Index, Round: m.Round,
		SnapshotTransfer: m.SnapshotTransfer, SnapshotDigest: m.SnapshotDigest,
	}
	if m.Index <= r.log.commit {
		reply.SnapshotDone = true
		r.incoming = nil
		r.send(reply)

		return
	}
	if r.pendingInstall != nil || (r.incoming != nil && r.incoming.follows(m)) {
		return
	}
	if r.incoming == nil || !r.incoming.isSame(m) || !r.incoming.goOn(m) {
		r.incoming = newIncomingSnapshot(m)
	}

	in := r.incoming
	if m.SnapshotOffset == in.size {
		r.chunks = append(r.chunks, SnapshotChunk{Snapshot: in.snapshot, Offset: in.size, Data: m.Chunk})
		in.append(m.Chunk)
		if m.SnapshotDone {
			reply.SnapshotDone = r.completeSnapshot()
			reply.Reject = !reply.SnapshotDone
		}
	}
	if !reply.Reject {
		reply.SnapshotOffset = in.size
	}
	r.send(reply)
}

// completeSnapshot installs the snapshot whose last chunk has arrived, or drops it if it is not
// the one that was sent. It reports whether the snapshot is installed.
func (r *Replica) completeSnapshot() bool {
	in := r.incoming
	r.incoming = nil
	if dropped := in.verify(); dropped != nil {
		r.droppedTransfers = append(r.droppedTransfers, *dropped)

		return false
	}
	in.snapshot.Size, in.snapshot.Digest = in.size, in.received.Sum64()
	r.installSnapshot(in.snapshot)

	return true
}

func (r *Replica) installSnapshot(sn Snapshot) {
	r.pendingInstall, r.unstoredInstall = &sn, sn.Index
	r.log.reset(sn)
}
