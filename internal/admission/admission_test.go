package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/admission"
	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

func item(workspace string, weight float64, class int, cost float64) *admission.Item {
	return &admission.Item{Workspace: workspace, Weight: weight, Class: class, Cost: cost, MaxQueued: 10_000}
}

func alwaysFits(*admission.Item) bool { return true }

func ignoreExpired(*admission.Item) {}

// serve pops up to n items and returns the cost served by workspace.
func serve(q *admission.Queue, now time.Duration, n int) map[string]float64 {
	got := map[string]float64{}
	for range n {
		it := q.Pop(now, alwaysFits, ignoreExpired)
		if it == nil {
			return got
		}
		got[it.Workspace] += it.Cost
	}

	return got
}

var _ = Describe("a queue", func() {
	shares := []struct {
		name    string
		weights map[string]float64
		cost    map[string]float64
		items   map[string]int
	}{
		{"one workspace that sends ten times as many requests", map[string]float64{"a": 1, "b": 1}, map[string]float64{"a": 10, "b": 10}, map[string]int{"a": 3000, "b": 300}},
		{"weights", map[string]float64{"a": 4, "b": 1}, map[string]float64{"a": 10, "b": 10}, map[string]int{"a": 2000, "b": 2000}},
		{"requests of different cost", map[string]float64{"a": 1, "b": 1}, map[string]float64{"a": 100, "b": 1}, map[string]int{"a": 1000, "b": 9000}},
	}
	for _, tc := range shares {
		It("shares capacity by weight: "+tc.name, func() {
			q := admission.NewQueue(admission.Config{IsFair: true})
			for w, n := range tc.items {
				for range n {
					Expect(q.Push(0, item(w, tc.weights[w], 2, tc.cost[w]))).To(Succeed())
				}
			}
			got := serve(q, time.Millisecond, 550)
			Expect(got["a"] / tc.weights["a"]).To(BeNumerically("~", got["b"]/tc.weights["b"], 110))
		})
	}

	It("gives a workspace no credit for the time in which it had no requests", func() {
		q := admission.NewQueue(admission.Config{IsFair: true})
		for range 2000 {
			Expect(q.Push(0, item("a", 1, 2, 1))).To(Succeed())
		}
		serve(q, time.Millisecond, 1000)
		for range 1000 {
			Expect(q.Push(0, item("b", 1, 2, 1))).To(Succeed())
		}
		got := serve(q, time.Millisecond, 200)
		Expect(got["a"]).To(BeNumerically("~", 100, 2))
	})

	It("serves the workspaces above their share after the others, and leaves no slot idle", func() {
		over := map[string]bool{"a": true}
		q := admission.NewQueue(admission.Config{IsFair: true, IsOver: func(workspace string) bool { return over[workspace] }})
		for _, w := range []string{"a", "b", "c"} {
			for range 10 {
				Expect(q.Push(0, item(w, 1, 2, 1))).To(Succeed())
			}
		}
		Expect(serve(q, time.Millisecond, 10)).To(Equal(map[string]float64{"b": 5, "c": 5}))
		delete(over, "a")
		Expect(serve(q, time.Millisecond, 9)["a"]).To(BeNumerically(">=", 3), "its wait is no credit and no debt")
		over["a"] = true
		Expect(serve(q, time.Millisecond, 99)).To(HaveKey("a"))
		Expect(q.Len()).To(BeZero())
	})

	It("serves classes in order and bounds the wait of the lowest class", func() {
		q := admission.NewQueue(admission.Config{IsFair: true, MaxWait: time.Second})
		Expect(q.Push(0, item("late", 1, declaration.ClassRank(declaration.ClassBatch), 1))).To(Succeed())
		for n := range 100 {
			Expect(q.Push(time.Duration(n)*10*time.Millisecond, item("now", 1, 0, 1))).To(Succeed())
		}
		Expect(q.Pop(500*time.Millisecond, alwaysFits, ignoreExpired).Workspace).To(Equal("now"))
		Expect(q.Pop(1100*time.Millisecond, alwaysFits, ignoreExpired).Workspace).To(Equal("late"))
	})

	It("refuses a request that would miss its deadline at once, with the time to retry after", func() {
		q := admission.NewQueue(admission.Config{IsFair: true})
		for range 1000 {
			Expect(q.Push(0, item("a", 1, 2, 10))).To(Succeed())
		}
		for n := range 200 { // cost 10 every 10 ms
			q.Pop(0, alwaysFits, ignoreExpired)
			q.RecordServed(time.Duration(n)*time.Millisecond*10, 10)
		}
		now := 2 * time.Second
		short := item("a", 1, 2, 10)
		short.Deadline = now + 100*time.Millisecond
		err := q.Push(now, short)
		Expect(result.Is(err, result.DeadlineTooShort)).To(BeTrue(), "%v", err)
		Expect(result.From(err).RetryAfter).To(BeNumerically(">", time.Second))
		Expect(result.From(err).Execution).To(Equal(result.NotRun))
		long := item("a", 1, 2, 10)
		long.Deadline = now + time.Minute
		Expect(q.Push(now, long)).To(Succeed())
		other := item("b", 1, 2, 10)
		other.Deadline = now + 100*time.Millisecond
		Expect(q.Push(now, other)).To(Succeed(), "another workspace does not wait behind the queue of this one")
	})

	It("bounds the queue of each workspace, drops expired requests and removes cancelled ones", func() {
		q := admission.NewQueue(admission.Config{IsFair: true})
		full := item("a", 1, 2, 1)
		full.MaxQueued = 1
		Expect(q.Push(0, full)).To(Succeed())
		again := item("a", 1, 2, 1)
		again.MaxQueued = 1
		Expect(result.Is(q.Push(0, again), result.QueueFull)).To(BeTrue())
		short := item("b", 1, 2, 1)
		short.Deadline = time.Second
		Expect(q.Push(0, short)).To(Succeed())
		gone := item("c", 1, 2, 1)
		Expect(q.Push(0, gone)).To(Succeed())
		Expect(q.Remove(gone)).To(BeTrue())
		Expect(q.Remove(gone)).To(BeFalse())
		var expired []string
		Expect(q.Pop(2*time.Second, alwaysFits, func(it *admission.Item) { expired = append(expired, it.Workspace) })).To(Equal(full))
		Expect(expired).To(Equal([]string{"b"}))
		Expect(q.Len()).To(BeZero())
		Expect(q.Cost()).To(BeZero())
	})
})

var _ = Describe("a limiter", func() {
	It("limits a workspace to its rate, divided among the gateways", func() {
		li := admission.NewLimiter()
		wo := declaration.Workspace{RatePerSecond: 100, Burst: 10}
		admitted := 0
		for n := range 2000 {
			if li.Enter(time.Duration(n)*time.Millisecond, "a", wo, 2) == nil {
				admitted++
				li.Leave("a")
			}
		}
		Expect(admitted).To(BeNumerically("~", 105, 3), "half of 100 requests per second for 2 s, plus half of the burst")
	})

	It("limits the requests in flight", func() {
		li := admission.NewLimiter()
		wo := declaration.Workspace{MaxInFlight: 3}
		for range 3 {
			Expect(li.Enter(0, "a", wo, 1)).To(Succeed())
		}
		Expect(result.Is(li.Enter(0, "a", wo, 1), result.WorkspaceInFlight)).To(BeTrue())
		li.Leave("a")
		Expect(li.Enter(0, "a", wo, 1)).To(Succeed())
	})
})

// BenchmarkQueue measures one pop and push in a queue with n workspaces.
func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{8, 64, 512, 10_000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			q := admission.NewQueue(admission.Config{IsFair: true})
			items := make([]*admission.Item, n)
			for i := range items {
				items[i] = item(fmt.Sprint("w", i), 1, 2, 10)
			}
			for _, it := range items {
				if err := q.Push(0, it); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				it := q.Pop(time.Millisecond, alwaysFits, ignoreExpired)
				q.RecordServed(time.Millisecond, it.Cost)
				if err := q.Push(time.Millisecond, it); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
