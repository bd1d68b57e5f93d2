package jobdriver

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/fairshare"
	"github.com/tamarackbay/tamarackbay/internal/routing"
	"github.com/tamarackbay/tamarackbay/internal/stepplan"
)

const (
	// useHalfLife is the time after which the use of a workspace counts half. It spans a few steps
	// of a trainer, as demandHalfLife does.
	useHalfLife = 15 * time.Second
	// slotsHalfLife is the time after which the most runs at once that were seen count half: the
	// slots of a service change with its backend servers and with the requests of gateways.
	slotsHalfLife = 5 * time.Second
	// minPlanLogPause bounds the log lines about the steps that yield.
	minPlanLogPause = time.Second
)

// shortage holds what the order of texts under shortage depends on.
type shortage struct {
	isShort  map[string]bool          // services without a free slot in the last pass
	slots    map[string]decayingValue // most runs at once, by service
	use      map[string]decayingValue // seconds of slots, by workspace
	yielding int                      // jobs that yield
	logged   []string                 // their IDs, as logged last
	loggedAt time.Time
}

// decayingValue is a value that halves with time.
type decayingValue struct {
	value float64
	at    time.Time
}

func (dv decayingValue) now(now time.Time, halfLife time.Duration) float64 {
	return dv.value * math.Exp2(-now.Sub(dv.at).Seconds()/halfLife.Seconds())
}

func newShortage() shortage {
	return shortage{isShort: map[string]bool{}, slots: map[string]decayingValue{}, use: map[string]decayingValue{}}
}

// setShort records the services without a free slot in a pass.
func (sh *shortage) setShort(short map[string]bool) { sh.isShort = short }

// addUse records the duration of a run that ended.
func (sh *shortage) addUse(workspace string, took time.Duration, now time.Time) {
	sh.use[workspace] = decayingValue{sh.use[workspace].now(now, useHalfLife) + took.Seconds(), now}
	for other, dv := range sh.use {
		if dv.now(now, useHalfLife) < minUse {
			delete(sh.use, other)
		}
	}
}

// minUse is the use in seconds of a slot below which a workspace is not remembered.
const minUse = 0.01

// observeSlots returns the number of texts of a service that run at once while it has no free
// slot.
func (sh *shortage) observeSlots(service string, runs float64, now time.Time) float64 {
	n := max(runs, sh.slots[service].now(now, slotsHalfLife))
	if runs >= n {
		sh.slots[service] = decayingValue{runs, now}
	}

	return n
}

// serviceOf returns the service of a task's route, "" if it has none.
func (t *task) serviceOf(ta *routing.Table) string {
	ro := ta.Match(t.job.host, t.item.Path)
	if ro == nil || len(ro.Targets) == 0 {
		return ""
	}

	return ro.Targets[0].Service
}

// countWaiting reports the tasks that wait for a slot of a service that has none. The caller holds
// dr.mu.
func (dr *Driver) countWaiting(ta *routing.Table) {
	counts := map[fairshare.Key]int{}
	for _, js := range dr.jobs {
		if len(dr.shortage.isShort) == 0 {
			break
		}
		for _, t := range js.tasks {
			if t.phase != waiting {
				continue
			}
			if service := t.serviceOf(ta); dr.shortage.isShort[service] {
				counts[fairshare.Key{Service: service, Workspace: js.workspace}]++
			}
		}
	}
	dr.cfg.Shares.SetWaiting(dr.cfg.Now(), counts)
}

// excessOf returns the use of a job's workspace by its share: the use by all workspaces with open
// jobs, divided by their number. This process executes all items, and it counts them over several
// steps: by the shares of the controllers, which are of the last second, a trainer would always be
// below its own when a step begins. A later job of a workspace gets no lower value than those
// before it, so that it does not overtake them. The caller holds dr.mu.
func (dr *Driver) excessOf(js *jobState) float64 {
	now := time.Now()
	workspaces := map[string]bool{js.workspace: true}
	least := 0.0
	for _, other := range dr.jobs {
		workspaces[other.workspace] = true
		if other.workspace == js.workspace {
			least = max(least, other.excess)
		}
	}
	total := 0.0
	for name := range workspaces {
		total += dr.shortage.use[name].now(now, useHalfLife)
	}
	if total == 0 {
		return least
	}

	return max(least, dr.shortage.use[js.workspace].now(now, useHalfLife)*float64(len(workspaces))/total)
}

// isEligible reports whether any ready backend server may get a task, so that it waits for a slot
// and not for weights or a software version. The caller holds dr.mu.
func (dr *Driver) isEligible(service string, t *task) bool {
	_, eligible := dr.cfg.Balancer.Count(service, t.job.model, t.job.minVersion)

	return eligible > 0 && t.generated.lastEvent == 0
}

// orderForShortage puts waiting tasks in the order of whole steps if the slots of a service do not
// suffice for all. The caller holds dr.mu.
func (dr *Driver) orderForShortage(waits []waitingTask, ta *routing.Table, now time.Time) {
	if len(dr.shortage.isShort) == 0 || len(waits) == 0 {
		dr.shortage.yielding = 0

		return
	}
	turns := map[string]stepplan.Turn{}
	for service, steps := range dr.openSteps(ta, now) {
		if !dr.shortage.isShort[service] {
			continue
		}
		slots := dr.shortage.observeSlots(service, float64(dr.runsOf(service)), now)
		for id, tu := range stepplan.Plan(now, steps, slots) {
			turns[id] = tu
		}
	}
	dr.logTurns(turns, now)
	if len(turns) == 0 {
		return
	}
	sortByTurn(waits, turns)
}

// sortByTurn orders tasks by the turns of their jobs.
func sortByTurn(waits []waitingTask, turns map[string]stepplan.Turn) {
	text := func(wt *waitingTask) stepplan.Text {
		return stepplan.Text{
			Turn: turns[wt.job.id], IsBegun: wt.generated.lastEvent > 0, IsCarriedOver: wt.isCarriedOver, LatestStart: wt.latestStart,
		}
	}
	slices.SortStableFunc(waits, func(a, b waitingTask) int { return text(&a).Compare(text(&b)) })
	if i := slices.IndexFunc(waits, func(wt waitingTask) bool { return turns[wt.job.id].IsNext }); i > 0 {
		next := waits[i]
		copy(waits[1:i+1], waits[:i])
		waits[0] = next
	}
}

// runsOf returns the number of runs at backend servers of a service. The caller holds dr.mu.
func (dr *Driver) runsOf(service string) int {
	n := 0
	for _, js := range dr.jobs {
		for _, t := range js.tasks {
			if t.phase == running && t.service == service {
				n++
			}
		}
	}

	return n
}

// openSteps returns the jobs with texts that are not complete by the service of their route. The caller holds
// dr.mu.
func (dr *Driver) openSteps(ta *routing.Table, now time.Time) map[string][]stepplan.Step {
	pa := dr.tokenPaces()
	tokenSeconds := (pa.Fast + pa.Lagging) / 2
	out := map[string][]stepplan.Step{}
	groups := map[string]int{} // positions in the groups of a step
	for _, js := range dr.jobs {
		st := stepplan.Step{ID: js.id, Excess: js.excess, Due: js.due, LatestStart: js.due, PlacedAt: js.placedAt, Total: js.groups}
		service, hasWaiting := "", false
		clear(groups)
		st.Groups = make([]stepplan.Group, 0, js.groups)
		for _, t := range js.tasks {
			if t.phase != waiting && t.phase != running {
				continue // its text is complete
			}
			if service == "" {
				if service = t.serviceOf(ta); service == "" {
					continue
				}
				st.Urgency = ta.Match(js.host, t.item.Path).Urgency(ta.Workspace(js.workspace))
			}
			i, isKnown := groups[t.item.Group]
			if !isKnown {
				i = len(st.Groups)
				groups[t.item.Group], st.Groups = i, append(st.Groups, stepplan.Group{})
			}
			gr := &st.Groups[i]
			remaining := dr.remaining(t)
			work := remaining * tokenSeconds
			gr.Longest = max(gr.Longest, work)
			if t.phase == running {
				gr.Running += work

				continue
			}
			hasWaiting = true
			gr.Waiting += work
			if at := stepplan.LatestStart(js.due, remaining, pa.Fast); at.Before(st.LatestStart) {
				st.LatestStart = at
			}
		}
		if _, eligible := dr.cfg.Balancer.Count(service, js.model, js.minVersion); eligible == 0 {
			continue // it waits for weights and needs no turn
		}
		if !hasWaiting {
			st.PlacedAt = now // it waits for nothing
		}
		out[service] = append(out[service], st)
	}
	for _, steps := range out {
		slices.SortFunc(steps, func(a, b stepplan.Step) int { return cmp.Compare(a.ID, b.ID) })
	}

	return out
}

// logTurns logs which jobs yield when that changes. The caller holds dr.mu.
func (dr *Driver) logTurns(turns map[string]stepplan.Turn, now time.Time) {
	var yields []string
	for id, tu := range turns {
		if tu.Yields {
			yields = append(yields, id)
		}
	}
	slices.Sort(yields)
	sh := &dr.shortage
	sh.yielding = len(yields)
	if slices.Equal(yields, sh.logged) || now.Sub(sh.loggedAt) < minPlanLogPause {
		return
	}
	sh.logged, sh.loggedAt = yields, now
	dr.cfg.Log.WithFields(log.Fields{"yielding": yields[:min(len(yields), maxLoggedJobs)], "yieldingJobs": len(yields), "jobs": len(turns)}).
		Info("jobs that yield to others under shortage changed")
}

// maxLoggedJobs bounds the IDs in a log line.
const maxLoggedJobs = 8
