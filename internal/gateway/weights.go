package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/agent"
	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/machine"
	"github.com/tamarackbay/tamarackbay/internal/order"
	"github.com/tamarackbay/tamarackbay/internal/pool"
	"github.com/tamarackbay/tamarackbay/internal/weights"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

const (
	swapTimeout     = 2 * time.Minute
	describeTimeout = time.Second
)

// weightsDuty swaps the engines of each model to its latest weight version.
type weightsDuty struct {
	ga *Gateway

	mu          sync.Mutex
	planners    map[string]*weights.Planner
	storeLimits map[string]int // by version, concurrent downloads that the weight store allows; 0 if unknown
	orderCount  uint64
	fencing     uint64
}

func newWeightsDuty(ga *Gateway) *weightsDuty {
	return &weightsDuty{ga: ga, planners: map[string]*weights.Planner{}, storeLimits: map[string]int{}}
}

func (wd *weightsDuty) run(ctx context.Context, held leaseCheck) {
	fencing, ok := held()
	if !ok {
		return
	}
	if fencing != wd.fencing {
		wd.takeOver(ctx, fencing)
	}

	set := wd.ga.group.View().Set
	for name, mo := range set.Models {
		latest, ok := set.LatestVersion(name)
		if !ok {
			continue
		}
		wave := wd.waveSize(ctx, mo, latest)
		if wave == 0 {
			continue
		}
		var engines []weights.Engine
		for _, in := range wd.ga.poolOf(name).Infos() {
			engines = append(engines, weights.Engine{
				Server: in.Server, FailureDomain: in.FailureDomain, Version: in.Version, LoadedVersion: in.LoadedVersion,
				IsReady: in.State == pool.StateReady, Running: in.Running,
			})
		}
		wd.mu.Lock()
		pl := wd.planner(name)
		actions := pl.Next(wd.ga.now(), latest.Name, engines, wave)
		wd.mu.Unlock()
		for _, ac := range actions {
			go wd.executeAction(ctx, held, name, mo, ac)
		}
	}
}

// takeOver settles the intents that earlier lease holders left open. Their outcome
// need not be known: orders to engines are idempotent, and the engines report the
// version that they run.
func (wd *weightsDuty) takeOver(ctx context.Context, fencing uint64) {
	var open []order.Intent
	wd.ga.group.Read(func(ma *machine.Machine) { open = ma.Orders().Unsettled() })
	for _, in := range open {
		if in.Lease == agent.LeaseWeights && in.Fencing < fencing {
			_ = wd.ga.group.Propose(ctx, machine.KindSettleIntent, order.Settle{
				ID: in.ID, Lease: agent.LeaseWeights, Fencing: fencing, Outcome: "left by an earlier holder",
			}, nil) // on failure the intent stays open until the next holder takes over
		}
	}
	wd.mu.Lock()
	wd.fencing, wd.planners = fencing, map[string]*weights.Planner{}
	wd.mu.Unlock()
}

// planner returns the planner of a model. The caller must hold wd.mu.
func (wd *weightsDuty) planner(model string) *weights.Planner {
	pl, ok := wd.planners[model]
	if !ok {
		pl = weights.NewPlanner()
		wd.planners[model] = pl
	}

	return pl
}

// waveSize returns how many engines may load the version at once, or 0 if the weight
// store cannot describe it.
func (wd *weightsDuty) waveSize(ctx context.Context, mo declaration.Model, ve declaration.Version) int {
	if wd.ga.weightStore == nil {
		return mo.SwapWave
	}

	wd.mu.Lock()
	n := wd.storeLimits[ve.Model+"@"+ve.Name]
	wd.mu.Unlock()
	if n == 0 {
		cctx, cancel := context.WithTimeout(ctx, describeTimeout)
		defer cancel()
		in, err := wd.ga.weightStore.Describe(cctx, ve.Model, ve.Name)
		if err != nil {
			wd.ga.cfg.Meter.Count("weightStore.failed")

			return 0
		}
		n = max(in.MaxConcurrent, 1)
		wd.mu.Lock()
		wd.storeLimits[ve.Model+"@"+ve.Name] = n
		wd.mu.Unlock()
	}

	return min(n, mo.SwapWave)
}

// executeAction sends the order of an action and reports the result to the planner.
func (wd *weightsDuty) executeAction(ctx context.Context, held leaseCheck, model string, mo declaration.Model, ac weights.Action) {
	err := wd.sendOrder(ctx, held, model, mo, ac)
	wd.mu.Lock()
	wd.planner(model).Done(wd.ga.now(), ac.Server, err == nil)
	wd.mu.Unlock()
	if err != nil {
		wd.ga.cfg.Meter.Count("swaps.failed")
		wd.ga.cfg.Log.WithFields(log.Fields{"server": ac.Server, "order": ac.Kind, "version": ac.Version}).WithError(err).Warn("order to backend server failed")
	}
}

// sendOrder commits the intent of an order, sends the order to the backend server's
// agent and settles the intent.
func (wd *weightsDuty) sendOrder(ctx context.Context, held leaseCheck, model string, mo declaration.Model, ac weights.Action) error {
	se, ok := wd.ga.poolOf(model).Find(ac.Server)
	fencing, holds := held()
	if !ok || !holds {
		return leaseLost(agent.LeaseWeights)
	}

	wd.mu.Lock()
	wd.orderCount++
	id := fmt.Sprintf("w%d-%d", fencing, wd.orderCount)
	wd.mu.Unlock()
	in := order.Intent{
		ID: id, Lease: agent.LeaseWeights, Fencing: fencing, Kind: ac.Kind, Server: ac.Server, Model: model, Version: ac.Version,
	}
	if err := wd.ga.group.Propose(ctx, machine.KindOpenIntent, order.Open{Intent: in}, nil); err != nil {
		return err
	}
	// Check the lease again right before the order: the process may have been paused meanwhile.
	if f, ok := held(); !ok || f != fencing {
		return leaseLost(agent.LeaseWeights)
	}

	cctx, cancel := context.WithTimeout(ctx, swapTimeout)
	defer cancel()
	err := se.Session().Call(cctx, agent.MethodOrder, &wire.Order{
		OrderId: id, Kind: ac.Kind, Model: model, Version: ac.Version, Fencing: fencing, Giver: wd.ga.leaseHolder(),
		Drain: mo.SwapMode == declaration.SwapDrain,
	}, &wire.OrderReply{})
	outcome := "done"
	if err != nil {
		outcome = err.Error()
	}
	if serr := wd.ga.group.Propose(ctx, machine.KindSettleIntent, order.Settle{
		ID: id, Lease: agent.LeaseWeights, Fencing: fencing, Outcome: outcome,
	}, nil); serr != nil {
		wd.ga.cfg.Meter.Count("intents.unsettled")
	}

	return err
}
