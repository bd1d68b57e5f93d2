// Package edge runs a gateway at the platform's edge. It has no disk, follows the
// controllers' feed, and serves clients whose requests are routed by host and path.
package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/controller"
	"github.com/tamarackbay/tamarackbay/internal/crashguard"
	"github.com/tamarackbay/tamarackbay/internal/fairshare"
	"github.com/tamarackbay/tamarackbay/internal/feed"
	"github.com/tamarackbay/tamarackbay/internal/headroom"
	"github.com/tamarackbay/tamarackbay/internal/ingress"
	"github.com/tamarackbay/tamarackbay/internal/intake"
	"github.com/tamarackbay/tamarackbay/internal/jobproxy"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/origin"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/permit"
	"github.com/tamarackbay/tamarackbay/internal/quarantine"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/routing"
	"github.com/tamarackbay/tamarackbay/internal/scheduler"
	"github.com/tamarackbay/tamarackbay/internal/settings"
	"github.com/tamarackbay/tamarackbay/internal/usage"
	"github.com/tamarackbay/tamarackbay/internal/workload"
)

const (
	// usagePeriod is the time between two sends of usage counters. If a gateway is
	// lost, the counts since its last send are missing from the usage report.
	usagePeriod = 500 * time.Millisecond
	// schedulerCandidates is the number of backend servers compared for each request.
	schedulerCandidates = 8
	// answerMemoryShare is the divisor of the process's memory that gives what buffered
	// answers may take.
	answerMemoryShare = 8
	// waitingMemoryShare is the divisor that gives what the bodies of requests that wait for a
	// slot may take.
	waitingMemoryShare = 16
	// defaultMaxBodyBytes limits a request's body where the configuration sets no
	// limit, or none has arrived yet.
	defaultMaxBodyBytes = 32 << 20
)

// Config configures an Edge.
type Config struct {
	Settings    *settings.Node
	Controllers func() []string // peer addresses from the settings, which may change
	Peer        peer.Config
	Client      *backend.Client
	Now         func() time.Duration
	Meter       *meter.Meter
	Log         log.Interface
}

// Edge is a running gateway at the edge.
type Edge struct {
	cfg         Config
	links       *peer.Links
	follower    *feed.Follower
	controllers *controller.Client
	permits     *permit.Holder
	shares      *fairshare.Holder
	balancer    *balance.Balancer
	origins     *origin.Book
	guard       *crashguard.Guard
	ingress     *ingress.Ingress
	jobProxy    *jobproxy.Proxy
	tally       *usage.Tally
	headroom    headroom.Gate
	isClosing   atomic.Bool // not ready, clients should reconnect elsewhere
	isClosed    atomic.Bool // new requests are refused
}

// New returns an edge without a configuration. Run fetches it from the controllers.
func New(cfg Config) *Edge {
	ed := &Edge{
		cfg: cfg, links: peer.NewLinks(context.Background(), cfg.Peer),
		tally: usage.NewTally(cfg.Settings.Name, rand.Uint64(), cfg.Settings.UsageWindow),
	}
	ed.follower = feed.NewFollower(feed.Config{Links: ed.links, Seeds: cfg.Controllers, Log: cfg.Log})
	ed.controllers = &controller.Client{Links: ed.links, Addresses: ed.follower.Controllers}
	ed.permits = permit.NewHolder(permit.Config{
		Name: cfg.Settings.Name, Ask: ed.controllers.AskPermits, Report: ed.controllers.ReportLimits, Processes: ed.follower.Processes,
		Now: cfg.Now, Random: rand.Float64, Meter: cfg.Meter, Log: cfg.Log,
	})
	ed.shares = fairshare.NewHolder(cfg.Settings.Name, time.Now().UnixMilli())
	ed.balancer = balance.New(balance.Config{
		FailureDomain: cfg.Settings.FailureDomain, Scheduler: scheduler.Config{Policy: scheduler.PolicyCompletion, RandomChoices: schedulerCandidates}, Now: cfg.Now, Random: rand.IntN, IdleTimeout: cfg.Client.IdleTimeout,
		Permits: ed.permits, ReportLeaving: ed.controllers.ReportLeaving, RegionOf: cfg.Settings.RegionOf, Meter: cfg.Meter, Log: cfg.Log,
	})
	ed.guard = crashguard.New(crashguard.Config{
		Entries: func() map[string]quarantine.Entry { return ed.follower.View().Quarantine.Entries },
		ReportCrash: func(ctx context.Context, cr quarantine.Crash) (rep quarantine.CrashReply, err error) {
			err = ed.controllers.Call(ctx, controller.MethodCrash, cr, &rep)

			return rep, err
		},
		Trial: func(ctx context.Context, tr quarantine.Trial) (rep quarantine.TrialReply, err error) {
			err = ed.controllers.Call(ctx, controller.MethodTrial, tr, &rep)

			return rep, err
		},
		EndTrial: func(ctx context.Context, en quarantine.EndTrial) error {
			return ed.controllers.Call(ctx, controller.MethodEndTrial, en, nil)
		},
		Processes: ed.follower.Processes,
		ReportCompletion: func(ctx context.Context, cl quarantine.ClearSuspect) error {
			return ed.controllers.Call(ctx, controller.MethodClearSuspect, cl, nil)
		},
		HasEnded: cfg.Client.HasEnded, Now: time.Now, Meter: cfg.Meter, Log: cfg.Log,
	})
	ed.origins = origin.NewBook(origin.Config{
		Connect: ed.controllers.ConnectOrigins, Find: ed.controllers.FindOrigin, Meter: cfg.Meter, Log: cfg.Log,
	})
	ed.ingress = ingress.New(ingress.Config{
		Table: ed.Table, Fresh: ed.fresh, Current: ed.current, Age: ed.follower.Age, Room: ed.room, Balancer: ed.balancer, Client: cfg.Client, Random: rand.Float64, OnStart: ed.tally.Count,
		Guard: ed.guard, Origins: ed.origins, Workload: workload.New(), BufferBytes: cfg.Settings.MemoryBytes / answerMemoryShare,
		Shares: ed.shares, Backlog: ed.backlog, MaxWaitingBytes: cfg.Settings.MemoryBytes / waitingMemoryShare, Now: cfg.Now, Meter: cfg.Meter, Log: cfg.Log,
	})
	ed.jobProxy = jobproxy.New(jobproxy.Config{
		Ingress: ed.ingress, Table: ed.Table, View: ed.follower.View, Changed: ed.follower.Changed, Links: ed.links,
		Balancer: ed.balancer, Region: cfg.Settings.OwnRegion(), RegionOf: cfg.Settings.RegionOf,
		Meter: cfg.Meter, Log: cfg.Log,
	})

	return ed
}

// backlog returns the outstanding work of all processes at a service, as far as it is known.
func (ed *Edge) backlog(service string) fairshare.Backlog {
	waiting, inFlight, perSecond := ed.balancer.Backlog(service)

	return fairshare.Backlog{Waiting: waiting, InFlight: inFlight, PerSecond: perSecond}
}

// Ingress serves plain and streamed requests.
func (ed *Edge) Ingress() *ingress.Ingress { return ed.ingress }

// JobProxy serves requests that concern batch jobs.
func (ed *Edge) JobProxy() *jobproxy.Proxy { return ed.jobProxy }

// Table returns the routing table of the configuration in force, or nil before the
// first configuration has arrived.
func (ed *Edge) Table() *routing.Table { return ed.follower.View().Table }

// Limits returns the limits of a client's request.
func (ed *Edge) Limits() intake.Limits {
	li := intake.Limits{BodyBytes: defaultMaxBodyBytes}
	if ta := ed.Table(); ta != nil {
		configured := ta.Config().Limits
		li.HeadBytes = int64(configured.MaxHeaderBytes)
		if configured.MaxBodyBytes > 0 {
			li.BodyBytes = int64(configured.MaxBodyBytes)
		}
	}

	return li
}

// FilesLimit returns how many file descriptors this process may open, 0 if that is not known.
func (ed *Edge) FilesLimit() int { return ed.use().FilesLimit }

// use returns what this process uses and may use.
func (ed *Edge) use() headroom.Use {
	use := headroom.OfProcess(ed.cfg.Settings.MemoryBytes)
	if n := ed.cfg.Settings.MaxFiles; n > 0 && (use.FilesLimit == 0 || n < use.FilesLimit) {
		use.FilesLimit = n
	}

	return use
}

// IsReady reports whether the load balancer may send new clients to this edge.
func (ed *Edge) IsReady() bool {
	return !ed.isClosing.Load() && ed.Table() != nil && ed.fresh() == nil && ed.headroom.IsReady()
}

// IsClosing reports whether this edge is shutting down and clients should reconnect
// to another one.
func (ed *Edge) IsClosing() bool { return ed.isClosing.Load() }

// BeginShutdown makes the edge not ready, so that the load balancer picks another one.
func (ed *Edge) BeginShutdown() { ed.isClosing.Store(true) }

// StopAdmission refuses all requests that arrive from now on. What is running goes on.
func (ed *Edge) StopAdmission() { ed.isClosed.Store(true) }

// closedRetryAfter is sent with refusals of a gateway that is about to end. The client's next
// connection reaches another one.
const closedRetryAfter = 50 * time.Millisecond

// room returns an error if this edge can take no further request.
func (ed *Edge) room() error {
	if ed.isClosed.Load() {
		return result.New(result.ServerDraining, "edge: the gateway is shutting down").WithRetryAfter(closedRetryAfter)
	}

	return ed.headroom.Check()
}

// fresh returns an error if the configuration is too stale to verify keys, or if this process is behind
// the controllers: another gateway knows what this one may lack.
func (ed *Edge) fresh() error {
	age, ok := ed.follower.Age()
	if bound := ed.cfg.Settings.FreshnessBound; bound > 0 && (!ok || age > bound) {
		return result.New(result.StaleProcess, "edge: no confirmation of the configuration for %v, the freshness bound is %v", age.Round(time.Millisecond), bound)
	}
	if bound := ed.cfg.Settings.ApplyBound; bound > 0 && ed.follower.Standing(bound) == feed.Lagging {
		return ed.unconfirmed().WithRetryAfter(laggingRetryAfter)
	}

	return nil
}

// laggingRetryAfter is sent with refusals of a gateway that is behind the controllers. The client's next
// connection mostly reaches another one.
const laggingRetryAfter = 100 * time.Millisecond

// current returns an error if a configuration that must be in force by now may not have arrived. Changes of
// backend servers come the same way.
func (ed *Edge) current() error {
	if bound := ed.cfg.Settings.ApplyBound; bound <= 0 || ed.follower.Standing(bound) == feed.Confirmed {
		return nil
	}

	return ed.unconfirmed()
}

func (ed *Edge) unconfirmed() *result.Error {
	age, _ := ed.follower.Age()

	return result.New(result.StaleProcess, "edge: no confirmation of the configuration for %v, a newer one must be in force after %v",
		age.Round(time.Millisecond), ed.cfg.Settings.ApplyBound)
}

// Run follows the controllers until ctx ends.
func (ed *Edge) Run(ctx context.Context) {
	defer ed.links.Close()

	var wg sync.WaitGroup
	wg.Go(func() { ed.follower.Run(ctx) })
	wg.Go(func() {
		ed.follower.EachView(ctx, func(vi *feed.View) {
			ed.guard.ObserveServers(vi.Servers)
			ed.permits.SetCold(vi.Cold(ed.cfg.Now())) // before a cold backend server can be picked
			ed.balancer.SetEvacuated(vi.Evacuated)
			ed.balancer.Sync(vi.Servers)
			ed.permits.Apply(vi.Limits)
			ed.origins.SetControllers(ed.follower.Controllers())
		})
	})
	wg.Go(func() { ed.sendUsageLoop(ctx) })
	wg.Go(func() { ed.guard.Run(ctx) })
	wg.Go(func() { ed.permits.Run(ctx) })
	wg.Go(func() { ed.balancer.Run(ctx) })
	wg.Go(func() { ed.controllers.RunShares(ctx, ed.shares, ed.cfg.Now, ed.cfg.Log) })
	wg.Go(func() { ed.origins.Run(ctx) })
	wg.Go(func() { ed.observeHeadroom(ctx) })
	wg.Wait()
}

// headroomPeriod is how often the use of memory and descriptors is read: a part of the time in
// which a balancer learns that a gateway is not ready.
const headroomPeriod = 250 * time.Millisecond

// observeHeadroom reads the use of memory and descriptors until ctx ends.
func (ed *Edge) observeHeadroom(ctx context.Context) {
	for ctx.Err() == nil {
		use := ed.use()
		if ed.headroom.Observe(use) {
			ed.cfg.Log.WithFields(log.Fields{
				"memoryBytes": use.Memory, "memoryLimit": use.MemoryLimit, "files": use.Files, "filesLimit": use.FilesLimit,
				"ready": ed.headroom.IsReady(), "refusing": ed.headroom.Check() != nil,
			}).Warn("readiness by the use of memory and file descriptors changed")
		}
		select {
		case <-time.After(headroomPeriod):
		case <-ctx.Done():
		}
	}
}

// sendUsageLoop sends pending usage counters to the controllers every usagePeriod,
// and once more after ctx has ended.
func (ed *Edge) sendUsageLoop(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-time.After(usagePeriod):
		case <-ctx.Done():
		}
		ed.FlushUsage(context.WithoutCancel(ctx))
	}
}

// FlushUsage sends the pending usage counters to the controllers.
func (ed *Edge) FlushUsage(ctx context.Context) {
	counters := ed.tally.Pending()
	if len(counters) == 0 {
		return
	}
	if err := ed.controllers.Call(ctx, controller.MethodUsage, usage.AddCounters{Counters: counters}, nil); err != nil {
		ed.cfg.Log.WithError(err).WithField("counters", len(counters)).Warn("no controller recorded the usage counters, they will be sent again")

		return
	}
	ed.tally.Confirm(counters)
}

// Measure sets the gauges of this edge's view of the configuration and the servers.
func (ed *Edge) Measure(me *meter.Meter) {
	ed.follower.Measure(me)
	ed.ingress.Measure()
}
