// Package evacuation holds the failure domains whose backend servers must get nothing new, as
// operators requested. It is a part of the replicated state of the controllers.
package evacuation

import (
	"slices"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

const (
	// maxNameBytes bounds the name of a failure domain.
	maxNameBytes = 256
	// maxDomains bounds the failure domains that are remembered. It is far above the 21 of the
	// largest deployment that is planned.
	maxDomains = 1024
)

// Change requests the evacuation of a failure domain, or withdraws the request.
type Change struct {
	FailureDomain string `cbor:"1,keyasint"`
	IsWithdrawn   bool   `cbor:"2,keyasint"`
	// Base is the position in the log that the controller had applied when it received the call.
	// A Change that is committed after a later call for the same failure domain has no effect.
	Base uint64 `cbor:"3,keyasint"`
}

// Reply is the reply to a Change.
type Reply struct {
	IsStale  bool   `cbor:"1,keyasint"` // it had no effect, as a later one was committed before it
	Revision uint64 `cbor:"2,keyasint"` // position of the last change of the evacuated failure domains
}

// Domain is the state of a failure domain for which a Change was committed.
type Domain struct {
	IsEvacuated   bool   `cbor:"1,keyasint"`
	Position      uint64 `cbor:"2,keyasint"` // of the last Change that had an effect
	WithdrawnAtMs int64  `cbor:"3,keyasint"` // when its last evacuation was withdrawn, Unix milliseconds; 0 for never
	Withdrawn     uint64 `cbor:"4,keyasint"` // position of that withdrawal
}

// State holds the replicated evacuations.
type State struct {
	snapshot Snapshot
}

// Snapshot is the encoded form of a State.
type Snapshot struct {
	Domains  map[string]Domain `cbor:"1,keyasint"`
	Revision uint64            `cbor:"2,keyasint"` // position of the last change of the evacuated failure domains
	Floor    uint64            `cbor:"3,keyasint"` // largest position of a Domain that was dropped
}

// NewState returns the state with the content of a snapshot.
func NewState(sn Snapshot) *State {
	if sn.Domains == nil {
		sn.Domains = map[string]Domain{}
	}

	return &State{snapshot: sn}
}

// Snapshot returns the state's encoded form.
func (st *State) Snapshot() Snapshot { return st.snapshot }

// Revision returns the position of the last change of the evacuated failure domains.
func (st *State) Revision() uint64 { return st.snapshot.Revision }

// Domains returns the failure domains for which a Change was committed, by name. The map must
// not be changed.
func (st *State) Domains() map[string]Domain { return st.snapshot.Domains }

// Evacuated returns the evacuated failure domains, ascending.
func (st *State) Evacuated() []string {
	var out []string
	for name, do := range st.snapshot.Domains {
		if do.IsEvacuated {
			out = append(out, name)
		}
	}
	slices.Sort(out)

	return out
}

// Apply applies a Change at a position of the log.
func (st *State) Apply(ch Change, position uint64, atMs int64) (Reply, error) {
	sn := &st.snapshot
	if n := len(ch.FailureDomain); n == 0 || n > maxNameBytes {
		return Reply{}, result.New(result.InvalidDeclaration, "evacuation: the name of a failure domain has %d bytes, 1 to %d are allowed", n, maxNameBytes)
	}
	do, ok := sn.Domains[ch.FailureDomain]
	if do.Position > ch.Base || (!ok && sn.Floor > ch.Base) {
		return Reply{IsStale: do.IsEvacuated == ch.IsWithdrawn, Revision: sn.Revision}, nil
	}
	if !ok && !st.makeRoom() {
		return Reply{}, result.New(result.InvalidDeclaration, "evacuation: %d failure domains are evacuated, the limit", maxDomains)
	}
	if do.IsEvacuated == ch.IsWithdrawn {
		sn.Revision = position
		if do.IsEvacuated = !ch.IsWithdrawn; ch.IsWithdrawn {
			do.WithdrawnAtMs, do.Withdrawn = atMs, position
		}
	}
	do.Position = position
	sn.Domains[ch.FailureDomain] = do

	return Reply{Revision: sn.Revision}, nil
}

// makeRoom drops the failure domain that was withdrawn first if there are maxDomains. It
// returns false if all of them are evacuated.
func (st *State) makeRoom() bool {
	sn := &st.snapshot
	if len(sn.Domains) < maxDomains {
		return true
	}
	oldest := ""
	for name, do := range sn.Domains {
		if !do.IsEvacuated && (oldest == "" || do.Position < sn.Domains[oldest].Position) {
			oldest = name
		}
	}
	if oldest == "" {
		return false
	}
	sn.Floor = max(sn.Floor, sn.Domains[oldest].Position)
	delete(sn.Domains, oldest)

	return true
}
