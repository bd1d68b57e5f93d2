package jobdriver

import (
	"maps"
	"math"
	"time"
)

const (
	// demandHalfLife is the time after which generated events count half as demand: a
	// few steps of a trainer.
	demandHalfLife = 15 * time.Second
)

// Demand returns the recently generated events of each model, weighted by their age.
func (dr *Driver) Demand() map[string]float64 {
	dr.mu.Lock()
	defer dr.mu.Unlock()

	dr.decayDemand()

	return maps.Clone(dr.demand)
}

// decayDemand decays the demand by the time since the last call. The caller holds dr.mu.
func (dr *Driver) decayDemand() {
	now := time.Now()
	f := math.Exp2(-now.Sub(dr.demandAt).Seconds() / demandHalfLife.Seconds())
	dr.demandAt = now
	for model := range dr.demand {
		dr.demand[model] *= f
	}
}
