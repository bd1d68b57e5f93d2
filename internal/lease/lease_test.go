package lease_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/lease"
)

// simulation runs keepers against one table with delayed, lost and duplicate commands,
// drifting clocks and processes that pause at any time.
type simulation struct {
	rnd            *rand.Rand
	now            time.Duration
	table          *lease.Table
	procs          []*process
	queue          []command
	calls          int
	highestFencing uint64
	lastNonce      int
	restarts       bool // processes end, gracefully or not, and start again
	acts           []act
}

// act is the start of an outside call.
type act struct {
	at     time.Duration
	holder int
}

type process struct {
	keeper      *lease.Keeper
	clockRate   float64
	pausedUntil time.Duration
	callEndsAt  time.Duration // when its last outside call ends
}

type command struct {
	due        time.Duration
	from       int
	action     lease.Action
	isAnswered bool
}

var terms = lease.Timing{Duration: time.Second, MaxCall: 200 * time.Millisecond, Drift: 0.01, ReacquireDelay: 3 * time.Second}

func newSimulation(seed uint64) *simulation {
	w := &simulation{rnd: rand.New(rand.NewPCG(seed, 9)), table: lease.NewTable(nil)}
	for i := range 3 {
		w.procs = append(w.procs, &process{keeper: w.newKeeper(i), clockRate: 1 - terms.Drift + 2*terms.Drift*w.rnd.Float64()})
	}

	return w
}

func (w *simulation) newKeeper(i int) *lease.Keeper {
	return lease.NewKeeper("fleet", fmt.Sprint("p", i), terms, func() string { w.lastNonce++; return fmt.Sprint(w.lastNonce) })
}

// restart ends a process, mostly after it has released the lease, and starts it again.
func (w *simulation) restart(i int, p *process) {
	if w.rnd.IntN(4) > 0 {
		p.keeper.Stop()
		if ac, ok := p.keeper.Next(p.clock(w.now)); ok && ac.Release != nil {
			_, _ = w.table.Release(*ac.Release)
		}
	}
	w.queue = slices.DeleteFunc(w.queue, func(c command) bool { return c.from == i })
	p.keeper, p.callEndsAt = w.newKeeper(i), w.now
	p.pausedUntil = w.now + time.Duration(w.rnd.Int64N(int64(300*time.Millisecond)))
}

// expectNoTurns checks that the holders of the last two calls did not take turns.
func (w *simulation) expectNoTurns() {
	last := w.acts[len(w.acts)-1]
	isFollowed := false
	for _, ac := range slices.Backward(w.acts) {
		if last.at-ac.at >= terms.ReacquireDelay {
			return
		}
		isFollowed = isFollowed || ac.holder != last.holder
		Expect(isFollowed && ac.holder == last.holder).To(BeFalse(), "process %d acts again %v after a call, and another one acted between", last.holder, last.at-ac.at)
	}
}

func (p *process) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now) * p.clockRate)
}

func (w *simulation) step() {
	w.now += time.Duration(w.rnd.Int64N(int64(20 * time.Millisecond)))
	w.applyDue()
	for i, p := range w.procs {
		if w.now < p.pausedUntil {
			continue
		}
		if w.restarts && w.rnd.IntN(150) == 0 {
			w.restart(i, p)

			continue
		}
		if w.rnd.IntN(300) == 0 {
			p.pausedUntil = w.now + time.Duration(w.rnd.Int64N(int64(4*time.Second)))

			continue
		}
		if w.rnd.IntN(3) > 0 { // the local replica may lag behind
			p.keeper.Observe(p.clock(w.now), w.table.Get("fleet"))
		}
		if ac, ok := p.keeper.Next(p.clock(w.now)); ok {
			w.send(i, ac)
		}
		w.startCall(i, p)
	}
}

// startCall starts an outside call if the keeper allows it, and checks that no other
// process has one in flight.
func (w *simulation) startCall(i int, p *process) {
	fencing, ok := p.keeper.Held(p.clock(w.now))
	if !ok || w.now < p.callEndsAt || w.rnd.IntN(2) == 0 {
		return
	}
	for j, o := range w.procs {
		if j != i {
			Expect(w.now).To(BeNumerically(">=", o.callEndsAt), "two processes have outside calls in flight")
		}
	}
	Expect(fencing).To(BeNumerically(">=", w.highestFencing), "the fencing number decreased")
	w.highestFencing = fencing
	w.calls++
	w.acts = append(w.acts, act{at: w.now, holder: i})
	w.expectNoTurns()
	p.callEndsAt = w.now + time.Duration(w.rnd.Int64N(int64(terms.MaxCall)))
}

func (w *simulation) send(from int, ac lease.Action) {
	d := time.Duration(w.rnd.Int64N(int64(60 * time.Millisecond)))
	if w.rnd.IntN(10) == 0 {
		d *= 30 // late
	}
	w.queue = append(w.queue, command{w.now + d, from, ac, w.rnd.IntN(8) > 0})
	if w.rnd.IntN(10) == 0 {
		w.queue = append(w.queue, command{w.now + 2*d, from, ac, false}) // duplicate
	}
}

func (w *simulation) applyDue() {
	rest := w.queue[:0:0]
	for _, c := range w.queue {
		if c.due > w.now {
			rest = append(rest, c)

			continue
		}
		var le lease.Lease
		var err error
		switch {
		case c.action.Acquire != nil:
			le, err = w.table.Acquire(*c.action.Acquire)
		case c.action.Renew != nil:
			le, err = w.table.Renew(*c.action.Renew)
		case c.action.Release != nil:
			le, err = w.table.Release(*c.action.Release)
		}
		p := w.procs[c.from]
		switch {
		case c.isAnswered:
			p.keeper.HandleResult(p.clock(w.now), le, err)
		case c.action.Release == nil:
			p.keeper.HandleResult(p.clock(w.now), lease.Lease{}, fmt.Errorf("lost")) // a timeout
		}
	}
	w.queue = rest
}

var _ = Describe("keepers of a lease", func() {
	It("never let two processes act at the same time, despite clock drift, pauses and lost replies", func() {
		for seed := range uint64(60) {
			w := newSimulation(seed)
			for range 20_000 {
				w.step()
			}
			Expect(w.calls).To(BeNumerically(">", 100), "seed %d: too few outside calls", seed)
			Expect(w.table.Get("fleet").Fencing).To(BeNumerically(">", 2), "seed %d: the holder never changed", seed)
		}
	})

	It("don't take turns when processes end and start again, which forget that they held the lease", func() {
		for seed := range uint64(60) {
			w := newSimulation(seed)
			w.restarts = true
			for range 20_000 {
				w.step()
			}
			Expect(w.calls).To(BeNumerically(">", 100), "seed %d: too few outside calls", seed)
			Expect(w.table.Get("fleet").Fencing).To(BeNumerically(">", 10), "seed %d: the holder changed too rarely", seed)
			Expect(len(w.table.Get("fleet").Former)).To(BeNumerically("<=", len(w.procs)))
		}
	})

	It("let the only process acquire a lease again that it released", func() {
		ta := lease.NewTable(nil)
		for i := range 3 {
			ke := lease.NewKeeper("x", "a", terms, func() string { return fmt.Sprint(i) })
			ke.Observe(0, ta.Get("x"))
			ac, ok := ke.Next(0)
			Expect(ok).To(BeTrue())
			le, err := ta.Acquire(*ac.Acquire)
			Expect(err).NotTo(HaveOccurred())
			ke.HandleResult(0, le, nil)
			ke.Stop()
			ac, _ = ke.Next(0)
			_, err = ta.Release(*ac.Release)
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("forget former holders once they have held the lease long enough", func() {
		ta := lease.NewTable(map[string]lease.Lease{"x": {Name: "x", Fencing: 7, Former: []string{"a", "c"}}})
		b := lease.NewKeeper("x", "b", terms, func() string { return "1" })
		for now := time.Duration(0); now < 5*time.Second; now += 100 * time.Millisecond {
			b.Observe(now, ta.Get("x"))
			ac, ok := b.Next(now)
			if !ok {
				continue
			}
			var le lease.Lease
			var err error
			if ac.Acquire != nil {
				le, err = ta.Acquire(*ac.Acquire)
			} else {
				le, err = ta.Renew(*ac.Renew)
			}
			Expect(err).NotTo(HaveOccurred())
			b.HandleResult(now, le, nil)
			Expect(le.Former == nil).To(Equal(now > 3060*time.Millisecond), "%v", now)
		}
	})

	It("let the next process acquire a released lease at once", func() {
		ta := lease.NewTable(nil)
		a := lease.NewKeeper("x", "a", terms, func() string { return "1" })
		a.Observe(0, ta.Get("x"))
		ac, ok := a.Next(0)
		Expect(ok).To(BeTrue())
		le, err := ta.Acquire(*ac.Acquire)
		Expect(err).NotTo(HaveOccurred())
		a.HandleResult(0, le, nil)
		a.Stop()
		ac, ok = a.Next(time.Millisecond)
		Expect(ok).To(BeTrue())
		_, err = ta.Release(*ac.Release)
		Expect(err).NotTo(HaveOccurred())
		_, held := a.Held(time.Millisecond)
		Expect(held).To(BeFalse())

		b := lease.NewKeeper("x", "b", terms, func() string { return "2" })
		b.Observe(2*time.Millisecond, ta.Get("x"))
		ac, ok = b.Next(2 * time.Millisecond)
		Expect(ok).To(BeTrue())
		le, err = ta.Acquire(*ac.Acquire)
		Expect(err).NotTo(HaveOccurred())
		Expect(le.Fencing).To(Equal(uint64(2)))
	})
})
