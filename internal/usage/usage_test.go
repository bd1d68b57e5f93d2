package usage_test

import (
	"encoding/json"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/usage"
)

func counter(agent string, window, tokens uint64) usage.Counter {
	return usage.Counter{Agent: agent, Incarnation: 7, Workspace: "w", Window: window, Amounts: usage.Amounts{Requests: tokens / 10, Tokens: tokens}}
}

func addCounters(le *usage.Ledger, cs ...usage.Counter) {
	le.AddCounters(usage.AddCounters{Counters: cs})
}

func tokens(le *usage.Ledger, window uint64) (figures, adjustment uint64) {
	re, err := le.Report(window)
	Expect(err).NotTo(HaveOccurred())
	for _, li := range re.Lines {
		figures += li.Amounts.Tokens
		adjustment += li.Adjustment.Tokens
	}

	return figures, adjustment
}

var _ = Describe("the usage ledger", func() {
	It("adds a counter only once if it is sent repeatedly or out of order", func() {
		le := usage.NewLedger(usage.Snapshot{})
		addCounters(le, counter("a", 5, 100), counter("a", 5, 100), counter("a", 5, 40), counter("b", 5, 10), counter("a", 5, 130))
		le.Close(usage.Close{Window: 5})
		f, _ := tokens(le, 5)
		Expect(f).To(Equal(uint64(140)))
	})

	It("adds late usage to the next window and leaves the closed window unchanged", func() {
		le := usage.NewLedger(usage.Snapshot{})
		addCounters(le, counter("a", 5, 100))
		le.Close(usage.Close{Window: 5})
		before, err := le.Report(5)
		Expect(err).NotTo(HaveOccurred())
		first, err := json.Marshal(before)
		Expect(err).NotTo(HaveOccurred())
		addCounters(le, counter("a", 5, 160), counter("a", 6, 7))
		after, err := le.Report(5)
		Expect(err).NotTo(HaveOccurred())
		Expect(json.Marshal(after)).To(Equal(first))
		le.Close(usage.Close{Window: 6})
		f, adj := tokens(le, 6)
		Expect([]uint64{f, adj}).To(Equal([]uint64{7, 60}))
	})

	It("lists closed windows until they are reported, also after a snapshot", func() {
		le := usage.NewLedger(usage.Snapshot{})
		addCounters(le, counter("a", 5, 1), counter("a", 6, 1), counter("a", 7, 1))
		le.Close(usage.Close{Window: 6})
		Expect(le.Unreported()).To(Equal([]uint64{5, 6}))
		Expect(le.MarkReported(usage.MarkReported{Window: 5})).To(Succeed())
		Expect(usage.NewLedger(le.Snapshot()).Unreported()).To(Equal([]uint64{6}))
		Expect(le.MarkReported(usage.MarkReported{Window: 7})).NotTo(Succeed())
		_, err := le.Report(7)
		Expect(err).To(HaveOccurred())
	})

	It("reports the total that the agents counted, for any order of counters and closed windows", func() {
		for seed := range uint64(100) {
			rnd := rand.New(rand.NewPCG(seed, 2))
			le := usage.NewLedger(usage.Snapshot{})
			counted := map[[2]uint64]uint64{} // by agent and window
			window, sum := uint64(10), uint64(0)
			for range 400 {
				k := [2]uint64{rnd.Uint64N(4), window - rnd.Uint64N(3)}
				counted[k] += rnd.Uint64N(50)
				addCounters(le, counter(string(rune('a'+k[0])), k[1], counted[k]))
				if rnd.IntN(3) == 0 {
					addCounters(le, counter(string(rune('a'+k[0])), k[1], rnd.Uint64N(counted[k]+1))) // a repeated older counter
				}
				if rnd.IntN(20) == 0 {
					window++
					le.Close(usage.Close{Window: window - 1})
				}
			}
			le.Close(usage.Close{Window: window + 1})
			for _, n := range le.Unreported() {
				f, adj := tokens(le, n)
				sum += f + adj
			}
			want := uint64(0)
			for _, v := range counted {
				want += v
			}
			Expect(sum).To(Equal(want), "seed %d", seed)
		}
	})
})
