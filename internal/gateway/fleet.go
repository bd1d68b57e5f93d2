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
	fleetPeriod   = 500 * time.Millisecond
	drainLimit    = 60 * time.Second
	startPatience = 4 // times the start-up time after which an ordered backend server counts as lost
)

// fleetDuty orders backend servers from the platform.
type fleetDuty struct {
	ga       *Gateway
	planners map[string]*fleet.Planner
	fencing  uint64
	orders   uint64
	nextAt   time.Duration
	seen     map[string]time.Duration // since when the platform lists a server
	draining map[string]time.Duration // since when a server drains
}

func newFleetDuty(ga *Gateway) *fleetDuty { return &fleetDuty{ga: ga} }

func (fd *fleetDuty) work(ctx context.Context, held hold) {
	fencing, ok := held()
	if !ok || fd.ga.ordering == nil || fd.ga.now() < fd.nextAt {
		return
	}
	fd.nextAt = fd.ga.now() + fleetPeriod
	if fencing != fd.fencing {
		fd.fencing = fencing
		fd.planners = map[string]*fleet.Planner{}
		fd.seen, fd.draining = map[string]time.Duration{}, map[string]time.Duration{}
	}
	if !fd.settleOpen(ctx, held) {
		return // what an earlier order did is not known yet: nothing is ordered on top of it
	}

	cctx, cancel := context.WithTimeout(ctx, fd.ga.terms().MaxCall)
	billed, err := fd.ga.ordering.Servers(cctx)
	cancel()
	if err != nil {
		fd.ga.cfg.Meter.Count("ordering.failed")

		return
	}
	set := fd.ga.group.View().Set
	for class, bounds := range set.Fleet {
		fd.size(ctx, held, class, set.Classes[class], bounds, billed)
	}
}

// settleOpen sends open intents again under their own IDs until the platform has
// answered each. It returns false when one stays open.
func (fd *fleetDuty) settleOpen(ctx context.Context, held hold) bool {
	var open []order.Intent
	fd.ga.group.Read(func(ma *machine.Machine) { open = ma.Orders().Unsettled() })
	for _, in := range open {
		if in.Lease == agent.LeaseFleet && fd.send(ctx, held, in) != nil {
			return false
		}
	}

	return true
}

// send gives an order whose intent is committed and settles it.
func (fd *fleetDuty) send(ctx context.Context, held hold, in order.Intent) error {
	f, ok := held()
	if !ok || f != fd.fencing {
		return lost(agent.LeaseFleet)
	}

	action := ordering.ActionStart
	if in.Kind == order.KindStop {
		action = ordering.ActionStop
	}
	cctx, cancel := context.WithTimeout(ctx, fd.ga.terms().MaxCall)
	defer cancel()
	an, err := fd.ga.ordering.Send(cctx, ordering.Order{
		ID: in.ID, Action: action, Class: in.Class, FailureDomain: in.FailureDomain, Server: in.Server,
		Fencing: fd.fencing, Giver: fd.ga.holder(),
	})
	if err != nil {
		fd.ga.cfg.Meter.Count("ordering.failed")

		return err
	}

	return fd.ga.group.Propose(ctx, machine.KindSettleIntent, order.Settle{
		ID: in.ID, Lease: agent.LeaseFleet, Fencing: fd.fencing, Outcome: an.State, Server: an.Server,
	}, nil)
}

// order commits an intent and gives the order.
func (fd *fleetDuty) order(ctx context.Context, held hold, in order.Intent) {
	fd.orders++
	in.ID = fmt.Sprintf("f%d-%d", fd.fencing, fd.orders)
	in.Lease, in.Fencing = agent.LeaseFleet, fd.fencing
	if err := fd.ga.group.Propose(ctx, machine.KindOpenIntent, order.Open{Intent: in}, nil); err != nil {
		return // committed or not, settleOpen finds out
	}
	fd.ga.cfg.Meter.Count("orders." + in.Kind)
	_ = fd.send(ctx, held, in) // settleOpen sends it again
}

func (fd *fleetDuty) size(ctx context.Context, held hold, class string, cl declaration.Class, bounds declaration.Fleet, billed []ordering.Server) {
	infos := map[string]pool.Info{}
	po := fd.ga.poolOf(cl.Serves())
	for _, in := range po.Infos() {
		infos[in.Server] = in
	}
	in := fleet.Input{Now: fd.ga.now(), Class: cl, Bounds: bounds}
	for _, b := range billed {
		if b.Class != class {
			continue
		}
		if fd.retire(ctx, held, b, infos, cl) {
			continue
		}
		info, isSeen := infos[b.Name]
		_, drains := fd.draining[b.Name]
		in.Servers = append(in.Servers, fleet.Server{
			Name: b.Name, FailureDomain: b.FailureDomain, IsReady: isSeen && info.State == pool.StateReady,
			IsDraining: drains, Running: info.Running,
		})
	}
	in.Running, in.Waiting = fd.demand(ctx, cl.Serves())

	if fd.planners[class] == nil {
		fd.planners[class] = fleet.NewPlanner()
	}
	de := fd.planners[class].Next(in)
	fd.ga.explainFleet(class, de.Why)
	for _, d := range de.Start {
		fd.order(ctx, held, order.Intent{Kind: order.KindStart, Class: class, FailureDomain: d})
	}
	for _, name := range de.Stop {
		fd.drain(ctx, held, po, name)
	}
}

// demand adds up what runs and waits on all gateways.
func (fd *fleetDuty) demand(ctx context.Context, serves string) (running, waiting int) {
	own := fd.ga.poolOf(serves).Demand()
	running, waiting = own.Running, own.Waiting
	for _, a := range fd.ga.group.Others("") {
		cctx, cancel := context.WithTimeout(ctx, fd.ga.terms().MaxCall)
		var rep wire.Load
		if err := fd.ga.group.Call(cctx, a, methodDemand, &wire.QueryRequest{Kind: serves}, &rep); err == nil {
			running += int(rep.GetRunning())
			waiting += int(rep.GetQueued())
		}
		cancel()
	}

	return running, waiting
}

// drain stops new work for a backend server; it is given back once it is idle.
func (fd *fleetDuty) drain(ctx context.Context, held hold, po *pool.Pool, name string) {
	se, ok := po.Find(name)
	if !ok {
		fd.draining[name] = fd.ga.now()

		return
	}
	fencing, holds := held()
	if !holds {
		return
	}

	cctx, cancel := context.WithTimeout(ctx, fd.ga.terms().MaxCall)
	defer cancel()
	err := se.Session().Call(cctx, agent.MethodOrder, &wire.Order{
		OrderId: fmt.Sprintf("d%d-%s", fencing, name), Kind: agent.KindDrain, Fencing: fencing, Giver: fd.ga.holder(),
	}, &wire.OrderReply{})
	if err == nil {
		po.Drain(name)
		fd.draining[name] = fd.ga.now()
	}
}

// retire gives back a backend server that has drained or was never seen, and
// reports whether it is on its way out.
func (fd *fleetDuty) retire(ctx context.Context, held hold, b ordering.Server, infos map[string]pool.Info, cl declaration.Class) bool {
	now := fd.ga.now()
	info, isSeen := infos[b.Name]
	if _, ok := fd.seen[b.Name]; !ok || isSeen {
		fd.seen[b.Name] = now
	}
	if isSeen && info.State == pool.StateDraining {
		if _, ok := fd.draining[b.Name]; !ok {
			fd.draining[b.Name] = now // an earlier holder drained it
		}
	}

	patience := startPatience * time.Duration(cl.StartupMs) * time.Millisecond
	since, drains := fd.draining[b.Name]
	isDrained := drains && (!isSeen || (info.Running == 0 && info.State == pool.StateDraining) || now > since+drainLimit)
	isLost := !isSeen && now > fd.seen[b.Name]+patience
	if !isDrained && !isLost {
		return false
	}
	if isLost {
		fd.ga.cfg.Log.WithFields(log.Fields{"server": b.Name, "order": b.OrderID}).Warn("ordered backend server was not seen, it is given back")
	}
	fd.order(ctx, held, order.Intent{Kind: order.KindStop, Class: b.Class, FailureDomain: b.FailureDomain, Server: b.Name})
	delete(fd.draining, b.Name)
	delete(fd.seen, b.Name)

	return true
}

func (ga *Gateway) explainFleet(class, why string) {
	ga.mu.Lock()
	defer ga.mu.Unlock()

	ga.fleet[class] = why
}

// ExplainFleet returns the reason of the last decision on each class, empty where
// this gateway does not hold the lease.
func (ga *Gateway) ExplainFleet() map[string]string {
	ga.mu.Lock()
	defer ga.mu.Unlock()

	out := make(map[string]string, len(ga.fleet))
	for k, v := range ga.fleet {
		out[k] = v
	}

	return out
}
