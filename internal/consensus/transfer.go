package consensus

import (
	"encoding/binary"
	"hash"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxTransfers bounds the followers that are sent a snapshot at once; others wait.
	maxTransfers = 2
	// contactTimeouts and stallTimeouts are election timeouts: a transfer begins only if the follower replied
	// within the first, and ends if it takes nothing within the second.
	contactTimeouts = 2
	stallTimeouts   = 10
	// maxTransferLogBytes bounds the entries that are kept for followers which are being sent a snapshot.
	maxTransferLogBytes = 24 << 20
)

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

// outgoingSnapshot is a snapshot that the leader sends to a follower in chunks.
type outgoingSnapshot struct {
	transfer uint64
	snapshot Snapshot
	offset   uint64 // what the follower has
	sent     uint64 // offset of the last chunk sent
	sentTo   uint64 // end of the furthest chunk sent
	advanced time.Duration
	isDue    bool // the next chunk is to be sent once it is at hand
}

// accepts reports whether the reply m belongs to the transfer. The reply of a follower whose
// version does not number transfers is recognized by its index. An offset beyond what was sent
// counts bytes of another leader, which are the same if the reply names their digest.
func (ou *outgoingSnapshot) accepts(m Message) bool {
	if m.Index != ou.snapshot.Index || (m.SnapshotTransfer != 0 && m.SnapshotTransfer != ou.transfer) || m.SnapshotOffset > ou.snapshot.Size {
		return false
	}

	return m.SnapshotOffset <= ou.sentTo || (m.SnapshotTransfer != 0 && m.SnapshotDigest == ou.snapshot.Digest)
}

// startSnapshot starts a transfer and reports whether it did. All transfers at a time are of one stored
// snapshot, which is read in chunks. A follower for which it is too old waits until they have ended.
func (r *Replica) startSnapshot(now time.Duration, id ReplicaID, pr *progress) bool {
	if now > pr.lastContact+contactTimeouts*r.cfg.ElectionTimeout || r.transfers() >= maxTransfers {
		return false
	}
	if r.source == nil {
		r.source = r.cfg.OpenSnapshot()
	}
	if r.source == nil || r.source.Snapshot.Index < r.log.snapIndex {
		r.releaseSource()

		return false
	}

	r.lastTransfer++
	pr.outgoing = &outgoingSnapshot{transfer: r.lastTransfer, snapshot: r.source.Snapshot, advanced: now}
	r.sendChunk(now, id, pr)

	return true
}

// transfers returns the number of followers that are being sent a snapshot.
func (r *Replica) transfers() int {
	n := 0
	for _, pr := range r.progress {
		if pr.outgoing != nil {
			n++
		}
	}

	return n
}

func (r *Replica) endTransfer(pr *progress) {
	pr.outgoing = nil
	r.releaseSource()
}

// releaseSource closes the stored snapshot unless a transfer needs it.
func (r *Replica) releaseSource() {
	if r.source == nil || r.transfers() > 0 {
		return
	}
	r.source.Close()
	r.source = nil
}

// continueTransfer repeats a chunk that may be lost, and ends a transfer that makes no progress.
func (r *Replica) continueTransfer(now time.Duration, id ReplicaID, pr *progress) {
	switch {
	case !pr.outgoing.isDue && now > pr.outgoing.advanced+stallTimeouts*r.cfg.ElectionTimeout:
		r.endTransfer(pr)
	case now > pr.snapshotSent+r.cfg.ElectionTimeout:
		r.sendChunk(now, id, pr)
	}
}

// SendChunks sends the chunks that were not at hand when they were due, as far as they are now.
func (r *Replica) SendChunks(now time.Duration) {
	for _, id := range r.peers() {
		if pr := r.progress[id]; pr.outgoing != nil && pr.outgoing.isDue {
			r.sendChunk(now, id, pr)
		}
	}
}

// sendChunk sends the chunk that the follower lacks next, once it is at hand. The transfer ends if it
// can't be read.
func (r *Replica) sendChunk(now time.Duration, id ReplicaID, pr *progress) {
	pr.snapshotSent = now
	ou := pr.outgoing
	isLate := ou.isDue
	from := min(ou.offset, ou.snapshot.Size)
	end := min(from+uint64(r.cfg.ChunkBytes), ou.snapshot.Size)
	chunk := []byte{}
	if end > from {
		var err error
		if chunk, err = r.source.Read(from, int(end-from)); err != nil {
			r.endTransfer(pr) // the driver knows the error

			return
		}
	}
	if ou.isDue = chunk == nil; ou.isDue {
		return
	}
	if isLate { // the follower can't have taken what it was not sent
		ou.advanced = now
	}
	ou.sent, ou.sentTo = from, max(ou.sentTo, end)
	r.sendUnsynced(Message{
		Kind: MessageSnapshot, To: id, Index: ou.snapshot.Index, LogTerm: ou.snapshot.Term,
		Membership: ou.snapshot.Membership, SnapshotOffset: from, Chunk: chunk,
		SnapshotDone: end == ou.snapshot.Size, SnapshotTransfer: ou.transfer, SnapshotDigest: ou.snapshot.Digest, Round: r.round,
	})
}

func (r *Replica) onSnapshotReply(now time.Duration, m Message) {
	pr := r.progress[m.From]
	if r.role != RoleLeader || pr == nil {
		return
	}

	pr.lastContact = now
	ou := pr.outgoing
	if ou == nil || !ou.accepts(m) {
		return
	}
	switch {
	case m.Reject:
		r.endTransfer(pr) // the next heartbeat starts a new transfer
	case m.SnapshotDone:
		r.endTransfer(pr)
		pr.match = max(pr.match, m.Index)
		pr.sendFrom(pr.match + 1)
		r.sendAppend(now, m.From, true)
	case m.SnapshotOffset == ou.sent && now <= pr.snapshotSent+r.cfg.ElectionTimeout:
		// The chunk is under way; this is a late or repeated reply.
	default:
		if m.SnapshotOffset > ou.offset {
			ou.advanced = now
		}
		ou.offset = m.SnapshotOffset
		r.sendChunk(now, m.From, pr)
	}
}
