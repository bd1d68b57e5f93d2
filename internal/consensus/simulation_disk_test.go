package consensus_test

import (
	"cmp"
	"slices"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
)

// simWrite is a write that a replica's disk has not finished.
type simWrite struct {
	rd      consensus.Ready
	entries []consensus.Entry // a copy of those in rd
	begun   time.Duration
	due     time.Duration
}

// flush processes Ready as a driver does that goes on while its disk writes. The replica may crash
// before anything is stored, or in between.
func (s *simulation) flush(n *simNode) {
	for !n.down {
		s.finishWrite(n)
		rd := n.takeReady()
		if rd.Empty() {
			return
		}
		s.sendFrom(n, rd.Unsynced)
		s.apply(n, &rd)
		for _, r := range rd.Reads {
			if r.OK {
				s.events["read"]++
				Expect(r.Index).To(BeNumerically(">=", s.commitAtRead[r.Context]), "the read index is below what was committed before the read")
			}
		}
		switch {
		case n.writing != nil:
		case !rd.MustSync():
			s.sendFrom(n, rd.Messages)
			n.replica.Advance(n.clock(s.now), rd)
		case !s.faultsDisabled && s.rnd.IntN(150) == 0:
			s.crash(n) // loses the unsynced tail
			s.events["lostTail"]++
		default:
			n.writing = &simWrite{rd: rd, entries: slices.Clone(rd.Entries), begun: s.now, due: s.now + s.writeTime(n)}
		}
	}
}

func (n *simNode) takeReady() consensus.Ready {
	if n.writing != nil {
		return n.replica.ReadyUnsynced()
	}

	return n.replica.Ready()
}

// writeTime returns how long the next write of a replica takes: mostly little, and on a slow disk up to
// several election timeouts.
func (s *simulation) writeTime(n *simNode) time.Duration {
	switch {
	case n.fixedWriteTime > 0:
		return n.fixedWriteTime
	case s.faultsDisabled || s.rnd.IntN(100) < 60:
		return 0
	case s.now < n.slowUntil:
		return time.Duration(s.rnd.Int64N(int64(1500 * time.Millisecond)))
	}

	return time.Duration(s.rnd.Int64N(int64(20 * time.Millisecond)))
}

func (s *simulation) slowDownOneDisk() {
	if a := s.alive(); len(a) > 0 {
		a[s.rnd.IntN(len(a))].slowUntil = s.now + time.Second
		s.events["slowDisk"]++
	}
}

// finishWrite does what may follow only once a write is stored.
func (s *simulation) finishWrite(n *simNode) {
	w := n.writing
	if w == nil || s.now < w.due {
		return
	}
	n.writing = nil
	for i := range w.entries {
		Expect(w.rd.Entries[i]).To(Equal(w.entries[i]), "an entry has changed while it was written")
	}
	if len(w.entries) > 0 {
		last := w.entries[len(w.entries)-1]
		if t, ok := n.replica.TermAt(last.Index); !ok || t != last.Term {
			s.events["replacedWrite"]++
		}
	}
	s.storeChunks(n, &w.rd)
	s.checkDropped(n, &w.rd)
	s.persist(n, &w.rd)
	s.sendFrom(n, w.rd.Messages)
	n.replica.Advance(n.clock(s.now), w.rd)
	if w.rd.Snapshot != nil {
		s.install(n)
	}
	if s.now > w.begun {
		s.events["slowWrite"]++
	}
}

// tearWrite stores a part of the write during which a replica crashes: its records are written in order.
func (s *simulation) tearWrite(n *simNode) {
	w := n.writing
	n.writing = nil
	if w == nil {
		return
	}
	rd := &consensus.Ready{Snapshot: w.rd.Snapshot, HardState: w.rd.HardState}
	rd.Entries = w.rd.Entries[:s.rnd.IntN(len(w.rd.Entries)+1)]
	switch s.rnd.IntN(4) {
	case 0:
		return
	case 1:
		rd.HardState, rd.Entries = nil, nil
	case 2:
		rd.Entries = nil
	}
	s.storeChunks(n, &w.rd)
	s.persist(n, rd)
	s.events["tornWrite"]++
}

// sendFrom sends messages of a replica, whose disk must hold what they promise.
func (s *simulation) sendFrom(n *simNode, ms []consensus.Message) {
	for i := range ms {
		s.checkPromise(n, &ms[i])
	}
	s.sendAll(ms)
}

func (s *simulation) checkPromise(n *simNode, m *consensus.Message) {
	switch m.Kind {
	case consensus.MessagePreVote, consensus.MessagePreVoteReply:
		return // they name a term that is not begun
	case consensus.MessageVoteReply:
		if !m.Reject && n.hs.Term == m.Term {
			Expect(n.hs.Vote).To(Equal(m.To), "%s votes before that is stored", n.id)
		}
	case consensus.MessageVote:
		if n.hs.Term == m.Term {
			Expect(n.hs.Vote).To(Equal(n.id), "%s asks for votes before its own is stored", n.id)
		}
	case consensus.MessageAppendReply:
		if m.Reject {
			break
		}
		stored, ok := n.storedTerm(m.Index)
		Expect(ok).To(BeTrue(), "%s acknowledges entry %d before it is stored", n.id, m.Index)
		if t, ok := n.replica.TermAt(m.Index); ok && m.Index >= n.snapshot.Index && n.replica.Term() == m.Term {
			Expect(stored).To(Equal(t), "%s acknowledges entry %d, which is to replace the stored one", n.id, m.Index)
		}
	case consensus.MessageSnapshotReply:
		if m.SnapshotDone {
			_, ok := n.storedTerm(m.Index)
			Expect(ok).To(BeTrue(), "%s acknowledges a snapshot before it is stored", n.id)
		}
	}
	Expect(n.hs.Term).To(BeNumerically(">=", m.Term), "%s sends a message of a term that is not stored", n.id)
}

// storedTerm returns the term of the entry at index on the disk, which may be the one of the snapshot
// if that covers index, and false if there is none.
func (n *simNode) storedTerm(index uint64) (uint64, bool) {
	if index <= n.snapshot.Index {
		return n.snapshot.Term, true
	}
	i, ok := slices.BinarySearchFunc(n.entries, index, func(en consensus.Entry, at uint64) int { return cmp.Compare(en.Index, at) })
	if !ok {
		return 0, false
	}

	return n.entries[i].Term, true
}
