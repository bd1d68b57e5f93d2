package jobdriver

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/job"
	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/routing"
)

// Guards against a step that loses all its groups although others had room to spare, and against
// another order than before where nothing is short.
var _ = ginkgo.Describe("the items of several steps", func() {
	ta := routing.NewTable(&routing.Config{Version: 1, Routes: []routing.Route{
		{Name: "urgent", Host: "h", Prefix: "/urgent/", Priority: 0, Targets: []routing.Target{{Service: "s", Weight: 1}}},
		{Name: "usual", Host: "h", Prefix: "/usual/", Priority: 1, Targets: []routing.Target{{Service: "s", Weight: 1}}},
	}})
	// All jobs of a case are submitted at the same time: the items of a job differ by 1 ms.
	var submittedMs int64
	ginkgo.BeforeEach(func() { submittedMs = time.Now().UnixMilli() })
	// newDriver has a backend server with two slots and this many runs.
	newDriver := func(runs int) *Driver {
		start := time.Now().Add(-time.Hour)
		ba := balance.New(balance.Config{Now: func() time.Duration { return time.Since(start) }, Random: func(int) int { return 0 }})
		ba.Sync([]registry.Record{{ID: "a", BornMs: 1, Address: "a", Service: "s", Slots: 2, State: registry.Ready, Models: []registry.Model{{Name: "m", Version: 3}}}})
		dr := New(Config{Log: logging.Discard(), Meter: meter.New(), Balancer: ba})
		js := newJobState(&job.Job{SubmittedMs: submittedMs, Spec: job.Spec{ID: "other", Workspace: "other", Host: "h", Model: "m", ResultDeadlineMs: 7500}}, nil)
		for i := range runs {
			js.tasks[i] = &task{job: js, phase: running, service: "s", item: job.Item{ID: fmt.Sprint(i), Path: "/usual/x", Group: fmt.Sprint(i)}}
		}
		dr.jobs["other"] = js

		return dr
	}
	// add adds a step of groups with one item each, of one second.
	add := func(dr *Driver, id, path string, groups int, earlier map[string]job.EarlierText) {
		jo := &job.Job{SubmittedMs: submittedMs, Spec: job.Spec{ID: id, Workspace: id, Host: "h", Model: "m", ResultDeadlineMs: 7500}}
		for i := range groups {
			jo.Spec.Items = append(jo.Spec.Items, job.Item{ID: fmt.Sprintf("%s%d", id, i), Group: fmt.Sprint(i), Path: path, Expected: 1000 - i})
		}
		jo.Listed = make([]bool, groups)
		dr.jobs[id] = newJobState(jo, earlier)
	}
	order := func(dr *Driver) []string {
		now := time.Now()
		waits := dr.waitingTasks(now)
		dr.orderForShortage(waits, ta, now)
		var out []string
		for _, wt := range waits {
			out = append(out, wt.item.ID)
		}

		return out
	}

	for _, tc := range []struct {
		name    string
		isShort bool
		groups  int
		want    []string // the first items
	}{
		{"without shortage, are placed by latest start", false, 6, []string{"a0", "b0", "a1", "b1"}},
		{"that all fit, are placed by latest start, also while no slot is free", true, 4, []string{"a0", "b0", "a1", "b1"}},
		{"under shortage, are placed step by step, the most urgent first", true, 6, []string{"b0", "b1", "b2", "b3", "b4", "b5", "a0"}},
	} {
		ginkgo.It(tc.name, func() {
			dr := newDriver(2)
			add(dr, "a", "/usual/x", tc.groups, nil)
			add(dr, "b", "/urgent/x", tc.groups, nil)
			if tc.isShort {
				dr.shortage.setShort(map[string]bool{"s": true})
			}
			Expect(order(dr)[:len(tc.want)]).To(Equal(tc.want))
		})
	}

	ginkgo.It("under shortage, start with the groups that came again", func() {
		dr := newDriver(2)
		add(dr, "a", "/usual/x", 10, nil)
		add(dr, "b", "/urgent/x", 7, map[string]job.EarlierText{"b4": {}})
		dr.shortage.setShort(map[string]bool{"s": true})
		Expect(order(dr)[:2]).To(Equal([]string{"b4", "b0"}))
	})

	ginkgo.It("under shortage, prefer the workspace that used less, and keep the order of its own steps", func() {
		dr := newDriver(2)
		now := time.Now()
		dr.shortage.addUse("a", 9*time.Second, now)
		dr.shortage.addUse("b", 3*time.Second, now)
		for _, id := range []string{"a", "b"} {
			add(dr, id, "/usual/x", 6, nil)
			dr.jobs[id].excess = dr.excessOf(dr.jobs[id])
		}
		dr.shortage.setShort(map[string]bool{"s": true})
		Expect(order(dr)[0]).To(Equal("b0"))
		dr.shortage.addUse("a", 99*time.Second, now)
		later := *dr.jobs["b"]
		Expect(dr.excessOf(&later)).To(BeNumerically(">=", dr.jobs["b"].excess))
	})

	ginkgo.It("that wait for a slot are reported as demand of their workspace, until the driver stops", func() {
		dr := newDriver(2)
		add(dr, "a", "/usual/x", 5, nil)
		dr.countWaiting(ta)
		_, waits, _ := dr.cfg.Shares.Totals(dr.cfg.Now())
		Expect(waits).To(BeZero(), "without shortage")
		dr.shortage.setShort(map[string]bool{"s": true})
		dr.countWaiting(ta)
		_, waits, _ = dr.cfg.Shares.Totals(dr.cfg.Now())
		Expect(waits).To(Equal(5))
		dr.stop()
		_, waits, _ = dr.cfg.Shares.Totals(dr.cfg.Now())
		Expect(waits).To(BeZero())
	})

	ginkgo.It("that wait for weights leave the turns to others", func() {
		dr := newDriver(2)
		add(dr, "a", "/usual/x", 10, nil)
		add(dr, "b", "/urgent/x", 10, nil)
		dr.jobs["b"].minVersion = 9
		Expect(dr.isEligible("s", dr.jobs["b"].tasks[0])).To(BeFalse())
		Expect(dr.openSteps(ta, time.Now())["s"]).To(HaveLen(2))
	})
})
