package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/scheduler"
)

// pacedRequest returns a request of 100 ms at backend servers that report their pace.
func pacedRequest() scheduler.Request {
	return scheduler.Request{Affinity: -1, Sharers: 1, FailureDomain: "a", Work: scheduler.Work{IsPaced: true, Own: 0.1, Usual: 0.1}}
}

// idleCandidates returns ready candidates with an idle connection.
func idleCandidates(n int) []scheduler.Candidate {
	cs := readyCandidates(n)
	for i := range cs {
		cs[i].HasIdle = true
	}

	return cs
}

var _ = Describe("placement by the time to completion", func() {
	cases := []struct {
		name string
		edit func(cs []scheduler.Candidate, rq *scheduler.Request)
		want int
	}{
		{"picks the candidate of usual speed before one at 0.55 of it, if the gain is worth a connection", func(cs []scheduler.Candidate, rq *scheduler.Request) {
			rq.Work.Own, rq.Work.Usual = 0.3, 0.3
			cs[0].Slowness, cs[0].HasIdle, cs[1].HasIdle = 1/0.55, true, false
		}, 1},
		{"keeps the connection to a slow candidate for a short request", func(cs []scheduler.Candidate, rq *scheduler.Request) {
			rq.Work.Own, rq.Work.Usual = 0.02, 0.02
			cs[1].Pace, cs[0].HasIdle = 2.5, false
		}, 1},
		{"picks one that is not slow at this moment", func(cs []scheduler.Candidate, _ *scheduler.Request) {
			cs[0].Pace, cs[1].Pace = 2.5, 1
		}, 1},
		{"picks a lastingly slow one before one that is slower for now", func(cs []scheduler.Candidate, _ *scheduler.Request) {
			cs[0].Pace, cs[1].Slowness = 2.5, 1.8
		}, 1},
		{"picks a slow candidate with free slots before a fast one with a long queue", func(cs []scheduler.Candidate, _ *scheduler.Request) {
			cs[0].Running, cs[1].Slowness = 24, 1.8
		}, 1},
		{"picks a fast candidate with many requests before a slow idle one, as long as it has free slots", func(cs []scheduler.Candidate, _ *scheduler.Request) {
			cs[0].Slowness, cs[1].Running = 1.8, 7
		}, 1},
		{"keeps a short request off a full candidate whose queue is known to hold long ones", func(cs []scheduler.Candidate, rq *scheduler.Request) {
			rq.Work.Queued = 2
			cs[0].Running, cs[1].Slowness = 8, 2.2
		}, 1},
		{"does not place long work behind long work", func(cs []scheduler.Candidate, rq *scheduler.Request) {
			rq.Work.Own, rq.Work.Usual = 2, 0.5
			cs[0].InFlight, cs[0].Work = 2, 8
			cs[1].InFlight, cs[1].Work = 3, 1
		}, 1},
		{"counts requests of its own that no report holds yet", func(cs []scheduler.Candidate, _ *scheduler.Request) {
			cs[0].InFlight, cs[0].Work = 8, 0.8
		}, 1},
		{"picks the holder of the prefix, although it has more requests", func(cs []scheduler.Candidate, rq *scheduler.Request) {
			rq.Affinity, rq.Work.Prompt = 1, 0.05
			cs[1].InFlight, cs[1].Work = 4, 0.4
		}, 1},
		{"leaves the holder of the prefix if the prompt costs less than the wait", func(cs []scheduler.Candidate, rq *scheduler.Request) {
			rq.Affinity, rq.Work.Prompt = 0, 0.01
			cs[0].InFlight, cs[0].Work = 8, 0.8
		}, 1},
		{"picks the candidate with an idle connection among equal ones", func(cs []scheduler.Candidate, _ *scheduler.Request) {
			cs[0].HasIdle = false
		}, 1},
		{"picks the candidate in the own failure domain among equal ones", func(cs []scheduler.Candidate, _ *scheduler.Request) {
			cs[0].FailureDomain = "b"
		}, 1},
		{"leaves the own failure domain if it is slow", func(cs []scheduler.Candidate, _ *scheduler.Request) {
			cs[0].Slowness, cs[1].FailureDomain, cs[1].HasIdle = 2.2, "b", false
		}, 1},
		{"counts the requests that wait beyond the slots, as a burst of scores makes them", func(cs []scheduler.Candidate, rq *scheduler.Request) {
			rq.ExtraSlots = 6 // of 8
			cs[0].InFlight, cs[0].Work, cs[1].Slowness = 6, 0.6, 1.5
		}, 1},
		{"leaves the last slot of a fast candidate to shorter requests, if the request is long", func(cs []scheduler.Candidate, rq *scheduler.Request) {
			rq.Work.Own, rq.Work.Mean, rq.Work.Usual = 2, 0.1, 2
			cs[0].InFlight, cs[0].Work, cs[1].Slowness = 7, 14, 1.2
		}, 1},
		{"picks none without room, however fast", func(cs []scheduler.Candidate, _ *scheduler.Request) {
			cs[0].Slowness, cs[0].InFlight, cs[1].Slowness = 0.1, 8, 8
		}, 1},
	}
	for _, tc := range cases {
		It(tc.name, func() {
			cs := idleCandidates(2)
			rq := pacedRequest()
			tc.edit(cs, &rq)
			sc := newScheduler(scheduler.Config{Policy: scheduler.PolicyCompletion})
			for range 50 {
				Expect(sc.Pick(0, cs, &rq)).To(Equal(tc.want))
			}
		})
	}

	It("spreads requests over equal candidates, so that many processes do not pick the same one", func() {
		cs, got := idleCandidates(8), map[int]int{}
		rq := pacedRequest()
		for seed := range 200 {
			sc := scheduler.New(scheduler.Config{Policy: scheduler.PolicyCompletion}, rand.New(rand.NewPCG(uint64(seed), 1)).IntN)
			got[sc.Pick(0, cs, &rq)]++
		}
		for i := range cs {
			Expect(got[i]).To(BeNumerically("<", 50), "candidate %d", i)
		}
	})

	// Guards against a change for services whose backend servers report no pace.
	It("is the previous policy, pick by pick, where no pace is reported, and where it is switched off", func() {
		rnd := rand.New(rand.NewPCG(3, 3))
		for round := range 500 {
			cs := readyCandidates(1 + rnd.IntN(40))
			for i := range cs {
				cs[i].InFlight, cs[i].Running, cs[i].HasIdle = rnd.IntN(9), rnd.IntN(12), rnd.IntN(2) == 0
				cs[i].Failures, cs[i].Tokens = float64(rnd.IntN(3)), rnd.IntN(9000)
			}
			rq := scheduler.Request{Affinity: rnd.IntN(len(cs)+1) - 1, Sharers: 1, FailureDomain: "a"}
			pick := func(policy string, seed uint64) int {
				return scheduler.New(scheduler.Config{Policy: policy}, rand.New(rand.NewPCG(seed, 1)).IntN).Pick(0, cs, &rq)
			}
			seed := uint64(round)
			want := pick(scheduler.PolicyScore, seed)
			Expect(pick(scheduler.PolicyCompletion, seed)).To(Equal(want))
			rq.Work = scheduler.Work{Own: 0.3, Usual: 0.1, Prompt: 0.1}
			for i := range cs {
				cs[i].Work, cs[i].Slowness, cs[i].Pace = rnd.Float64(), rnd.Float64()*3, rnd.Float64()*3
			}
			Expect(pick(scheduler.PolicyCompletion, seed)).To(Equal(want))
			rq.Work.IsPaced = true
			Expect(pick(scheduler.PolicyScore, seed)).To(Equal(want))
		}
	})
})

// BenchmarkPickByCompletion measures one pick by the time to completion. The gateways compare
// 8 random candidates, the store that places all items 256.
func BenchmarkPickByCompletion(b *testing.B) {
	for _, choices := range []int{8, 256} {
		for _, n := range []int{10, 100, 1000, 10_000} {
			b.Run(fmt.Sprintf("choices=%d/servers=%d", choices, n), func(b *testing.B) {
				cs := readyCandidates(n)
				rnd := rand.New(rand.NewPCG(1, 2))
				for i := range cs {
					cs[i].InFlight, cs[i].Running, cs[i].Pace = rnd.IntN(4), rnd.IntN(8), 1+rnd.Float64()
					cs[i].HasIdle = i%50 == 0
				}
				sc := scheduler.New(scheduler.Config{Policy: scheduler.PolicyCompletion, RandomChoices: choices}, rnd.IntN)
				rq := pacedRequest()
				rq.Affinity = 3
				b.ReportAllocs()
				for b.Loop() {
					sc.Pick(time.Second, cs, &rq)
				}
			})
		}
	}
}
