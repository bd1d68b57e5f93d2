package roster_test

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/roster"
	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestSuite(t *testing.T) { suite.Run(t, "roster") }

var _ = ginkgo.Describe("the roster of stores", func() {
	four := func() *roster.Roster {
		ro := roster.NewRoster(roster.Snapshot{})
		for _, name := range []string{"a", "b", "c", "d"} {
			Expect(ro.Announce(roster.Announce{Member: roster.Member{Name: name, Replica: consensus.ReplicaID(name + "-1")}})).To(BeTrue())
		}

		return ro
	}

	ginkgo.It("is formed once", func() {
		ro := four()
		Expect(ro.Form(roster.Form{Replicas: []consensus.ReplicaID{"a-1", "b-1", "c-1"}})).To(BeTrue())
		Expect(ro.Form(roster.Form{Replicas: []consensus.ReplicaID{"d-1"}})).To(BeFalse())
		Expect(ro.Formation()).To(HaveLen(3))
	})

	ginkgo.It("lets a VM be drained as long as enough others remain", func() {
		ro := four()
		for _, tc := range []struct {
			name string
			code result.Code // 0 for accepted
		}{
			{"none", result.UnknownObject},
			{"b", 0},
			{"b", 0}, // requested again
			{"c", result.MembershipRefused},
		} {
			err := ro.Retire(roster.Retire{Name: tc.name, MinRemaining: 3})
			Expect(err == nil).To(Equal(tc.code == 0), tc.name)
			Expect(tc.code == 0 || result.Is(err, tc.code)).To(BeTrue(), tc.name)
		}
		Expect(ro.Retirement("b")).To(Equal(roster.Retiring))
		Expect(ro.Finish(roster.Finish{Name: "b"})).To(BeTrue())
		Expect(ro.Finish(roster.Finish{Name: "b"})).To(BeFalse())
		Expect(ro.Finish(roster.Finish{Name: "a"})).To(BeFalse())
		Expect(ro.Retirement("b")).To(Equal(roster.Retired))
	})
})
