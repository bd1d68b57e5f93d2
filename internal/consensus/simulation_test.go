package consensus_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
)

// simulation runs replicas with a seeded random schedule of messages, clock rates,
// crashes, lost disks and partitions, and checks invariants after each step.
type simulation struct {
	rnd            *rand.Rand
	now            time.Duration
	nodes          []*simNode
	inFlight       []delayedMessage
	blockedLinks   map[[2]consensus.ReplicaID]bool // pairs of sender and receiver whose messages are lost
	leaderByTerm   map[uint64]consensus.ReplicaID
	committed      map[uint64]string // committed entries by index
	highestCommit  uint64            // highest index that any replica applied
	lastNumber     int
	commitAtRead   map[uint64]uint64 // highestCommit when the read started, by read context
	events         map[string]int    // counts of events, to check that the run covered them
	faultsDisabled bool              // no further random faults

	states    map[uint64]string      // state after each index
	encodings map[snapshotKey][]byte // data of each snapshot that was taken
	damaged   map[string]bool        // chunks that were damaged on their way, as described by chunkText
	sentTo    map[transferKey]uint64 // end of the furthest chunk of each transfer
}

type delayedMessage struct {
	due time.Duration
	m   consensus.Message
}

// simNode is a replica and its disk.
type simNode struct {
	id        consensus.ReplicaID
	replica   *consensus.Replica
	hs        consensus.HardState
	snapshot  consensus.Snapshot
	entries   []consensus.Entry
	bootstrap consensus.Membership
	applied   uint64
	writing   *simWrite
	slowUntil time.Duration

	fixedWriteTime time.Duration // of each write; random if 0
	state          string        // state machine: a hash chain over all applied commands
	clockRate      float64
	down           bool
	diskLost       bool // the replica never restarts
	pausedUntil    time.Duration

	part          storedPart // of a snapshot that is being received
	partIsDamaged bool       // a damaged chunk was stored in it
	opened        int        // snapshots that are open to be sent
}

func newSimulation(seed uint64, founders int) *simulation {
	s := &simulation{
		rnd: rand.New(rand.NewPCG(seed, 7)), blockedLinks: map[[2]consensus.ReplicaID]bool{}, leaderByTerm: map[uint64]consensus.ReplicaID{},
		committed: map[uint64]string{}, commitAtRead: map[uint64]uint64{}, events: map[string]int{},
		states: map[uint64]string{}, encodings: map[snapshotKey][]byte{}, damaged: map[string]bool{}, sentTo: map[transferKey]uint64{},
	}
	var m consensus.Membership
	for i := range founders {
		m.Voters = append(m.Voters, consensus.ReplicaID(fmt.Sprintf("r%d", i)))
	}
	for _, id := range m.Voters {
		s.addNode(id, m)
	}

	return s
}

func (s *simulation) addNode(id consensus.ReplicaID, bootstrap consensus.Membership) *simNode {
	n := &simNode{id: id, bootstrap: bootstrap, snapshot: consensus.Snapshot{Membership: bootstrap}}
	n.clockRate = 0.9 + 0.2*s.rnd.Float64()
	s.nodes = append(s.nodes, n)
	s.boot(n)

	return n
}

func (n *simNode) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now) * n.clockRate)
}

func (s *simulation) boot(n *simNode) {
	n.down = false
	n.part, n.partIsDamaged, n.opened = storedPart{}, false, 0
	n.applied, n.state = n.snapshot.Index, decodeState(n.snapshot.Data)
	if n.snapshot.Index == 0 {
		n.state = ""
	}
	n.replica = consensus.New(consensus.Config{
		ID: n.id, Group: 1, ElectionTimeout: 300 * time.Millisecond, HeartbeatPeriod: 60 * time.Millisecond,
		MaxAppendBytes: 400, MaxInFlight: 40, MaxInFlightBytes: 800, ChunkBytes: 8, Random: s.rnd.Int64N,
		OpenSnapshot: n.openSnapshot,
		HardState:    n.hs, Snapshot: n.snapshot, Entries: slices.Clone(n.entries),
	}, n.clock(s.now))
}

func (s *simulation) persist(n *simNode, rd *consensus.Ready) {
	if rd.HardState != nil {
		n.hs = *rd.HardState
	}
	if rd.Snapshot != nil {
		n.snapshot, n.entries = n.part.complete(*rd.Snapshot), nil
		s.events["snapshot"]++
	}
	for _, en := range rd.Entries {
		at := int(en.Index - n.snapshot.Index - 1)
		if len(n.entries) > 0 {
			at = int(en.Index - n.entries[0].Index)
		}
		Expect(at).To(BeNumerically(">=", 0))
		Expect(at).To(BeNumerically("<=", len(n.entries)), "the stored log of %s has a gap", n.id)
		n.entries = append(n.entries[:at:at], en)
	}
}

func (s *simulation) apply(n *simNode, rd *consensus.Ready) {
	for _, en := range rd.Committed {
		Expect(en.Index).To(Equal(n.applied+1), "%s applies entries out of order", n.id)
		n.applied = en.Index
		text := fmt.Sprintf("%d/%d/%s", en.Term, en.Kind, en.Data)
		if old, ok := s.committed[en.Index]; ok {
			Expect(text).To(Equal(old), "two different entries are committed at index %d", en.Index)
		}
		s.committed[en.Index] = text
		if en.Kind == consensus.EntryCommand {
			n.state = fmt.Sprintf("%x", hashChain(n.state, en.Data))
		}
		s.recordState(en.Index, n.state)
		s.highestCommit = max(s.highestCommit, en.Index)
		s.events["applied"]++
		if en.Index%snapshotPeriod == 0 && s.rnd.IntN(3) > 0 {
			s.compact(n)
		}
	}
}

func hashChain(state string, data []byte) uint64 {
	h := uint64(14695981039346656037)
	for _, b := range append([]byte(state), data...) {
		h = (h ^ uint64(b)) * 1099511628211
	}

	return h
}

func (s *simulation) compact(n *simNode) {
	term, ok := n.replica.TermAt(n.applied)
	Expect(ok).To(BeTrue())
	n.snapshot = consensus.Snapshot{Index: n.applied, Term: term, Membership: n.replica.MembershipAt(n.applied), Data: s.encodeState(n.applied, n.state)}
	s.recordEncoding(n.snapshot)
	n.replica.Compact(n.applied - 5)
	kept := n.entries[:0:0]
	for _, en := range n.entries {
		if en.Index > n.applied {
			kept = append(kept, en)
		}
	}
	n.entries = kept
	s.events["compact"]++
}

func (s *simulation) sendAll(ms []consensus.Message) {
	for _, m := range ms {
		if s.blockedLinks[[2]consensus.ReplicaID{m.From, m.To}] || (!s.faultsDisabled && s.rnd.IntN(50) == 0) {
			continue
		}
		if m.Kind == consensus.MessageSnapshot {
			s.sendChunk(m)

			continue
		}
		d := time.Duration(s.rnd.Int64N(int64(10 * time.Millisecond)))
		if s.rnd.IntN(30) == 0 {
			d *= 40 // reordered behind later messages
		}
		s.inFlight = append(s.inFlight, delayedMessage{s.now + d, m})
		if s.rnd.IntN(40) == 0 {
			s.inFlight = append(s.inFlight, delayedMessage{s.now + 2*d, m})
		}
	}
}

func (s *simulation) crash(n *simNode) {
	n.down, n.replica = true, nil
	s.tearWrite(n)
	s.events["crash"]++
}

func (s *simulation) node(id consensus.ReplicaID) *simNode {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}

	return nil
}

func (s *simulation) alive() []*simNode {
	var out []*simNode
	for _, n := range s.nodes {
		if !n.down && !n.diskLost && s.now >= n.pausedUntil {
			out = append(out, n)
		}
	}

	return out
}

func (s *simulation) leader() *simNode {
	var best *simNode
	for _, n := range s.alive() {
		if n.replica.Role() == consensus.RoleLeader && (best == nil || n.replica.Term() > best.replica.Term()) {
			best = n
		}
	}

	return best
}

// randomStep advances time a little, delivers due messages and triggers at most one random event.
func (s *simulation) randomStep() {
	s.now += time.Duration(s.rnd.Int64N(int64(3 * time.Millisecond)))
	s.deliver()
	for _, n := range s.alive() {
		n.replica.SendChunks(n.clock(s.now))
		n.replica.Tick(n.clock(s.now))
		s.flush(n)
	}
	switch r := s.rnd.IntN(1000); {
	case r < 200:
		s.proposeAtLeaders()
	case r < 240:
		s.readAtLeaders()
	case r < 244:
		s.crashOne()
	case r < 264:
		s.restartOne()
	case r < 272:
		s.loseOneDisk()
	case r < 282:
		s.changeMembership()
	case r < 286:
		s.partition()
	case r < 290:
		s.blockedLinks = map[[2]consensus.ReplicaID]bool{}
	case r < 292:
		s.pauseOne()
	case r < 294:
		if n := s.leader(); n != nil {
			n.replica.TransferLeadership(n.clock(s.now))
			s.flush(n)
		}
	case r < 300:
		s.disturbTransfer()
	case r < 301:
		s.slowDownOneDisk()
	}
	s.checkLeaders()
}

func (s *simulation) deliver() {
	due := s.inFlight[:0:0]
	rest := s.inFlight[:0:0]
	for _, f := range s.inFlight {
		if f.due <= s.now {
			due = append(due, f)
		} else {
			rest = append(rest, f)
		}
	}
	s.inFlight = rest
	for _, f := range due {
		n := s.node(f.m.To)
		if n == nil || n.down || n.diskLost || s.now < n.pausedUntil {
			continue
		}
		n.replica.Step(n.clock(s.now), f.m)
		s.flush(n)
	}
}

func (s *simulation) proposeAtLeaders() {
	for _, n := range s.alive() {
		if n.replica.Role() != consensus.RoleLeader {
			continue
		}
		s.lastNumber++
		if _, err := n.replica.Propose(n.clock(s.now), [][]byte{[]byte(strconv.Itoa(s.lastNumber))}); err == nil {
			s.events["propose"]++
		}
		s.flush(n)
	}
}

func (s *simulation) readAtLeaders() {
	for _, n := range s.alive() {
		if n.replica.Role() != consensus.RoleLeader {
			continue
		}
		s.lastNumber++
		s.commitAtRead[uint64(s.lastNumber)] = s.highestCommit
		_ = n.replica.ReadIndex(n.clock(s.now), uint64(s.lastNumber))
		s.flush(n)
	}
}

// voters returns the voters in the leader's membership.
func (s *simulation) voters() []consensus.ReplicaID {
	if n := s.leader(); n != nil {
		return n.replica.Membership().Voters
	}

	return nil
}

// checkLeaders checks that each term has at most one leader.
func (s *simulation) checkLeaders() {
	for _, n := range s.nodes {
		if n.down || n.diskLost || n.replica.Role() != consensus.RoleLeader {
			continue
		}
		if old, ok := s.leaderByTerm[n.replica.Term()]; ok {
			Expect(old).To(Equal(n.id), "two leaders in term %d", n.replica.Term())
		}
		s.leaderByTerm[n.replica.Term()] = n.id
	}
}

// healAndVerify ends all faults, then checks that the group makes progress and its states agree.
func (s *simulation) healAndVerify() {
	s.faultsDisabled = true
	s.blockedLinks = map[[2]consensus.ReplicaID]bool{}
	for _, n := range s.nodes {
		n.pausedUntil = 0
		if n.down && !n.diskLost {
			s.boot(n)
		}
	}
	before := s.highestCommit
	for i := range 20_000 {
		s.now += time.Millisecond
		s.deliver()
		for _, n := range s.alive() {
			n.replica.SendChunks(n.clock(s.now))
			n.replica.Tick(n.clock(s.now))
			s.flush(n)
		}
		for _, n := range s.nodes {
			if n.down && !n.diskLost {
				s.boot(n)
			}
		}
		s.checkLeaders()
		if i%200 == 0 {
			s.proposeAtLeaders()
		}
	}
	Expect(s.highestCommit).To(BeNumerically(">", before), "the group makes no progress after all faults ended")

	ld := s.leader()
	Expect(ld).NotTo(BeNil())
	states := map[uint64]string{}
	for _, n := range s.alive() {
		if !ld.replica.Membership().IsVoter(n.id) {
			continue
		}
		if old, ok := states[n.applied]; ok {
			Expect(n.state).To(Equal(old), "the states of two replicas differ at index %d", n.applied)
		}
		states[n.applied] = n.state
	}
}

// seeds returns n consecutive seeds. TAMARACKBAY_SEEDS overrides n, and
// TAMARACKBAY_FIRST_SEED the first seed.
func seeds(n int) []uint64 {
	first := uint64(1)
	if v, err := strconv.Atoi(os.Getenv("TAMARACKBAY_SEEDS")); err == nil {
		n = v
	}
	if v, err := strconv.ParseUint(os.Getenv("TAMARACKBAY_FIRST_SEED"), 10, 64); err == nil {
		first = v
	}
	out := make([]uint64, n)
	for i := range out {
		out[i] = first + uint64(i)
	}

	return out
}

const simulationSteps = 100_000

var _ = Describe("replicas with seeded random faults", Ordered, ContinueOnFailure, func() {
	continued := 0
	AfterAll(func() {
		Expect(continued).To(BeNumerically(">", 0), "no run had a transfer that went on under the next leader")
	})
	for _, seed := range seeds(6) {
		It(fmt.Sprintf("keep their invariants with seed %d", seed), func() {
			s := newSimulation(seed, 3)
			for range simulationSteps {
				s.randomStep()
			}
			s.healAndVerify()
			continued += s.events["continued"]
			GinkgoWriter.Println("seed", seed, s.events, "leaders", len(s.leaderByTerm))
			for _, what := range []string{"propose", "applied", "crash", "restart", "snapshot", "compact", "emptied", "member", "partition", "read", "lostTail", "brokenTransfer", "damagedChunk", "slowWrite", "tornWrite", "slowDisk"} {
				Expect(s.events[what]).To(BeNumerically(">", 0), "the run had no %s event", what)
			}
		})
	}
})
