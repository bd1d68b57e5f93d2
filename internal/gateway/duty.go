package gateway

import (
	"context"

	"github.com/tamarackbay/tamarackbay/internal/agent"
	"github.com/tamarackbay/tamarackbay/internal/duty"
	"github.com/tamarackbay/tamarackbay/internal/machine"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

// leaseCheck returns the fencing number of a lease, and false unless an outside call may start now.
type leaseCheck = duty.Held

// duties lists the work under leases.
func (ga *Gateway) duties() []*duty.Duty {
	we, fl := newWeightsDuty(ga), newFleetDuty(ga)
	with := func(name string, work func(ctx context.Context, held leaseCheck)) *duty.Duty {
		return duty.New(duty.Config{
			Name: name, Holder: ga.leaseHolder(), Terms: ga.leaseTerms(), Group: ga.group, Now: ga.now, Work: work,
			Stopped: ga.stopped, Log: ga.cfg.Log,
		})
	}

	return []*duty.Duty{
		with(agent.LeaseWeights, we.run), with(agent.LeaseFleet, fl.run), with(machine.UsageLease, ga.reportUsage),
	}
}

// leaseLost is the error of work that stops since its lease is not held any more.
func leaseLost(name string) error { return result.New(result.LeaseLost, "lease %s is not held", name) }
