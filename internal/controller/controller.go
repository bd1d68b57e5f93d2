// Package controller runs a process of the control plane: a replica of the
// configuration, leases and weight versions, the registry of backend servers, the
// feed that sends this state to all other processes, and the work under leases.
package controller

import (
	"context"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/feed"
	"github.com/tamarackbay/tamarackbay/internal/group"
	"github.com/tamarackbay/tamarackbay/internal/lease"
	"github.com/tamarackbay/tamarackbay/internal/leasedtask"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/origin"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/permit"
	"github.com/tamarackbay/tamarackbay/internal/quarantine"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/roster"
	"github.com/tamarackbay/tamarackbay/internal/routing"
	"github.com/tamarackbay/tamarackbay/internal/settings"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/storage"
	"github.com/tamarackbay/tamarackbay/internal/usage"
	"github.com/tamarackbay/tamarackbay/internal/weights"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

const (
	// freshnessBound is the maximum age of the replicated state on which a lease holder acts.
	freshnessBound = 2 * time.Second
	// maxMissedHeartbeats is the number of heartbeats that a backend server may miss
	// before it counts as silent; some heartbeats arrive seconds late.
	maxMissedHeartbeats = 4
	// forwardTimeout limits the call that passes notices on to another controller.
	forwardTimeout = time.Second
	// formationTimeout is how long the first formation of the store group waits for as
	// many stores as the group should have voters. After it the known stores form the
	// group.
	formationTimeout = 5 * time.Second
	// originFolder is the folder for the origins of streams inside the data folder.
	originFolder = "origins"
	// storeTimeout is the silence after which a store no longer counts as leader.
	storeTimeout = 3 * time.Second
)

// Methods that other processes of the system call.
const (
	methodHeartbeats  = "controller.beats"
	methodIncarnation = "controller.incarnation"
	MethodAnnounce    = "controller.announce" // called by stores
	// Called by gateways.
	MethodUsage        = "controller.usage"
	MethodCrash        = "controller.crash"
	MethodClearSuspect = "controller.clearSuspect"
	MethodTrial        = "controller.trial"
	MethodEndTrial     = "controller.endTrial"
	MethodLeaving      = "controller.leaving" // also called by stores
)

// Config builds a Controller.
type Config struct {
	Settings    *settings.Node
	Controllers func() []string // peer addresses in the settings, which may change
	Files       storage.Files
	Peer        peer.Config
	Client      *backend.Client
	// ReportUsage sends the report of a usage window; nil disables reporting.
	ReportUsage func(ctx context.Context, holder string, fencing uint64, re usage.Report) error
	Now         func() time.Duration // monotonic; advances while the process is suspended
	WallMs      func() int64
	Log         log.Interface
}

// Controller is a running process of the control plane.
type Controller struct {
	cfg     Config
	group   *group.Group
	feed    *feed.Server
	links   *peer.Links
	stopped chan struct{}
	stop    sync.Once

	mu                 sync.Mutex
	registry           *registry.Registry
	statuses           []registry.Status // of the registry at revision statusesAt
	statusesAt         uint64
	departedAt         uint64            // position of the last committed departure that registry has
	stores             map[string]*store // by name
	publishWake        chan struct{}
	startedAt          time.Duration
	formationWaitSince time.Duration                    // when stores were first known without a formed group, 0 before
	swapPlanners       map[string]*weights.JointPlanner // by service
	swapWake           chan struct{}
	usage              usageState

	relay      *relay
	permits    permitBroker
	shares     shareDivider
	origins    *origin.Table
	originFile *origin.File
	orders     map[registry.Incarnation]uint64 // orders that engines have accepted, by the last of this controller; guarded by mu
}

// Announcement is the state that a store sends to every controller periodically.
type Announcement struct {
	Member  roster.Member         `cbor:"1,keyasint"`
	Leads   bool                  `cbor:"2,keyasint"`
	Term    uint64                `cbor:"3,keyasint"`
	Members []consensus.ReplicaID `cbor:"4,keyasint"` // of the store group; set by its leader
	Voters  int                   `cbor:"5,keyasint"`
	Running map[string]int        `cbor:"6,keyasint"` // items by backend server; set by the leader
	Demand  map[string]float64    `cbor:"7,keyasint"` // events generated recently, by model; set by the leader
}

type store struct {
	Announcement
	lastHeard time.Duration
}

// New returns a controller and loads the identity of its replica. Handlers may be
// served before Run.
func New(cfg Config) (*Controller, error) {
	no := cfg.Settings
	co := &Controller{
		cfg: cfg, feed: feed.NewServer(), links: peer.NewLinks(context.Background(), cfg.Peer), stopped: make(chan struct{}),
		registry: registry.New(maxMissedHeartbeats * no.HeartbeatPeriod), stores: map[string]*store{}, publishWake: make(chan struct{}, 1),
		startedAt: cfg.Now(), swapPlanners: map[string]*weights.JointPlanner{}, swapWake: make(chan struct{}, 1),
		relay: newRelay(), permits: permitBroker{broker: permit.NewBroker()}, shares: newShareDivider(), origins: origin.NewTable(origin.MaxOrigins), orders: map[registry.Incarnation]uint64{},
	}
	var founders []group.Founder
	for _, a := range no.Controllers {
		founders = append(founders, group.Founder{Address: a})
	}
	gc := group.Config{
		Name: no.Name, Address: no.PeerAddress, FailureDomain: no.FailureDomain, DataFolder: no.DataFolder, Founders: founders,
		Peer: cfg.Peer, Files: cfg.Files, Election: settings.NodeElection, Heartbeat: settings.NodeHeartbeat, FreshnessBound: freshnessBound,
		ReplaceAfter: settings.NodeReplaceAfter, TargetVoters: no.Voters(), CandidateAddresses: co.addresses, WallMs: cfg.WallMs, Log: cfg.Log,
		OnStatus: func(group.Status) { co.wakePublish() },
	}
	if !no.MayBootstrap {
		// The system is already formed: a replica with an empty disk joins as a new one.
		gc.Formation = func() []consensus.ReplicaID { return nil }
	}
	var err error
	if co.group, err = group.New(gc); err != nil {
		return nil, err
	}
	// After the group has checked that the data folder belongs to this process.
	co.originFile = origin.OpenFile(origin.FileConfig{
		Folder: filepath.Join(no.DataFolder, originFolder), Files: cfg.Files, Now: cfg.Now, WallMs: cfg.WallMs, Log: cfg.Log,
	}, co.origins)

	return co, nil
}

// addresses returns the peer addresses of controllers, from the settings and the membership.
func (co *Controller) addresses() []string {
	out := co.cfg.Controllers()
	if co.group != nil {
		out = append(out, co.members()...)
	}
	slices.Sort(out)

	return slices.Compact(out)
}

// members returns the peer addresses of the group's replicas.
func (co *Controller) members() []string {
	all := co.group.Status().Membership.All()
	var out []string
	co.group.Read(func(ma *statemachine.Machine) {
		for _, id := range all {
			if re, ok := ma.Replicas()[id]; ok {
				out = append(out, re.Address)
			}
		}
	})
	slices.Sort(out)

	return slices.Compact(out)
}

// Handlers returns the handlers of calls from other processes of the system.
func (co *Controller) Handlers() peer.Mux {
	mux := co.group.Handlers()
	maps.Copy(mux, co.feed.Handlers())
	maps.Copy(mux, co.permitHandlers())
	maps.Copy(mux, co.originHandlers())
	maps.Copy(mux, co.shareHandlers())
	mux[methodHeartbeats] = co.handleHeartbeats
	mux[methodIncarnation] = co.handleIncarnation
	mux[MethodAnnounce] = co.handleAnnounce
	mux[MethodUsage] = handlePropose[usage.AddCounters](co, statemachine.KindAddUsage)
	mux[MethodCrash] = co.handleCrash
	mux[MethodLeaving] = co.handleLeaving
	mux[MethodTrial] = co.handleTrial
	mux[MethodEndTrial] = handlePropose[quarantine.EndTrial](co, statemachine.KindEndTrial)
	mux[MethodClearSuspect] = handlePropose[quarantine.ClearSuspect](co, statemachine.KindClearSuspect)

	return mux
}

// handleCrash records a crash of a backend server that a gateway observed.
func (co *Controller) handleCrash(ctx context.Context, st *peer.Stream) error {
	var cr quarantine.Crash
	if err := st.RequestRecord(&cr); err != nil {
		return err
	}
	var rep quarantine.CrashReply
	if err := co.group.Propose(ctx, statemachine.KindRecordCrash, cr, &rep); err != nil {
		return err
	}
	co.cfg.Log.WithFields(log.Fields{
		"server": cr.Server, "fingerprints": cr.Fingerprints, "wereSuspects": cr.WereSuspects, "lastEvent": cr.LastEvent, "explained": rep.IsExplained,
	}).Info("crash of a backend server recorded")

	return st.ReplyRecord(rep)
}

// handleLeaving records that a backend server said in an answer that it leaves.
func (co *Controller) handleLeaving(ctx context.Context, st *peer.Stream) error {
	var in registry.Incarnation
	if err := st.RequestRecord(&in); err != nil {
		return err
	}
	if err := co.RecordLeave(ctx, in.ID, in.BornMs); err != nil {
		return err
	}

	return st.Reply(&wire.Empty{})
}

// handleTrial decides whether a gateway may run a suspect once.
func (co *Controller) handleTrial(ctx context.Context, st *peer.Stream) error {
	var tr quarantine.Trial
	if err := st.RequestRecord(&tr); err != nil {
		return err
	}
	var rep quarantine.TrialReply
	if err := co.group.Propose(ctx, statemachine.KindTrial, tr, &rep); err != nil {
		return err
	}
	co.cfg.Log.WithFields(log.Fields{
		"fingerprint": tr.Fingerprint, "server": tr.Server, "service": tr.Service, "servers": tr.Servers, "granted": rep.IsGranted,
		"retryAfterMs": rep.RetryAfterMs, "serviceSpent": rep.IsServiceSpent,
	}).Info("run of a suspect request decided")

	return st.ReplyRecord(rep)
}

// handlePropose returns a handler that commits the command in a call.
func handlePropose[T any](co *Controller, kind statemachine.Kind) peer.Handler {
	return func(ctx context.Context, st *peer.Stream) error {
		var body T
		if err := st.RequestRecord(&body); err != nil {
			return err
		}
		if err := co.group.Propose(ctx, kind, body, nil); err != nil {
			return err
		}

		return st.Reply(&wire.Empty{})
	}
}

// Run runs the replica, the feed and the work under leases until ctx ends.
func (co *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer co.links.Close()
	defer cancel()

	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { co.publishLoop(ctx) })
	wg.Go(func() { co.rosterLoop(ctx) })
	wg.Go(func() { co.relayLoop(ctx) })
	wg.Go(func() { co.originFile.Run(ctx) })
	for _, ta := range co.leasedTasks() {
		wg.Go(func() { ta.Run(ctx) })
	}
	err := co.group.Run(ctx)
	cancel()

	return err
}

func (co *Controller) leasedTasks() []*leasedtask.Task {
	timing := leaseTiming
	timing.ReacquireDelay = co.cfg.Settings.ReacquireDelay
	with := func(name string, wake <-chan struct{}, work func(ctx context.Context, held leasedtask.Held)) *leasedtask.Task {
		return leasedtask.New(leasedtask.Config{
			Name: name, Holder: co.cfg.Settings.Name, Timing: timing, Group: co.group, Now: co.cfg.Now, Work: work, Wake: wake,
			Stopped: co.stopped, Log: co.cfg.Log,
		})
	}
	out := []*leasedtask.Task{with(leaseWeights, co.swapWake, co.rollOut)}
	if co.cfg.ReportUsage != nil {
		out = append(out, with(statemachine.UsageLease, nil, co.reportUsage))
	}

	return out
}

// leaseTiming is short because the platform and the backend servers check fencing
// numbers themselves: a successor may act as soon as it holds a higher one.
var leaseTiming = lease.Timing{Duration: 1500 * time.Millisecond, MaxCall: 500 * time.Millisecond, Drift: 0.01}

// HandOver releases the leases and transfers leadership before the process stops.
func (co *Controller) HandOver(ctx context.Context) {
	co.stop.Do(func() { close(co.stopped) })
	select {
	case <-time.After(handOverDelay):
	case <-ctx.Done():
	}
	co.group.TransferLeadership(ctx)
}

// handOverDelay gives the lease keepers time to release: a few of their periods and
// one commit.
const handOverDelay = 150 * time.Millisecond

// wakePublish makes publishLoop publish the feed again.
func (co *Controller) wakePublish() {
	select {
	case co.publishWake <- struct{}{}:
	default:
	}
}

// sweepPeriod is how often the registry is searched for silent backend servers.
const sweepPeriod = 250 * time.Millisecond

// publishLoop publishes the state to the followers of the feed, at every change and
// at least once per sweepPeriod.
func (co *Controller) publishLoop(ctx context.Context) {
	for ctx.Err() == nil {
		applied, confirmed := co.group.Applied(), co.group.Confirmed()
		co.publish()
		select {
		case <-applied:
		case <-confirmed:
		case <-co.publishWake:
		case <-time.After(sweepPeriod):
		case <-ctx.Done():
		}
	}
}

func (co *Controller) publish() {
	// In this order, so that the state is at least as recent as its confirmation.
	readAt := time.Now()
	age, isConfirmed := co.group.Age()
	st := &feed.State{ConfirmedAt: readAt.Add(-age)}
	var members []roster.Member
	retirement := map[string]roster.Retirement{}
	co.group.Read(func(ma *statemachine.Machine) {
		if cfg := ma.Routing().Config(); cfg.Version > 0 {
			c := *cfg
			st.Config = &c
		}
		st.Versions = maps.Clone(ma.Versions().All())
		st.Quarantine = feed.Quarantine{Revision: ma.Revision(), Entries: ma.Quarantine().Entries()}
		co.readEvacuations(ma, st)
		st.Position = ma.Applied()
		members = ma.Roster().Members()
		for _, id := range ma.Roster().Formation() {
			st.Formation = append(st.Formation, string(id))
		}
		for _, me := range members {
			retirement[me.Name] = ma.Roster().Retirement(me.Name)
		}
	})
	st.Controllers = co.members() // after the position, which then is not too high for it

	co.mu.Lock()
	defer co.mu.Unlock()
	co.applyDepartures()
	now := co.cfg.Now()
	for _, id := range co.registry.Sweep(now) {
		co.cfg.Log.WithField("server", id).Warn("backend server silent")
	}
	for _, wi := range st.Withdrawn {
		co.registry.Withdraw(now, wi.FailureDomain, wi.Position, co.cfg.Settings.HeartbeatPeriod)
	}
	st.Servers = co.serverStatuses()
	alive := map[registry.Incarnation]bool{}
	for i := range st.Servers {
		alive[st.Servers[i].Record.Incarnation()] = true
	}
	st.Limits = co.publishedLimits(alive, coldServers(now, st))
	st.IsSettled = now-co.startedAt > (maxMissedHeartbeats+1)*co.cfg.Settings.HeartbeatPeriod
	for _, me := range members {
		out := feed.Store{Name: me.Name, Replica: string(me.Replica), Address: me.Address, FailureDomain: me.FailureDomain, Retiring: retirement[me.Name] != 0}
		if so := co.stores[me.Name]; so != nil && so.Member.Replica == me.Replica {
			out.Leads, out.Term = so.Leads && now-so.lastHeard < storeTimeout, so.Term
		}
		st.Stores = append(st.Stores, out)
	}
	if !isConfirmed {
		st = &feed.State{IsUnconfirmed: true} // acknowledged changes may be missing from the rest
	}
	co.feed.Publish(st)
}

// serverStatuses returns the backend servers as of the last change of the registry. The list is
// never changed, only replaced. The caller holds mu.
func (co *Controller) serverStatuses() []registry.Status {
	if at := co.registry.Revision(); co.statuses == nil || co.statusesAt != at {
		co.statuses, co.statusesAt = co.registry.All(), at
	}

	return co.statuses
}

// PutRouting commits a validated configuration. It returns nil once the followers of this controller
// that can be reached were sent the one in force.
func (co *Controller) PutRouting(ctx context.Context, cfg *routing.Config, document []byte) error {
	var rep routing.PutReply
	err := co.group.Propose(ctx, statemachine.KindPutRouting, routing.Put{Config: *cfg, Document: document}, &rep)
	fl := log.Fields{"version": cfg.Version, "routes": len(cfg.Routes), "inForce": rep.Version, "replaced": rep.Replaced}
	if err != nil {
		fl["error"] = err.Error()
		co.cfg.Log.WithFields(fl).Warn("configuration not accepted")

		return err
	}
	has := func(st *feed.State) bool { return st.Config != nil && st.Config.Version >= rep.Version }
	fl["isSentToAll"], fl["followers"] = co.awaitSent(ctx, has), co.feed.CountSent(has)
	co.cfg.Log.WithFields(fl).Info("configuration accepted")

	return nil
}

// Routing returns the newest configuration as the operator sent it.
func (co *Controller) Routing(ctx context.Context) ([]byte, error) {
	if err := co.group.Barrier(ctx); err != nil {
		return nil, err
	}
	var b []byte
	co.group.Read(func(ma *statemachine.Machine) { b = ma.Routing().Document() })
	if len(b) == 0 {
		return nil, result.New(result.NoLeader, "controller: no configuration has been accepted yet")
	}

	return b, nil
}

// NameVersion commits a weight version.
func (co *Controller) NameVersion(ctx context.Context, model string, version uint64) error {
	if err := co.group.Propose(ctx, statemachine.KindRecordVersion, weights.VersionRecord{Model: model, Version: version}, nil); err != nil {
		return err
	}
	co.wakeSwaps()
	co.cfg.Log.WithFields(log.Fields{"model": model, "version": version}).Info("weight version recorded")

	return nil
}

// Group returns this process's replica of the controller group.
func (co *Controller) Group() *group.Group { return co.group }

func byName(a, b roster.Member) int { return strings.Compare(a.Name, b.Name) }

// Measure sets the gauges of this process.
func (co *Controller) Measure(me *meter.Meter) {
	co.group.Measure(me)
	co.group.Read(func(ma *statemachine.Machine) {
		me.Gauge("configuration.version", int64(ma.Routing().Config().Version))
	})
	ageMs := int64(-1)
	if age, ok := co.group.Age(); ok {
		ageMs = age.Milliseconds()
	}
	me.Gauge("configuration.ageMs", ageMs)
	me.Gauge("feed.followers", int64(co.feed.Followers()))
	me.Gauge("origins.known", int64(co.origins.Len()))
	me.Gauge("origins.notWritten", co.originFile.Lost())
	co.shares.measure(me)
	co.mu.Lock()
	defer co.mu.Unlock()
	alive := 0
	for _, se := range co.registry.All() {
		if !se.IsLapsed && se.Record.State != registry.Left {
			alive++
		}
	}
	me.Gauge("servers.known", int64(alive))
}
