package feed

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

const (
	// retryPeriod is the pause before a follower reconnects to a controller.
	retryPeriod = 200 * time.Millisecond
	// firstMessageTimeout limits the wait for the first message, which holds the complete state.
	firstMessageTimeout = 2 * controllerTimeout
	// unconfirmedWarning is the age of the configuration from which on a log line says so.
	unconfirmedWarning = 2 * time.Second
)

// Config holds the settings of a Follower.
type Config struct {
	Links      *peer.Links
	Seeds      func() []string // peer addresses of some controllers
	OwnAddress string          // own peer address, which is not followed
	Log        log.Interface
}

// Follower merges the state of every controller that it knows of.
type Follower struct {
	cfg  Config
	view atomic.Pointer[View]

	start time.Time // from which the numbers of pings count

	mu        sync.Mutex
	changed   chan struct{} // closed and replaced with each new view
	merged    *registry.MergedView
	following map[string]context.CancelFunc
	sources   map[string]Quarantine // by controller
	rosters   map[string]*roster    // by controller
	rosterAt  uint64                // position in the log of the lists of VMs in the view
	contacts  map[string]contact    // by controller
	processes int                   // that follow the controller heard last
	confirmed time.Time             // when the replicated part of the view was last confirmed
	published uint64                // number of views so far
	handling  handling
	wg        sync.WaitGroup

	isUnconfirmed bool      // a log line says so; used by Run alone
	linksRetried  time.Time // last call of retryLinks with an effect; used by Run alone
}

// NewFollower returns a follower with an empty view.
func NewFollower(cfg Config) *Follower {
	fo := &Follower{
		cfg: cfg, start: time.Now(), changed: make(chan struct{}), merged: registry.NewMergedView(), following: map[string]context.CancelFunc{},
		sources: map[string]Quarantine{}, rosters: map[string]*roster{}, contacts: map[string]contact{},
	}
	fo.view.Store(&View{})

	return fo
}

// View returns the current view.
func (fo *Follower) View() *View { return fo.view.Load() }

// Changed returns a channel that is closed with the next view.
func (fo *Follower) Changed() <-chan struct{} {
	fo.mu.Lock()
	defer fo.mu.Unlock()

	return fo.changed
}

// Age returns the time since the view's configuration was last confirmed, and false
// before the first confirmation. While EachView runs, a confirmation counts once the view was handled.
func (fo *Follower) Age() (time.Duration, bool) {
	fo.mu.Lock()
	defer fo.mu.Unlock()

	return time.Since(fo.confirmed), !fo.confirmed.IsZero()
}

// Processes returns the number of processes that follow a controller, as one of them reported
// last, 1 before that.
func (fo *Follower) Processes() int {
	fo.mu.Lock()
	defer fo.mu.Unlock()

	return max(fo.processes, 1)
}

// Run follows all known controllers until ctx ends.
func (fo *Follower) Run(ctx context.Context) {
	defer fo.wg.Wait()

	for ctx.Err() == nil {
		changed := fo.Changed()
		fo.syncControllers(ctx)
		fo.logConfirmation()
		fo.retryLinks()
		select {
		case <-changed:
		case <-time.After(heartbeatPeriod):
		case <-ctx.Done():
		}
	}
}

// Controllers returns the peer addresses of all controllers that are known, ascending.
func (fo *Follower) Controllers() []string {
	out := slices.Concat(fo.cfg.Seeds(), fo.View().Controllers)
	slices.Sort(out)

	return slices.Compact(out)
}

// EachView calls f with the current view and with each one that follows, until ctx ends.
// Views that are replaced while f runs are left out. It must not be called twice at a time.
func (fo *Follower) EachView(ctx context.Context, f func(vi *View)) {
	for ctx.Err() == nil {
		vi, changed := fo.beginView()
		f(vi)
		fo.endView()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// syncControllers starts to follow newly known controllers and stops following those
// that are not known any more.
func (fo *Follower) syncControllers(ctx context.Context) {
	want := fo.Controllers()

	fo.mu.Lock()
	defer fo.mu.Unlock()
	for _, a := range want {
		if _, ok := fo.following[a]; ok || a == fo.cfg.OwnAddress {
			continue
		}
		fctx, cancel := context.WithCancel(ctx)
		fo.following[a] = cancel
		fo.wg.Go(func() { fo.follow(fctx, a) })
	}
	for a, cancel := range fo.following {
		if !slices.Contains(want, a) {
			cancel()
			delete(fo.following, a)
			delete(fo.contacts, a)
		}
	}
}

func (fo *Follower) follow(ctx context.Context, address string) {
	for ctx.Err() == nil {
		received, err := fo.followOnce(ctx, address)
		fo.dropController(address)
		switch {
		case ctx.Err() != nil:
		case received:
			fo.cfg.Log.WithFields(log.Fields{"controller": address, "error": err.Error()}).Warn("controller unreachable")
		default:
			fo.logFailure(address, err)
		}
		select {
		case <-time.After(retryPeriod):
		case <-ctx.Done():
		}
	}
}

// followOnce follows a controller until its stream ends or times out, and reports
// whether anything was received.
func (fo *Follower) followOnce(ctx context.Context, address string) (bool, error) {
	se, err := fo.cfg.Links.To(address).Wait(ctx)
	if err != nil {
		return false, err
	}
	octx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	pa, err := fo.newPing()
	if err != nil {
		return false, err
	}
	st, err := se.Open(octx, Method, pa)
	if err != nil {
		se.Close()

		return false, err
	}
	defer st.Close()
	interrupt := func() { st.SetDeadline(time.Now()) } // Recv goes on after Close until the controller answers
	stop := context.AfterFunc(ctx, interrupt)
	defer stop()
	fo.wg.Go(func() { fo.sendPings(octx, st) })
	si := newSilence(firstMessageTimeout, se.HasUnread, interrupt)
	defer si.timer.Stop()

	received := false
	for {
		var pa wire.Payload
		if err := st.Recv(&pa); err != nil {
			se.Close() // the connection may be dead: the next session dials a new one

			return received, err
		}
		si.end()
		he, de, err := decodeMessage(pa.GetRecord())
		if err != nil {
			return received, err
		}
		if he.Ping > int64(time.Since(fo.start)) {
			return received, result.New(result.Internal, "feed: the controller returned a ping that was not sent")
		}
		if !received {
			received = true
			fl := log.Fields{"controller": address, "ageMs": he.AgeMs, "confirmed": !de.IsUnconfirmed, "settled": de.IsSettled, "servers": len(de.Changed)}
			if de.Config != nil {
				fl["version"] = de.Config.Version
			}
			fo.cfg.Log.WithFields(fl).Info("started to follow the controller")
		}
		at := time.Now()
		fo.applyDelta(address, de, at)
		fo.recordContact(address, he, de, at) // after the state that it confirms
	}
}

// silence ends a stream on which nothing was received for firstMessageTimeout at its start and
// controllerTimeout later. The last heartbeatPeriod of it counts only once the rest is over, so that a process
// that was frozen receives an answer first, and lasts while bytes wait to be read.
type silence struct {
	mu     sync.Mutex
	timer  *time.Timer
	isLong bool
}

func newSilence(timeout time.Duration, hasUnread func() bool, stop func()) *silence {
	si := &silence{}
	si.mu.Lock()
	defer si.mu.Unlock()
	si.timer = time.AfterFunc(timeout-heartbeatPeriod, func() {
		si.mu.Lock()
		defer si.mu.Unlock()
		if si.isLong && !hasUnread() {
			stop()

			return
		}
		si.isLong = true
		si.timer.Reset(heartbeatPeriod)
	})

	return si
}

// end is called with each message.
func (si *silence) end() {
	si.mu.Lock()
	defer si.mu.Unlock()
	si.isLong = false
	si.timer.Reset(controllerTimeout - heartbeatPeriod)
}

// newPing returns a ping that is sent now.
func (fo *Follower) newPing() (*wire.Payload, error) {
	b, err := cbor.Marshal(ping{Number: int64(time.Since(fo.start))})
	if err != nil {
		return nil, result.New(result.Internal, "feed: encoding a ping: %v", err)
	}

	return &wire.Payload{Record: b}, nil
}

// sendPings sends pings to a controller until ctx or the stream ends.
func (fo *Follower) sendPings(ctx context.Context, st *peer.Stream) {
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		pa, err := fo.newPing()
		if err != nil || st.Write(pa) != nil {
			return // the silence of the controller ends the stream
		}
	}
}

func (fo *Follower) applyDelta(address string, de *stateDelta, at time.Time) {
	fo.mu.Lock()
	defer fo.mu.Unlock()

	if de.IsUnconfirmed {
		return
	}
	old := fo.View()
	servers := old.Servers
	if fo.merged.Update(address, de.Changed, de.Removed, de.IsSettled) {
		servers = fo.merged.Live()
	}
	next := *old
	next.Servers = servers
	fo.mergeRoster(&next, address, de)
	if de.isEmpty() && sameServers(old.Servers, servers) && next.isSameRoster(old) {
		return
	}

	next.merge(de)
	next.Limits = mergeLimits(next.Limits, de.Limits, fo.merged.Knows)
	next.mergeEvacuations(de.Evacuations, at)
	if de.Quarantine != nil {
		fo.sources[address] = fo.sources[address].apply(de.Quarantine)
		if fo.sources[address].Revision > old.Quarantine.Revision {
			next.Quarantine = fo.sources[address]
		}
	}
	fo.logChanges(address, old, &next)
	fo.publish(&next)
}

// mergeRoster applies the lists of VMs of a controller as of the position of a message. An empty message may
// also show that they are the latest ones. The caller holds mu.
func (fo *Follower) mergeRoster(next *View, address string, de *stateDelta) {
	if de.Roster != nil {
		fo.rosters[address] = de.Roster
	}
	ro := fo.rosters[address]
	if ro == nil {
		return
	}
	isLatest := de.Position >= fo.rosterAt
	fo.rosterAt = max(fo.rosterAt, de.Position)
	next.mergeRoster(ro, isLatest, de.Roster != nil)
}

func (fo *Follower) publish(vi *View) {
	fo.view.Store(vi)
	fo.published++
	close(fo.changed)
	fo.changed = make(chan struct{})
}

// logChanges logs the differences between two views.
func (fo *Follower) logChanges(source string, old, next *View) {
	if next.Table != old.Table {
		fo.cfg.Log.WithFields(log.Fields{
			"version": next.Table.Version(), "routes": len(next.Table.Config().Routes), "source": source,
		}).Info("configuration applied")
	}
	for mo, v := range next.Versions {
		if old.Versions[mo] != v {
			fo.cfg.Log.WithFields(log.Fields{"model": mo, "version": v, "source": source}).Info("weight version changed")
		}
	}
	if next.EvacuatedAt != old.EvacuatedAt {
		fo.cfg.Log.WithFields(log.Fields{
			"evacuated": next.Evacuated, "position": next.EvacuatedAt, "source": source,
		}).Info("evacuated failure domains changed")
	}
	a, _ := old.Leader()
	if b, ok := next.Leader(); ok && a.Name != b.Name {
		fo.cfg.Log.WithFields(log.Fields{"store": b.Name, "term": b.Term, "source": source}).Info("store leader changed")
	}
	registry.LogChanges(fo.cfg.Log, old.Servers, next.Servers)
}

// dropController discards the reports of an unreachable controller about backend servers,
// until it is followed again.
func (fo *Follower) dropController(address string) {
	fo.mu.Lock()
	defer fo.mu.Unlock()

	delete(fo.sources, address)
	delete(fo.rosters, address)
	if ct, ok := fo.contacts[address]; ok {
		ct.isFollowed = false
		fo.contacts[address] = ct
	}
	fo.merged.MarkUnreachable(address)
	fo.merged.Reset(address)
	next := *fo.View()
	next.Servers = fo.merged.Live()
	if !sameServers(next.Servers, fo.View().Servers) {
		fo.publish(&next)
	}
}

func sameServers(a, b []registry.Record) bool {
	if len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0]) {
		return true
	}

	return slices.EqualFunc(a, b, func(x, y registry.Record) bool { return x.Equal(&y) })
}

// Measure sets the gauges of the view's size, version and age.
func (fo *Follower) Measure(me *meter.Meter) {
	vi := fo.View()
	me.Gauge("servers.known", int64(len(vi.Servers)))
	if vi.Table != nil {
		me.Gauge("configuration.version", int64(vi.Table.Version()))
	}
	me.Gauge("failureDomains.evacuated", int64(len(vi.Evacuated)))
	ageMs := int64(-1)
	if age, ok := fo.Age(); ok {
		ageMs = age.Milliseconds()
	}
	me.Gauge("configuration.ageMs", ageMs)
	followed, known := fo.followed()
	me.Gauge("controllers.followed", int64(followed))
	me.Gauge("controllers.known", int64(known))
}
