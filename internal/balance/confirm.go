package balance

import (
	"time"

	"github.com/tamarackbay/tamarackbay/internal/registry"
)

// Suspend keeps an incarnation of a backend server from being picked for a time, or until its
// record names another incarnation; 0 ends that. It returns false if the backend server is not
// known, not ready, or takes no further request now.
func (ba *Balancer) Suspend(in registry.Incarnation, d time.Duration) bool {
	ba.mu.Lock()
	defer ba.mu.Unlock()

	for _, se := range ba.services {
		for i, sv := range se.servers {
			if sv.record.Incarnation() != in {
				continue
			}
			if d > 0 && (!se.cands[i].IsReady || !ba.cfg.Permits.Allows(in)) {
				return false
			}
			sv.suspendedUntil = ba.cfg.Now() + d

			return true
		}
	}

	return false
}

// BornMs returns the start of the incarnation that the record of a backend server names, 0 if it
// is not known.
func (ba *Balancer) BornMs(service, id string) int64 {
	ba.mu.Lock()
	defer ba.mu.Unlock()

	se := ba.services[service]
	if se == nil {
		return 0
	}
	for _, sv := range se.servers {
		if sv.record.ID == id {
			return sv.record.BornMs
		}
	}

	return 0
}
