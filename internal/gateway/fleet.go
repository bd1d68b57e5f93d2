package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/agent"
	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/fleet"
	"github.com/tamarackbay/tamarackbay/internal/intent"
	"github.com/tamarackbay/tamarackbay/internal/ordering"
	"github.com/tamarackbay/tamarackbay/internal/pool"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

const (
	fleetPeriod          = 500 * time.Millisecond
	drainTimeout         = 60 * time.Second // after it a draining backend server is stopped even if requests still run on it
	startupTimeoutFactor = 4                // multiple of the class's start-up time after which an absent backend server counts as lost
)

// fleetTask orders backend servers from the platform.
type fleetTask struct {
	ga            *Gateway
	planners      map[string]*fleet.Planner
	fencing       uint64
	orderCount    uint64
	nextRunAt     time.Duration
	lastSeen      map[string]time.Duration // when a listed server was last connected; until then, when it was first listed
	drainingSince map[string]time.Duration // when the draining of a server began
}

func newFleetTask(ga *Gateway) *fleetTask { return &fleetTask{ga: ga} }

func (ft *fleetTask) run(ctx context.Context, held leaseCheck) {
	fencing, ok := held()
	if !ok || ft.ga.ordering == nil || ft.ga.now() < ft.nextRunAt {
		return
	}
	ft.nextRunAt = ft.ga.now() + fleetPeriod
	if fencing != ft.fencing {
		ft.fencing = fencing
		ft.planners = map[string]*fleet.Planner{}
		ft.lastSeen, ft.drainingSince = map[string]time.Duration{}, map[string]time.Duration{}
	}
	if !ft.resendUnsettled(ctx, held) {
		return // order nothing more until the outcome of every earlier order is known
	}

	cctx, cancel := context.WithTimeout(ctx, ft.ga.leaseTiming().MaxCall)
	listed, err := ft.ga.ordering.Servers(cctx)
	cancel()
	if err != nil {
		ft.ga.cfg.Meter.Count("ordering.failed")

		return
	}
	set := ft.ga.group.View().Set
	for class, bounds := range set.Fleet {
		ft.resizeClass(ctx, held, class, set.Classes[class], bounds, listed)
	}
}

// resendUnsettled sends the orders of unsettled intents again, under their original
// IDs. It returns false if any of them remains unsettled.
func (ft *fleetTask) resendUnsettled(ctx context.Context, held leaseCheck) bool {
	var open []intent.Intent
	ft.ga.group.Read(func(ma *statemachine.Machine) { open = ma.Intents().Unsettled() })
	for _, in := range open {
		if in.Lease == agent.LeaseFleet && ft.sendOrder(ctx, held, in) != nil {
			return false
		}
	}

	return true
}

// sendOrder sends the order of a committed intent to the platform and settles the intent.
func (ft *fleetTask) sendOrder(ctx context.Context, held leaseCheck, in intent.Intent) error {
	f, ok := held()
	if !ok || f != ft.fencing {
		return leaseLost(agent.LeaseFleet)
	}

	action := ordering.ActionStart
	if in.Kind == intent.KindStop {
		action = ordering.ActionStop
	}
	cctx, cancel := context.WithTimeout(ctx, ft.ga.leaseTiming().MaxCall)
	defer cancel()
	an, err := ft.ga.ordering.Send(cctx, ordering.Order{
		ID: in.ID, Action: action, Class: in.Class, FailureDomain: in.FailureDomain, Server: in.Server,
		Fencing: ft.fencing, LeaseHolder: ft.ga.leaseHolder(),
	})
	if err != nil {
		ft.ga.cfg.Meter.Count("ordering.failed")

		return err
	}

	return ft.ga.group.Propose(ctx, statemachine.KindSettleIntent, intent.Settle{
		ID: in.ID, Lease: agent.LeaseFleet, Fencing: ft.fencing, Outcome: an.State, Server: an.Server,
	}, nil)
}

// placeOrder commits an intent and sends its order.
func (ft *fleetTask) placeOrder(ctx context.Context, held leaseCheck, in intent.Intent) {
	ft.orderCount++
	in.ID = fmt.Sprintf("f%d-%d", ft.fencing, ft.orderCount)
	in.Lease, in.Fencing = agent.LeaseFleet, ft.fencing
	if err := ft.ga.group.Propose(ctx, statemachine.KindOpenIntent, intent.Open{Intent: in}, nil); err != nil {
		return // the intent may be committed all the same: resendUnsettled then sends the order
	}
	ft.ga.cfg.Meter.Count("orders." + in.Kind)
	_ = ft.sendOrder(ctx, held, in) // on failure resendUnsettled sends it again
}

func (ft *fleetTask) resizeClass(ctx context.Context, held leaseCheck, class string, cl declaration.Class, bounds declaration.FleetBounds, listed []ordering.Server) {
	infos := map[string]pool.Info{}
	po := ft.ga.poolOf(cl.Serves())
	for _, in := range po.Infos() {
		infos[in.Server] = in
	}
	in := fleet.Input{Now: ft.ga.now(), Class: cl, Bounds: bounds}
	for _, b := range listed {
		if b.Class != class {
			continue
		}
		if ft.retire(ctx, held, b, infos, cl) {
			continue
		}
		info, isSeen := infos[b.Name]
		_, isDraining := ft.drainingSince[b.Name]
		in.Servers = append(in.Servers, fleet.Server{
			Name: b.Name, FailureDomain: b.FailureDomain, IsReady: isSeen && info.State == pool.StateReady,
			IsDraining: isDraining, Running: info.Running,
		})
	}
	in.Running, in.Waiting = ft.demand(ctx, cl.Serves())

	if ft.planners[class] == nil {
		ft.planners[class] = fleet.NewPlanner()
	}
	de := ft.planners[class].Next(in)
	ft.ga.setFleetReason(class, de.Reason)
	for _, d := range de.Start {
		ft.placeOrder(ctx, held, intent.Intent{Kind: intent.KindStart, Class: class, FailureDomain: d})
	}
	for _, name := range de.Stop {
		ft.drain(ctx, held, po, name)
	}
}

// demand returns the number of running and waiting requests on all gateways.
func (ft *fleetTask) demand(ctx context.Context, serves string) (running, waiting int) {
	own := ft.ga.poolOf(serves).Demand()
	running, waiting = own.Running, own.Waiting
	for _, a := range ft.ga.group.ConnectedPeers("") {
		cctx, cancel := context.WithTimeout(ctx, ft.ga.leaseTiming().MaxCall)
		var rep wire.Load
		if err := ft.ga.group.Call(cctx, a, methodDemand, &wire.QueryRequest{Kind: serves}, &rep); err == nil {
			running += int(rep.GetRunning())
			waiting += int(rep.GetQueued())
		}
		cancel()
	}

	return running, waiting
}

// drain stops new work for a backend server; retire stops the server once it is idle.
func (ft *fleetTask) drain(ctx context.Context, held leaseCheck, po *pool.Pool, name string) {
	se, ok := po.Find(name)
	if !ok {
		ft.drainingSince[name] = ft.ga.now()

		return
	}
	fencing, holds := held()
	if !holds {
		return
	}

	cctx, cancel := context.WithTimeout(ctx, ft.ga.leaseTiming().MaxCall)
	defer cancel()
	err := se.Session().Call(cctx, agent.MethodOrder, &wire.Order{
		OrderId: fmt.Sprintf("d%d-%s", fencing, name), Kind: agent.KindDrain, Fencing: fencing, Giver: ft.ga.leaseHolder(),
	}, &wire.OrderReply{})
	if err == nil {
		po.Drain(name)
		ft.drainingSince[name] = ft.ga.now()
	}
}

// retire orders the platform to stop a backend server that has drained or counts as
// lost, and reports whether it did.
func (ft *fleetTask) retire(ctx context.Context, held leaseCheck, b ordering.Server, infos map[string]pool.Info, cl declaration.Class) bool {
	now := ft.ga.now()
	info, isSeen := infos[b.Name]
	if _, ok := ft.lastSeen[b.Name]; !ok || isSeen {
		ft.lastSeen[b.Name] = now
	}
	if isSeen && info.State == pool.StateDraining {
		if _, ok := ft.drainingSince[b.Name]; !ok {
			ft.drainingSince[b.Name] = now // an earlier lease holder began to drain it
		}
	}

	startupTimeout := startupTimeoutFactor * time.Duration(cl.StartupMs) * time.Millisecond
	since, isDraining := ft.drainingSince[b.Name]
	isDrained := isDraining && (!isSeen || (info.Running == 0 && info.State == pool.StateDraining) || now > since+drainTimeout)
	isLost := !isSeen && now > ft.lastSeen[b.Name]+startupTimeout
	if !isDrained && !isLost {
		return false
	}
	if isLost {
		ft.ga.cfg.Log.WithFields(log.Fields{"server": b.Name, "order": b.OrderID}).Warn("ordered backend server has been absent for too long, it will be stopped")
	}
	ft.placeOrder(ctx, held, intent.Intent{Kind: intent.KindStop, Class: b.Class, FailureDomain: b.FailureDomain, Server: b.Name})
	delete(ft.drainingSince, b.Name)
	delete(ft.lastSeen, b.Name)

	return true
}

func (ga *Gateway) setFleetReason(class, why string) {
	ga.mu.Lock()
	defer ga.mu.Unlock()

	ga.fleetReasons[class] = why
}

// FleetReasons returns the reason of this gateway's last decision on each class. It
// is empty on a gateway that never held the fleet lease.
func (ga *Gateway) FleetReasons() map[string]string {
	ga.mu.Lock()
	defer ga.mu.Unlock()

	out := make(map[string]string, len(ga.fleetReasons))
	for k, v := range ga.fleetReasons {
		out[k] = v
	}

	return out
}
