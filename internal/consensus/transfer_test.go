package consensus_test

import (
	"errors"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
)

// transferUntil passes chunks and replies between a leader and the follower until the follower has stored so
// many bytes or the snapshot is installed. It returns the bytes of the chunks sent.
func transferUntil(leader *consensus.Replica, follower *receiver, stored int) (sent int, installed *consensus.Snapshot) {
	for len(follower.part.data) < stored {
		m := takeChunk(leader)
		sent += len(m.Chunk)
		rep, rd := receive(follower, m)
		if rd.Snapshot != nil {
			return sent, rd.Snapshot
		}
		leader.Step(time.Second, rep)
	}

	return sent, nil
}

// sendingLeader is a leader of term 2 of the voters a to e whose log begins at a snapshot.
type sendingLeader struct {
	*consensus.Replica
	now            time.Duration
	opened, closed int
	readError      error
	isDiskSlow     bool // no chunk is at hand
}

func newSendingLeader() *sendingLeader {
	le := &sendingLeader{now: time.Second}
	sn := consensus.Snapshot{
		Index: 50, Term: 1, Membership: consensus.Membership{Voters: []consensus.ReplicaID{"a", "b", "c", "d", "e"}}, Data: []byte(strings.Repeat("x", 80)),
	}
	le.Replica = consensus.New(consensus.Config{
		ID: "a", Group: 1, ElectionTimeout: 300 * time.Millisecond, HeartbeatPeriod: 60 * time.Millisecond, ChunkBytes: 8,
		Random: func(int64) int64 { return 0 },
		OpenSnapshot: func() *consensus.SnapshotSource {
			le.opened++
			so := sourceOf(sn)
			read := so.Read
			so.Read = func(offset uint64, bytes int) ([]byte, error) {
				if le.readError != nil || le.isDiskSlow {
					return nil, le.readError
				}

				return read(offset, bytes)
			}
			so.Close = func() { le.closed++ }

			return so
		},
		HardState: consensus.HardState{Term: 1}, Snapshot: consensus.Snapshot{Index: 50, Term: 1, Membership: sn.Membership},
	}, 0)
	le.Tick(le.now)
	for _, kind := range []consensus.MessageKind{consensus.MessagePreVoteReply, consensus.MessageVoteReply} {
		for _, from := range []consensus.ReplicaID{"b", "c"} {
			le.Step(le.now, consensus.Message{Kind: kind, Group: 1, From: from, To: "a", Term: 2})
		}
	}
	Expect(le.Role()).To(Equal(consensus.RoleLeader))
	le.Advance(le.now, le.Ready())

	return le
}

// reply passes the reply of a follower to the leader.
func (le *sendingLeader) reply(m consensus.Message) {
	m.Group, m.To, m.Term = 1, "a", 2
	if m.Index == 0 {
		m.Index = 50
	}
	le.Step(le.now, m)
}

// reject makes a follower reply that it lacks entries.
func (le *sendingLeader) reject(from consensus.ReplicaID) {
	le.reply(consensus.Message{Kind: consensus.MessageAppendReply, From: from, Reject: true})
}

// sent returns the followers to which the leader has sent messages of a kind.
func (le *sendingLeader) sent(kind consensus.MessageKind) []consensus.ReplicaID {
	var out []consensus.ReplicaID
	for _, m := range le.Ready().Unsynced {
		if m.Kind == kind {
			out = append(out, m.To)
		}
	}

	return out
}

// advance lets the time pass. The voters "b" and "c" acknowledge the log at each heartbeat, and the followers
// in touch reply that they lack entries.
func (le *sendingLeader) advance(d time.Duration, inTouch ...consensus.ReplicaID) {
	for end := le.now + d; le.now < end; {
		le.now += 70 * time.Millisecond
		for _, id := range []consensus.ReplicaID{"b", "c"} {
			le.reply(consensus.Message{Kind: consensus.MessageAppendReply, From: id, Index: 51})
		}
		for _, id := range inTouch {
			le.reject(id)
		}
		le.Tick(le.now)
	}
}

var _ = Describe("the transfer of a snapshot", func() {
	It("goes on under the next leader where the former one stopped", func() {
		data := strings.Repeat("0123456789", 40)
		for _, stopped := range []int{4, 100, 200, 396} {
			follower := newReceiver()
			first, _ := transferUntil(newSender("a", 2, snapshotOf(data), 4), follower, stopped)
			second, installed := transferUntil(newSender("c", 3, snapshotOf(data), 4), follower, len(data)+1)
			Expect(string(installed.Data)).To(Equal(data))
			Expect(first+second).To(BeNumerically("<=", len(data)+4), "stopped after %d bytes: the first chunk of the second leader is repeated", stopped)
		}
	})

	It("begins anew under a next leader whose bytes differ", func() {
		data, other := strings.Repeat("0123456789", 40), strings.Repeat("9876543210", 40)
		follower := newReceiver()
		transferUntil(newSender("a", 2, snapshotOf(data), 4), follower, 200)
		second, installed := transferUntil(newSender("c", 3, snapshotOf(other), 4), follower, len(data)+1)
		Expect(string(installed.Data)).To(Equal(other))
		Expect(second).To(Equal(len(other)))
	})

	It("begins anew under a next leader that does not go on, because its version does not", func() {
		data := strings.Repeat("0123456789", 40)
		follower := newReceiver()
		transferUntil(newSender("a", 2, snapshotOf(data), 4), follower, 200)
		next := newSender("c", 3, snapshotOf(data), 4)
		m := takeChunk(next)
		var rep consensus.Message
		for range 10 { // the leader repeats its first chunk
			if rep, _ = receive(follower, m); rep.SnapshotOffset == 4 {
				break
			}
			Expect(rep.SnapshotOffset).To(BeEquivalentTo(200))
		}
		Expect(rep.SnapshotOffset).To(BeEquivalentTo(4))
		rep.SnapshotDigest = 0
		next.Step(time.Second, rep)
		_, installed := transferUntil(next, follower, len(data)+1)
		Expect(string(installed.Data)).To(Equal(data))
	})

	It("is made to two followers at once, and others wait without a flood of heartbeats", func() {
		le := newSendingLeader()
		for _, id := range []consensus.ReplicaID{"c", "d", "e"} {
			le.reject(id)
		}
		Expect(le.sent(consensus.MessageSnapshot)).To(Equal([]consensus.ReplicaID{"c", "d"}))
		for range 5 {
			le.reject("e")
		}
		Expect(le.Ready().Unsynced).To(BeEmpty())
		le.now += 70 * time.Millisecond
		le.Tick(le.now)
		Expect(le.sent(consensus.MessageAppend)).To(ContainElement(consensus.ReplicaID("e")), "a heartbeat")

		le.reply(consensus.Message{Kind: consensus.MessageSnapshotReply, From: "c", SnapshotDone: true})
		le.Ready()
		le.now += 70 * time.Millisecond
		le.Tick(le.now)
		Expect(le.sent(consensus.MessageSnapshot)).To(Equal([]consensus.ReplicaID{"e"}))
		Expect(le.opened).To(Equal(1))
		Expect(le.closed).To(Equal(0))
	})

	// Guards against followers that are sent one snapshot after the other.
	It("keeps the entries that follow the snapshot for the follower, though a newer one covers them", func() {
		le := newSendingLeader()
		le.reject("d")
		Expect(le.sent(consensus.MessageSnapshot)).To(HaveLen(1))
		for range 20 {
			_, err := le.Propose(le.now, [][]byte{[]byte("x")})
			Expect(err).NotTo(HaveOccurred())
			le.Advance(le.now, le.Ready())
		}
		for _, id := range []consensus.ReplicaID{"b", "c"} {
			le.reply(consensus.Message{Kind: consensus.MessageAppendReply, From: id, Index: 71})
		}
		le.Advance(le.now, le.Ready())
		le.Compact(70)
		for offset := uint64(8); offset < 80; offset += 8 {
			le.reply(consensus.Message{Kind: consensus.MessageSnapshotReply, From: "d", SnapshotOffset: offset})
		}
		le.Ready()
		le.reply(consensus.Message{Kind: consensus.MessageSnapshotReply, From: "d", SnapshotDone: true})
		Expect(le.sent(consensus.MessageAppend)).To(ContainElement(consensus.ReplicaID("d")))
		Expect(le.opened).To(Equal(1))
		le.Compact(70)
		_, ok := le.TermAt(69)
		Expect(ok).To(BeFalse(), "they are removed once nothing needs them")
	})

	It("repeats a chunk once for a reply that comes twice", func() {
		le := newSendingLeader()
		le.reject("d")
		Expect(le.sent(consensus.MessageSnapshot)).To(HaveLen(1))
		for range 3 {
			le.reply(consensus.Message{Kind: consensus.MessageSnapshotReply, From: "d", SnapshotOffset: 8})
		}
		Expect(le.sent(consensus.MessageSnapshot)).To(HaveLen(1))
		le.advance(400*time.Millisecond, "d")
		Expect(le.sent(consensus.MessageSnapshot)).To(HaveLen(1), "the chunk may be lost")
	})

	It("sends a chunk that the disk has not delivered once it has, and heartbeats meanwhile", func() {
		le := newSendingLeader()
		le.isDiskSlow = true
		le.reject("d")
		for range 10 { // longer than a follower may take nothing
			le.advance(400*time.Millisecond, "b", "c", "d")
			le.SendChunks(le.now)
			Expect(le.sent(consensus.MessageSnapshot)).To(BeEmpty())
			le.advance(70*time.Millisecond, "b", "c", "d")
			Expect(le.sent(consensus.MessageAppend)).To(ContainElement(consensus.ReplicaID("d")))
		}
		Expect(le.Role()).To(Equal(consensus.RoleLeader))
		Expect(le.opened).To(Equal(1))
		le.isDiskSlow = false
		le.SendChunks(le.now)
		le.SendChunks(le.now)
		Expect(le.sent(consensus.MessageSnapshot)).To(Equal([]consensus.ReplicaID{"d"}))
		le.advance(2*time.Second, "d")
		Expect(le.closed).To(Equal(0))
		Expect(le.opened).To(Equal(1))
	})

	It("ends for a follower that takes nothing for long, and closes the file", func() {
		le := newSendingLeader()
		le.reject("d")
		le.advance(2 * time.Second)
		Expect(le.closed).To(Equal(0))
		le.advance(2 * time.Second)
		Expect(le.opened).To(Equal(1), "none begins while the follower does not reply")
		Expect(le.closed).To(Equal(1))
		le.sent(consensus.MessageSnapshot)
		le.advance(100*time.Millisecond, "d")
		Expect(le.sent(consensus.MessageSnapshot)).To(Equal([]consensus.ReplicaID{"d"}))
		Expect(le.opened).To(Equal(2))
	})

	It("ends if the file can't be read, or with the leadership, and closes the file", func() {
		le := newSendingLeader()
		le.readError = errors.New("the disk refuses")
		le.reject("d")
		Expect(le.sent(consensus.MessageSnapshot)).To(BeEmpty())
		Expect(le.closed).To(Equal(1))
		le.readError = nil
		le.advance(70*time.Millisecond, "d")
		Expect(le.sent(consensus.MessageSnapshot)).To(HaveLen(1))
		Expect(le.closed).To(Equal(1))
		le.Resign(le.now)
		Expect(le.closed).To(Equal(2))
	})
})
