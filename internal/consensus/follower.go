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
		r.sendUnsynced(reply)

		return
	}

	last, isNew := m.Index, false
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
		last, isNew = m.Entries[len(m.Entries)-1].Index, true

		break
	}

	r.log.commit = max(r.log.commit, min(m.Commit, last))
	r.acknowledge(now, reply, last, isNew)
}

// acknowledge replies to an append of a leader whose log is the same up to last. New entries are
// acknowledged once they are stored; what is stored is acknowledged at once, so that the leader
// hears from a follower whose disk is slow.
func (r *Replica) acknowledge(now time.Duration, reply Message, last uint64, isNew bool) {
	isStored := r.hardState == r.storedHardState && r.unstoredInstall == 0
	if isNew || !isStored {
		late := reply
		late.Index = last
		r.send(late)
	}
	if !isStored || (isNew && now < r.contactReplyDue) {
		return
	}
	r.contactReplyDue = now + r.cfg.HeartbeatPeriod
	reply.Index = min(last, r.log.persisted)
	r.sendUnsynced(reply)
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
