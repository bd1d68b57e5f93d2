package weights

import (
	"cmp"
	"slices"
	"time"
)

// Target is the newest version of a model, with how much of the engines' work it
// makes up.
type Target struct {
	Model   string
	Version uint64
	Demand  float64 // tokens or events generated lately, relative to the other models
}

// Host is an engine that serves several models at once.
type Host struct {
	Server   string
	Versions map[string]uint64 // by model
	Running  int
}

// Swap is one order: load a version on an engine.
type Swap struct {
	Server  string
	Model   string
	Version uint64
}

// minHosts is the number of engines that each model keeps, so that the loss of one
// leaves it one.
const minHosts = 2

// Joint plans the swaps of engines that serve several models. Loads share one
// limit, and an engine carries out one order at a time; where several models are
// trained, each has a part of the engines as its home, since no engine could
// follow the versions of all.
type Joint struct {
	orderTracker
	homes map[string]string // server to model
}

// NewJoint returns a planner that knows nothing yet.
func NewJoint() *Joint { return &Joint{orderTracker: newOrderTracker(), homes: map[string]string{}} }

// Home returns the model whose versions an engine follows.
func (jo *Joint) Home(server string) string { return jo.homes[server] }

// Next returns the orders to give now; at most wave engines load at once. A model
// with fewer engines at its newest version goes first, and in it the engine that
// runs least.
func (jo *Joint) Next(now time.Duration, targets []Target, hosts []Host, wave int) []Swap {
	targets = slices.SortedFunc(slices.Values(targets), func(a, b Target) int { return cmp.Compare(a.Model, b.Model) })
	hosts = slices.SortedFunc(slices.Values(hosts), func(a, b Host) int { return cmp.Compare(a.Server, b.Server) })
	jo.assignHomes(targets, hosts)

	byModel := map[string]Target{}
	current := map[string]int{} // engines at the newest version, or on their way
	for _, ta := range targets {
		byModel[ta.Model] = ta
	}
	var due []Host
	for _, ho := range hosts {
		ta := byModel[jo.homes[ho.Server]]
		if ho.Versions[ta.Model] >= ta.Version || jo.inFlight[ho.Server] != "" {
			current[ta.Model]++
		} else if !jo.isBackingOff(now, ho.Server) {
			due = append(due, ho)
		}
	}

	var out []Swap
	for len(jo.inFlight) < wave && len(due) > 0 {
		best := slices.MinFunc(due, func(a, b Host) int {
			ma, mb := jo.homes[a.Server], jo.homes[b.Server]

			return cmp.Or(cmp.Compare(current[ma], current[mb]), cmp.Compare(a.Running, b.Running), cmp.Compare(a.Server, b.Server))
		})
		model := jo.homes[best.Server]
		out = append(out, Swap{Server: best.Server, Model: model, Version: byModel[model].Version})
		current[model]++
		jo.inFlight[best.Server] = Load
		due = slices.DeleteFunc(due, func(ho Host) bool { return ho.Server == best.Server })
	}

	return out
}

// assignHomes gives each engine a home. An engine moves only when the parts changed by
// a whole engine.
func (jo *Joint) assignHomes(targets []Target, hosts []Host) {
	alive := map[string]bool{}
	for _, ho := range hosts {
		alive[ho.Server] = true
	}
	for server := range jo.homes {
		if !alive[server] {
			delete(jo.homes, server)
		}
	}
	if len(targets) == 0 {
		return
	}

	want := divideHosts(targets, len(hosts))
	have := map[string]int{}
	for server, model := range jo.homes {
		if _, ok := want[model]; !ok {
			delete(jo.homes, server)

			continue
		}
		have[model]++
	}
	for _, ho := range hosts {
		if model, ok := jo.homes[ho.Server]; ok && have[model] > want[model]+allowedSurplus(want, have) {
			have[model]--
			delete(jo.homes, ho.Server)
		}
	}
	for _, ho := range hosts {
		if _, ok := jo.homes[ho.Server]; ok {
			continue
		}
		best := slices.MaxFunc(targets, func(a, b Target) int {
			return cmp.Compare(want[a.Model]-have[a.Model], want[b.Model]-have[b.Model])
		})
		jo.homes[ho.Server] = best.Model
		have[best.Model]++
	}
}

// allowedSurplus lets the parts be one engine off while every model has what it needs,
// so that a demand that wavers moves nothing.
func allowedSurplus(want, have map[string]int) int {
	for model, n := range want {
		if have[model] < min(n, minHosts) || have[model] < n-1 {
			return 0
		}
	}

	return 1
}

// divideHosts divides n engines among models: in the middle between equal parts, which
// bear the loss of an engine best, and the parts of their demand.
func divideHosts(targets []Target, n int) map[string]int {
	total := 0.0
	for _, ta := range targets {
		total += ta.Demand
	}
	out, left := map[string]int{}, n
	exact := map[string]float64{}
	for _, ta := range targets {
		share := 1 / float64(len(targets))
		if total > 0 {
			share = (share + ta.Demand/total) / 2
		}
		exact[ta.Model] = share * float64(n)
		out[ta.Model] = max(int(exact[ta.Model]), min(minHosts, n/len(targets)))
		left -= out[ta.Model]
	}
	for ; left != 0 && len(targets) > 0; left -= sign(left) {
		best := slices.MaxFunc(targets, func(a, b Target) int {
			da, db := exact[a.Model]-float64(out[a.Model]), exact[b.Model]-float64(out[b.Model])

			return sign(left) * cmp.Compare(da, db)
		})
		out[best.Model] += sign(left)
	}

	return out
}

func sign(n int) int {
	if n < 0 {
		return -1
	}

	return 1
}
