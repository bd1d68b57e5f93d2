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
	// suspectFactor times the latency objective is how long a repeatable request
	// waits for one backend server before another is tried.
	suspectFactor = 2
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

// attempt is the state of one request on its way.
type attempt struct {
	in        *Ingress
	rq        *Request
	ro        *routing.Route
	workspace string
	began     time.Time // when the request arrived
	until     time.Time // when the client must have its answer
	tried     []string  // backend servers that were picked for it
	sent      int       // how many of them it reached, or may have reached
	mayHave   bool      // the request may have run
	lastErr   error
	failure   *whole // the last answer of a backend server that says it failed
	version   uint64 // of the configuration that decided
}

type whole struct {
	answer *backend.Answer
	body   []byte
}

// Serve serves one request. The error, if any, is the refusal that the client gets.
func (in *Ingress) Serve(ctx context.Context, rq *Request, sink *Sink) error {
	ro, ws, err := in.Admit(rq.Host, rq.Path, rq.Key)
	if err != nil {
		in.tell(&attempt{rq: rq}, "refused", err)

		return err
	}

	at := &attempt{in: in, rq: rq, ro: ro, began: rq.Arrived, version: in.cfg.Table().Version()}
	if ws != nil {
		at.workspace = ws.Name
	}
	wait := ro.Timeout
	if rq.Patient > 0 {
		wait = min(wait, rq.Patient)
	}
	at.until = rq.Arrived.Add(wait)
	ctx, cancel := context.WithDeadline(ctx, at.until.Add(-answerMargin))
	defer cancel()

	if ro.IsStreaming {
		err = at.stream(ctx, sink)
	} else {
		err = at.whole(ctx, sink)
	}
	if err != nil {
		in.tell(at, "failed", err)
	} else {
		in.tell(at, "served", nil)
	}

	return err
}

func (in *Ingress) tell(at *attempt, outcome string, err error) {
	took := time.Since(at.rq.Arrived)
	in.cfg.Meter.Time("request", took)
	in.cfg.Meter.Count("request." + outcome)
	fl := log.Fields{
		"request": at.rq.ID, "outcome": outcome, "ms": took.Milliseconds(), "servers": at.tried,
		"workspace": at.workspace, "configVersion": at.version,
	}
	if at.ro != nil {
		fl["route"] = at.ro.Name
	}
	if err == nil {
		in.cfg.Log.WithFields(fl).Info("request ended")

		return
	}
	in.cfg.Meter.Refused(err)
	fl["error"] = err.Error()
	in.cfg.Log.WithFields(fl).Warn("request ended")
}

// extraPicks bounds the backend servers that could not be reached at all, which
// the operator's limit does not count.
const extraPicks = 3

// mayRepeat reports whether the request may be sent to one more backend server.
func (at *attempt) mayRepeat() bool {
	allowed := max(at.ro.MaxAttempts, 1)
	if at.sent >= allowed || len(at.tried) >= allowed+extraPicks {
		return false
	}

	return !at.mayHave || at.ro.Kind == routing.Repeatable || (at.ro.IsStreaming && at.ro.IsResumable)
}

// place picks a backend server, one that was not tried if there is any.
func (at *attempt) place() (*balance.Grant, error) {
	service := at.ro.PickTarget(at.in.cfg.Random())
	rq := &balance.Request{Service: service, Model: at.rq.Model, Exclude: at.tried}
	if gr := at.in.cfg.Balancer.Acquire(rq); gr != nil {
		return gr, nil
	}
	if len(at.tried) > 0 {
		rq.Exclude = at.tried[len(at.tried)-1:]
		if gr := at.in.cfg.Balancer.Acquire(rq); gr != nil {
			return gr, nil
		}
		rq.Exclude = nil
		if gr := at.in.cfg.Balancer.Acquire(rq); gr != nil {
			return gr, nil
		}
	}
	if ready, _ := at.in.cfg.Balancer.Count(service, at.rq.Model, 0); ready == 0 {
		return nil, result.New(result.NoBackendServer, "ingress: no backend server of %s is ready", service).After(defaultRetryAfter)
	}

	return nil, result.New(result.QueueFull, "ingress: the backend servers of %s are full", service).After(defaultRetryAfter)
}

func (at *attempt) call(gr *balance.Grant) *backend.Call {
	re := gr.Record()
	at.tried = append(at.tried, re.ID)
	at.sent++

	return &backend.Call{
		ID: at.rq.ID, Method: at.rq.Method, Host: at.rq.Host, Target: at.rq.Target, Header: at.rq.Header, Body: at.rq.Body,
		Instance: re.ID, Workspace: at.workspace, TimeLeft: time.Until(at.until), Priority: -1, ResumeAfter: at.rq.Resume,
	}
}

// whole serves a request whose answer is held back until it is complete.
func (at *attempt) whole(ctx context.Context, sink *Sink) error {
	for {
		gr, err := at.place()
		if err != nil {
			at.lastErr = err

			return at.giveUp(sink)
		}
		an, body, err := at.sendWhole(ctx, gr)
		if err == nil && !at.isFailure(an) {
			sink.Whole(an, body)

			return nil
		}
		if err == nil {
			at.failure = &whole{an, body}
			err = result.New(result.BackendRefused, "ingress: %s answered with status %d", gr.Record().ID, an.Status).With(result.Ran)
		}
		at.lastErr = err
		if ctx.Err() != nil || !at.mayRepeat() {
			return at.giveUp(sink)
		}
		at.in.cfg.Meter.Retried(result.Lookup(result.From(err).Code).Name, true)
	}
}

// isFailure reports whether another backend server might do better. Answers that
// blame the request itself are passed on.
func (at *attempt) isFailure(an *backend.Answer) bool { return an.Status >= 500 }

// sendWhole sends the request to one backend server and reads its whole answer.
func (at *attempt) sendWhole(ctx context.Context, gr *balance.Grant) (*backend.Answer, []byte, error) {
	outcome, load := balance.Failed, (*backend.Load)(nil)
	defer func() { gr.Release(outcome, load) }()

	ca := at.call(gr)
	if at.mayRepeatLater() && at.ro.Aim > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, suspectFactor*at.ro.Aim)
		defer cancel()
	}
	sent := time.Now()
	an, err := at.in.cfg.Client.Send(ctx, gr.Record().Address, ca)
	if err != nil {
		at.noteError(err, &outcome, sent)

		return nil, nil, err
	}
	defer an.Body.Close()

	load = an.Load
	if an.IsNotRun {
		outcome = balance.Busy

		return nil, nil, result.New(result.ServerDraining, "ingress: %s refused with status %d", gr.Record().ID, an.Status).After(defaultRetryAfter)
	}
	at.noteBegan(sent)
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

// mayRepeatLater reports whether one more backend server could be tried after this one.
func (at *attempt) mayRepeatLater() bool {
	return at.ro.Kind == routing.Repeatable && at.sent < at.ro.MaxAttempts
}

func (at *attempt) noteError(err error, outcome *balance.Outcome, sent time.Time) {
	if backend.HasRun(err) {
		at.noteBegan(sent)
	} else {
		at.sent--
	}
	if result.Is(err, result.DeadlinePassed) {
		*outcome = balance.Unused // the client has gone
	}
}

// noteBegan counts a request that began to run, once.
func (at *attempt) noteBegan(sent time.Time) {
	if !at.mayHave && at.workspace != "" {
		at.in.cfg.Began(at.workspace, sent)
	}
	at.mayHave = true
}

// giveUp answers with the backend server's own failure, or with a refusal that
// says whether the request may have run.
func (at *attempt) giveUp(sink *Sink) error {
	if at.failure != nil {
		sink.Whole(at.failure.answer, at.failure.body)

		return nil
	}

	er := result.From(at.lastErr)
	if at.mayHave {
		return er.With(result.Unknown)
	}

	return er.With(result.NotRun)
}
