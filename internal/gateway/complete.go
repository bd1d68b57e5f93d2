package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tamarackbay/tamarackbay/internal/agent"
	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/pool"
	"github.com/tamarackbay/tamarackbay/internal/quarantine"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/retry"
	"github.com/tamarackbay/tamarackbay/internal/rollout"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// CompletionRequest is a request to generate text with a model.
type CompletionRequest struct {
	Workspace   string
	Route       string
	Model       string
	Prompt      string
	MaxTokens   uint32
	Temperature float64
	Seed        uint64
	Class       string
	Retries     int
	Timeout     time.Duration
	MinSequence uint64 // oldest weight version allowed, by sequence number
	IsSample    bool
	Exclude     []string            // backend servers to avoid
	OnAttempt   func(server string) // called at the start of each attempt; may be nil
}

// CompletionResult is the result of a completion.
type CompletionResult struct {
	RequestID    string
	Text         string
	Finish       string
	Tokens       uint32
	PromptTokens uint32
	Versions     []rollout.VersionRange
	Server       string
	Attempts     int
}

// Complete runs a completion. It calls onPart, if not nil, for each part as it arrives.
func (ga *Gateway) Complete(ctx context.Context, co CompletionRequest, onPart func(requestID string, part *wire.RunChunk) error) (*CompletionResult, error) {
	po := ga.poolOf(co.Model)
	leave, err := ga.admit(co.Workspace, po.Gateways())
	if err != nil {
		return nil, err
	}
	defer leave()

	return ga.complete(ctx, po, co, onPart)
}

// completeSample runs a sample of a step. It bypasses the workspace's rate limit,
// because the step was admitted as one unit.
func (ga *Gateway) completeSample(ctx context.Context, sa rollout.SampleRequest) (*rollout.SampleResult, error) {
	w, err := ga.complete(ctx, ga.poolOf(sa.Model), CompletionRequest{
		Workspace: sa.Workspace, Route: "rollout", Model: sa.Model, Prompt: sa.Prompt, MaxTokens: sa.MaxTokens,
		Temperature: sa.Temperature, Seed: sa.Seed, Class: declaration.ClassRollout, Retries: sa.Retries,
		Timeout: sa.Timeout, MinSequence: sa.MinSequence, IsSample: true, Exclude: sa.Exclude,
		OnAttempt: sa.OnPlaced,
	}, nil)
	if err != nil {
		return nil, err
	}

	return &rollout.SampleResult{
		Text: w.Text, Finish: w.Finish, Tokens: w.Tokens, PromptTokens: w.PromptTokens, Versions: w.Versions,
		Server: w.Server, RequestID: w.RequestID,
	}, nil
}

// promptBytesPerCostUnit is the number of prompt bytes that cost as much as one generated token.
const promptBytesPerCostUnit = 64

// completionRun is the state of one completion across its attempts.
type completionRun struct {
	placement
	co     CompletionRequest
	onPart func(requestID string, part *wire.RunChunk) error

	text            strings.Builder
	output          CompletionResult
	beforeAttempt   CompletionResult // output of earlier attempts
	mixedVersions   []string         // weight versions, any of which may have generated this attempt's parts
	versionsAssumed bool             // the engine did not report the weight versions of this attempt's parts
}

// unknownVersion marks parts whose weight version cannot be determined.
const unknownVersion = "unknown"

func (ga *Gateway) complete(ctx context.Context, po *pool.Pool, co CompletionRequest, onPart func(string, *wire.RunChunk) error) (*CompletionResult, error) {
	ctx, cancel, deadline := ga.deadline(ctx, co.Timeout)
	defer cancel()

	rn := &completionRun{co: co, onPart: onPart, placement: placement{
		ga: ga, po: po, id: ga.newRequestID(), workspace: co.Workspace, class: co.Class,
		cost: float64(co.MaxTokens) + float64(len(co.Prompt))/promptBytesPerCostUnit, deadline: deadline,
		minSequence: co.MinSequence, newestFirst: co.IsSample, prefix: xxhash.Sum64String(co.Prompt), exclude: co.Exclude,
	}}
	if !co.IsSample {
		rn.fingerprint = quarantine.Fingerprint(co.Model, co.Prompt, fmt.Sprint(co.MaxTokens))
	}
	rn.output.RequestID = rn.id
	key := co.Route + "/" + co.Workspace
	ga.mu.Lock()
	ga.budget.RecordFirstAttempt(key)
	ga.mu.Unlock()

	for n := 1; ; n++ {
		err := rn.attempt(ctx, uint32(n))
		if err == nil {
			rn.output.Attempts, rn.output.Text = n, rn.text.String()

			return &rn.output, nil
		}
		if de := ga.awaitRetry(ctx, retry.Attempt{
			Key: key, Number: n, MaxRetries: co.Retries, IsRepeatable: true, Err: result.From(err), Now: ga.now(), Deadline: deadline,
		}); !de.Retry {
			return nil, rn.markRan(de.Err)
		}
	}
}

// markRan sets the error's execution to Ran if any tokens were received.
func (rn *completionRun) markRan(er *result.Error) *result.Error {
	if rn.output.Tokens > 0 {
		return er.WithExecution(result.Ran)
	}

	return er
}

// awaitRetry checks a failed attempt against the retry budget and waits for the back-off delay.
func (ga *Gateway) awaitRetry(ctx context.Context, at retry.Attempt) retry.Decision {
	if er := cancelCause(ctx); er != nil {
		return retry.Decision{Err: er.WithExecution(at.Err.Execution)}
	}

	ga.mu.Lock()
	de := ga.budget.Decide(at)
	ga.mu.Unlock()
	ga.cfg.Meter.CountRetry(de.Reason, de.Retry)
	if !de.Retry || de.Delay == 0 {
		return de
	}
	select {
	case <-time.After(de.Delay):
	case <-ctx.Done():
		de.Retry = false
	}

	return de
}

// checkQuarantine refuses a fingerprint that was in flight at two or more crashes of
// backend servers, at one of them as the only suspect, until its refusal ends. It sets
// *suspect for any other fingerprint that was in flight at a crash.
func (ga *Gateway) checkQuarantine(fp string, suspect *bool) error {
	en, ok := ga.group.View().Quarantine[fp]
	if !ok {
		return nil
	}
	nowMs := ga.cfg.WallMs()
	switch en.Verdict(nowMs) {
	case quarantine.Refused:
		left := time.Duration(en.RefusedUntilMs()-nowMs) * time.Millisecond

		return result.New(result.Quarantined, "fingerprint %s was in flight when %d backend servers crashed", fp, len(en.Crashes)).WithRetryAfter(left)
	case quarantine.Suspect:
		*suspect = true
	case quarantine.Clear:
	}

	return nil
}

// attempt runs one attempt on one backend server. It resumes after the tokens that
// earlier attempts delivered.
func (rn *completionRun) attempt(ctx context.Context, n uint32) error {
	gr, done, err := rn.place(ctx)
	if err != nil {
		return err
	}
	defer done()

	err = rn.stream(ctx, gr, n)
	if err != nil && rn.versionsAssumed {
		rn.discardAssumed()
	}
	rn.release(gr, err)

	return err
}

// discardAssumed discards the parts of a failed attempt whose weight versions were
// only assumed, so that the next attempt generates them again. Parts that the caller
// already has are marked with unknownVersion instead.
func (rn *completionRun) discardAssumed() {
	if rn.onPart != nil {
		rn.output.Versions = append(rn.beforeAttempt.Versions, rollout.VersionRange{
			Version: unknownVersion, From: rn.beforeAttempt.Tokens, To: rn.output.Tokens,
		})

		return
	}

	rn.output = rn.beforeAttempt
	rn.text.Reset()
	rn.text.WriteString(rn.beforeAttempt.Text)
}

// stream sends the attempt to the agent and receives the parts.
func (rn *completionRun) stream(ctx context.Context, gr *pool.Grant, n uint32) error {
	st, err := gr.Server().Session().Open(ctx, agent.MethodRun, &wire.RunRequest{
		RequestId: rn.id, Attempt: n, Workspace: rn.co.Workspace, Model: rn.co.Model, Prompt: rn.co.Prompt,
		MaxTokens: rn.co.MaxTokens - min(rn.output.Tokens, rn.co.MaxTokens-1), Temperature: rn.co.Temperature, Seed: rn.co.Seed,
		Priority: uint32(declaration.ClassRank(rn.co.Class)), ResumeText: rn.text.String(),
		Sample: rn.co.IsSample, Fingerprint: rn.fingerprint, Suspect: rn.suspect, CacheKey: rn.prefix,
	})
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, st.Close)
	defer stop()
	defer st.Close()

	rn.output.Server, rn.mixedVersions, rn.versionsAssumed = gr.Server().Name(), nil, false
	rn.beforeAttempt = rn.output
	rn.beforeAttempt.Text, rn.beforeAttempt.Versions = rn.text.String(), slices.Clone(rn.output.Versions)
	if rn.co.OnAttempt != nil {
		rn.co.OnAttempt(rn.output.Server)
	}
	for {
		var part wire.RunChunk
		err := st.Recv(&part)
		if errors.Is(err, io.EOF) {
			if rn.output.Finish == "" {
				return result.New(result.BackendAnswerBroken, "the backend server's answer ended without a finish reason").WithExecution(result.Ran)
			}
			for _, v := range rn.mixedVersions {
				rn.output.Versions = append(rn.output.Versions, rollout.VersionRange{Version: v, From: rn.beforeAttempt.Tokens, To: rn.output.Tokens})
			}

			return nil
		}
		if err != nil {
			return receiveError(ctx, err)
		}
		if err := rn.addChunk(&part); err != nil {
			return err
		}
	}
}

func (rn *completionRun) addChunk(part *wire.RunChunk) error {
	wr := &rn.output
	switch {
	case part.GetMixed():
		rn.mixedVersions = append(rn.mixedVersions, part.GetVersion())

		return nil
	case part.GetTokens() > 0:
		wr.Versions = rollout.AddRange(wr.Versions, part.GetVersion(), wr.Tokens, wr.Tokens+part.GetTokens())
	}
	rn.versionsAssumed = rn.versionsAssumed || part.GetAssumed()
	rn.text.WriteString(part.GetText())
	wr.Tokens += part.GetTokens()
	wr.PromptTokens = max(wr.PromptTokens, part.GetPromptTokens())
	wr.Finish = part.GetFinish()
	if rn.onPart == nil {
		return nil
	}
	if err := rn.onPart(rn.id, part); err != nil {
		return result.New(result.DeadlinePassed, "the caller disconnected: %v", err).WithExecution(result.ExecutionUnknown)
	}

	return nil
}
