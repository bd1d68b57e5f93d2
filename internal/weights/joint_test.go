package weights_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/weights"
)

// fakeEngines simulates engines whose loads take a fixed time, and records how many
// load at once.
type fakeEngines struct {
	hosts      []weights.Host
	loadEndsAt map[string]time.Duration
	orders     map[string]weights.Swap
	maxLoading int
}

func newFakeEngines(n int, models ...string) *fakeEngines {
	en := &fakeEngines{loadEndsAt: map[string]time.Duration{}, orders: map[string]weights.Swap{}}
	for i := range n {
		versions := map[string]uint64{}
		for _, mo := range models {
			versions[mo] = 1
		}
		en.hosts = append(en.hosts, weights.Host{Server: fmt.Sprintf("e%02d", i), Versions: versions})
	}

	return en
}

func (en *fakeEngines) step(now, load time.Duration, jo *weights.JointPlanner, targets []weights.Target, wave int) {
	for server, end := range en.loadEndsAt {
		if now >= end {
			for i := range en.hosts {
				if en.hosts[i].Server == server {
					en.hosts[i].Versions[en.orders[server].Model] = en.orders[server].Version
				}
			}
			delete(en.loadEndsAt, server)
			jo.Done(now, server, true)
		}
	}
	for _, sw := range jo.Next(now, targets, en.hosts, wave) {
		Expect(en.loadEndsAt).NotTo(HaveKey(sw.Server), "an engine carries out one order at a time")
		en.loadEndsAt[sw.Server], en.orders[sw.Server] = now+load, sw
	}
	en.maxLoading = max(en.maxLoading, len(en.loadEndsAt))
}

func (en *fakeEngines) eligible(model string, min uint64) int {
	n := 0
	for _, ho := range en.hosts {
		if ho.Versions[model] >= min {
			n++
		}
	}

	return n
}

var _ = ginkgo.Describe("swaps of engines that serve several models", func() {
	const load, tick = 900 * time.Millisecond, 50 * time.Millisecond

	ginkgo.It("keep up with two models trained at once: each training step finds engines at most one version behind", func() {
		jo, en := weights.NewJointPlanner(), newFakeEngines(8, "short", "long")
		targets := []weights.Target{{Model: "long", Version: 1, Demand: 3}, {Model: "short", Version: 1, Demand: 1}}
		// Each model's trainer publishes a version every 4.5 s; its step then uses engines
		// that are at most one version behind.
		const period = 4500 * time.Millisecond
		for now := time.Duration(0); now < 8*period; now += tick {
			for i := range targets {
				named := uint64((now + time.Duration(i)*period/2) / period)
				if v := named + 1; v > targets[i].Version {
					targets[i].Version = v
					Expect(en.eligible(targets[i].Model, v-1)).To(BeNumerically(">=", 2),
						"%s, version %d at %v: %v", targets[i].Model, v, now, en.hosts)
				}
			}
			en.step(now, load, jo, targets, 2)
		}
		Expect(en.maxLoading).To(Equal(2))
	})

	ginkgo.It("divide the engines by demand but leave each model two if there are enough", func() {
		for _, tc := range []struct {
			demands []float64
			n       int
			want    []int
		}{
			{[]float64{1, 1}, 8, []int{4, 4}},
			{[]float64{3, 1}, 8, []int{5, 3}},
			{[]float64{100, 1}, 8, []int{6, 2}},
			{[]float64{1}, 9, []int{9}},
			{[]float64{1, 1, 1, 1}, 40, []int{10, 10, 10, 10}},
			{[]float64{0, 0}, 3, []int{2, 1}},
		} {
			jo, en := weights.NewJointPlanner(), newFakeEngines(tc.n, "a", "b", "c", "d")
			var targets []weights.Target
			for i, d := range tc.demands {
				targets = append(targets, weights.Target{Model: string(rune('a' + i)), Version: 2, Demand: d})
			}
			jo.Next(0, targets, en.hosts, 1)
			got := make([]int, len(tc.demands))
			for _, ho := range en.hosts {
				got[jo.HomeModel(ho.Server)[0]-'a']++
			}
			Expect(got).To(Equal(tc.want), "%v of %d", tc.demands, tc.n)
		}
	})

	ginkgo.It("move no engine for a small change of demand", func() {
		jo, en := weights.NewJointPlanner(), newFakeEngines(8, "a", "b")
		jo.Next(0, []weights.Target{{"a", 1, 1}, {"b", 1, 1}}, en.hosts, 2)
		before := map[string]string{}
		for _, ho := range en.hosts {
			before[ho.Server] = jo.HomeModel(ho.Server)
		}
		jo.Next(0, []weights.Target{{"a", 1, 1.4}, {"b", 1, 1}}, en.hosts, 2)
		for _, ho := range en.hosts {
			Expect(jo.HomeModel(ho.Server)).To(Equal(before[ho.Server]))
		}
	})

	ginkgo.It("continue with the other engines when one fails an order", func() {
		jo, en := weights.NewJointPlanner(), newFakeEngines(3, "a")
		targets := []weights.Target{{"a", 2, 1}}
		first := jo.Next(0, targets, en.hosts, 1)
		Expect(first).To(HaveLen(1))
		jo.Done(0, first[0].Server, false)
		next := jo.Next(0, targets, en.hosts, 1)
		Expect(next).To(HaveLen(1))
		Expect(next[0].Server).NotTo(Equal(first[0].Server))
	})

	// Guards against a service without an engine that serves: of two engines that were left, as the
	// third was leaving, both loaded at one time.
	for _, engines := range []int{1, 2, 3, 4} {
		ginkgo.It(fmt.Sprintf("leave an engine that serves, of %d", engines), func() {
			jo, en := weights.NewJointPlanner(), newFakeEngines(engines, "m")
			targets := []weights.Target{{Model: "m", Version: 2}}
			for now := time.Duration(0); now < 5*time.Second; now += tick {
				en.step(now, load, jo, targets, 2)
			}
			Expect(en.eligible("m", 2)).To(Equal(engines))
			Expect(en.maxLoading).To(Equal(min(2, max(engines-1, 1))))
		})
	}

	// Guards against an engine that never loads, as another one is given each new version.
	ginkgo.It("reach all engines in turn while versions come as fast as one engine loads them", func() {
		jo, en := weights.NewJointPlanner(), newFakeEngines(2, "m")
		for now := time.Duration(0); now < 5*time.Second; now += tick {
			en.step(now, load, jo, []weights.Target{{Model: "m", Version: 2 + uint64(now/load)}}, 2)
		}
		Expect(en.eligible("m", 4)).To(Equal(2))
	})
})
