package jobdriver

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/routing"
	"github.com/tamarackbay/tamarackbay/internal/stepplan"
)

// waitingTask is a task that is due for a backend server.
type waitingTask struct {
	*task
	isBegun     bool
	remaining   float64 // tokens that its text is expected to need
	latestStart time.Time
}

// waitQueue holds the waiting tasks of the last pass in their order, which hardly changes from one pass to the
// next. Its memory is used again.
type waitQueue struct {
	found   []*task       // tasks that wait, in no order
	sorted  []waitingTask // in order of placement
	ordered []waitingTask // a copy that the plan for a shortage may put in another order
}

// sort puts the tasks that were found in order. add returns the entry of a task.
func (wq *waitQueue) sort(add func(t *task) waitingTask) {
	for _, t := range wq.found {
		t.isFound = true
	}
	out := wq.sorted[:0]
	for i := range wq.sorted {
		if t := wq.sorted[i].task; t.isFound {
			t.isFound = false
			out = append(out, add(t))
		}
	}
	for _, t := range wq.found {
		if t.isFound { // in none of the last pass
			t.isFound = false
			out = append(out, add(t))
		}
	}
	if !slices.IsSortedFunc(out, compareWaiting) {
		slices.SortFunc(out, compareWaiting)
	}
	clear(wq.found)
	clear(wq.sorted[min(len(out), len(wq.sorted)):]) // holds no tasks that wait no more
	wq.found, wq.sorted = wq.found[:0], out
}

// waitingTasks returns the tasks that are due for a backend server, in order of placement:
// begun texts first, since they may continue at some backend servers only, then the one that
// must start first to be complete when it is due, across all jobs. The slice is valid until the next call.
func (dr *Driver) waitingTasks(now time.Time) []waitingTask {
	pa := dr.tokenPaces()
	wq := &dr.waits
	for _, js := range dr.jobs {
		for _, t := range js.tasks {
			if t.phase == waiting && !now.Before(t.notBefore) {
				wq.found = append(wq.found, t)
			}
		}
	}
	wq.sort(func(t *task) waitingTask {
		remaining := dr.remaining(t)

		return waitingTask{
			task: t, isBegun: t.generated.lastEvent > 0, remaining: remaining, latestStart: stepplan.LatestStart(t.job.due, remaining, pa.Fast),
		}
	})
	clear(wq.ordered)
	wq.ordered = append(wq.ordered[:0], wq.sorted...)

	return wq.ordered
}

// compareWaiting orders waiting tasks for placement. Most differ by their latest start, so that the rest is
// rarely compared.
func compareWaiting(a, b waitingTask) int {
	if a.isBegun != b.isBegun {
		if a.isBegun {
			return -1
		}

		return 1
	}
	if c := a.latestStart.Compare(b.latestStart); c != 0 {
		return c
	}

	return cmp.Or(cmp.Compare(a.job.id, b.job.id), cmp.Compare(a.index, b.index))
}

// slotKey is what decides whether a service has a free slot for a text, but for the backend servers of its
// failed runs.
type slotKey struct {
	service, job, software, regions string
	isFastOnly                      bool
}

// passState is what a pass has found so far.
type passState struct {
	full  map[slotKey]bool          // without a free slot
	short map[string]bool           // services without a free slot
	ready map[string]map[string]int // ready backend servers by service and software
}

func newPassState() *passState {
	return &passState{full: map[slotKey]bool{}, short: map[string]bool{}, ready: map[string]map[string]int{}}
}

// readyBySoftware returns the number of ready backend servers of a service by their software, as of the first
// time that the pass asked.
func (dr *Driver) readyBySoftware(ps *passState, service string) map[string]int {
	if ps.ready[service] == nil {
		ps.ready[service] = dr.cfg.Balancer.ReadyBySoftware(service)
	}

	return ps.ready[service]
}

// maxStartsPerPass bounds how many items a pass starts, asks the score of or ends: each does so in a goroutine
// of its own, and other work of the process goes on between two passes.
const maxStartsPerPass = 16

// place starts waiting tasks while backend servers have free slots. It reports whether it stopped at
// maxStartsPerPass, so that a further pass is due at once.
func (dr *Driver) place() bool {
	ta := dr.cfg.View().Table
	if ta == nil {
		return false
	}
	now := time.Now()
	waits := dr.waitingTasks(now)
	if !dr.mayPlace() {
		return dr.hold(waits, now)
	}
	dr.orderForShortage(waits, ta, now)
	ps := newPassState()
	starts := 0
	for i, wt := range waits {
		if starts == maxStartsPerPass {
			return true // the next pass goes by the same shortage
		}
		t := wt.task
		if dr.endOverdue(t, now) {
			starts++

			continue
		}
		ro := ta.Match(t.job.host, t.item.Path)
		if ro == nil {
			continue // the route may be configured again before the queue deadline
		}
		if t.isWhole {
			if t.generated.meetsVersionRules(t.job.minVersion, ro.IsSingleVersion) {
				dr.completeText(t)
				starts++

				continue
			}
			t.generated, t.isWhole = generatedText{}, false
		}
		dr.discardUnusable(ps, t, ro, now)
		ws := ta.Workspace(t.job.workspace)
		t.regions = ro.AllowedRegions(ws)
		service := dr.cfg.Balancer.PickService(ro, t.regions, dr.cfg.Random())
		if t.generated.lastEvent > 0 {
			service = t.generated.service
		}
		preferred := dr.preference(&wt, now)
		key := slotKey{service: service, job: t.job.id, software: t.generated.software, isFastOnly: preferred == stepplan.RequireFast}
		if t.regions != nil {
			key.regions = "@" + strings.Join(t.regions, ",")
		}
		if ps.full[key] {
			continue
		} else if gr := dr.acquire(service, t, preferred); gr == nil {
			ps.full[key] = true
			if preferred != stepplan.RequireFast && dr.isEligible(service, t) {
				ps.short[service] = true
			}
			dr.obtainPermits(service, t, ro.Urgency(ws), len(waits)-i)
		} else {
			dr.start(t, ro, gr)
			starts++
		}
	}
	dr.shortage.setShort(ps.short)
	dr.countWaiting(ta)

	return false
}

// maxFastWait is how long a text waits for a slot at a fast backend server, although others
// have one. It begins again when the text has to wait again.
const maxFastWait = 400 * time.Millisecond

// preference returns at which backend servers a task is to be placed. The caller holds dr.mu.
func (dr *Driver) preference(wt *waitingTask, now time.Time) stepplan.Preference {
	out := stepplan.Prefer(wt.job.due.Sub(now).Seconds(), wt.remaining, dr.tokenPaces())
	if out == stepplan.RequireFast && now.Sub(wt.waitingSince) > maxFastWait {
		return stepplan.PreferFast
	}

	return out
}

// acquire reserves a slot at a backend server, in order of preference: a fast one, a
// lagging one, a slow one, and last one that failed the item before. A text that leaves the fast
// ones to others takes a lagging one first.
func (dr *Driver) acquire(service string, t *task, preferred stepplan.Preference) *balance.Grant {
	rq := &balance.Request{
		Service: service, Model: t.job.model, MinVersion: t.job.minVersion, Prefix: t.job.model + "/" + t.item.Group, Tokens: t.item.Tokens,
		Software: t.generated.software, Regions: t.regions, Work: dr.work(t),
	}
	slow, lagging := dr.classes.slow, dr.classes.lagging
	if preferred == stepplan.PreferLagging && len(lagging) > 0 {
		rq.Exclude, rq.Only = slices.Concat(t.failedServers, slow), lagging
		if gr := dr.cfg.Balancer.Acquire(rq); gr != nil {
			return gr
		}
		rq.Only = nil
	}
	choices := [][]string{slices.Concat(t.failedServers, slow, lagging), slices.Concat(t.failedServers, slow), t.failedServers, nil}
	if preferred == stepplan.RequireFast {
		choices = choices[:1]
	}
	last := -1
	for _, exclude := range choices {
		if len(exclude) == last {
			continue // same exclusions as in the last attempt
		}
		last, rq.Exclude = len(exclude), exclude
		if gr := dr.cfg.Balancer.Acquire(rq); gr != nil {
			return gr
		}
	}
	if t.generated.lastEvent == 0 {
		return nil
	}
	rq.ExtraSlots = resumeQueueSlots

	return dr.cfg.Balancer.Acquire(rq)
}

const (
	// minSoftwareWait is how long a begun text waits at least for a slot at a backend server of
	// its software version. Once it has waited as long as it took to write, it is begun again at
	// any.
	minSoftwareWait = time.Second
	// resumeQueueSlots is how many begun texts a backend server may get beyond its slots.
	resumeQueueSlots = 4
	// maxBrokenResumes is how many runs in a row may break off without a new event before a
	// text is begun again, as the few backend servers of its version may all be at fault.
	maxBrokenResumes = 3
)

// discardUnusable discards the text of a waiting task that can't be continued: its weight
// versions don't allow it, or no backend server of its software version is to be had. The
// caller holds dr.mu.
func (dr *Driver) discardUnusable(ps *passState, t *task, ro *routing.Route, now time.Time) {
	te := &t.generated
	if te.lastEvent == 0 {
		return
	}
	ready := dr.readyBySoftware(ps, te.service)
	hasOthers := len(ready) > 1
	why := ""
	switch {
	case !te.isUsable(t.job.minVersion, ro):
		*te = generatedText{}

		return
	case te.software == "":
		why = "its software version is not known"
	case !ro.Allows(te.service) || ready[te.software] == 0:
		why = "no backend server of its software version is ready"
	case hasOthers && now.Sub(t.waitingSince) > max(minSoftwareWait, te.took):
		why = "the backend servers of its software version have no room"
	case hasOthers && t.brokenRuns >= maxBrokenResumes:
		why = "runs at backend servers of its software version keep breaking off"
	default:
		return
	}
	dr.cfg.Meter.Count("items.restarted")
	dr.cfg.Log.WithFields(log.Fields{
		"job": t.job.id, "item": t.item.ID, "service": te.service, "software": te.software, "lastEvent": te.lastEvent, "why": why,
	}).Info("text of item begun again")
	*te = generatedText{}
}

// obtainPermits asks in the background for permits for items that no backend server without a
// rate limit has room for. The caller holds dr.mu.
func (dr *Driver) obtainPermits(service string, t *task, urgency, count int) {
	key := service + "@" + strconv.Itoa(urgency)
	if dr.obtaining[key] {
		return
	}
	limited := dr.cfg.Balancer.Limited(&balance.Request{
		Service: service, Model: t.job.model, MinVersion: t.job.minVersion, Software: t.generated.software, Regions: t.regions,
	})
	if len(limited) == 0 {
		return
	}
	dr.obtaining[key] = true
	dr.wg.Add(1)
	go func() {
		defer dr.wg.Done()
		err := dr.cfg.Balancer.ObtainPermits(dr.ctx, limited, urgency, count)
		dr.mu.Lock()
		delete(dr.obtaining, key)
		dr.mu.Unlock()
		if err == nil {
			dr.Wake() // otherwise the next pass asks again
		}
	}()
}
