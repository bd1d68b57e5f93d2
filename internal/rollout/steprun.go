package rollout

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/step"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

const (
	ledgerPollPeriod       = 50 * time.Millisecond  // with a replica of the ledger in this process
	remoteLedgerPollPeriod = 250 * time.Millisecond // without one: each poll is a call to the group
	commitBatchPeriod      = 5 * time.Millisecond
	minSampleBackoff       = 50 * time.Millisecond
	maxSampleBackoff       = time.Second
	retriesPerAttempt      = 2
	scoreTimeout           = 5 * time.Second
	maxScoreAttempts       = 3
	hedgePendingShare      = 0.1                    // hedging starts when at most this share of a step's samples is pending
	hedgeBudgetShare       = 0.05                   // at most this share of a step's samples is hedged, or two samples if that is more
	hedgeDurationFactor    = 2.0                    // a straggler takes this multiple of the 90th percentile of the durations so far
	minHedgeDelay          = 100 * time.Millisecond // and at least this long
	maxConcurrentAttempts  = 4096                   // of one step
)

// stepRun drives one step.
type stepRun struct {
	dr   *Driver
	st   *step.Step
	sem  chan struct{} // limits the attempts in flight
	wins chan pendingWin

	mu           sync.Mutex
	samples      []sampleRun     // by index
	durations    []time.Duration // of won samples, from placement to result
	hedges       int             // samples hedged so far
	pendingCount int
}

// sampleRun is the local state of a sample.
type sampleRun struct {
	running  int           // attempts in flight
	attempt  uint32        // lowest attempt that may win
	placedAt time.Duration // when the attempt was sent to server; 0 before
	server   string
	won      bool // locally: the win may not be committed yet
	cancel   context.CancelFunc
	isHedged bool // a second attempt was started
}

// pendingWin is a completed sample that is not committed to the ledger yet.
type pendingWin struct {
	win     step.Win
	payload []byte
}

func newStepRun(dr *Driver, st *step.Step) *stepRun {
	sr := &stepRun{
		dr: dr, st: st, sem: make(chan struct{}, maxConcurrentAttempts), wins: make(chan pendingWin, 1024),
		samples: make([]sampleRun, len(st.Samples)),
	}
	for i := range st.Samples {
		sr.samples[i].attempt = st.Samples[i].Attempt
		sr.samples[i].won = st.Samples[i].State != step.Pending
	}

	return sr
}

// run starts attempts until the step is delivered, past its deadline or driven by
// another gateway.
func (sr *stepRun) run(ctx context.Context) {
	left := time.Until(time.UnixMilli(sr.st.DeadlineMs))
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()

	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		sr.commitLoop(ctx)
	}()
	for ctx.Err() == nil {
		pending, state := sr.pendingSamples(ctx)
		if state == stepEnded {
			break
		}
		if state == stepActive {
			sr.launch(ctx, pending, &wg)
			sr.hedge(ctx, &wg)
		}
		wait := ledgerPollPeriod
		if !sr.dr.cfg.Group.HasDisk() {
			wait = remoteLedgerPollPeriod
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	cancel()
	wg.Wait()
}

// stepState is the state of a step at the last read of the ledger.
type stepState uint8

const (
	stepUnknown stepState = iota // the read failed
	stepActive
	stepEnded // delivered, or driven by another gateway
)

// pendingSamples reads the samples that need an attempt from the ledger.
func (sr *stepRun) pendingSamples(ctx context.Context) ([]pendingSample, stepState) {
	var out []pendingSample
	state := stepUnknown
	read := func(st *step.Step) {
		state = stepActive
		if st.DoneMs > 0 || st.Driver != sr.dr.cfg.Identity {
			state = stepEnded

			return
		}
		for i := range st.Samples {
			if st.Samples[i].State == step.Pending {
				out = append(out, pendingSample{i, st.Samples[i].Attempt})
			}
		}
	}
	if sr.dr.cfg.Group.Read(func(ma *statemachine.Machine) {
		if st, err := ma.Steps().Get(sr.st.Key()); err == nil {
			read(st)
		}
	}) {
		return out, state
	}

	st, err := sr.dr.cfg.Group.QueryStepUpstream(ctx, sr.st.Key())
	if err == nil {
		read(st)
	}

	return out, state
}

// pendingSample is a sample that needs an attempt.
type pendingSample struct {
	index   int
	attempt uint32 // lowest attempt that may win
}

// launch starts an attempt for each pending sample that has none.
func (sr *stepRun) launch(ctx context.Context, pending []pendingSample, wg *sync.WaitGroup) {
	sr.mu.Lock()
	defer sr.mu.Unlock()

	sr.pendingCount = len(pending)
	for _, p := range pending {
		sa := &sr.samples[p.index]
		if p.attempt > sa.attempt {
			// The ledger reset the sample: its weight version was too old, or its payload was lost.
			sa.won, sa.attempt = false, p.attempt
		}
		if sa.won || sa.running > 0 {
			continue
		}
		sctx, cancel := context.WithCancel(ctx)
		sa.cancel, sa.isHedged = cancel, false
		sr.startAttempt(sctx, p.index, nil, wg)
	}
}

// startAttempt calls runSample in a goroutine. The caller holds sr.mu.
func (sr *stepRun) startAttempt(ctx context.Context, i int, exclude []string, wg *sync.WaitGroup) {
	sa := &sr.samples[i]
	sa.running++
	attempt := sa.attempt
	wg.Add(1)
	go func() {
		defer wg.Done()
		defer func() {
			sr.mu.Lock()
			sr.samples[i].running--
			sr.mu.Unlock()
		}()
		sr.runSample(ctx, i, attempt, exclude)
	}()
}

// runSample retries a sample with back-off until an attempt completes or ctx ends,
// which it does when another attempt has won or the step ends.
func (sr *stepRun) runSample(ctx context.Context, i int, attempt uint32, exclude []string) {
	select {
	case sr.sem <- struct{}{}:
		defer func() { <-sr.sem }()
	case <-ctx.Done():
		return
	}

	for wait := minSampleBackoff; ctx.Err() == nil; wait = min(2*wait, maxSampleBackoff) {
		done, err := sr.runAttempt(ctx, i, attempt, exclude)
		if done {
			return
		}
		if err != nil && ctx.Err() == nil {
			sr.dr.cfg.Meter.Count("samples.again." + result.Lookup(result.From(err).Code).Name)
		}
		d := wait
		if er := result.From(err); er.RetryAfter > 0 && er.RetryAfter < maxSampleBackoff {
			d = er.RetryAfter
		}
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
}

// minSequence returns the oldest weight version that may generate a sample now.
func (sr *stepRun) minSequence() uint64 {
	latest := sr.dr.cfg.LatestSequence(sr.st.Model)
	low := uint64(1)
	if latest > sr.st.Staleness {
		low = latest - sr.st.Staleness
	}

	return max(low, sr.st.MinVersion)
}

// runAttempt runs one attempt and submits its result. It returns true if the sample
// needs no other attempt from this loop.
func (sr *stepRun) runAttempt(ctx context.Context, i int, attempt uint32, exclude []string) (bool, error) {
	sa := sr.st.Samples[i]
	gr := sr.st.Groups[sa.Group]
	startedMs := time.Now().UnixMilli()
	wr, err := sr.dr.complete(ctx, SampleRequest{
		Workspace: sr.st.Workspace, Model: sr.st.Model, Prompt: gr.Prompt, MaxTokens: uint32(gr.MaxTokens),
		Temperature: gr.Temperature, Seed: xxhash.Sum64String(sa.ID), Retries: retriesPerAttempt,
		Timeout: time.Until(time.UnixMilli(sr.st.DeadlineMs)), MinSequence: sr.minSequence(), Exclude: exclude,
		OnPlaced: func(server string) { sr.recordPlacement(i, server) },
	})
	re := record{ID: sa.ID, Group: gr.ID, Attempt: attempt, StartedMs: startedMs}
	if err != nil {
		er := result.From(err)
		if er.Code != result.BackendRefused {
			return false, err
		}
		re.Failure = &failure{Code: er.Code, Name: result.Lookup(er.Code).Name, Message: er.Message}
		wr = &SampleResult{}
	}

	sequence, err := sr.oldestSequence(wr)
	if err != nil {
		return false, err
	}
	if sequence < sr.minSequence() {
		return false, result.New(result.NoEligibleVersion, "sample %s: generated by weight version %d, which is too old by now", sa.ID, sequence)
	}
	if re.Failure == nil {
		if re.Score, err = sr.score(ctx, sa.ID, gr.Prompt, wr.Text); err != nil {
			return false, err
		}
	}
	re.Text, re.Finish, re.Tokens, re.PromptTokens, re.Versions = wr.Text, wr.Finish, wr.Tokens, wr.PromptTokens, wr.Versions
	re.EndedMs = time.Now().UnixMilli()

	return sr.submit(ctx, i, attempt, re, sequence)
}

// recordPlacement records the backend server and the start of an attempt, unless the
// sample is hedged.
func (sr *stepRun) recordPlacement(i int, server string) {
	sr.mu.Lock()
	defer sr.mu.Unlock()

	if sa := &sr.samples[i]; !sa.isHedged {
		sa.server, sa.placedAt = server, sr.dr.cfg.Now()
	}
}

// oldestSequence returns the sequence of the oldest weight version that generated a
// part of the text. A trainer cannot use text of an unknown version, so that is an
// error.
func (sr *stepRun) oldestSequence(wr *SampleResult) (uint64, error) {
	if len(wr.Versions) == 0 {
		return sr.dr.cfg.LatestSequence(sr.st.Model), nil
	}

	set := sr.dr.cfg.Group.View().Set
	low := uint64(0)
	for _, vr := range wr.Versions {
		v, ok := set.FindVersion(sr.st.Model, vr.Version)
		if !ok {
			return 0, result.New(result.VersionUnknown, "step %s: backend server %s used weight version %q, which is not declared", sr.st.ID, wr.Server, vr.Version)
		}
		if low == 0 || v.Sequence < low {
			low = v.Sequence
		}
	}

	return low, nil
}

func (sr *stepRun) score(ctx context.Context, id, prompt, text string) (*float64, error) {
	if sr.dr.cfg.Score == nil {
		return nil, nil //nolint:nilnil // no scorer is configured: the sample has no score
	}

	var err error
	for range maxScoreAttempts {
		cctx, cancel := context.WithTimeout(ctx, scoreTimeout)
		var s float64
		s, err = sr.dr.cfg.Score(cctx, id, prompt, text)
		cancel()
		if err == nil {
			return &s, nil
		}
		sr.dr.cfg.Meter.Count("scores.again")
	}

	return nil, err
}

// submit queues a completed sample for commitLoop and cancels its other attempts.
func (sr *stepRun) submit(ctx context.Context, i int, attempt uint32, re record, sequence uint64) (bool, error) {
	payload, digest, err := encodeRecord(re)
	if err != nil {
		return false, err
	}
	if err := sr.dr.store.put(sr.dr.cfg.Now(), sr.st.Key(), digest, payload); err != nil {
		return false, err
	}

	sr.mu.Lock()
	sa := &sr.samples[i]
	if sa.won || attempt < sa.attempt {
		sr.mu.Unlock()

		return true, nil
	}
	sa.won = true
	cancel := sa.cancel
	sr.durations = append(sr.durations, sr.dr.cfg.Now()-sa.placedAt)
	sr.mu.Unlock()

	w := pendingWin{payload: payload, win: step.Win{
		Sample: i, Attempt: attempt, Digest: digest, Sequence: sequence, Holders: []string{sr.dr.address()},
	}}
	select {
	case sr.wins <- w:
	case <-ctx.Done():
	}
	cancel() // only after the win is queued, as this cancels ctx too

	return true, nil
}

// hedge starts a second attempt, on another backend server, for the last samples of
// a step if they take much longer than the others did.
func (sr *stepRun) hedge(ctx context.Context, wg *sync.WaitGroup) {
	if sr.dr.cfg.NoHedging {
		return
	}

	sr.mu.Lock()
	defer sr.mu.Unlock()

	n := len(sr.samples)
	if float64(sr.pendingCount) > max(1, hedgePendingShare*float64(n)) || len(sr.durations) < n/2 || len(sr.durations) == 0 {
		return
	}
	sorted := slices.Clone(sr.durations)
	slices.Sort(sorted)
	limit := max(time.Duration(hedgeDurationFactor*float64(sorted[len(sorted)*9/10])), minHedgeDelay)
	now := sr.dr.cfg.Now()
	for i := range sr.samples {
		sa := &sr.samples[i]
		if sa.won || sa.running != 1 || sa.isHedged || sa.placedAt == 0 || now < sa.placedAt+limit {
			continue
		}
		if sr.hedges >= max(2, int(hedgeBudgetShare*float64(n))) {
			sr.dr.cfg.Meter.Count("hedges.overBudget")

			return
		}
		sr.hedges++
		sa.isHedged = true
		sr.dr.cfg.Meter.Count("hedges.started")
		hctx, cancel := context.WithCancel(ctx)
		first := sa.cancel
		sa.cancel = func() { first(); cancel() }
		sr.startAttempt(hctx, i, []string{sa.server}, wg)
	}
}

// commitLoop collects wins for commitBatchPeriod and commits them together.
func (sr *stepRun) commitLoop(ctx context.Context) {
	for {
		var batch []pendingWin
		select {
		case w := <-sr.wins:
			batch = append(batch, w)
		case <-ctx.Done():
			return
		}
		timer := time.NewTimer(commitBatchPeriod)
	gather:
		for len(batch) < cap(sr.wins) {
			select {
			case w := <-sr.wins:
				batch = append(batch, w)
			case <-timer.C:
				break gather
			}
		}
		timer.Stop()
		sr.commit(ctx, batch)
	}
}

// commit copies the payloads of a batch to a second holder and commits the wins. It
// retries until ctx ends.
func (sr *stepRun) commit(ctx context.Context, batch []pendingWin) {
	holder := sr.dr.replicatePayloads(ctx, sr.st.Key(), batch)
	ws := step.Wins{Key: sr.st.Key()}
	for _, w := range batch {
		if holder != "" {
			w.win.Holders = append(w.win.Holders, holder)
		}
		ws.Wins = append(ws.Wins, w.win)
	}
	for ctx.Err() == nil {
		cctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		err := sr.dr.cfg.Group.Propose(cctx, statemachine.KindWins, ws, nil)
		cancel()
		if err == nil || result.Is(err, result.UnknownStep) {
			return
		}
		sr.dr.cfg.Meter.Count("wins.again")
	}
}

// replicatePayloads copies the payloads of a batch to another gateway, preferably in
// another failure domain. It returns its address, or "" if none accepts them.
func (dr *Driver) replicatePayloads(ctx context.Context, key string, batch []pendingWin) string {
	rq := &wire.HoldRequest{Step: key}
	for _, w := range batch {
		rq.Payloads = append(rq.Payloads, w.payload)
	}
	for _, a := range dr.cfg.Group.ConnectedPeers(dr.cfg.FailureDomain) {
		cctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		err := dr.cfg.Group.Call(cctx, a, methodHold, rq, &wire.Empty{})
		cancel()
		if err == nil {
			return a
		}
	}
	dr.cfg.Meter.Count("payloads.oneHolder")

	return ""
}
