package weights

import (
	"cmp"
	"slices"
	"time"
)

// Target is the newest version of a model and its share of the engines' work.
type Target struct {
	Model   string
	Version uint64
	Demand  float64 // tokens or events generated recently; only the ratio to other models counts
}

// Host is an engine that serves several models at once.
type Host struct {
	Server   string
	Versions map[string]uint64 // by model
	Running  int               // items in flight
}

// Swap is one order: load a version on an engine.
type Swap struct {
	Server  string
	Model   string
	Version uint64
}

// minHosts is the number of engines that each model retains if there are enough, so
// that the loss of one leaves it another.
const minHosts = 2

// JointPlanner plans the swaps of engines that serve several models. One limit covers the loads
// of all models, and an engine carries out one order at a time. Each engine has a home
// model and loads only its new versions, since an engine could not keep up with the
// versions of several models that are trained at once.
type JointPlanner struct {
	orderTracker
	homes map[string]string // server to its home model
}

// NewJointPlanner returns a planner without homes, orders or failures.
func NewJointPlanner() *JointPlanner {
	return &JointPlanner{orderTracker: newOrderTracker(), homes: map[string]string{}}
}

// HomeModel returns the model whose new versions an engine loads.
func (jp *JointPlanner) HomeModel(server string) string { return jp.homes[server] }

// Next returns the orders to give now; at most wave engines load at once, and of several
// engines one at least doesn't load, so that requests are served meanwhile. The model with
// the fewest engines at its newest version goes first, and of its engines the one with
// the fewest running items. If a wave could take all engines they load in turn, the one with the
// oldest version first.
func (jp *JointPlanner) Next(now time.Duration, targets []Target, hosts []Host, wave int) []Swap {
	targets = slices.SortedFunc(slices.Values(targets), func(a, b Target) int { return cmp.Compare(a.Model, b.Model) })
	hosts = slices.SortedFunc(slices.Values(hosts), func(a, b Host) int { return cmp.Compare(a.Server, b.Server) })
	jp.assignHomes(targets, hosts)

	byModel := map[string]Target{}
	current := map[string]int{} // engines at the newest version or loading it
	for _, ta := range targets {
		byModel[ta.Model] = ta
	}
	var due []Host
	serving := 0
	for _, ho := range hosts {
		if jp.inFlight[ho.Server] == "" {
			serving++
		}
		ta := byModel[jp.homes[ho.Server]]
		if ho.Versions[ta.Model] >= ta.Version || jp.inFlight[ho.Server] != "" {
			current[ta.Model]++
		} else if !jp.isBackingOff(now, ho.Server) {
			due = append(due, ho)
		}
	}

	var out []Swap
	for len(jp.inFlight) < wave && len(due) > 0 && (serving > 1 || len(hosts) == 1) {
		best := slices.MinFunc(due, func(a, b Host) int {
			ma, mb := jp.homes[a.Server], jp.homes[b.Server]

			oldest := 0
			if len(hosts) <= wave {
				oldest = cmp.Compare(a.Versions[ma], b.Versions[mb])
			}

			return cmp.Or(cmp.Compare(current[ma], current[mb]), oldest, cmp.Compare(a.Running, b.Running), cmp.Compare(a.Server, b.Server))
		})
		model := jp.homes[best.Server]
		out = append(out, Swap{Server: best.Server, Model: model, Version: byModel[model].Version})
		current[model]++
		jp.inFlight[best.Server] = Load
		serving--
		due = slices.DeleteFunc(due, func(ho Host) bool { return ho.Server == best.Server })
	}

	return out
}

// assignHomes gives each engine a home model. An engine moves to another model only if
// its model has more engines than it should have and allowedSurplus permits.
func (jp *JointPlanner) assignHomes(targets []Target, hosts []Host) {
	alive := map[string]bool{}
	for _, ho := range hosts {
		alive[ho.Server] = true
	}
	for server := range jp.homes {
		if !alive[server] {
			delete(jp.homes, server)
		}
	}
	if len(targets) == 0 {
		return
	}

	want := divideHosts(targets, len(hosts))
	have := map[string]int{}
	for server, model := range jp.homes {
		if _, ok := want[model]; !ok {
			delete(jp.homes, server)

			continue
		}
		have[model]++
	}
	for _, ho := range hosts {
		if model, ok := jp.homes[ho.Server]; ok && have[model] > want[model]+allowedSurplus(want, have) {
			have[model]--
			delete(jp.homes, ho.Server)
		}
	}
	for _, ho := range hosts {
		if _, ok := jp.homes[ho.Server]; ok {
			continue
		}
		best := slices.MaxFunc(targets, func(a, b Target) int {
			return cmp.Compare(want[a.Model]-have[a.Model], want[b.Model]-have[b.Model])
		})
		jp.homes[ho.Server] = best.Model
		have[best.Model]++
	}
}

// allowedSurplus returns by how many engines a model may exceed its share: one while no
// model is short of more than one engine or below its minimum, so that small changes of
// demand move no engine; else none.
func allowedSurplus(want, have map[string]int) int {
	for model, n := range want {
		if have[model] < min(n, minHosts) || have[model] < n-1 {
			return 0
		}
	}

	return 1
}

// divideHosts divides n engines among models. A share is the mean of an equal share,
// which tolerates the loss of an engine best, and a share in proportion to demand.
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
