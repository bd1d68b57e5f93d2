package agent

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/engine"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/plainservice"
	"github.com/tamarackbay/tamarackbay/internal/pool"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

const abortTimeout = time.Second

// admit checks that a request may run here and registers it. The returned function
// unregisters it.
func (ag *Agent) admit(id string, attempt uint32, w *inFlightRequest) (func(), error) {
	ag.mu.Lock()
	state := ag.state
	ag.mu.Unlock()
	if state != pool.StateReady {
		return nil, result.New(result.ServerDraining, "agent %s: the backend server is %s", ag.cfg.Server, state)
	}
	if w.isSuspect {
		select {
		case ag.suspectSlot <- struct{}{}:
		default:
			return nil, result.New(result.ServerDraining, "agent %s: another suspect request is running", ag.cfg.Server)
		}
	}

	release := func() {
		ag.unregister(w)
		if w.isSuspect {
			<-ag.suspectSlot
		}
	}
	if !ag.register(w) {
		release()

		return nil, result.New(result.ServerDraining, "agent %s: the backend server is draining or paused for a swap", ag.cfg.Server)
	}
	if !ag.attempts.recordFirst(fmt.Sprintf("%s/%d", id, attempt)) {
		release()

		return nil, result.New(result.AttemptRepeated, "agent %s: attempt %d of request %s was already received", ag.cfg.Server, attempt, id).WithExecution(result.ExecutionUnknown)
	}

	return release, nil
}

// handleRun serves MethodRun: it runs a completion on the engine.
func (ag *Agent) handleRun(ctx context.Context, st *peer.Stream) error {
	var rq wire.RunRequest
	if err := st.Request(&rq); err != nil {
		return err
	}
	if ag.engine == nil || rq.GetModel() != ag.cfg.Model {
		return result.New(result.UnknownModel, "agent %s: the backend server serves model %q, not %q", ag.cfg.Server, ag.cfg.Model, rq.GetModel())
	}

	w := &inFlightRequest{fingerprint: rq.GetFingerprint(), isSuspect: rq.GetSuspect()}
	release, err := ag.admit(rq.GetRequestId(), rq.GetAttempt(), w)
	if err != nil {
		return err
	}
	defer release()

	before, known := ag.version()
	if rq.GetSample() && !known {
		return result.New(result.VersionUnknown, "agent %s: the weight version of the engine is not verified", ag.cfg.Server)
	}

	return ag.complete(ctx, st, &rq, w, before)
}

// version returns the engine's last known weight version and whether it is verified.
func (ag *Agent) version() (string, bool) {
	ag.mu.Lock()
	defer ag.mu.Unlock()

	return ag.status.Version, ag.versionKnown
}

// complete runs a completion. Each part names the weight version that produced it. If
// the engine doesn't name one, the version before the run is assumed, and every
// further version until the end of the run is sent separately.
func (ag *Agent) complete(ctx context.Context, st *peer.Stream, rq *wire.RunRequest, w *inFlightRequest, before string) error {
	id := fmt.Sprintf("%s.%d", rq.GetRequestId(), rq.GetAttempt())
	er := engine.Request{
		ID: id, Model: rq.GetModel(), Prompt: rq.GetPrompt() + rq.GetResumeText(), MaxTokens: rq.GetMaxTokens(),
		Temperature: rq.GetTemperature(), Seed: rq.GetSeed(), Priority: rq.GetPriority(),
	}
	if k := rq.GetCacheKey(); k != 0 {
		er.CacheKey = fmt.Sprintf("%016x", k)
	}
	isAssumed, isFirst := false, true
	var last *wire.RunChunk
	err := ag.engine.Complete(ctx, er, func(ch engine.Chunk) error {
		if isFirst {
			ag.count(rq.GetWorkspace(), 1, uint64(ch.PromptTokens))
			isFirst = false
		}
		ag.count(rq.GetWorkspace(), 0, uint64(ch.Tokens))
		rc := &wire.RunChunk{Text: ch.Text, Tokens: ch.Tokens, Version: ch.Version, Finish: ch.Finish, PromptTokens: ch.PromptTokens}
		if rc.Version == "" {
			isAssumed, rc.Version, rc.Assumed = true, before, true
		}
		if rc.Finish != "" {
			last = rc // sent last, after any further versions

			return nil
		}

		return st.Send(rc)
	})
	if err != nil {
		ag.cleanUpAfterFailure(ctx, rq.GetSample() || rq.GetMaxTokens() > 0, id, err)

		return err
	}
	if last == nil {
		return result.New(result.BackendAnswerBroken, "agent %s: the engine's answer has no finish reason", ag.cfg.Server).WithExecution(result.ExecutionUnknown)
	}
	if isAssumed {
		if err := ag.sendFurtherVersions(ctx, st, w, before); err != nil {
			return err
		}
	}

	return st.Reply(last)
}

// sendFurtherVersions is called after a run whose engine didn't name its versions. It
// reads the engine's version and sends every version, other than the one before the
// run, that may have produced a part of the answer.
func (ag *Agent) sendFurtherVersions(ctx context.Context, st *peer.Stream, w *inFlightRequest, before string) error {
	after, err := ag.engine.Status(ctx)
	if err != nil || after.Version == "" || after.State != engine.StateReady {
		return result.New(result.VersionUnknown, "agent %s: the weight version of the engine after the run is not known", ag.cfg.Server).WithExecution(result.Ran)
	}

	ag.mu.Lock()
	w.versions[after.Version] = struct{}{}
	delete(w.versions, before)
	further := slices.Sorted(maps.Keys(w.versions))
	ag.mu.Unlock()
	for _, v := range further {
		if err := st.Send(&wire.RunChunk{Version: v, Mixed: true}); err != nil {
			return err
		}
	}

	return nil
}

// cleanUpAfterFailure aborts a request that the engine may still be running. A crash is
// reported before the gateway receives the failure of the request.
func (ag *Agent) cleanUpAfterFailure(ctx context.Context, mayRun bool, id string, err error) {
	switch {
	case result.Is(err, result.BackendCrashed) || result.Is(err, result.BackendUnreachable):
		if ctx.Err() == nil {
			ag.reportCrash()
		}
	case mayRun && ag.engine != nil:
		actx, cancel := context.WithTimeout(context.Background(), abortTimeout)
		defer cancel()
		_ = ag.engine.Abort(actx, id) // best effort: the engine also ends the request when its connection closes
	}
}

// handleForward serves MethodForward: it forwards a request to the plain service.
func (ag *Agent) handleForward(ctx context.Context, st *peer.Stream) error {
	var rq wire.ForwardRequest
	if err := st.Request(&rq); err != nil {
		return err
	}
	if ag.service == nil {
		return result.New(result.UnknownRoute, "agent %s: the backend server is not a plain service", ag.cfg.Server)
	}

	w := &inFlightRequest{fingerprint: rq.GetFingerprint(), isSuspect: rq.GetSuspect()}
	release, err := ag.admit(rq.GetRequestId(), rq.GetAttempt(), w)
	if err != nil {
		return err
	}
	defer release()

	pr := plainservice.Request{
		ID: rq.GetRequestId(), Method: rq.GetMethod(), Path: rq.GetPath(), Query: rq.GetQuery(),
		Body: rq.GetBody(), IsRepeatable: rq.GetRepeatable(), Header: http.Header{},
	}
	for _, h := range rq.GetHeaders() {
		pr.Header.Add(h.GetName(), h.GetValue())
	}
	err = ag.service.Do(ctx, pr, func(status int, h http.Header) error {
		ag.count(rq.GetWorkspace(), 1, 0)
		head := &wire.ForwardPart{Status: uint32(status)}
		for name, values := range h {
			if plainservice.IsHopByHop(name) && name != "Content-Length" {
				continue
			}
			for _, v := range values {
				head.Headers = append(head.Headers, &wire.Header{Name: name, Value: v})
			}
		}

		return st.Send(head)
	}, func(b []byte) error {
		return st.Send(&wire.ForwardPart{Body: b})
	})
	if err != nil {
		ag.cleanUpAfterFailure(ctx, false, rq.GetRequestId(), err)
	}

	return err
}
