package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/admission"
	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/fairshare"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

const (
	// waitDivisor is the part of a route's latency objective for which a request may wait for a
	// slot. More of it would leave too little for the request itself.
	waitDivisor = 4
	// dispatchPeriod is how often waiting requests are offered to the backend servers when no
	// request of this gateway ends: slots also become free by requests of other processes.
	dispatchPeriod = 10 * time.Millisecond
	// hopelessFactor is how many times longer than it may wait a request's expected wait must be
	// for the request to be refused at once. The expectation varies with the work of others.
	hopelessFactor = 2
	// defaultMaxWaiting and defaultMaxWaitingBytes bound the waiting requests where the
	// configuration of the ingress does not.
	defaultMaxWaiting      = 1000
	defaultMaxWaitingBytes = 8 << 20
	// overShare is the use by share from which a workspace is above its share. The use varies with
	// each request: a workspace alone at a service is a little above and below all the time.
	overShare = 1.2
	// maxRetryJitter is the largest part by which the time to retry after is longer than expected,
	// so that refused requests do not return at once.
	maxRetryJitter = 0.5
	// maxWorkspaceLabels bounds the workspaces whose refusals are counted by name.
	maxWorkspaceLabels = 32
	// maxRetryAfter bounds the time to retry after.
	maxRetryAfter = 5 * time.Second
)

// waitingRoom holds the requests that wait for a slot, by service. It is safe for concurrent use.
type waitingRoom struct {
	cfg *Config

	labels *meter.Labels

	mu     sync.Mutex
	queues map[string]*serviceQueue
	count  int
	bytes  int64
}

// serviceQueue holds the requests that wait for a slot of a service.
type serviceQueue struct {
	queue        *admission.Queue
	dispatchedAt time.Duration
}

// waiter is the payload of a queued item.
type waiter struct {
	acquire   func() *balance.Grant
	isUsual   bool          // any backend server of the service can run it
	model     string        // that it needs
	notBefore time.Duration // its workspace is above its share: others are first until then
	grant     *balance.Grant
	granted   chan struct{} // closed once grant is set
}

func newWaitingRoom(cfg *Config) *waitingRoom {
	return &waitingRoom{cfg: cfg, labels: meter.NewLabels(maxWorkspaceLabels), queues: map[string]*serviceQueue{}}
}

// queueOf returns the queue of a service. The caller holds mu.
func (wr *waitingRoom) queueOf(service string) *serviceQueue {
	sq := wr.queues[service]
	if sq == nil {
		sq = &serviceQueue{queue: admission.NewQueue(admission.Config{IsFair: true, MaxItems: wr.cfg.MaxWaiting, IsOver: func(workspace string) bool {
			return wr.isOver(fairshare.Key{Service: service, Workspace: workspace})
		}})}
		wr.queues[service] = sq
	}

	return sq
}

// isOver reports whether a workspace is known to be above its share.
func (wr *waitingRoom) isOver(ke fairshare.Key) bool {
	excess, ok := wr.cfg.Shares.Excess(wr.cfg.Now(), ke)

	return ok && excess > overShare
}

// isEmpty reports whether no request waits for a service.
func (wr *waitingRoom) isEmpty(service string) bool {
	wr.mu.Lock()
	defer wr.mu.Unlock()

	sq := wr.queues[service]

	return sq == nil || sq.queue.Len() == 0
}

// waitRequest describes a request that is to wait for a slot.
type waitRequest struct {
	key     fairshare.Key
	urgency int
	work    float64       // seconds of a slot
	hold    time.Duration // how long it may wait
	bytes   int
	isUsual bool
	model   string
	isOver  bool
	acquire func() *balance.Grant
}

// wait waits until the request gets a slot. It returns an error with the time to retry after at
// once if the request would wait for too long, and otherwise after its hold.
func (wr *waitingRoom) wait(ctx context.Context, rq *waitRequest) (*balance.Grant, error) {
	now := wr.cfg.Now()
	w := &waiter{acquire: rq.acquire, isUsual: rq.isUsual, model: rq.model, granted: make(chan struct{})}
	if rq.isOver {
		w.notBefore = now + min(dispatchPeriod, rq.hold/2)
	}
	it := &admission.Item{
		Workspace: rq.key.Workspace, Weight: 1, Class: min(max(rq.urgency, 0), declaration.ClassCount-1), Cost: rq.work,
		Deadline: now + hopelessFactor*rq.hold, MaxQueued: wr.cfg.MaxWaiting, Payload: w,
	}
	if err := wr.push(now, it, rq); err != nil {
		wr.cfg.Meter.Count("wait.refused." + wr.labels.Of(rq.key.Workspace))

		return nil, err
	}
	defer wr.leave(rq)

	hold := time.NewTimer(rq.hold)
	defer hold.Stop()
	tick := time.NewTicker(dispatchPeriod)
	defer tick.Stop()
	for {
		select {
		case <-w.granted:
			return w.grant, nil
		case <-tick.C:
			wr.dispatch(rq.key.Service, false)

			continue
		case <-hold.C:
		case <-ctx.Done():
		}
		if gr := wr.cancel(rq.key.Service, it, w); gr != nil {
			return gr, nil
		}

		wr.cfg.Meter.Count("wait.refused." + wr.labels.Of(rq.key.Workspace))

		return nil, wr.refusal(rq.key.Service, "no slot became free in %v", rq.hold)
	}
}

// push queues a request unless its wait is hopeless or too many wait already.
func (wr *waitingRoom) push(now time.Duration, it *admission.Item, rq *waitRequest) error {
	wr.mu.Lock()
	sq := wr.queueOf(rq.key.Service)
	if wr.count >= wr.cfg.MaxWaiting || wr.bytes+int64(rq.bytes) > wr.cfg.MaxWaitingBytes {
		wr.mu.Unlock()

		return wr.refusal(rq.key.Service, "%d requests wait at this gateway", wr.cfg.MaxWaiting)
	}
	if err := sq.queue.Push(now, it); err != nil {
		wr.mu.Unlock()
		wr.cfg.Meter.Count("wait.hopeless")

		return wr.refusal(rq.key.Service, "%v", err)
	}
	wr.count++
	wr.bytes += int64(rq.bytes)
	wr.mu.Unlock()
	wr.cfg.Shares.Wait(now, rq.key)
	wr.dispatch(rq.key.Service, true)

	return nil
}

// leave takes a request out of the counts.
func (wr *waitingRoom) leave(rq *waitRequest) {
	wr.cfg.Shares.EndWait(wr.cfg.Now(), rq.key)
	wr.mu.Lock()
	defer wr.mu.Unlock()

	wr.count--
	wr.bytes -= int64(rq.bytes)
}

// cancel ends the wait of a request. It returns the slot that it got in the meantime, or nil.
func (wr *waitingRoom) cancel(service string, it *admission.Item, w *waiter) *balance.Grant {
	wr.mu.Lock()
	defer wr.mu.Unlock()

	wr.queues[service].queue.Remove(it)

	return w.grant
}

// recordServed counts work that got a slot, also without a wait: the expected waits depend on it.
func (wr *waitingRoom) recordServed(service string, work float64) {
	wr.mu.Lock()
	defer wr.mu.Unlock()

	if sq := wr.queues[service]; sq != nil {
		sq.queue.RecordServed(wr.cfg.Now(), work)
	}
}

// dispatch gives free slots to waiting requests. Unless isDue, it does so only if half a
// dispatchPeriod has passed since the last time: each waiting request has a ticker of its own.
func (wr *waitingRoom) dispatch(service string, isDue bool) {
	wr.mu.Lock()
	defer wr.mu.Unlock()

	sq, now := wr.queues[service], wr.cfg.Now()
	if sq == nil || sq.queue.Len() == 0 || (!isDue && now-sq.dispatchedAt < dispatchPeriod/2) {
		return
	}
	sq.dispatchedAt = now
	full := map[string]bool{} // models without a slot for a usual request
	fits := func(it *admission.Item) bool {
		w := it.Payload.(*waiter)
		if now < w.notBefore || full[w.model] {
			return false
		}
		if w.grant = w.acquire(); w.grant == nil {
			full[w.model] = w.isUsual
		}

		return w.grant != nil
	}
	for {
		it := sq.queue.Pop(now, fits, func(*admission.Item) {})
		if it == nil {
			return
		}
		wr.cfg.Meter.RecordDuration("queue.wait", now-it.Arrived)
		close(it.Payload.(*waiter).granted)
	}
}

// refusal returns the refusal of a request for which there is no slot, with the time in which the
// work ahead of it is done.
func (wr *waitingRoom) refusal(service, format string, args ...any) *result.Error {
	wr.mu.Lock()
	cost := 0.0
	if sq := wr.queues[service]; sq != nil {
		cost = sq.queue.Cost()
	}
	wr.mu.Unlock()
	seconds := 0.0
	if wr.cfg.Backlog != nil {
		seconds = wr.cfg.Backlog(service).Clears(cost)
	}
	after := max(defaultRetryAfter, time.Duration(seconds*float64(time.Second)))
	after = time.Duration(float64(after) * (1 + maxRetryJitter*wr.cfg.Random()))

	return result.New(result.QueueFull, "ingress: every backend server of "+service+" is at its limit: "+format, args...).WithRetryAfter(min(after, maxRetryAfter))
}

// Measure sets the gauge of the requests that wait for a slot.
func (in *Ingress) Measure() {
	in.waiting.mu.Lock()
	defer in.waiting.mu.Unlock()

	in.cfg.Meter.Gauge("wait.requests", int64(in.waiting.count))
}
