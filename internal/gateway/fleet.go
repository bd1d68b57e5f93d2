package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/agent"
	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/fleet"
	"github.com/tamarackbay/tamarackbay/internal/machine"
	"github.com/tamarackbay/tamarackbay/internal/order"
	"github.com/tamarackbay/tamarackbay/internal/ordering"
	"github.com/tamarackbay/tamarackbay/internal/pool"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

const (
	fleetPeriod          = 500 * time.Millisecond
	drainTimeout         = 60 * time.Second
	startupTimeoutFactor = 4 // multiple of the class's start-up time after which an absent backend server counts as lost
)

// fleetDuty orders backend servers from the platform.
type fleetDuty struct {
	ga            *Gateway
	planners      map[string]*fleet.Planner
	fencing       uint64
	orderCount    uint64
	nextRunAt     time.Duration
	lastSeen      map[string]time.Duration // when a listed server was last connected; until then, when it was first listed
	drainingSince map[string]time.Duration // when the draining of a server began
}

func newFleetDuty(ga *Gateway) *fleetDuty { return &fleetDuty{ga: ga} }

func (fd *fleetDuty) run(ctx context.Context, held leaseCheck) {
	fencing, ok := held()
	if !ok || fd.ga.ordering == nil || fd.ga.now() < fd.nextRunAt {
		return
	}
	fd.nextRunAt = fd.ga.now() + fleetPeriod
	if fencing != fd.fencing {
		fd.fencing = fencing
		fd.planners = map[string]*fleet.Planner{}
		fd.lastSeen, fd.drainingSince = map[string]time.Duration{}, map[string]time.Duration{}
	}
	if !fd.resendUnsettled(ctx, held) {
		return // order nothing more until the outcome of every earlier order is known
	}

	cctx, cancel := context.WithTimeout(ctx, fd.ga.leaseTerms().MaxCall)
	listed, err := fd.ga.ordering.Servers(cctx)
	cancel()
	if err != nil {
		fd.ga.cfg.Meter.Count("ordering.failed")

		return
	}
	set := fd.ga.group.View().Set
	for class, bounds := range set.Fleet {
		fd.resizeClass(ctx, held, class, set.Classes[class], bounds, listed)
	}
}

// resendUnsettled sends the orders of unsettled intents again, under their original
// IDs. It returns false if any of them remains unsettled.
func (fd *fleetDuty) resendUnsettled(ctx context.Context, held leaseCheck) bool {
	var open []order.Intent
	fd.ga.group.Read(func(ma *machine.Machine) { open = ma.Orders().Unsettled() })
	for _, in := range open {
		if in.Lease == agent.LeaseFleet && fd.sendOrder(ctx, held, in) != nil {
			return false
		}
	}

	return true
}

// sendOrder sends the order of a committed intent to the platform and settles the intent.
func (fd *fleetDuty) sendOrder(ctx context.Context, held leaseCheck, in order.Intent) error {
	f, ok := held()
	if !ok || f != fd.fencing {
		return leaseLost(agent.LeaseFleet)
	}

	action := ordering.ActionStart
	if in.Kind == order.KindStop {
		action = ordering.ActionStop
	}
	cctx, cancel := context.WithTimeout(ctx, fd.ga.leaseTerms().MaxCall)
	defer cancel()
	an, err := fd.ga.ordering.Send(cctx, ordering.Order{
		ID: in.ID, Action: action, Class: in.Class, FailureDomain: in.FailureDomain, Server: in.Server,
		Fencing: fd.fencing, Giver: fd.ga.leaseHolder(),
	})
	if err != nil {
		fd.ga.cfg.Meter.Count("ordering.failed")

		return err
	}

	return fd.ga.group.Propose(ctx, machine.KindSettleIntent, order.Settle{
		ID: in.ID, Lease: agent.LeaseFleet, Fencing: fd.fencing, Outcome: an.State, Server: an.Server,
	}, nil)
}

// placeOrder commits an intent and sends its order.
func (fd *fleetDuty) placeOrder(ctx context.Context, held leaseCheck, in order.Intent) {
	fd.orderCount++
	in.ID = fmt.Sprintf("f%d-%d", fd.fencing, fd.orderCount)
	in.Lease, in.Fencing = agent.LeaseFleet, fd.fencing
	if err := fd.ga.group.Propose(ctx, machine.KindOpenIntent, order.Open{Intent: in}, nil); err != nil {
		return // the intent may be committed all the same: resendUnsettled then sends the order
	}
	fd.ga.cfg.Meter.Count("orders." + in.Kind)
	_ = fd.sendOrder(ctx, held, in) // on failure resendUnsettled sends it again
}

func (fd *fleetDuty) resizeClass(ctx context.Context, held leaseCheck, class string, cl declaration.Class, bounds declaration.Fleet, listed []ordering.Server) {
	infos := map[string]pool.Info{}
	po := fd.ga.poolOf(cl.Serves())
	for _, in := range po.Infos() {
		infos[in.Server] = in
	}
	in := fleet.Input{Now: fd.ga.now(), Class: cl, Bounds: bounds}
	for _, b := range listed {
		if b.Class != class {
			continue
		}
		if fd.retire(ctx, held, b, infos, cl) {
			continue
		}
		info, isSeen := infos[b.Name]
		_, isDraining := fd.drainingSince[b.Name]
		in.Servers = append(in.Servers, fleet.Server{
			Name: b.Name, FailureDomain: b.FailureDomain, IsReady: isSeen && info.State == pool.StateReady,
			IsDraining: isDraining, Running: info.Running,
		})
	}
	in.Running, in.Waiting = fd.demand(ctx, cl.Serves())

	if fd.planners[class] == nil {
		fd.planners[class] = fleet.NewPlanner()
	}
	de := fd.planners[class].Next(in)
	fd.ga.setFleetReason(class, de.Why)
	for _, d := range de.Start {
		fd.placeOrder(ctx, held, order.Intent{Kind: order.KindStart, Class: class, FailureDomain: d})
	}
	for _, name := range de.Stop {
		fd.drain(ctx, held, po, name)
	}
}

// demand returns the number of running and waiting requests on all gateways.
func (fd *fleetDuty) demand(ctx context.Context, serves string) (running, waiting int) {
	own := fd.ga.poolOf(serves).Demand()
	running, waiting = own.Running, own.Waiting
	for _, a := range fd.ga.group.Others("") {
		cctx, cancel := context.WithTimeout(ctx, fd.ga.leaseTerms().MaxCall)
		var rep wire.Load
		if err := fd.ga.group.Call(cctx, a, methodDemand, &wire.QueryRequest{Kind: serves}, &rep); err == nil {
			running += int(rep.GetRunning())
			waiting += int(rep.GetQueued())
		}
		cancel()
	}

	return running, waiting
}

// drain stops new work for a backend server; retire stops the server once it is idle.
func (fd *fleetDuty) drain(ctx context.Context, held leaseCheck, po *pool.Pool, name string) {
	se, ok := po.Find(name)
	if !ok {
		fd.drainingSince[name] = fd.ga.now()

		return
	}
	fencing, holds := held()
	if !holds {
		return
	}

	cctx, cancel := context.WithTimeout(ctx, fd.ga.leaseTerms().MaxCall)
	defer cancel()
	err := se.Session().Call(cctx, agent.MethodOrder, &wire.Order{
		OrderId: fmt.Sprintf("d%d-%s", fencing, name), Kind: agent.KindDrain, Fencing: fencing, Giver: fd.ga.leaseHolder(),
	}, &wire.OrderReply{})
	if err == nil {
		po.Drain(name)
		fd.drainingSince[name] = fd.ga.now()
	}
}

// retire orders the platform to stop a backend server that has drained or counts as
// lost, and reports whether it did.
func (fd *fleetDuty) retire(ctx context.Context, held leaseCheck, b ordering.Server, infos map[string]pool.Info, cl declaration.Class) bool {
	now := fd.ga.now()
	info, isSeen := infos[b.Name]
	if _, ok := fd.lastSeen[b.Name]; !ok || isSeen {
		fd.lastSeen[b.Name] = now
	}
	if isSeen && info.State == pool.StateDraining {
		if _, ok := fd.drainingSince[b.Name]; !ok {
			fd.drainingSince[b.Name] = now // an earlier lease holder began to drain it
		}
	}

	startupTimeout := startupTimeoutFactor * time.Duration(cl.StartupMs) * time.Millisecond
	since, isDraining := fd.drainingSince[b.Name]
	isDrained := isDraining && (!isSeen || (info.Running == 0 && info.State == pool.StateDraining) || now > since+drainTimeout)
	isLost := !isSeen && now > fd.lastSeen[b.Name]+startupTimeout
	if !isDrained && !isLost {
		return false
	}
	if isLost {
		fd.ga.cfg.Log.WithFields(log.Fields{"server": b.Name, "order": b.OrderID}).Warn("ordered backend server is absent for too long, it will be stopped")
	}
	fd.placeOrder(ctx, held, order.Intent{Kind: order.KindStop, Class: b.Class, FailureDomain: b.FailureDomain, Server: b.Name})
	delete(fd.drainingSince, b.Name)
	delete(fd.lastSeen, b.Name)

	return true
}

func (ga *Gateway) setFleetReason(class, why string) {
	ga.mu.Lock()
	defer ga.mu.Unlock()

	ga.fleetReasons[class] = why
}

// ExplainFleet returns the reason of this gateway's last decision on each class. It
// is empty on a gateway that never held the fleet lease.
func (ga *Gateway) ExplainFleet() map[string]string {
	ga.mu.Lock()
	defer ga.mu.Unlock()

	out := make(map[string]string, len(ga.fleetReasons))
	for k, v := range ga.fleetReasons {
		out[k] = v
	}

	return out
}
