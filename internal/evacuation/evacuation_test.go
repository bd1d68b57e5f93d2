package evacuation_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/evacuation"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestSuite(t *testing.T) { suite.Run(t, "evacuation") }

// Guards against a call that takes effect after a later one was answered: it was delayed on its
// way to the leader, or was resent after its response was lost.
var _ = ginkgo.Describe("the evacuated failure domains", func() {
	evacuate := func(base uint64) evacuation.Change { return evacuation.Change{FailureDomain: "a", Base: base} }
	withdraw := func(base uint64) evacuation.Change {
		return evacuation.Change{FailureDomain: "a", IsWithdrawn: true, Base: base}
	}
	for _, tc := range []struct {
		name        string
		changes     []evacuation.Change // committed at the positions 10, 20 and so on
		isEvacuated bool
		revision    uint64
		stale       []bool
	}{
		{"are none at first", nil, false, 0, nil},
		{"include a requested one", []evacuation.Change{evacuate(5)}, true, 10, []bool{false}},
		{"do not include a withdrawn one", []evacuation.Change{evacuate(5), withdraw(10)}, false, 20, []bool{false, false}},
		{"stay as they are after a resent request", []evacuation.Change{evacuate(5), evacuate(5)}, true, 10, []bool{false, false}},
		{"do not change with a request that a withdrawal overtook", []evacuation.Change{withdraw(5), evacuate(5)}, false, 0, []bool{false, true}},
		{"do not change with a withdrawal that a repeated request overtook", []evacuation.Change{evacuate(5), evacuate(10), withdraw(10)}, true, 10, []bool{false, false, true}},
		{"change with a request made again after the withdrawal", []evacuation.Change{withdraw(5), evacuate(5), evacuate(20)}, true, 30, []bool{false, true, false}},
	} {
		ginkgo.It(tc.name, func() {
			st := evacuation.NewState(evacuation.Snapshot{})
			for i, ch := range tc.changes {
				rep, err := st.Apply(ch, uint64(10*(i+1)), 0)
				Expect(err).NotTo(HaveOccurred())
				Expect(rep.IsStale).To(Equal(tc.stale[i]), "change %d", i)
			}
			Expect(len(st.Evacuated()) > 0).To(Equal(tc.isEvacuated))
			Expect(st.Revision()).To(Equal(tc.revision))
		})
	}

	ginkgo.It("remember when a withdrawal took effect, not when it was repeated", func() {
		st := evacuation.NewState(evacuation.Snapshot{})
		for i, ch := range []evacuation.Change{evacuate(0), withdraw(1), withdraw(2)} {
			_, err := st.Apply(ch, uint64(i+1), int64(i+1)*1000)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(st.Domains()["a"]).To(Equal(evacuation.Domain{Position: 3, WithdrawnAtMs: 2000, Withdrawn: 2}))
	})

	ginkgo.It("are bounded, and none that was dropped is evacuated again by a delayed call", func() {
		st := evacuation.NewState(evacuation.Snapshot{})
		position := uint64(0)
		change := func(name string, isWithdrawn bool, base uint64) (evacuation.Reply, error) {
			position++

			return st.Apply(evacuation.Change{FailureDomain: name, IsWithdrawn: isWithdrawn, Base: base}, position, 0)
		}
		for i := range 5000 {
			_, err := change(fmt.Sprint("d", i), true, position)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(len(st.Domains())).To(Equal(1024))
		rep, err := change("d0", false, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(rep.IsStale).To(BeTrue())
		for i := range 1024 {
			_, err = change(fmt.Sprint("e", i), false, position)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err = change("one more", false, position)
		Expect(result.Is(err, result.InvalidDeclaration)).To(BeTrue())
		_, err = change(strings.Repeat("x", 257), false, position)
		Expect(result.Is(err, result.InvalidDeclaration)).To(BeTrue())
	})
})
