// Package edge runs a gateway at the platform's edge: it has no disk, follows the
// controllers, and serves clients whose requests are routed by host and path.
package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/controller"
	"github.com/tamarackbay/tamarackbay/internal/feed"
	"github.com/tamarackbay/tamarackbay/internal/ingress"
	"github.com/tamarackbay/tamarackbay/internal/jobgate"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/routing"
	"github.com/tamarackbay/tamarackbay/internal/scheduler"
	"github.com/tamarackbay/tamarackbay/internal/settings"
	"github.com/tamarackbay/tamarackbay/internal/usage"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

const (
	// usagePeriod is how often counts are sent: what a lost gateway had not sent is
	// missing in the report.
	usagePeriod  = 500 * time.Millisecond
	usageTimeout = 900 * time.Millisecond
	// schedulerCandidates is the number of backend servers that are compared for a request.
	schedulerCandidates = 8
	// defaultMaxBodyBytes bounds a request before the first configuration tells its limit.
	defaultMaxBodyBytes = 32 << 20
)

// Config builds an Edge.
type Config struct {
	Settings    *settings.Node
	Controllers func() []string // peer addresses of the settings, which may change
	Peer        peer.Config
	Client      *backend.Client
	Now         func() time.Duration
	Meter       *meter.Meter
	Log         log.Interface
}

// Edge is a running gateway at the edge.
type Edge struct {
	cfg       Config
	links     *peer.Links
	follower  *feed.Follower
	balancer  *balance.Balancer
	ingress   *ingress.Ingress
	jobGate   *jobgate.Gate
	tally     *usage.Tally
	isClosing atomic.Bool
}

// New returns an edge that knows nothing yet.
func New(cfg Config) *Edge {
	ed := &Edge{
		cfg: cfg, links: peer.NewLinks(context.Background(), cfg.Peer),
		tally: usage.NewTally(cfg.Settings.Name, rand.Uint64(), cfg.Settings.UsageWindow),
	}
	ed.follower = feed.NewFollower(feed.Config{Links: ed.links, Seeds: cfg.Controllers, Log: cfg.Log})
	ed.balancer = balance.New(balance.Config{
		FailureDomain: cfg.Settings.FailureDomain, Scheduler: scheduler.Config{Choices: schedulerCandidates}, Now: cfg.Now, Random: rand.IntN, KeepIdle: cfg.Client.KeepIdle,
	})
	ed.ingress = ingress.New(ingress.Config{
		Table: ed.Table, Fresh: ed.fresh, Balancer: ed.balancer, Client: cfg.Client, Random: rand.Float64, Began: ed.tally.Count,
		Meter: cfg.Meter, Log: cfg.Log,
	})
	ed.jobGate = jobgate.New(jobgate.Config{
		Ingress: ed.ingress, Table: ed.Table, View: ed.follower.View, Changed: ed.follower.Changed, Links: ed.links,
		Meter: cfg.Meter, Log: cfg.Log,
	})

	return ed
}

// Ingress serves plain and streamed requests.
func (ed *Edge) Ingress() *ingress.Ingress { return ed.ingress }

// Gate serves what concerns batch jobs.
func (ed *Edge) Gate() *jobgate.Gate { return ed.jobGate }

// Table returns the configuration in force here, nil before the first one.
func (ed *Edge) Table() *routing.Table { return ed.follower.View().Table }

// MaxBodyBytes bounds a request of a client.
func (ed *Edge) MaxBodyBytes() int64 {
	if ta := ed.Table(); ta != nil && ta.Config().Limits.MaxBodyBytes > 0 {
		return int64(ta.Config().Limits.MaxBodyBytes)
	}

	return defaultMaxBodyBytes
}

// IsReady reports whether new clients may be sent here.
func (ed *Edge) IsReady() bool { return !ed.isClosing.Load() && ed.Table() != nil && ed.fresh() == nil }

// IsClosing reports whether clients should move their connections elsewhere.
func (ed *Edge) IsClosing() bool { return ed.isClosing.Load() }

// BeginShutdown makes the edge not ready, so that the balancer moves on.
func (ed *Edge) BeginShutdown() { ed.isClosing.Store(true) }

// fresh returns an error where keys must not be vouched for any more.
func (ed *Edge) fresh() error {
	bound := ed.cfg.Settings.FreshnessBound
	if bound <= 0 {
		return nil
	}
	age, ok := ed.follower.Age()
	if !ok || age > bound {
		return result.New(result.StaleProcess, "edge: nothing heard of the configuration for %v, the bound is %v", age.Round(time.Millisecond), bound)
	}

	return nil
}

// Run follows the controllers until ctx ends.
func (ed *Edge) Run(ctx context.Context) {
	defer ed.links.Close()

	var wg sync.WaitGroup
	wg.Go(func() { ed.follower.Run(ctx) })
	wg.Go(func() { ed.follower.EachView(ctx, func(vi *feed.View) { ed.balancer.Sync(vi.Servers) }) })
	wg.Go(func() { ed.sendUsageLoop(ctx) })
	wg.Wait()
}

// sendUsageLoop sends what was counted to the controllers.
func (ed *Edge) sendUsageLoop(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-time.After(usagePeriod):
		case <-ctx.Done():
		}
		ed.FlushUsage(context.WithoutCancel(ctx))
	}
}

// FlushUsage sends what was counted, to the first controller that records it.
func (ed *Edge) FlushUsage(ctx context.Context) {
	counters := ed.tally.Pending()
	if len(counters) == 0 {
		return
	}
	b, err := cbor.Marshal(usage.Fold{Counters: counters})
	if err != nil {
		ed.cfg.Log.WithError(err).Error("usage not encoded")

		return
	}

	targets := ed.follower.Controllers()
	first := rand.IntN(max(len(targets), 1))
	for i := range targets {
		a := targets[(first+i)%len(targets)]
		if ed.links.To(a).Session() == nil {
			continue
		}
		cctx, cancel := context.WithTimeout(ctx, usageTimeout)
		err = ed.links.Call(cctx, a, controller.MethodUsage, &wire.Payload{Record: b}, &wire.Empty{})
		cancel()
		if err == nil {
			ed.tally.Confirm(counters)

			return
		}
	}
	if err != nil {
		ed.cfg.Log.WithError(err).WithField("counters", len(counters)).Warn("usage not recorded yet")
	}
}

// Measure sets the gauges of what is believed here.
func (ed *Edge) Measure(me *meter.Meter) { ed.follower.Measure(me) }
