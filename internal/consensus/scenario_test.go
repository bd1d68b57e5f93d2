package consensus_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
)

// newStableSimulation returns a simulation without random faults that has a leader.
func newStableSimulation(seed uint64, founders int) *simulation {
	s := newSimulation(seed, founders)
	s.faultsDisabled = true
	s.advance(2 * time.Second)
	Expect(s.leader()).NotTo(BeNil())

	return s
}

// advance runs the simulation for d without random events.
func (s *simulation) advance(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += time.Millisecond {
		s.deliver()
		for _, n := range s.alive() {
			n.replica.SendChunks(n.clock(s.now))
			n.replica.Tick(n.clock(s.now))
			s.flush(n)
		}
		s.checkLeaders()
	}
}

// isolate blocks all messages to and from a replica.
func (s *simulation) isolate(n *simNode) {
	for _, o := range s.nodes {
		s.blockedLinks[[2]consensus.ReplicaID{n.id, o.id}] = true
		s.blockedLinks[[2]consensus.ReplicaID{o.id, n.id}] = true
	}
}

func (s *simulation) proposeAt(n *simNode, data string) {
	_, err := n.replica.Propose(n.clock(s.now), [][]byte{[]byte(data)})
	Expect(err).NotTo(HaveOccurred())
	s.flush(n)
}

// waitForOtherLeader waits until a replica other than n is the leader.
func (s *simulation) waitForOtherLeader(n *simNode) *simNode {
	for range 3000 {
		s.advance(time.Millisecond)
		for _, o := range s.alive() {
			if o != n && o.replica.Role() == consensus.RoleLeader {
				return o
			}
		}
	}
	Fail("no other leader was elected")

	return nil
}

var _ = Describe("a partitioned leader", func() {
	It("serves no reads once another leader has committed an entry", func() {
		overlaps := 0
		for _, seed := range seeds(20) {
			s := newStableSimulation(seed, 3)
			old := s.leader()
			s.isolate(old)
			next := s.waitForOtherLeader(old)
			s.advance(30 * time.Millisecond)
			s.proposeAt(next, "new")
			s.advance(30 * time.Millisecond)
			if old.replica.Role() == consensus.RoleLeader {
				overlaps++
				s.commitAtRead[1] = s.highestCommit
				Expect(old.replica.ReadIndex(old.clock(s.now), 1)).To(Succeed())
				s.flush(old) // the check of every read is in flush
			}
			s.advance(2 * time.Second)
			Expect(old.replica.Role()).NotTo(Equal(consensus.RoleLeader), "a leader without a quorum steps down by its own clock")
		}
		Expect(overlaps).To(BeNumerically(">", 0), "no seed produced two concurrent leaders, so the test checked nothing")
	})

	It("discards its uncommitted entries and catches up after the partition", func() {
		s := newStableSimulation(3, 3)
		old := s.leader()
		s.isolate(old)
		s.proposeAt(old, "never committed")
		next := s.waitForOtherLeader(old)
		for range 100 {
			s.proposeAt(next, "kept")
			s.advance(20 * time.Millisecond)
		}
		s.advance(time.Hour / 60)
		s.blockedLinks = map[[2]consensus.ReplicaID]bool{}
		s.advance(3 * time.Second)
		Expect(old.applied).To(Equal(s.highestCommit))
		Expect(old.state).To(Equal(next.state))
		Expect(s.leader()).To(Equal(next), "the returning replica must not force an election")
	})
})

var _ = Describe("a follower that lags far behind", func() {
	const missingEntries, entryBytes = 400, 10_000

	// newLeader returns a leader of three replicas with entries that the follower "b" does not have.
	newLeader := func() *consensus.Replica {
		re := consensus.New(consensus.Config{
			ID: "a", Group: 1, ElectionTimeout: 300 * time.Millisecond, HeartbeatPeriod: 60 * time.Millisecond,
			Random: func(int64) int64 { return 0 }, OpenSnapshot: func() *consensus.SnapshotSource { return nil },
			Snapshot: consensus.Snapshot{Membership: consensus.Membership{Voters: []consensus.ReplicaID{"a", "b", "c"}}},
		}, 0)
		re.Tick(time.Second)
		re.Step(time.Second, consensus.Message{Kind: consensus.MessagePreVoteReply, Group: 1, From: "c", To: "a", Term: 1})
		re.Step(time.Second, consensus.Message{Kind: consensus.MessageVoteReply, Group: 1, From: "c", To: "a", Term: 1})
		Expect(re.Role()).To(Equal(consensus.RoleLeader))
		for range missingEntries {
			_, err := re.Propose(time.Second, [][]byte{make([]byte, entryBytes)})
			Expect(err).NotTo(HaveOccurred())
		}

		return re
	}
	// takeSentBytes takes the pending messages and returns the number of entry bytes sent to "b".
	takeSentBytes := func(re *consensus.Replica) int {
		rd, n := re.Ready(), 0
		re.Advance(time.Second, rd)
		for _, m := range rd.Unsynced {
			for _, en := range m.Entries {
				if m.To == "b" {
					n += len(en.Data)
				}
			}
		}

		return n
	}

	It("is not sent entries again for each queued heartbeat that it rejects", func() {
		re := newLeader()
		takeSentBytes(re)
		n := 0
		for i := range 200 {
			re.Step(time.Second, consensus.Message{
				Kind: consensus.MessageAppendReply, Group: 1, From: "b", To: "a", Term: 1, Reject: true, Index: uint64(i + 2), Hint: 0,
			})
			n += takeSentBytes(re)
		}
		Expect(n).To(BeNumerically("<", 3<<20), "one message holds at most 1 MiB of entries")
	})

	It("receives the missing entries once it replies to a probe", func() {
		re := newLeader()
		takeSentBytes(re)
		now, match := time.Second, uint64(0)
		for range 100 {
			now += 10 * time.Millisecond
			re.Tick(now)
			rd := re.Ready()
			for _, m := range rd.Unsynced {
				if m.To != "b" || m.Kind != consensus.MessageAppend {
					continue
				}
				rep := consensus.Message{Kind: consensus.MessageAppendReply, Group: 1, From: "b", To: "a", Term: 1, Round: m.Round, Index: m.Index}
				if rep.Reject = m.Index > match; rep.Reject {
					rep.Hint = match
				} else {
					match = max(match, m.Index+uint64(len(m.Entries)))
					rep.Index = m.Index + uint64(len(m.Entries))
				}
				re.Step(now, rep)
			}
		}
		Expect(match).To(Equal(uint64(missingEntries + 1)))
	})
})

// Guards against heartbeats that wait in a stream behind hundreds of megabytes of entries.
var _ = Describe("a follower that is slow to store entries", func() {
	const entryBytes, maxInFlightBytes = 64 << 10, 4 << 20
	for _, tc := range []struct {
		name       string
		reads      int // of 10 ms each, after which the follower reads a message; 0 for each message at once
		heartbeats int // that it reads in 12 s
	}{
		{"and reads its messages at once", 0, 100},
		{"and pauses for longer than an election timeout between two messages", 40, 1},
	} {
		It("is sent no more of them than fit in flight, with heartbeats, and all of them in the end: one that is alive "+tc.name, func() {
			now := time.Second
			re := consensus.New(consensus.Config{
				ID: "a", Group: 1, ElectionTimeout: 300 * time.Millisecond, HeartbeatPeriod: 60 * time.Millisecond,
				Random: func(int64) int64 { return 0 }, OpenSnapshot: func() *consensus.SnapshotSource { return nil },
				Snapshot: consensus.Snapshot{Membership: consensus.Membership{Voters: []consensus.ReplicaID{"a", "b", "c"}}},
			}, 0)
			re.Tick(now)
			for _, kind := range []consensus.MessageKind{consensus.MessagePreVoteReply, consensus.MessageVoteReply} {
				re.Step(now, consensus.Message{Kind: kind, Group: 1, From: "c", To: "a", Term: 1})
			}
			Expect(re.Role()).To(Equal(consensus.RoleLeader))

			// The stream to "b", and what it has read and not stored.
			var stream, unstored []consensus.Message
			stored, received, heartbeats := uint64(0), uint64(0), 0
			reply := func(from consensus.ReplicaID, index, round uint64) {
				re.Step(now, consensus.Message{Kind: consensus.MessageAppendReply, Group: 1, From: from, To: "a", Term: 1, Index: index, Round: round})
			}
			read := func(m consensus.Message) {
				switch {
				case m.Index > received:
					Fail("entries are left out")
				case len(m.Entries) == 0:
					heartbeats++
					reply("b", stored, m.Round)
				default:
					if last := m.Index + uint64(len(m.Entries)); last > received {
						received, unstored = last, append(unstored, m)
					}
				}
			}
			take := func() {
				rd := re.Ready()
				re.Advance(now, rd)
				for _, m := range append(rd.Unsynced, rd.Messages...) {
					switch {
					case m.Kind != consensus.MessageAppend:
					case m.To == "c":
						reply("c", m.Index+uint64(len(m.Entries)), m.Round)
					default:
						stream = append(stream, m)
					}
				}
			}
			for i := range 1200 {
				now += 10 * time.Millisecond
				_, err := re.Propose(now, [][]byte{make([]byte, entryBytes)})
				Expect(err).NotTo(HaveOccurred())
				re.Tick(now)
				take()
				for len(stream) > 0 && (tc.reads == 0 || i%tc.reads == 0) {
					m := stream[0]
					stream = stream[1:]
					read(m)
					if tc.reads > 0 {
						break
					}
				}
				Expect(entriesBytes(stream)).To(BeNumerically("<=", maxInFlightBytes+1<<20), "one message more than the bound")
				Expect(entriesBytes(unstored)).To(BeNumerically("<=", maxInFlightBytes+1<<20), "one message more than the bound")
			}
			Expect(heartbeats).To(BeNumerically(">=", tc.heartbeats))
			Expect(re.Role()).To(Equal(consensus.RoleLeader))

			for range 3000 {
				now += 10 * time.Millisecond
				re.Tick(now)
				take()
				for len(stream) > 0 {
					m := stream[0]
					stream = stream[1:]
					read(m)
				}
				if len(unstored) > 0 {
					m := unstored[0]
					unstored = unstored[1:]
					stored = max(stored, m.Index+uint64(len(m.Entries)))
					reply("b", stored, m.Round)
				}
			}
			Expect(stored).To(BeNumerically(">", 1200))
		})
	}
})

func entriesBytes(messages []consensus.Message) int {
	n := 0
	for _, m := range messages {
		for _, en := range m.Entries {
			n += len(en.Data)
		}
	}

	return n
}

var _ = Describe("two followers that need a snapshot", func() {
	It("share one open file of its data, which is closed after both", func() {
		opened, closed := 0, 0
		re := consensus.New(consensus.Config{
			ID: "a", Group: 1, ElectionTimeout: 300 * time.Millisecond, HeartbeatPeriod: 60 * time.Millisecond,
			Random: func(int64) int64 { return 0 }, OpenSnapshot: func() *consensus.SnapshotSource {
				opened++
				so := sourceOf(consensus.Snapshot{Index: 50, Term: 1, Data: make([]byte, 1<<20)})
				so.Close = func() { closed++ }

				return so
			},
			HardState: consensus.HardState{Term: 1},
			Snapshot:  consensus.Snapshot{Index: 50, Term: 1, Membership: consensus.Membership{Voters: []consensus.ReplicaID{"a", "b", "c", "d", "e"}}},
		}, 0)
		re.Tick(time.Second)
		for _, kind := range []consensus.MessageKind{consensus.MessagePreVoteReply, consensus.MessageVoteReply} {
			for _, from := range []consensus.ReplicaID{"b", "c"} {
				re.Step(time.Second, consensus.Message{Kind: kind, Group: 1, From: from, To: "a", Term: 2})
			}
		}
		Expect(re.Role()).To(Equal(consensus.RoleLeader))
		re.Advance(time.Second, re.Ready())
		for _, from := range []consensus.ReplicaID{"d", "e"} {
			re.Step(time.Second, consensus.Message{Kind: consensus.MessageAppendReply, Group: 1, From: from, To: "a", Term: 2, Reject: true, Index: 50})
		}
		chunks := map[consensus.ReplicaID]int{}
		for _, m := range re.Ready().Unsynced {
			if m.Kind == consensus.MessageSnapshot {
				chunks[m.To]++
			}
		}
		Expect(chunks).To(Equal(map[consensus.ReplicaID]int{"d": 1, "e": 1}))
		Expect(opened).To(Equal(1))
		Expect(closed).To(Equal(0))
		for i, from := range []consensus.ReplicaID{"d", "e"} {
			re.Step(time.Second, consensus.Message{
				Kind: consensus.MessageSnapshotReply, Group: 1, From: from, To: "a", Term: 2, Index: 50, SnapshotDone: true,
			})
			Expect(closed).To(Equal(i))
		}
	})
})

var _ = Describe("the replacement of a voter", func() {
	// A spare replaces a voter whose disk was lost: it joins as a learner, is promoted, and
	// the lost voter is removed.
	steps := []string{"before the spare joins", "while the spare is a learner", "after the promotion", "after the removal"}
	for at, name := range steps {
		It("loses no committed entry when a second VM fails "+name, func() {
			s := newStableSimulation(uint64(40+at), 3)
			ld := s.leader()
			for range 50 {
				s.proposeAt(ld, "accepted")
			}
			s.advance(time.Second)
			before := s.highestCommit
			var dead, second *simNode
			for _, n := range s.nodes {
				switch {
				case n == ld:
				case dead == nil:
					dead = n
				default:
					second = n
				}
			}
			dead.diskLost = true
			var spare *simNode
			stages := []func(){
				func() {
					_, err := ld.replica.ProposeMembership(ld.clock(s.now), ld.replica.Membership().WithLearner("spare"))
					Expect(err).NotTo(HaveOccurred())
					spare = s.addNode("spare", s.nodes[0].bootstrap)
					s.flush(ld)
				},
				func() {
					_, err := ld.replica.ProposeMembership(ld.clock(s.now), ld.replica.Membership().WithVoter("spare"))
					Expect(err).NotTo(HaveOccurred())
					s.flush(ld)
				},
				func() {
					_, err := ld.replica.ProposeMembership(ld.clock(s.now), ld.replica.Membership().Without(dead.id))
					Expect(err).NotTo(HaveOccurred())
					s.flush(ld)
				},
			}
			for i, stage := range stages {
				if i == at {
					break
				}
				stage()
				s.advance(500 * time.Millisecond)
			}
			s.crash(second) // its disk survives; it restarts below
			s.advance(2 * time.Second)
			s.boot(second)
			s.advance(4 * time.Second)
			now := s.leader()
			Expect(now).NotTo(BeNil(), "the group has a leader once the second VM is back")
			s.proposeAt(now, "after")
			s.advance(time.Second)
			Expect(s.highestCommit).To(BeNumerically(">", before))
			for _, n := range []*simNode{second, spare} {
				if n != nil {
					Expect(n.applied).To(Equal(s.highestCommit), "%s is missing entries", n.id)
				}
			}
		})
	}
})
