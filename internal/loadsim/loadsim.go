// Package loadsim simulates, in virtual time, gateways that place requests at backend servers:
// the gateways use the product's balancers and estimators, the servers have slots, a queue, a
// lasting speed and spells in which they are slow. Each run is determined by its seed.
package loadsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/quantile"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/scheduler"
	"github.com/tamarackbay/tamarackbay/internal/workload"
)

// Server describes a backend server.
type Server struct {
	Slowness      float64 // 1 is the usual speed, 2 half of it
	FailureDomain string
}

// Class is a kind of requests.
type Class struct {
	Name   string
	Share  float64                                            // of the requests
	Draw   func(rnd *rand.Rand) (work float64, bodyBytes int) // work in seconds
	IsText bool                                               // reports the load at its start
}

// Config describes a run.
type Config struct {
	Seed       uint64
	Policy     string // of the scheduler
	Gateways   int
	Choices    int // random candidates of each pick
	Servers    []Server
	Slots      int
	Queue      int // requests that a server takes beyond its slots
	Workspaces int
	Classes    []Class
	Load       float64 // offered work as a share of the servers' capacity
	Duration   time.Duration
	// SpellShare of the servers take SpellFactor times as long at any moment, each time for
	// SpellLength.
	SpellShare  float64
	SpellFactor float64
	SpellLength time.Duration
	// BurstPeriod is the time between bursts of BurstSize requests of the first class at one
	// gateway, 0 for none.
	BurstPeriod time.Duration
	BurstSize   int
	NoPace      bool // servers do not report their pace
	NoLearning  bool // gateways do not learn the work of requests
	NoWarmUp    bool // measure from the start, when the gateways have learned nothing
}

// Outcome holds the measurements of a run.
type Outcome struct {
	Count          int
	Mean, P50, P99 time.Duration
	ByClass        map[string]Latency
	WorstWorkspace time.Duration // highest mean latency of a workspace with enough requests
	Connections    float64       // new ones for each request
	OtherDomain    float64       // share of the requests that left the gateway's failure domain
	Refused        float64       // share of the requests
	MaxQueue       int           // most requests that waited at one server
}

// Latency holds quantiles of one class.
type Latency struct{ P50, P99 time.Duration }

const (
	// idleTimeout is how long idle connections are kept.
	idleTimeout = 30 * time.Second
	// warmUp is the share of a run that is not measured.
	warmUp = 0.2
	// minWorkspaceCount is how many requests a workspace needs to count.
	minWorkspaceCount = 20
	// maxTries is how many servers a request is sent to that refuse it.
	maxTries = 2
)

type gateway struct {
	id        int
	domain    string
	balancer  *balance.Balancer
	estimator *workload.Estimator
	idle      map[int][]time.Duration // idle connections by server
}

// event is something that happens at a time; ties are in the order of creation.
type event struct {
	at     time.Duration
	number int
	run    func()
}

type events []event

func (ev events) Len() int { return len(ev) }
func (ev events) Less(i, j int) bool {
	return ev[i].at < ev[j].at || (ev[i].at == ev[j].at && ev[i].number < ev[j].number)
}
func (ev events) Swap(i, j int) { ev[i], ev[j] = ev[j], ev[i] }
func (ev *events) Push(x any)   { *ev = append(*ev, x.(event)) }
func (ev *events) Pop() any {
	last := (*ev)[len(*ev)-1]
	*ev = (*ev)[:len(*ev)-1]

	return last
}

type simulation struct {
	cfg      Config
	rnd      *rand.Rand
	now      time.Duration
	end      time.Duration
	began    time.Duration // of the measurement
	events   events
	number   int
	servers  []*server
	gateways []*gateway

	times       []time.Duration
	byClass     map[string][]time.Duration
	byWorkspace [][]time.Duration
	sent        int
	refused     int
	dials       int
	otherDomain int
	maxQueue    int
}

// Run runs one simulation.
func Run(cfg Config) Outcome {
	si := &simulation{
		cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 1)), now: time.Hour, byClass: map[string][]time.Duration{},
		byWorkspace: make([][]time.Duration, max(cfg.Workspaces, 1)),
	}
	si.addServers()
	si.now += time.Hour // past the slow start of new servers
	si.began, si.end = si.now+time.Duration(warmUp*float64(cfg.Duration)), si.now+cfg.Duration
	if cfg.NoWarmUp {
		si.began = si.now
	}
	si.at(si.now, si.arrive)
	if cfg.SpellShare > 0 {
		si.at(si.now, si.changeSpells)
	}
	if cfg.BurstPeriod > 0 {
		si.at(si.now, si.burst)
	}
	for si.events.Len() > 0 {
		ev := heap.Pop(&si.events).(event)
		if ev.at > si.end {
			break
		}
		si.now = ev.at
		ev.run()
	}

	return si.outcome()
}

func (si *simulation) at(at time.Duration, run func()) {
	si.number++
	heap.Push(&si.events, event{at, si.number, run})
}

func (si *simulation) addServers() {
	cfg := &si.cfg
	var records []registry.Record
	for i, se := range cfg.Servers {
		si.servers = append(si.servers, &server{
			id: i, slots: cfg.Slots, queue: cfg.Queue, slowness: se.Slowness, domain: se.FailureDomain, spell: 1, updatedAt: si.now,
		})
		records = append(records, registry.Record{
			ID: fmt.Sprint(i), BornMs: 1, Address: fmt.Sprint(i), Service: "s", FailureDomain: se.FailureDomain, Slots: cfg.Slots, State: registry.Ready,
		})
	}
	for i := range cfg.Gateways {
		rnd := rand.New(rand.NewPCG(cfg.Seed, uint64(i)+2))
		ga := &gateway{id: i, domain: cfg.Servers[i%len(cfg.Servers)].FailureDomain, estimator: workload.New(), idle: map[int][]time.Duration{}}
		ga.balancer = balance.New(balance.Config{
			FailureDomain: ga.domain, Scheduler: scheduler.Config{Policy: cfg.Policy, RandomChoices: cfg.Choices},
			Now: func() time.Duration { return si.now }, Random: rnd.IntN, IdleTimeout: func() time.Duration { return idleTimeout },
		})
		for n := range records {
			ga.balancer.Sync(records[:n+1]) // one after the other, so that their order is that of the records
		}
		si.gateways = append(si.gateways, ga)
	}
}

// capacity returns how many seconds of work the servers do per second.
func (si *simulation) capacity() float64 {
	sum := 0.0
	for _, sv := range si.servers {
		usual := 1 - si.cfg.SpellShare + si.cfg.SpellShare/max(si.cfg.SpellFactor, 1)
		sum += float64(sv.slots) / sv.slowness * usual
	}

	return sum
}

// meanWork returns the mean work of a request, from a sample of its own.
func (si *simulation) meanWork() float64 {
	rnd, sum := rand.New(rand.NewPCG(99, 99)), 0.0
	const n = 20_000
	for range n {
		work, _ := si.cfg.pickClass(rnd).Draw(rnd)
		sum += work
	}

	return sum / n
}

func (cfg *Config) pickClass(rnd *rand.Rand) *Class {
	at := rnd.Float64()
	for i := range cfg.Classes {
		if at -= cfg.Classes[i].Share; at < 0 {
			return &cfg.Classes[i]
		}
	}

	return &cfg.Classes[len(cfg.Classes)-1]
}

// arrive sends requests at random times at the offered load.
func (si *simulation) arrive() {
	rate := si.cfg.Load * si.capacity() / si.meanWork()
	var next func()
	next = func() {
		si.send(si.gateways[si.rnd.IntN(len(si.gateways))], si.cfg.pickClass(si.rnd))
		si.at(si.now+time.Duration(si.rnd.ExpFloat64()/rate*float64(time.Second)), next)
	}
	next()
}

func (si *simulation) burst() {
	ga := si.gateways[si.rnd.IntN(len(si.gateways))]
	for range si.cfg.BurstSize {
		si.send(ga, &si.cfg.Classes[0])
	}
	si.at(si.now+si.cfg.BurstPeriod, si.burst)
}

// changeSpells picks the servers that are slow for the next spell.
func (si *simulation) changeSpells() {
	slow := map[int]bool{}
	for _, i := range si.rnd.Perm(len(si.servers))[:int(si.cfg.SpellShare*float64(len(si.servers))+0.5)] {
		slow[i] = true
	}
	for i, sv := range si.servers {
		sv.advance(si.now)
		sv.spell = 1
		if slow[i] {
			sv.spell = si.cfg.SpellFactor
		}
		si.planCompletion(sv)
	}
	si.at(si.now+si.cfg.SpellLength, si.changeSpells)
}

// planCompletion plans the next completion at a server.
func (si *simulation) planCompletion(sv *server) {
	sv.epoch++
	epoch := sv.epoch
	if d, ok := sv.next(); ok {
		si.at(si.now+d, func() {
			if sv.epoch != epoch {
				return
			}
			sv.advance(si.now)
			sv.complete()
			si.planCompletion(sv)
		})
	}
}

// send places one request and sends it to its server.
func (si *simulation) send(ga *gateway, cl *Class) {
	work, size := cl.Draw(si.rnd)
	rq := workload.Request{Service: "s", Route: cl.Name, BodyBytes: size}
	jo := &job{class: cl, gateway: ga, workspace: pickWorkspace(si.rnd, si.cfg.Workspaces), arrivedAt: si.now, rest: work}
	br := &balance.Request{Service: "s"}
	if !si.cfg.NoLearning {
		br.Work = ga.estimator.Estimate(si.now, &rq)
	}
	isMeasured := si.now >= si.began
	if isMeasured {
		si.sent++
	}
	for range maxTries {
		gr := ga.balancer.Acquire(br)
		if gr == nil {
			break
		}
		sv := si.servers[si.indexOf(gr)]
		sv.advance(si.now)
		jo.begin, jo.finish = si.callbacks(jo, gr, sv, &rq)
		if !sv.accept(jo) {
			gr.Release(balance.Busy, si.report(sv.load()))
			br.Exclude = append(br.Exclude, gr.Record().ID)

			continue
		}
		si.connect(ga, sv, isMeasured)
		si.maxQueue = max(si.maxQueue, len(sv.waiting))
		si.planCompletion(sv)

		return
	}
	if isMeasured {
		si.refused++
	}
}

func (si *simulation) indexOf(gr *balance.Grant) int {
	n := 0
	_, _ = fmt.Sscan(gr.Record().ID, &n)

	return n
}

// report returns the load as servers report it.
func (si *simulation) report(lo *backend.Load) *backend.Load {
	if si.cfg.NoPace {
		lo.Pace = 0
	}

	return lo
}

// callbacks returns what happens when a job begins and ends at a server.
func (si *simulation) callbacks(jo *job, gr *balance.Grant, sv *server, rq *workload.Request) (begin, finish func(lo *backend.Load)) {
	if jo.class.IsText {
		begin = func(lo *backend.Load) { gr.RecordAnswer(&backend.Answer{Load: si.report(lo)}) }
	}
	finish = func(lo *backend.Load) {
		lo = si.report(lo)
		if !jo.class.IsText {
			gr.RecordAnswer(&backend.Answer{Load: lo})
		}
		gr.Release(balance.Succeeded, lo)
		if work := gr.Work(); work > 0 && !si.cfg.NoLearning {
			jo.gateway.estimator.Observe(si.now, rq, &workload.Result{Seconds: work})
		}
		jo.gateway.idle[sv.id] = append(jo.gateway.idle[sv.id], si.now)
		if jo.arrivedAt < si.began {
			return
		}
		took := si.now - jo.arrivedAt
		si.times = append(si.times, took)
		si.byClass[jo.class.Name] = append(si.byClass[jo.class.Name], took)
		si.byWorkspace[jo.workspace] = append(si.byWorkspace[jo.workspace], took)
	}

	return begin, finish
}

// connect takes the idle connection that was used last, or counts a new one.
func (si *simulation) connect(ga *gateway, sv *server, isMeasured bool) {
	conns := ga.idle[sv.id]
	isNew := len(conns) == 0 || si.now-conns[len(conns)-1] >= idleTimeout
	if !isNew {
		ga.idle[sv.id] = conns[:len(conns)-1]
	}
	if !isMeasured {
		return
	}
	if isNew {
		si.dials++
	}
	if sv.domain != ga.domain {
		si.otherDomain++
	}
}

func (si *simulation) outcome() Outcome {
	out := Outcome{Count: len(si.times), ByClass: map[string]Latency{}, MaxQueue: si.maxQueue}
	out.P50, out.P99, out.Mean = quantile.Of(si.times, 0.5), quantile.Of(si.times, 0.99), mean(si.times)
	for name, ds := range si.byClass {
		out.ByClass[name] = Latency{quantile.Of(ds, 0.5), quantile.Of(ds, 0.99)}
	}
	for _, ds := range si.byWorkspace {
		if len(ds) < minWorkspaceCount {
			continue
		}
		out.WorstWorkspace = max(out.WorstWorkspace, mean(ds))
	}
	n := float64(max(si.sent, 1))
	out.Connections, out.OtherDomain, out.Refused = float64(si.dials)/n, float64(si.otherDomain)/n, float64(si.refused)/n

	return out
}

func mean(ds []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, d := range ds {
		sum += d
	}

	return sum / time.Duration(max(len(ds), 1))
}
