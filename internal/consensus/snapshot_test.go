package consensus_test

import (
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
)

// receiver is a follower with what its driver stores of a snapshot.
type receiver struct {
	*consensus.Replica
	part storedPart
}

// newReceiver returns the follower "b" of the voters a, b and c, with an empty log.
func newReceiver() *receiver {
	return &receiver{Replica: consensus.New(consensus.Config{
		ID: "b", Group: 1, ElectionTimeout: 300 * time.Millisecond, HeartbeatPeriod: 60 * time.Millisecond,
		Random: rand.New(rand.NewPCG(1, 1)).Int64N, OpenSnapshot: func() *consensus.SnapshotSource { return nil },
		Snapshot: consensus.Snapshot{Membership: consensus.Membership{Voters: []consensus.ReplicaID{"a", "b", "c"}}},
	}, 0)}
}

// storedPart is what a driver has stored of a snapshot that is being received.
type storedPart struct {
	snapshot consensus.Snapshot
	data     []byte
}

// add stores a chunk, which must follow the ones before it.
func (pa *storedPart) add(ch consensus.SnapshotChunk) {
	if ch.Offset == 0 {
		pa.snapshot, pa.data = ch.Snapshot, nil
	}
	Expect(ch.Offset).To(BeEquivalentTo(len(pa.data)), "a chunk does not follow the one before it")
	Expect(ch.Snapshot).To(Equal(pa.snapshot), "a chunk of another snapshot")
	pa.data = append(pa.data, ch.Data...)
}

// complete returns the snapshot whose chunks were stored, with its data.
func (pa *storedPart) complete(sn consensus.Snapshot) consensus.Snapshot {
	Expect(sn.Data).To(BeNil())
	Expect(sn.Size).To(BeEquivalentTo(len(pa.data)), "the snapshot is not the one whose chunks were stored")
	sn.Data = pa.data
	digest := consensus.NewSnapshotDigest(&sn)
	_, _ = digest.Write(sn.Data)
	Expect(sn.Digest).To(Equal(digest.Sum64()), "the snapshot is not the one whose chunks were stored")

	return sn
}

// sourceOf returns a stored snapshot.
func sourceOf(sn consensus.Snapshot) *consensus.SnapshotSource {
	data := sn.Data
	digest := consensus.NewSnapshotDigest(&sn)
	_, _ = digest.Write(data)
	sn.Data, sn.Size, sn.Digest = nil, uint64(len(data)), digest.Sum64()

	return &consensus.SnapshotSource{
		Snapshot: sn,
		Read: func(offset uint64, bytes int) ([]byte, error) {
			Expect(offset + uint64(bytes)).To(BeNumerically("<=", len(data)))

			return slices.Clone(data[offset : offset+uint64(bytes)]), nil
		},
		Close: func() {},
	}
}

// newSender returns the replica id as the leader of a term that holds only the snapshot sn and sends it
// to "b", in chunks of so many bytes.
func newSender(id consensus.ReplicaID, term uint64, sn consensus.Snapshot, chunkBytes int) *consensus.Replica {
	re := consensus.New(consensus.Config{
		ID: id, Group: 1, ElectionTimeout: 300 * time.Millisecond, HeartbeatPeriod: 60 * time.Millisecond, ChunkBytes: chunkBytes,
		Random: func(int64) int64 { return 0 }, OpenSnapshot: func() *consensus.SnapshotSource { return sourceOf(sn) },
		HardState: consensus.HardState{Term: term - 1}, Snapshot: sn,
	}, 0)
	re.Tick(time.Second)
	for _, kind := range []consensus.MessageKind{consensus.MessagePreVoteReply, consensus.MessageVoteReply} {
		for _, from := range []consensus.ReplicaID{"a", "c"} {
			re.Step(time.Second, consensus.Message{Kind: kind, Group: 1, From: from, To: id, Term: term})
		}
	}
	Expect(re.Role()).To(Equal(consensus.RoleLeader))
	Expect(re.Term()).To(Equal(term))
	re.Advance(time.Second, re.Ready())
	re.Step(time.Second, consensus.Message{Kind: consensus.MessageAppendReply, Group: 1, From: "b", To: id, Term: term, Reject: true, Index: sn.Index})

	return re
}

// takeChunk returns the chunk that re sends to "b" next.
func takeChunk(re *consensus.Replica) consensus.Message {
	for _, m := range re.Ready().Unsynced {
		if m.Kind == consensus.MessageSnapshot {
			return m
		}
	}
	Fail("the leader sends no chunk")

	return consensus.Message{}
}

// receive passes a chunk to the follower and returns its reply and what it installs, with the data.
func receive(re *receiver, m consensus.Message) (consensus.Message, consensus.Ready) {
	re.Step(time.Second, m)
	rd := re.Ready()
	for _, ch := range rd.Chunks {
		Expect(rd.MustSync()).To(BeTrue(), "the reply must follow the storing of the chunk")
		re.part.add(ch)
	}
	if rd.Snapshot != nil {
		sn := re.part.complete(*rd.Snapshot)
		rd.Snapshot = &sn
	}
	for _, rep := range rd.Messages {
		if rep.Kind == consensus.MessageSnapshotReply {
			return rep, rd
		}
	}

	return consensus.Message{}, rd
}

func snapshotOf(data string) consensus.Snapshot {
	return consensus.Snapshot{
		Index: 50, Term: 1, Membership: consensus.Membership{Voters: []consensus.ReplicaID{"a", "b", "c"}}, Data: []byte(data),
	}
}

var _ = Describe("a snapshot in chunks", func() {
	It("is never joined from the chunks of two leaders whose encodings of the same state differ", func() {
		follower := newReceiver()
		rep, _ := receive(follower, takeChunk(newSender("a", 2, snapshotOf("AAAAaaaa"), 4)))
		Expect(rep.SnapshotOffset).To(Equal(uint64(4)))

		next := newSender("c", 3, snapshotOf("BBBBbbbb"), 4)
		var rd consensus.Ready
		for range 5 {
			if rep, rd = receive(follower, takeChunk(next)); rep.SnapshotDone {
				break
			}
			next.Step(time.Second, rep)
		}
		Expect(rep.SnapshotDone).To(BeTrue())
		Expect(string(rd.Snapshot.Data)).To(Equal("BBBBbbbb"))
	})

	It("is never joined from the chunks of two leaders that do not number their transfers", func() {
		follower := newReceiver()
		send := func(re *consensus.Replica, from uint64) (consensus.Message, consensus.Ready) {
			m := takeChunk(re)
			m.SnapshotTransfer, m.SnapshotDigest = 0, 0
			Expect(m.SnapshotOffset).To(Equal(from))

			return receive(follower, m)
		}
		rep, _ := send(newSender("a", 2, snapshotOf("AAAAaaaa"), 4), 0)
		Expect(rep.SnapshotOffset).To(Equal(uint64(4)))
		next := newSender("c", 3, snapshotOf("BBBBbbbb"), 4)
		rep, _ = send(next, 0)
		Expect(rep.SnapshotOffset).To(Equal(uint64(4)))
		next.Step(time.Second, rep)
		_, rd := send(next, 4)
		Expect(string(rd.Snapshot.Data)).To(Equal("BBBBbbbb"))
	})

	It("is dropped before anything is installed or acknowledged if its bytes are not those that were sent, and starts over", func() {
		for _, tc := range []struct {
			name   string
			damage func(m *consensus.Message)
		}{
			{"a flipped byte", func(m *consensus.Message) { m.Chunk = []byte("BBxB") }},
			{"a missing byte", func(m *consensus.Message) { m.Chunk = m.Chunk[:3] }},
			{"another index", func(m *consensus.Message) { m.Index++ }},
			{"another term", func(m *consensus.Message) { m.LogTerm++ }},
			{"another membership", func(m *consensus.Message) {
				m.Membership = consensus.Membership{Voters: []consensus.ReplicaID{"a", "b"}}
			}},
		} {
			follower, leader := newReceiver(), newSender("a", 2, snapshotOf("BBBB"), 8)
			m := takeChunk(leader)
			tc.damage(&m)
			rep, rd := receive(follower, m)
			Expect(rep.Reject).To(BeTrue(), tc.name)
			Expect(rep.SnapshotDone).To(BeFalse(), tc.name)
			Expect(rd.Snapshot).To(BeNil(), tc.name)
			Expect(rd.DroppedTransfers).To(HaveLen(1), tc.name)
			Expect(follower.Commit()).To(BeZero(), tc.name)

			rep.Index = 50 // the leader knows the transfer by its number
			leader.Step(time.Second, rep)
			leader.Tick(1100 * time.Millisecond)
			rep, rd = receive(follower, takeChunk(leader))
			Expect(rep.SnapshotDone).To(BeTrue(), tc.name)
			Expect(string(rd.Snapshot.Data)).To(Equal("BBBB"), tc.name)
		}
	})

	It("is not thrown back by a late chunk of an earlier transfer of the same leader", func() {
		follower, leader := newReceiver(), newSender("a", 2, snapshotOf("AAAAaaaa"), 4)
		first := takeChunk(leader)
		leader.Step(time.Second, consensus.Message{
			Kind: consensus.MessageSnapshotReply, Group: 1, From: "b", To: "a", Term: 2, Index: 50, Reject: true, SnapshotTransfer: first.SnapshotTransfer,
		})
		leader.Tick(1100 * time.Millisecond)
		second := takeChunk(leader)
		Expect(second.SnapshotTransfer).To(BeNumerically(">", first.SnapshotTransfer))
		rep, _ := receive(follower, second)
		Expect(rep.SnapshotOffset).To(Equal(uint64(4)))
		rep, _ = receive(follower, first)
		Expect(rep).To(BeZero())
		leader.Step(time.Second, consensus.Message{
			Kind: consensus.MessageSnapshotReply, Group: 1, From: "b", To: "a", Term: 2, Index: 50, SnapshotOffset: 4, SnapshotTransfer: second.SnapshotTransfer,
		})
		rep, rd := receive(follower, takeChunk(leader))
		Expect(rep.SnapshotDone).To(BeTrue())
		Expect(string(rd.Snapshot.Data)).To(Equal("AAAAaaaa"))
	})
})

var _ = Describe("a leader that sends a snapshot", func() {
	It("takes no offset from replies that belong to another transfer, or beyond what it sent", func() {
		none := func(uint64) uint64 { return 0 }
		same := func(sent uint64) uint64 { return sent }
		other := func(sent uint64) uint64 { return sent + 7 }
		for _, tc := range []struct {
			name     string
			transfer func(sent uint64) uint64
			digest   func(sent uint64) uint64
			offset   uint64
			isTaken  bool
		}{
			{"its own transfer", same, none, 4, true},
			{"another transfer", other, none, 4, false},
			{"another transfer of the same bytes", other, same, 4, false},
			{"its own transfer, beyond what was sent", same, none, 6, false},
			{"its own transfer, with the same bytes of another leader", same, same, 6, true},
			{"its own transfer, with other bytes of another leader", same, other, 6, false},
			{"its own transfer, beyond the end", same, same, 9, false},
			{"a follower that does not number transfers", none, none, 4, true},
			{"a follower that does not number transfers, with bytes of another leader", none, none, 6, false},
		} {
			leader := newSender("a", 2, snapshotOf("AAAAaaaa"), 4)
			sent := takeChunk(leader)
			leader.Step(time.Second, consensus.Message{
				Kind: consensus.MessageSnapshotReply, Group: 1, From: "b", To: "a", Term: 2, Index: 50, SnapshotOffset: tc.offset,
				SnapshotTransfer: tc.transfer(sent.SnapshotTransfer), SnapshotDigest: tc.digest(sent.SnapshotDigest),
			})
			chunks := 0
			for _, m := range leader.Ready().Unsynced {
				if m.Kind == consensus.MessageSnapshot {
					chunks++
					Expect(m.SnapshotOffset).To(Equal(tc.offset), tc.name)
				}
			}
			Expect(chunks == 1).To(Equal(tc.isTaken), tc.name)
		}
	})
})
