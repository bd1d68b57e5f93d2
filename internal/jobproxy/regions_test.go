package jobproxy

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/feed"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/routing"
	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestSuite(t *testing.T) { suite.Run(t, "jobproxy") }

// Guards against a job whose bodies reach VMs in regions that its route or workspace excludes.
var _ = ginkgo.Describe("a job that must stay in some regions", func() {
	domains := map[string]string{"a": "x", "b": "x", "c": "y"}
	regionOf := func(failureDomain string) string { return domains[failureDomain] }
	for _, tc := range []struct {
		name    string
		stores  []string // their failure domains
		regions []string
		own     string // region of the gateway
		code    result.Code
	}{
		{"is stored anywhere without a list", []string{"a", "c", "not known"}, nil, "x", 0},
		{"is stored in an allowed region", []string{"a", "b"}, []string{"x"}, "y", 0},
		{"is stored in its client's region too", []string{"a", "c"}, []string{"x"}, "y", 0},
		{"is refused if a store is elsewhere", []string{"a", "c"}, []string{"x"}, "x", result.NoStoreInRegion},
		{"is refused if the region of a store is not known", []string{"a", "not known"}, []string{"x"}, "", result.NoStoreInRegion},
		{"is refused if stores are in its client's region only", []string{"c"}, []string{"x"}, "y", result.NoStoreInRegion},
		{"is refused if no store is known", nil, []string{"x"}, "x", result.NoStoreInRegion},
	} {
		ginkgo.It(tc.name, func() {
			vi := &feed.View{}
			for _, domain := range tc.stores {
				vi.Stores = append(vi.Stores, feed.Store{Name: domain, FailureDomain: domain})
			}
			pr := New(Config{View: func() *feed.View { return vi }, Region: tc.own, RegionOf: regionOf})
			err := pr.checkStores(tc.regions)
			Expect(result.Is(err, tc.code)).To(Equal(tc.code != 0))
			Expect(err == nil).To(Equal(tc.code == 0))
		})
	}

	ginkgo.It("is refused if no backend server is ready there", func() {
		ba := balance.New(balance.Config{Now: func() time.Duration { return time.Hour }, Random: func(int) int { return 0 }, RegionOf: regionOf})
		ba.Sync([]registry.Record{{ID: "s", Address: "s", Service: "engines", FailureDomain: "c", Slots: 1, State: registry.Ready}})
		pr := New(Config{Balancer: ba})
		ro := &routing.Route{Targets: []routing.Target{{Service: "none", Weight: 1}, {Service: "engines", Weight: 1}}}
		Expect(pr.checkServers(ro, nil)).To(Succeed())
		Expect(pr.checkServers(ro, []string{"y"})).To(Succeed())
		Expect(result.Is(pr.checkServers(ro, []string{"x"}), result.NoServerInRegion)).To(BeTrue())
	})
})
