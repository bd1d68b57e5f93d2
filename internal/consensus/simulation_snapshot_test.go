package consensus_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
)

const (
	// snapshotPeriod is the distance between the indexes at which replicas take snapshots. As all
	// use multiples of it, two leaders often hold snapshots of the same index and term.
	snapshotPeriod = 32
	stateRunes     = 16
)

// transferKey identifies a transfer of a snapshot.
type transferKey struct {
	from     consensus.ReplicaID
	term     uint64
	transfer uint64
}

func keyOf(m *consensus.Message) transferKey {
	return transferKey{m.From, m.Term, m.SnapshotTransfer}
}

// snapshotKey identifies the bytes of a snapshot.
type snapshotKey struct {
	index, digest uint64
}

func keyOfSnapshot(sn *consensus.Snapshot) snapshotKey { return snapshotKey{sn.Index, sn.Digest} }

func chunkText(key snapshotKey, offset uint64, data []byte) string {
	return fmt.Sprintf("%d/%d/%d/%x", key.index, key.digest, offset, data)
}

// encodeState returns an encoding of the state after index. At every fourth index of a snapshot it differs between calls in
// order and length, as those of maps do: then a part of one encoding joined with a part of another is mostly
// no encoding of the state any more, but can often be decoded. At the others it is always the same, so that
// transfers go on under the next leader.
func (s *simulation) encodeState(index uint64, state string) []byte {
	rnd := s.rnd
	if index/snapshotPeriod%4 != 0 {
		rnd = rand.New(rand.NewPCG(index, 5))
	}
	var sb strings.Builder
	padded := state + strings.Repeat("_", stateRunes-len(state))
	for _, i := range rnd.Perm(stateRunes) {
		fmt.Fprintf(&sb, "%x%c", i, padded[i])
		if rnd.IntN(4) == 0 {
			sb.WriteString("..")
		}
	}

	return []byte(sb.String())
}

// recordEncoding records the bytes of a snapshot that was taken.
func (s *simulation) recordEncoding(sn consensus.Snapshot) {
	so := sourceOf(sn)
	s.encodings[keyOfSnapshot(&so.Snapshot)] = sn.Data
}

// openSnapshot opens the stored snapshot of a replica. Only one may be open at a time. A chunk is at hand
// when it is asked for again.
func (n *simNode) openSnapshot() *consensus.SnapshotSource {
	if n.snapshot.Index == 0 {
		return nil
	}
	n.opened++
	Expect(n.opened).To(Equal(1), "%s sends two snapshots at once", n.id)
	so := sourceOf(n.snapshot)
	so.Close = func() { n.opened-- }
	read, isAsked := so.Read, map[uint64]bool{}
	so.Read = func(offset uint64, bytes int) ([]byte, error) {
		if isAsked[offset] = !isAsked[offset]; isAsked[offset] {
			return nil, nil
		}

		return read(offset, bytes)
	}

	return so
}

// storeChunks stores received chunks. Each must be a part of the snapshot that it is stored for, unless it
// was damaged on its way.
func (s *simulation) storeChunks(n *simNode, rd *consensus.Ready) {
	for _, ch := range rd.Chunks {
		if ch.Offset == 0 {
			n.partIsDamaged = false
		}
		n.part.add(ch)
		key := keyOfSnapshot(&ch.Snapshot)
		whole, end := s.encodings[key], ch.Offset+uint64(len(ch.Data))
		if end <= uint64(len(whole)) && string(whole[ch.Offset:end]) == string(ch.Data) {
			continue
		}
		Expect(s.damaged).To(HaveKey(chunkText(key, ch.Offset, ch.Data)), "a snapshot is joined from chunks that do not belong together")
		n.partIsDamaged = true
	}
}

// decodeState returns the state in an encoding; parts that the encoding lacks are spaces.
func decodeState(data []byte) string {
	out := []byte(strings.Repeat(" ", stateRunes))
	for ; len(data) >= 2; data = data[2:] {
		if i := strings.IndexByte("0123456789abcdef", data[0]); i >= 0 {
			out[i] = data[1]
		}
	}

	return strings.TrimRight(string(out), "_")
}

// recordState records the state after index, which must be the same on all replicas.
func (s *simulation) recordState(index uint64, state string) {
	if old, ok := s.states[index]; ok {
		Expect(state).To(Equal(old), "the states of two replicas differ at index %d", index)
	}
	s.states[index] = state
}

// install checks the received snapshot that was stored, which must hold the state at its index.
func (s *simulation) install(n *simNode) {
	sn := &n.snapshot
	Expect(sn.Index).To(BeNumerically(">=", n.applied), "the snapshot is older than the applied state")
	Expect(n.partIsDamaged).To(BeFalse(), "%s installs a damaged snapshot", n.id)
	n.applied, n.state = sn.Index, decodeState(sn.Data)
	if want, ok := s.states[sn.Index]; ok {
		Expect(n.state).To(Equal(want), "%s installs a snapshot that does not hold the state at index %d", n.id, sn.Index)
	}
}

// checkDropped checks that a receiver drops only snapshots of which it stored a damaged chunk.
func (s *simulation) checkDropped(n *simNode, rd *consensus.Ready) {
	for range rd.DroppedTransfers {
		Expect(n.partIsDamaged).To(BeTrue(), "a snapshot was joined from chunks that do not belong together")
		s.events["dropped"]++
	}
}

// sendChunk sends a chunk of a snapshot: chunks are damaged, duplicated and reordered more often
// than other messages.
func (s *simulation) sendChunk(m consensus.Message) {
	if sentTo := s.sentTo[keyOf(&m)]; m.SnapshotOffset > sentTo {
		s.events["continued"]++ // where another leader stopped
	}
	s.sentTo[keyOf(&m)] = max(s.sentTo[keyOf(&m)], m.SnapshotOffset+uint64(len(m.Chunk)))
	if !s.faultsDisabled && len(m.Chunk) > 0 && s.rnd.IntN(8) == 0 {
		m.Chunk = append([]byte(nil), m.Chunk...)
		m.Chunk[s.rnd.IntN(len(m.Chunk))] ^= 1 << s.rnd.IntN(8)
		s.damaged[chunkText(snapshotKey{m.Index, m.SnapshotDigest}, m.SnapshotOffset, m.Chunk)] = true
		s.events["damagedChunk"]++
	}
	for range 1 + s.rnd.IntN(10)/8 {
		d := time.Duration(s.rnd.Int64N(int64(10 * time.Millisecond)))
		if s.rnd.IntN(8) == 0 {
			d *= 40 // reordered behind later chunks, or behind those of the next leader
		}
		s.inFlight = append(s.inFlight, delayedMessage{s.now + d, m})
	}
}

// disturbTransfer takes the lead from a replica that is sending a snapshot.
func (s *simulation) disturbTransfer() {
	for _, f := range s.inFlight {
		n := s.node(f.m.From)
		if f.m.Kind != consensus.MessageSnapshot || n == nil || n.down || n.diskLost || s.now < n.pausedUntil {
			continue
		}
		switch s.rnd.IntN(3) {
		case 0:
			s.crash(n)
		case 1:
			s.blockedLinks = map[[2]consensus.ReplicaID]bool{}
			s.isolate(n)
		default:
			n.replica.TransferLeadership(n.clock(s.now))
			s.flush(n)
		}
		s.events["brokenTransfer"]++

		return
	}
}
