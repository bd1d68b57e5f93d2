package jobdriver

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/job"
	"github.com/tamarackbay/tamarackbay/internal/payload"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/routing"
)

const (
	// firstEventTimeout is how long a backend server may take until its first event.
	// Engines read a prompt in milliseconds and get no more requests than they have slots.
	firstEventTimeout = 1500 * time.Millisecond
	// eventGapTimeout is the longest pause between two events before the run is broken
	// off and placed again: several times the pause that makes a stream late.
	eventGapTimeout = 800 * time.Millisecond
	// itemTimeLimit is the time limit sent to the backend server with an item. A run
	// that is no longer needed is ended by closing its connection.
	itemTimeLimit = 30 * time.Second
	// minRetryPause is the shortest pause before an item is placed again, scoreRetryPause
	// the pause before a refused score request is repeated.
	minRetryPause   = 10 * time.Millisecond
	scoreRetryPause = 250 * time.Millisecond
	// maxRetryPause bounds the back-off of an item whose runs keep breaking off without
	// a new event. The pause doubles each time, at most maxBackoffDoublings times.
	maxRetryPause       = time.Second
	maxBackoffDoublings = 8
	// scoreTimeout bounds one request for a score: several times its usual duration.
	scoreTimeout = time.Second
	// maxErrorBytes is how much of a failure's answer is read so that its connection
	// can be reused.
	maxErrorBytes = 64 << 10
	// maxScoreBytes bounds the answer to a request for a score, whose body is not used.
	maxScoreBytes = 1 << 20
)

// outcome is the way in which a run or a score request ended.
type outcome uint8

const (
	complete     outcome = iota // the text or score is complete
	brokenOff                   // ended early; resumes at another backend server
	refused                     // not executed by the backend server
	serverFailed                // the backend server reported its own failure
	impossible                  // the item can't be executed by any backend server
	cancelled                   // no longer needed: the job or the leadership ended
	moved                       // cancelled at a slow backend server to resume at a faster one
)

// run executes a task at one backend server, resuming after the last event of te.
func (dr *Driver) run(ctx context.Context, t *task, ro *routing.Route, gr *balance.Grant, te *generatedText) outcome {
	rec := gr.Record()
	began, from := time.Now(), te.lastEvent
	grantOutcome, load := balance.Failed, (*backend.Load)(nil)
	oc, begun := brokenOff, len(te.events)
	te.runBegan, te.untilFirst = began, 0
	defer func() { dr.releaseRun(t, gr, te, begun, grantOutcome, load, oc == complete) }()

	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := time.AfterFunc(firstEventTimeout, func() { cancel(errSilent) })
	defer watch.Stop()

	var err error
	oc, err = dr.exchange(ctx, t, ro, gr, te, watch, &load)
	te.took += time.Since(began)
	switch {
	case oc == complete:
		grantOutcome = balance.Succeeded
	case oc == refused:
		grantOutcome = balance.Busy
	case oc == impossible:
		grantOutcome = balance.Succeeded
	case errors.Is(context.Cause(ctx), errSlow):
		oc, grantOutcome = moved, balance.Unused
	case errors.Is(context.Cause(ctx), errReplaced):
		*te = generatedText{}
		grantOutcome = balance.Unused
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent):
		oc, grantOutcome = cancelled, balance.Unused
	}
	if te.lastEvent > from && (oc != complete || from > 0) && dr.isOutdated(&rec, began) {
		*te, oc = generatedText{}, brokenOff
	}
	if oc == brokenOff && err != nil && backend.MayHaveRun(err) {
		dr.confirm(ctx, &rec, te, te.lastEvent > from)
	}
	fl := log.Fields{
		"job": t.job.id, "item": t.item.ID, "group": t.item.Group, "expectedTokens": t.item.Expected, "server": rec.ID, "software": rec.Software, "outcome": oc.String(), "fromEvent": from, "lastEvent": te.lastEvent,
		"believedVersion": rec.Version(t.job.model), "versions": te.versions, "ms": time.Since(began).Milliseconds(),
	}
	if err != nil {
		fl["error"] = err.Error()
	}
	dr.cfg.Meter.Count("item.run." + oc.String())
	dr.cfg.Meter.RecordDuration("item.run", time.Since(began))
	dr.cfg.Log.WithFields(fl).Info("run of item ended")

	return oc
}

var (
	errSilent = errors.New("jobdriver: no event from the backend server within the time limit")
	errSlow   = errors.New("jobdriver: run moved away from a slow backend server")
)

func (oc outcome) String() string {
	return [...]string{"complete", "brokenOff", "refused", "serverFailed", "impossible", "cancelled", "moved"}[oc]
}

// exchange sends the item to the backend server and appends its events to te.
func (dr *Driver) exchange(
	ctx context.Context, t *task, ro *routing.Route, gr *balance.Grant, te *generatedText, watch *time.Timer, load **backend.Load,
) (outcome, error) {
	rec := gr.Record()
	an, err := dr.cfg.Client.Send(ctx, rec.Address, &backend.Call{
		ID: t.item.ID, Method: http.MethodPost, Host: t.job.host, Target: t.item.Path, Header: headerOf(&t.item), Body: payload.Of(t.item.Body),
		Instance: rec.ID, Workspace: t.job.workspace, Timeout: itemTimeLimit, Priority: -1, ResumeAfter: te.lastEvent,
	})
	if err != nil {
		return brokenOff, err
	}
	defer an.Body.Close()

	gr.RecordAnswer(an)
	*load = an.Load
	if an.IsNotRun || an.Status >= http.StatusMultipleChoices || an.Stamp == "" {
		_, _ = io.Copy(io.Discard, io.LimitReader(an.Body, maxErrorBytes)) // so that the connection can be reused

		return outcomeOf(an), result.New(result.BackendRefused, "backend server answered with status %d, not executed: %v", an.Status, an.IsNotRun)
	}
	version := an.Version
	if version < t.job.minVersion {
		return refused, result.New(result.NoEligibleVersion, "weight version %d is older than the job's minimum %d", version, t.job.minVersion)
	}
	if ro.IsSingleVersion && len(te.versions) > 0 && te.versions[0] != version {
		begun := te.versions[0]
		*te = generatedText{}

		return brokenOff, result.New(result.NoEligibleVersion, "the text was begun with weight version %d, the backend server has %d", begun, version)
	}
	software := rec.Software
	if te.lastEvent > 0 {
		// Asked once the answer has begun: an incarnation that ended before did not begin it.
		if err := dr.checkIncarnation(ctx, &rec); err != nil {
			return brokenOff, err
		}
	}

	next := dr.cfg.Client.NewEventReader(an.Body)
	lastAt, progressAt := time.Time{}, time.Now()
	isPaced := dr.cfg.Balancer.IsPaced(rec.Service)
	for {
		ev, err := next()
		if errors.Is(err, io.EOF) {
			if te.lastEvent == 0 {
				return brokenOff, result.New(result.StreamCut, "the backend server ended the stream before its first event")
			}

			return complete, nil
		}
		if err != nil {
			return brokenOff, err
		}
		watch.Reset(eventGapTimeout)
		now := time.Now()
		switch {
		case lastAt.IsZero():
			te.untilFirst = now.Sub(te.runBegan)
		case isPaced:
			dr.paces.recordLasting(rec.ID, now.Sub(lastAt), now)
		default:
			dr.paces.record(rec.ID, now.Sub(lastAt), now)
		}
		lastAt = now
		if ev.Version > 0 {
			version = ev.Version
		}
		if te.lastEvent > 0 && ev.Number != te.lastEvent+1 {
			return brokenOff, result.New(result.BackendAnswerBroken, "the backend server sent event %d after event %d", ev.Number, te.lastEvent)
		}
		if ro.IsSingleVersion && len(te.versions) > 0 && te.versions[0] != version {
			*te = generatedText{}

			return brokenOff, result.New(result.NoEligibleVersion, "the weight version changed to %d within the text of a single-version route", version)
		}
		if te.lastEvent == 0 && !dr.isConfirmed() && dr.checkIncarnation(ctx, &rec) != nil {
			software = "" // the text is not resumed
		}
		te.service, te.software = rec.Service, software
		t.runEvents.Add(1)
		te.add(ev.Number, ev.Data, version)
		if te.bytes > job.MaxPageBytes {
			*te = generatedText{}

			return brokenOff, result.New(result.BackendAnswerBroken, "the text is over %d bytes", job.MaxPageBytes)
		}
		if now.Sub(progressAt) > progressPeriod {
			dr.recordProgress(t, te)
			progressAt = now
		}
	}
}

// outcomeOf maps an answer that is not a stream of events to an outcome.
func outcomeOf(an *backend.Answer) outcome {
	switch {
	case an.IsNotRun:
		return refused
	case an.Status == http.StatusUnprocessableEntity:
		return impossible
	case an.Status == http.StatusInternalServerError:
		return serverFailed
	}

	return brokenOff
}

// handleOutcome updates a task after a run: it commits the result, requests the score,
// or schedules another run.
func (dr *Driver) handleOutcome(t *task, ro *routing.Route, gr *balance.Grant, te *generatedText, oc outcome) {
	dr.mu.Lock()
	defer dr.mu.Unlock()

	t.cancel, t.cancelForMove, t.cancelReplaced = nil, nil, nil
	next := t.nextGrant
	t.nextGrant = nil
	defer func() {
		if next != nil {
			next.Release(balance.Unused, nil)
		}
	}()
	if oc == cancelled || dr.jobs[t.job.id] != t.job {
		return
	}
	t.job.timeline.runs[oc.String()]++
	from := t.generated.lastEvent
	t.generated = *te
	t.runEvents.Store(0)
	avoid := func() {
		t.failedServers = append(t.failedServers, gr.Record().ID)
		if len(t.failedServers) > maxFailedServers {
			t.failedServers = t.failedServers[1:]
		}
	}
	again := func(pause time.Duration) {
		t.phase, t.notBefore, t.waitingSince = waiting, time.Now().Add(pause), time.Now()
		dr.cfg.Meter.CountRetry(oc.String(), true)
	}
	switch oc {
	case complete:
		dr.recordLength(t)
		dr.completeText(t)
	case impossible:
		dr.finish(t, job.Result{Item: t.index, State: job.Aborted}, "a backend server answered that the item can't be executed")
	case serverFailed:
		if t.serverFailures++; t.serverFailures >= max(ro.MaxAttempts, 1) {
			dr.finish(t, job.Result{Item: t.index, State: job.Aborted}, "failures of backend servers reached the route's maximum attempts")

			return
		}
		avoid()
		again(minRetryPause)
	case moved:
		t.moves++
		if next == nil || !dr.mayPlace() {
			again(minRetryPause)

			return
		}
		dr.cfg.Meter.CountRetry(oc.String(), true)
		dr.start(t, ro, next)
		next = nil
	case refused:
		again(minRetryPause)
	default:
		avoid()
		if te.lastEvent > from {
			t.brokenRuns = 0
		}
		again(min(minRetryPause<<t.brokenRuns, maxRetryPause))
		t.brokenRuns = min(t.brokenRuns+1, maxBackoffDoublings)
	}
}

// completeText requests the score of a complete text, or commits the result if none is due.
// The caller holds dr.mu.
func (dr *Driver) completeText(t *task) {
	t.failedServers, t.completedAt = nil, time.Now()
	if t.item.Reward == nil {
		dr.finish(t, dr.resultOf(t, ""), "")

		return
	}
	dr.startScoring(t)
}

// lengthSmoothing is the weight of a new text in the mean of the tokens of an event.
const lengthSmoothing = 0.05

// recordLength learns from a complete text how many tokens an event holds, as estimated by the
// clients. The caller holds dr.mu.
func (dr *Driver) recordLength(t *task) {
	if t.item.Expected == 0 || len(t.generated.events) == 0 {
		return
	}
	n := float64(t.item.Expected) / float64(len(t.generated.events))
	if dr.tokensPerEvent == 0 {
		dr.tokensPerEvent = n
	}
	dr.tokensPerEvent += lengthSmoothing * (n - dr.tokensPerEvent)
}

func (dr *Driver) resultOf(t *task, score string) job.Result {
	return job.Result{Item: t.index, State: job.Completed, Text: t.generated.String(), Versions: t.generated.versions, Score: score}
}

// startScoring requests the score of a complete text in the background. The caller
// holds dr.mu.
func (dr *Driver) startScoring(t *task) {
	ctx, cancel := context.WithCancel(dr.ctx)
	t.phase, t.cancel = scoring, cancel
	dr.wg.Add(1)
	go func() {
		defer dr.wg.Done()
		defer cancel()
		dr.fetchScore(ctx, t)
	}()
}

// fetchScore requests the score until it receives one or backend servers failed too
// often, and commits the result.
func (dr *Driver) fetchScore(ctx context.Context, t *task) {
	var tried []string
	broken := 0 // consecutive requests that broke off
	for dr.awaitPlacement(ctx) == nil {
		score, server, oc, limit := dr.requestScore(ctx, t, tried)
		if server != "" {
			tried = append(tried, server)
			if len(tried) > maxFailedServers {
				tried = tried[1:]
			}
		}
		switch {
		case ctx.Err() != nil:
			return
		case oc == complete:
			dr.commitResult(ctx, t, dr.resultOf(t, score), "")

			return
		case oc == serverFailed:
			if t.scoreFailures++; t.scoreFailures >= limit {
				dr.commitResult(ctx, t, job.Result{Item: t.index, State: job.Aborted}, "failed score requests reached the route's maximum attempts")

				return
			}
		}
		pause := time.Duration(0)
		switch oc {
		case refused:
			pause = scoreRetryPause
		case brokenOff:
			pause = min(minRetryPause<<broken, scoreRetryPause)
			broken = min(broken+1, maxBackoffDoublings)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// requestScore sends one request for a score. limit is the number of failures after
// which the item is aborted.
func (dr *Driver) requestScore(ctx context.Context, t *task, tried []string) (score, server string, oc outcome, limit int) {
	rw, ta := t.item.Reward, dr.cfg.View().Table
	ro := ta.Match(rw.Host, rw.Path)
	if ro == nil {
		return "", "", refused, 1
	}
	limit = max(ro.MaxAttempts, 1)
	regions := ro.AllowedRegions(ta.Workspace(t.job.workspace)) // the score's request holds the workspace's text
	service := dr.cfg.Balancer.PickService(ro, regions, dr.cfg.Random())
	kind := scoreKind(service, ro, rw)
	rq := &balance.Request{Service: service, Exclude: tried, ExtraSlots: scoreQueueSlots, Regions: regions, Work: dr.scoreWork(kind)}
	gr, err := dr.cfg.Balancer.AcquirePermitted(ctx, rq, ro.Urgency(nil))
	if gr == nil && err == nil {
		rq.Exclude = nil
		gr, err = dr.cfg.Balancer.AcquirePermitted(ctx, rq, ro.Urgency(nil))
	}
	if gr == nil {
		if err != nil {
			dr.cfg.Log.WithError(err).WithField("reward", rw.ID).Info("score request waits for a permit")
		}

		return "", "", refused, limit
	}
	if !dr.mayPlace() { // since the wait for a permit
		gr.Release(balance.Unused, nil)

		return "", "", refused, limit
	}

	began := time.Now()
	grantOutcome, load := balance.Failed, (*backend.Load)(nil)
	defer func() { dr.releaseScore(gr, kind, grantOutcome, load) }()
	rec := gr.Record()
	ctx, cancel := context.WithTimeout(ctx, scoreTimeout)
	defer cancel()
	an, err := dr.cfg.Client.Send(ctx, rec.Address, &backend.Call{
		ID: rw.ID, Method: http.MethodPost, Host: rw.Host, Target: rw.Path, Body: payload.Of(rw.Body), Instance: rec.ID,
		Timeout: scoreTimeout, Priority: -1,
	})
	oc = brokenOff
	if err == nil {
		gr.RecordAnswer(an)
		load = an.Load
		var n int64
		n, err = io.Copy(io.Discard, io.LimitReader(an.Body, maxScoreBytes+1))
		_ = an.Body.Close()
		if n > maxScoreBytes {
			err = result.New(result.BackendAnswerBroken, "the answer is over %d bytes", maxScoreBytes)
		}
		switch {
		case an.IsNotRun:
			oc, grantOutcome = refused, balance.Busy
		case an.Status >= 500:
			oc = serverFailed
		case err == nil && an.Status < 300 && an.Stamp != "":
			oc, grantOutcome, score = complete, balance.Succeeded, an.Stamp
		}
	}
	fl := log.Fields{"reward": rw.ID, "server": rec.ID, "outcome": oc.String(), "ms": time.Since(began).Milliseconds()}
	if err != nil {
		fl["error"] = err.Error()
	}
	dr.cfg.Meter.Count("reward." + oc.String())
	dr.cfg.Log.WithFields(fl).Info("score request ended")

	return score, rec.ID, oc, limit
}

// scoreQueueSlots is how many score requests a backend server may receive beyond its
// slots. Queueing there takes less time than retrying.
const scoreQueueSlots = 6
