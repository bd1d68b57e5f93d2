package balance_test

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/registry"
)

// Guards against new work at the backend servers of a failure domain that is evacuated.
var _ = ginkgo.Describe("the backend servers of an evacuated failure domain", func() {
	ginkgo.It("get nothing new, keep what they run, and get requests again after the withdrawal", func() {
		cl := newCluster(6, 2) // s0 and s3 are in "a"
		before, grants := cl.place(12, balance.Request{})
		Expect(before["s0"]).To(Equal(2))
		cl.SetEvacuated([]string{"a", "unknown"})
		for _, gr := range grants {
			gr.Release(balance.Succeeded, nil)
		}
		got, grants := cl.place(12, balance.Request{})
		Expect(got).To(Equal(map[string]int{"s1": 2, "s2": 2, "s4": 2, "s5": 2}))
		for _, gr := range grants {
			gr.Release(balance.Succeeded, nil)
		}
		Expect(cl.Acquire(&balance.Request{Service: "s", Only: []string{"s0"}})).To(BeNil())
		ready, _ := cl.Count("s", "", 0)
		Expect(ready).To(Equal(4))
		cl.SetEvacuated(nil)
		got, _ = cl.place(12, balance.Request{})
		Expect(got).To(HaveLen(6))
	})

	ginkgo.It("get nothing if they come later or move there", func() {
		cl := newCluster(3, 2)
		cl.SetEvacuated([]string{"a"})
		cl.records = append(cl.records, registry.Record{ID: "n", BornMs: 1, Address: "n", Service: "s", FailureDomain: "a", Slots: 2, State: registry.Ready})
		cl.records[1].FailureDomain = "a"
		cl.Sync(cl.records)
		cl.now += 1e10
		got, _ := cl.place(12, balance.Request{})
		Expect(got).To(Equal(map[string]int{"s2": 2}))
	})

	ginkgo.It("are not ready for streams of their software version", func() {
		cl := newCluster(3, 2)
		cl.records[0].Software = "v1"
		cl.Sync(cl.records)
		Expect(cl.ReadyBySoftware("s")["v1"]).To(Equal(1))
		cl.SetEvacuated([]string{"a"})
		Expect(cl.ReadyBySoftware("s")["v1"]).To(BeZero())
	})
})
