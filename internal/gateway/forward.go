package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/agent"
	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/idempotency"
	"github.com/tamarackbay/tamarackbay/internal/plainservice"
	"github.com/tamarackbay/tamarackbay/internal/pool"
	"github.com/tamarackbay/tamarackbay/internal/quarantine"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/retry"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// ForwardRequest is a request to a plain service.
type ForwardRequest struct {
	Caller         Caller
	RouteName      string
	Route          declaration.Route
	Method         string
	Path           string // escaped, after the route's name
	Query          string
	Header         http.Header
	Body           []byte
	IdempotencyKey string
	Timeout        time.Duration
}

// ReplyWriter holds the callbacks that pass the answer of a plain service to the caller.
type ReplyWriter struct {
	Head func(requestID string, status int, h http.Header)
	Body func(b []byte) error
}

// privateHeaders carry keys or concern only the hop from the caller to the gateway.
// They are never sent to a backend server.
var privateHeaders = []string{
	"Authorization", "X-Api-Key", "Api-Key", "Cookie", "X-Timeout-Ms", "X-Workspace", "Forwarded", "X-Forwarded-For",
}

// maxRecordedBody limits the bodies, in bytes, that are recorded for resends.
const maxRecordedBody = 256 << 10

// Forward runs a request to a plain service.
func (ga *Gateway) Forward(ctx context.Context, fo ForwardRequest, rep ReplyWriter) error {
	po := ga.poolOf(fo.Route.Service)
	leave, err := ga.admit(fo.Caller.Workspace, po.Gateways())
	if err != nil {
		return err
	}
	defer leave()

	if err := scrub(&fo); err != nil {
		return err
	}
	ctx, cancel, deadline := ga.deadline(ctx, fo.Timeout)
	defer cancel()

	f := &forward{fo: fo, rep: rep, placement: placement{
		ga: ga, po: po, id: ga.newRequestID(), workspace: fo.Caller.Workspace, class: fo.Route.Class, cost: 1, deadline: deadline,
		fingerprint: quarantine.Fingerprint(fo.Route.Service, fo.Method, fo.Path, fo.Query, string(fo.Body)),
	}}
	if fo.Route.Repeatable || fo.IdempotencyKey == "" {
		return f.run(ctx)
	}

	return f.runOnce(ctx)
}

// scrub removes hop-by-hop headers, privateHeaders and header values that contain
// the caller's key. It refuses a request that carries the key in the path, the query
// or the body, where it cannot be removed.
func scrub(fo *ForwardRequest) error {
	h := http.Header{}
	for name, values := range fo.Header {
		if plainservice.IsHopByHop(name) || isPrivate(name) || isListed(fo.Header.Values("Connection"), name) {
			continue
		}
		for _, v := range values {
			if !containsSecret(v, fo.Caller.Secret) {
				h.Add(name, v)
			}
		}
	}
	fo.Header = h
	if s := fo.Caller.Secret; s != "" {
		if containsSecret(fo.Query, s) || containsSecret(fo.Path, s) || bytes.Contains(fo.Body, []byte(s)) {
			return result.New(result.KeyInRequest, "the caller's key must not appear in the path, the query or the body")
		}
	}

	return nil
}

func isPrivate(name string) bool {
	for _, p := range privateHeaders {
		if p == name {
			return true
		}
	}

	return false
}

// isListed reports whether a Connection header lists name as hop-by-hop.
func isListed(connection []string, name string) bool {
	for _, line := range connection {
		for _, n := range strings.Split(line, ",") {
			if strings.EqualFold(strings.TrimSpace(n), name) {
				return true
			}
		}
	}

	return false
}

func containsSecret(s, secret string) bool { return secret != "" && strings.Contains(s, secret) }

// forward is the state of one request to a plain service across its attempts.
type forward struct {
	placement
	fo       ForwardRequest
	rep      ReplyWriter
	headSent bool
}

// run makes attempts until one succeeds or no retry is allowed.
func (f *forward) run(ctx context.Context) error {
	key := f.fo.RouteName + "/" + f.fo.Caller.Workspace
	f.ga.mu.Lock()
	f.ga.budget.RecordFirstAttempt(key)
	f.ga.mu.Unlock()

	for n := 1; ; n++ {
		err := f.attempt(ctx, uint32(n))
		if err == nil {
			return nil
		}
		er := result.From(err)
		if f.headSent {
			return er.WithExecution(result.Ran) // part of the answer was sent: the caller's connection is cut
		}
		de := f.ga.awaitRetry(ctx, retry.Attempt{
			Key: key, Number: n, MaxRetries: f.fo.Route.Retries, IsRepeatable: f.fo.Route.Repeatable,
			Err: er, Now: f.ga.now(), Deadline: f.deadline,
		})
		if !de.Retry {
			return de.Err
		}
	}
}

func (f *forward) attempt(ctx context.Context, n uint32) error {
	gr, done, err := f.place(ctx)
	if err != nil {
		return err
	}
	defer done()

	err = f.send(ctx, gr, n)
	f.release(gr, err)

	return err
}

func (f *forward) send(ctx context.Context, gr *pool.Grant, n uint32) error {
	rq := &wire.ForwardRequest{
		RequestId: f.id, Attempt: n, Workspace: f.fo.Caller.Workspace, Method: f.fo.Method, Path: f.fo.Path,
		Query: f.fo.Query, Body: f.fo.Body, Repeatable: f.fo.Route.Repeatable, Fingerprint: f.fingerprint, Suspect: f.suspect,
	}
	for name, values := range f.fo.Header {
		for _, v := range values {
			rq.Headers = append(rq.Headers, &wire.Header{Name: name, Value: v})
		}
	}
	st, err := gr.Server().Session().Open(ctx, agent.MethodForward, rq)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, st.Close)
	defer stop()
	defer st.Close()

	return f.receiveAnswer(ctx, st.Recv)
}

// receiveAnswer forwards the answer to the caller. It holds the status and headers
// back until the first part of the body arrives, so that the request can still be
// retried if the answer breaks off before.
func (f *forward) receiveAnswer(ctx context.Context, recv func(m message) error) error {
	var head wire.ForwardPart
	for {
		var part wire.ForwardPart
		err := recv(&part)
		if errors.Is(err, io.EOF) {
			if head.GetStatus() == 0 {
				return result.New(result.BackendAnswerBroken, "the backend server's answer ended without a status").WithExecution(result.ExecutionUnknown)
			}
			f.forwardHead(&head)

			return nil
		}
		if err != nil {
			return receiveError(ctx, err)
		}
		if part.GetStatus() != 0 {
			head = wire.ForwardPart{Status: part.GetStatus(), Headers: part.GetHeaders()}

			continue
		}
		f.forwardHead(&head)
		if err := f.rep.Body(part.GetBody()); err != nil {
			return result.New(result.DeadlinePassed, "the caller disconnected: %v", err).WithExecution(result.ExecutionUnknown)
		}
	}
}

func (f *forward) forwardHead(head *wire.ForwardPart) {
	if f.headSent {
		return
	}

	f.headSent = true
	h := http.Header{}
	for _, hd := range head.GetHeaders() {
		h.Add(hd.GetName(), hd.GetValue())
	}
	f.rep.Head(f.id, int(head.GetStatus()), h)
}

// runOnce runs a non-repeatable request under its idempotency key. The intent is
// committed before anything is sent, so that a resend through any gateway receives
// the recorded answer, or an error saying that the first request may have run.
func (f *forward) runOnce(ctx context.Context) error {
	key := f.fo.Caller.Workspace + "/" + f.fo.RouteName + "/" + f.fo.IdempotencyKey
	var re idempotency.Record
	err := f.ga.group.Propose(ctx, statemachine.KindBeginCall, idempotency.Begin{
		Key: key, Digest: f.fingerprint, Owner: f.id, Gateway: f.ga.cfg.Settings.PeerAddress,
	}, &re)
	if err != nil {
		return result.From(err).WithExecution(result.NotRun) // nothing was sent to a backend server
	}
	if re.Owner != f.id {
		return f.replay(ctx, &re)
	}

	f.ga.trackCall(f.id, true)
	defer f.ga.trackCall(f.id, false)
	rec := &recorder{rep: f.rep}
	f.rep = rec.reply()
	err = f.run(ctx)
	// Commit the outcome even if the caller has disconnected.
	cctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endCallTimeout)
	defer cancel()
	switch {
	case err == nil && !rec.tooLarge:
		end := idempotency.End{Key: key, Owner: f.id, Status: rec.status, Headers: rec.headers, Body: rec.body.Bytes()}
		if perr := f.ga.group.Propose(cctx, statemachine.KindEndCall, end, nil); perr != nil {
			f.ga.cfg.Meter.Count("calls.endLost")
		}
		rec.flush(f.id)
	case err == nil:
		rec.flush(f.id)
	case result.From(err).Execution == result.NotRun && !f.headSent:
		if perr := f.ga.group.Propose(cctx, statemachine.KindAbandonCall, idempotency.Abandon{Key: key, Owner: f.id}, nil); perr != nil {
			f.ga.cfg.Meter.Count("calls.abandonLost")
		}
	}

	return err
}

const endCallTimeout = 3 * time.Second

// replay answers a resend from the record of the first request.
func (f *forward) replay(ctx context.Context, re *idempotency.Record) error {
	if re.State == idempotency.Done {
		f.ga.cfg.Meter.Count("calls.replayed")
		h := http.Header{}
		for _, hd := range re.Headers {
			h.Add(hd.Name, hd.Value)
		}
		h.Set("X-Replayed", "true")
		f.rep.Head(re.Owner, re.Status, h)

		return f.rep.Body(re.Body)
	}
	if f.ga.isCallRunning(ctx, re) {
		return result.New(result.CallInFlight, "the first request with this idempotency key is still running").
			WithExecution(result.ExecutionUnknown).WithRetryAfter(time.Second)
	}

	return result.New(result.CallOutcomeUnknown, "the first request with this idempotency key may have run; its outcome is unknown").WithExecution(result.ExecutionUnknown)
}

// recorder buffers an answer until it is committed. An answer larger than
// maxRecordedBody is not recorded and passes through unbuffered.
type recorder struct {
	rep      ReplyWriter
	status   int
	headers  []idempotency.Header
	header   http.Header
	body     bytes.Buffer
	tooLarge bool
	flushed  bool
	id       string
}

func (re *recorder) reply() ReplyWriter {
	return ReplyWriter{
		Head: func(id string, status int, h http.Header) {
			re.id, re.status, re.header = id, status, h
			for name, values := range h {
				for _, v := range values {
					re.headers = append(re.headers, idempotency.Header{Name: name, Value: v})
				}
			}
		},
		Body: func(b []byte) error {
			if re.tooLarge {
				return re.rep.Body(b)
			}
			re.body.Write(b)
			if re.body.Len() > maxRecordedBody {
				re.tooLarge = true
				re.flush(re.id)
			}

			return nil
		},
	}
}

// flush sends the buffered answer to the caller, once.
func (re *recorder) flush(id string) {
	if re.flushed {
		return
	}
	re.flushed = true
	re.rep.Head(id, re.status, re.header)
	_ = re.rep.Body(re.body.Bytes()) // a caller that has disconnected can fetch the record by resending with its idempotency key
}
