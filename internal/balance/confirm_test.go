package balance_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/registry"
)

// Guards against work at a backend server that may not be the incarnation that its record names.
var _ = ginkgo.Describe("a suspended backend server", func() {
	first := registry.Incarnation{ID: "s0", BornMs: 1}
	for _, tc := range []struct {
		name   string
		change func(cl *cluster)
	}{
		{"the time is over", func(cl *cluster) { cl.now += time.Second }},
		{"it was confirmed", func(cl *cluster) { cl.Suspend(first, 0) }},
		{"its record names a later incarnation", func(cl *cluster) {
			cl.records[0].BornMs = 2
			cl.Sync(cl.records)
			cl.now += time.Millisecond
		}},
	} {
		ginkgo.It("gets nothing until "+tc.name, func() {
			cl := newCluster(3, 2)
			Expect(cl.BornMs("s", "s0")).To(Equal(int64(1)))
			Expect(cl.Suspend(first, time.Second)).To(BeTrue())
			cl.Sync(cl.records)
			Expect(cl.Acquire(&balance.Request{Service: "s", Only: []string{"s0"}})).To(BeNil())
			ready, _ := cl.Count("s", "", 0)
			Expect(ready).To(Equal(3), "it still counts as ready")
			tc.change(cl)
			Expect(cl.Acquire(&balance.Request{Service: "s", Only: []string{"s0"}})).NotTo(BeNil())
		})
	}
	ginkgo.It("is not to be had of an incarnation that is not known or not ready", func() {
		cl := newCluster(3, 2)
		Expect(cl.Suspend(registry.Incarnation{ID: "s0", BornMs: 2}, time.Second)).To(BeFalse())
		cl.SetEvacuated([]string{"a"})
		Expect(cl.Suspend(first, time.Second)).To(BeFalse())
		Expect(cl.BornMs("other", "s0")).To(BeZero())
		Expect(cl.BornMs("s", "other")).To(BeZero())
	})
	ginkgo.It("does not count for a stream that goes on at its software version, nor does an ejected one", func() {
		cl := newCluster(3, 2)
		for i := range cl.records {
			cl.records[i].Software = []string{"v1", "v1", "v2"}[i]
		}
		cl.Sync(cl.records)
		Expect(cl.Suspend(first, 2*time.Second)).To(BeTrue())
		for range 3 {
			Expect(cl.HasSoftware("s", "v1", nil)).To(BeTrue())
			cl.Acquire(&balance.Request{Service: "s", Only: []string{"s1"}}).Release(balance.Failed, nil)
		}
		Expect(cl.HasSoftware("s", "v1", nil)).To(BeFalse())
		Expect(cl.HasSoftware("s", "v2", nil)).To(BeTrue())
		cl.now += 2 * time.Second
		Expect(cl.HasSoftware("s", "v1", nil)).To(BeTrue(), "the suspension is over")
		cl.now += time.Second
		Expect(cl.HasSoftware("s", "v1", map[string]bool{"s0": true})).To(BeTrue(), "the ejection is over")
		Expect(cl.HasSoftware("s", "v1", map[string]bool{"s0": true, "s1": true})).To(BeFalse())
	})
})
