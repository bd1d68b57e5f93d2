// Package registry tracks the backend servers by their heartbeats, which may arrive
// late, out of order, from processes that have ended since, and from several processes
// at one address. It does no input or output: time is an argument.
package registry

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
)

// State is the state that a backend server reports.
type State uint8

// States of a backend server.
const (
	Ready State = iota + 1
	Draining
	Left // it reported that it leaves; for a short time it still serves the requests it has
)

// Model is a model that a backend server has loaded.
type Model struct {
	Name    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"` // of its weights
}

// Record is the last known state of one incarnation of a backend server.
type Record struct {
	ID            string  `cbor:"1,keyasint"`
	BornMs        int64   `cbor:"2,keyasint"` // start of the incarnation, Unix milliseconds
	Sequence      uint64  `cbor:"3,keyasint"` // rises with each heartbeat of the incarnation
	Service       string  `cbor:"4,keyasint"`
	Address       string  `cbor:"5,keyasint"`
	FailureDomain string  `cbor:"6,keyasint"`
	Slots         int     `cbor:"7,keyasint"` // requests that it runs at once
	State         State   `cbor:"8,keyasint"`
	Models        []Model `cbor:"9,keyasint"`
	IsLoading     bool    `cbor:"11,keyasint"`           // it loads weights and refuses requests that it hasn't started
	Software      string  `cbor:"12,keyasint"`           // version of its software
	IsCold        bool    `cbor:"13,keyasint,omitempty"` // it has just started, or lost its caches, and takes few requests
	// WarmAfter is the position in the controllers' log of the last withdrawal of an evacuation
	// after which a heartbeat said that the backend server is warm.
	WarmAfter uint64 `cbor:"14,keyasint,omitempty"`
}

// Incarnation identifies one start of a backend server.
type Incarnation struct {
	ID     string `cbor:"1,keyasint"`
	BornMs int64  `cbor:"2,keyasint"` // Unix milliseconds
}

// Incarnation returns the incarnation that the record describes.
func (re *Record) Incarnation() Incarnation { return Incarnation{ID: re.ID, BornMs: re.BornMs} }

// Version returns the weight version of model on this server, 0 if it is not loaded.
func (re *Record) Version(model string) uint64 {
	for _, mo := range re.Models {
		if mo.Name == model {
			return mo.Version
		}
	}

	return 0
}

// isNewer reports whether the same backend server sent re after other.
func (re *Record) isNewer(other *Record) bool {
	if re.BornMs != other.BornMs {
		return re.BornMs > other.BornMs
	}

	return re.Sequence > other.Sequence
}

// hasLaterModels reports whether re names a later weight version in the same heartbeat: a source
// also learns versions from the backend server itself.
func (re *Record) hasLaterModels(other *Record) bool {
	if re.BornMs != other.BornMs || re.Sequence != other.Sequence {
		return false
	}
	for _, mo := range re.Models {
		if mo.Version > other.Version(mo.Name) {
			return true
		}
	}

	return false
}

// hasSameContent reports whether two records are equal apart from the ID and the sequence
// number.
func (re *Record) hasSameContent(other *Record) bool {
	return re.BornMs == other.BornMs && re.Service == other.Service && re.Address == other.Address &&
		re.FailureDomain == other.FailureDomain && re.Slots == other.Slots && re.State == other.State && re.IsLoading == other.IsLoading &&
		re.Software == other.Software && re.IsCold == other.IsCold && re.WarmAfter == other.WarmAfter &&
		slices.Equal(re.Models, other.Models)
}

type entry struct {
	record    Record
	lastHeard time.Duration // time of the last heartbeat or leave notice
	isLapsed  bool          // silent for longer than lapseAfter
	// withdrawn is the position of the last withdrawal of an evacuation of its failure domain, and
	// warmFrom the sequence number of the first heartbeat that was sent after it.
	withdrawn, warmFrom uint64
	// unchangedFrom is the sequence number from which on all heartbeats are known to have named the same state.
	unchangedFrom uint64
}

// retentionPeriod is how long a backend server is retained after its last heartbeat or
// leave notice, so that a delayed heartbeat does not restore one that has left or lapsed.
// It is well above the seconds by which a heartbeat can be late.
const retentionPeriod = 2 * time.Minute

// Registry holds the last known state of all backend servers. It is not safe for
// concurrent use.
type Registry struct {
	entries    map[string]*entry
	byAddress  map[string]map[string]bool // IDs of the entries that name an address
	revision   uint64
	lapseAfter time.Duration
	withdrawn  map[string]uint64 // position of the last withdrawal of an evacuation, by failure domain
	departed   map[Incarnation]departed
}

// departed is the committed departure of an incarnation.
type departed struct {
	at       time.Duration
	hasLeft  bool
	sequence uint64 // of the heartbeat that said draining, if it has not left
}

// departedRetention is how long a committed departure is retained. A process that has not heard of it may
// hold the backend server ready until then.
const departedRetention = 10 * time.Minute

// New returns a registry in which a backend server lapses after a silence of lapse.
func New(lapse time.Duration) *Registry {
	return &Registry{
		entries: map[string]*entry{}, byAddress: map[string]map[string]bool{}, lapseAfter: lapse,
		withdrawn: map[string]uint64{}, departed: map[Incarnation]departed{},
	}
}

// put adds an entry or replaces that of the same backend server.
func (rg *Registry) put(en *entry) {
	id, address := en.record.ID, en.record.Address
	if old, ok := rg.entries[id]; !ok || old.record.Address != address {
		rg.remove(id)
		if rg.byAddress[address] == nil {
			rg.byAddress[address] = map[string]bool{}
		}
		rg.byAddress[address][id] = true
	}
	rg.entries[id] = en
}

// remove removes the entry of a backend server if there is one.
func (rg *Registry) remove(id string) {
	en, ok := rg.entries[id]
	if !ok {
		return
	}
	delete(rg.entries, id)
	ids := rg.byAddress[en.record.Address]
	if delete(ids, id); len(ids) == 0 {
		delete(rg.byAddress, en.record.Address)
	}
}

// Revision returns a number that rises with each change of anything but sequence numbers.
func (rg *Registry) Revision() uint64 { return rg.revision }

// Observe records a heartbeat and reports whether it changed anything but the sequence
// number. It ignores heartbeats that are out of date.
func (rg *Registry) Observe(now time.Duration, re Record) bool {
	old, ok := rg.entries[re.ID]
	if ok && !re.isNewer(&old.record) {
		return false
	}
	if de, hasDeparted := rg.departed[re.Incarnation()]; hasDeparted && ((de.hasLeft && !ok) || (!de.hasLeft && re.Sequence < de.sequence)) {
		return false
	}
	if ok && old.record.BornMs == re.BornMs && old.record.State == Left {
		// It was sent before the backend server left, or denies that.
		old.remember(now)

		return false
	}
	if rg.isSuperseded(&re) {
		return false
	}

	next := &entry{lastHeard: now, withdrawn: rg.withdrawn[re.FailureDomain], warmFrom: re.Sequence + unseenHeartbeats, unchangedFrom: re.Sequence}
	if ok && old.record.BornMs == re.BornMs {
		re.IsLoading, re.WarmAfter = old.record.IsLoading, old.record.WarmAfter // set by this process, not by heartbeats
		if old.withdrawn == next.withdrawn {
			next.warmFrom = old.warmFrom
		}
		if old.record.State == re.State && re.Sequence == old.record.Sequence+1 {
			next.unchangedFrom = old.unchangedFrom
		}
	}
	next.record = re
	next.confirmWarm()
	changed := !ok || old.isLapsed || !next.record.hasSameContent(&old.record)
	rg.put(next)
	if changed {
		rg.revision++
	}

	return changed
}

// remember keeps a backend server that has left for another retentionPeriod, unless its next
// incarnation could not be told from it.
func (en *entry) remember(now time.Duration) {
	if en.record.BornMs != 0 {
		en.lastHeard = now
	}
}

// unseenHeartbeats is the distance from the last heartbeat that arrived before a moment to the
// first one that was certainly sent after it: the one in between may be on its way.
const unseenHeartbeats = 2

// Withdraw records that the evacuation of a failure domain was withdrawn at a position of the
// log. A heartbeat confirms that a backend server is warm only if it was sent afterwards.
func (rg *Registry) Withdraw(now time.Duration, failureDomain string, position uint64, heartbeatPeriod time.Duration) {
	if rg.withdrawn[failureDomain] >= position {
		return
	}
	rg.withdrawn[failureDomain] = position
	for _, en := range rg.entries {
		if en.record.FailureDomain != failureDomain {
			continue
		}
		en.withdrawn, en.warmFrom = position, en.record.Sequence+unseenHeartbeats
		if heartbeatPeriod > 0 {
			en.warmFrom += uint64((now - en.lastHeard) / heartbeatPeriod)
		}
	}
}

// confirmWarm records that the backend server is warm if its last heartbeat, sent after the last
// withdrawal, says so. It reports whether that changed anything.
func (en *entry) confirmWarm() bool {
	if en.record.IsCold || en.record.Sequence < en.warmFrom || en.record.WarmAfter >= en.withdrawn {
		return false
	}
	en.record.WarmAfter = en.withdrawn

	return true
}

// isSuperseded reports whether a later incarnation has taken the address.
func (rg *Registry) isSuperseded(re *Record) bool {
	for id := range rg.byAddress[re.Address] {
		if en := rg.entries[id]; id != re.ID && en.record.State != Left && en.record.BornMs > re.BornMs {
			return true
		}
	}

	return false
}

// HasDrained reports whether an incarnation drains, and all heartbeats that it sent after one sequence number and
// before another are known to have said so.
func (rg *Registry) HasDrained(in Incarnation, after, before uint64) bool {
	en, ok := rg.entries[in.ID]

	return ok && en.record.Incarnation() == in && en.record.State == Draining && en.unchangedFrom <= after+1 && before <= en.record.Sequence+1
}

// Record returns the last known record of a backend server, and false if there is none.
func (rg *Registry) Record(id string) (Record, bool) {
	en, ok := rg.entries[id]
	if !ok {
		return Record{}, false
	}

	return en.record, true
}

// Leave records that a backend server leaves and reports whether anything changed.
// bornMs is 0 if the incarnation is unknown.
func (rg *Registry) Leave(now time.Duration, id string, bornMs int64) bool {
	en, ok := rg.entries[id]
	if !ok {
		rg.put(&entry{record: Record{ID: id, BornMs: bornMs, State: Left}, lastHeard: now})
		rg.revision++

		return true
	}
	if (bornMs != 0 && bornMs < en.record.BornMs) || (en.record.State == Left && bornMs <= en.record.BornMs) {
		return false
	}

	en.record.State, en.lastHeard = Left, now
	en.record.BornMs = max(en.record.BornMs, bornMs)
	rg.revision++

	return true
}

// Depart records a committed departure of an incarnation that was committed some time ago, and reports
// whether anything changed: re is the record of its heartbeat that said draining, or the incarnation alone
// if it has left. Later heartbeats of an incarnation that has left, and of one that drains those that
// were sent before, change nothing.
func (rg *Registry) Depart(now, age time.Duration, re Record, hasLeft bool) bool {
	if age > departedRetention || (re.BornMs == 0 && age > retentionPeriod) {
		return false
	}
	if re.BornMs != 0 { // a later incarnation could not be told from it otherwise
		rg.departed[re.Incarnation()] = departed{at: now - age, hasLeft: hasLeft, sequence: re.Sequence}
	}
	if !hasLeft {
		return rg.Observe(now, re)
	}
	if en, ok := rg.entries[re.ID]; ok && re.BornMs == 0 && en.record.BornMs != 0 {
		return false
	}

	return rg.Leave(now, re.ID, re.BornMs)
}

// LeaveBefore records a committed departure of each incarnation of a backend server that started before a time, in
// Unix milliseconds, and reports whether anything changed. It is retained for the retentionPeriod only: the clock of
// the next incarnation may be behind that of the controllers.
func (rg *Registry) LeaveBefore(now, age time.Duration, id string, startMs int64) bool {
	return age <= retentionPeriod && rg.Leave(now, id, startMs)
}

// SetVersion records a weight version that was read from the backend server itself,
// before its next heartbeat reports it. It reports whether anything changed.
func (rg *Registry) SetVersion(id string, bornMs int64, model string, version uint64) bool {
	en, ok := rg.entries[id]
	if !ok || en.record.BornMs != bornMs || en.record.Version(model) == version {
		return false
	}

	en.record.Models = slices.Clone(en.record.Models)
	for i := range en.record.Models {
		if en.record.Models[i].Name == model {
			en.record.Models[i].Version = version
			rg.revision++

			return true
		}
	}

	return false
}

// SetLoading records whether an order to load weights is in flight.
func (rg *Registry) SetLoading(id string, bornMs int64, isLoading bool) {
	if en, ok := rg.entries[id]; ok && en.record.BornMs == bornMs && en.record.IsLoading != isLoading {
		en.record.IsLoading = isLoading
		rg.revision++
	}
}

// Sweep marks backend servers as lapsed after too long a silence and returns the IDs of
// those newly marked. It removes those silent for longer than retentionPeriod whose departure is not
// retained.
func (rg *Registry) Sweep(now time.Duration) []string {
	maps.DeleteFunc(rg.departed, func(_ Incarnation, de departed) bool { return now-de.at > departedRetention })
	var out []string
	for id, en := range rg.entries {
		silent := now - en.lastHeard
		switch {
		case silent > retentionPeriod && !rg.hasDeparted(en.record.Incarnation()):
			rg.remove(id)
			rg.revision++
		case silent > rg.lapseAfter && !en.isLapsed && en.record.State != Left:
			en.isLapsed = true
			rg.revision++
			out = append(out, id)
		}
	}

	return out
}

// hasDeparted reports whether the committed departure of an incarnation is retained.
func (rg *Registry) hasDeparted(in Incarnation) bool {
	_, ok := rg.departed[in]

	return ok
}

// Status is a record and whether its backend server is silent.
type Status struct {
	Record   Record `cbor:"1,keyasint"`
	IsLapsed bool   `cbor:"2,keyasint"` // no heartbeat for too long
}

// All returns all records, sorted by ID.
func (rg *Registry) All() []Status {
	out := make([]Status, 0, len(rg.entries))
	for _, en := range rg.entries {
		out = append(out, Status{Record: en.record, IsLapsed: en.isLapsed})
	}
	slices.SortFunc(out, func(a, b Status) int { return strings.Compare(a.Record.ID, b.Record.ID) })

	return out
}

// Equal reports whether two records are equal apart from the sequence number.
func (re *Record) Equal(other *Record) bool { return re.ID == other.ID && re.hasSameContent(other) }

// LogChanges logs the differences between two lists of records in the order of their IDs.
func LogChanges(lo log.Interface, old, next []Record) {
	i := 0
	for k := range next {
		re := &next[k]
		for ; i < len(old) && old[i].ID < re.ID; i++ {
			logRemoved(lo, &old[i])
		}
		isKnown := i < len(old) && old[i].ID == re.ID
		if isKnown {
			i++
			if old[i-1].hasSameContent(re) {
				continue
			}
		}
		fl := log.Fields{
			"server": re.ID, "service": re.Service, "address": re.Address, "state": re.State.String(),
			"born": re.BornMs, "sequence": re.Sequence, "models": re.Models, "software": re.Software,
		}
		if isKnown {
			lo.WithFields(fl).Info("backend server changed")
		} else {
			lo.WithFields(fl).Info("backend server added")
		}
	}
	for ; i < len(old); i++ {
		logRemoved(lo, &old[i])
	}
}

func logRemoved(lo log.Interface, re *Record) {
	lo.WithFields(log.Fields{"server": re.ID, "service": re.Service, "address": re.Address}).Info("backend server removed")
}

// String returns the state's name.
func (st State) String() string { return [...]string{"", "ready", "draining", "left"}[min(st, Left)] }
