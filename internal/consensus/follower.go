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

func (r *Replica) onSnapshot(now time.Duration, m Message) {
	if r.role == RoleLeader {
		return
	}

	r.followLeader(now, m)
	reply := Message{Kind: MessageSnapshotReply, To: m.From, Index: m.Index, Round: m.Round, SnapshotTransfer: m.SnapshotTransfer}
	if m.Index <= r.log.commit {
		reply.SnapshotDone = true
		r.incoming = nil
		r.send(reply)

		return
	}
	if r.incoming != nil && r.incoming.follows(m) {
		return
	}
	if r.incoming == nil || !r.incoming.holds(m) {
		r.incoming = newIncomingSnapshot(m)
	}

	sn := &r.incoming.snapshot
	if m.SnapshotOffset == uint64(len(sn.Data)) {
		sn.Data = append(sn.Data, m.Chunk...)
		if m.SnapshotDone {
			reply.SnapshotDone = r.completeSnapshot()
			reply.Reject = !reply.SnapshotDone
		}
	}
	if !reply.Reject {
		reply.SnapshotOffset = uint64(len(sn.Data))
	}
	r.send(reply)
}

// completeSnapshot installs the snapshot whose last chunk has arrived, or drops it if it is not
// the one that was sent. It reports whether the snapshot is installed.
func (r *Replica) completeSnapshot() bool {
	in := r.incoming
	r.incoming = nil
	if dropped := in.verify(); dropped != nil {
		r.droppedTransfers = append(r.droppedTransfers, *dropped)

		return false
	}
	r.installSnapshot(in.snapshot)

	return true
}

func (r *Replica) installSnapshot(sn Snapshot) {
	r.pendingInstall, r.unstoredInstall = &sn, sn.Index
	r.log.reset(sn)
}
