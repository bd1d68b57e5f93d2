package jobdriver

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/fairshare"
	"github.com/tamarackbay/tamarackbay/internal/feed"
	"github.com/tamarackbay/tamarackbay/internal/job"
	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/routing"
	"github.com/tamarackbay/tamarackbay/internal/scheduler"
	"github.com/tamarackbay/tamarackbay/internal/workload"
)

const (
	benchServers = 39
	benchSlots   = 6
)

// newLedgerDriver returns a driver of the open jobs of a ledger, and its backend servers. isPaced makes these report
// their pace.
func newLedgerDriver(le *job.Ledger, isPaced bool) *Driver {
	start := time.Now().Add(-time.Hour)
	clock := func() time.Duration { return time.Since(start) }
	ba := balance.New(balance.Config{
		Scheduler: scheduler.Config{Policy: scheduler.PolicyCompletion, RandomChoices: 256}, Now: clock, Random: func(int) int { return 0 },
		IdleTimeout: func() time.Duration { return time.Minute },
	})
	var records []registry.Record
	for i := range benchServers {
		records = append(records, registry.Record{
			ID: fmt.Sprint(i), BornMs: 1, Address: fmt.Sprint(i), Service: "s", Software: "v", Slots: benchSlots, State: registry.Ready,
			Models: []registry.Model{{Name: "m", Version: 3}},
		})
	}
	ba.Sync(records)
	start = start.Add(-time.Hour) // past the slow start of new backend servers
	if isPaced {
		for i := range benchServers {
			gr := ba.Acquire(&balance.Request{Service: "s", Only: []string{fmt.Sprint(i)}})
			gr.Release(balance.Succeeded, &backend.Load{Running: 1, Slots: benchSlots, Pace: 1})
		}
	}
	vi := &feed.View{Table: routing.NewTable(&routing.Config{Version: 1, Routes: []routing.Route{
		{Name: "usual", Host: "h", Prefix: "/usual/", Targets: []routing.Target{{Service: "s", Weight: 1}}},
	}})}
	dr := New(Config{
		Log: logging.Discard(), Meter: meter.New(), Balancer: ba, View: func() *feed.View { return vi }, Random: func() float64 { return 0.5 },
		Workload: workload.New(), Shares: fairshare.NewHolder("", 0), Now: clock,
	})
	dr.tokensPerEvent = 40
	dr.intake.read = func(f func(le *job.Ledger)) { f(le) }
	dr.intake.reset()

	return dr
}

// newBusyDriver returns a driver that has taken up all open jobs of a ledger, before backend servers of which all
// slots are in use.
func newBusyDriver(le *job.Ledger, isPaced bool) *Driver {
	dr := newLedgerDriver(le, isPaced)
	for dr.cfg.Balancer.Acquire(&balance.Request{Service: "s", ExtraSlots: resumeQueueSlots}) != nil {
	}
	for dr.pass() {
	}
	for _, js := range dr.jobs {
		runs := benchServers * benchSlots / len(dr.jobs)
		for i, t := range js.tasks {
			if runs--; runs >= 0 {
				t.phase, t.service, t.server = running, "s", fmt.Sprint(i%benchServers)
			}
		}
	}

	return dr
}

// Guards against passes that leave the more to collect the more items wait.
var _ = ginkgo.Describe("a pass of the driver", func() {
	ginkgo.It("that finds no free slot allocates no more for three times the items", func() {
		allocations := func(items int) float64 {
			dr := newBusyDriver(newLedger(ledgerSize{open: 6, ended: 9, items: items}), false)
			dr.pass()

			return testing.AllocsPerRun(20, func() { dr.pass() })
		}
		const maxGrowth = 1.1
		Expect(allocations(480)).To(BeNumerically("<", maxGrowth*allocations(160)))
	})
})

// Guards against a new leader whose first pass starts all items at once, so that it sends no heartbeat.
var _ = ginkgo.Describe("the items of a new leader", func() {
	ginkgo.It("are started in several passes, in the order in which one would start them", func() {
		le := newLedger(ledgerSize{open: 6, items: 160})
		all := newBusyDriver(le, false)
		for _, js := range all.jobs {
			for _, t := range js.tasks {
				t.phase = waiting
			}
		}
		want := ids(all.waitingTasks(time.Now()))[:benchServers*benchSlots]

		dr := newLedgerDriver(le, false)
		var end context.CancelFunc
		dr.ctx, end = context.WithCancel(context.Background())
		defer dr.wg.Wait()
		defer end()
		dr.cfg.Client = &backend.Client{Send: func(ctx context.Context, _ string, _ *backend.Call) (*backend.Answer, error) {
			<-ctx.Done()

			return nil, ctx.Err()
		}}
		runs := func() (out []string) {
			for _, js := range dr.jobs {
				for _, t := range js.tasks {
					if t.phase == running {
						out = append(out, t.item.ID)
					}
				}
			}

			return out
		}
		for len(dr.jobs) < 6 { // the jobs are taken up before the first backend server is known
			ch, _ := dr.intake.next()
			dr.applyChanges(&ch, takeUp(ch.taken))
		}
		for hasMore, before := true, 0; hasMore; {
			hasMore = dr.pass()
			n := len(runs())
			Expect(n - before).To(BeNumerically("<=", maxStartsPerPass))
			before = n
		}
		Expect(runs()).To(ConsistOf(want))
	})
})

// Compares with a queue that holds nothing of former passes.
var _ = ginkgo.Describe("the order of waiting items", func() {
	ginkgo.It("does not depend on former passes", func() {
		rnd := rand.New(rand.NewPCG(uint64(ginkgo.GinkgoRandomSeed()), 3))
		dr := newBusyDriver(newLedger(ledgerSize{open: 4, ended: 1, items: 40}), false)
		now := time.Now()
		for range 500 {
			for range rnd.IntN(6) {
				js := dr.jobs[fmt.Sprint("o", rnd.IntN(4))]
				i := rnd.IntN(40)
				t := js.tasks[i]
				switch {
				case t == nil:
				case rnd.IntN(40) == 0:
					delete(js.tasks, i)
				case rnd.IntN(3) == 0:
					t.generated.lastEvent = uint64(rnd.IntN(2))
				case rnd.IntN(3) == 0:
					t.notBefore = now.Add(time.Duration(rnd.IntN(3)-1) * time.Millisecond)
				default:
					t.phase = phase(rnd.IntN(2))
				}
			}
			if rnd.IntN(10) == 0 {
				dr.tokensPerEvent = 1 + 50*rnd.Float64()
			}
			got := ids(dr.waitingTasks(now))
			slices.Reverse(dr.waits.ordered) // as a plan for a shortage may
			kept := dr.waits
			dr.waits = waitQueue{}
			Expect(got).To(Equal(ids(dr.waitingTasks(now))))
			dr.waits = kept
		}
	})
})

// ids returns the IDs of waiting items in their order.
func ids(waits []waitingTask) []string {
	var out []string
	for _, wt := range waits {
		out = append(out, wt.item.ID)
	}

	return out
}

// BenchmarkPass takes a pass of the driver that finds no free slot.
func BenchmarkPass(b *testing.B) {
	for _, isPaced := range []bool{false, true} {
		b.Run(fmt.Sprintf("paced=%v", isPaced), func(b *testing.B) {
			le := newLedger(ledgerSize{open: 6, ended: 90, items: 160, textBytes: 9000})
			dr := newBusyDriver(le, isPaced)
			b.ReportAllocs()
			for b.Loop() {
				dr.pass()
			}
		})
	}
}

// BenchmarkTakeUp takes up the open jobs of a ledger, as a new leader does.
func BenchmarkTakeUp(b *testing.B) {
	le := newLedger(ledgerSize{open: 6, ended: 90, items: 160, textBytes: 9000})
	for id, jo := range le.Jobs() {
		if !jo.IsOpen() {
			continue
		}
		for i := range jo.Listed {
			le.RecordProgress(job.Progress{Parts: []job.Part{{Job: id, Item: i, IsFirst: true, Text: job.Partial{
				Events: make([]string, 30), LastEvent: 30, Versions: []uint64{3}, Term: 2, Service: "s", Software: "v",
			}}}})
		}
	}
	in, _ := newIntake(le)
	b.ReportAllocs()
	for b.Loop() {
		in.reset()
		for hasMore := true; hasMore; {
			var ch jobChanges
			ch, hasMore = in.next()
			takeUp(ch.taken)
		}
	}
}
