package consensus_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
)

func (s *simulation) crashOne() {
	if a := s.alive(); len(a) > 0 {
		s.crash(a[s.rnd.IntN(len(a))])
	}
}

func (s *simulation) restartOne() {
	for _, i := range s.rnd.Perm(len(s.nodes)) {
		if n := s.nodes[i]; n.down && !n.diskLost {
			s.boot(n)
			s.events["restart"]++

			return
		}
	}
}

// loseOneDisk permanently removes a replica with its disk, as long as a quorum of voters
// keeps theirs: no replication protocol survives the loss of a quorum.
func (s *simulation) loseOneDisk() {
	gone := 0
	vs := s.voters()
	for _, id := range vs {
		if o := s.node(id); o == nil || o.diskLost {
			gone++
		}
	}
	a := s.alive()
	if len(vs) == 0 || gone+1 > (len(vs)-1)/2 || len(a) == 0 || !s.membershipsAgree() {
		return
	}
	a[s.rnd.IntN(len(a))].diskLost = true
	s.events["emptied"]++
}

// membershipsAgree reports whether all voters that kept their disk are running and have the
// leader's list of voters. Otherwise loseOneDisk would count lost disks against a membership
// that is being replaced.
func (s *simulation) membershipsAgree() bool {
	ld := s.leader()
	for _, n := range s.nodes {
		if !ld.replica.Membership().IsVoter(n.id) || n.diskLost {
			continue
		}
		if n.down {
			return false
		}
		if !slices.Equal(n.replica.Membership().Voters, ld.replica.Membership().Voters) {
			return false
		}
	}

	return true
}

// changeMembership proposes one change: a new learner, a promotion or a removal.
func (s *simulation) changeMembership() {
	ld := s.leader()
	if ld == nil {
		return
	}
	m := ld.replica.Membership()
	next := m
	switch {
	case len(m.Learners) == 0 && len(s.nodes) < 200:
		id := consensus.ReplicaID(fmt.Sprintf("r%d", len(s.nodes)))
		if _, err := ld.replica.ProposeMembership(ld.clock(s.now), m.WithLearner(id)); err == nil {
			s.addNode(id, s.nodes[0].bootstrap)
			s.events["join"]++
		}
		s.flush(ld)

		return
	case len(m.Learners) > 0 && s.node(m.Learners[0]).diskLost:
		next = m.Without(m.Learners[0])
	case len(m.Voters) < 5 && len(m.Learners) > 0:
		next = m.WithVoter(m.Learners[0])
	case len(m.Voters) > 3:
		next = m.Without(s.voterToRemove(m.Voters))
	}
	if _, err := ld.replica.ProposeMembership(ld.clock(s.now), next); err == nil {
		s.events["member"]++
	}
	s.flush(ld)
}

// voterToRemove returns a voter whose disk was lost, or else a random one.
func (s *simulation) voterToRemove(voters []consensus.ReplicaID) consensus.ReplicaID {
	for _, id := range voters {
		if s.node(id).diskLost {
			return id
		}
	}

	return voters[s.rnd.IntN(len(voters))]
}

// partition isolates one replica from all others, in one direction or both.
func (s *simulation) partition() {
	s.blockedLinks = map[[2]consensus.ReplicaID]bool{}
	a := s.alive()
	if len(a) == 0 {
		return
	}
	lone := a[s.rnd.IntN(len(a))]
	if ld := s.leader(); ld != nil && s.rnd.IntN(2) == 0 {
		lone = ld // an isolated leader is the last to notice that it lost its role
	}
	oneWay := s.rnd.IntN(2) == 0
	for _, n := range s.nodes {
		s.blockedLinks[[2]consensus.ReplicaID{lone.id, n.id}] = true
		if !oneWay {
			s.blockedLinks[[2]consensus.ReplicaID{n.id, lone.id}] = true
		}
	}
	s.events["partition"]++
}

func (s *simulation) pauseOne() {
	if a := s.alive(); len(a) > 0 {
		a[s.rnd.IntN(len(a))].pausedUntil = s.now + time.Duration(s.rnd.Int64N(int64(2*time.Second)))
		s.events["pause"]++
	}
}
