package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestSuite(t *testing.T) { suite.Run(t, "balance") }

// cluster is a balancer with its records and a clock that the test moves.
type cluster struct {
	*balance.Balancer
	now     time.Duration
	records []registry.Record
}

// newCluster returns a balancer over n backend servers in three failure domains.
func newCluster(n, slots int) *cluster {
	cl := &cluster{now: time.Hour}
	cl.Balancer = balance.New(balance.Config{FailureDomain: "a", Now: func() time.Duration { return cl.now }, Random: func(int) int { return 0 }})
	for i := range n {
		cl.records = append(cl.records, registry.Record{
			ID: fmt.Sprintf("s%d", i), BornMs: 1, Address: fmt.Sprint(i), Service: "s", FailureDomain: string(rune('a' + i%3)), Slots: slots,
			State: registry.Ready, Models: []registry.Model{{Name: "m", Version: 1}},
		})
	}
	cl.Sync(cl.records)
	cl.now += time.Minute // past the slow start

	return cl
}

// place acquires up to n grants and counts them by backend server.
func (cl *cluster) place(n int, rq balance.Request) (map[string]int, []*balance.Grant) {
	got, grants := map[string]int{}, []*balance.Grant{}
	rq.Service = "s"
	for range n {
		if gr := cl.Acquire(&rq); gr != nil {
			got[gr.Record().ID]++
			grants = append(grants, gr)
		}
	}

	return got, grants
}

// Load pattern: a few requests, one after another, over many backend servers.
var _ = ginkgo.Describe("idle connections", func() {
	// countDials runs n rounds of requests that take 100 ms each, and returns how many
	// requests found no idle connection to their backend server.
	countDials := func(cl *cluster, n, atOnce int, pause, idleTimeout time.Duration) int {
		idle, dials, reports := map[string][]time.Duration{}, 0, 0
		for range n {
			got, grants := map[string]int{}, []*balance.Grant{}
			for range atOnce {
				gr := cl.Acquire(&balance.Request{Service: "s"})
				Expect(gr).NotTo(BeNil())
				id := gr.Record().ID
				got[id]++
				if k := len(idle[id]); k > 0 && cl.now-idle[id][k-1] < idleTimeout {
					idle[id] = idle[id][:k-1]
				} else {
					dials++
				}
				grants = append(grants, gr)
			}
			for id, k := range got {
				Expect(k).To(BeNumerically("<=", 1+atOnce/3), "%s gets more than its share", id)
			}
			cl.now += 100 * time.Millisecond
			for _, gr := range grants {
				reports++ // every other report includes two requests of other gateways
				gr.Release(balance.Succeeded, &backend.Load{Running: 1 + 2*(reports%2), Slots: 6})
				idle[gr.Record().ID] = append(idle[gr.Record().ID], cl.now)
			}
			cl.now += pause
		}

		return dials
	}
	for _, tc := range []struct {
		name   string
		atOnce int
		pause  time.Duration
		dials  int // at most
	}{
		{"are reused by one request every two seconds", 1, 2 * time.Second, 1},
		{"are reused by small bursts", 4, 2 * time.Second, 4},
		{"are dropped after the idle timeout", 1, 20 * time.Second, 50},
	} {
		ginkgo.It(tc.name, func() {
			const idleTimeout = 8 * time.Second
			now := time.Hour
			cl := &cluster{now: now}
			draws := 0
			cl.Balancer = balance.New(balance.Config{
				FailureDomain: "a", Now: func() time.Duration { return cl.now }, IdleTimeout: func() time.Duration { return idleTimeout },
				Random: func(n int) int { draws++; return draws % n },
			})
			for i := range 9 {
				cl.records = append(cl.records, registry.Record{
					ID: fmt.Sprintf("s%d", i), BornMs: 1, Address: fmt.Sprint(i), Service: "s", FailureDomain: "a", Slots: 6, State: registry.Ready,
				})
			}
			cl.Sync(cl.records)
			cl.now += time.Minute
			Expect(countDials(cl, 50, tc.atOnce, tc.pause, idleTimeout)).To(BeNumerically("<=", tc.dials))
		})
	}
})

var _ = ginkgo.Describe("a balancer", func() {
	ginkgo.It("spreads a burst evenly and sends no backend server more requests than it has slots", func() {
		cl := newCluster(4, 6)
		got, grants := cl.place(100, balance.Request{})
		Expect(grants).To(HaveLen(24))
		for id, n := range got {
			Expect(n).To(Equal(6), id)
		}
		grants[0].Release(balance.Succeeded, nil)
		_, more := cl.place(2, balance.Request{})
		Expect(more).To(HaveLen(1))
	})

	ginkgo.It("uses the remaining backend servers when a failure domain is lost", func() {
		cl := newCluster(6, 4)
		var remaining []registry.Record
		for _, re := range cl.records {
			if re.FailureDomain != "a" {
				remaining = append(remaining, re)
			}
		}
		cl.Sync(remaining)
		got, grants := cl.place(100, balance.Request{})
		Expect(grants).To(HaveLen(16))
		Expect(got).NotTo(HaveKey("s0"))
		Expect(got).NotTo(HaveKey("s3"))
	})

	ginkgo.It("ejects backend servers that fail repeatedly for some seconds, but never most of them", func() {
		cl := newCluster(3, 4)
		for _, id := range []string{"s0", "s1", "s2"} {
			for range 20 {
				exclude := []string{}
				for _, o := range []string{"s0", "s1", "s2"} {
					if o != id {
						exclude = append(exclude, o)
					}
				}
				if gr := cl.Acquire(&balance.Request{Service: "s", Exclude: exclude}); gr != nil {
					gr.Release(balance.Failed, nil)
				}
			}
		}
		got, _ := cl.place(100, balance.Request{})
		Expect(len(got)).To(BeNumerically(">=", 2))
		cl.now += 6 * time.Second
		got, _ = cl.place(100, balance.Request{})
		Expect(len(got)).To(BeNumerically(">=", 1))
	})

	ginkgo.It("sends nothing to a backend server that drains, loads weights, is busy or has too old a version", func() {
		for _, tc := range []struct {
			name string
			edit func(cl *cluster)
		}{
			{"drains", func(cl *cluster) { cl.records[0].State = registry.Draining }},
			{"loads", func(cl *cluster) { cl.records[0].IsLoading = true }},
			{"has another version", func(cl *cluster) {
				for i := range cl.records[1:] {
					cl.records[i+1].Models = []registry.Model{{Name: "m", Version: 2}}
				}
			}},
			{"has just refused a request", func(cl *cluster) {
				cl.Acquire(&balance.Request{Service: "s", Exclude: []string{"s1", "s2"}}).Release(balance.Busy, nil)
			}},
		} {
			cl := newCluster(3, 4)
			tc.edit(cl)
			cl.Sync(cl.records)
			got, _ := cl.place(100, balance.Request{Model: "m", MinVersion: map[bool]uint64{true: 2, false: 1}[tc.name == "has another version"]})
			Expect(got).NotTo(HaveKey("s0"), tc.name)
			Expect(got).To(HaveLen(2), tc.name)
		}
	})

	ginkgo.It("prefers the backend server that last got the same prefix, while it has room", func() {
		cl := newCluster(3, 8)
		got, _ := cl.place(2, balance.Request{Prefix: "g"})
		Expect(got).To(HaveLen(1))
	})

	// Guards against a stream that goes on at a later incarnation with other software, which the last
	// known record does not show.
	ginkgo.It("avoids backend servers that are known to run other software, even if no other has room", func() {
		cl := newCluster(3, 2)
		got, _ := cl.place(6, balance.Request{OtherSoftware: map[string]bool{"s0": true, "s2": true}})
		Expect(got).To(Equal(map[string]int{"s1": 2}))
	})

	ginkgo.It("includes the reported load of other gateways", func() {
		cl := newCluster(2, 8)
		gr := cl.Acquire(&balance.Request{Service: "s", Exclude: []string{"s1"}})
		gr.Release(balance.Succeeded, &backend.Load{Running: 7, Slots: 8})
		got, _ := cl.place(1, balance.Request{})
		Expect(got).To(HaveKey("s1"))
	})
})

// A report of a newer backend server that could not be read was once dropped without a trace.
var _ = ginkgo.Describe("loads that can't be read", func() {
	ginkgo.It("are all counted, and logged once in ten seconds", func() {
		me, lines := meter.New(), memory.New()
		now := time.Hour
		ba := balance.New(balance.Config{
			Now: func() time.Duration { return now }, Random: func(int) int { return 0 }, Meter: me, Log: &log.Logger{Handler: lines, Level: log.InfoLevel},
		})
		ba.Sync([]registry.Record{{ID: "x", BornMs: 1, Address: "a", Service: "s", Slots: 8, State: registry.Ready}})
		for range 5 {
			now += 3 * time.Second
			gr := ba.Acquire(&balance.Request{Service: "s"})
			gr.RecordAnswer(&backend.Answer{IsLoadUnreadable: true})
			gr.Release(balance.Succeeded, nil)
		}
		Expect(me.Value("balance.loadUnreadable")).To(BeEquivalentTo(5))
		Expect(lines.Entries).To(HaveLen(2))
	})
})
