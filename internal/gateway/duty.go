package gateway

import (
	"context"

	"github.com/tamarackbay/tamarackbay/internal/agent"
	"github.com/tamarackbay/tamarackbay/internal/duty"
	"github.com/tamarackbay/tamarackbay/internal/machine"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

// hold returns the fencing number of a lease, and false unless an outside call may start now.
type hold = duty.Held

// duties lists the work under leases.
func (ga *Gateway) duties() []*duty.Duty {
	we, fl := newWeightsDuty(ga), newFleetDuty(ga)
	with := func(name string, work func(ctx context.Context, held hold)) *duty.Duty {
		return duty.New(duty.Config{
			Name: name, Holder: ga.holder(), Terms: ga.terms(), Group: ga.group, Now: ga.now, Work: work,
			Stopped: ga.stopped, Log: ga.cfg.Log,
		})
	}

	return []*duty.Duty{
		with(agent.LeaseWeights, we.work), with(agent.LeaseFleet, fl.work), with(machine.UsageLease, ga.reportUsage),
	}
}

// lost is the error of work that stops since its lease is not held any more.
func lost(name string) error { return result.New(result.LeaseLost, "lease %s is not held", name) }
