package controller

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/duty"
	"github.com/tamarackbay/tamarackbay/internal/machine"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/weights"
)

const (
	leaseWeights = "weights"
	// waveShare of a model's engines load weights at once, at least minWave: more of
	// them only slow each other down at the weight store of the users' sheets.
	waveShare = 0.2
	minWave   = 2
	// loadPollPeriod is how often an engine that loads is asked for its state; a load takes
	// about a second.
	loadPollPeriod = 150 * time.Millisecond
	// firstLoadPoll is the first question after an order: shortly after the usual load.
	firstLoadPoll = 920 * time.Millisecond
	// loadTimeout ends the wait for a load.
	loadTimeout = 6 * time.Second
)

// rollOut orders the engines to the newest versions that were named.
func (co *Controller) rollOut(ctx context.Context, held duty.Held) {
	named := map[string]uint64{}
	single := map[string]bool{} // services with routes that allow one version in a text
	co.group.Read(func(ma *machine.Machine) {
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
	hosts, records := co.readyEngines()
	for service, hs := range hosts {
		jo := co.swapPlanners[service]
		if jo == nil {
			jo = weights.NewJoint()
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
			go co.swap(ctx, held, jo, re, &backend.Weights{Model: sw.Model, Version: sw.Version, Mode: mode, Instance: re.ID})
		}
	}
}

// readyEngines returns the readyEngines that are ready, by service.
func (co *Controller) readyEngines() (map[string][]weights.Host, map[string]registry.Record) {
	hosts, records := map[string][]weights.Host{}, map[string]registry.Record{}
	for _, st := range co.registry.All() {
		re := st.Record
		if len(re.Models) == 0 || st.IsLapsed || re.State != registry.Ready {
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

// targets returns the models that engines serve, with the demand for each.
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

// runningAt returns how many items the store that leads runs at a backend server.
func (co *Controller) runningAt(server string) int {
	n := 0
	for _, so := range co.stores {
		if so.Leads {
			n = max(n, so.Running[server])
		}
	}

	return n
}

// swap orders one engine to load a version and waits until it serves it.
func (co *Controller) swap(ctx context.Context, held duty.Held, jo *weights.Joint, re registry.Record, we *backend.Weights) {
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

func (co *Controller) performSwap(ctx context.Context, held duty.Held, re registry.Record, we *backend.Weights) error {
	before, err := co.fetchReport(ctx, re)
	for ; err == nil && before.IsBusy; before, err = co.fetchReport(ctx, re) {
		// An order is under way, perhaps one that a former holder gave.
		select {
		case <-time.After(loadPollPeriod):
		case <-ctx.Done():
			return errLoadTimeout
		}
	}
	if err != nil {
		return err
	}
	if before.Versions[we.Model] >= we.Version {
		return nil
	}
	we.Sequence = before.Sequence

	fencing, ok := held()
	if !ok {
		return errLeaseLost
	}
	we.Fencing, we.Holder = fencing, co.cfg.Settings.Name
	cctx, cancel := context.WithTimeout(ctx, leaseTerms.MaxCall)
	err = co.cfg.Client.Swap(cctx, re.Address, we)
	cancel()
	if err != nil && !backend.HasRun(err) {
		return err
	}

	return co.awaitVersion(ctx, re, we)
}

// wakeSwaps lets the next order follow at once.
func (co *Controller) wakeSwaps() {
	select {
	case co.swapWake <- struct{}{}:
	default:
	}
}

func (co *Controller) fetchReport(ctx context.Context, re registry.Record) (backend.Report, error) {
	cctx, cancel := context.WithTimeout(ctx, leaseTerms.MaxCall)
	defer cancel()
	rep, err := co.cfg.Client.Report(cctx, re.Address)
	if err == nil && rep.BornMs != 0 && rep.BornMs != re.BornMs {
		err = errOtherIncarnation
	}

	return rep, err
}

// awaitVersion waits until the engine tells, in a heartbeat or asked, that it
// serves the version.
func (co *Controller) awaitVersion(ctx context.Context, re registry.Record, we *backend.Weights) error {
	wait := firstLoadPoll
	for {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return errLoadTimeout
		}
		wait = loadPollPeriod
		if co.servesVersion(re, we) {
			return nil
		}
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

func (co *Controller) servesVersion(re registry.Record, we *backend.Weights) bool {
	co.mu.Lock()
	defer co.mu.Unlock()

	for _, st := range co.registry.All() {
		if st.Record.ID == re.ID && st.Record.BornMs == re.BornMs {
			return st.Record.Version(we.Model) >= we.Version
		}
	}

	return false
}
