// Package jobdriver executes the items of batch jobs while its store is the leader of
// the store group. It places each item at a backend server, resumes broken runs after
// their last event, requests the score and commits the result. One process executes
// all items of a group.
package jobdriver

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/singleflight"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/fairshare"
	"github.com/tamarackbay/tamarackbay/internal/feed"
	"github.com/tamarackbay/tamarackbay/internal/group"
	"github.com/tamarackbay/tamarackbay/internal/job"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/routing"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/stepplan"
	"github.com/tamarackbay/tamarackbay/internal/workload"
)

// maxFailedServers is how many of the last failed backend servers an item, and the
// request for its score, avoid.
const maxFailedServers = 2

// Config holds the dependencies of a Driver.
type Config struct {
	Group   *group.Group
	View    func() *feed.View
	Changed func() <-chan struct{}
	// Standing returns the standing of the view, and IsSynced whether the balancer has been given the current
	// one. Without Standing, the view counts as confirmed.
	Standing func() feed.Standing
	IsSynced func() bool
	Balancer *balance.Balancer
	Client   *backend.Client
	Shares   *fairshare.Holder    // counts the items for the shares of their workspaces; one of its own if it is nil
	Now      func() time.Duration // monotonic; nil for the clock of the process
	Random   func() float64
	// Workload learns the work of texts and scores, for backend servers that report their pace; nil
	// for none.
	Workload *workload.Estimator
	Meter    *meter.Meter
	Log      log.Interface
}

// Driver executes the items of all open jobs.
type Driver struct {
	cfg       Config
	wake      chan struct{}
	soon      chan struct{}
	intake    intake
	placement placement

	mu       sync.Mutex
	ctx      context.Context // context of Run, nil before Run is called
	term     uint64          // term in which this process is the driver, 0 while it isn't
	jobs     map[string]*jobState
	running  map[string]int
	paces    *paceTracker
	classes  paceClasses
	waits    waitQueue
	progress []job.Part // parts queued for the next commit
	commit   func(ctx context.Context, pr job.Progress) error
	list     func(ctx context.Context, li job.ListResults) error
	// isFlushing is set while a commit of progress is in flight. The next commit waits
	// for it, since the parts of one item must be applied in order.
	isFlushing     bool
	tokensPerEvent float64            // mean of recent texts, 0 before the first one
	obtaining      map[string]bool    // services and urgencies for whose items a permit is being asked for
	demand         map[string]float64 // recently generated events by model, decaying
	demandAt       time.Time
	shortage       shortage
	services       map[string]string // the last service that ran each model
	confirmations  singleflight.Group
	wg             sync.WaitGroup
}

// New returns a driver.
func New(cfg Config) *Driver {
	if cfg.Shares == nil {
		start := time.Now()
		cfg.Shares, cfg.Now = fairshare.NewHolder("", 0), func() time.Duration { return time.Since(start) }
	}

	dr := &Driver{
		cfg: cfg, wake: make(chan struct{}, 1), soon: make(chan struct{}, 1), jobs: map[string]*jobState{}, running: map[string]int{}, paces: newPaceTracker(),
		services: map[string]string{}, demand: map[string]float64{}, obtaining: map[string]bool{}, shortage: newShortage(), commit: func(ctx context.Context, pr job.Progress) error {
			return cfg.Group.ProposeLocal(ctx, statemachine.KindRecordProgress, pr, nil)
		},
	}
	dr.list = func(ctx context.Context, li job.ListResults) error {
		return cfg.Group.ProposeLocal(ctx, statemachine.KindListResults, li, nil)
	}
	dr.intake.read = func(f func(le *job.Ledger)) {
		cfg.Group.Read(func(ma *statemachine.Machine) { f(ma.Jobs()) })
	}

	return dr
}

// Running returns the number of items running at each backend server, by its ID.
func (dr *Driver) Running() map[string]int {
	dr.mu.Lock()
	defer dr.mu.Unlock()

	out := make(map[string]int, len(dr.running))
	for id, n := range dr.running {
		if n > 0 {
			out[id] = n
		}
	}

	return out
}

// begin begins to execute the items in a term, unless this process does so already.
func (dr *Driver) begin(term uint64) {
	dr.mu.Lock()
	defer dr.mu.Unlock()

	if dr.term == term {
		return
	}
	dr.stopLocked()
	dr.intake.reset()
	dr.term = term
	dr.cfg.Log.WithField("term", term).Info("items are executed by this store")
}

// pass reads what is next of the ledger and starts the tasks that can run now. It reports whether a further
// pass is due at once, as one does a bounded part of both.
func (dr *Driver) pass() bool {
	ch, hasMore := dr.intake.next() // without dr.mu, for which runs would wait
	taken := takeUp(ch.taken)

	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.applyChanges(&ch, taken)
	dr.classifyServers()
	isCut := dr.place()
	dr.moveRuns()
	dr.flushProgress()

	return hasMore || isCut
}

func (dr *Driver) stop() {
	dr.mu.Lock()
	defer dr.mu.Unlock()

	if dr.term != 0 {
		dr.cfg.Log.WithField("term", dr.term).Info("items are no longer executed by this store")
	}
	dr.stopLocked()
	dr.term = 0
}

func (dr *Driver) stopLocked() {
	for _, js := range dr.jobs {
		js.cancelAll()
	}
	dr.jobs, dr.progress, dr.waits = map[string]*jobState{}, nil, waitQueue{}
	dr.cfg.Shares.SetWaiting(dr.cfg.Now(), nil)
	dr.resetPlacement()
}

func (js *jobState) cancelAll() {
	for _, ta := range js.tasks {
		if ta.cancel != nil {
			ta.cancel()
		}
	}
}

// newJobState returns the state of an open job. earlier holds texts of its items from ended
// jobs.
func newJobState(jo *job.Job, earlier map[string]job.EarlierText) *jobState {
	sp := &jo.Spec
	at := time.UnixMilli(jo.SubmittedMs)
	js := &jobState{
		id: sp.ID, workspace: sp.Workspace, host: sp.Host, model: sp.Model, minVersion: sp.MinVersion, submitted: at,
		tasks: map[int]*task{}, timeline: timeline{runs: map[string]int{}}, placedAt: at,
		due: at.Add(time.Duration(sp.ResultDeadlineMs) * time.Millisecond),
	}
	if sp.MaxQueueMs > 0 {
		js.queueDeadline = at.Add(time.Duration(sp.MaxQueueMs) * time.Millisecond)
	}
	required, groups := map[string]bool{}, map[string]bool{}
	for i := range sp.Items {
		groups[sp.Items[i].Group] = true
		et, isEarlier := earlier[sp.Items[i].ID]
		if isEarlier {
			required[sp.Items[i].Group] = true
		}
		if jo.Listed[i] {
			continue
		}
		t := &task{job: js, index: i, item: sp.Items[i], waitingSince: time.Now()}
		js.tasks[i] = t
		if pa, ok := jo.Partial[i]; ok {
			t.generated = newGeneratedText(&pa)
		} else if isEarlier {
			t.takeOver(&et)
		}
	}
	for _, t := range js.tasks {
		t.isCarriedOver = required[t.item.Group] // texts of the group that are new, too
	}
	js.required, js.groups = len(required), len(groups)

	return js
}

// takeOver continues a text of an earlier job, as far as its weight versions allow.
func (t *task) takeOver(et *job.EarlierText) {
	te := newGeneratedText(&et.Partial)
	t.earlierEvents = len(te.events)
	if et.IsWhole {
		te = newWholeText(et)
		t.earlierEvents = strings.Count(et.Text, "\n") + 1
	} else {
		te.proposed, te.proposedEvents = 0, 0 // this job's progress holds nothing of it
	}
	switch {
	case te.lastEvent == 0:
	case !te.meetsVersionRules(t.job.minVersion, false):
		t.job.timeline.tooOld++
	default:
		t.generated, t.isWhole = te, et.IsWhole
		t.job.timeline.takenOver++
	}
}

// classifyServers updates which backend servers are slow or lagging.
func (dr *Driver) classifyServers() {
	pc := dr.paces.classify(time.Now())
	if !slices.Equal(pc.slow, dr.classes.slow) {
		dr.cfg.Log.WithFields(log.Fields{"slow": pc.slow, "before": dr.classes.slow, "lagging": pc.lagging}).Info("slow backend servers changed")
	}
	dr.classes = pc
}

// defaultTokenSeconds is the time between two tokens of a text that is expected before any was
// measured.
const defaultTokenSeconds = 0.001

// tokenPaces returns the expected times between two tokens. The caller holds dr.mu.
func (dr *Driver) tokenPaces() stepplan.Paces {
	if dr.tokensPerEvent == 0 || dr.classes.fast == 0 {
		return stepplan.Paces{Fast: defaultTokenSeconds, Lagging: defaultTokenSeconds}
	}

	return stepplan.Paces{Fast: dr.classes.fast / dr.tokensPerEvent, Lagging: dr.classes.laggingInterval / dr.tokensPerEvent}
}

// start runs a task at a backend server in the background. The caller holds dr.mu.
func (dr *Driver) start(t *task, ro *routing.Route, gr *balance.Grant) {
	rec := gr.Record()
	if !t.generated.isUsable(t.job.minVersion, ro) || !t.generated.mayContinueAt(&rec) {
		t.generated = generatedText{}
	}
	t.runEvents.Store(0)
	ctx, cancel := context.WithCancelCause(dr.ctx)
	t.phase, t.server, t.service, t.software = running, rec.ID, rec.Service, rec.Software
	t.cancel = func() { cancel(nil) }
	t.cancelForMove, t.startedAt = func() { cancel(errSlow) }, time.Now()
	t.cancelReplaced, t.bornMs = func() { cancel(errReplaced) }, rec.BornMs
	if t.runs++; t.runs == 1 {
		t.firstStartedAt = t.startedAt
	}
	t.job.placedAt = t.startedAt
	dr.running[rec.ID]++
	ke := fairshare.Key{Service: rec.Service, Workspace: t.job.workspace}
	dr.cfg.Shares.Begin(dr.cfg.Now(), ke)
	dr.services[t.job.model] = rec.Service
	te := t.generated
	te.events, te.versions = slices.Clip(te.events), slices.Clip(te.versions) // shared, but not appended to in place
	began := len(te.events)
	dr.wg.Add(1)
	go func() {
		defer dr.wg.Done()
		defer cancel(nil)
		oc := dr.run(ctx, t, ro, gr, &te)
		dr.cfg.Shares.End(dr.cfg.Now(), ke)
		dr.mu.Lock()
		dr.running[rec.ID]--
		dr.shortage.addUse(t.job.workspace, time.Since(t.startedAt), time.Now())
		dr.decayDemand()
		dr.demand[t.job.model] += float64(max(len(te.events)-began, 0))
		dr.mu.Unlock()
		dr.handleOutcome(t, ro, gr, &te, oc)
		dr.Wake()
	}()
}

// finish commits the result of a task in the background. The caller holds dr.mu.
func (dr *Driver) finish(t *task, re job.Result, why string) {
	t.phase = listing
	dr.wg.Add(1)
	go func() {
		defer dr.wg.Done()
		dr.commitResult(dr.ctx, t, re, why)
	}()
}

// commitRetryPause is the pause before a result that could not be committed is proposed
// again.
const commitRetryPause = 50 * time.Millisecond

// commitResult commits a result and retries while this process is the leader.
func (dr *Driver) commitResult(ctx context.Context, t *task, re job.Result, why string) {
	fl := log.Fields{
		"job": t.job.id, "item": t.item.ID, "group": t.item.Group, "completed": re.State == job.Completed,
		"versions": re.Versions, "bytes": len(re.Text), "ms": time.Since(t.job.submitted).Milliseconds(),
	}
	if why != "" {
		fl["why"] = why
	}
	for ctx.Err() == nil {
		err := dr.list(ctx, job.ListResults{Job: t.job.id, Results: []job.Result{re}})
		if err == nil {
			dr.cfg.Meter.Count("item.listed")
			dr.cfg.Log.WithFields(fl).Info("item listed")

			return
		}
		dr.cfg.Log.WithError(err).WithFields(fl).Warn("result of the item not committed")
		if !dr.cfg.Group.IsLeader() {
			return // the next leader executes the item again
		}
		select {
		case <-time.After(commitRetryPause):
		case <-ctx.Done():
		}
	}
}

// Measure sets the gauges of the jobs and items that this process executes.
func (dr *Driver) Measure(me *meter.Meter) {
	dr.mu.Lock()
	defer dr.mu.Unlock()

	waits, runs := 0, 0
	for _, js := range dr.jobs {
		for _, t := range js.tasks {
			switch t.phase {
			case waiting:
				waits++
			case running:
				runs++
			}
		}
	}
	me.Gauge("jobs.open", int64(len(dr.jobs)))
	me.Gauge("jobs.yielding", int64(dr.shortage.yielding))
	me.Gauge("items.waiting", int64(waits))
	me.Gauge("items.running", int64(runs))
}
