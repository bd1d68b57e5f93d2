package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/scheduler"
	"github.com/tamarackbay/tamarackbay/internal/workload"
)

// newPacedCluster returns a balancer that places by the time to completion.
func newPacedCluster(n, slots int) *cluster {
	cl := &cluster{now: time.Hour}
	cl.Balancer = balance.New(balance.Config{
		FailureDomain: "a", Scheduler: scheduler.Config{Policy: scheduler.PolicyCompletion, RandomChoices: 64},
		Now: func() time.Duration { return cl.now }, Random: func(int) int { return 0 },
	})
	for i := range n {
		cl.records = append(cl.records, registry.Record{
			ID: fmt.Sprintf("s%d", i), BornMs: 1, Address: fmt.Sprint(i), Service: "s", FailureDomain: "a", Slots: slots, State: registry.Ready,
		})
		cl.Sync(cl.records)
	}
	cl.now += time.Minute

	return cl
}

// call sends one request to a certain backend server, which takes a time and then reports.
func (cl *cluster) call(id string, took time.Duration, lo backend.Load) *balance.Grant {
	gr := cl.Acquire(&balance.Request{Service: "s", Only: []string{id}, Work: workload.Estimate{Seconds: 0.1}})
	ExpectWithOffset(1, gr).NotTo(BeNil())
	cl.now += took
	gr.RecordAnswer(&backend.Answer{Load: &lo})
	gr.Release(balance.Succeeded, &lo)

	return gr
}

// learn sends requests to each backend server in turn; took are their durations.
func (cl *cluster) learn(rounds int, pace float64, took ...time.Duration) {
	for range rounds {
		for i, d := range took {
			cl.call(fmt.Sprintf("s%d", i), d, backend.Load{Running: 1, Slots: 6, Pace: pace})
		}
	}
}

func (cl *cluster) pick() string {
	gr := cl.Acquire(&balance.Request{Service: "s", Work: workload.Estimate{Seconds: 0.1}})
	ExpectWithOffset(1, gr).NotTo(BeNil())
	gr.Release(balance.Unused, nil)

	return gr.Record().ID
}

var _ = ginkgo.Describe("the speed of backend servers", func() {
	const usual, slow = 100 * time.Millisecond, 182 * time.Millisecond

	ginkgo.It("is learned from responses: one of 0.55 of the speed is left to others", func() {
		cl := newPacedCluster(3, 6)
		cl.learn(30, 1, slow, usual, usual)
		cl.now += time.Second
		for range 10 {
			Expect(cl.pick()).NotTo(Equal("s0"))
		}
	})

	ginkgo.It("is tried again after some minutes, as the cause may have gone", func() {
		cl := newPacedCluster(2, 6)
		cl.learn(30, 1, slow, usual)
		cl.now += 10 * time.Minute
		seen := map[string]bool{}
		for range 2 {
			gr := cl.Acquire(&balance.Request{Service: "s", Work: workload.Estimate{Seconds: 0.1}})
			seen[gr.Record().ID] = true
		}
		Expect(seen).To(HaveLen(2))
	})

	ginkgo.It("is the momentary one for 300 ms, which a report older than that no longer shows", func() {
		cl := newPacedCluster(2, 6)
		cl.learn(5, 1, usual, usual)
		cl.call("s0", 250*time.Millisecond, backend.Load{Running: 1, Slots: 6, Pace: 2.5})
		Expect(cl.pick()).To(Equal("s1"))
		cl.now += 301 * time.Millisecond
		Expect(cl.pick()).To(Equal("s0"))
	})

	ginkgo.It("is not taken for a lasting one: the reported pace explains the duration", func() {
		cl := newPacedCluster(2, 6)
		cl.learn(5, 1, usual, usual)
		for range 20 {
			cl.call("s0", 250*time.Millisecond, backend.Load{Running: 1, Slots: 6, Pace: 2.5})
			cl.call("s1", usual, backend.Load{Running: 1, Slots: 6, Pace: 1})
		}
		cl.now += time.Second
		Expect(cl.pick()).To(Equal("s0"))
	})

	ginkgo.It("does not count the wait at a full backend server, for which its work would be overestimated", func() {
		cl := newPacedCluster(1, 6)
		cl.learn(5, 1, usual)
		Expect(cl.call("s0", usual, backend.Load{Running: 1, Slots: 6, Pace: 1}).Work()).To(BeNumerically("~", 0.1, 0.01))
		Expect(cl.call("s0", time.Second, backend.Load{Running: 6, Waiting: 2, Slots: 6, Pace: 1}).Work()).To(BeZero())
	})

	ginkgo.It("is learned from the actual work of a text where its length was not the expected one", func() {
		cl := newPacedCluster(2, 6)
		cl.learn(5, 1, usual, usual)
		for range 30 {
			gr := cl.Acquire(&balance.Request{Service: "s", Only: []string{"s0"}, Work: workload.Estimate{Seconds: 0.1}})
			cl.now += 400 * time.Millisecond
			gr.SetWork(0.4)
			gr.Release(balance.Succeeded, &backend.Load{Running: 1, Slots: 6, Pace: 1})
		}
		cl.now += time.Second
		Expect(cl.pick()).To(Equal("s0"))
	})

	ginkgo.It("has no effect if no backend server of the service reports its pace", func() {
		cl := newPacedCluster(2, 6)
		cl.learn(30, 0, slow, usual)
		cl.now += time.Second
		Expect(cl.pick()).To(Equal("s0"))
	})

	ginkgo.It("has no effect any more once the servers that reported a pace are gone", func() {
		cl := newPacedCluster(2, 6)
		cl.learn(30, 1, slow, usual)
		for i := range cl.records {
			cl.records[i].BornMs++
		}
		cl.Sync(cl.records)
		cl.now += time.Minute
		cl.learn(30, 0, slow, usual)
		cl.now += time.Second
		seen := map[string]bool{}
		for range 2 {
			seen[cl.Acquire(&balance.Request{Service: "s"}).Record().ID] = true
		}
		Expect(seen).To(HaveLen(2))
	})

	ginkgo.It("is used with the usual load of other processes once the last report is out of date", func() {
		cl := newPacedCluster(2, 6)
		for range 20 {
			cl.call("s0", usual, backend.Load{Running: 7, Slots: 6, Pace: 1})
			cl.call("s1", usual, backend.Load{Running: 1, Slots: 6, Pace: 1})
		}
		cl.now += 5 * time.Second
		Expect(cl.pick()).To(Equal("s1"))
	})
})

var _ = ginkgo.Describe("the backlog of a service", func() {
	ginkgo.It("is empty without backend servers", func() {
		waiting, inFlight, perSecond := newPacedCluster(0, 0).Backlog("s")
		Expect([]float64{waiting, inFlight, perSecond}).To(Equal([]float64{0, 0, 0}))
	})

	ginkgo.It("counts the requests of all processes, those beyond the slots as waiting", func() {
		cl := newPacedCluster(2, 6)
		for range 10 {
			cl.call("s0", 100*time.Millisecond, backend.Load{Running: 1, Slots: 6, Pace: 1})
			cl.call("s1", 100*time.Millisecond, backend.Load{Running: 1, Slots: 6, Pace: 1})
		}
		cl.now += time.Second
		waiting, inFlight, perSecond := cl.Backlog("s")
		Expect(waiting).To(BeZero())
		Expect(inFlight).To(BeZero())
		Expect(perSecond).To(BeNumerically("~", 12, 0.1))

		cl.call("s0", 100*time.Millisecond, backend.Load{Running: 6, Waiting: 7, Slots: 6, Pace: 2})
		cl.Acquire(&balance.Request{Service: "s", Only: []string{"s1"}, Work: workload.Estimate{Seconds: 3}})
		waiting, inFlight, perSecond = cl.Backlog("s")
		Expect(waiting).To(BeNumerically("~", 0.6, 0.1)) // 12 of other processes at 6 slots, 0.1 s each
		Expect(inFlight).To(BeNumerically("~", 0.3+1.5, 0.1))
		Expect(perSecond).To(BeNumerically("~", 9, 0.2))
	})
})

// BenchmarkAcquire measures the placement of one request with all of its state.
func BenchmarkAcquire(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			now := time.Hour
			ba := balance.New(balance.Config{
				FailureDomain: "a", Scheduler: scheduler.Config{Policy: scheduler.PolicyCompletion, RandomChoices: 8},
				Now: func() time.Duration { return now }, Random: func(n int) int { return int(now) % n }, IdleTimeout: func() time.Duration { return time.Minute },
			})
			var records []registry.Record
			for i := range n {
				records = append(records, registry.Record{ID: fmt.Sprint(i), BornMs: 1, Address: fmt.Sprint(i), Service: "s", Slots: 6, State: registry.Ready})
			}
			ba.Sync(records)
			now += time.Minute
			lo := &backend.Load{Running: 2, Slots: 6, Pace: 1}
			b.ReportAllocs()
			for b.Loop() {
				now += 37 * time.Microsecond
				gr := ba.Acquire(&balance.Request{Service: "s", Work: workload.Estimate{Seconds: 0.1}})
				gr.Release(balance.Succeeded, lo)
			}
		})
	}
}
