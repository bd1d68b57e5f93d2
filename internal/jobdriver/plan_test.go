package jobdriver

import (
	"fmt"
	"strings"
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

var _ = ginkgo.Describe("the items of a step", func() {
	newDriver := func() *Driver { return New(Config{Log: logging.Discard(), Meter: meter.New()}) }
	// newJob has groups of two items each, with these expected lengths in tokens.
	newJob := func(id string, atMs int64, lengths ...int) *job.Job {
		jo := &job.Job{SubmittedMs: atMs, Spec: job.Spec{ID: id, Workspace: "w", Model: "m", MinVersion: 3, ResultDeadlineMs: 7500}}
		for i, n := range lengths {
			group := fmt.Sprintf("%s-%d", id, i)
			for k := range 2 {
				jo.Spec.Items = append(jo.Spec.Items, job.Item{ID: fmt.Sprintf("%s%c", group, 'a'+k), Group: group, Expected: n - k})
			}
		}
		jo.Listed = make([]bool, len(jo.Spec.Items))

		return jo
	}
	order := func(dr *Driver) []string {
		var out []string
		for _, t := range dr.waitingTasks(time.Now()) {
			out = append(out, t.item.ID)
		}

		return out
	}

	ginkgo.It("are placed in the order in which they must start, across jobs, begun texts first", func() {
		dr := newDriver()
		dr.jobs["a"] = newJobState(newJob("a", 1000, 900, 100), nil)
		dr.jobs["b"] = newJobState(newJob("b", 1300, 2000, 300), nil)
		Expect(order(dr)).To(Equal([]string{"b-0a", "b-0b", "a-0a", "a-0b", "a-1a", "a-1b", "b-1a", "b-1b"}))
		dr.jobs["b"].tasks[3].generated.lastEvent = 1
		Expect(order(dr)[0]).To(Equal("b-1b"))
	})

	ginkgo.It("of a group that came again go by the length that they had before", func() {
		dr := newDriver()
		dr.tokensPerEvent = 40
		earlier := map[string]job.EarlierText{"a-1a": {IsWhole: true, Text: strings.Repeat("x\n", 99) + "x", Partial: job.Partial{Versions: []uint64{1}}}}
		js := newJobState(newJob("a", 1000, 900, 100), earlier)
		dr.jobs["a"] = js
		Expect(js.required).To(Equal(1))
		Expect(js.timeline.tooOld).To(Equal(1))
		Expect(js.tasks[2].remaining(40)).To(BeEquivalentTo(4000))
		Expect(order(dr)[0]).To(Equal("a-1a"))
	})

	ginkgo.It("leave fast backend servers to those that would be late elsewhere", func() {
		start := time.Now().Add(-time.Hour)
		ba := balance.New(balance.Config{Now: func() time.Duration { return time.Since(start) }, Random: func(int) int { return 0 }})
		var records []registry.Record
		for _, id := range []string{"fast", "lagging"} {
			records = append(records, registry.Record{ID: id, BornMs: 1, Address: id, Service: "s", Slots: 1, State: registry.Ready, Models: []registry.Model{{Name: "m", Version: 3}}})
		}
		ba.Sync(records)
		start = start.Add(-time.Hour) // past the slow start of new backend servers
		dr := newDriver()
		dr.cfg.Balancer, dr.tokensPerEvent = ba, 40
		dr.classes = paceClasses{lagging: []string{"lagging"}, interval: map[string]float64{"fast": 0.026, "lagging": 0.034}, fast: 0.026, laggingInterval: 0.034}
		js := newJobState(newJob("a", time.Now().UnixMilli(), 10_500, 300), nil)
		dr.jobs["a"] = js
		pick := func(i int) string {
			now := time.Now()
			t := js.tasks[i]
			gr := dr.acquire("s", t, dr.preference(&waitingTask{task: t, remaining: t.remaining(40)}, now))
			if gr == nil {
				return ""
			}
			rec := gr.Record()

			return rec.ID
		}
		Expect(pick(2)).To(Equal("lagging"), "a short text")
		Expect(pick(0)).To(Equal("fast"), "a long text")
		ba.Sync(nil)
		ba.Sync(records[1:])
		start = start.Add(-time.Hour)
		Expect(pick(1)).To(BeEmpty(), "a long text waits")
		js.tasks[1].waitingSince = time.Now().Add(-time.Second)
		Expect(pick(1)).To(Equal("lagging"), "but not for ever")
	})

	ginkgo.It("take over a text of an earlier step as far as its weight versions allow", func() {
		part := func(versions ...uint64) job.EarlierText {
			return job.EarlierText{Partial: job.Partial{Events: []string{"x", "y"}, LastEvent: 2, Versions: versions, Term: 9, Service: "s", Software: "v"}}
		}
		whole := func(versions ...uint64) job.EarlierText {
			return job.EarlierText{IsWhole: true, Text: "x\ny\nz", Partial: job.Partial{Versions: versions}}
		}
		for _, tc := range []struct {
			name    string
			earlier job.EarlierText
			text    string
			isWhole bool
		}{
			{"a begun text", part(3, 4), "x\ny", false},
			{"a begun text with too old a version", part(2, 3), "", false},
			{"a whole text", whole(3), "x\ny\nz", true},
			{"a whole text with too old a version", whole(2), "", false},
			{"no text", job.EarlierText{}, "", false},
		} {
			js := newJobState(newJob("a", 1000, 900), map[string]job.EarlierText{"a-0a": tc.earlier})
			t := js.tasks[0]
			Expect(t.generated.String()).To(Equal(tc.text), tc.name)
			Expect(t.isWhole).To(Equal(tc.isWhole), tc.name)
			Expect(js.required).To(Equal(1), tc.name)
		}
	})

	ginkgo.It("commit all events of a text that they took over with the first progress", func() {
		dr := newDriver()
		jo := newJob("a", 1000, 900)
		js := newJobState(jo, map[string]job.EarlierText{"a-0a": {Partial: job.Partial{Events: []string{"x", "y"}, LastEvent: 2, Versions: []uint64{3}, Term: 9}}})
		dr.jobs["a"], dr.term = js, 2
		t := js.tasks[0]
		t.phase = running
		te := t.generated
		te.add(3, "z", 3)
		dr.recordProgress(t, &te)
		le := job.NewLedger(map[string]*job.Job{"a": jo})
		le.RecordProgress(job.Progress{Parts: dr.progress})
		Expect(jo.Partial[0].Events).To(Equal([]string{"x", "y", "z"}))
		Expect(jo.Partial[0].LastEvent).To(BeEquivalentTo(3))
	})

	ginkgo.It("of one version are begun again on a single-version route, and whole ones are kept", func() {
		ro := &routing.Route{IsSingleVersion: true}
		js := newJobState(newJob("a", 1000, 900), map[string]job.EarlierText{
			"a-0a": {Partial: job.Partial{Events: []string{"x"}, LastEvent: 1, Versions: []uint64{3}}},
			"a-0b": {IsWhole: true, Text: "x", Partial: job.Partial{Versions: []uint64{3}}},
		})
		Expect(js.tasks[0].generated.isUsable(3, ro)).To(BeFalse())
		Expect(js.tasks[1].generated.meetsVersionRules(3, true)).To(BeTrue())
	})
})
