package ingress

import (
	"context"
	"io"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/routing"
)

const (
	// maxAnswerBytes bounds an answer that is held back until it is whole.
	maxAnswerBytes = 16 << 20
	// answerMargin is kept between the answer of a failed request and its time-out.
	answerMargin = 20 * time.Millisecond
	// defaultRetryAfter is told where nothing better is known: about as long as a
	// backend server needs for a few requests.
	defaultRetryAfter = 100 * time.Millisecond
	// configRetryAfter is told before the first configuration has arrived.
	configRetryAfter = 500 * time.Millisecond
	// attemptTimeoutFactor times the latency objective is how long a repeatable request
	// waits for one backend server before another is tried.
	attemptTimeoutFactor = 2
)

// Config builds an Ingress.
type Config struct {
	Table    func() *routing.Table
	Fresh    func() error // an error where this process must refuse new work
	Balancer *balance.Balancer
	Client   *backend.Client
	Random   func() float64 // in [0, 1)
	Began    func(workspace string, at time.Time)
	Meter    *meter.Meter
	Log      log.Interface
}

// Ingress is safe for concurrent use.
type Ingress struct{ cfg Config }

// New returns an ingress.
func New(cfg Config) *Ingress { return &Ingress{cfg: cfg} }

// Admit finds the route and the workspace of a request.
func (in *Ingress) Admit(host, path, key string) (*routing.Route, *routing.Workspace, error) {
	ta := in.cfg.Table()
	if ta == nil {
		return nil, nil, result.New(result.StaleProcess, "ingress: no configuration is known yet").After(configRetryAfter)
	}
	if err := in.cfg.Fresh(); err != nil {
		return nil, nil, err
	}
	ro := ta.Match(host, path)
	if ro == nil {
		return nil, nil, result.New(result.UnknownRoute, "ingress: no route for %s%s in version %d", host, path, ta.Version())
	}
	ws, err := in.Identify(key, ro.IsPublic)

	return ro, ws, err
}

// Identify finds the workspace that holds key, nil for a public request or where
// the configuration declares no workspaces.
func (in *Ingress) Identify(key string, isPublic bool) (*routing.Workspace, error) {
	ta := in.cfg.Table()
	switch {
	case ta == nil:
		return nil, result.New(result.StaleProcess, "ingress: no configuration is known yet").After(configRetryAfter)
	case isPublic || !ta.NeedsKeys():
		return nil, nil
	case key == "":
		return nil, result.New(result.MissingKey, "ingress: the request carries no key")
	}
	ws := ta.Owner(key)
	if ws == nil {
		return nil, result.New(result.UnknownKey, "ingress: the key belongs to no workspace in version %d", ta.Version())
	}

	return ws, nil
}

// requestState is the state of one request on its way.
type requestState struct {
	in            *Ingress
	rq            *Request
	ro            *routing.Route
	workspace     string
	began         time.Time // when the request arrived
	deadline      time.Time // when the client must have its answer
	tried         []string  // backend servers that were picked for it
	sentCount     int       // how many of them it reached, or may have reached
	mayHaveRun    bool      // the request may have run
	lastErr       error
	failedAnswer  *completeAnswer // the last answer of a backend server that says it failed
	configVersion uint64          // of the configuration that decided
}

type completeAnswer struct {
	answer *backend.Answer
	body   []byte
}

// Serve serves one request. The error, if any, is the refusal that the client gets.
func (in *Ingress) Serve(ctx context.Context, rq *Request, sink *Sink) error {
	ro, ws, err := in.Admit(rq.Host, rq.Path, rq.Key)
	if err != nil {
		in.logOutcome(&requestState{rq: rq}, "refused", err)

		return err
	}

	rs := &requestState{in: in, rq: rq, ro: ro, began: rq.Arrived, configVersion: in.cfg.Table().Version()}
	if ws != nil {
		rs.workspace = ws.Name
	}
	wait := ro.Timeout
	if rq.Patient > 0 {
		wait = min(wait, rq.Patient)
	}
	rs.deadline = rq.Arrived.Add(wait)
	ctx, cancel := context.WithDeadline(ctx, rs.deadline.Add(-answerMargin))
	defer cancel()

	if ro.IsStreaming {
		err = rs.serveStream(ctx, sink)
	} else {
		err = rs.serveComplete(ctx, sink)
	}
	if err != nil {
		in.logOutcome(rs, "failed", err)
	} else {
		in.logOutcome(rs, "served", nil)
	}

	return err
}

func (in *Ingress) logOutcome(rs *requestState, outcome string, err error) {
	took := time.Since(rs.rq.Arrived)
	in.cfg.Meter.Time("request", took)
	in.cfg.Meter.Count("request." + outcome)
	fl := log.Fields{
		"request": rs.rq.ID, "outcome": outcome, "ms": took.Milliseconds(), "servers": rs.tried,
		"workspace": rs.workspace, "configVersion": rs.configVersion,
	}
	if rs.ro != nil {
		fl["route"] = rs.ro.Name
	}
	if err == nil {
		in.cfg.Log.WithFields(fl).Info("request ended")

		return
	}
	in.cfg.Meter.Refused(err)
	fl["error"] = err.Error()
	in.cfg.Log.WithFields(fl).Warn("request ended")
}

// maxUnreachablePicks bounds the backend servers that could not be reached at all, which
// the operator's limit does not count.
const maxUnreachablePicks = 3

// canRetry reports whether the request may be sent to one more backend server.
func (rs *requestState) canRetry() bool {
	allowed := max(rs.ro.MaxAttempts, 1)
	if rs.sentCount >= allowed || len(rs.tried) >= allowed+maxUnreachablePicks {
		return false
	}

	return !rs.mayHaveRun || rs.ro.Kind == routing.Repeatable || (rs.ro.IsStreaming && rs.ro.IsResumable)
}

// acquireServer picks a backend server, one that was not tried if there is any.
func (rs *requestState) acquireServer() (*balance.Grant, error) {
	service := rs.ro.PickTarget(rs.in.cfg.Random())
	rq := &balance.Request{Service: service, Model: rs.rq.Model, Exclude: rs.tried}
	if gr := rs.in.cfg.Balancer.Acquire(rq); gr != nil {
		return gr, nil
	}
	if len(rs.tried) > 0 {
		rq.Exclude = rs.tried[len(rs.tried)-1:]
		if gr := rs.in.cfg.Balancer.Acquire(rq); gr != nil {
			return gr, nil
		}
		rq.Exclude = nil
		if gr := rs.in.cfg.Balancer.Acquire(rq); gr != nil {
			return gr, nil
		}
	}
	if ready, _ := rs.in.cfg.Balancer.Count(service, rs.rq.Model, 0); ready == 0 {
		return nil, result.New(result.NoBackendServer, "ingress: no backend server of %s is ready", service).After(defaultRetryAfter)
	}

	return nil, result.New(result.QueueFull, "ingress: the backend servers of %s are full", service).After(defaultRetryAfter)
}

func (rs *requestState) newCall(gr *balance.Grant) *backend.Call {
	re := gr.Record()
	rs.tried = append(rs.tried, re.ID)
	rs.sentCount++

	return &backend.Call{
		ID: rs.rq.ID, Method: rs.rq.Method, Host: rs.rq.Host, Target: rs.rq.Target, Header: rs.rq.Header, Body: rs.rq.Body,
		Instance: re.ID, Workspace: rs.workspace, TimeLeft: time.Until(rs.deadline), Priority: -1, ResumeAfter: rs.rq.Resume,
	}
}

// serveComplete serves a request whose answer is held back until it is complete.
func (rs *requestState) serveComplete(ctx context.Context, sink *Sink) error {
	for {
		gr, err := rs.acquireServer()
		if err != nil {
			rs.lastErr = err

			return rs.replyFailure(sink)
		}
		an, body, err := rs.sendComplete(ctx, gr)
		if err == nil && !rs.isServerFailure(an) {
			sink.Whole(an, body)

			return nil
		}
		if err == nil {
			rs.failedAnswer = &completeAnswer{an, body}
			err = result.New(result.BackendRefused, "ingress: %s answered with status %d", gr.Record().ID, an.Status).With(result.Ran)
		}
		rs.lastErr = err
		if ctx.Err() != nil || !rs.canRetry() {
			return rs.replyFailure(sink)
		}
		rs.in.cfg.Meter.Retried(result.Lookup(result.From(err).Code).Name, true)
	}
}

// isServerFailure reports whether another backend server might do better. Answers that
// blame the request itself are passed on.
func (rs *requestState) isServerFailure(an *backend.Answer) bool { return an.Status >= 500 }

// sendComplete sends the request to one backend server and reads its whole answer.
func (rs *requestState) sendComplete(ctx context.Context, gr *balance.Grant) (*backend.Answer, []byte, error) {
	outcome, load := balance.Failed, (*backend.Load)(nil)
	defer func() { gr.Release(outcome, load) }()

	ca := rs.newCall(gr)
	if rs.canRetryAfterThis() && rs.ro.Aim > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, attemptTimeoutFactor*rs.ro.Aim)
		defer cancel()
	}
	sent := time.Now()
	an, err := rs.in.cfg.Client.Send(ctx, gr.Record().Address, ca)
	if err != nil {
		rs.recordSendError(err, &outcome, sent)

		return nil, nil, err
	}
	defer an.Body.Close()

	load = an.Load
	if an.IsNotRun {
		outcome = balance.Busy

		return nil, nil, result.New(result.ServerDraining, "ingress: %s refused with status %d", gr.Record().ID, an.Status).After(defaultRetryAfter)
	}
	rs.recordStart(sent)
	body, err := io.ReadAll(io.LimitReader(an.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return nil, nil, result.New(result.BackendAnswerBroken, "ingress: %s: %v", gr.Record().ID, err).With(result.Ran)
	case len(body) > maxAnswerBytes:
		return nil, nil, result.New(result.BackendAnswerBroken, "ingress: %s: an answer of over %d bytes", gr.Record().ID, maxAnswerBytes).With(result.Ran)
	case an.Status < 300 && an.Stamp == "":
		return nil, nil, result.New(result.BackendAnswerBroken, "ingress: %s: the answer bears no signature", gr.Record().ID).With(result.Ran)
	}
	outcome = balance.Succeeded
	if an.Status >= 500 {
		outcome = balance.Failed
	}

	return an, body, nil
}

// canRetryAfterThis reports whether one more backend server could be tried after this one.
func (rs *requestState) canRetryAfterThis() bool {
	return rs.ro.Kind == routing.Repeatable && rs.sentCount < rs.ro.MaxAttempts
}

func (rs *requestState) recordSendError(err error, outcome *balance.Outcome, sent time.Time) {
	if backend.HasRun(err) {
		rs.recordStart(sent)
	} else {
		rs.sentCount--
	}
	if result.Is(err, result.DeadlinePassed) {
		*outcome = balance.Unused // the client has gone
	}
}

// recordStart counts a request that began to run, once.
func (rs *requestState) recordStart(sent time.Time) {
	if !rs.mayHaveRun && rs.workspace != "" {
		rs.in.cfg.Began(rs.workspace, sent)
	}
	rs.mayHaveRun = true
}

// replyFailure answers with the backend server's own failure, or with a refusal that
// says whether the request may have run.
func (rs *requestState) replyFailure(sink *Sink) error {
	if rs.failedAnswer != nil {
		sink.Whole(rs.failedAnswer.answer, rs.failedAnswer.body)

		return nil
	}

	er := result.From(rs.lastErr)
	if rs.mayHaveRun {
		return er.With(result.Unknown)
	}

	return er.With(result.NotRun)
}
