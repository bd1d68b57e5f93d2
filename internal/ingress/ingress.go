package ingress

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/crashguard"
	"github.com/tamarackbay/tamarackbay/internal/fairshare"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/origin"
	"github.com/tamarackbay/tamarackbay/internal/payload"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/routing"
	"github.com/tamarackbay/tamarackbay/internal/workload"
)

const (
	// answerMargin is the time reserved before the client's deadline for sending the
	// answer of a failed request.
	answerMargin = 20 * time.Millisecond
	// defaultRetryAfter is sent where no better estimate exists: about the time that a
	// backend server needs for a few requests.
	defaultRetryAfter = 100 * time.Millisecond
	// configRetryAfter is sent before the first configuration has arrived.
	configRetryAfter = 500 * time.Millisecond
	// sameSoftwareRetryAfter is sent where no backend server of the software version that began
	// a stream is ready. A crashed one is back after about that time.
	sameSoftwareRetryAfter = time.Second
	// resumeQueueSlots is how many streams that continue a backend server may get beyond its
	// slots: fewer backend servers can serve them than a new stream.
	resumeQueueSlots = 4
	// attemptTimeoutFactor is the time-out of one attempt of a repeatable request, as a
	// multiple of the route's latency objective. Then another backend server is tried.
	attemptTimeoutFactor = 2
)

// Config configures an Ingress.
type Config struct {
	Table func() *routing.Table // nil before the first configuration
	Fresh func() error          // an error if this process must refuse new work and make no further attempts
	// Current returns an error if this process may lack a configuration that must be in force by now, or
	// later incarnations of backend servers. What the known configuration does not allow may then be
	// retried, and the records of backend servers are not relied on for the origins of streams; nil if
	// nothing is ever missing.
	Current func() error
	// Age returns the time since the configuration was last confirmed, and false before the first
	// confirmation; nil if it is not known. It is logged with each request.
	Age      func() (time.Duration, bool)
	Room     func() error // an error if this process is short of memory or descriptors; nil for enough
	Balancer *balance.Balancer
	Client   *backend.Client
	Random   func() float64                       // in [0, 1)
	OnStart  func(workspace string, at time.Time) // called once for each request of a workspace that may have run
	Guard    *crashguard.Guard
	// Origins knows which software version began each stream; a book of its own if it is nil.
	Origins *origin.Book
	// Workload learns the work of requests; an estimator of its own if it is nil.
	Workload *workload.Estimator
	// BufferBytes bounds the memory of answers that are buffered, 0 for a default.
	BufferBytes int64
	// Shares counts the requests of workspaces and knows their shares; a holder of its own if it is
	// nil.
	Shares *fairshare.Holder
	// Backlog returns the outstanding work at a service, for the times to retry after; nil if it is
	// not known.
	Backlog func(service string) fairshare.Backlog
	// MaxWaiting and MaxWaitingBytes bound the requests that wait for a slot and the size of their
	// bodies, 0 for defaults.
	MaxWaiting      int
	MaxWaitingBytes int64
	Now             func() time.Duration // monotonic; nil for the clock of the process
	Meter           *meter.Meter
	Log             log.Interface
}

// Defaults fills the fields left zero.
func (c *Config) Defaults() {
	if c.Origins == nil {
		c.Origins = origin.NewBook(origin.Config{Meter: c.Meter, Log: c.Log})
	}
	if c.Shares == nil {
		c.Shares = fairshare.NewHolder("", 0)
	}
	if c.Now == nil {
		start := time.Now()
		c.Now = func() time.Duration { return time.Since(start) }
	}
	if c.Workload == nil {
		c.Workload = workload.New()
	}
	if c.Current == nil {
		c.Current = func() error { return nil }
	}
	if c.Room == nil {
		c.Room = func() error { return nil }
	}
	if c.MaxWaiting == 0 {
		c.MaxWaiting = defaultMaxWaiting
	}
	if c.MaxWaitingBytes == 0 {
		c.MaxWaitingBytes = defaultMaxWaitingBytes
	}
}

// Ingress routes requests to backend servers. It is safe for concurrent use.
type Ingress struct {
	cfg     Config
	answers *answerReader
	waiting *waitingRoom
}

// New returns an ingress.
func New(cfg Config) *Ingress {
	cfg.Defaults()
	in := &Ingress{cfg: cfg, answers: newAnswerReader(cfg.BufferBytes)}
	in.waiting = newWaitingRoom(&in.cfg)

	return in
}

// entry is what a configuration holds for a request.
type entry struct {
	table     *routing.Table
	route     *routing.Route
	workspace *routing.Workspace // nil where Identify returns nil
}

// Admit returns the route and the workspace of a request. The workspace is nil where
// Identify returns nil.
func (in *Ingress) Admit(host, path, key string) (*routing.Route, *routing.Workspace, error) {
	en, err := in.admit(host, path, key)

	return en.route, en.workspace, err
}

func (in *Ingress) admit(host, path, key string) (entry, error) {
	// Before the table, which is then at least as recent.
	stale := in.cfg.Current()
	err := in.cfg.Fresh()
	ta := in.cfg.Table()
	if ta == nil {
		return entry{}, errNoConfiguration()
	}
	if err != nil {
		return entry{}, err
	}
	if err := in.cfg.Room(); err != nil {
		return entry{}, err
	}

	return lookUp(ta, stale, host, path, key)
}

// lookUp returns what a table holds for a request. stale is as for denial.
func lookUp(ta *routing.Table, stale error, host, path, key string) (entry, error) {
	ro := ta.Match(host, path)
	if ro == nil {
		return entry{}, denial(stale, result.New(result.UnknownRoute, "ingress: no route for %s%s in configuration version %d", host, path, ta.Version()))
	}
	ws, err := identify(ta, stale, key, ro.IsPublic)

	return entry{table: ta, route: ro, workspace: ws}, err
}

func errNoConfiguration() *result.Error {
	return result.New(result.StaleProcess, "ingress: no configuration has been received yet").WithRetryAfter(configRetryAfter)
}

// Identify returns the workspace that owns key. It returns nil without an error for
// a public request and if the configuration needs no keys.
func (in *Ingress) Identify(key string, isPublic bool) (*routing.Workspace, error) {
	stale := in.cfg.Current() // before the table, which is then at least as recent
	ta := in.cfg.Table()
	if ta == nil {
		return nil, errNoConfiguration()
	}

	return identify(ta, stale, key, isPublic)
}

func identify(ta *routing.Table, stale error, key string, isPublic bool) (*routing.Workspace, error) {
	switch {
	case isPublic || !ta.NeedsKeys():
		return nil, nil
	case key == "":
		return nil, denial(stale, result.New(result.MissingKey, "ingress: the request carries no key"))
	}
	ws := ta.Owner(key)
	if ws == nil {
		return nil, denial(stale, result.New(result.UnknownKey, "ingress: the key belongs to no workspace in configuration version %d", ta.Version()))
	}

	return ws, nil
}

// denial returns the error for a request that the configuration in force here does not allow. If
// this process may lack a newer one, the caller is asked to try again, which mostly reaches another
// gateway: stale is the error that says so, nil otherwise.
func denial(stale error, denied *result.Error) error {
	if stale != nil {
		return result.New(result.StaleProcess, "%v; %s", stale, denied.Message).WithRetryAfter(configRetryAfter)
	}

	return denied
}

// CheckHead returns the error of a request that is refused whatever its body holds, and logs it.
func (in *Ingress) CheckHead(rq *Request) error {
	_, _, err := in.Admit(rq.Host, rq.Path, rq.Key)
	if err != nil {
		in.logOutcome(&requestState{rq: rq}, "refused", err)
	}

	return err
}

// requestState is the state of one request across its attempts.
type requestState struct {
	in            *Ingress
	rq            *Request
	table         *routing.Table // by which it is handled
	ro            *routing.Route
	workspace     string
	urgency       int
	regions       []string  // in which it may run, nil for any
	began         time.Time // when the request arrived
	deadline      time.Time // when the client must have received its answer
	tried         []string  // IDs of the backend servers that were picked, in order
	software      []string  // their software versions
	sentCount     int       // how many of them the request reached, or may have reached
	mayHaveRun    bool      // whether the request may have run
	lastErr       error
	failedAnswer  *completeAnswer // last answer with an error status, nil if there is none
	configAgeMs   int64           // age of the table when it was taken, -1 if it is not known
	fingerprint   string          // "" until it is needed
	slotKey       fairshare.Key   // service and workspace of the slot in use
	origin        *origin.Origin  // what began the stream, nil before its first event and if that is not known
	otherSoftware map[string]bool // IDs of backend servers that run, or may run, other software than origin
}

// completeAnswer is an answer whose body was read to its end.
type completeAnswer struct {
	answer  *backend.Answer
	body    payload.Chunks
	release func() // gives back the memory of the body
}

// Serve serves one request. It sends the answer to sink, or returns the error that the
// client receives instead.
func (in *Ingress) Serve(ctx context.Context, rq *Request, sink *Sink) error {
	en, err := in.admit(rq.Host, rq.Path, rq.Key)
	if err != nil {
		in.logOutcome(&requestState{rq: rq}, "refused", err)

		return err
	}

	rs := &requestState{in: in, rq: rq, began: rq.Arrived}
	rs.apply(en)
	ro := en.route
	received := rq.Received
	if received.IsZero() {
		received = rq.Arrived
	}
	rs.deadline = received.Add(ro.Timeout) // the time that a client takes to send its body is its own
	if own := rq.Arrived.Add(rq.ClientTimeout); rq.ClientTimeout > 0 && own.Before(rs.deadline) {
		rs.deadline = own
	}
	ctx, cancel := context.WithDeadline(ctx, rs.deadline.Add(-answerMargin))
	defer cancel()
	defer func() {
		if rs.failedAnswer != nil {
			rs.failedAnswer.release()
		}
	}()

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

// configAgeMs returns the age of the configuration in milliseconds, -1 if it is not known.
func (in *Ingress) configAgeMs() int64 {
	if in.cfg.Age == nil {
		return -1
	}
	age, ok := in.cfg.Age()
	if !ok {
		return -1
	}

	return age.Milliseconds()
}

// logOutcome logs and measures a finished request.
func (in *Ingress) logOutcome(rs *requestState, outcome string, err error) {
	took := time.Since(rs.rq.Arrived)
	in.cfg.Meter.RecordDuration("request", took)
	in.cfg.Meter.Count("request." + outcome)
	fl := log.Fields{
		"request": rs.rq.ID, "outcome": outcome, "ms": took.Milliseconds(), "servers": rs.tried,
		"workspace": rs.workspace, "configVersion": uint64(0),
	}
	if rs.table != nil {
		fl["route"], fl["configVersion"], fl["configAgeMs"] = rs.ro.Name, rs.table.Version(), rs.configAgeMs
	}
	if rs.rq.ResumeAfter > 0 || len(rs.software) > 1 {
		fl["software"], fl["resumes"], fl["resumeAfter"] = rs.software, rs.rq.Resumes, rs.rq.ResumeAfter
	}
	if rs.fingerprint != "" && (err != nil || len(rs.tried) > 1) {
		fl["fingerprint"] = rs.fingerprint
	}
	if err == nil {
		in.cfg.Log.WithFields(fl).Info("request ended")

		return
	}
	in.cfg.Meter.CountRefusal(err)
	fl["error"] = err.Error()
	in.cfg.Log.WithFields(fl).Warn("request ended")
}

// maxUnreachablePicks limits the picks of backend servers that could not be reached.
// The route's MaxAttempts does not count them.
const maxUnreachablePicks = 3

// canRetry reports whether the request may be sent to another backend server.
func (rs *requestState) canRetry() bool {
	allowed := max(rs.ro.MaxAttempts, 1)
	if rs.sentCount >= allowed || len(rs.tried) >= allowed+maxUnreachablePicks {
		return false
	}

	return !rs.mayHaveRun || rs.ro.Kind == routing.Repeatable || (rs.ro.IsStreaming && rs.ro.IsResumable)
}

// newCall returns the call for the granted backend server and records the attempt.
func (rs *requestState) newCall(gr *balance.Grant) *backend.Call {
	re := gr.Record()
	isRepeat := slices.Contains(rs.tried, re.ID)
	rs.tried = append(rs.tried, re.ID)
	rs.software = append(rs.software, re.Software)
	rs.sentCount++

	return &backend.Call{
		ID: rs.rq.ID, Method: rs.rq.Method, Host: rs.rq.Host, Target: rs.rq.Target, Header: rs.rq.Header, Body: rs.rq.Body,
		Instance: re.ID, Workspace: rs.workspace, Timeout: time.Until(rs.deadline), Priority: -1, ResumeAfter: rs.rq.ResumeAfter,
		IsRepeat: isRepeat,
	}
}

// serveComplete serves a request whose answer is buffered until it is complete, so
// that the request can be retried up to then.
func (rs *requestState) serveComplete(ctx context.Context, sink *Sink) error {
	for {
		pa, gr, err := rs.place(ctx)
		if err != nil {
			rs.lastErr = err

			return rs.replyFailure(sink)
		}
		an, err := rs.sendComplete(ctx, gr, pa)
		pa.Release()
		if err == nil && !rs.isServerFailure(an.answer) {
			sink.Complete(an.answer, an.body)
			an.release()

			return nil
		}
		if err == nil {
			rs.keepFailure(an)
			err = result.New(result.BackendRefused, "ingress: backend server %s answered with status %d", gr.Record().ID, an.answer.Status).WithExecution(result.Ran)
		}
		rs.lastErr = err
		if ctx.Err() != nil || !rs.canRetry() {
			return rs.replyFailure(sink)
		}
		rs.in.cfg.Meter.CountRetry(result.Lookup(result.From(err).Code).Name, true)
	}
}

// keepFailure keeps an answer with an error status, for the case that no attempt succeeds.
func (rs *requestState) keepFailure(an *completeAnswer) {
	if rs.failedAnswer != nil {
		rs.failedAnswer.release()
	}
	rs.failedAnswer = an
}

// isServerFailure reports whether another backend server might succeed. Answers that
// report a fault of the request itself are forwarded to the client.
func (rs *requestState) isServerFailure(an *backend.Answer) bool { return an.Status >= 500 }

// sendComplete sends the request to one backend server and reads its complete answer.
func (rs *requestState) sendComplete(ctx context.Context, gr *balance.Grant, pa *crashguard.Pass) (*completeAnswer, error) {
	outcome, load := balance.Failed, (*backend.Load)(nil)
	defer func() { rs.release(gr, outcome, load) }()

	ca, whole := rs.newCall(gr), ctx
	if rs.canRetryAfterThis() && rs.ro.LatencyObjective > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, attemptTimeoutFactor*rs.ro.LatencyObjective)
		defer cancel()
	}
	sent := time.Now()
	an, err := rs.in.cfg.Client.Send(ctx, gr.Record().Address, ca)
	if err != nil {
		rs.recordSendError(err, &outcome, sent)
		switch {
		case !backend.MayHaveRun(err):
			rs.in.cfg.Guard.RecordNotRun(pa, rs.fingerprint)
		case result.Is(err, result.BackendCrashed):
			rs.recordBreak(ctx, gr, pa, 0)
		case result.Is(err, result.BackendTimeout) && whole.Err() == nil:
			rs.in.cfg.Guard.RecordSilence(rs.newRun(gr, pa, 0))
		}

		return nil, err
	}
	defer an.Body.Close()

	gr.RecordAnswer(an)
	load = an.Load
	if an.IsNotRun {
		outcome = balance.Busy
		rs.in.cfg.Guard.RecordNotRun(pa, rs.fingerprint)

		return nil, result.New(result.ServerDraining, "ingress: backend server %s refused with status %d", gr.Record().ID, an.Status).WithRetryAfter(defaultRetryAfter)
	}
	rs.recordStart(sent)
	body, release, err := rs.in.answers.read(an.Body)
	switch {
	case errors.Is(err, errAnswerTooLarge), errors.Is(err, errBuffersFull):
		if errors.Is(err, errBuffersFull) {
			outcome = balance.Unused // says nothing about this backend server
		}

		return nil, result.New(result.BackendAnswerBroken, "ingress: backend server %s: %v", gr.Record().ID, err).WithExecution(result.Ran)
	case err != nil:
		rs.recordBreak(ctx, gr, pa, 0)

		return nil, result.New(result.BackendAnswerBroken, "ingress: backend server %s: the answer broke off: %v", gr.Record().ID, err).WithExecution(result.Ran)
	case an.Status < 300 && an.Stamp == "":
		release()

		return nil, result.New(result.BackendAnswerBroken, "ingress: backend server %s: the answer carries no signature", gr.Record().ID).WithExecution(result.Ran)
	}
	outcome = balance.Succeeded
	if an.Status >= 500 {
		outcome = balance.Failed
	}
	rs.recordCompletion()

	return &completeAnswer{an, body, release}, nil
}

// canRetryAfterThis reports whether another backend server may be tried if the
// current attempt fails.
func (rs *requestState) canRetryAfterThis() bool {
	return rs.ro.Kind == routing.Repeatable && rs.sentCount < rs.ro.MaxAttempts
}

// recordSendError updates the request's state and the outcome for the backend server
// after a send that failed.
func (rs *requestState) recordSendError(err error, outcome *balance.Outcome, sent time.Time) {
	if backend.MayHaveRun(err) {
		rs.recordStart(sent)
	} else {
		rs.sentCount--
	}
	if result.Is(err, result.DeadlinePassed) {
		*outcome = balance.Unused // the client disconnected: the failure says nothing about the server
	}
}

// recordStart records that the request may have run, and counts it once for usage.
func (rs *requestState) recordStart(sent time.Time) {
	if !rs.mayHaveRun && rs.workspace != "" {
		rs.in.cfg.OnStart(rs.workspace, sent)
	}
	rs.mayHaveRun = true
}

// replyFailure sends the last failure that a backend server answered. If there is
// none, it returns an error that says whether the request may have run.
func (rs *requestState) replyFailure(sink *Sink) error {
	if rs.failedAnswer != nil {
		sink.Complete(rs.failedAnswer.answer, rs.failedAnswer.body)

		return nil
	}

	er := result.From(rs.lastErr)
	if rs.mayHaveRun {
		return er.WithExecution(result.ExecutionUnknown)
	}
	if er.RetryAfter == 0 {
		er = er.WithRetryAfter(defaultRetryAfter)
	}

	return er.WithExecution(result.NotRun)
}
