// Package feed sends the state of the controllers to every other process: the
// configuration, the newest weight versions, the VMs that store batch jobs, the quarantine, the
// evacuated failure domains and the backend servers. A follower follows every controller at
// once, so that it lacks nothing when one of them fails.
package feed

import (
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackbay/tamarackbay/internal/coldstart"
	"github.com/tamarackbay/tamarackbay/internal/permit"
	"github.com/tamarackbay/tamarackbay/internal/quarantine"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/routing"
)

// Method is the call by which a process follows a controller. The request and each message of the
// follower is a ping, which the controller answers at once.
const Method = "raw.feed.follow"

const (
	// heartbeatPeriod is the time between two pings of a follower; without a change the answer
	// is an empty delta.
	heartbeatPeriod = 500 * time.Millisecond
	// controllerTimeout is the silence after which a follower drops a controller.
	controllerTimeout = 3 * heartbeatPeriod
	// followerTimeout is the silence after which a controller drops a follower. A process that was
	// frozen for less goes on with its stream.
	followerTimeout = 10 * time.Second
	// streamTimeout bounds the life of a stream; the follower then opens a new one.
	streamTimeout = 10 * time.Minute
)

// Store is a VM that stores batch jobs.
type Store struct {
	Name     string `cbor:"1,keyasint"`
	Replica  string `cbor:"2,keyasint"`
	Address  string `cbor:"3,keyasint"` // of its peer listener
	Leads    bool   `cbor:"4,keyasint"`
	Term     uint64 `cbor:"5,keyasint"` // of its leadership
	Retiring bool   `cbor:"6,keyasint"`
	// FailureDomain is that of the VM.
	FailureDomain string `cbor:"7,keyasint,omitempty"`
}

// State is what one controller reports. It is never changed, only replaced.
type State struct {
	Config      *routing.Config
	Versions    map[string]uint64 // newest recorded weight version of each model
	Controllers []string          // peer addresses
	Stores      []Store
	Formation   []string // replicas that formed the store group
	// Position is that in the log up to which the controller had applied when it read the lists above.
	Position   uint64
	Quarantine Quarantine
	// Limits holds the rate limits of backend servers; only the broker publishes them.
	Limits []permit.Limit
	// Evacuated lists the evacuated failure domains, ascending, and Withdrawn those whose
	// evacuation was withdrawn. EvacuatedAt is the position of their last change in the log.
	Evacuated   []string
	Withdrawn   []Withdrawal
	EvacuatedAt uint64
	Servers     []registry.Status
	IsSettled   bool      // every backend server that is alive has reported to this controller
	ConfirmedAt time.Time // when the replicated part was last confirmed
	// IsUnconfirmed is set until a majority has confirmed the replica for the first time since the
	// start of the controller. The State then holds nothing else.
	IsUnconfirmed bool
}

// HasDeparted reports whether an incarnation of a backend server gets no new work by this state: it
// is draining, has left or is not known.
func (st *State) HasDeparted(in registry.Incarnation) bool {
	i, ok := slices.BinarySearchFunc(st.Servers, in.ID, func(se registry.Status, id string) int { return strings.Compare(se.Record.ID, id) })
	if !ok {
		return true
	}
	re := &st.Servers[i].Record

	return re.State != registry.Ready || (in.BornMs != 0 && re.BornMs != in.BornMs)
}

// Withdrawal is the end of an evacuation of a failure domain.
type Withdrawal struct {
	FailureDomain string        `cbor:"1,keyasint"`
	Age           time.Duration `cbor:"2,keyasint"` // of the withdrawal, when the state was published
	Position      uint64        `cbor:"3,keyasint"` // of the withdrawal in the log
}

// evacuations is the part of a State that changes with the evacuated failure domains.
type evacuations struct {
	Position  uint64       `cbor:"1,keyasint"`
	Domains   []string     `cbor:"2,keyasint"`
	Withdrawn []Withdrawal `cbor:"3,keyasint"`
}

// Quarantine holds the suspect and refused fingerprints at a position in the controllers'
// log. Its entries are never changed, only replaced.
type Quarantine struct {
	Revision uint64 // position of their last change
	Entries  map[string]quarantine.Entry
}

// quarantineDelta is the difference between two states of the quarantine.
type quarantineDelta struct {
	Revision uint64                      `cbor:"1,keyasint"`
	Changed  map[string]quarantine.Entry `cbor:"2,keyasint,omitempty"`
	Removed  []string                    `cbor:"3,keyasint,omitempty"`
}

// diff returns the delta that leads from old to qu, nil if they are equal.
func (qu Quarantine) diff(old Quarantine) *quarantineDelta {
	if qu.Revision == old.Revision {
		return nil
	}
	de := &quarantineDelta{Revision: qu.Revision, Changed: map[string]quarantine.Entry{}}
	for fp, en := range qu.Entries {
		if o, ok := old.Entries[fp]; !ok || !reflect.DeepEqual(o, en) {
			de.Changed[fp] = en
		}
	}
	for fp := range old.Entries {
		if _, ok := qu.Entries[fp]; !ok {
			de.Removed = append(de.Removed, fp)
		}
	}

	return de
}

// apply returns the state after a delta.
func (qu Quarantine) apply(de *quarantineDelta) Quarantine {
	next := maps.Clone(qu.Entries)
	if next == nil {
		next = map[string]quarantine.Entry{}
	}
	maps.Copy(next, de.Changed)
	for _, fp := range de.Removed {
		delete(next, fp)
	}

	return Quarantine{Revision: de.Revision, Entries: next}
}

// roster is the part of a State that changes with the VMs. It is valid at the position of the message
// that brings it and of those that follow without another one.
type roster struct {
	Controllers []string `cbor:"1,keyasint"`
	Stores      []Store  `cbor:"2,keyasint"`
	Formation   []string `cbor:"3,keyasint"`
}

func (st *State) roster() roster {
	return roster{Controllers: st.Controllers, Stores: st.Stores, Formation: st.Formation}
}

// ping is a message of a follower.
type ping struct {
	Number int64 `cbor:"1,keyasint"` // says when it was sent, by the clock of the follower
}

// head is the part of a message that is for one follower alone, in front of the delta.
type head struct {
	Ping  int64 `cbor:"1,keyasint"` // number of the last ping that the controller received
	AgeMs int64 `cbor:"2,keyasint"` // of the state when the message was sent, never less
}

// maxAge bounds the ages in messages.
const maxAge = 365 * 24 * time.Hour

// newHead returns the head of a message with a state that is sent now.
func newHead(ping int64, st *State) head {
	return head{Ping: ping, AgeMs: min(time.Since(st.ConfirmedAt), maxAge).Milliseconds() + 1}
}

// encodeMessage returns a message with an encoded delta.
func encodeMessage(he head, delta []byte) ([]byte, error) {
	b, err := cbor.Marshal(he)
	if err != nil {
		return nil, result.New(result.Internal, "feed: encoding the head of a message: %v", err)
	}

	return slices.Concat(b, delta), nil
}

// decodeMessage is the inverse of encodeMessage.
func decodeMessage(b []byte) (he head, de *stateDelta, err error) {
	rest, err := cbor.UnmarshalFirst(b, &he)
	if err != nil {
		return head{}, nil, result.New(result.Internal, "feed: decoding the head of a message: %v", err)
	}
	if he.Ping < 0 || he.AgeMs < 0 || he.AgeMs > maxAge.Milliseconds()+1 {
		return head{}, nil, result.New(result.Internal, "feed: the head of a message has a number that is out of range")
	}
	de = &stateDelta{}
	if err := cbor.Unmarshal(rest, de); err != nil {
		return head{}, nil, result.New(result.Internal, "feed: decoding a state delta: %v", err)
	}

	return he, de, nil
}

// stateDelta is the difference between two States; parts that did not change are nil.
type stateDelta struct {
	Config    *routing.Config   `cbor:"1,keyasint,omitempty"`
	Versions  map[string]uint64 `cbor:"2,keyasint,omitempty"`
	Roster    *roster           `cbor:"3,keyasint,omitempty"`
	Changed   []registry.Status `cbor:"4,keyasint,omitempty"`
	Removed   []string          `cbor:"5,keyasint,omitempty"`
	IsSettled bool              `cbor:"6,keyasint,omitempty"`
	// Quarantine is nil if it did not change.
	Quarantine *quarantineDelta `cbor:"8,keyasint,omitempty"`
	// Limits lists the rate limits that changed.
	Limits []permit.Limit `cbor:"9,keyasint,omitempty"`
	// Followers is the number of processes that follow this controller.
	Followers int `cbor:"10,keyasint"`
	// Evacuations is nil if they did not change.
	Evacuations *evacuations `cbor:"11,keyasint,omitempty"`
	// IsUnconfirmed says that the delta holds nothing, as the controller does not know how old its
	// state is.
	IsUnconfirmed bool `cbor:"12,keyasint,omitempty"`
	// Position is that in the log up to which the controller had applied.
	Position uint64 `cbor:"13,keyasint,omitempty"`
}

// diff returns the delta that leads from old to st.
func diff(old, st *State) *stateDelta {
	de := &stateDelta{IsSettled: st.IsSettled, Quarantine: st.Quarantine.diff(old.Quarantine), IsUnconfirmed: st.IsUnconfirmed, Position: st.Position}
	if st.Config != nil && (old.Config == nil || st.Config.Version > old.Config.Version) {
		de.Config = st.Config
	}
	if !maps.Equal(old.Versions, st.Versions) {
		de.Versions = st.Versions
	}
	if ro := st.roster(); !reflect.DeepEqual(old.roster(), ro) {
		de.Roster = &ro
	}
	if st.EvacuatedAt != old.EvacuatedAt {
		de.Evacuations = &evacuations{Position: st.EvacuatedAt, Domains: st.Evacuated, Withdrawn: st.Withdrawn}
	}

	if !isSameSlice(old.Servers, st.Servers) {
		de.Changed, de.Removed = diffServers(old.Servers, st.Servers)
	}
	known := make(map[permit.Limit]bool, len(old.Limits))
	for _, li := range old.Limits {
		known[li] = true
	}
	for _, li := range st.Limits {
		if !known[li] || de.isNew(old, li.Server) {
			de.Limits = append(de.Limits, li)
		}
	}

	return de
}

// isNew reports whether an incarnation of a backend server is in the delta, but not in the state before. A
// follower drops the limits of those that it does not know.
func (de *stateDelta) isNew(old *State, in registry.Incarnation) bool {
	has := func(servers []registry.Status) bool {
		i, ok := slices.BinarySearchFunc(servers, in.ID, func(se registry.Status, id string) int { return strings.Compare(se.Record.ID, id) })

		return ok && servers[i].Record.BornMs == in.BornMs
	}

	return has(de.Changed) && !has(old.Servers)
}

// isOlder reports whether next has changes that must not wait: a configuration with its keys,
// versions, limits, the quarantine, evacuated failure domains, VMs, or the first confirmation.
func (st *State) isOlder(next *State) bool {
	return (next.Config != nil && (st.Config == nil || next.Config.Version > st.Config.Version)) || !maps.Equal(st.Versions, next.Versions) ||
		st.Quarantine.Revision != next.Quarantine.Revision || st.EvacuatedAt != next.EvacuatedAt || !slices.Equal(st.Limits, next.Limits) || !reflect.DeepEqual(st.roster(), next.roster()) ||
		st.IsUnconfirmed != next.IsUnconfirmed
}

// isSameSlice reports whether two lists of a State, which are never changed, are one.
func isSameSlice(a, b []registry.Status) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// diffServers returns the backend servers that changed and the IDs of those that are gone. A
// heartbeat that only raises the sequence number is no change: followers learn from the status
// whether a backend server is alive. Both lists are in the order of the IDs.
func diffServers(old, next []registry.Status) (changed []registry.Status, removed []string) {
	i := 0
	for k := range next {
		se := &next[k]
		for i < len(old) && old[i].Record.ID < se.Record.ID {
			removed = append(removed, old[i].Record.ID)
			i++
		}
		if i < len(old) && old[i].Record.ID == se.Record.ID {
			if old[i].IsLapsed != se.IsLapsed || !old[i].Record.Equal(&se.Record) {
				changed = append(changed, *se)
			}
			i++

			continue
		}
		changed = append(changed, *se)
	}
	for ; i < len(old); i++ {
		removed = append(removed, old[i].Record.ID)
	}

	return changed, removed
}

// isEmpty reports whether a delta changes nothing, so that it is only a heartbeat.
func (de *stateDelta) isEmpty() bool {
	return de.Config == nil && de.Versions == nil && de.Roster == nil && de.Quarantine == nil && de.Evacuations == nil && len(de.Limits) == 0 && len(de.Changed) == 0 && len(de.Removed) == 0
}

// View is the merged state of all controllers that a follower follows. It is never
// changed, only replaced.
type View struct {
	Table       *routing.Table    // nil before the first configuration
	Versions    map[string]uint64 // newest recorded weight version of each model
	Controllers []string
	Stores      []Store
	Formation   []string
	Quarantine  Quarantine        // of the controller that applied most of the log
	Limits      []permit.Limit    // rate limits that a broker published, the newest of each server
	Evacuated   []string          // evacuated failure domains, ascending
	EvacuatedAt uint64            // position of their last change in the log
	Withdrawn   []Withdrawn       // failure domains whose evacuation was withdrawn
	Servers     []registry.Record // alive, in the order of their IDs
}

// Withdrawn is a failure domain whose evacuation was withdrawn.
type Withdrawn struct {
	FailureDomain string
	At            time.Time // of the withdrawal
	Position      uint64    // of the withdrawal in the log
}

// IsEvacuated reports whether the backend servers of a failure domain must get nothing new.
func (vi *View) IsEvacuated(failureDomain string) bool {
	return slices.Contains(vi.Evacuated, failureDomain)
}

// Cold returns the limits of the backend servers that are cold at a time of the monotonic clock.
func (vi *View) Cold(now time.Duration) map[registry.Incarnation]permit.Cold {
	if vi.Table == nil {
		return nil
	}
	withdrawals := map[string]coldstart.Withdrawal{}
	for _, wi := range vi.Withdrawn {
		withdrawals[wi.FailureDomain] = coldstart.Withdrawal{Position: wi.Position, Age: time.Since(wi.At)}
	}

	return coldstart.Servers(now, vi.Table.Config(), withdrawals, func(yield func(re *registry.Record) bool) {
		for i := range vi.Servers {
			if !yield(&vi.Servers[i]) {
				return
			}
		}
	})
}

// Leader returns the store that leads with the highest known term, and false if none is
// known to lead.
func (vi *View) Leader() (Store, bool) {
	var best Store
	for _, st := range vi.Stores {
		if st.Leads && (best.Name == "" || st.Term > best.Term) {
			best = st
		}
	}

	return best, best.Name != ""
}

// merge applies a delta to the view, except for the lists of VMs, the evacuations and the rate limits. Versions
// and terms never decrease, so a controller that lags behind cannot undo what another one reported.
func (vi *View) merge(de *stateDelta) {
	if de.Config != nil && (vi.Table == nil || de.Config.Version > vi.Table.Version()) {
		vi.Table = routing.NewTable(de.Config)
	}
	if de.Versions != nil {
		next := maps.Clone(vi.Versions)
		if next == nil {
			next = map[string]uint64{}
		}
		for mo, v := range de.Versions {
			next[mo] = max(next[mo], v)
		}
		vi.Versions = next
	}
}

// mergeRoster applies the lists of a controller. Those of the latest position in the log replace the
// lists of the view; others only tell which store leads. isNew says that the controller has just sent them.
func (vi *View) mergeRoster(ro *roster, isLatest, isNew bool) {
	if !isLatest {
		vi.Stores = mergeLeadership(vi.Stores, ro.Stores, isNew)

		return
	}
	if len(ro.Controllers) > 0 {
		vi.Controllers = ro.Controllers
	}
	vi.Stores = mergeLeadership(ro.Stores, vi.Stores, !isNew)
	if len(ro.Formation) > 0 {
		vi.Formation = ro.Formation
	}
}

// isSameRoster reports whether two views have the same lists of VMs.
func (vi *View) isSameRoster(other *View) bool {
	return slices.Equal(vi.Controllers, other.Controllers) && slices.Equal(vi.Stores, other.Stores) && slices.Equal(vi.Formation, other.Formation)
}

// mergeEvacuations applies the evacuations of a delta that was received at a time, unless the
// view has those of a later position in the log.
func (vi *View) mergeEvacuations(ev *evacuations, at time.Time) {
	if ev == nil || ev.Position <= vi.EvacuatedAt {
		return
	}
	vi.Evacuated, vi.EvacuatedAt, vi.Withdrawn = ev.Domains, ev.Position, nil
	for _, wi := range ev.Withdrawn {
		vi.Withdrawn = append(vi.Withdrawn, Withdrawn{FailureDomain: wi.FailureDomain, At: at.Add(-wi.Age), Position: wi.Position})
	}
}

// mergeLimits adds changed limits to the known ones and keeps the newest of each server that is known, also
// while it is silent: a limit is not sent again when the server is heard again.
func mergeLimits(old, changed []permit.Limit, isKnown func(in registry.Incarnation) bool) []permit.Limit {
	if len(changed) == 0 {
		return old
	}
	newest := map[registry.Incarnation]permit.Limit{}
	for _, li := range slices.Concat(old, changed) {
		if isKnown(li.Server) && li.Revision >= newest[li.Server].Revision {
			newest[li.Server] = li
		}
	}

	return slices.SortedFunc(maps.Values(newest), func(a, b permit.Limit) int { return strings.Compare(a.Server.ID, b.Server.ID) })
}

// mergeLeadership returns a list of stores in the order of their names, with the leadership that another
// list reports in a higher term, or in the same term if that list is the newer one.
func mergeLeadership(stores, other []Store, isOtherNewer bool) []Store {
	out := slices.Clone(stores)
	for i := range out {
		k := slices.IndexFunc(other, func(o Store) bool { return o.Name == out[i].Name })
		if k < 0 {
			continue
		}
		if o := &other[k]; o.Term > out[i].Term || (isOtherNewer && o.Term == out[i].Term) {
			out[i].Leads, out[i].Term = o.Leads, o.Term
		}
	}
	slices.SortFunc(out, func(a, b Store) int { return strings.Compare(a.Name, b.Name) })

	return out
}
