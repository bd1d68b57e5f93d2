package fleet_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/fleet"
)

func servers(perDomain ...int) []fleet.Server {
	var out []fleet.Server
	for d, n := range perDomain {
		for i := range n {
			domain := []string{"a", "b", "c"}[d]
			out = append(out, fleet.Server{Name: fmt.Sprintf("%s%d", domain, i), FailureDomain: domain, IsReady: true})
		}
	}

	return out
}

func bounds(low, high, spare int) declaration.FleetBounds {
	return declaration.FleetBounds{
		MinPerDomain: low, MaxPerDomain: high, FailureDomains: []string{"a", "b", "c"}, SpareDomains: spare, IdleMs: 10_000, TargetLoad: 0.5,
	}
}

var _ = Describe("a fleet planner", func() {
	class := declaration.Class{Slots: 8}
	cases := []struct {
		name             string
		bounds           declaration.FleetBounds
		have             []fleet.Server
		running, waiting int
		start, stop      []string
	}{
		{"fills each failure domain to its minimum", bounds(1, 3, 0), servers(1, 0, 0), 0, 0, []string{"b", "c"}, nil},
		{"starts backend servers for waiting requests", bounds(1, 3, 0), servers(1, 1, 1), 8, 12, []string{"a", "b"}, nil},
		{"starts no more than the maximum", bounds(0, 1, 0), servers(1, 1, 0), 100, 100, []string{"c"}, nil},
		{"keeps a reserve for the loss of a failure domain", bounds(0, 3, 1), servers(1, 1, 0), 8, 0, []string{"c"}, nil},
		{"counts an unanswered order and does not repeat it", bounds(0, 3, 0), append(servers(1, 1, 0), fleet.Server{FailureDomain: "c"}), 12, 0, nil, nil},
		{"does not count a draining backend server", bounds(1, 3, 0), append(servers(0, 1, 1), fleet.Server{Name: "a0", FailureDomain: "a", IsDraining: true}), 0, 0, []string{"a"}, nil},
		{"stops nothing before the idle time is over", bounds(0, 3, 0), servers(1, 1, 1), 0, 0, nil, nil},
	}
	for _, tc := range cases {
		It(tc.name, func() {
			de := fleet.NewPlanner().Next(fleet.Input{Class: class, Bounds: tc.bounds, Servers: tc.have, Running: tc.running, Waiting: tc.waiting})
			Expect(de.Start).To(ConsistOf(toAny(tc.start)...))
			Expect(de.Stop).To(ConsistOf(toAny(tc.stop)...))
			Expect(de.Reason).NotTo(BeEmpty())
		})
	}

	It("stops what was not wanted during the idle time, all if the minimum is 0", func() {
		pl := fleet.NewPlanner()
		have := servers(2, 1, 1)
		in := fleet.Input{Class: class, Bounds: bounds(0, 3, 0), Servers: have}
		for s := range 10 {
			in.Now = time.Duration(s) * time.Second
			Expect(pl.Next(in).Stop).To(BeEmpty())
		}
		in.Now = 10 * time.Second
		Expect(pl.Next(in).Stop).To(HaveLen(4))
	})

	It("stops nothing in a lull between bursts", func() {
		pl := fleet.NewPlanner()
		in := fleet.Input{Class: class, Bounds: bounds(0, 3, 0), Servers: servers(1, 1, 1)}
		for s := range 100 {
			in.Now = time.Duration(s) * time.Second
			in.Running = 0
			if s%8 == 0 {
				in.Running = 12
			}
			de := pl.Next(in)
			Expect(de.Stop).To(BeEmpty())
			Expect(de.Start).To(BeEmpty())
		}
	})
})

func toAny(in []string) []any {
	out := make([]any, len(in))
	for i, s := range in {
		out[i] = s
	}

	return out
}
