// Package coldstart tells which backend servers are cold, and how many requests they take while
// they are. Every process decides this from the same state: what heartbeats report, the
// configuration, and the withdrawals of evacuations, after which all servers of a failure domain
// may be cold.
package coldstart

import (
	"time"

	"github.com/tamarackbay/tamarackbay/internal/permit"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/routing"
)

// Withdrawal is the end of an evacuation of a failure domain.
type Withdrawal struct {
	Position uint64        // in the controllers' log
	Age      time.Duration // since it was committed
}

// Servers returns the limits of the backend servers that are cold at a time of the monotonic
// clock. records returns each backend server in turn. withdrawals has the last one of each
// failure domain.
func Servers(now time.Duration, cfg *routing.Config, withdrawals map[string]Withdrawal, records func(yield func(re *registry.Record) bool)) map[registry.Incarnation]permit.Cold {
	services := map[string]*routing.Service{}
	for i := range cfg.Services {
		if se := &cfg.Services[i]; se.HasColdStart() {
			services[se.Name] = se
		}
	}
	if len(services) == 0 {
		return nil
	}

	out := map[registry.Incarnation]permit.Cold{}
	for re := range records {
		se := services[re.Service]
		if se == nil {
			continue
		}
		if re.IsCold {
			out[re.Incarnation()] = permit.Cold{PerSecond: se.ColdPerSecond}

			continue
		}
		wi, ok := withdrawals[re.FailureDomain]
		if ok && re.WarmAfter < wi.Position && wi.Age < se.ColdStart {
			out[re.Incarnation()] = permit.Cold{PerSecond: se.ColdPerSecond, Until: now + se.ColdStart - wi.Age}
		}
	}

	return out
}
