// Package gateway implements the gateway process, which runs on each entry VM. It
// authenticates callers, places their requests on backend servers, drives rollout
// steps and, under leases, orders backend servers, swaps weights and reports usage.
package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/admission"
	"github.com/tamarackbay/tamarackbay/internal/agent"
	"github.com/tamarackbay/tamarackbay/internal/group"
	"github.com/tamarackbay/tamarackbay/internal/intake"
	"github.com/tamarackbay/tamarackbay/internal/lease"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/ordering"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/pool"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/retry"
	"github.com/tamarackbay/tamarackbay/internal/rollout"
	"github.com/tamarackbay/tamarackbay/internal/scheduler"
	"github.com/tamarackbay/tamarackbay/internal/scorer"
	"github.com/tamarackbay/tamarackbay/internal/settings"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/storage"
	"github.com/tamarackbay/tamarackbay/internal/usagesink"
	"github.com/tamarackbay/tamarackbay/internal/weightstore"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// leaseReleasePoll is how often a stopping gateway checks whether its leases are released.
const leaseReleasePoll = 50 * time.Millisecond

// Config configures a Gateway.
type Config struct {
	Settings   settings.Gateway
	Files      storage.Files
	Log        log.Interface
	Meter      *meter.Meter
	WallMs     func() int64
	PeerConfig peer.Config // TLS and bind address; New fills in the hello and the handlers
}

// Gateway is one gateway process without its listeners for callers and operators.
type Gateway struct {
	cfg          Config
	instance     uint64
	startedAt    time.Time
	requestCount atomic.Uint64

	group    *group.Group
	listener *peer.Listener
	rollouts *rollout.Driver

	mu             sync.Mutex
	pools          map[string]*pool.Pool
	limiter        *admission.Limiter
	budget         *retry.Budget
	intake         *intake.Budget
	activeRequests map[*activeRequest]struct{}
	runningCalls   map[string]struct{} // IDs of non-repeatable requests that run on this gateway
	fleetReasons   map[string]string   // by class, the reason of the last fleet decision

	suspects  map[string]chan struct{} // by fingerprint, closed when the running suspect request ends
	completed *completedRuns

	reportPeriod atomic.Int64 // time.Duration, grows with the number of backend servers in the pools

	stopping atomic.Bool
	stopped  chan struct{} // closed when the leases must be released

	weightStore *weightstore.Client
	ordering    *ordering.Client
	usageSink   *usagesink.Client
}

// New loads the stored state and starts listening for peers. Run serves them.
func New(cfg Config) (*Gateway, error) {
	se := cfg.Settings
	ga := &Gateway{
		cfg: cfg, instance: rand.Uint64(), startedAt: time.Now(), pools: map[string]*pool.Pool{},
		limiter: admission.NewLimiter(), activeRequests: map[*activeRequest]struct{}{}, fleetReasons: map[string]string{}, runningCalls: map[string]struct{}{},
		suspects: map[string]chan struct{}{}, completed: newCompletedRuns(),
		budget:  retry.NewBudget(retry.Config{NoBudget: se.Policy.NoRetryBudget}, rand.Float64),
		stopped: make(chan struct{}),
		intake: intake.NewBudget(intake.Config{
			MemoryBytes: int64(se.MemoryMB) << 20, Standstill: settings.Milliseconds(se.Times.BodyMs), Meter: cfg.Meter, Log: cfg.Log,
		}),
	}
	ga.reportPeriod.Store(int64(minReportPeriod))
	pc := cfg.PeerConfig
	pc.Hello = &wire.Hello{
		Name: se.Name, Role: "gateway", FailureDomain: se.FailureDomain, Address: se.PeerAddress,
		Protocol: peer.ProtocolVersion,
	}
	pc.Mux = peer.Mux{}

	var err error
	ga.group, err = group.New(group.Config{
		Name: se.Name, Address: se.PeerAddress, FailureDomain: se.FailureDomain, DataFolder: se.DataFolder,
		Founders: founders(se.Founders), Upstreams: se.Upstreams, Peer: pc, Files: cfg.Files,
		Election: settings.Milliseconds(se.Times.ElectionMs), Heartbeat: settings.Milliseconds(se.Times.HeartbeatMs),
		FreshnessBound: settings.Milliseconds(se.Times.FreshnessMs), ReplaceAfter: settings.Milliseconds(se.Times.ReplaceAfterMs),
		WallMs: cfg.WallMs, Log: cfg.Log, Count: cfg.Meter.Count,
	})
	if err != nil {
		return nil, err
	}
	ga.createPlatformClients()
	ga.rollouts = rollout.New(ga.rolloutConfig())

	for _, mux := range []peer.Mux{ga.group.Handlers(), ga.serverHandlers(), ga.rollouts.Handlers()} {
		for m, h := range mux {
			pc.Mux[m] = h
		}
	}
	ga.listener, err = peer.Listen(se.PeerAddress, pc)

	return ga, err
}

func founders(in []settings.Founder) []group.Founder {
	out := make([]group.Founder, len(in))
	for i, fo := range in {
		out[i] = group.Founder(fo)
	}

	return out
}

func (ga *Gateway) createPlatformClients() {
	ou, bind := ga.cfg.Settings.ExternalServices, ga.cfg.PeerConfig.Bind
	if ou.WeightStore != "" {
		ga.weightStore = weightstore.New(ou.WeightStore, bind)
	}
	if ou.Ordering != "" {
		ga.ordering = ordering.New(ou.Ordering, bind)
	}
	if ou.Usage != "" {
		ga.usageSink = usagesink.New(ou.Usage, bind)
	}
}

func (ga *Gateway) rolloutConfig() rollout.Config {
	se := ga.cfg.Settings
	rc := rollout.Config{
		Identity: fmt.Sprintf("%s|%016x", se.PeerAddress, ga.instance), Group: ga.group, Complete: ga.completeSample,
		LatestSequence: ga.latestSequence, Now: ga.now, NoHedging: se.Policy.NoHedging, NoSpread: se.Policy.NoSpread, Meter: ga.cfg.Meter, Log: ga.cfg.Log,
		FailureDomain: se.FailureDomain,
	}
	if se.ExternalServices.Scorer != "" {
		rc.Score = scorer.New(se.ExternalServices.Scorer, ga.cfg.PeerConfig.Bind).Score
	}

	return rc
}

func (ga *Gateway) now() time.Duration { return time.Since(ga.startedAt) }

// Group returns the gateway's replica of the group state.
func (ga *Gateway) Group() *group.Group { return ga.group }

// Rollouts returns the driver of steps.
func (ga *Gateway) Rollouts() *rollout.Driver { return ga.rollouts }

// Meter returns the counters.
func (ga *Gateway) Meter() *meter.Meter { return ga.cfg.Meter }

// Intake bounds what the requests of callers hold.
func (ga *Gateway) Intake() *intake.Budget { return ga.intake }

// Settings returns the settings.
func (ga *Gateway) Settings() settings.Gateway { return ga.cfg.Settings }

// PeerAddress returns the address that peers connect to.
func (ga *Gateway) PeerAddress() string { return ga.listener.Address() }

// Run runs the gateway until ctx ends. For a graceful shutdown, call HandOver first.
func (ga *Gateway) Run(ctx context.Context) error {
	defer ga.listener.Close()

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	run := func(f func()) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f()
		}()
	}

	run(func() { _ = ga.listener.Serve() })
	run(func() { ga.rollouts.Run(ctx) })
	for _, pt := range ga.periodicTasks() {
		run(func() { pt.loop(ctx) })
	}
	if ga.group.HasDisk() {
		for _, ta := range ga.leasedTasks() {
			run(func() { ta.Run(ctx) })
		}
	}
	err := ga.group.Run(ctx)
	cancel()
	ga.listener.Close()
	wg.Wait()

	return err
}

// HandOver releases the leases and transfers leadership of the group if this
// gateway is the leader.
func (ga *Gateway) HandOver(ctx context.Context) {
	ga.BeginShutdown()
	for ctx.Err() == nil && ga.holdsLease() {
		time.Sleep(leaseReleasePoll)
	}
	ga.group.TransferLeadership(ctx)
}

func (ga *Gateway) holdsLease() bool {
	holds := false
	ga.group.Read(func(ma *statemachine.Machine) {
		for _, n := range []string{agent.LeaseFleet, agent.LeaseWeights, statemachine.UsageLease} {
			holds = holds || ma.Leases().Get(n).Holder == ga.leaseHolder()
		}
	})

	return holds
}

func (ga *Gateway) leaseHolder() string {
	return fmt.Sprintf("%s/%016x", ga.cfg.Settings.Name, ga.instance)
}

func (ga *Gateway) leaseTiming() lease.Timing {
	ti := lease.DefaultTiming()
	ti.Duration = settings.Milliseconds(ga.cfg.Settings.Times.LeaseMs)
	ti.MaxCall = settings.Milliseconds(ga.cfg.Settings.Times.MaxCallMs)

	return ti
}

// poolOf returns the pool of a model or plain service.
func (ga *Gateway) poolOf(serves string) *pool.Pool {
	ga.mu.Lock()
	defer ga.mu.Unlock()

	po, ok := ga.pools[serves]
	if !ok {
		se := ga.cfg.Settings
		po = pool.New(pool.Config{
			Name: serves, FailureDomain: se.FailureDomain, Queue: admission.Config{IsFair: !se.Policy.NoFairness},
			Scheduler: scheduler.Config{Policy: se.Policy.Scheduler}, Now: ga.now, Meter: ga.cfg.Meter,
			ReportPeriod: func() time.Duration { return time.Duration(ga.reportPeriod.Load()) },
			SequenceOf:   func(version string) uint64 { return ga.sequenceOf(serves, version) },
		})
		ga.pools[serves] = po
	}

	return po
}

// Pools returns all pools by the model or plain service that they serve.
func (ga *Gateway) Pools() map[string]*pool.Pool {
	ga.mu.Lock()
	defer ga.mu.Unlock()

	out := make(map[string]*pool.Pool, len(ga.pools))
	for k, v := range ga.pools {
		out[k] = v
	}

	return out
}

func (ga *Gateway) sequenceOf(model, version string) uint64 {
	v, ok := ga.group.View().Set.FindVersion(model, version)
	if !ok {
		return 0
	}

	return v.Sequence
}

func (ga *Gateway) latestSequence(model string) uint64 {
	v, _ := ga.group.View().Set.LatestVersion(model)

	return v.Sequence
}

// newRequestID returns an ID that is unique across gateways and restarts.
func (ga *Gateway) newRequestID() string {
	return fmt.Sprintf("%016x-%x", ga.instance, ga.requestCount.Add(1))
}

// Ready returns an error if the load balancer should not send callers here.
func (ga *Gateway) Ready() error {
	if ga.stopping.Load() {
		return result.New(result.ShuttingDown, "gateway %s is shutting down", ga.cfg.Settings.Name)
	}

	return ga.group.CheckFresh()
}

// BeginShutdown makes Ready fail and has the leases released. New work is still accepted.
func (ga *Gateway) BeginShutdown() {
	if ga.stopping.CompareAndSwap(false, true) {
		close(ga.stopped)
	}
}
