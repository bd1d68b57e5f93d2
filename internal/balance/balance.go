// Package balance picks a backend server for each request, from the records of the
// registry, the load that backend servers report and the outcomes of the requests of
// this process, a gateway or a job store. The decision is the scheduler's. The lock is
// held for microseconds.
package balance

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/permit"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/routing"
	"github.com/tamarackbay/tamarackbay/internal/scheduler"
	"github.com/tamarackbay/tamarackbay/internal/workload"
)

// Config configures a Balancer.
type Config struct {
	FailureDomain string
	Scheduler     scheduler.Config
	Now           func() time.Duration
	Random        func(n int) int
	// IdleTimeout returns how long an idle connection is kept open. Idle connections
	// are not tracked if it is nil.
	IdleTimeout func() time.Duration
	// Permits keeps the requests within the limits of the backend servers; a holder of its
	// own if it is nil.
	Permits *permit.Holder
	// Meter counts the reported loads that can't be read, and Log gets some of them; both may be
	// nil.
	Meter *meter.Meter
	Log   log.Interface
	// RegionOf returns the region of a failure domain, "" if it is not known. Without it no region
	// is known.
	RegionOf func(failureDomain string) string
	// ReportLeaving tells a controller of a backend server whose answer said that it leaves. Nobody
	// is told if it is nil.
	ReportLeaving func(ctx context.Context, in registry.Incarnation) error
}

// Balancer holds the backend servers by service. It is safe for concurrent use.
type Balancer struct {
	cfg Config

	mu               sync.Mutex
	services         map[string]*serverSet
	evacuated        []string      // failure domains whose backend servers get nothing new
	unreadableLogged time.Duration // when an unreadable load was last logged, 0 before
	leaving          leaving
}

// serverSet holds the backend servers of one service; cands has the same order as
// servers.
type serverSet struct {
	sched   *scheduler.Scheduler
	servers []*server
	cands   []scheduler.Candidate

	usual     usualWork
	usesPace  bool          // the policy is that of the time to completion
	paced     int           // servers whose last report held their pace, 0 unless it is used
	relatedAt time.Duration // when the slowness of the servers was last related to their mean
}

// server is a backend server with what this process knows beyond its record.
type server struct {
	record         registry.Record
	lastPrefix     string // prefix of the last request with one that was sent to it
	pausedUntil    time.Duration
	suspendedUntil time.Duration   // it gets nothing until then, as it may not be what its record says
	loadReportedAt time.Duration   // when it last reported its load
	idleSince      []time.Duration // start of each connection's idle time, the oldest first
	speed          speed
}

// dropClosedConns removes the connections that have been idle for the timeout and are
// closed by now.
func (sv *server) dropClosedConns(now, timeout time.Duration) {
	n := 0
	for n < len(sv.idleSince) && now-sv.idleSince[n] >= timeout {
		n++
	}
	if n > 0 {
		sv.idleSince = slices.Delete(sv.idleSince, 0, n)
	}
}

// New returns a balancer without backend servers.
func New(cfg Config) *Balancer {
	if cfg.Meter == nil {
		cfg.Meter = meter.New()
	}
	if cfg.Log == nil {
		cfg.Log = logging.Discard()
	}
	if cfg.Permits == nil {
		cfg.Permits = permit.NewHolder(permit.Config{Log: cfg.Log})
	}
	if cfg.RegionOf == nil {
		cfg.RegionOf = func(string) string { return "" }
	}

	return &Balancer{cfg: cfg, services: map[string]*serverSet{}, leaving: newLeaving()}
}

// Sync replaces the backend servers by those that are alive now. A server keeps its
// state unless its address or its time of birth has changed.
func (ba *Balancer) Sync(records []registry.Record) {
	ba.mu.Lock()
	defer ba.mu.Unlock()

	now := ba.cfg.Now()
	alive := map[string]map[string]registry.Record{}
	keys := map[registry.Incarnation]bool{}
	for _, re := range records {
		keys[re.Incarnation()] = true
		if alive[re.Service] == nil {
			alive[re.Service] = map[string]registry.Record{}
		}
		alive[re.Service][re.ID] = re
	}
	ba.cfg.Permits.Retain(func(se registry.Incarnation) bool { return keys[se] })
	for name, se := range ba.services {
		for i := len(se.servers) - 1; i >= 0; i-- {
			old := se.servers[i].record
			re, ok := alive[name][old.ID]
			if !ok || re.BornMs != old.BornMs || re.Address != old.Address {
				if se.servers[i].speed.isPaced {
					se.countPaced(false)
				}
				se.servers = slices.Delete(se.servers, i, i+1)
				se.cands = slices.Delete(se.cands, i, i+1)

				continue
			}
			se.servers[i].record = re
			se.cands[i].IsReady = ba.isReady(&re)
			se.cands[i].Slots = re.Slots
			delete(alive[name], old.ID)
		}
	}
	for name, res := range alive {
		se := ba.services[name]
		isFirst := se == nil
		if isFirst {
			se = &serverSet{sched: scheduler.New(ba.cfg.Scheduler, ba.cfg.Random), usesPace: ba.cfg.Scheduler.Policy == scheduler.PolicyCompletion}
			ba.services[name] = se
		}
		for _, re := range res {
			se.servers = append(se.servers, &server{record: re})
			se.cands = append(se.cands, scheduler.Candidate{
				Slots: re.Slots, FailureDomain: re.FailureDomain, IsReady: ba.isReady(&re), ReadySince: now, SkipsSlowStart: isFirst,
			})
		}
	}
}

// SetEvacuated replaces the evacuated failure domains. Their backend servers are not picked, and
// do not count as ready, from now on; grants that were given before stay valid.
func (ba *Balancer) SetEvacuated(failureDomains []string) {
	ba.mu.Lock()
	defer ba.mu.Unlock()

	if slices.Equal(ba.evacuated, failureDomains) {
		return
	}
	ba.evacuated = slices.Clone(failureDomains)
	for _, se := range ba.services {
		for i, sv := range se.servers {
			se.cands[i].IsReady = ba.isReady(&sv.record)
		}
	}
}

// isReady reports whether a backend server may get new requests. The caller holds mu.
func (ba *Balancer) isReady(re *registry.Record) bool {
	return re.State == registry.Ready && !slices.Contains(ba.evacuated, re.FailureDomain) && !ba.leaving.incarnations.Contains(re.Incarnation())
}

// Request describes the request to place.
type Request struct {
	Service    string
	Model      string // "" for plain services
	MinVersion uint64 // of the model's weights
	Prefix     string // of its prompt, "" for none
	Software   string // version of the backend server's software, "" for any
	// OtherSoftware holds the IDs of backend servers that are known to run other software, whatever
	// their last known record says.
	OtherSoftware map[string]bool
	Exclude       []string
	Only          []string // the only backend servers that may be picked, all if it is empty
	Tokens        int
	IsSuspect     bool              // was in flight at a crash: must be the only suspect of this process on its backend server
	MinAge        time.Duration     // how long a backend server must have been known as this incarnation
	ExtraSlots    int               // requests that a backend server may get beyond its slots, where they queue
	Work          workload.Estimate // expected work, zero if it is not known
	// Regions lists the regions whose backend servers may be picked. It is nil for any; with a list
	// without elements none may be.
	Regions []string
}

// Acquire picks a backend server, or returns nil if none has room. One that limits its rate
// is picked only if a permit for it is at hand.
func (ba *Balancer) Acquire(rq *Request) *Grant {
	ba.mu.Lock()
	defer ba.mu.Unlock()

	se := ba.services[rq.Service]
	if se == nil {
		return nil
	}
	now := ba.cfg.Now()
	sr := ba.prepare(se, now, rq)
	if ba.cfg.Permits.HasLimits() {
		for i, sv := range se.servers {
			if !ba.cfg.Permits.Allows(sv.record.Incarnation()) {
				sr.Exclude = append(sr.Exclude, i)
			}
		}
	}
	i := se.sched.Pick(now, se.cands, sr)
	for i != scheduler.NoCandidate && !ba.cfg.Permits.Use(se.servers[i].record.Incarnation()) {
		sr.Exclude = append(sr.Exclude, i) // its permit has just ended
		i = se.sched.Pick(now, se.cands, sr)
	}
	if i == scheduler.NoCandidate {
		return nil
	}
	sv := se.servers[i]
	if rq.Prefix != "" {
		sv.lastPrefix = rq.Prefix
	}
	if n := len(sv.idleSince); n > 0 {
		sv.idleSince = sv.idleSince[:n-1] // the connection used last is used again
	}
	ca := &se.cands[i]
	ahead := max(0, ca.Running-ca.InFlightReported) + ca.InFlight - sv.record.Slots + 1
	expected := rq.Work.Seconds
	if expected <= 0 {
		expected = se.usual.mean
	}
	ca.InFlight++
	ca.Work += expected
	se.cands[i].Tokens += rq.Tokens
	se.cands[i].RunsSuspect = se.cands[i].RunsSuspect || rq.IsSuspect

	return &Grant{
		balancer: ba, set: se, server: sv, record: sv.record, tokens: rq.Tokens, isSuspect: rq.IsSuspect, grantedAt: now,
		expected: expected, work: rq.Work.Seconds, ahead: ahead, isHeld: sr.Affinity == i,
	}
}

// Limited returns the backend servers that have room for a request, but for which no permit is
// at hand.
func (ba *Balancer) Limited(rq *Request) []registry.Incarnation {
	ba.mu.Lock()
	defer ba.mu.Unlock()

	se := ba.services[rq.Service]
	if se == nil {
		return nil
	}
	now := ba.cfg.Now()
	sr := ba.prepare(se, now, rq)
	var out []registry.Incarnation
	for i, sv := range se.servers {
		key := sv.record.Incarnation()
		if !ba.cfg.Permits.Allows(key) && se.sched.HasRoom(now, &se.cands[i], i, sr) {
			out = append(out, key)
		}
	}

	return out
}

// AcquirePermitted is Acquire, except that it asks the broker for a permit if every backend
// server with room limits its rate. The error says when a permit is expected; it is nil if no
// backend server has room.
func (ba *Balancer) AcquirePermitted(ctx context.Context, rq *Request, urgency int) (*Grant, error) {
	for range maxPermitTries {
		if gr := ba.Acquire(rq); gr != nil {
			return gr, nil
		}
		limited := ba.Limited(rq)
		if len(limited) == 0 {
			return nil, nil
		}
		if err := ba.cfg.Permits.Obtain(ctx, limited, urgency, 1); err != nil {
			return nil, err
		}
	}

	return ba.Acquire(rq), nil
}

// ObtainPermits asks the broker for permits for any of some backend servers.
func (ba *Balancer) ObtainPermits(ctx context.Context, servers []registry.Incarnation, urgency, count int) error {
	return ba.cfg.Permits.Obtain(ctx, servers, urgency, count)
}

// maxPermitTries bounds how often a request asks for a permit that another one took first.
const maxPermitTries = 2

// prepare updates the candidates for a request and returns what the scheduler needs of it.
func (ba *Balancer) prepare(se *serverSet, now time.Duration, rq *Request) *scheduler.Request {
	sr := scheduler.Request{
		MinSequence: rq.MinVersion, FailureDomain: ba.cfg.FailureDomain, Affinity: scheduler.NoCandidate,
		Tokens: rq.Tokens, Sharers: 1, IsSuspect: rq.IsSuspect, ExtraSlots: rq.ExtraSlots, Work: se.work(rq),
	}
	se.refreshSlowness(now)
	idleTimeout := time.Duration(0)
	if ba.cfg.IdleTimeout != nil {
		idleTimeout = ba.cfg.IdleTimeout()
	}
	for i, sv := range se.servers {
		se.refresh(now, i)
		sv.dropClosedConns(now, idleTimeout)
		ca := &se.cands[i]
		ca.HasIdle = len(sv.idleSince) > 0
		if rq.Model != "" {
			ca.Sequence = sv.record.Version(rq.Model)
		}
		if !sv.runs(rq.Software) || rq.OtherSoftware[sv.record.ID] || !rq.allows(sv.record.ID) || !ba.isInRegion(sv, rq.Regions) || now < max(sv.pausedUntil, sv.suspendedUntil) || sv.record.IsLoading ||
			now-ca.ReadySince < rq.MinAge {
			sr.Exclude = append(sr.Exclude, i)
		}
		if rq.Prefix != "" && sv.lastPrefix == rq.Prefix {
			sr.Affinity = i
		}
		ca.Slots = sv.record.Slots + rq.ExtraSlots
	}

	return &sr
}

// allows reports whether the backend server with an ID may be picked.
func (rq *Request) allows(id string) bool {
	return !slices.Contains(rq.Exclude, id) && (len(rq.Only) == 0 || slices.Contains(rq.Only, id))
}

// isInRegion reports whether a backend server is in one of some regions, nil for any.
func (ba *Balancer) isInRegion(sv *server, regions []string) bool {
	if regions == nil {
		return true
	}
	re := ba.cfg.RegionOf(sv.record.FailureDomain)

	return re != "" && slices.Contains(regions, re)
}

// HasAllowed reports whether any backend server of a service that is ready is in one of some
// regions, nil for any.
func (ba *Balancer) HasAllowed(service string, regions []string) bool {
	ba.mu.Lock()
	defer ba.mu.Unlock()

	se := ba.services[service]
	if se == nil {
		return false
	}
	for i, sv := range se.servers {
		if se.cands[i].IsReady && ba.isInRegion(sv, regions) {
			return true
		}
	}

	return false
}

// PickService picks a service of a route by weight, among those with a backend server in one of
// some regions, nil for any. draw is a random number in [0, 1).
func (ba *Balancer) PickService(ro *routing.Route, regions []string, draw float64) string {
	if regions == nil {
		return ro.PickTarget(draw)
	}

	return ro.PickAllowed(draw, func(service string) bool { return ba.HasAllowed(service, regions) })
}

// runs reports whether the backend server runs a version of its software, "" for any.
func (sv *server) runs(software string) bool { return software == "" || sv.record.Software == software }

// IsPaced reports whether backend servers of a service report their pace, and the policy uses it.
func (ba *Balancer) IsPaced(service string) bool {
	ba.mu.Lock()
	defer ba.mu.Unlock()

	se := ba.services[service]

	return se != nil && se.paced > 0
}

// ReadyBySoftware returns the number of ready backend servers of a service by the version of
// their software.
func (ba *Balancer) ReadyBySoftware(service string) map[string]int {
	ba.mu.Lock()
	defer ba.mu.Unlock()

	out := map[string]int{}
	se := ba.services[service]
	if se == nil {
		return out
	}
	for i, sv := range se.servers {
		if se.cands[i].IsReady {
			out[sv.record.Software]++
		}
	}

	return out
}

// HasSoftware reports whether a backend server of a service is ready, neither ejected nor suspended, that
// runs a version of software and whose ID is not in except.
func (ba *Balancer) HasSoftware(service, software string, except map[string]bool) bool {
	ba.mu.Lock()
	defer ba.mu.Unlock()

	se := ba.services[service]
	if se == nil {
		return false
	}
	now := ba.cfg.Now()
	for i, sv := range se.servers {
		ca := &se.cands[i]
		if ca.IsReady && now >= max(ca.EjectedUntil, sv.suspendedUntil) && sv.record.Software == software && !except[sv.record.ID] {
			return true
		}
	}

	return false
}

// Count returns how many backend servers of a service are ready, and how many of
// them serve version minVersion of the model or a later one.
func (ba *Balancer) Count(service, model string, minVersion uint64) (ready, eligible int) {
	ba.mu.Lock()
	defer ba.mu.Unlock()

	se := ba.services[service]
	if se == nil {
		return 0, 0
	}
	for i, sv := range se.servers {
		if !se.cands[i].IsReady {
			continue
		}
		ready++
		if model == "" || sv.record.Version(model) >= minVersion {
			eligible++
		}
	}

	return ready, eligible
}

// maxLoadAge is the age above which a reported load is ignored. It is longer than most
// requests take on a backend server.
const maxLoadAge = 500 * time.Millisecond

// busyPause is how long a backend server that refused as Busy gets no new requests:
// about the time in which one of its requests ends.
const busyPause = 100 * time.Millisecond

func (ba *Balancer) release(gr *Grant, oc Outcome, load *backend.Load) {
	ba.mu.Lock()
	defer ba.mu.Unlock()

	i := slices.Index(gr.set.servers, gr.server)
	if i < 0 {
		return // removed by Sync in the meantime
	}
	now := ba.cfg.Now()
	ca := &gr.set.cands[i]
	ca.InFlight--
	if ca.Work = max(ca.Work-gr.expected, 0); ca.InFlight == 0 {
		ca.Work = 0
	}
	ca.RunsSuspect = ca.RunsSuspect && !gr.isSuspect
	if (oc == Succeeded || oc == Busy) && ba.cfg.IdleTimeout != nil {
		gr.server.idleSince = append(gr.server.idleSince, now)
	}
	ca.Tokens -= gr.tokens
	if load != nil && !gr.hasLoad {
		gr.pace, gr.hasWaiting = load.Pace, load.Waiting > 0
		gr.set.recordLoad(now, i, load, ca.InFlight+1)
	}
	switch oc {
	case Succeeded:
		gr.set.sched.RecordSuccess(ca)
		gr.done = gr.set.learn(now, gr, i)
		ca.Latency = 0.8*ca.Latency + 0.2*(now-gr.grantedAt).Seconds()
	case Failed:
		gr.set.sched.RecordFailure(now, gr.set.cands, i)
	case Busy:
		gr.server.pausedUntil = now + busyPause
	case Unused:
	}
}
