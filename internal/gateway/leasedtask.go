package gateway

import (
	"context"

	"github.com/tamarackbay/tamarackbay/internal/agent"
	"github.com/tamarackbay/tamarackbay/internal/leasedtask"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
)

// leaseCheck returns the fencing number of a lease, and whether enough of the lease
// is left to start an outside call now.
type leaseCheck = leasedtask.Held

// leasedTasks returns the work that only the holder of a lease may do.
func (ga *Gateway) leasedTasks() []*leasedtask.Task {
	we, fl := newWeightsTask(ga), newFleetTask(ga)
	with := func(name string, work func(ctx context.Context, held leaseCheck)) *leasedtask.Task {
		return leasedtask.New(leasedtask.Config{
			Name: name, Holder: ga.leaseHolder(), Timing: ga.leaseTiming(), Group: ga.group, Now: ga.now, Work: work,
			Stopped: ga.stopped, Log: ga.cfg.Log,
		})
	}

	return []*leasedtask.Task{
		with(agent.LeaseWeights, we.run), with(agent.LeaseFleet, fl.run), with(statemachine.UsageLease, ga.reportUsage),
	}
}

// leaseLost returns the error of work that stopped because its lease is no longer held.
func leaseLost(name string) error {
	return result.New(result.LeaseLost, "lease %s is no longer held by this gateway", name)
}
