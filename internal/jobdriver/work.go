package jobdriver

import (
	"time"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/job"
	"github.com/tamarackbay/tamarackbay/internal/routing"
	"github.com/tamarackbay/tamarackbay/internal/workload"
)

// kind describes a text for the estimate of its work. Its route is the job's host: the texts of a
// model differ little by their path.
func (t *task) kind() *workload.Request {
	return &workload.Request{
		Route: t.job.host, Model: t.job.model, Workspace: t.job.workspace, BodyBytes: len(t.item.Body),
		Declared: float64(t.item.Expected), IsText: true,
	}
}

// isPaced reports whether estimates are used for a text: the backend servers of its service, or
// of the last one that ran its model, report their pace. The caller holds dr.mu.
func (dr *Driver) isPaced(t *task) bool {
	service := t.service
	if service == "" {
		service = dr.services[t.job.model]
	}

	return dr.cfg.Workload != nil && dr.cfg.Balancer.IsPaced(service)
}

// lengthPeriod is how often the expected length of a text is estimated again.
const lengthPeriod = time.Second

// expectedLength returns the expected length of a text in events. The caller holds dr.mu.
func (dr *Driver) expectedLength(t *task) workload.Length {
	if now := dr.cfg.Now(); !t.length.IsKnown() || now-t.lengthAt > lengthPeriod {
		t.length, t.lengthAt = dr.cfg.Workload.Estimate(now, t.kind()).Length, now
	}

	return t.length
}

// remaining returns how many tokens a task's text is expected to need. Where the backend servers
// of the service report their pace, the declared length is corrected by what was learned of it.
// The caller holds dr.mu.
func (dr *Driver) remaining(t *task) float64 {
	if t.isWhole || dr.tokensPerEvent == 0 || !dr.isPaced(t) {
		return t.remaining(dr.tokensPerEvent)
	}
	events := max(dr.expectedLength(t).Remaining(t.events()), float64(t.earlierEvents)-t.events())

	return events * dr.tokensPerEvent
}

// events returns how many events the text has so far.
func (t *task) events() float64 { return float64(len(t.generated.events) + int(t.runEvents.Load())) }

// work returns the expected work of the rest of a text, zero if it is not known.
func (dr *Driver) work(t *task) workload.Estimate {
	if dr.cfg.Workload == nil {
		return workload.Estimate{}
	}
	rq := t.kind()
	et := dr.cfg.Workload.Estimate(dr.cfg.Now(), rq)
	if done := t.events(); done > 0 {
		et.Seconds = et.Prompt + dr.cfg.Workload.UnitSeconds(rq)*et.Length.Remaining(done)
	}

	return et
}

// releaseRun ends the grant of a run that wrote events after the first began ones, and learns
// from a complete text.
func (dr *Driver) releaseRun(t *task, gr *balance.Grant, te *generatedText, began int, oc balance.Outcome, load *backend.Load, isComplete bool) {
	if dr.cfg.Workload == nil || !isComplete || len(te.events) <= began {
		gr.Release(oc, load)

		return
	}
	rq, units := t.kind(), float64(len(te.events)-began)
	et := dr.cfg.Workload.Estimate(dr.cfg.Now(), rq)
	gr.SetWork(et.Prompt + units*dr.cfg.Workload.UnitSeconds(rq))
	elapsed := time.Since(te.runBegan).Seconds()
	gr.Release(oc, load)

	re := workload.Result{Seconds: gr.Work(), Units: units, Length: float64(len(te.events))}
	if elapsed > 0 && !gr.HoldsPrefix() {
		re.PromptSeconds = te.untilFirst.Seconds() * re.Seconds / elapsed
	}
	dr.cfg.Workload.Observe(dr.cfg.Now(), rq, &re)
}

// scoreKind describes a request for a score for the estimate of its work.
func scoreKind(service string, ro *routing.Route, rw *job.Reward) *workload.Request {
	return &workload.Request{Service: service, Route: ro.Name, BodyBytes: len(rw.Body)}
}

// scoreWork returns the expected work of a request for a score, zero if it is not known.
func (dr *Driver) scoreWork(rq *workload.Request) workload.Estimate {
	if dr.cfg.Workload == nil {
		return workload.Estimate{}
	}

	return dr.cfg.Workload.Estimate(dr.cfg.Now(), rq)
}

// releaseScore ends the grant of a request for a score and learns its work.
func (dr *Driver) releaseScore(gr *balance.Grant, rq *workload.Request, oc balance.Outcome, load *backend.Load) {
	gr.Release(oc, load)
	if work := gr.Work(); dr.cfg.Workload != nil && oc == balance.Succeeded && work > 0 {
		dr.cfg.Workload.Observe(dr.cfg.Now(), rq, &workload.Result{Seconds: work})
	}
}
