// Package jobstore runs a process that stores batch jobs. It consists of a replica of
// the store group, the handlers for calls from gateways, and the driver that executes
// items while this replica is the leader.
package jobstore

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/semaphore"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/controller"
	"github.com/tamarackbay/tamarackbay/internal/fairshare"
	"github.com/tamarackbay/tamarackbay/internal/feed"
	"github.com/tamarackbay/tamarackbay/internal/group"
	"github.com/tamarackbay/tamarackbay/internal/job"
	"github.com/tamarackbay/tamarackbay/internal/jobdriver"
	"github.com/tamarackbay/tamarackbay/internal/jobproxy"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/permit"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/roster"
	"github.com/tamarackbay/tamarackbay/internal/scheduler"
	"github.com/tamarackbay/tamarackbay/internal/settings"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/storage"
	"github.com/tamarackbay/tamarackbay/internal/wire"
	"github.com/tamarackbay/tamarackbay/internal/workload"
)

const (
	// announcePeriod is how often a store announces itself to the controllers.
	announcePeriod = 500 * time.Millisecond
	// announceTimeout bounds the calls of one announcement.
	announceTimeout = 500 * time.Millisecond
	// answersShare is the divisor of the store's memory that gives the large answers to gateways that are
	// sent at once: each takes some times its size. Answers above largeAnswerBytes are large.
	answersShare     = 64
	largeAnswerBytes = 64 << 10
)

// Config holds the settings and dependencies of a Store.
type Config struct {
	Settings    *settings.Node
	Controllers func() []string // peer addresses from the settings, which may change
	Files       storage.Files
	Peer        peer.Config
	Client      *backend.Client
	Now         func() time.Duration // monotonic; continues while the process is suspended
	WallMs      func() int64
	Meter       *meter.Meter
	Log         log.Interface
}

// Store is a running process that stores batch jobs.
type Store struct {
	cfg           Config
	group         *group.Group
	links         *peer.Links
	follower      *feed.Follower
	balancer      *balance.Balancer
	permits       *permit.Holder
	shares        *fairshare.Holder
	controllers   *controller.Client
	synced        atomic.Pointer[feed.View] // that the balancer was given last
	driver        *jobdriver.Driver
	watch         *watch
	admission     *admission
	answers       *semaphore.Weighted // bounds the large answers that are sent at once, to answersBytes
	answersBytes  int64
	statusChanged chan struct{} // holds an element after a change of the group's status
}

// New returns a store and loads the identity of its replica. Its handlers may be
// served before Run is called.
func New(cfg Config) (*Store, error) {
	no := cfg.Settings
	st := &Store{cfg: cfg, statusChanged: make(chan struct{}, 1), links: peer.NewLinks(context.Background(), cfg.Peer)}
	st.admission = newAdmission(no.MemoryBytes, cfg.Meter, cfg.Log)
	st.answersBytes = cmp.Or(no.MemoryBytes/answersShare, largeAnswerBytes)
	st.answers = semaphore.NewWeighted(st.answersBytes)
	st.follower = feed.NewFollower(feed.Config{Links: st.links, Seeds: cfg.Controllers, OwnAddress: no.PeerAddress, Log: cfg.Log})
	var err error
	st.group, err = group.New(group.Config{
		Name: no.Name, Address: no.PeerAddress, FailureDomain: no.FailureDomain, DataFolder: no.DataFolder, Peer: cfg.Peer,
		Files: cfg.Files, Election: settings.NodeElection, Heartbeat: settings.NodeHeartbeat, FreshnessBound: time.Hour,
		ReplaceAfter: settings.NodeReplaceAfter, TargetVoters: no.Voters(), MaxSpares: max(no.ToleratedFailures, 1), CandidateAddresses: st.candidateAddresses, Formation: st.formation, AddressOf: st.addressOf,
		IsRetiring: st.isRetiring, WallMs: cfg.WallMs, Log: cfg.Log, OnStatus: st.onStatus,
		RecordPause: func(d time.Duration) { cfg.Meter.RecordDuration("group.loopPause", d) },
	})
	if err != nil {
		return nil, err
	}
	st.shares = fairshare.NewHolder(no.Name, time.Now().UnixMilli())
	st.controllers = &controller.Client{Links: st.links, Addresses: st.follower.Controllers}
	st.permits = permit.NewHolder(permit.Config{
		Name: no.Name, Ask: st.controllers.AskPermits, Report: st.controllers.ReportLimits, Processes: st.follower.Processes,
		Now: cfg.Now, Random: rand.Float64, Meter: cfg.Meter, Log: cfg.Log,
	})
	st.balancer = balance.New(balance.Config{
		FailureDomain: no.FailureDomain, Scheduler: scheduler.Config{Policy: scheduler.PolicyCompletion, RandomChoices: schedulerChoices}, Now: cfg.Now, Random: rand.IntN, IdleTimeout: cfg.Client.IdleTimeout,
		Permits: st.permits, ReportLeaving: st.controllers.ReportLeaving, RegionOf: no.RegionOf, Meter: cfg.Meter, Log: cfg.Log,
	})
	st.watch = newWatch(func(f func(le *job.Ledger)) {
		st.group.Read(func(ma *statemachine.Machine) { f(ma.Jobs()) })
	})
	st.driver = jobdriver.New(jobdriver.Config{
		Group: st.group, View: st.follower.View, Changed: st.follower.Changed, Standing: st.standing, IsSynced: st.isSynced, Balancer: st.balancer, Client: cfg.Client,
		Shares: st.shares, Random: rand.Float64, Workload: workload.New(), Now: cfg.Now, Meter: cfg.Meter, Log: cfg.Log,
	})

	return st, nil
}

// schedulerChoices is high enough that every backend server of a large deployment is
// a candidate for each item, as one process places all items.
const schedulerChoices = 256

// standing returns the standing of the view by which items are placed.
func (st *Store) standing() feed.Standing {
	bound := st.cfg.Settings.ApplyBound
	if bound <= 0 {
		return feed.Confirmed
	}

	return st.follower.Standing(bound)
}

// isSynced reports whether the balancer has been given the current view.
func (st *Store) isSynced() bool { return st.synced.Load() == st.follower.View() }

func (st *Store) candidateAddresses() []string {
	var out []string
	for _, so := range st.follower.View().Stores {
		out = append(out, so.Address)
	}

	return out
}

func (st *Store) formation() []consensus.ReplicaID {
	var out []consensus.ReplicaID
	for _, id := range st.follower.View().Formation {
		out = append(out, consensus.ReplicaID(id))
	}

	return out
}

func (st *Store) addressOf(id consensus.ReplicaID) string {
	for _, so := range st.follower.View().Stores {
		if so.Replica == string(id) {
			return so.Address
		}
	}

	return ""
}

func (st *Store) isRetiring(name string) bool {
	return slices.ContainsFunc(st.follower.View().Stores, func(so feed.Store) bool { return so.Name == name && so.Retiring })
}

func (st *Store) onStatus(group.Status) {
	select {
	case st.statusChanged <- struct{}{}:
	default:
	}
}

// Run runs the replica, its announcements and the driver until ctx ends.
func (st *Store) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer st.links.Close()
	defer cancel()

	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { st.follower.Run(ctx) })
	wg.Go(func() { st.announceLoop(ctx) })
	wg.Go(func() { st.driver.Run(ctx) })
	wg.Go(func() { st.watch.run(ctx, st.group.Applied) })
	wg.Go(func() { st.permits.Run(ctx) })
	wg.Go(func() { st.balancer.Run(ctx) })
	wg.Go(func() { st.controllers.RunShares(ctx, st.shares, st.cfg.Now, st.cfg.Log) })
	wg.Go(func() {
		st.follower.EachView(ctx, func(vi *feed.View) {
			st.permits.SetCold(vi.Cold(st.cfg.Now())) // before a cold backend server can be picked
			st.balancer.SetEvacuated(vi.Evacuated)
			st.balancer.Sync(vi.Servers)
			st.permits.Apply(vi.Limits)
			st.synced.Store(vi)
			st.driver.Wake()
		})
	})
	err := st.group.Run(ctx)
	cancel()

	return err
}

// HandOver transfers the leadership before the process stops.
func (st *Store) HandOver(ctx context.Context) { st.group.TransferLeadership(ctx) }

// announceLoop announces this store to every controller, periodically and after each
// change of its status.
func (st *Store) announceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		st.announce(ctx)
		select {
		case <-st.statusChanged:
		case <-time.After(announcePeriod):
		case <-ctx.Done():
		}
	}
}

func (st *Store) announce(ctx context.Context) {
	gs := st.group.Status()
	an := controller.Announcement{
		Member: roster.Member{
			Name: st.cfg.Settings.Name, Replica: st.group.Replica(), Address: st.cfg.Settings.PeerAddress,
			FailureDomain: st.cfg.Settings.FailureDomain,
		},
		Leads: gs.Role == consensus.RoleLeader.String(), Term: gs.Term,
	}
	if an.Leads {
		an.Members, an.Voters = gs.Membership.All(), len(gs.Membership.Voters)
		an.Running, an.Demand = st.driver.Running(), st.driver.Demand()
	}
	b, err := cbor.Marshal(an)
	if err != nil {
		st.cfg.Log.WithError(err).Error("announcement to the controllers not encoded")

		return
	}

	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, a := range st.follower.Controllers() {
		wg.Go(func() {
			// A missed announcement is covered by the next one, and the link reports a lost session.
			_ = st.links.Call(ctx, a, controller.MethodAnnounce, &wire.Payload{Record: b}, &wire.Empty{})
		})
	}
	wg.Wait()
}

// Handlers returns the handlers for calls from other processes of this system.
func (st *Store) Handlers() peer.Mux {
	mux := st.group.Handlers()
	mux[jobproxy.MethodSubmit] = handle(st, st.submit)
	mux[jobproxy.MethodEnd] = handle(st, func(ctx context.Context, en *job.End) (any, error) {
		if err := st.group.ProposeLocal(ctx, statemachine.KindEndJob, en, nil); err != nil {
			return nil, err
		}
		st.cfg.Log.WithField("job", en.Job).Info("job ended")

		return nil, nil
	})
	mux[jobproxy.MethodRead] = handleLocally(st, st.readEnded, st.read)
	mux[jobproxy.MethodBody] = handleLocally(st, st.bodyOfEnded, st.body)

	return mux
}

// handle returns a handler that decodes the record of a call, calls f if this store is
// the leader, and encodes the answer.
func handle[T any](st *Store, f func(ctx context.Context, in *T) (any, error)) peer.Handler {
	return handleLocally(st, func(*T) (any, bool) { return nil, false }, f)
}

// handleLocally is handle, where answer is asked first, on any store. It returns false if the state of this
// store alone does not decide the answer.
func handleLocally[T any](st *Store, answer func(in *T) (any, bool), f func(ctx context.Context, in *T) (any, error)) peer.Handler {
	return func(ctx context.Context, sm *peer.Stream) error {
		var in T
		if err := sm.RequestRecord(&in); err != nil {
			return err
		}
		out, ok := answer(&in)
		if !ok {
			if !st.group.IsLeader() {
				return result.New(result.NotLeader, "jobstore: this store is not the leader of the store group")
			}
			var err error
			if out, err = f(ctx, &in); err != nil {
				return err
			}
		}
		n := answerBytes(out)
		if n <= largeAnswerBytes {
			b, err := cbor.Marshal(out)
			if err != nil {
				return result.New(result.Internal, "jobstore: encode the answer: %v", err)
			}

			return sm.Reply(&wire.Payload{Record: b})
		}

		return st.sendLarge(ctx, sm, out, n)
	}
}

// answerBytes returns the size of the texts and bodies in an answer.
func answerBytes(out any) int64 {
	switch v := out.(type) {
	case []byte:
		return int64(len(v))
	case *job.Page:
		n := int64(0)
		for i := range v.Results {
			n += int64(len(v.Results[i].Text))
		}

		return n
	}

	return 0
}

// sendLarge sends a large answer once there is room for its copies. Small ones never wait for it.
func (st *Store) sendLarge(ctx context.Context, sm *peer.Stream, out any, bytes int64) error {
	bytes = min(bytes, st.answersBytes)
	if err := st.answers.Acquire(ctx, bytes); err != nil {
		return result.New(result.ProcessOverloaded, "jobstore: other large answers are being sent: %v", err).WithRetryAfter(fullRetryAfter)
	}
	defer st.answers.Release(bytes)

	b, err := cbor.Marshal(out)
	if err != nil {
		return result.New(result.Internal, "jobstore: encode the answer: %v", err)
	}

	return sm.Send(&wire.Payload{Record: b})
}

// barrierTimeout bounds the confirmation that this store is still the leader.
const barrierTimeout = 700 * time.Millisecond

func (st *Store) barrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()

	return st.group.Barrier(ctx)
}

// ended returns a job that has ended, nil if this store does not hold it as such. An ended job never
// changes, so that any store may answer without the leader.
func ended(ma *statemachine.Machine, id, workspace string) *job.Job {
	jo, err := ma.Jobs().Get(id, workspace)
	if err != nil || jo.IsOpen() {
		return nil
	}

	return jo
}

// readEnded returns results of a job that has ended here.
func (st *Store) readEnded(rd *job.Read) (any, bool) {
	var pa *job.Page
	st.group.Read(func(ma *statemachine.Machine) {
		if jo := ended(ma, rd.Job, rd.Workspace); jo != nil {
			pa = jo.Page(rd.From)
		}
	})

	return pa, pa != nil
}

// bodyOfEnded returns the body of an item of a job that has ended here without its result.
func (st *Store) bodyOfEnded(rq *jobproxy.BodyRequest) (any, bool) {
	var b []byte
	found := false
	st.group.Read(func(ma *statemachine.Machine) {
		if jo := ended(ma, rq.Job, rq.Workspace); jo != nil {
			var err error
			b, err = jo.Body(rq.Item)
			found = err == nil
		}
	})

	return b, found
}

// read returns results of a job. If there are none yet, it waits up to rd.Wait for the
// first one.
func (st *Store) read(ctx context.Context, rd *job.Read) (any, error) {
	deadline := time.Now().Add(rd.Wait)
	for {
		if err := st.barrier(ctx); err != nil {
			return nil, err
		}
		changed := st.watch.changed(rd.Job)
		var pa *job.Page
		var jerr error
		st.group.Read(func(ma *statemachine.Machine) {
			var jo *job.Job
			if jo, jerr = ma.Jobs().Get(rd.Job, rd.Workspace); jerr == nil {
				pa = jo.Page(rd.From)
			}
		})
		left := time.Until(deadline)
		if jerr != nil {
			return nil, jerr
		}
		if len(pa.Results) > 0 || left <= 0 {
			return pa, nil
		}

		// The barrier runs again only after this job has new results.
		if err := st.awaitResults(ctx, rd, changed, left); err != nil {
			return nil, err
		}
	}
}

// awaitResults waits until the job has results beyond the position or can't be read,
// or until the time left has passed.
func (st *Store) awaitResults(ctx context.Context, rd *job.Read, changed <-chan struct{}, left time.Duration) error {
	timer := time.NewTimer(left)
	defer timer.Stop()

	for {
		select {
		case <-changed:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return result.New(result.DeadlinePassed, "jobstore: the reader cancelled or its deadline passed while waiting for results")
		}
		changed = st.watch.changed(rd.Job)
		hasResults := false
		st.group.Read(func(ma *statemachine.Machine) {
			jo, err := ma.Jobs().Get(rd.Job, rd.Workspace)
			hasResults = err != nil || len(jo.Results) > rd.From
		})
		if hasResults {
			return nil
		}
	}
}

func (st *Store) body(ctx context.Context, rq *jobproxy.BodyRequest) (any, error) {
	if err := st.barrier(ctx); err != nil {
		return nil, err
	}

	var b []byte
	var err error
	st.group.Read(func(ma *statemachine.Machine) {
		var jo *job.Job
		if jo, err = ma.Jobs().Get(rq.Job, rq.Workspace); err != nil {
			return
		}
		b, err = jo.Body(rq.Item)
	})

	return b, err
}

// Group returns the replica of the store group.
func (st *Store) Group() *group.Group { return st.group }

// Measure sets the gauges of this process.
func (st *Store) Measure(me *meter.Meter) {
	st.follower.Measure(me)
	st.group.Measure(me)
	st.driver.Measure(me)
	var us job.Use
	st.group.Read(func(ma *statemachine.Machine) { us = ma.Jobs().Use("") })
	me.Gauge("jobs.bytes", int64(us.Total))
	me.Gauge("jobs.submittedBytes", int64(us.Submitted))
	me.Gauge("jobs.limitBytes", int64(st.admission.maxTotal))
	me.Gauge("jobs.submittedLimitBytes", int64(st.admission.maxSubmitted))
}
