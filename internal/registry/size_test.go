package registry_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/registry"
)

// Guards against heartbeats that take the longer the more backend servers there are, and wait for each other.
var _ = ginkgo.Describe("a registry with many backend servers", func() {
	// round returns how long a heartbeat takes if n backend servers send one each, the shortest of some rounds.
	round := func(n int) time.Duration {
		const rounds = 5
		rg := registry.New(time.Minute)
		best := time.Hour
		for seq := range rounds {
			began := time.Now()
			for i := range n {
				rg.Observe(0, record(fmt.Sprint("i", i), fmt.Sprint("x", i), 1, uint64(seq+1), registry.Ready))
			}
			best = min(best, time.Since(began))
		}

		return best / time.Duration(n)
	}

	ginkgo.It("takes a heartbeat in a time that does not grow with them", func() {
		const few, factor = 200, 32
		Expect(round(few * factor)).To(BeNumerically("<", round(few)*factor/4))
	})

	ginkgo.It("finds the last incarnation at an address after others came, moved and were forgotten", func() {
		rg := registry.New(time.Second)
		rg.Observe(0, record("i", "x", 1, 1, registry.Ready))
		rg.Observe(0, record("j", "x", 5, 1, registry.Ready))
		Expect(rg.Observe(0, record("i", "x", 1, 2, registry.Ready))).To(BeFalse())
		Expect(alive(rg)).To(Equal([]string{"i", "j"}))

		rg.Observe(0, record("j", "y", 5, 2, registry.Ready))
		Expect(rg.Observe(0, record("h", "x", 1, 1, registry.Ready))).To(BeTrue(), "j has moved")
		Expect(rg.Observe(0, record("h", "y", 1, 2, registry.Ready))).To(BeFalse(), "j is there now")

		rg.Leave(0, "j", 5)
		Expect(rg.Observe(0, record("h", "y", 1, 3, registry.Ready))).To(BeTrue(), "j has left")

		rg.Observe(0, record("k", "y", 9, 1, registry.Ready))
		rg.Sweep(time.Hour)
		Expect(rg.All()).To(BeEmpty())
		Expect(rg.Observe(time.Hour, record("h", "y", 1, 4, registry.Ready))).To(BeTrue(), "k is forgotten")
	})
})
