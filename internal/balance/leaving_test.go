package balance_test

import (
	"context"
	"errors"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/registry"
)

// Guards against new work at a backend server whose answers say that it leaves.
var _ = ginkgo.Describe("a backend server that says in an answer that it leaves", func() {
	leave := func(cl *cluster, id string) *balance.Grant {
		gr := cl.Acquire(&balance.Request{Service: "s", Only: []string{id}})
		Expect(gr).NotTo(BeNil())
		gr.RecordAnswer(&backend.Answer{IsLeaving: true})

		return gr
	}
	without := map[string]int{"s1": 2, "s2": 2}

	ginkgo.It("gets nothing new whatever is known of it later, until its next incarnation", func() {
		cl := newCluster(3, 2)
		running := leave(cl, "s0")
		got, grants := cl.place(9, balance.Request{})
		Expect(got).To(Equal(without))
		ready, _ := cl.Count("s", "", 0)
		Expect(ready).To(Equal(2))
		for _, gr := range append(grants, running) {
			gr.Release(balance.Succeeded, nil)
		}

		cl.records[0].Sequence = 9
		cl.Sync(cl.records)
		cl.Sync(cl.records[1:])
		cl.Sync(cl.records)
		cl.SetEvacuated([]string{"b"})
		cl.SetEvacuated(nil)
		cl.now += time.Hour
		got, grants = cl.place(9, balance.Request{})
		Expect(got).To(Equal(without))
		for _, gr := range grants {
			gr.Release(balance.Succeeded, nil)
		}

		cl.records[0].BornMs = 2
		cl.Sync(cl.records)
		cl.now += time.Minute
		got, _ = cl.place(9, balance.Request{})
		Expect(got).To(Equal(map[string]int{"s0": 2, "s1": 2, "s2": 2}))
	})

	ginkgo.It("is reported once, until a controller has taken the report", func() {
		var reported []registry.Incarnation
		refusals := 2
		ctx, cancel := context.WithCancel(context.Background())
		cl := newCluster(3, 2)
		cl.Balancer = balance.New(balance.Config{
			Now: func() time.Duration { return cl.now }, Random: func(int) int { return 0 },
			ReportLeaving: func(_ context.Context, in registry.Incarnation) error {
				if refusals--; refusals >= 0 {
					return errors.New("no controller")
				}
				reported = append(reported, in)
				if len(reported) == 2 {
					cancel()
				}

				return nil
			},
		})
		cl.Sync(cl.records)
		cl.now += time.Minute
		first := leave(cl, "s0")
		first.RecordAnswer(&backend.Answer{IsLeaving: true})
		leave(cl, "s2")
		cl.Run(ctx)
		Expect(reported).To(Equal([]registry.Incarnation{{ID: "s0", BornMs: 1}, {ID: "s2", BornMs: 1}}))
	})
})
