// Package roster records which VMs store batch jobs: the VMs that have announced
// themselves, the replicas that formed the store group, and the VMs that are being
// drained. It is a part of the replicated state of the controllers.
package roster

import (
	"slices"
	"strings"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

// Member is a VM that stores batch jobs.
type Member struct {
	Name          string              `cbor:"1,keyasint"`
	Replica       consensus.ReplicaID `cbor:"2,keyasint"`
	Address       string              `cbor:"3,keyasint"` // of its peer listener
	FailureDomain string              `cbor:"4,keyasint"`
}

// Announce adds a member or replaces its record.
type Announce struct {
	Member Member `cbor:"1,keyasint"`
}

// Form sets the replicas that form the store group. Only the first Form has an effect.
type Form struct {
	Replicas []consensus.ReplicaID `cbor:"1,keyasint"`
}

// Retirement is the state of a VM that is being drained before it is removed.
type Retirement uint8

// States of a retirement.
const (
	Retiring Retirement = iota + 1
	Retired             // the VM may be removed
)

// Retire requests that a VM is drained. MinRemaining is the number of other members that must remain.
type Retire struct {
	Name         string `cbor:"1,keyasint"`
	MinRemaining int    `cbor:"2,keyasint"`
}

// Finish reports that a VM holds no data any more that the group needs.
type Finish struct {
	Name string `cbor:"1,keyasint"`
}

// Roster holds the replicated members, formation and retirements.
type Roster struct {
	snapshot Snapshot
}

// Snapshot is the encoded form of a Roster.
type Snapshot struct {
	Members     map[string]Member     `cbor:"1,keyasint"` // by name
	Formation   []consensus.ReplicaID `cbor:"2,keyasint"`
	Retirements map[string]Retirement `cbor:"3,keyasint"` // by name
}

// NewRoster returns a roster with the content of a snapshot.
func NewRoster(sn Snapshot) *Roster {
	if sn.Members == nil {
		sn.Members = map[string]Member{}
	}
	if sn.Retirements == nil {
		sn.Retirements = map[string]Retirement{}
	}

	return &Roster{snapshot: sn}
}

// Snapshot returns the roster's encoded form.
func (ro *Roster) Snapshot() Snapshot { return ro.snapshot }

// Announce records a member and reports whether that changed anything.
func (ro *Roster) Announce(an Announce) bool {
	if ro.snapshot.Members[an.Member.Name] == an.Member {
		return false
	}
	ro.snapshot.Members[an.Member.Name] = an.Member

	return true
}

// Form sets the replicas that form the store group and reports whether it did. It has no
// effect if they are already set.
func (ro *Roster) Form(fo Form) bool {
	if len(ro.snapshot.Formation) > 0 || len(fo.Replicas) == 0 {
		return false
	}
	ro.snapshot.Formation = slices.Clone(fo.Replicas)

	return true
}

// Retire starts to drain a VM. It returns an error if too few members would remain.
func (ro *Roster) Retire(re Retire) error {
	if _, ok := ro.snapshot.Members[re.Name]; !ok {
		return result.New(result.UnknownObject, "roster: no VM %q stores batch jobs", re.Name)
	}
	if ro.snapshot.Retirements[re.Name] != 0 {
		return nil
	}
	if n := len(ro.snapshot.Members) - len(ro.snapshot.Retirements) - 1; n < re.MinRemaining {
		return result.New(result.MembershipRefused, "roster: only %d VMs would be left to store batch jobs, at least %d must be", n, re.MinRemaining)
	}
	ro.snapshot.Retirements[re.Name] = Retiring

	return nil
}

// Finish ends the retirement of a VM and reports whether one was in progress.
func (ro *Roster) Finish(fi Finish) bool {
	if ro.snapshot.Retirements[fi.Name] != Retiring {
		return false
	}
	ro.snapshot.Retirements[fi.Name] = Retired

	return true
}

// Retirement returns the state of the retirement of a VM, 0 if none was requested.
func (ro *Roster) Retirement(name string) Retirement { return ro.snapshot.Retirements[name] }

// Formation returns the replicas that formed the store group, none before they are set.
func (ro *Roster) Formation() []consensus.ReplicaID { return ro.snapshot.Formation }

// Members returns all members in the order of their names.
func (ro *Roster) Members() []Member {
	out := make([]Member, 0, len(ro.snapshot.Members))
	for _, me := range ro.snapshot.Members {
		out = append(out, me)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })

	return out
}
