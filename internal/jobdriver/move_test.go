package jobdriver

import (
	"context"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/job"
	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/routing"
)

// Guards against more cancelled runs than reserved slots: an engine with all slots in
// use slows down, the others have few free slots, and several passes of the driver
// happen before the cancelled runs have ended.
var _ = ginkgo.Describe("runs at a slow engine", func() {
	var dr *Driver
	var js *jobState
	var ba *balance.Balancer
	var ended int
	const free = 2
	ginkgo.BeforeEach(func() {
		start := time.Now().Add(-time.Hour)
		ba = balance.New(balance.Config{Now: func() time.Duration { return time.Since(start) }, Random: func(int) int { return 0 }})
		var records []registry.Record
		for id, slots := range map[string]int{"slow": 8, "fast": free} {
			records = append(records, registry.Record{
				ID: id, BornMs: 1, Address: id, Service: "s", Slots: slots, State: registry.Ready, Models: []registry.Model{{Name: "m", Version: 1}},
			})
		}
		ba.Sync(records)
		start = start.Add(-time.Hour) // past the slow start of new backend servers
		dr = New(Config{
			Balancer: ba, Log: logging.Discard(), Meter: meter.New(),
			Client: &backend.Client{Send: func(ctx context.Context, _ string, _ *backend.Call) (*backend.Answer, error) {
				<-ctx.Done()

				return nil, ctx.Err()
			}},
		})
		dr.ctx, dr.term, dr.tokensPerEvent = context.Background(), 1, 40
		dr.classes = paceClasses{slow: []string{"slow"}, interval: map[string]float64{"slow": 0.2, "fast": 0.03}, fast: 0.03, laggingInterval: 0.03}
		js = &jobState{id: "j", model: "m", tasks: map[int]*task{}, timeline: timeline{runs: map[string]int{}}}
		dr.jobs["j"] = js
		ended = 0
		for i := range 8 {
			js.tasks[i] = &task{
				job: js, index: i, item: job.Item{ID: fmt.Sprint(i), Expected: 4000}, phase: running, server: "slow", service: "s", startedAt: time.Now().Add(-minSlowRun),
				cancelForMove: func() { ended++ },
			}
		}
	})
	moveOnce := func() {
		dr.mu.Lock()
		defer dr.mu.Unlock()
		dr.moveRuns()
	}

	ginkgo.It("are cancelled only up to the free slots of other engines", func() {
		for range 5 {
			moveOnce()
		}
		Expect(ended).To(Equal(free))
	})

	ginkgo.It("wait longer with each move, as engines that read the prompts of a new step are slow in turn", func() {
		for i, t := range js.tasks {
			t.moves = i % 2
		}
		moveOnce()
		Expect(ended).To(Equal(free))
		for _, t := range js.tasks {
			Expect(t.nextGrant == nil || t.moves == 0).To(BeTrue())
			t.moves = maxMoveDoublings + 9
		}
		Expect(dr.minAge(js.tasks[0])).To(Equal(minSlowRun << maxMoveDoublings))
		dr.classes.slow = nil
		js.tasks[0].moves = 1
		Expect(dr.minAge(js.tasks[0])).To(Equal(2 * minLongRun))
	})

	ginkgo.It("resume at the slot that was reserved for them", func() {
		moveOnce()
		for _, t := range js.tasks {
			if t.nextGrant == nil {
				continue
			}
			dr.handleOutcome(t, &routing.Route{MaxAttempts: 1}, t.nextGrant, &generatedText{}, moved)
			dr.mu.Lock()
			Expect(t.phase).To(Equal(running))
			Expect(t.server).To(Equal("fast"))
			Expect(t.nextGrant).To(BeNil())
			t.cancel()
			dr.mu.Unlock()
		}
		dr.wg.Wait()
	})

	ginkgo.It("release the reserved slot if they end before the move", func() {
		moveOnce()
		for _, t := range js.tasks {
			if t.nextGrant != nil {
				dr.handleOutcome(t, &routing.Route{MaxAttempts: 1}, t.nextGrant, &generatedText{}, cancelled)
			}
		}
		freeSlots := 0
		for ba.Acquire(&balance.Request{Service: "s", Model: "m", Exclude: []string{"slow"}}) != nil {
			freeSlots++
		}
		Expect(freeSlots).To(Equal(free))
	})
})
