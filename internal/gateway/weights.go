package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/agent"
	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/intent"
	"github.com/tamarackbay/tamarackbay/internal/pool"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/weights"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

const (
	swapTimeout     = 2 * time.Minute
	describeTimeout = time.Second
)

// weightsTask swaps the engines of each model to its latest weight version.
type weightsTask struct {
	ga *Gateway

	mu          sync.Mutex
	planners    map[string]*weights.Planner
	storeLimits map[string]int // by version, concurrent downloads that the weight store allows; 0 if unknown
	orderCount  uint64
	fencing     uint64
}

func newWeightsTask(ga *Gateway) *weightsTask {
	return &weightsTask{ga: ga, planners: map[string]*weights.Planner{}, storeLimits: map[string]int{}}
}

func (wt *weightsTask) run(ctx context.Context, held leaseCheck) {
	fencing, ok := held()
	if !ok {
		return
	}
	if fencing != wt.fencing {
		wt.takeOver(ctx, fencing)
	}

	set := wt.ga.group.View().Set
	for name, mo := range set.Models {
		latest, ok := set.LatestVersion(name)
		if !ok {
			continue
		}
		wave := wt.waveSize(ctx, mo, latest)
		if wave == 0 {
			continue
		}
		var engines []weights.Engine
		for _, in := range wt.ga.poolOf(name).Infos() {
			engines = append(engines, weights.Engine{
				Server: in.Server, FailureDomain: in.FailureDomain, Version: in.Version, LoadedVersion: in.LoadedVersion,
				IsReady: in.State == pool.StateReady, Running: in.Running,
			})
		}
		wt.mu.Lock()
		pl := wt.planner(name)
		actions := pl.Next(wt.ga.now(), latest.Name, engines, wave)
		wt.mu.Unlock()
		for _, ac := range actions {
			go wt.executeAction(ctx, held, name, mo, ac)
		}
	}
}

// takeOver settles the intents that earlier lease holders left open. Their outcome
// need not be known: orders to engines are idempotent, and the engines report the
// version that they run.
func (wt *weightsTask) takeOver(ctx context.Context, fencing uint64) {
	var open []intent.Intent
	wt.ga.group.Read(func(ma *statemachine.Machine) { open = ma.Intents().Unsettled() })
	for _, in := range open {
		if in.Lease == agent.LeaseWeights && in.Fencing < fencing {
			_ = wt.ga.group.Propose(ctx, statemachine.KindSettleIntent, intent.Settle{
				ID: in.ID, Lease: agent.LeaseWeights, Fencing: fencing, Outcome: "left by an earlier holder",
			}, nil) // on failure the intent stays open until the next holder takes over
		}
	}
	wt.mu.Lock()
	wt.fencing, wt.planners = fencing, map[string]*weights.Planner{}
	wt.mu.Unlock()
}

// planner returns the planner of a model. The caller must hold wt.mu.
func (wt *weightsTask) planner(model string) *weights.Planner {
	pl, ok := wt.planners[model]
	if !ok {
		pl = weights.NewPlanner()
		wt.planners[model] = pl
	}

	return pl
}

// waveSize returns how many engines may load the version at once, or 0 if the weight
// store cannot describe it.
func (wt *weightsTask) waveSize(ctx context.Context, mo declaration.Model, ve declaration.Version) int {
	if wt.ga.weightStore == nil {
		return mo.SwapWave
	}

	wt.mu.Lock()
	n := wt.storeLimits[ve.Model+"@"+ve.Name]
	wt.mu.Unlock()
	if n == 0 {
		cctx, cancel := context.WithTimeout(ctx, describeTimeout)
		defer cancel()
		in, err := wt.ga.weightStore.Describe(cctx, ve.Model, ve.Name)
		if err != nil {
			wt.ga.cfg.Meter.Count("weightStore.failed")

			return 0
		}
		n = max(in.MaxConcurrent, 1)
		wt.mu.Lock()
		wt.storeLimits[ve.Model+"@"+ve.Name] = n
		wt.mu.Unlock()
	}

	return min(n, mo.SwapWave)
}

// executeAction sends the order of an action and reports the result to the planner.
func (wt *weightsTask) executeAction(ctx context.Context, held leaseCheck, model string, mo declaration.Model, ac weights.Action) {
	err := wt.sendOrder(ctx, held, model, mo, ac)
	wt.mu.Lock()
	wt.planner(model).Done(wt.ga.now(), ac.Server, err == nil)
	wt.mu.Unlock()
	if err != nil {
		wt.ga.cfg.Meter.Count("swaps.failed")
		wt.ga.cfg.Log.WithFields(log.Fields{"server": ac.Server, "order": ac.Kind, "version": ac.Version}).WithError(err).Warn("order to backend server failed")
	}
}

// sendOrder commits the intent of an order, sends the order to the backend server's
// agent and settles the intent.
func (wt *weightsTask) sendOrder(ctx context.Context, held leaseCheck, model string, mo declaration.Model, ac weights.Action) error {
	se, ok := wt.ga.poolOf(model).Find(ac.Server)
	fencing, holds := held()
	if !ok || !holds {
		return leaseLost(agent.LeaseWeights)
	}

	wt.mu.Lock()
	wt.orderCount++
	id := fmt.Sprintf("w%d-%d", fencing, wt.orderCount)
	wt.mu.Unlock()
	in := intent.Intent{
		ID: id, Lease: agent.LeaseWeights, Fencing: fencing, Kind: ac.Kind, Server: ac.Server, Model: model, Version: ac.Version,
	}
	if err := wt.ga.group.Propose(ctx, statemachine.KindOpenIntent, intent.Open{Intent: in}, nil); err != nil {
		return err
	}
	// Check the lease again right before the order: the process may have been paused meanwhile.
	if f, ok := held(); !ok || f != fencing {
		return leaseLost(agent.LeaseWeights)
	}

	cctx, cancel := context.WithTimeout(ctx, swapTimeout)
	defer cancel()
	err := se.Session().Call(cctx, agent.MethodOrder, &wire.Order{
		OrderId: id, Kind: ac.Kind, Model: model, Version: ac.Version, Fencing: fencing, Giver: wt.ga.leaseHolder(),
		Drain: mo.SwapMode == declaration.SwapDrain,
	}, &wire.OrderReply{})
	outcome := "done"
	if err != nil {
		outcome = err.Error()
	}
	if serr := wt.ga.group.Propose(ctx, statemachine.KindSettleIntent, intent.Settle{
		ID: id, Lease: agent.LeaseWeights, Fencing: fencing, Outcome: outcome,
	}, nil); serr != nil {
		wt.ga.cfg.Meter.Count("intents.unsettled")
	}

	return err
}
