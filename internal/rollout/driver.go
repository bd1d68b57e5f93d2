package rollout

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/group"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/step"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// Config holds the settings and dependencies of a Driver.
type Config struct {
	Identity       string // peer address and process instance, joined by |
	FailureDomain  string
	Group          *group.Group
	Complete       func(ctx context.Context, at SampleRequest) (*SampleResult, error)        // runs an attempt through this gateway
	Score          func(ctx context.Context, sampleID, prompt, text string) (float64, error) // nil without a scorer
	LatestSequence func(model string) uint64                                                 // sequence of the newest weight version
	Now            func() time.Duration                                                      // monotonic, since the start of the process
	NoHedging      bool
	NoSpread       bool // run every attempt through this gateway
	Meter          *meter.Meter
	Log            log.Interface
}

// Driver drives the steps that were opened at, or moved to, this gateway.
type Driver struct {
	cfg   Config
	store *store

	nextGateway atomic.Uint64 // round-robin counter of attempts

	mu    sync.Mutex
	ctx   context.Context
	steps map[string]*stepRun
	wg    sync.WaitGroup
}

const (
	sweepPeriod        = time.Second
	payloadTTL         = 15 * time.Minute // on a gateway without a replica of the ledger
	peerCallTimeout    = time.Second
	proposeTimeout     = 5 * time.Second
	driverCheckPeriod  = 500 * time.Millisecond
	defaultPageSamples = 256
	maxPageSamples     = 2048
	pagePollPeriod     = 30 * time.Millisecond // also the retry delay sent with PageNotReady
	pollPeriod         = 100 * time.Millisecond
	maxStepSamples     = 65_536
)

// New returns a driver.
func New(cfg Config) *Driver {
	return &Driver{cfg: cfg, store: newStore(), steps: map[string]*stepRun{}, ctx: context.Background()}
}

// Run removes payloads that are no longer needed until ctx ends, then waits for
// the steps driven here to stop.
func (dr *Driver) Run(ctx context.Context) {
	dr.mu.Lock()
	dr.ctx = ctx
	dr.mu.Unlock()
	for ctx.Err() == nil {
		select {
		case <-time.After(sweepPeriod):
		case <-ctx.Done():
		}
		dr.sweep()
	}
	dr.wg.Wait()
}

// sweep removes the payloads that the ledger no longer needs. A payload is stored
// before its win is committed, so steps that received one recently are skipped.
func (dr *Driver) sweep() {
	dr.store.mu.Lock()
	keys := make([]string, 0, len(dr.store.steps))
	for k := range dr.store.steps {
		keys = append(keys, k)
	}
	dr.store.mu.Unlock()

	needed := map[string]map[string]struct{}{}
	hasLedger := dr.cfg.Group.Read(func(ma *statemachine.Machine) {
		for _, k := range keys {
			needed[k] = map[string]struct{}{}
			st, err := ma.Steps().Get(k)
			if err != nil {
				continue
			}
			for i := range st.Samples {
				if s := st.Samples[i].State; s == step.Won || s == step.Paged {
					needed[k][st.Samples[i].Digest] = struct{}{}
				}
			}
		}
	})
	expired := dr.store.idleSteps(dr.cfg.Now(), payloadTTL)
	settled := dr.store.idleSteps(dr.cfg.Now(), 2*sweepPeriod)
	for _, k := range keys {
		switch {
		case hasLedger && slices.Contains(settled, k):
			dr.store.retainOnly(k, needed[k])
		case slices.Contains(expired, k):
			dr.store.retainOnly(k, nil)
		}
	}
}

func (dr *Driver) isDriving(key string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()

	_, ok := dr.steps[key]

	return ok
}

// Running returns the number of steps driven here.
func (dr *Driver) Running() int {
	dr.mu.Lock()
	defer dr.mu.Unlock()

	return len(dr.steps)
}

// Open opens a step and starts to drive it.
func (dr *Driver) Open(ctx context.Context, st step.Step) (*step.Step, error) {
	n := 0
	for _, g := range st.Groups {
		n += g.Samples
	}
	if n == 0 || n > maxStepSamples {
		return nil, result.New(result.InvalidField, "step %s: %d samples, must be 1 to %d", st.ID, n, maxStepSamples)
	}

	st.Driver = dr.cfg.Identity
	var opened step.Step
	if err := dr.cfg.Group.Propose(ctx, statemachine.KindOpenStep, step.OpenStep{Step: st}, &opened); err != nil {
		return nil, err
	}
	if opened.Driver == dr.cfg.Identity && opened.DoneMs == 0 {
		dr.drive(&opened)
	}

	return &opened, nil
}

func (dr *Driver) drive(st *step.Step) {
	dr.mu.Lock()
	defer dr.mu.Unlock()

	if _, ok := dr.steps[st.Key()]; ok || dr.ctx.Err() != nil {
		return
	}
	sr := newStepRun(dr, st)
	dr.steps[st.Key()] = sr
	dr.wg.Add(1)
	go func() {
		defer dr.wg.Done()
		sr.run(dr.ctx)
		dr.mu.Lock()
		delete(dr.steps, st.Key())
		dr.mu.Unlock()
	}()
}

// takeOver makes this gateway the driver of a step unless the current driver answers.
func (dr *Driver) takeOver(ctx context.Context, key, from string) {
	if from == dr.cfg.Identity && dr.isDriving(key) {
		return
	}
	if from != dr.cfg.Identity && dr.isDriverAlive(ctx, key, from) {
		return
	}

	var st step.Step
	err := dr.cfg.Group.Propose(ctx, statemachine.KindChangeDriver, step.ChangeDriver{Key: key, From: from, To: dr.cfg.Identity}, &st)
	if err != nil || st.Driver != dr.cfg.Identity || st.DoneMs > 0 {
		return
	}
	dr.cfg.Meter.Count("steps.takenOver")
	dr.cfg.Log.WithFields(log.Fields{"step": key, "from": from}).Info("step taken over")
	dr.drive(&st)
}

func (dr *Driver) isDriverAlive(ctx context.Context, key, driver string) bool {
	address, _, _ := strings.Cut(driver, "|")
	cctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	err := dr.cfg.Group.Call(cctx, address, methodDriving, &wire.PayloadRequest{Step: key}, &wire.Empty{})

	return err == nil
}
