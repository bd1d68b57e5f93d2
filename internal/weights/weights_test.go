package weights_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/weights"
)

var _ = Describe("a swap planner", func() {
	engines := func() []weights.Engine {
		return []weights.Engine{
			{Server: "a", Version: "v1", IsReady: true, Running: 5},
			{Server: "b", Version: "v1", IsReady: true, Running: 1},
			{Server: "c", Version: "v1", IsReady: true, Running: 3},
			{Server: "d", Version: "v1"},
			{Server: "e", Version: "v2", IsReady: true},
		}
	}

	It("loads at most wave engines at once, least busy first, and activates loaded weights", func() {
		pl := weights.NewPlanner()
		es := engines()
		Expect(pl.Next(0, "v2", es, 2)).To(Equal([]weights.Action{{"load", "b", "v2"}, {"load", "c", "v2"}}))
		Expect(pl.Next(0, "v2", es, 2)).To(BeEmpty(), "the limit of concurrent loads is reached")
		pl.Done(time.Second, "b", true)
		es[1].LoadedVersion = "v2"
		Expect(pl.Next(time.Second, "v2", es, 2)).To(Equal([]weights.Action{{"activate", "b", "v2"}, {"load", "a", "v2"}}))
	})

	It("retries a failed order with exponential back-off", func() {
		pl := weights.NewPlanner()
		es := engines()[:1]
		at := time.Duration(0)
		var gaps []time.Duration
		for range 6 {
			from := at
			for len(pl.Next(at, "v2", es, 1)) == 0 {
				at += 100 * time.Millisecond
			}
			gaps = append(gaps, at-from)
			pl.Done(at, "a", false)
		}
		Expect(gaps).To(Equal([]time.Duration{0, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second}))
		Expect(pl.Next(at, "v3", es, 1)).To(HaveLen(1), "a newer version does not wait for the back-off of an older one")
	})

	It("gives no orders to engines that are not ready or already serve the version, or without a target", func() {
		Expect(weights.NewPlanner().Next(0, "v2", engines()[3:], 5)).To(BeEmpty())
		Expect(weights.NewPlanner().Next(0, "", engines(), 5)).To(BeEmpty())
	})
})
