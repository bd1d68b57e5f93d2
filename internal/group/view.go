package group

import (
	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/quarantine"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
)

// View is a process's copy of the configuration and the quarantine. It is never changed,
// only replaced.
type View struct {
	Version    uint64
	Revision   uint64
	Set        *declaration.Set
	Quarantine map[string]quarantine.Entry
}

func newView(fu statemachine.FullState) (*View, error) {
	vi := &View{Version: fu.Version, Revision: fu.Revision, Set: declaration.NewSet(), Quarantine: fu.Quarantine}
	if vi.Quarantine == nil {
		vi.Quarantine = map[string]quarantine.Entry{}
	}
	if len(fu.Ops) == 0 {
		return vi, nil
	}

	return vi, vi.Set.Apply(fu.Ops)
}

// withDeltas returns the view with deltas applied. It copies only what they change.
func (vi *View) withDeltas(deltas []statemachine.Delta) (*View, error) {
	n := *vi
	changedSet, changedQuarantine := false, false
	for _, d := range deltas {
		if d.Revision <= n.Revision {
			continue
		}
		n.Revision = d.Revision
		if d.Change != nil {
			if !changedSet {
				n.Set, changedSet = vi.Set.Clone(), true
			}
			if err := n.Set.Apply(d.Change.Ops); err != nil {
				return nil, err
			}
			n.Version = d.Change.Version
		}
		if d.Quarantine != nil && !changedQuarantine {
			n.Quarantine, changedQuarantine = cloneEntries(vi.Quarantine), true
		}
		for fp, en := range d.Quarantine {
			if en.IsClear() {
				delete(n.Quarantine, fp)
			} else {
				n.Quarantine[fp] = en
			}
		}
	}

	return &n, nil
}

func cloneEntries(m map[string]quarantine.Entry) map[string]quarantine.Entry {
	c := make(map[string]quarantine.Entry, len(m)+1)
	for k, v := range m {
		c[k] = v
	}

	return c
}
