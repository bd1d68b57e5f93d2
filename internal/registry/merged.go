package registry

import (
	"slices"
	"strings"
)

// MergedView combines the registries of several sources, each a process that receives
// heartbeats. A backend server is alive while any source receives its heartbeats. One
// that no source knows any more, for example while all sources restart, still counts as
// alive until a source that has listened long enough reports without it. MergedView is
// not safe for concurrent use.
type MergedView struct {
	sources map[string]*source
	known   map[string]Record // the newest record of each ID
}

type source struct {
	statuses  map[string]Status
	isSettled bool // it has listened longer than a backend server may be silent
	isCurrent bool // updated since the last Reset or MarkUnreachable; other sources don't count
}

// NewMergedView returns a view without sources.
func NewMergedView() *MergedView {
	return &MergedView{sources: map[string]*source{}, known: map[string]Record{}}
}

// Reset discards the statuses of a source, whose next Update is complete.
func (me *MergedView) Reset(name string) {
	me.sources[name] = &source{statuses: map[string]Status{}}
}

// Update applies the changes at one source, and reports whether Live may differ from before.
func (me *MergedView) Update(name string, changed []Status, forgotten []string, isSettled bool) bool {
	so, ok := me.sources[name]
	if !ok {
		so = &source{statuses: map[string]Status{}}
		me.sources[name] = so
	}
	isSame := so.isCurrent && so.isSettled == isSettled && len(changed)+len(forgotten) == 0
	so.isCurrent, so.isSettled = true, isSettled
	for _, id := range forgotten {
		delete(so.statuses, id)
	}
	for _, st := range changed {
		so.statuses[st.Record.ID] = st
		me.mergeRecord(st.Record)
	}

	return !isSame
}

// mergeRecord keeps the newer of the known and the given record. A server that has left
// stays so for the same incarnation.
func (me *MergedView) mergeRecord(re Record) {
	old, ok := me.known[re.ID]
	switch {
	case !ok:
	case old.BornMs == re.BornMs && old.State == Left:
		return
	case old.BornMs == re.BornMs && re.State == Left:
	case !re.isNewer(&old) && !re.hasLaterModels(&old):
		return
	}
	me.known[re.ID] = re
}

// MarkUnreachable marks a source as unreachable: it is ignored until its next Update.
func (me *MergedView) MarkUnreachable(name string) {
	if so, ok := me.sources[name]; ok {
		so.isCurrent = false
	}
}

// Live returns the backend servers that have neither left nor lapsed, sorted by ID. Of
// several at one address only the last incarnation counts.
func (me *MergedView) Live() []Record {
	latest := map[string]int64{} // address to BornMs of its last incarnation
	for _, re := range me.known {
		if re.State != Left {
			latest[re.Address] = max(latest[re.Address], re.BornMs)
		}
	}

	out := make([]Record, 0, len(me.known))
	for id, re := range me.known {
		if me.isUnknownToAll(id) {
			delete(me.known, id)

			continue
		}
		if re.State != Left && re.BornMs == latest[re.Address] && !me.isLapsed(id) {
			re.IsLoading = me.isLoading(&re)
			out = append(out, re)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return strings.Compare(a.ID, b.ID) })

	return out
}

// isLapsed reports whether no current source finds the backend server alive and at
// least one finds it lapsed or, being settled, doesn't know it.
func (me *MergedView) isLapsed(id string) bool {
	votes := 0
	for _, so := range me.sources {
		if !so.isCurrent {
			continue
		}
		st, ok := so.statuses[id]
		switch {
		case ok && !st.IsLapsed:
			return false
		case ok || so.isSettled:
			votes++
		}
	}

	return votes > 0
}

// isLoading reports whether any current source has an order to load weights in flight at this
// incarnation.
func (me *MergedView) isLoading(re *Record) bool {
	for _, so := range me.sources {
		if st, ok := so.statuses[re.ID]; ok && so.isCurrent && st.Record.IsLoading && st.Record.BornMs == re.BornMs {
			return true
		}
	}

	return false
}

// isUnknownToAll reports whether all sources are current and settled, and none knows
// the ID.
func (me *MergedView) isUnknownToAll(id string) bool {
	for _, so := range me.sources {
		if _, ok := so.statuses[id]; ok || !so.isCurrent || !so.isSettled {
			return false
		}
	}

	return len(me.sources) > 0
}
