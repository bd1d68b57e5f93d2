// Package weights plans the swap of a model's engines to a new version, in waves
// that the weight store allows: load first, activate second, go on after
// failures. It is a core: the state and the time are arguments.
package weights

import (
	"sort"
	"time"
)

// Engine is what the planner sees of one engine.
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

// Action is one order to be given to an engine.
type Action struct {
	Kind    string
	Server  string
	Version string
}

// Planner remembers what runs and what failed for one model.
type Planner struct {
	orderTracker
	targetVersion string
}

// NewPlanner returns a planner that knows nothing yet.
func NewPlanner() *Planner { return &Planner{orderTracker: newOrderTracker()} }

// Next returns the orders to give now so that all engines come to serve target.
// At most wave engines load at once; engines whose requests run longest wait
// while idle ones go first, so that the least work sees a change of version.
func (pl *Planner) Next(now time.Duration, target string, engines []Engine, wave int) []Action {
	if target != pl.targetVersion {
		// A newer version overtakes a rollout: failures of the old one do not count.
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
