package consensus

import "time"

// campaign starts a pre-vote, or directly an election if a leadership transfer requested it.
func (r *Replica) campaign(now time.Duration, forced bool) {
	if !r.isVoter() {
		r.leader = "" // no message from the leader within the election timeout; a learner never campaigns

		return
	}

	r.forcedElection = forced
	if forced {
		r.startVote(now)

		return
	}

	r.role, r.leader, r.preVoting = RoleCandidate, "", true
	r.votes = map[ReplicaID]bool{}
	r.requestVotes(MessagePreVote, r.hardState.Term+1)
	r.countVote(now, r.cfg.ID)
}

func (r *Replica) startVote(now time.Duration) {
	r.role, r.leader, r.preVoting = RoleCandidate, "", false
	r.hardState = HardState{Term: r.hardState.Term + 1, Vote: r.cfg.ID}
	r.votes = map[ReplicaID]bool{}
	r.resetElectionTimer(now)
	r.requestVotes(MessageVote, r.hardState.Term)
	r.countVote(now, r.cfg.ID)
}

func (r *Replica) requestVotes(kind MessageKind, term uint64) {
	for _, id := range r.log.membership().Voters {
		if id == r.cfg.ID {
			continue
		}
		r.send(Message{
			Kind: kind, To: id, Term: term, Force: r.forcedElection,
			Index: r.log.lastIndex(), LogTerm: r.log.lastTerm(),
		})
	}
}

func (r *Replica) countVote(now time.Duration, from ReplicaID) {
	m := r.log.membership()
	if !m.IsVoter(from) {
		return
	}

	r.votes[from] = true
	n := 0
	for id := range r.votes {
		if m.IsVoter(id) {
			n++
		}
	}
	if n < m.Quorum() {
		return
	}

	if r.preVoting {
		r.startVote(now)
	} else {
		r.becomeLeader(now)
	}
}

func (r *Replica) logIsCurrent(m Message) bool {
	last := r.log.lastTerm()

	return m.LogTerm > last || (m.LogTerm == last && m.Index >= r.log.lastIndex())
}

func (r *Replica) onPreVote(now time.Duration, m Message) {
	grant := m.Term > r.hardState.Term && r.logIsCurrent(m) && !r.leaderIsAlive(now) && r.role != RoleLeader
	reply := Message{Kind: MessagePreVoteReply, To: m.From, Reject: !grant}
	if grant {
		reply.Term = m.Term
	}
	r.send(reply)
}

func (r *Replica) onVote(now time.Duration, m Message) {
	free := r.hardState.Vote == "" || r.hardState.Vote == m.From
	grant := free && r.role == RoleFollower && r.leader == "" && r.logIsCurrent(m)
	if grant {
		r.hardState.Vote = m.From
		r.resetElectionTimer(now)
	}
	r.send(Message{Kind: MessageVoteReply, To: m.From, Reject: !grant})
}

func (r *Replica) onVoteReply(now time.Duration, m Message) {
	if r.role != RoleCandidate || m.Reject {
		return
	}

	isPre := m.Kind == MessagePreVoteReply
	if isPre != r.preVoting || (isPre && m.Term != r.hardState.Term+1) {
		return
	}
	r.countVote(now, m.From)
}
