package registry

import (
	"maps"
	"slices"
	"strings"
)

// MergedView combines the registries of several sources, each a process that receives
// heartbeats. A backend server is alive while any source receives its heartbeats. One
// that no source knows any more, for example while all sources restart, still counts as
// alive until a source that has listened long enough reports without it. MergedView is
// not safe for concurrent use.
type MergedView struct {
	sources   map[string]*source
	known     map[string]Record          // the newest record of each ID
	byAddress map[string]map[string]bool // IDs of the known records at each address

	// live is the last result of Live, which is never changed. It is up to date but for the IDs
	// in stale, or for all if isAllStale is set.
	live       []Record
	stale      map[string]bool
	isAllStale bool
}

type source struct {
	statuses  map[string]Status
	isSettled bool // it has listened longer than a backend server may be silent
	isCurrent bool // updated since the last Reset or MarkUnreachable; other sources don't count
}

// NewMergedView returns a view without sources.
func NewMergedView() *MergedView {
	return &MergedView{
		sources: map[string]*source{}, known: map[string]Record{}, byAddress: map[string]map[string]bool{}, stale: map[string]bool{},
	}
}

// Reset discards the statuses of a source, whose next Update is complete.
func (me *MergedView) Reset(name string) {
	me.sources[name] = &source{statuses: map[string]Status{}}
	me.isAllStale = true
}

// Update applies the changes at one source, and reports whether Live may differ from before.
func (me *MergedView) Update(name string, changed []Status, forgotten []string, isSettled bool) bool {
	so, ok := me.sources[name]
	if !ok {
		so = &source{statuses: map[string]Status{}}
		me.sources[name] = so
	}
	me.isAllStale = me.isAllStale || !so.isCurrent || so.isSettled != isSettled
	so.isCurrent, so.isSettled = true, isSettled
	for _, id := range forgotten {
		delete(so.statuses, id)
		me.markStale(id)
	}
	for _, st := range changed {
		old, ok := so.statuses[st.Record.ID]
		so.statuses[st.Record.ID] = st
		if !ok || old.IsLapsed != st.IsLapsed || old.Record.IsLoading != st.Record.IsLoading ||
			old.Record.WarmAfter != st.Record.WarmAfter || old.Record.BornMs != st.Record.BornMs {
			me.markStale(st.Record.ID)
		}
		me.mergeRecord(st.Record)
	}

	return me.isAllStale || len(me.stale) > 0
}

// Knows reports whether an incarnation is the newest of its backend server that any source has named and that
// is not forgotten. It may be silent or have left.
func (me *MergedView) Knows(in Incarnation) bool {
	re, ok := me.known[in.ID]

	return ok && re.BornMs == in.BornMs
}

// markStale marks a backend server and those at its address, of which only one counts.
func (me *MergedView) markStale(id string) {
	me.stale[id] = true
	for other := range me.byAddress[me.known[id].Address] {
		me.stale[other] = true
	}
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
	if ok && re.hasSameContent(&old) {
		me.known[re.ID] = re

		return
	}
	if ok {
		me.forget(re.ID)
	}
	me.known[re.ID] = re
	if me.byAddress[re.Address] == nil {
		me.byAddress[re.Address] = map[string]bool{}
	}
	me.byAddress[re.Address][re.ID] = true
	me.markStale(re.ID)
}

// forget removes a known record.
func (me *MergedView) forget(id string) {
	me.markStale(id)
	address := me.known[id].Address
	delete(me.known, id)
	delete(me.byAddress[address], id)
	if len(me.byAddress[address]) == 0 {
		delete(me.byAddress, address)
	}
}

// MarkUnreachable marks a source as unreachable: it is ignored until its next Update.
func (me *MergedView) MarkUnreachable(name string) {
	if so, ok := me.sources[name]; ok {
		so.isCurrent = false
		me.isAllStale = true
	}
}

// Live returns the backend servers that have neither left nor lapsed, sorted by ID. Of
// several at one address only the last incarnation counts. The caller must not change the
// result, which is the same list as before if nothing but sequence numbers changed.
func (me *MergedView) Live() []Record {
	if me.isAllStale {
		for id := range me.known {
			me.stale[id] = true
		}
		for i := range me.live {
			me.stale[me.live[i].ID] = true
		}
	}
	me.isAllStale = false
	for id := range me.stale {
		if _, ok := me.known[id]; ok && me.isUnknownToAll(id) {
			me.forget(id)
		}
	}
	ids := slices.Sorted(maps.Keys(me.stale))
	clear(me.stale)
	out := make([]Record, 0, len(me.live)+len(ids))
	isChanged := false
	rest := me.live
	for _, id := range ids {
		i, found := slices.BinarySearchFunc(rest, id, func(re Record, id string) int { return strings.Compare(re.ID, id) })
		out = append(out, rest[:i]...)
		re, ok := me.liveRecord(id)
		if ok {
			out = append(out, re)
		}
		isChanged = isChanged || ok != found || (ok && !re.Equal(&rest[i]))
		if found {
			i++
		}
		rest = rest[i:]
	}
	if isChanged || me.live == nil {
		me.live = append(out, rest...)
	}

	return me.live
}

// liveRecord returns the record of a backend server, and false if it does not count as alive.
func (me *MergedView) liveRecord(id string) (Record, bool) {
	re, ok := me.known[id]
	if !ok || re.State == Left || me.isLapsed(id) {
		return Record{}, false
	}
	for other := range me.byAddress[re.Address] {
		if o := me.known[other]; o.State != Left && o.BornMs > re.BornMs {
			return Record{}, false
		}
	}
	re.IsLoading, re.WarmAfter = me.isLoading(&re), me.warmAfter(&re)

	return re, true
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

// warmAfter returns the latest withdrawal after which any source found this incarnation warm.
func (me *MergedView) warmAfter(re *Record) uint64 {
	latest := re.WarmAfter
	for _, so := range me.sources {
		if st, ok := so.statuses[re.ID]; ok && st.Record.BornMs == re.BornMs {
			latest = max(latest, st.Record.WarmAfter)
		}
	}

	return latest
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
