package consensus

import "github.com/fxamacker/cbor/v2"

// raftLog holds the entries after the snapshot; entries[0] has index snapIndex+1.
type raftLog struct {
	snapIndex uint64
	snapTerm  uint64
	entries   []Entry
	persisted uint64 // last index stored on this replica's disk
	emitted   uint64 // last index returned by Ready for storage
	commit    uint64
	applied   uint64 // last index returned by Ready for application

	// memberships holds each membership with the index of its entry, oldest first. The
	// first applies at the snapshot; the last is the current one.
	memberships []membershipAt
}

type membershipAt struct {
	index      uint64
	membership Membership
}

func newRaftLog(sn Snapshot, entries []Entry) raftLog {
	lo := raftLog{
		snapIndex: sn.Index, snapTerm: sn.Term,
		commit: sn.Index, applied: sn.Index, persisted: sn.Index, emitted: sn.Index,
		memberships: []membershipAt{{sn.Index, sn.Membership}},
	}
	lo.append(entries)
	lo.persisted, lo.emitted = lo.lastIndex(), lo.lastIndex()

	return lo
}

func (lo *raftLog) lastIndex() uint64 { return lo.snapIndex + uint64(len(lo.entries)) }

func (lo *raftLog) lastTerm() uint64 {
	t, _ := lo.term(lo.lastIndex())

	return t
}

// term returns the term at index, and false if the log does not hold it.
func (lo *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == lo.snapIndex:
		return lo.snapTerm, true
	case index < lo.snapIndex || index > lo.lastIndex():
		return 0, false
	}

	return lo.entries[index-lo.snapIndex-1].Term, true
}

func (lo *raftLog) membership() Membership {
	return lo.memberships[len(lo.memberships)-1].membership
}

func (lo *raftLog) membershipIndex() uint64 {
	return lo.memberships[len(lo.memberships)-1].index
}

func (lo *raftLog) append(entries []Entry) {
	for _, en := range entries {
		lo.entries = append(lo.entries, en)
		if en.Kind != EntryMembership {
			continue
		}

		var m Membership
		if err := cbor.Unmarshal(en.Data, &m); err == nil {
			lo.memberships = append(lo.memberships, membershipAt{en.Index, m})
		}
	}
}

// recordStored records that the entries that were emitted last are stored. Those that were replaced
// since then don't count: what replaced them is not emitted yet.
func (lo *raftLog) recordStored(entries []Entry) {
	if n := len(entries); n > 0 {
		lo.persisted = max(lo.persisted, min(entries[n-1].Index, lo.emitted))
	}
}

// truncateFrom removes the entries from index on. They stay in the array, which slices that are
// being stored or sent share.
func (lo *raftLog) truncateFrom(index uint64) {
	end := index - lo.snapIndex - 1
	lo.entries = lo.entries[:end:end]
	lo.persisted = min(lo.persisted, index-1)
	lo.emitted = min(lo.emitted, index-1)

	n := len(lo.memberships)
	for n > 1 && lo.memberships[n-1].index >= index {
		n--
	}
	lo.memberships = lo.memberships[:n]
}

// slice returns entries starting at index from, limited by maxBytes and maxEntries. It
// returns at least one entry if the log holds index from.
func (lo *raftLog) slice(from uint64, maxBytes int, maxEntries uint64) []Entry {
	if from <= lo.snapIndex || from > lo.lastIndex() {
		return nil
	}

	tail := lo.entries[from-lo.snapIndex-1:]
	size := 0
	for i := range tail {
		size += sizeOf(tail[i : i+1])
		if i > 0 && (size > maxBytes || uint64(i) >= maxEntries) {
			return tail[:i:i]
		}
	}

	return tail[:len(tail):len(tail)]
}

// sizeOf returns about how many bytes entries take in a message.
func sizeOf(entries []Entry) int {
	const indexAndTerm = 16
	size := 0
	for i := range entries {
		size += len(entries[i].Data) + indexAndTerm
	}

	return size
}

// compact removes the entries up to index, which a stored snapshot covers.
func (lo *raftLog) compact(index uint64) {
	if index <= lo.snapIndex || index > lo.lastIndex() {
		return
	}

	term, _ := lo.term(index)
	rest := lo.entries[index-lo.snapIndex:]
	lo.entries = append(make([]Entry, 0, len(rest)+64), rest...)
	lo.snapIndex, lo.snapTerm = index, term

	n := 0
	for n+1 < len(lo.memberships) && lo.memberships[n+1].index <= index {
		n++
	}
	lo.memberships = append([]membershipAt(nil), lo.memberships[n:]...)
}

// tailStart returns the first index of the newest entries that hold at most maxBytes.
func (lo *raftLog) tailStart(maxBytes int) uint64 {
	size := 0
	for i := len(lo.entries); i > 0; i-- {
		size += len(lo.entries[i-1].Data)
		if size > maxBytes {
			return lo.entries[i-1].Index + 1
		}
	}

	return lo.snapIndex + 1
}

// reset replaces the entire log with a snapshot.
func (lo *raftLog) reset(sn Snapshot) {
	*lo = newRaftLog(sn, nil)
}
