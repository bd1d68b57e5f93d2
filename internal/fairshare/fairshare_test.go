package fairshare_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/fairshare"
	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestSuite(t *testing.T) { suite.Run(t, "fairshare") }

func equalWeights(string) float64 { return 1 }

func key(workspace string) fairshare.Key { return fairshare.Key{Service: "s", Workspace: workspace} }

var _ = Describe("the shares of a capacity", func() {
	for _, tc := range []struct {
		name     string
		capacity float64
		claims   []fairshare.Claim
		want     []float64
	}{
		{"are equal where all want more", 10, []fairshare.Claim{{Demand: 99}, {Demand: 50}}, []float64{5, 5}},
		{"give what one leaves to the others", 10, []fairshare.Claim{{Demand: 99}, {Demand: 1}, {Demand: 50}}, []float64{4.5, 1, 4.5}},
		{"are no more than the demand", 10, []fairshare.Claim{{Demand: 3}, {Demand: 2}}, []float64{3, 2}},
		{"go by weight", 12, []fairshare.Claim{{Demand: 99, Weight: 2}, {Demand: 99}}, []float64{8, 4}},
		{"of nothing are nothing", 0, []fairshare.Claim{{Demand: 99}, {Demand: 1}}, []float64{0, 0}},
		{"of no claims are none", 10, nil, []float64{}},
	} {
		It(tc.name, func() {
			got := fairshare.Divide(tc.capacity, tc.claims)
			Expect(got).To(HaveLen(len(tc.want)))
			for i := range got {
				Expect(got[i]).To(BeNumerically("~", tc.want[i], 1e-9))
			}
		})
	}
})

// process is a process that reports to a divider.
type process struct {
	*fairshare.Holder
}

func (pr process) exchange(now time.Duration, di *fairshare.Divider) {
	if re := pr.NextReport(now); re != nil {
		rep := di.Report(now, re, equalWeights)
		pr.Apply(now, &rep)
	}
}

var _ = Describe("a holder", func() {
	// fixture has two gateways: workspace a floods the first one with requests, b has a few at the
	// second one; seven slots are in use for a, one for b, and both wait.
	fixture := func() (di *fairshare.Divider, first, second process) {
		di = fairshare.NewDivider()
		di.Lead(0, 1)
		first, second = process{fairshare.NewHolder("g1", 1)}, process{fairshare.NewHolder("g2", 1)}
		for range 7 {
			first.Begin(0, key("a"))
		}
		for range 100 {
			first.Wait(0, key("a"))
		}
		second.Begin(0, key("b"))
		for range 9 {
			second.Wait(0, key("b"))
		}

		return di, first, second
	}
	run := func(di *fairshare.Divider, from, to time.Duration, prs ...process) {
		for now := from; now <= to; now += 100 * time.Millisecond {
			for _, pr := range prs {
				pr.exchange(now, di)
			}
		}
	}

	It("knows that a workspace is above its share because of requests at other processes", func() {
		di, first, second := fixture()
		run(di, 0, 6*time.Second, first, second)
		above, ok := first.Excess(6*time.Second, key("a"))
		Expect(ok).To(BeTrue())
		Expect(above).To(BeNumerically("~", 7.0/4, 0.05))
		below, ok := second.Excess(6*time.Second, key("b"))
		Expect(ok).To(BeTrue())
		Expect(below).To(BeNumerically("~", 1.0/4, 0.05))
	})

	It("keeps its shares for 3 s after all controllers were lost, then has none", func() {
		di, first, second := fixture()
		run(di, 0, 6*time.Second, first, second)
		_, ok := first.Excess(8900*time.Millisecond, key("a"))
		Expect(ok).To(BeTrue())
		_, ok = first.Excess(9100*time.Millisecond, key("a"))
		Expect(ok).To(BeFalse())
	})

	It("that was frozen for more than 3 s does not use the shares from before", func() {
		di, first, second := fixture()
		run(di, 0, 6*time.Second, first, second)
		run(di, 6100*time.Millisecond, 9200*time.Millisecond, second)
		_, ok := first.Excess(9200*time.Millisecond, key("a"))
		Expect(ok).To(BeFalse())
		first.exchange(9200*time.Millisecond, di)
		_, ok = first.Excess(9200*time.Millisecond, key("a"))
		Expect(ok).To(BeTrue())
	})

	It("returns to its share within a second after an idle period", func() {
		di, first, second := fixture()
		run(di, 0, 4*time.Second, first)
		second.End(4*time.Second, key("b"))
		for range 9 {
			second.EndWait(4*time.Second, key("b"))
		}
		run(di, 4100*time.Millisecond, 10*time.Second, first, second)
		second.Wait(10*time.Second, key("b"))
		run(di, 10*time.Second, 10900*time.Millisecond, first, second)
		excess, ok := second.Excess(10900*time.Millisecond, key("b"))
		Expect(ok).To(BeTrue())
		Expect(excess).To(BeNumerically("<", 0.2))
	})

	It("counts its own use before others know it", func() {
		di, first, second := fixture()
		run(di, 0, 6*time.Second, first, second)
		for range 8 {
			second.Begin(6*time.Second, key("b"))
		}
		above, _ := second.Excess(7*time.Second, key("b"))
		Expect(above).To(BeNumerically(">", 1.5))
	})

	It("ignores late, duplicated and foreign replies", func() {
		di, first, second := fixture()
		run(di, 0, 6*time.Second, first, second)
		before, _ := first.Excess(6*time.Second, key("a"))
		re := first.NextReport(7 * time.Second)
		for _, rep := range []fairshare.Reply{
			{Term: 0, Revision: 999, Sequence: re.Sequence, Shares: []fairshare.Share{{Key: key("a"), Share: 99}}},
			{Term: 1, Revision: 1, Sequence: re.Sequence, Shares: []fairshare.Share{{Key: key("a"), Share: 99}}},
			{Term: 1, Revision: 999, Sequence: re.Sequence - 1, Shares: []fairshare.Share{{Key: key("a"), Share: 99}}},
			{Term: 1, Revision: 999, Sequence: re.Sequence, AgeMs: 99_000, Shares: []fairshare.Share{{Key: key("a"), Share: 99}}},
		} {
			Expect(first.Apply(7*time.Second, &rep)).To(BeFalse(), "%+v", rep)
		}
		after, _ := first.Excess(7*time.Second, key("a"))
		Expect(after).To(BeNumerically("~", before, 0.05))
	})

	It("sends nothing while it has no requests", func() {
		ho := fairshare.NewHolder("g", 1)
		Expect(ho.NextReport(0)).To(BeNil())
		ho.Begin(0, key("a"))
		Expect(ho.NextReport(0)).NotTo(BeNil())
		ho.End(time.Second, key("a"))
		reports := 0
		for now := time.Second; now < time.Minute; now += 100 * time.Millisecond {
			if ho.NextReport(now) != nil {
				reports++
			}
		}
		Expect(reports).To(BeNumerically("<=", 2))
	})

	It("reports the waiting items of a driver that knows all of them", func() {
		ho := fairshare.NewHolder("st", 1)
		ho.SetWaiting(0, map[fairshare.Key]int{key("a"): 9, key("b"): 3})
		ho.SetWaiting(time.Second, map[fairshare.Key]int{key("b"): 3})
		re := ho.NextReport(5 * time.Second)
		Expect(re.Counts).To(HaveLen(1))
		Expect(re.Counts[0].Key).To(Equal(key("b")))
	})
})

var _ = Describe("a divider", func() {
	report := func(process string, bornMs int64, sequence uint64, use, waiting float64) *fairshare.Report {
		return &fairshare.Report{Process: process, BornMs: bornMs, Sequence: sequence, Counts: []fairshare.Count{{Key: key("a"), Use: use, Waiting: waiting}}}
	}

	for _, tc := range []struct {
		name string
		late *fairshare.Report
	}{
		{"duplicated", report("g", 5, 7, 3, 1)},
		{"that was overtaken", report("g", 5, 6, 99, 1)},
		{"of an earlier life of the process", report("g", 4, 99, 99, 1)},
		{"with counts that are not numbers", report("g", 5, 7, -99, 1)},
	} {
		It("counts each process once, also after a report "+tc.name, func() {
			di := fairshare.NewDivider()
			di.Lead(0, 1)
			di.Report(5*time.Second, report("g", 5, 7, 3, 1), equalWeights)
			rep := di.Report(5*time.Second, tc.late, equalWeights)
			Expect(rep.Shares).To(HaveLen(1))
			Expect(rep.Shares[0].Use).To(BeNumerically("~", 3, 1e-9))
		})
	}

	It("names the workspaces with the highest demand", func() {
		di := fairshare.NewDivider()
		di.Lead(0, 1)
		di.Report(5*time.Second, &fairshare.Report{Process: "g", BornMs: 1, Sequence: 1, Counts: []fairshare.Count{
			{Key: key("a"), Use: 1},
			{Key: key("b"), Use: 2, Waiting: 4},
			{Key: key("c"), Use: 3},
			{Key: fairshare.Key{Service: "idle", Workspace: "d"}, Use: 99},
		}}, equalWeights)
		st := di.Standings(2)
		Expect(st).To(HaveLen(2))
		Expect(st[0]).To(Equal(fairshare.Standing{Workspace: "b", Use: 2, Waiting: 4, Share: 2.5}))
		Expect(st[1].Workspace).To(Equal("c"))
	})

	It("forgets a process that reports no more", func() {
		di := fairshare.NewDivider()
		di.Lead(0, 1)
		di.Report(5*time.Second, report("lost", 1, 1, 50, 0), equalWeights)
		rep := di.Report(11*time.Second, report("g", 1, 1, 3, 1), equalWeights)
		Expect(rep.Shares[0].Use).To(BeNumerically("~", 3, 1e-9))
	})

	It("returns no shares while nothing waits, nor before all processes had time to report in its term", func() {
		di := fairshare.NewDivider()
		di.Lead(0, 1)
		Expect(di.Report(5*time.Second, report("g", 1, 1, 50, 0), equalWeights).Shares).To(BeEmpty())
		Expect(di.Report(5*time.Second, report("g", 1, 2, 50, 1), equalWeights).Shares).To(HaveLen(1))
		di.Lead(6*time.Second, 2)
		Expect(di.Report(7*time.Second, report("g", 1, 3, 50, 1), equalWeights).Shares).To(BeEmpty())
		Expect(di.Report(9*time.Second, report("g", 1, 4, 50, 1), equalWeights).Shares).To(HaveLen(1))
	})
})

// BenchmarkDivide divides a service among workspaces that all want more than their share or less.
func BenchmarkDivide(b *testing.B) {
	for _, n := range []int{100, 10_000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			claims := make([]fairshare.Claim, n)
			for i := range claims {
				claims[i].Demand = float64(i*7919%n) / 100
			}
			b.ReportAllocs()
			for b.Loop() {
				fairshare.Divide(float64(n)/10, claims)
			}
		})
	}
}

// BenchmarkReport takes reports of 1,300 gateways with 10,000 workspaces at one service.
func BenchmarkReport(b *testing.B) {
	const workspaces, gateways = 10_000, 1300
	di := fairshare.NewDivider()
	di.Lead(0, 1)
	reports := make([]*fairshare.Report, gateways)
	for g := range reports {
		reports[g] = &fairshare.Report{Process: fmt.Sprint("g", g), BornMs: 1}
		for i := range 64 {
			reports[g].Counts = append(reports[g].Counts, fairshare.Count{Key: key(fmt.Sprint("w", (g*64+i)%workspaces)), Use: 1, Waiting: 1})
		}
	}
	now, n := 10*time.Second, 0
	for _, re := range reports {
		di.Report(now, re, equalWeights)
	}
	b.ReportAllocs()
	for b.Loop() {
		re := reports[n%gateways]
		re.Sequence++
		n++
		now += time.Second / 3250 // each gateway reports every 0.4 s
		di.Report(now, re, equalWeights)
	}
}
