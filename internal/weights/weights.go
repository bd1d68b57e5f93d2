// Package weights plans how the engines of a model swap to a new weight version, in
// waves as large as the weight store allows. A failed order does not stop the others.
// The package does no input or output: the state and the time are arguments.
package weights

import (
	"sort"
	"time"
)

// Engine is the state of an engine that Planner needs.
type Engine struct {
	Server        string
	FailureDomain string
	Version       string
	LoadedVersion string
	IsReady       bool
	Running       int
}

// Kinds of actions.
const (
	Load     = "load"
	Activate = "activate"
)

// Action is one order for an engine.
type Action struct {
	Kind    string
	Server  string
	Version string
}

// Planner plans the swaps of engines that serve one model, in two orders: load the
// weights, then activate them. It tracks the orders in flight and the failed ones.
type Planner struct {
	orderTracker
	targetVersion string
}

// NewPlanner returns a planner without orders or failures.
func NewPlanner() *Planner { return &Planner{orderTracker: newOrderTracker()} }

// Next returns the orders to give now so that all engines come to serve target. At
// most wave engines load at once. Engines with fewer running requests go first, so that
// as few requests as possible see a change of version.
func (pl *Planner) Next(now time.Duration, target string, engines []Engine, wave int) []Action {
	if target != pl.targetVersion {
		// A newer version replaces an unfinished rollout, whose failures do not count.
		pl.targetVersion = target
		clear(pl.failedAt)
		clear(pl.failures)
	}
	if target == "" {
		return nil
	}

	var out []Action
	loading := 0
	for _, kind := range pl.inFlight {
		if kind == Load {
			loading++
		}
	}
	sorted := append([]Engine(nil), engines...)
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].Running != sorted[j].Running {
			return sorted[i].Running < sorted[j].Running
		}

		return sorted[i].Server < sorted[j].Server
	})
	for _, en := range sorted {
		if !en.IsReady || en.Version == target || pl.inFlight[en.Server] != "" || pl.isBackingOff(now, en.Server) {
			continue
		}
		switch {
		case en.LoadedVersion == target:
			out = append(out, Action{Kind: Activate, Server: en.Server, Version: target})
		case loading < wave:
			loading++
			out = append(out, Action{Kind: Load, Server: en.Server, Version: target})
		}
	}
	for _, a := range out {
		pl.inFlight[a.Server] = a.Kind
	}

	return out
}
