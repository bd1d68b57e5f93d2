package controller

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/leasedtask"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/weights"
)

const (
	leaseWeights = "weights"
	// waveShare is the share of a service's engines that load weights at once, though
	// at least minWave engines do. More loads at once only slow each other down at the
	// users' weight stores.
	waveShare = 0.2
	minWave   = 2
	// loadPollPeriod is how often an engine is polled while it loads; a load takes
	// about a second.
	loadPollPeriod = 150 * time.Millisecond
	// firstLoadPoll is the delay from an order to the first poll, shortly after a
	// typical load ends.
	firstLoadPoll = 920 * time.Millisecond
	// loadTimeout limits a swap: the wait for an earlier order, the order and the load.
	loadTimeout = 6 * time.Second
)

// rollOut orders engines to load the newest recorded versions of their models.
func (co *Controller) rollOut(ctx context.Context, held leasedtask.Held) {
	named := map[string]uint64{}
	single := map[string]bool{} // services with routes that allow one version per text
	var evacuated []string
	co.group.Read(func(ma *statemachine.Machine) {
		evacuated = ma.Evacuations().Evacuated()
		for mo, v := range ma.Versions().All() {
			named[mo] = v
		}
		for i := range ma.Routing().Config().Routes {
			ro := &ma.Routing().Config().Routes[i]
			for _, ta := range ro.Targets {
				single[ta.Service] = single[ta.Service] || ro.IsSingleVersion
			}
		}
	})
	if len(named) == 0 {
		return
	}

	co.mu.Lock()
	defer co.mu.Unlock()
	hosts, records := co.readyEngines(evacuated)
	for service, hs := range hosts {
		jo := co.swapPlanners[service]
		if jo == nil {
			jo = weights.NewJointPlanner()
			co.swapPlanners[service] = jo
		}
		wave := max(minWave, int(waveShare*float64(len(hs))))
		for _, sw := range jo.Next(co.cfg.Now(), co.targets(hs, named), hs, wave) {
			mode := backend.Continue
			if single[service] {
				mode = backend.Drain
			}
			re := records[sw.Server]
			co.registry.SetLoading(re.ID, re.BornMs, true)
			co.wakePublish()
			go co.swap(ctx, held, jo, re, &backend.WeightsOrder{Model: sw.Model, Version: sw.Version, Mode: mode, Instance: re.ID})
		}
	}
}

// readyEngines returns the ready engines by service, and their records by ID, except for those
// in evacuated failure domains. The caller holds mu.
func (co *Controller) readyEngines(evacuated []string) (map[string][]weights.Host, map[string]registry.Record) {
	hosts, records := map[string][]weights.Host{}, map[string]registry.Record{}
	for _, st := range co.registry.All() {
		re := st.Record
		if len(re.Models) == 0 || st.IsLapsed || re.State != registry.Ready || slices.Contains(evacuated, re.FailureDomain) {
			continue
		}
		records[re.ID] = re
		ho := weights.Host{Server: re.ID, Versions: map[string]uint64{}, Running: co.runningAt(re.ID)}
		for _, mo := range re.Models {
			ho.Versions[mo.Name] = mo.Version
		}
		hosts[re.Service] = append(hosts[re.Service], ho)
	}

	return hosts, records
}

// targets returns the models that the engines serve, with the newest version and the
// demand of each. The caller holds mu.
func (co *Controller) targets(hosts []weights.Host, named map[string]uint64) []weights.Target {
	demand := map[string]float64{}
	for _, so := range co.stores {
		if so.Leads {
			demand = so.Demand
		}
	}
	seen := map[string]bool{}
	var out []weights.Target
	for _, ho := range hosts {
		for model := range ho.Versions {
			if !seen[model] {
				seen[model] = true
				out = append(out, weights.Target{Model: model, Version: max(named[model], 1), Demand: demand[model]})
			}
		}
	}

	return out
}

// runningAt returns how many items the leading store runs at a backend server. The
// caller holds mu.
func (co *Controller) runningAt(server string) int {
	n := 0
	for _, so := range co.stores {
		if so.Leads {
			n = max(n, so.Running[server])
		}
	}

	return n
}

// swap orders an engine to load a version, waits until it serves that version and
// records the result.
func (co *Controller) swap(ctx context.Context, held leasedtask.Held, jo *weights.JointPlanner, re registry.Record, we *backend.WeightsOrder) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()

	began := co.cfg.Now()
	err := co.performSwap(ctx, held, re, we)
	fl := log.Fields{
		"server": re.ID, "model": we.Model, "version": we.Version, "oldVersion": re.Version(we.Model), "fencing": we.Fencing,
		"sequence": we.Sequence, "ms": (co.cfg.Now() - began).Milliseconds(),
	}
	if err != nil {
		fl["error"] = err.Error()
		co.cfg.Log.WithFields(fl).Warn("weights not loaded")
	} else {
		co.cfg.Log.WithFields(fl).Info("weights loaded")
	}

	co.mu.Lock()
	defer co.mu.Unlock()
	jo.Done(co.cfg.Now(), re.ID, err == nil)
	co.registry.SetLoading(re.ID, re.BornMs, false)
	if err == nil {
		co.registry.SetVersion(re.ID, re.BornMs, we.Model, we.Version)
	}
	co.wakePublish()
	co.wakeSwaps()
}

func (co *Controller) performSwap(ctx context.Context, held leasedtask.Held, re registry.Record, we *backend.WeightsOrder) error {
	isLimited, err := co.awaitPermit(ctx, re)
	if err != nil {
		return err
	}
	if sequence, ok := co.ordersAccepted(re.Incarnation()); ok && isLimited {
		we.Sequence = sequence // saves a report of the few calls that the engine takes

		return co.order(ctx, held, re, we, isLimited)
	}
	before, err := co.fetchReport(ctx, re)
	for ; err == nil && before.IsBusy; before, err = co.fetchReport(ctx, re) {
		// The engine carries out another order, possibly from a former lease holder.
		select {
		case <-time.After(loadPollPeriod):
		case <-ctx.Done():
			return errLoadTimeout
		}
		if _, err := co.awaitPermit(ctx, re); err != nil {
			return err
		}
	}
	if err != nil {
		return err
	}
	if before.Versions[we.Model] >= we.Version {
		return nil
	}
	we.Sequence = before.Sequence
	co.rememberOrders(re.Incarnation(), before.Sequence, true) // the order may have to wait for the next attempt
	if isLimited, err = co.awaitPermit(ctx, re); err != nil {
		return err
	}

	return co.order(ctx, held, re, we, isLimited)
}

// order sends an order for which a permit was taken, and waits until it is carried out.
func (co *Controller) order(ctx context.Context, held leasedtask.Held, re registry.Record, we *backend.WeightsOrder, isLimited bool) error {
	fencing, ok := held()
	if !ok {
		return errLeaseLost
	}
	we.Fencing, we.Holder = fencing, co.cfg.Settings.Name
	cctx, cancel := context.WithTimeout(ctx, leaseTiming.MaxCall)
	err := co.cfg.Client.Swap(cctx, re.Address, we)
	cancel()
	co.rememberOrders(re.Incarnation(), we.Sequence+1, err == nil)
	if err != nil && !backend.MayHaveRun(err) {
		return err
	}

	return co.awaitVersion(ctx, re, we, isLimited)
}

// ordersAccepted returns how many orders an engine has accepted, if this controller knows it
// from its last one.
func (co *Controller) ordersAccepted(in registry.Incarnation) (uint64, bool) {
	co.mu.Lock()
	defer co.mu.Unlock()

	n, ok := co.orders[in]

	return n, ok
}

// rememberOrders records how many orders an engine has accepted, or forgets it.
func (co *Controller) rememberOrders(in registry.Incarnation, accepted uint64, isKnown bool) {
	co.mu.Lock()
	defer co.mu.Unlock()

	if len(co.orders) >= maxKnownOrders {
		clear(co.orders) // most are of incarnations that have ended; a report tells the others
	}
	if delete(co.orders, in); isKnown {
		co.orders[in] = accepted
	}
}

// wakeSwaps makes the leased task plan the next orders at once.
func (co *Controller) wakeSwaps() {
	select {
	case co.swapWake <- struct{}{}:
	default:
	}
}

// fetchReport requests the state of an engine. A permit was taken for it.
func (co *Controller) fetchReport(ctx context.Context, re registry.Record) (backend.Report, error) {
	cctx, cancel := context.WithTimeout(ctx, leaseTiming.MaxCall)
	defer cancel()
	rep, err := co.cfg.Client.Report(cctx, re.Address)
	if err == nil {
		co.reportLimit(ctx, re.Incarnation(), rep.Limit)
	}
	switch {
	case err != nil:
	case rep.BornMs != 0 && rep.BornMs != re.BornMs:
		err = errOtherIncarnation
	case rep.IsLeaving:
		co.recordNotice(registry.Notice{Record: registry.Record{ID: re.ID, BornMs: re.BornMs}, Leaves: true}) // nobody waits for an answer
		err = errLeaving
	}

	return rep, err
}

// awaitVersion waits until the engine reports, in a heartbeat or when polled, that it
// serves the version. One that limits its rate is polled once when its load should have ended,
// and then only after its heartbeats should have told.
func (co *Controller) awaitVersion(ctx context.Context, re registry.Record, we *backend.WeightsOrder, isLimited bool) error {
	polledAt := time.Duration(0)
	for wait := firstLoadPoll; ; wait = loadPollPeriod {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return errLoadTimeout
		}
		if co.servesVersion(re, we) {
			return nil
		}
		if isLimited && polledAt > 0 && co.cfg.Now()-polledAt < limitedPollPeriod {
			continue
		}
		var err error
		isLimited, err = co.awaitPermit(ctx, re)
		if result.Is(err, result.ServersLimited) {
			continue
		}
		if err != nil {
			return err
		}
		polledAt = co.cfg.Now()
		rep, err := co.fetchReport(ctx, re)
		switch {
		case err != nil:
			return err
		case rep.Versions[we.Model] >= we.Version:
			return nil
		case !rep.IsBusy && rep.Sequence == we.Sequence:
			return errOrderLost
		}
	}
}

func (co *Controller) servesVersion(re registry.Record, we *backend.WeightsOrder) bool {
	co.mu.Lock()
	defer co.mu.Unlock()

	last, ok := co.registry.Record(re.ID)

	return ok && last.BornMs == re.BornMs && last.Version(we.Model) >= we.Version
}
