// Package roster holds which VMs store batch jobs: who has announced itself, which
// replicas formed the store group, and which VMs are being emptied. It is a part
// of the replicated state of the controllers.
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

// Announce adds a member or renews what is known of it.
type Announce struct {
	Member Member `cbor:"1,keyasint"`
}

// Form fixes the replicas that form the store group. Only the first one counts.
type Form struct {
	Replicas []consensus.ReplicaID `cbor:"1,keyasint"`
}

// Retirement is the state of a VM that is being emptied.
type Retirement uint8

// States of a retirement.
const (
	Retiring Retirement = iota + 1
	Retired             // its VM may be taken away
)

// Retire asks for a VM to be emptied. Keep is the number of members that must remain.
type Retire struct {
	Name string `cbor:"1,keyasint"`
	Keep int    `cbor:"2,keyasint"`
}

// Finish says that a VM holds nothing any more that counts.
type Finish struct {
	Name string `cbor:"1,keyasint"`
}

// Book is the replicated roster.
type Book struct {
	im Image
}

// Image is a Book in a snapshot.
type Image struct {
	Members     map[string]Member     `cbor:"1,keyasint"` // by name
	Formation   []consensus.ReplicaID `cbor:"2,keyasint"`
	Retirements map[string]Retirement `cbor:"3,keyasint"` // by name
}

// NewBook returns the book of an image.
func NewBook(im Image) *Book {
	if im.Members == nil {
		im.Members = map[string]Member{}
	}
	if im.Retirements == nil {
		im.Retirements = map[string]Retirement{}
	}

	return &Book{im: im}
}

// Image returns the book's content for a snapshot.
func (bo *Book) Image() Image { return bo.im }

// Announce notes a member. It reports whether that changed anything.
func (bo *Book) Announce(an Announce) bool {
	if bo.im.Members[an.Member.Name] == an.Member {
		return false
	}
	bo.im.Members[an.Member.Name] = an.Member

	return true
}

// Form fixes the founders of the store group unless it is fixed already.
func (bo *Book) Form(fo Form) bool {
	if len(bo.im.Formation) > 0 || len(fo.Replicas) == 0 {
		return false
	}
	bo.im.Formation = slices.Clone(fo.Replicas)

	return true
}

// Retire begins to empty a VM.
func (bo *Book) Retire(re Retire) error {
	if _, ok := bo.im.Members[re.Name]; !ok {
		return result.New(result.UnknownObject, "roster: no VM %q stores batch jobs", re.Name)
	}
	if bo.im.Retirements[re.Name] != 0 {
		return nil
	}
	if n := len(bo.im.Members) - len(bo.im.Retirements) - 1; n < re.Keep {
		return result.New(result.MembershipRefused, "roster: %d VMs would store batch jobs, at least %d must", n, re.Keep)
	}
	bo.im.Retirements[re.Name] = Retiring

	return nil
}

// Finish ends a retirement.
func (bo *Book) Finish(fi Finish) bool {
	if bo.im.Retirements[fi.Name] != Retiring {
		return false
	}
	bo.im.Retirements[fi.Name] = Retired

	return true
}

// Retirement returns how far a VM is emptied, 0 when that was not asked for.
func (bo *Book) Retirement(name string) Retirement { return bo.im.Retirements[name] }

// Formation returns the replicas that formed the store group, none before that.
func (bo *Book) Formation() []consensus.ReplicaID { return bo.im.Formation }

// Members returns all members in the order of their names.
func (bo *Book) Members() []Member {
	out := make([]Member, 0, len(bo.im.Members))
	for _, me := range bo.im.Members {
		out = append(out, me)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })

	return out
}
