// Package pool holds the backend servers that serve one model or plain service, as
// known to this gateway, and the requests that wait for one of them. The packages
// admission and scheduler decide which request is sent next and where; the lock of a
// pool is held for microseconds.
package pool

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/admission"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/scheduler"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

const (
	// maxSilentPeriods is the number of report periods without a report after which a
	// backend server gets no new requests.
	maxSilentPeriods  = 4
	maxPrefixes       = 200_000 // per pool
	maxServerPrefixes = 20_000  // per backend server, from cache events
)

// Config configures a Pool.
type Config struct {
	Name          string
	FailureDomain string
	Queue         admission.Config
	Scheduler     scheduler.Config
	Now           func() time.Duration
	Meter         *meter.Meter
	// ReportPeriod returns the period of the agents' load reports.
	ReportPeriod func() time.Duration
	// SequenceOf returns the sequence of a weight version, 0 if it is not declared.
	SequenceOf func(version string) uint64
}

// Pool queues requests and assigns them to backend servers. It is safe for concurrent
// use.
type Pool struct {
	cfg Config

	mu            sync.Mutex
	queue         *admission.Queue
	sched         *scheduler.Scheduler
	servers       []*Server
	cands         []scheduler.Candidate // same order as servers
	byName        map[string]int
	prefixes      map[uint64]string // name of the server that has a prefix in its cache, a hint
	gateways      int
	refused       int // requests refused for lack of a ready backend server since the last Demand
	refusedBefore int // the same count for the period before
}

// New returns a pool without backend servers.
func New(cfg Config) *Pool {
	return &Pool{
		cfg: cfg, queue: admission.NewQueue(cfg.Queue), sched: scheduler.New(cfg.Scheduler, rand.IntN),
		byName: map[string]int{}, prefixes: map[uint64]string{}, gateways: 1,
	}
}

// Request describes what a request needs of a backend server.
type Request struct {
	Workspace   string
	Weight      float64
	Class       int
	Cost        float64       // estimated tokens, 1 for plain services
	Deadline    time.Duration // 0 for none
	MaxQueued   int
	MinSequence uint64 // of the weight version
	NewestFirst bool   // newer weights weigh more than load
	Prefix      uint64 // of the prompt, 0 for none
	IsSuspect   bool
	Exclude     []string // backend servers that failed the request
	Fingerprint string
}

// Grant is the right to send one request to a backend server.
type Grant struct {
	pool      *Pool
	server    *Server
	request   Request
	once      sync.Once
	grantedAt time.Duration
	waited    time.Duration
}

// Server returns the backend server.
func (gr *Grant) Server() *Server { return gr.server }

// Waited returns how long the request waited in the queue.
func (gr *Grant) Waited() time.Duration { return gr.waited }

// waiter is the payload of a queued item.
type waiter struct {
	request Request
	granted chan *Grant // receives nil if the deadline has passed
}

// Acquire waits until the request is granted a slot of a backend server. It returns an
// error at once if no ready backend server can run it or the queue refuses it.
func (po *Pool) Acquire(ctx context.Context, rq Request) (*Grant, error) {
	w := &waiter{request: rq, granted: make(chan *Grant, 1)}
	it := &admission.Item{
		Workspace: rq.Workspace, Weight: rq.Weight, Class: rq.Class, Cost: rq.Cost,
		Deadline: rq.Deadline, MaxQueued: rq.MaxQueued, Payload: w,
	}
	po.mu.Lock()
	if err := po.checkEligible(&rq); err != nil {
		po.mu.Unlock()

		return nil, err
	}
	if err := po.queue.Push(po.cfg.Now(), it); err != nil {
		po.mu.Unlock()

		return nil, err
	}
	po.dispatch()
	po.mu.Unlock()

	select {
	case gr := <-w.granted:
		return po.grantOrError(gr)
	case <-ctx.Done():
	}

	po.mu.Lock()
	wasWaiting := po.queue.Remove(it)
	po.mu.Unlock()
	if !wasWaiting {
		if gr := <-w.granted; gr != nil {
			gr.Release(Unused)
		}
	}

	return nil, result.New(result.DeadlinePassed, "pool %s: the request was cancelled or timed out while it waited for a backend server", po.cfg.Name)
}

func (po *Pool) grantOrError(gr *Grant) (*Grant, error) {
	if gr == nil {
		return nil, result.New(result.DeadlinePassed, "pool %s: the deadline passed while the request waited for a backend server", po.cfg.Name)
	}

	return gr, nil
}

// checkEligible returns an error if no ready backend server can run the request.
func (po *Pool) checkEligible(rq *Request) error {
	ready, eligible := 0, 0
	for i := range po.cands {
		if !po.cands[i].IsReady {
			continue
		}
		ready++
		if po.cands[i].Sequence >= rq.MinSequence {
			eligible++
		}
	}
	switch {
	case ready == 0:
		po.refused++

		return result.New(result.NoBackendServer, "pool %s: none of %d backend servers is ready", po.cfg.Name, len(po.cands)).WithRetryAfter(time.Second)
	case eligible == 0:
		return result.New(result.NoEligibleVersion, "pool %s: no ready backend server runs the weight version with sequence %d or a later one", po.cfg.Name, rq.MinSequence).WithRetryAfter(time.Second)
	}

	return nil
}

// dispatch grants waiting requests until none of them fits a backend server.
func (po *Pool) dispatch() {
	now := po.cfg.Now()
	for {
		chosen := scheduler.NoCandidate
		it := po.queue.Pop(now, func(it *admission.Item) bool {
			chosen = po.pick(now, &it.Payload.(*waiter).request)

			return chosen != scheduler.NoCandidate
		}, func(it *admission.Item) {
			it.Payload.(*waiter).granted <- nil
		})
		if it == nil {
			return
		}
		po.grant(now, it, chosen)
	}
}

func (po *Pool) pick(now time.Duration, rq *Request) int {
	sr := scheduler.Request{
		MinSequence: rq.MinSequence, NewestFirst: rq.NewestFirst, FailureDomain: po.cfg.FailureDomain,
		Affinity: -1, Tokens: int(rq.Cost), IsSuspect: rq.IsSuspect, Sharers: po.gateways,
	}
	if name, ok := po.prefixes[rq.Prefix]; ok && rq.Prefix != 0 {
		if i, ok := po.byName[name]; ok {
			sr.Affinity = i
		}
	}
	sr.Exclude = po.excluded(now, rq)

	return po.sched.Pick(now, po.cands, &sr)
}

// excluded returns the indices of the candidates that a request should avoid. It
// returns none if only those could run the request, which would otherwise wait for
// backend servers that may never come.
func (po *Pool) excluded(now time.Duration, rq *Request) []int {
	if len(rq.Exclude) == 0 {
		return nil
	}

	out := make([]int, 0, len(rq.Exclude))
	for _, name := range rq.Exclude {
		if i, ok := po.byName[name]; ok {
			out = append(out, i)
		}
	}
	for i := range po.cands {
		ca := &po.cands[i]
		if ca.IsReady && ca.Sequence >= rq.MinSequence && now >= ca.EjectedUntil && !slices.Contains(out, i) {
			return out
		}
	}

	return nil
}

func (po *Pool) grant(now time.Duration, it *admission.Item, i int) {
	w := it.Payload.(*waiter)
	se := po.servers[i]
	gr := &Grant{pool: po, server: se, request: w.request, grantedAt: now, waited: now - it.Arrived}
	se.inFlight[gr] = struct{}{}
	po.cands[i].InFlight++
	po.cands[i].Tokens += int(it.Cost)
	if w.request.IsSuspect {
		se.suspectCount++
		po.cands[i].RunsSuspect = true
	}
	if w.request.Prefix != 0 && len(po.prefixes) < maxPrefixes {
		po.prefixes[w.request.Prefix] = se.Name()
		se.prefixes[w.request.Prefix] = struct{}{}
	}
	w.granted <- gr
}

// Outcome is how a granted request ended.
type Outcome uint8

// Outcomes of a granted request.
const (
	Unused    Outcome = iota // nothing was sent
	Succeeded                // the backend server responded, whatever its response
	Failed                   // the backend server failed the request
)

// Release frees the slot; further calls have no effect.
func (gr *Grant) Release(oc Outcome) {
	gr.once.Do(func() { gr.pool.release(gr, oc) })
}

func (po *Pool) release(gr *Grant, oc Outcome) {
	po.mu.Lock()
	defer po.mu.Unlock()

	now := po.cfg.Now()
	delete(gr.server.inFlight, gr)
	if oc == Succeeded {
		po.queue.RecordServed(now, gr.request.Cost)
	}
	i, ok := po.byName[gr.server.Name()]
	if ok && po.servers[i] == gr.server {
		ca := &po.cands[i]
		ca.InFlight--
		ca.Tokens -= int(gr.request.Cost)
		if gr.request.IsSuspect {
			gr.server.suspectCount--
			ca.RunsSuspect = gr.server.suspectCount > 0
		}
		switch oc {
		case Succeeded:
			po.sched.RecordSuccess(ca)
		case Failed:
			po.sched.RecordFailure(now, po.cands, i)
		case Unused:
		}
	}
	po.dispatch()
}

// AddServer adds a backend server. A new incarnation replaces the previous one.
func (po *Pool) AddServer(an *wire.Announce, session *peer.Session) {
	po.mu.Lock()
	defer po.mu.Unlock()

	now := po.cfg.Now()
	if i, ok := po.byName[an.GetServer()]; ok {
		if po.servers[i].Incarnation() == an.GetIncarnation() {
			po.servers[i].session, po.servers[i].announce, po.servers[i].heardAt = session, an, now

			return
		}
		po.removeAt(i)
	}

	po.byName[an.GetServer()] = len(po.servers)
	po.servers = append(po.servers, &Server{
		announce: an, session: session, heardAt: now, firstSeen: now,
		inFlight: map[*Grant]struct{}{}, prefixes: map[uint64]struct{}{},
	})
	po.cands = append(po.cands, scheduler.Candidate{Slots: int(an.GetSlots()), FailureDomain: an.GetFailureDomain(), ReadySince: now})
}

// ApplyLoad applies a load report. It returns true if cache events are missing and the
// agent should resend the complete cache state. Outdated reports are ignored.
func (po *Pool) ApplyLoad(lo *wire.Load, gateways int) bool {
	po.mu.Lock()
	defer po.mu.Unlock()

	i, ok := po.byName[lo.GetServer()]
	if !ok || po.servers[i].Incarnation() != lo.GetIncarnation() || lo.GetSequence() <= po.servers[i].loadSequence {
		return false
	}

	se, ca, now := po.servers[i], &po.cands[i], po.cfg.Now()
	se.lastLoad, se.heardAt, se.loadSequence = lo, now, lo.GetSequence()
	po.gateways = max(gateways, 1)
	isReady := lo.GetState() == StateReady
	if isReady && !ca.IsReady {
		ca.ReadySince = now
		if len(po.servers) == 1 || now-se.firstSeen < time.Second {
			ca.ReadySince = now - time.Hour // no slow start for the only server, or for one that was ready before this gateway knew it
		}
	}
	ca.IsReady = isReady
	ca.Running = int(lo.GetRunning())
	ca.InFlightReported = min(ca.InFlight, ca.Running)
	ca.Sequence = po.cfg.SequenceOf(lo.GetVersion())
	resync := po.applyCacheEvents(se, lo.GetCacheEvents())
	po.dispatch()

	return resync
}

// applyCacheEvents updates the prefixes of a server. It returns true, and drops all
// prefixes of the server, if the sequence of the events has a gap.
func (po *Pool) applyCacheEvents(se *Server, events []*wire.CacheEvent) bool {
	for _, ev := range events {
		if ev.GetSequence() <= se.cacheEventSeq {
			continue
		}
		if se.cacheEventSeq != 0 && ev.GetSequence() != se.cacheEventSeq+1 {
			po.cfg.Meter.Count("cacheEvents.gap")
			po.dropPrefixes(se)
			se.cacheEventSeq = 0

			return true
		}
		se.cacheEventSeq = ev.GetSequence()
		switch {
		case ev.GetEvicted():
			if po.prefixes[ev.GetPrefix()] == se.Name() {
				delete(po.prefixes, ev.GetPrefix())
			}
			delete(se.prefixes, ev.GetPrefix())
		case len(po.prefixes) < maxPrefixes && len(se.prefixes) < maxServerPrefixes:
			po.prefixes[ev.GetPrefix()] = se.Name()
			se.prefixes[ev.GetPrefix()] = struct{}{}
		}
	}

	return false
}

func (po *Pool) dropPrefixes(se *Server) {
	for p := range se.prefixes {
		if po.prefixes[p] == se.Name() {
			delete(po.prefixes, p)
		}
	}
	se.prefixes = map[uint64]struct{}{}
}

// RemoveServer removes a backend server whose agent's session has ended, unless it has a
// new session or incarnation.
func (po *Pool) RemoveServer(name string, incarnation uint64, session *peer.Session) {
	po.mu.Lock()
	defer po.mu.Unlock()

	i, ok := po.byName[name]
	if ok && po.servers[i].Incarnation() == incarnation && po.servers[i].session == session {
		po.removeAt(i)
	}
}

func (po *Pool) removeAt(i int) {
	se, last := po.servers[i], len(po.servers)-1
	po.dropPrefixes(se)
	delete(po.byName, se.Name())
	if i != last {
		po.servers[i], po.cands[i] = po.servers[last], po.cands[last]
		po.byName[po.servers[i].Name()] = i
	}
	po.servers, po.cands = po.servers[:last], po.cands[:last]
}

// Sweep marks backend servers without recent reports as not ready and expires waiting
// requests. It is called periodically.
func (po *Pool) Sweep() {
	po.mu.Lock()
	defer po.mu.Unlock()

	now, silence := po.cfg.Now(), po.maxSilence()
	for i, se := range po.servers {
		if now > se.heardAt+silence {
			po.cands[i].IsReady = false
		}
		if se.lastLoad != nil {
			po.cands[i].Sequence = po.cfg.SequenceOf(se.lastLoad.GetVersion())
		}
	}
	po.dispatch()
}

// maxSilence returns the time without a report after which a backend server gets no
// new requests.
func (po *Pool) maxSilence() time.Duration { return maxSilentPeriods * po.cfg.ReportPeriod() }

// Len returns the number of known backend servers.
func (po *Pool) Len() int {
	po.mu.Lock()
	defer po.mu.Unlock()

	return len(po.servers)
}

// Drain stops new requests to a backend server at once, before its agent reports that
// it drains.
func (po *Pool) Drain(name string) {
	po.mu.Lock()
	defer po.mu.Unlock()

	if i, ok := po.byName[name]; ok {
		po.cands[i].IsReady = false
	}
}

// InFlight returns the fingerprints of this gateway's requests in flight on a backend
// server. If some of them are suspects, it returns only those.
func (po *Pool) InFlight(se *Server) []string {
	po.mu.Lock()
	defer po.mu.Unlock()

	var all, suspects []string
	for gr := range se.inFlight {
		if gr.request.Fingerprint == "" {
			continue
		}
		all = append(all, gr.request.Fingerprint)
		if gr.request.IsSuspect {
			suspects = append(suspects, gr.request.Fingerprint)
		}
	}
	if len(suspects) > 0 {
		return suspects
	}

	return all
}
