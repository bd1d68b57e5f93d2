package coldstart_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/coldstart"
	"github.com/tamarackbay/tamarackbay/internal/permit"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/routing"
	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestSuite(t *testing.T) { suite.Run(t, "coldstart") }

// Guards against full load at a cold backend server, and against a lower rate at one that has no
// cold start or is warm.
var _ = ginkgo.Describe("a backend server", func() {
	const now = time.Hour
	cfg := &routing.Config{Services: []routing.Service{
		{Name: "warming", ColdStart: 20 * time.Second, ColdPerSecond: 4}, {Name: "plain"}, {Name: "half", ColdStart: time.Second},
	}}
	for _, tc := range []struct {
		name        string
		record      registry.Record
		withdrawals map[string]coldstart.Withdrawal
		cold        permit.Cold
	}{
		{"is warm", registry.Record{Service: "warming"}, nil, permit.Cold{}},
		{"is cold while its heartbeats say so", registry.Record{Service: "warming", IsCold: true, WarmAfter: 9}, nil, permit.Cold{PerSecond: 4}},
		{"has no cold start", registry.Record{Service: "plain", IsCold: true}, nil, permit.Cold{}},
		{"has no cold start without a rate", registry.Record{Service: "half", IsCold: true}, nil, permit.Cold{}},
		{"is of no known service", registry.Record{Service: "other", IsCold: true}, nil, permit.Cold{}},
		{
			"is cold after a withdrawal for a limited time",
			registry.Record{Service: "warming"},
			map[string]coldstart.Withdrawal{"a": {Position: 7, Age: 5 * time.Second}},
			permit.Cold{PerSecond: 4, Until: now + 15*time.Second},
		},
		{
			"is warm once a later heartbeat says so",
			registry.Record{Service: "warming", WarmAfter: 7},
			map[string]coldstart.Withdrawal{"a": {Position: 7}},
			permit.Cold{},
		},
		{
			"is warm long after a withdrawal",
			registry.Record{Service: "warming"},
			map[string]coldstart.Withdrawal{"a": {Position: 7, Age: 20 * time.Second}},
			permit.Cold{},
		},
		{
			"is not concerned by a withdrawal elsewhere",
			registry.Record{Service: "warming"},
			map[string]coldstart.Withdrawal{"b": {Position: 7}},
			permit.Cold{},
		},
	} {
		ginkgo.It(tc.name, func() {
			re := tc.record
			re.ID, re.FailureDomain = "s", "a"
			got := coldstart.Servers(now, cfg, tc.withdrawals, func(yield func(re *registry.Record) bool) { yield(&re) })
			Expect(got[re.Incarnation()]).To(Equal(tc.cold))
		})
	}
})
