package registry_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/registry"
)

// Guards against a cold backend server that gets its full load after the evacuation of its
// failure domain, because a heartbeat that was sent before the withdrawal called it warm.
var _ = ginkgo.Describe("a backend server whose failure domain is no longer evacuated", func() {
	const period = time.Second
	beat := func(seq uint64, isCold bool) registry.Record {
		re := record("i", "x", 1, seq, registry.Ready)
		re.IsCold = isCold

		return re
	}
	for _, tc := range []struct {
		name       string
		silence    time.Duration // from heartbeat 10 to the withdrawal
		after      []registry.Record
		isConfirms bool
	}{
		{"is not warm by the heartbeat before", 0, nil, false},
		{"is not warm by one that may have been on its way", 0, []registry.Record{beat(11, false)}, false},
		{"is warm by the next one", 0, []registry.Record{beat(11, false), beat(12, false)}, true},
		{"is not warm by those that may have been delayed in a silence", 3 * period, []registry.Record{beat(14, false)}, false},
		{"is warm by the one after a silence", 3 * period, []registry.Record{beat(15, false)}, true},
		{"is not warm while its heartbeats say that it is cold", 0, []registry.Record{beat(20, true)}, false},
		{"is warm once they no longer do", 0, []registry.Record{beat(20, true), beat(21, false)}, true},
		{"is not warm by the first heartbeat of its next incarnation", 0, []registry.Record{record("i", "x", 2, 1, registry.Ready)}, false},
	} {
		ginkgo.It(tc.name, func() {
			rg := registry.New(time.Minute)
			rg.Observe(0, beat(10, false))
			rg.Withdraw(tc.silence, "a", 7, period)
			for _, re := range tc.after {
				rg.Observe(tc.silence+period, re)
			}
			re, _ := rg.Record("i")
			Expect(re.WarmAfter == 7).To(Equal(tc.isConfirms))
		})
	}

	ginkgo.It("is warm by a sign of life that another process passes on", func() {
		rg, ob := registry.New(time.Minute), registry.NewOutbox()
		send := func(re registry.Record) bool {
			ob.Add(registry.Notice{Record: re})
			sent := ob.Take()
			lacking, changed := rg.Receive(0, sent)
			ob.Confirm(sent, lacking)

			return changed
		}
		Expect(send(beat(10, false))).To(BeTrue())
		rg.Withdraw(0, "a", 7, period)
		Expect(send(beat(11, false))).To(BeFalse())
		Expect(send(beat(12, false))).To(BeTrue())
		re, _ := rg.Record("i")
		Expect(re.WarmAfter).To(Equal(uint64(7)))
		Expect(send(beat(13, true))).To(BeTrue())
		re, _ = rg.Record("i")
		Expect(re.IsCold).To(BeTrue())
	})

	ginkgo.It("is warm in the merged view once one source has found it so", func() {
		me := registry.NewMergedView()
		warm := beat(12, false)
		warm.WarmAfter = 7
		me.Update("p", []registry.Status{{Record: beat(13, false)}}, nil, true)
		Expect(me.Live()[0].WarmAfter).To(BeZero())
		Expect(me.Update("q", []registry.Status{{Record: warm}}, nil, true)).To(BeTrue())
		Expect(me.Live()[0].WarmAfter).To(Equal(uint64(7)))
		me.Update("p", []registry.Status{{Record: beat(14, true)}}, nil, true)
		Expect(me.Live()[0].IsCold).To(BeTrue())
	})
})
