// Package agent implements the process that runs next to one backend server. It
// announces the server to the gateways, forwards requests to it, verifies its weight
// version, refuses orders with an old fencing number and attempts that it has
// already received, counts usage and drains the server.
package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/engine"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/plainservice"
	"github.com/tamarackbay/tamarackbay/internal/pool"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// Methods that an agent calls on gateways.
const (
	MethodAnnounce = "server.announce"
	MethodLoad     = "server.load"
	MethodUsage    = "server.usage"
	MethodCrash    = "server.crash"
	MethodFencing  = "server.fencing"
)

// Methods that gateways call on an agent.
const (
	MethodRun     = "agent.run"
	MethodForward = "agent.forward"
	MethodOrder   = "agent.order"
)

// Periods, timeouts and limits of the agent's background loops.
const (
	statusPeriod      = 100 * time.Millisecond
	statusTimeout     = 500 * time.Millisecond
	maxStatusFailures = 3 // consecutive failed polls after which a started backend server is suspect
	loadPeriod        = 500 * time.Millisecond
	usagePeriod       = time.Second
	callTimeout       = 2 * time.Second
	fencingPeriod     = 200 * time.Millisecond
)

// Config describes the backend server and the gateways that the agent reports to.
type Config struct {
	Server        string
	Class         string
	Model         string // set if the backend server is an engine
	Service       string // set if the backend server is a plain service
	Address       string // of the backend server, an IP number with a port
	Bind          string // IP number to dial from
	FailureDomain string
	Slots         int
	ChecksFencing bool
	Order         string // ID of the order that started the backend server, if known
	Gateways      []string
	Peer          peer.Config
	Log           log.Interface
	Meter         *meter.Meter
	WallSeconds   func() int64
}

// Agent runs next to one backend server and serves the gateways' calls to it.
type Agent struct {
	cfg         Config
	incarnation uint64
	engine      *engine.Client
	service     *plainservice.Client
	links       []*peer.Link
	reportNow   []chan struct{} // one per link; triggers a load report at once
	usage       *counters
	attempts    *attemptGuard
	fencing     *fencingNumbers

	mu             sync.Mutex
	state          string
	status         engine.Status
	versionKnown   bool
	swapping       bool
	draining       bool
	paused         bool
	failures       int
	inFlight       map[*inFlightRequest]struct{}
	idle           chan struct{} // closed and replaced when the last request in flight ends
	suspectSlot    chan struct{} // semaphore of size 1: at most one suspect request runs at a time
	crash          *crashReport  // of the current instance of the backend server
	sequence       uint64
	cachePositions map[*peer.Session]uint64 // sequence number of the last cache event sent in a session
}

// inFlightRequest holds what is recorded of a request while it runs.
type inFlightRequest struct {
	fingerprint string
	isSuspect   bool
	versions    map[string]struct{} // weight versions that may have been served since the request began
}

// New returns an agent.
func New(cfg Config) *Agent {
	ag := &Agent{
		cfg: cfg, incarnation: rand.Uint64(), state: pool.StateStarting, usage: newCounters(), attempts: newAttemptGuard(),
		fencing: newFencingNumbers(), inFlight: map[*inFlightRequest]struct{}{}, idle: make(chan struct{}),
		suspectSlot: make(chan struct{}, 1), crash: newCrashReport(), cachePositions: map[*peer.Session]uint64{},
	}
	if cfg.Model != "" {
		ag.engine = engine.New(cfg.Address, cfg.Bind)
	} else {
		ag.service = plainservice.New(cfg.Address, cfg.Bind)
	}
	pc := cfg.Peer
	pc.Mux = peer.Mux{MethodRun: ag.handleRun, MethodForward: ag.handleForward, MethodOrder: ag.handleOrder}
	for i, a := range cfg.Gateways {
		ag.reportNow = append(ag.reportNow, make(chan struct{}, 1))
		ag.links = append(ag.links, peer.NewLink(a, pc, func(*peer.Session) { ag.reportTo(i) }))
	}

	return ag
}

// Run connects to the gateways and serves until ctx is done. Call Drain first for a
// graceful shutdown.
func (ag *Agent) Run(ctx context.Context) {
	var wg sync.WaitGroup
	start := func(loop func(context.Context)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			loop(ctx)
		}()
	}
	for i, li := range ag.links {
		start(li.Run)
		start(func(ctx context.Context) { ag.reportLoop(ctx, i) })
	}
	start(ag.statusLoop)
	start(ag.usageLoop)
	start(ag.fencingLoop)
	wg.Wait()
}

// Drain refuses new requests, waits for those in flight and sends the remaining
// usage counters.
func (ag *Agent) Drain(ctx context.Context) {
	ag.mu.Lock()
	ag.draining = true
	ag.mu.Unlock()
	ag.reportToAll()

	if err := ag.waitIdle(ctx); err != nil {
		ag.cfg.Log.WithError(err).Warn("requests were still running at the end of the drain")
	}
	ag.sendUsage(ctx)
}

// reportTo triggers a load report to gateway i.
func (ag *Agent) reportTo(i int) {
	select {
	case ag.reportNow[i] <- struct{}{}:
	default:
	}
}

func (ag *Agent) reportToAll() {
	for i := range ag.reportNow {
		ag.reportTo(i)
	}
}

// statusLoop polls the backend server's status.
func (ag *Agent) statusLoop(ctx context.Context) {
	for ctx.Err() == nil {
		ag.pollStatus(ctx)
		select {
		case <-time.After(statusPeriod):
		case <-ctx.Done():
		}
	}
}

func (ag *Agent) pollStatus(ctx context.Context) {
	cctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()

	if ag.engine == nil {
		ag.applyStatus(engine.Status{State: engine.StateReady}, ag.service.Healthy(cctx))

		return
	}
	st, err := ag.engine.Status(cctx)
	ag.applyStatus(st, err == nil)
}

// applyStatus applies the result of a poll. A change of state or version is reported
// to the gateways at once.
func (ag *Agent) applyStatus(st engine.Status, ok bool) {
	ag.mu.Lock()
	before := ag.state
	switch {
	case !ok:
		ag.failures++
		if ag.failures >= maxStatusFailures && ag.state != pool.StateStarting {
			ag.state = pool.StateSuspect
		}
	case st.State == engine.StateReady:
		ag.failures, ag.state = 0, pool.StateReady
	default:
		ag.failures, ag.state = 0, pool.StateStarting
	}
	changed := ag.state != before
	if ok {
		changed = changed || st.Version != ag.status.Version || st.LoadedVersion != ag.status.LoadedVersion
		if st.Instance != ag.status.Instance {
			ag.crash = newCrashReport()
		}
		ag.recordVersion(st.Version)
		ag.status = st
		ag.versionKnown = st.State == engine.StateReady && st.Version != "" && !ag.swapping
	} else {
		ag.versionKnown = false
	}
	ag.mu.Unlock()

	if changed {
		ag.reportToAll()
	}
}

// recordVersion records for every request in flight that a part of its answer may
// come from version. The caller holds ag.mu.
func (ag *Agent) recordVersion(version string) {
	for w := range ag.inFlight {
		if version != "" && version != ag.status.Version {
			w.versions[version] = struct{}{}
		}
	}
}

// reportLoop announces the backend server to gateway i once per session and
// reports its load periodically.
func (ag *Agent) reportLoop(ctx context.Context, i int) {
	var announced *peer.Session
	period := loadPeriod
	timer := time.NewTimer(0)
	defer timer.Stop()

	for {
		select {
		case <-timer.C:
		case <-ag.reportNow[i]:
		case <-ctx.Done():
			return
		}
		timer.Reset(period)

		se := ag.links[i].Session()
		if se == nil {
			announced = nil

			continue
		}
		if se != announced && ag.announce(ctx, se) == nil {
			announced = se
		}
		if se == announced {
			period = ag.report(ctx, se)
			timer.Reset(period)
		}
	}
}

func (ag *Agent) announce(ctx context.Context, se *peer.Session) error {
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	var rep wire.AnnounceReply
	err := se.Call(cctx, MethodAnnounce, &wire.Announce{
		Server: ag.cfg.Server, Incarnation: ag.incarnation, Class: ag.cfg.Class, Model: ag.cfg.Model,
		Service: ag.cfg.Service, FailureDomain: ag.cfg.FailureDomain, Slots: uint32(ag.cfg.Slots),
		ChecksFencing: ag.cfg.ChecksFencing, Order: ag.cfg.Order,
	}, &rep)
	if err != nil {
		return err
	}
	ag.setWindowLength(rep.GetWindowSeconds())

	return nil
}

// report sends the load and returns the time until the next report, as set by the
// gateway.
func (ag *Agent) report(ctx context.Context, se *peer.Session) time.Duration {
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	lo := ag.loadReport()
	if ag.engine != nil {
		lo.CacheEvents = ag.cacheEvents(cctx, se)
	}
	var rep wire.LoadReply
	if err := se.Call(cctx, MethodLoad, lo, &rep); err != nil {
		return loadPeriod
	}
	ag.setWindowLength(rep.GetWindowSeconds())
	ag.recordCachePosition(se, lo.GetCacheEvents(), rep.GetResync())

	return max(loadPeriod, time.Duration(rep.GetPeriodMs())*time.Millisecond)
}

func (ag *Agent) loadReport() *wire.Load {
	sessions := 0
	for _, li := range ag.links {
		if li.Session() != nil {
			sessions++
		}
	}

	ag.mu.Lock()
	defer ag.mu.Unlock()

	ag.sequence++
	lo := &wire.Load{
		Server: ag.cfg.Server, Incarnation: ag.incarnation, Sequence: ag.sequence, State: ag.state,
		Version: ag.status.Version, LoadedVersion: ag.status.LoadedVersion, Running: uint32(len(ag.inFlight)),
		Queued: ag.status.Queued, Gateways: uint32(sessions),
	}
	switch {
	case ag.draining:
		lo.State = pool.StateDraining
	case ag.paused:
		lo.State = pool.StateStarting
	}
	if ag.engine != nil && !ag.versionKnown && lo.State == pool.StateReady && !ag.swapping {
		lo.Version = ""
	}

	return lo
}

// register registers a request in flight. It returns false while the agent drains or
// is paused for a swap.
func (ag *Agent) register(w *inFlightRequest) bool {
	ag.mu.Lock()
	defer ag.mu.Unlock()

	if ag.draining || ag.paused {
		return false
	}
	w.versions = map[string]struct{}{}
	ag.inFlight[w] = struct{}{}

	return true
}

// unregister removes a request from those in flight.
func (ag *Agent) unregister(w *inFlightRequest) {
	ag.mu.Lock()
	defer ag.mu.Unlock()

	delete(ag.inFlight, w)
	if len(ag.inFlight) == 0 {
		close(ag.idle)
		ag.idle = make(chan struct{})
	}
}
