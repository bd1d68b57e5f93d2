package consensus

import "time"

func (r *Replica) followLeader(now time.Duration, m Message) {
	r.role, r.leader, r.preVoting = RoleFollower, m.From, false
	r.lastLeaderContact, r.hasLeaderContact = now, true
	r.resetElectionTimer(now)
}

func (r *Replica) onAppend(now time.Duration, m Message) {
	if r.role == RoleLeader {
		return
	}

	r.followLeader(now, m)
	reply := Message{Kind: MessageAppendReply, To: m.From, Round: m.Round}
	if m.Index < r.log.snapIndex {
		m = r.skipCompacted(m)
	}
	if t, ok := r.log.term(m.Index); !ok || t != m.LogTerm {
		reply.Reject = true
		reply.Index = m.Index
		reply.Hint = r.conflictHint(m.Index)
		r.send(reply)

		return
	}

	last := m.Index
	for i, en := range m.Entries {
		last = en.Index
		t, ok := r.log.term(en.Index)
		if ok && t == en.Term {
			continue
		}
		if ok {
			r.log.truncateFrom(en.Index)
		}
		r.log.append(m.Entries[i:])
		last = m.Entries[len(m.Entries)-1].Index

		break
	}

	r.log.commit = max(r.log.commit, min(m.Commit, last))
	reply.Index = last
	r.send(reply)
}

// skipCompacted removes the entries of m that this replica's snapshot covers.
func (r *Replica) skipCompacted(m Message) Message {
	for len(m.Entries) > 0 && m.Entries[0].Index <= r.log.snapIndex {
		m.Entries = m.Entries[1:]
	}
	m.Index, m.LogTerm = r.log.snapIndex, r.log.snapTerm

	return m
}

// conflictHint returns the highest position at or below index that may match the leader's log.
func (r *Replica) conflictHint(index uint64) uint64 {
	if index > r.log.lastIndex() {
		return r.log.lastIndex()
	}

	t, ok := r.log.term(index)
	if !ok {
		return r.log.snapIndex
	}
	for index > max(r.log.commit, r.log.snapIndex) {
		if u, _ := r.log.term(index); u != t {
			break
		}
		index--
	}

	return index
}
