// Package departure holds the incarnations of backend servers that were acknowledged to take nothing
// new. It is a part of the replicated state of the controllers.
package departure

import (
	"slices"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

const (
	// Retention is how long a departure is retained, in the time of the log. It is well above the
	// seconds by which a heartbeat can be late.
	Retention = 10 * time.Minute
	// maxDepartures bounds the departures that are retained.
	maxDepartures = 16_384
)

// Record records that an incarnation of a backend server takes nothing new.
type Record struct {
	// Server is the record of the heartbeat that said so, or the incarnation alone if it has left.
	Server  registry.Record `cbor:"1,keyasint"`
	HasLeft bool            `cbor:"2,keyasint,omitempty"` // otherwise it drains
	// IsUnnamed is set if it is not known which incarnation has left: the Record then holds for each that started
	// before it was committed, and Server.BornMs is the time of the commit.
	IsUnnamed bool `cbor:"5,keyasint,omitempty"`
}

// Reply is the reply to a Record.
type Reply struct {
	Position uint64 `cbor:"1,keyasint"` // of the departure of this incarnation in the log
}

// Departure is the departure of an incarnation.
type Departure struct {
	Record
	Position uint64 `cbor:"3,keyasint"` // in the log
	AtMs     int64  `cbor:"4,keyasint"` // Unix milliseconds
}

// State holds the replicated departures.
type State struct {
	departures []Departure                     // in the order of their positions
	positions  map[registry.Incarnation]uint64 // of all departures
}

// Snapshot is the encoded form of a State: its departures in the order of their positions.
type Snapshot []Departure

// NewState returns the state with the content of a snapshot.
func NewState(sn Snapshot) *State {
	st := &State{departures: sn, positions: make(map[registry.Incarnation]uint64, len(sn))}
	for i := range sn {
		st.positions[sn[i].Server.Incarnation()] = sn[i].Position
	}

	return st
}

// Snapshot returns the state's encoded form.
func (st *State) Snapshot() Snapshot { return st.departures }

// Revision returns the position of the last change, 0 before the first one.
func (st *State) Revision() uint64 {
	if n := len(st.departures); n > 0 {
		return st.departures[n-1].Position
	}

	return 0
}

// Since returns the departures after a position, in the order of their positions.
func (st *State) Since(position uint64) []Departure {
	return slices.Clone(st.departures[st.index(position+1):])
}

// Of returns the departure of an incarnation, and false if there is none.
func (st *State) Of(in registry.Incarnation) (Departure, bool) {
	position, ok := st.positions[in]
	if !ok {
		return Departure{}, false
	}

	return st.departures[st.index(position)], true
}

// Apply applies a Record at a position of the log.
func (st *State) Apply(re Record, position uint64, atMs int64) (Reply, error) {
	if re.Server.ID == "" {
		return Reply{}, result.New(result.InvalidDeclaration, "departure: the backend server has no ID")
	}
	if re.IsUnnamed {
		re.Server.BornMs, re.HasLeft = atMs, true
	}
	old, ok := st.Of(re.Server.Incarnation())
	if ok && (old.HasLeft || (!re.HasLeft && re.Server.Sequence <= old.Server.Sequence)) {
		return Reply{Position: old.Position}, nil
	}
	if ok {
		st.remove(st.index(old.Position), 1)
	}
	st.dropOldest(atMs)
	if re.HasLeft {
		re.Server = registry.Record{ID: re.Server.ID, BornMs: re.Server.BornMs}
	}
	st.departures = append(st.departures, Departure{Record: re, Position: position, AtMs: atMs})
	st.positions[re.Server.Incarnation()] = position

	return Reply{Position: position}, nil
}

// index returns the index of the first departure at a position or after it.
func (st *State) index(position uint64) int {
	i, _ := slices.BinarySearchFunc(st.departures, position, func(de Departure, position uint64) int {
		switch {
		case de.Position < position:
			return -1
		case de.Position > position:
			return 1
		}

		return 0
	})

	return i
}

// dropOldest drops the departures before the Retention, and as many more as make room for one.
func (st *State) dropOldest(atMs int64) {
	n := max(len(st.departures)-maxDepartures+1, 0)
	for n < len(st.departures) && st.departures[n].AtMs+Retention.Milliseconds() < atMs {
		n++
	}
	st.remove(0, n)
}

// remove removes the n departures from index i on.
func (st *State) remove(i, n int) {
	for _, de := range st.departures[i : i+n] {
		delete(st.positions, de.Server.Incarnation())
	}
	st.departures = slices.Delete(st.departures, i, i+n)
}
