// Package intake bounds what clients make a process hold: the bytes of their requests from the first
// one until the request has been answered, and their connections.
package intake

import (
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

const (
	// memoryShare is the divisor of a process's memory that gives what the requests of clients may
	// hold together.
	memoryShare = 3
	// defaultBytes is that bound where the process's memory is not known.
	defaultBytes = 64 << 20
	// SmallBytes is the size up to which requests may use all of the budget.
	SmallBytes = 16 << 10
	// smallShare is the divisor of the budget that gives the part which is left to small requests.
	smallShare = 16
	// loneShare is the divisor of a process's memory that gives what a single large request may hold while
	// there is no other one: one of the largest size takes more than its share while it is decoded.
	loneShare = 2
	// minPace is the pace in bytes a second below which an incomplete request yields if the budget is
	// full, and paceGrace the time for which it is not judged after each byte.
	minPace   = 64 << 10
	paceGrace = time.Second
	// retryAfter is the time after which a refused client may come back: requests that hold the budget
	// have yielded or are answered by then.
	retryAfter = 500 * time.Millisecond
	// logPeriod is the shortest time between two log lines about refusals of one kind.
	logPeriod = time.Second
)

// Config configures a Budget.
type Config struct {
	MemoryBytes int64         // of the process; 0 if it is not known
	Standstill  time.Duration // how long the body of a request may stand still; 0 for 10 s
	Now         func() time.Time
	Meter       *meter.Meter
	Log         log.Interface // nil for none
}

// Defaults fills the fields left zero.
func (c *Config) Defaults() {
	if c.Standstill <= 0 {
		c.Standstill = defaultStandstill
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Meter == nil {
		c.Meter = meter.New()
	}
	if c.Log == nil {
		c.Log = &log.Logger{Handler: log.HandlerFunc(func(*log.Entry) error { return nil }), Level: log.FatalLevel}
	}
}

// Budget is the memory that the requests of clients may hold in a process. It is safe for concurrent
// use.
type Budget struct {
	cfg      Config
	capacity int64
	lone     int64 // bound of a large request that is the only one
	logs     *rate.Limiter

	mu         sync.Mutex
	used       int64 // by all requests
	small      int64 // by those of them that hold at most SmallBytes
	largeCount int   // requests that hold more
	incomplete map[*Lease]struct{}
}

// NewBudget returns an empty budget.
func NewBudget(cfg Config) *Budget {
	cfg.Defaults()
	bu := &Budget{cfg: cfg, capacity: cfg.MemoryBytes / memoryShare, logs: rate.NewLimiter(rate.Every(logPeriod), 1), incomplete: map[*Lease]struct{}{}}
	if bu.capacity <= 0 {
		bu.capacity = defaultBytes
	}
	bu.lone = max(cfg.MemoryBytes/loneShare, bu.capacity)

	return bu
}

// Capacity returns the size of the budget in bytes.
func (bu *Budget) Capacity() int64 { return bu.capacity }

// Used returns the bytes that are held.
func (bu *Budget) Used() int64 {
	bu.mu.Lock()
	defer bu.mu.Unlock()

	return bu.used
}

// Lease is what one request holds of a budget. Its methods are safe for concurrent use.
type Lease struct {
	budget    *Budget
	owner     any    // the connection of the request, nil if it is not known
	interrupt func() // ends the reading of the request; nil once it is complete

	// Guarded by the budget's mutex.
	held      int64
	paidUntil time.Time // until when what has arrived keeps the request at minPace
	isEvicted bool
}

// open returns the lease of a request that is being read. interrupt is called if the request must yield
// to others; it must not block.
func (bu *Budget) open(owner any, interrupt func()) *Lease {
	le := &Lease{budget: bu, owner: owner, interrupt: interrupt, paidUntil: bu.cfg.Now().Add(paceGrace)}
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.incomplete[le] = struct{}{}

	return le
}

// reopen makes a lease yield again while its answer is sent.
func (le *Lease) reopen(owner any, interrupt func()) {
	bu := le.budget
	bu.mu.Lock()
	defer bu.mu.Unlock()

	le.owner, le.interrupt, le.paidUntil = owner, interrupt, bu.cfg.Now().Add(paceGrace)
	bu.incomplete[le] = struct{}{}
}

// Hold returns the lease of a request that has been read.
func (bu *Budget) Hold() *Lease { return &Lease{budget: bu} }

// Grow takes n more bytes. If the budget is full, requests that are behind minPace yield; if that does
// not suffice, or this request has yielded, Grow returns ProcessOverloaded.
func (le *Lease) Grow(n int64) error {
	bu := le.budget
	bu.mu.Lock()
	defer bu.mu.Unlock()

	if le.isEvicted {
		return bu.refusal()
	}
	for now := bu.cfg.Now(); !bu.hasRoom(le, n); {
		if !bu.evict(now, le) {
			return bu.refusal()
		}
	}
	bu.hold(le, le.held+n)

	return nil
}

// hasRoom reports whether a request may take n more bytes. The caller holds mu.
func (bu *Budget) hasRoom(le *Lease, n int64) bool {
	reserve := bu.capacity / smallShare
	if le.held+n <= SmallBytes {
		return bu.used+n <= bu.capacity || bu.small+n <= reserve
	}
	usedByLarge, others := bu.used-bu.small, bu.largeCount
	if le.held > SmallBytes {
		others--
	} else {
		n += le.held
	}
	if others == 0 {
		return usedByLarge+n <= bu.lone
	}

	return usedByLarge+n <= bu.capacity-reserve
}

// hold sets what a request holds. The caller holds mu.
func (bu *Budget) hold(le *Lease, bytes int64) {
	if le.held > SmallBytes {
		bu.largeCount--
	} else {
		bu.small -= le.held
	}
	bu.used += bytes - le.held
	le.held = bytes
	if bytes > SmallBytes {
		bu.largeCount++
	} else {
		bu.small += bytes
	}
}

// evict makes the request that is furthest behind its pace yield, except for one. The caller holds mu.
func (bu *Budget) evict(now time.Time, except *Lease) bool {
	slowest := bu.slowest(now, func(le *Lease) bool { return le != except && le.held > 0 })
	if slowest == nil {
		return false
	}
	slowest.isEvicted = true
	bu.hold(slowest, 0)
	delete(bu.incomplete, slowest)
	slowest.interrupt()
	bu.cfg.Meter.Count("intake.yielded")

	return true
}

// slowest returns the incomplete request that is furthest behind its pace, of those that may yield; nil
// if none is behind. The caller holds mu.
func (bu *Budget) slowest(now time.Time, mayYield func(le *Lease) bool) *Lease {
	var out *Lease
	for le := range bu.incomplete {
		if now.After(le.paidUntil) && (out == nil || le.paidUntil.Before(out.paidUntil)) && mayYield(le) {
			out = le
		}
	}

	return out
}

// behind returns the owner of the incomplete request that is furthest behind its pace, nil if none is.
func (bu *Budget) behind() any {
	bu.mu.Lock()
	defer bu.mu.Unlock()

	if le := bu.slowest(bu.cfg.Now(), func(le *Lease) bool { return le.owner != nil }); le != nil {
		return le.owner
	}

	return nil
}

// refusal returns the error of a request for which there is no room. The caller holds mu.
func (bu *Budget) refusal() error {
	return result.New(result.ProcessOverloaded, "intake: the requests of clients hold %d of %d bytes", bu.used, bu.capacity).
		WithExecution(result.NotRun).WithRetryAfter(retryAfter)
}

// arrived records bytes that were read, and reports whether the request may go on.
func (le *Lease) arrived(n int) bool {
	bu := le.budget
	now := bu.cfg.Now()
	bu.mu.Lock()
	defer bu.mu.Unlock()

	from := le.paidUntil
	if earliest := now.Add(-paceGrace); from.Before(earliest) {
		from = earliest
	}
	le.paidUntil = from.Add(time.Duration(float64(n) / minPace * float64(time.Second)))
	if latest := now.Add(paceGrace); le.paidUntil.After(latest) {
		le.paidUntil = latest
	}

	return !le.isEvicted
}

// yielded reports whether the request has yielded.
func (le *Lease) yielded() bool {
	le.budget.mu.Lock()
	defer le.budget.mu.Unlock()

	return le.isEvicted
}

// complete records that the request has been read: it no longer yields. It reports whether it has
// not yielded before.
func (le *Lease) complete() bool {
	bu := le.budget
	bu.mu.Lock()
	defer bu.mu.Unlock()
	delete(bu.incomplete, le)

	return !le.isEvicted
}

// Shrink gives n bytes back.
func (le *Lease) Shrink(n int64) {
	bu := le.budget
	bu.mu.Lock()
	defer bu.mu.Unlock()

	bu.hold(le, le.held-min(n, le.held))
}

// Close gives everything back.
func (le *Lease) Close() {
	bu := le.budget
	bu.mu.Lock()
	defer bu.mu.Unlock()

	delete(bu.incomplete, le)
	bu.hold(le, 0)
}

// Refused counts a request that exceeds a limit and logs it, with at most one line each logPeriod.
func (bu *Budget) Refused(err error, fl log.Fields) {
	bu.cfg.Meter.Count("intake.refused." + result.Lookup(result.From(err).Code).Name)
	if !bu.logs.Allow() {
		bu.cfg.Meter.Count("intake.refused.unlogged")

		return
	}
	bu.cfg.Log.WithFields(fl).WithFields(log.Fields{"error": err.Error(), "heldBytes": bu.Used(), "budgetBytes": bu.capacity}).
		Warn("request refused, it exceeds a limit")
}

// Measure sets the gauges of the budget.
func (bu *Budget) Measure() {
	bu.mu.Lock()
	defer bu.mu.Unlock()

	bu.cfg.Meter.Gauge("intake.bytes", bu.used)
	bu.cfg.Meter.Gauge("intake.reading", int64(len(bu.incomplete)))
}
