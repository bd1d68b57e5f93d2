// Package admission decides which waiting request is served next and which is
// refused. It enforces the rate and queue limits of each workspace, serves classes
// in order of their rank with a bounded wait for the lower ones, and shares a class
// between workspaces by weighted fair queueing on the estimated cost. It reads no
// clock: time is an argument.
package admission

import (
	"time"

	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

// Item is one waiting request.
type Item struct {
	Workspace string
	Weight    float64
	Class     int           // rank, 0 is served first
	Cost      float64       // estimated
	Arrived   time.Duration // set by Push
	Deadline  time.Duration // 0 for none
	MaxQueued int           // limit of the workspace's queue in this class
	Payload   any           // not read by the queue
}

// flow is the queue of one workspace in one class.
type flow struct {
	workspace   string
	items       []*Item
	waitingCost float64 // estimated cost of items
	startTag    float64 // virtual time at which its next item is due
	isOver      bool    // as of the current pop
}

// class holds the waiting requests of one class and its virtual time, which advances
// by cost divided by weight as requests are served.
type class struct {
	flows       []*flow // those with waiting items
	byName      map[string]*flow
	virtualTime float64 // start tag of the item served last
	waitingCost float64 // estimated cost of all waiting items
	count       int
}

// Config holds the limits of a Queue.
type Config struct {
	MaxItems int           // waiting in all classes together
	MaxWait  time.Duration // after which an item of a lower class is served before higher classes
	IsFair   bool          // false: first come, first served, a baseline for comparison
	// IsOver reports whether a workspace uses more than its share at all processes together. Within a
	// class, its requests are served after those of the others. Nil: none does.
	IsOver func(workspace string) bool
}

// Defaults fills the fields left zero.
func (c *Config) Defaults() {
	if c.MaxItems == 0 {
		c.MaxItems = 100_000
	}
	if c.MaxWait == 0 {
		c.MaxWait = 20 * time.Second
	}
}

// Queue holds the waiting requests of one pool. It is not safe for concurrent use.
type Queue struct {
	cfg     Config
	classes [declaration.ClassCount]class
	count   int
	rate    servedRate
}

// NewQueue returns an empty queue.
func NewQueue(cfg Config) *Queue {
	cfg.Defaults()
	q := &Queue{cfg: cfg}
	for i := range q.classes {
		q.classes[i].byName = map[string]*flow{}
	}

	return q
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.count }

// Cost returns the estimated cost of all waiting requests.
func (q *Queue) Cost() float64 {
	sum := 0.0
	for i := range q.classes {
		sum += q.classes[i].waitingCost
	}

	return sum
}

// Push adds a request, or refuses it if the queue is full or its deadline would pass
// before it is served.
func (q *Queue) Push(now time.Duration, it *Item) error {
	cl := &q.classes[it.Class]
	name := it.Workspace
	if !q.cfg.IsFair {
		name = ""
	}
	fl := cl.byName[name]
	if fl == nil {
		fl = &flow{workspace: name}
		cl.byName[name] = fl
	}

	wait := q.expectedWait(it)
	switch {
	case q.count >= q.cfg.MaxItems || (q.cfg.IsFair && len(fl.items) >= it.MaxQueued):
		return result.New(result.QueueFull, "admission: queue is full: %d requests of workspace %s wait", len(fl.items), it.Workspace).WithRetryAfter(max(wait, time.Second))
	case it.Deadline > 0 && now+wait > it.Deadline:
		return result.New(result.DeadlineTooShort, "admission: expected wait of %v exceeds the deadline", wait.Round(time.Millisecond)).WithRetryAfter(wait)
	}

	if len(fl.items) == 0 {
		fl.startTag = max(fl.startTag, cl.virtualTime)
		cl.flows = append(cl.flows, fl)
	}
	it.Arrived = now
	fl.items = append(fl.items, it)
	fl.waitingCost += it.Cost
	cl.waitingCost += it.Cost
	cl.count++
	q.count++

	return nil
}

// expectedWait estimates how long the item would wait: the cost served before it,
// divided by the recent rate of served cost. In the item's own class, that is the
// cost of its workspace's waiting items, scaled up by the workspace's share of the
// weights, as the other workspaces are served in between.
func (q *Queue) expectedWait(it *Item) time.Duration {
	perSecond := q.rate.perSecond()
	if perSecond <= 0 {
		return 0
	}

	before := 0.0
	for i := 0; i < it.Class; i++ {
		before += q.classes[i].waitingCost
	}
	cl := &q.classes[it.Class]
	if !q.cfg.IsFair {
		return time.Duration((before + cl.waitingCost) / perSecond * float64(time.Second))
	}
	own, weights := 0.0, it.Weight
	for _, fl := range cl.flows {
		if fl.workspace == it.Workspace {
			own = fl.waitingCost
		} else {
			weights += fl.items[0].Weight
		}
	}
	inClass := min(own*weights/it.Weight, cl.waitingCost+own)

	return time.Duration((before + inClass) / perSecond * float64(time.Second))
}

// Pop removes and returns the next request for which fits returns true, or nil.
// Requests whose deadline has passed are removed and passed to expired instead.
func (q *Queue) Pop(now time.Duration, fits func(it *Item) bool, expired func(it *Item)) *Item {
	if it := q.popOverdue(now, fits, expired); it != nil {
		return it
	}
	for i := range q.classes {
		if it := q.popClass(now, &q.classes[i], fits, expired); it != nil {
			return it
		}
	}

	return nil
}

// popOverdue pops from the first lower class in which an item has waited longer than
// Config.MaxWait.
func (q *Queue) popOverdue(now time.Duration, fits func(it *Item) bool, expired func(it *Item)) *Item {
	for i := 1; i < len(q.classes); i++ {
		cl := &q.classes[i]
		for _, fl := range cl.flows {
			if now > fl.items[0].Arrived+q.cfg.MaxWait {
				return q.popClass(now, cl, fits, expired)
			}
		}
	}

	return nil
}

// precedes reports whether the next item of a flow is due before that of another one.
func (fl *flow) precedes(other *flow) bool {
	if fl.isOver != other.isOver {
		return other.isOver
	}

	return fl.startTag < other.startTag
}

// popClass pops from the flow that is due first among those whose first item fits. Flows
// that don't fit are skipped only if they are among the first 64, the size of the bit
// set.
func (q *Queue) popClass(now time.Duration, cl *class, fits func(it *Item) bool, expired func(it *Item)) *Item {
	q.dropExpired(now, cl, expired)
	if q.cfg.IsOver != nil {
		for _, fl := range cl.flows {
			fl.isOver = q.cfg.IsOver(fl.workspace)
		}
	}
	var tried uint64 // bit i: flows[i] did not fit
	for range min(len(cl.flows), 64) {
		best := -1
		for i, fl := range cl.flows {
			if i < 64 && tried&(1<<i) != 0 {
				continue
			}
			if best < 0 || fl.precedes(cl.flows[best]) {
				best = i
			}
		}
		if best < 0 {
			return nil
		}
		if it := cl.flows[best].items[0]; fits(it) {
			if tag := cl.flows[best].startTag; q.cfg.IsOver == nil || tag > cl.virtualTime {
				cl.virtualTime = tag // a flow that was passed over has an earlier one
			}
			cl.flows[best].startTag += it.Cost / it.Weight
			q.removeHead(cl, best)

			return it
		}
		if best >= 64 {
			return nil
		}
		tried |= 1 << best
	}

	return nil
}

// dropExpired removes expired items from the heads of the flows. Expired items behind
// an unexpired one stay until they reach the head.
func (q *Queue) dropExpired(now time.Duration, cl *class, expired func(it *Item)) {
	for i := len(cl.flows) - 1; i >= 0; i-- {
		fl := cl.flows[i]
		for len(fl.items) > 0 && fl.items[0].Deadline > 0 && now > fl.items[0].Deadline {
			it := fl.items[0]
			isLast := len(fl.items) == 1
			q.removeHead(cl, i)
			expired(it)
			if isLast {
				break
			}
		}
	}
}

func (q *Queue) removeHead(cl *class, i int) {
	fl := cl.flows[i]
	cl.waitingCost -= fl.items[0].Cost
	fl.waitingCost -= fl.items[0].Cost
	cl.count--
	q.count--
	fl.items[0] = nil
	fl.items = fl.items[1:]
	if len(fl.items) == 0 {
		fl.items, fl.waitingCost = nil, 0
		cl.flows = append(cl.flows[:i], cl.flows[i+1:]...)
		if cl.count == 0 {
			cl.waitingCost = 0
		}
	}
}

// Remove removes a request that its caller has cancelled. It reports whether the
// request was still waiting.
func (q *Queue) Remove(it *Item) bool {
	cl := &q.classes[it.Class]
	for i, fl := range cl.flows {
		for j, o := range fl.items {
			if o != it {
				continue
			}
			if j == 0 {
				q.removeHead(cl, i)

				return true
			}
			fl.items = append(fl.items[:j], fl.items[j+1:]...)
			fl.waitingCost -= it.Cost
			cl.waitingCost -= it.Cost
			cl.count--
			q.count--

			return true
		}
	}

	return false
}

// RecordServed records served cost, from which the queue estimates its service rate.
func (q *Queue) RecordServed(now time.Duration, cost float64) { q.rate.add(now, cost, q.count > 0) }

// servedRate is a moving average of the cost served per second while requests waited.
type servedRate struct {
	periodStart time.Duration
	periodCost  float64
	average     float64
}

// ratePeriod is the shortest period over which one sample of the rate is taken.
const ratePeriod = 500 * time.Millisecond

func (ra *servedRate) add(now time.Duration, cost float64, isBusy bool) {
	if !isBusy {
		ra.periodStart, ra.periodCost = now, 0

		return
	}
	if ra.periodStart == 0 {
		ra.periodStart = now
	}

	ra.periodCost += cost
	d := now - ra.periodStart
	if d < ratePeriod {
		return
	}
	v := ra.periodCost / d.Seconds()
	if ra.average == 0 {
		ra.average = v
	} else {
		ra.average = 0.7*ra.average + 0.3*v
	}
	ra.periodStart, ra.periodCost = now, 0
}

func (ra *servedRate) perSecond() float64 { return ra.average }
