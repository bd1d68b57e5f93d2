package controller

import (
	"context"
	"strconv"
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
	// loadPoll is how often an engine that loads is asked for its state; a load takes
	// about a second.
	loadPoll = 150 * time.Millisecond
	// loadFirst is the first question after an order: shortly after the usual load.
	loadFirst = 920 * time.Millisecond
	// loadTimeout ends the wait for a load.
	loadTimeout = 6 * time.Second
)

// rollout is the swap of one model's engines.
type rollout struct {
	planner *weights.Planner
}

// rollOut orders the engines of each model to the newest version that was named.
func (co *Controller) rollOut(ctx context.Context, held duty.Held) {
	targets := map[string]uint64{}
	single := map[string]bool{} // services with routes that allow one version in a text
	co.group.Read(func(ma *machine.Machine) {
		for mo, v := range ma.Versions().All() {
			targets[mo] = v
		}
		for i := range ma.Routing().Config().Routes {
			ro := &ma.Routing().Config().Routes[i]
			for _, ta := range ro.Targets {
				single[ta.Service] = single[ta.Service] || ro.IsSingleVersion
			}
		}
	})

	co.mu.Lock()
	defer co.mu.Unlock()
	for model, target := range targets {
		ro := co.swaps[model]
		if ro == nil {
			ro = &rollout{planner: weights.NewPlanner()}
			co.swaps[model] = ro
		}
		records := map[string]registry.Record{}
		var engines []weights.Engine
		for _, st := range co.registry.All() {
			v := st.Record.Version(model)
			if v == 0 || st.IsLapsed || st.Record.State != registry.Ready {
				continue
			}
			records[st.Record.ID] = st.Record
			en := weights.Engine{Server: st.Record.ID, FailureDomain: st.Record.FailureDomain, IsReady: true, Running: co.runningAt(st.Record.ID)}
			if v >= target {
				en.Version = versionName(target)
			}
			engines = append(engines, en)
		}
		wave := max(minWave, int(waveShare*float64(len(engines))))
		for _, ac := range ro.planner.Next(co.cfg.Now(), versionName(target), engines, wave) {
			re := records[ac.Server]
			mode := backend.Continue
			if single[re.Service] {
				mode = backend.Drain
			}
			go co.swap(ctx, held, ro, re, &backend.Weights{Model: model, Version: target, Mode: mode, Instance: re.ID})
		}
	}
}

func versionName(v uint64) string { return strconv.FormatUint(v, 10) }

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
func (co *Controller) swap(ctx context.Context, held duty.Held, ro *rollout, re registry.Record, we *backend.Weights) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()

	began := co.cfg.Now()
	err := co.swapOnce(ctx, held, re, we)
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
	ro.planner.Done(co.cfg.Now(), re.ID, err == nil)
	if err == nil && co.registry.SetVersion(re.ID, re.BornMs, we.Model, we.Version) {
		co.touch()
	}
}

func (co *Controller) swapOnce(ctx context.Context, held duty.Held, re registry.Record, we *backend.Weights) error {
	before, err := co.report(ctx, re)
	if err != nil {
		return err
	}
	if before.Versions[we.Model] >= we.Version {
		return nil
	}
	we.Sequence = before.Sequence
	if before.IsBusy {
		// Somebody's order is under way; whatever it loads, the next plan sees it.
		return co.awaitVersion(ctx, re, we, loadPoll)
	}

	fencing, ok := held()
	if !ok {
		return errLeaseLost
	}
	we.Fencing, we.Holder = fencing, co.cfg.Settings.Name
	cctx, cancel := context.WithTimeout(ctx, terms.MaxCall)
	err = co.cfg.Client.Swap(cctx, re.Address, we)
	cancel()
	if err != nil && !backend.HasRun(err) {
		return err
	}

	return co.awaitVersion(ctx, re, we, loadFirst)
}

func (co *Controller) report(ctx context.Context, re registry.Record) (backend.Report, error) {
	cctx, cancel := context.WithTimeout(ctx, terms.MaxCall)
	defer cancel()
	rep, err := co.cfg.Client.Report(cctx, re.Address)
	if err == nil && rep.BornMs != 0 && rep.BornMs != re.BornMs {
		err = errOtherIncarnation
	}

	return rep, err
}

// awaitVersion waits until the engine tells, in a heartbeat or asked, that it
// serves the version.
func (co *Controller) awaitVersion(ctx context.Context, re registry.Record, we *backend.Weights, first time.Duration) error {
	wait := first
	for {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return errLoadTimeout
		}
		wait = loadPoll
		if co.serves(re, we) {
			return nil
		}
		rep, err := co.report(ctx, re)
		switch {
		case err != nil:
			return err
		case rep.Versions[we.Model] >= we.Version:
			return nil
		case !rep.IsBusy && rep.Sequence == we.Sequence && first == loadFirst:
			return errOrderLost
		}
	}
}

func (co *Controller) serves(re registry.Record, we *backend.Weights) bool {
	co.mu.Lock()
	defer co.mu.Unlock()

	for _, st := range co.registry.All() {
		if st.Record.ID == re.ID && st.Record.BornMs == re.BornMs {
			return st.Record.Version(we.Model) >= we.Version
		}
	}

	return false
}
