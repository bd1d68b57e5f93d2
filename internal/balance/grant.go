package balance

import (
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/registry"
)

// Grant is the right to send one request to a backend server.
type Grant struct {
	balancer  *Balancer
	set       *serverSet
	server    *server
	record    registry.Record
	tokens    int
	isSuspect bool
	grantedAt time.Duration
	once      sync.Once

	expected   float64 // work in flight that was added for the request
	work       float64 // of the request: expected, or actual once SetWork was called; 0 if unknown
	ahead      int     // requests that it has to wait for, as far as known when it was granted
	hasWaiting bool    // requests waited at the backend server when it answered
	hasLoad    bool    // the load in the answer has been recorded
	pace       float64 // in the answer, 0 if unknown
	isHeld     bool    // the backend server held the prefix
	done       float64 // work that the request turned out to be, 0 if unknown
}

// RecordAnswer records the head of the backend server's answer to the request.
func (gr *Grant) RecordAnswer(an *backend.Answer) {
	ba := gr.balancer
	if an.IsLeaving {
		ba.markLeaving(&gr.record)
	}
	ba.cfg.Permits.Observe(gr.record.Incarnation(), gr.grantedAt, an.Limit)
	if an.IsLoadUnreadable {
		ba.reportUnreadable(&gr.record)
	}
	if an.Load != nil && an.Load.Pace > 0 && gr.set.usesPace {
		ba.recordLoad(gr, an.Load)
	}
}

// recordLoad takes over a load with a pace from the head of the answer. Others are taken over
// when the request ends.
func (ba *Balancer) recordLoad(gr *Grant, lo *backend.Load) {
	ba.mu.Lock()
	defer ba.mu.Unlock()

	gr.hasLoad, gr.pace, gr.hasWaiting = true, lo.Pace, lo.Waiting > 0
	if i := slices.Index(gr.set.servers, gr.server); i >= 0 {
		gr.set.recordLoad(ba.cfg.Now(), i, lo, gr.set.cands[i].InFlight)
	}
}

// SetWork replaces the expected work of the request by the actual one, as far as its caller
// knows it, such as that of a text by its length. It must precede Release.
func (gr *Grant) SetWork(seconds float64) {
	gr.balancer.mu.Lock()
	defer gr.balancer.mu.Unlock()
	gr.work = seconds
}

// Work returns the work that a request turned out to be, in seconds of one slot of a backend
// server of usual speed, once it has been released. It is 0 if it can't be told: the request
// failed, or waited for a slot.
func (gr *Grant) Work() float64 {
	gr.balancer.mu.Lock()
	defer gr.balancer.mu.Unlock()

	return gr.done
}

// unreadablePeriod is the shortest time between two log lines about unreadable loads.
const unreadablePeriod = 10 * time.Second

// reportUnreadable counts a load that can't be read and logs it if none was logged lately.
func (ba *Balancer) reportUnreadable(re *registry.Record) {
	ba.cfg.Meter.Count("balance.loadUnreadable")
	ba.mu.Lock()
	now := ba.cfg.Now()
	isDue := ba.unreadableLogged == 0 || now-ba.unreadableLogged >= unreadablePeriod
	if isDue {
		ba.unreadableLogged = now
	}
	ba.mu.Unlock()
	if isDue {
		ba.cfg.Log.WithFields(log.Fields{"server": re.ID, "service": re.Service}).Warn("load that a backend server reports can't be read")
	}
}

// HoldsPrefix reports whether the backend server was known to hold the request's prefix.
func (gr *Grant) HoldsPrefix() bool { return gr.isHeld }

// Record returns the record of the backend server at the time it was picked.
func (gr *Grant) Record() registry.Record { return gr.record }

// Outcome is how a granted request ended.
type Outcome uint8

// Outcomes of a granted request.
const (
	Unused    Outcome = iota // says nothing about the backend server
	Succeeded                // the backend server responded, whatever its response
	Failed                   // the backend server failed the request
	Busy                     // the backend server refused: it had no room or was loading weights
)

// Release ends a grant; further calls have no effect. load is the load that the
// backend server reported with its response, or nil.
func (gr *Grant) Release(oc Outcome, load *backend.Load) {
	gr.once.Do(func() { gr.balancer.release(gr, oc, load) })
}
