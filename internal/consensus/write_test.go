package consensus_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
)

// Guards against promises that a crash breaks, and against silence, while a disk writes for long.
var _ = Describe("a follower whose disk is writing", func() {
	const now = time.Second
	var re *consensus.Replica
	entries := func(term uint64, from, to uint64) []consensus.Entry {
		var out []consensus.Entry
		for i := from; i <= to; i++ {
			out = append(out, consensus.Entry{Index: i, Term: term, Data: []byte{byte(term)}})
		}

		return out
	}
	// step passes a message of "b", and returns what the replica sends without a write.
	step := func(m consensus.Message) []consensus.Message {
		m.Group, m.From, m.To = 1, "b", "a"
		re.Step(now, m)

		return re.ReadyUnsynced().Unsynced
	}
	commit := uint64(2)
	appended := func(term, prev, prevTerm uint64, es []consensus.Entry) []consensus.Message {
		return step(consensus.Message{Kind: consensus.MessageAppend, Term: term, Index: prev, LogTerm: prevTerm, Entries: es, Commit: commit, Round: 7})
	}
	// acknowledged returns the indexes that accepting replies name.
	acknowledged := func(ms []consensus.Message) []uint64 {
		out := []uint64{}
		for _, m := range ms {
			if m.Kind == consensus.MessageAppendReply && !m.Reject {
				Expect(m.Round).To(Equal(uint64(7)))
				out = append(out, m.Index)
			}
		}

		return out
	}

	BeforeEach(func() {
		commit = 2
		re = consensus.New(consensus.Config{
			ID: "a", Group: 1, ElectionTimeout: 300 * time.Millisecond, HeartbeatPeriod: 60 * time.Millisecond,
			Random: func(int64) int64 { return 0 }, OpenSnapshot: func() *consensus.SnapshotSource { return nil },
			HardState: consensus.HardState{Term: 1}, Entries: entries(1, 1, 3),
			Snapshot: consensus.Snapshot{Membership: consensus.Membership{Voters: []consensus.ReplicaID{"a", "b", "c"}}},
		}, 0)
	})

	It("answers heartbeats for what is stored, and new entries once they are stored", func() {
		Expect(acknowledged(appended(1, 3, 1, entries(1, 4, 6)))).To(Equal([]uint64{3}), "the leader hears from it")
		rd := re.Ready()
		Expect(rd.Entries).To(HaveLen(3))
		Expect(acknowledged(rd.Messages)).To(Equal([]uint64{6}))
		for range 3 {
			Expect(acknowledged(appended(1, 6, 1, nil))).To(Equal([]uint64{3}))
			Expect(acknowledged(appended(1, 3, 1, entries(1, 4, 6)))).To(Equal([]uint64{3}), "a repeated append")
		}
		re.Advance(now, rd)
		Expect(acknowledged(appended(1, 6, 1, nil))).To(Equal([]uint64{6}))
	})

	It("answers nothing of a term that is not stored", func() {
		Expect(appended(2, 3, 1, nil)).To(BeEmpty())
		rd := re.Ready()
		Expect(rd.HardState).To(HaveValue(Equal(consensus.HardState{Term: 2})))
		Expect(appended(2, 3, 1, nil)).To(BeEmpty())
		Expect(appended(2, 9, 2, nil)).To(BeEmpty(), "a rejection")
		re.Advance(now, rd)
		Expect(acknowledged(appended(2, 3, 1, nil))).To(Equal([]uint64{3}))
	})

	It("votes only once the vote is stored, whatever is written before it", func() {
		appended(1, 3, 1, entries(1, 4, 6))
		rd := re.Ready()
		later := now + time.Second // the leader is lost
		re.Step(later, consensus.Message{Kind: consensus.MessageVote, Group: 1, From: "c", To: "a", Term: 2, Index: 6, LogTerm: 1})
		Expect(re.ReadyUnsynced()).To(BeZero())
		re.Advance(later, rd)
		rd = re.Ready()
		Expect(rd.HardState).To(HaveValue(Equal(consensus.HardState{Term: 2, Vote: "c"})))
		Expect(rd.Unsynced).To(BeEmpty())
		Expect(rd.Messages).To(HaveLen(1))
		Expect(rd.Messages[0].Reject).To(BeFalse())
	})

	for _, tc := range []struct {
		name     string
		replace  []consensus.Entry
		prevTerm uint64
		stored   uint64 // index up to which the first write counts
	}{
		{"all of them", entries(2, 4, 5), 1, 3},
		{"the last ones", entries(2, 6, 8), 1, 5},
		{"all with more than there were", entries(2, 4, 9), 1, 3},
	} {
		It("counts no entries of a write that the next leader replaces meanwhile: "+tc.name, func() {
			appended(1, 3, 1, entries(1, 4, 6))
			first := re.Ready()
			prev := tc.replace[0].Index - 1
			Expect(appended(2, prev, tc.prevTerm, tc.replace)).To(BeEmpty())
			Expect(first.Entries).To(Equal(entries(1, 4, 6)), "what is written does not change")
			re.Advance(now, first)

			second := re.Ready()
			last := tc.replace[len(tc.replace)-1].Index
			Expect(second.Entries).To(Equal(tc.replace))
			Expect(acknowledged(second.Messages)).To(Equal([]uint64{last}))
			re.Advance(now, consensus.Ready{HardState: second.HardState}) // to see what counts of the first write
			Expect(acknowledged(appended(2, last, 2, nil))).To(Equal([]uint64{tc.stored}))
			re.Advance(now, second)
			Expect(acknowledged(appended(2, last, 2, nil))).To(Equal([]uint64{last}))
		})
	}

	It("counts nothing of a write for the snapshot that it installs meanwhile, nor for the entries after it", func() {
		appended(1, 3, 1, entries(1, 4, 9))
		first := re.Ready()
		step(consensus.Message{
			Kind: consensus.MessageSnapshot, Term: 1, Index: 6, LogTerm: 1, SnapshotDone: true, Chunk: []byte("x"),
			Membership: consensus.Membership{Voters: []consensus.ReplicaID{"a", "b", "c"}},
		})
		commit = 9
		Expect(appended(1, 6, 1, entries(1, 7, 9))).To(BeEmpty())
		re.Advance(now, first)
		Expect(re.ReadyUnsynced().Committed).To(BeEmpty(), "the snapshot is applied before them")
		Expect(appended(1, 9, 1, nil)).To(BeEmpty(), "the snapshot is not stored")

		second := re.Ready()
		Expect(second.Snapshot.Index).To(Equal(uint64(6)))
		Expect(second.Entries).To(Equal(entries(1, 7, 9)))
		Expect(second.Committed).To(BeEmpty())
		Expect(appended(1, 9, 1, nil)).To(BeEmpty())
		re.Advance(now, second)
		Expect(acknowledged(appended(1, 9, 1, nil))).To(Equal([]uint64{9}))
	})
})

var _ = Describe("a leader whose disk is writing", func() {
	newReplica := func(m consensus.Membership) *consensus.Replica {
		return consensus.New(consensus.Config{
			ID: "a", Group: 1, ElectionTimeout: 300 * time.Millisecond, HeartbeatPeriod: 60 * time.Millisecond,
			Random: func(int64) int64 { return 0 }, OpenSnapshot: func() *consensus.SnapshotSource { return nil },
			HardState: consensus.HardState{Term: 1}, Snapshot: consensus.Snapshot{Membership: m},
		}, 0)
	}

	It("commits with the followers alone, counts itself once it has stored, and applies only then", func() {
		re := newReplica(consensus.Membership{Voters: []consensus.ReplicaID{"a", "b", "c"}})
		re.Tick(time.Second)
		for _, kind := range []consensus.MessageKind{consensus.MessagePreVoteReply, consensus.MessageVoteReply} {
			re.Advance(time.Second, re.Ready())
			re.Step(time.Second, consensus.Message{Kind: kind, Group: 1, From: "b", To: "a", Term: 2})
		}
		Expect(re.Role()).To(Equal(consensus.RoleLeader))
		rd := re.Ready()
		Expect(rd.Entries).To(HaveLen(1))
		acknowledge := func(from consensus.ReplicaID) {
			re.Step(time.Second, consensus.Message{Kind: consensus.MessageAppendReply, Group: 1, From: from, To: "a", Term: 2, Index: 1})
		}
		acknowledge("b")
		Expect(re.Commit()).To(BeZero(), "its own entry is not stored")
		acknowledge("c")
		Expect(re.Commit()).To(Equal(uint64(1)))
		Expect(re.ReadyUnsynced().Committed).To(BeEmpty())
		re.Advance(time.Second, rd)
		Expect(re.ReadyUnsynced().Committed).To(HaveLen(1))
	})

	It("sends no entries of a term that is not stored, though it needs no other vote", func() {
		re := newReplica(consensus.Membership{Voters: []consensus.ReplicaID{"a"}, Learners: []consensus.ReplicaID{"b"}})
		re.Tick(time.Second)
		Expect(re.Role()).To(Equal(consensus.RoleLeader))
		rd := re.Ready()
		Expect(rd.Unsynced).To(BeEmpty())
		Expect(rd.Messages).NotTo(BeEmpty())
		re.Tick(2 * time.Second)
		Expect(re.ReadyUnsynced().Unsynced).To(BeEmpty())
		re.Advance(2*time.Second, rd)
		re.Tick(3 * time.Second)
		Expect(re.ReadyUnsynced().Unsynced).NotTo(BeEmpty())
	})
})

var _ = Describe("replicas whose disks write for longer than an election takes", func() {
	const writeTime = 2 * time.Second

	It("keep their leader, and commit as soon as a quorum has stored", func() {
		for _, seed := range seeds(10) {
			s := newStableSimulation(seed, 3)
			ld, term := s.leader(), s.leader().replica.Term()
			for _, n := range s.nodes {
				n.fixedWriteTime = writeTime
			}
			before := s.highestCommit
			for range 100 {
				s.proposeAt(ld, "slow")
				s.advance(50 * time.Millisecond)
			}
			s.advance(6 * writeTime) // MaxInFlight holds back a part until the first ones are stored
			Expect(ld.replica.Role()).To(Equal(consensus.RoleLeader))
			Expect(ld.replica.Term()).To(Equal(term), "the term changed")
			Expect(s.highestCommit).To(Equal(before + 100))
		}
	})

	It("end up with the entries of the next leader if it replaces those that the former one is writing", func() {
		for _, seed := range seeds(10) {
			s := newStableSimulation(seed, 3)
			old := s.leader()
			old.fixedWriteTime = writeTime
			for _, n := range s.nodes {
				s.blockedLinks[[2]consensus.ReplicaID{old.id, n.id}] = true
			}
			for range 3 {
				s.proposeAt(old, "old")
			}
			next := s.waitForOtherLeader(old)
			for range 2 {
				s.proposeAt(next, "new")
			}
			s.advance(100 * time.Millisecond)
			s.blockedLinks = map[[2]consensus.ReplicaID]bool{}
			s.advance(3 * writeTime)
			Expect(s.events["replacedWrite"]).To(Equal(1))
			Expect(old.applied).To(Equal(s.highestCommit))
			Expect(old.state).To(Equal(next.state))
			Expect(old.entries).To(Equal(next.entries))
		}
	})
})
