package balance_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/registry"
)

// Guards against a request that runs in a region that it must not reach.
var _ = ginkgo.Describe("a request that may run in some regions only", func() {
	regions := map[string]string{"a": "x", "b": "x", "c": "y"}
	for _, tc := range []struct {
		name       string
		regions    []string
		servers    int
		hasAllowed bool
	}{
		{"runs anywhere without a list", nil, 4, true},
		{"runs in a region with two failure domains", []string{"x"}, 2, true},
		{"runs in several regions", []string{"x", "y", "z"}, 3, true},
		{"runs nowhere with a list without elements", []string{}, 0, false},
		{"runs nowhere if no backend server is there", []string{"z"}, 0, false},
		{"does not run where the region is not known", []string{""}, 0, false},
	} {
		ginkgo.It(tc.name, func() {
			now := time.Hour
			ba := balance.New(balance.Config{
				Now: func() time.Duration { return now }, Random: func(int) int { return 0 },
				RegionOf: func(failureDomain string) string { return regions[failureDomain] },
			})
			var records []registry.Record
			for _, domain := range []string{"a", "b", "c", "not known"} {
				records = append(records, registry.Record{ID: domain, Address: domain, Service: "s", FailureDomain: domain, Slots: 1, State: registry.Ready})
			}
			ba.Sync(records)
			now += time.Minute
			got := map[string]bool{}
			for range 10 {
				if gr := ba.Acquire(&balance.Request{Service: "s", Regions: tc.regions}); gr != nil {
					got[gr.Record().ID] = true
				}
			}
			Expect(got).To(HaveLen(tc.servers))
			Expect(ba.HasAllowed("s", tc.regions)).To(Equal(tc.hasAllowed))
		})
	}
})
