package job_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/job"
)

// randomCommands applies commands to a ledger of a few jobs, whose IDs come again after they are gone, and
// calls check after each.
func randomCommands(le *job.Ledger, rnd *rand.Rand, count int, check func()) {
	const jobs, items, stepMs = 8, 10, 300
	for i := range count {
		atMs := int64(i) * stepMs
		id, workspace := fmt.Sprint("j", rnd.IntN(jobs)), fmt.Sprint("w", rnd.IntN(2))
		if jo := le.Jobs()[id]; jo != nil {
			workspace = jo.Spec.Workspace
		}
		text := string(make([]byte, rnd.IntN(100)))
		switch n := rnd.IntN(50); {
		case n < 5:
			sp := job.Spec{ID: id, Workspace: workspace, Host: "h", Model: fmt.Sprint("m", rnd.IntN(2)), ResultDeadlineMs: int64(rnd.IntN(9000))}
			for k := range items {
				it := job.Item{ID: fmt.Sprint("i", k), Path: "/p", Group: "g", Body: make([]byte, rnd.IntN(100)), Headers: make([]job.Header, rnd.IntN(3))}
				if rnd.IntN(2) == 0 {
					it.Reward = &job.Reward{ID: "r", Host: "h", Path: "/r", Body: make([]byte, rnd.IntN(50))}
				}
				sp.Items = append(sp.Items, it)
			}
			Expect(le.Submit(job.Submit{Spec: sp}, atMs)).To(Succeed())
		case n < 6:
			_ = le.End(job.End{Job: id, Workspace: workspace}, atMs) // there may be none
		case n < 25:
			le.ListResults(job.ListResults{Job: id, Results: []job.Result{{Item: rnd.IntN(items), State: job.Completed, Text: text}, {Item: rnd.IntN(2*items) - items, State: job.Aborted}}})
		default:
			after := uint64(0)
			k := rnd.IntN(items)
			if jo := le.Jobs()[id]; jo != nil && rnd.IntN(2) == 0 {
				after = jo.Partial[k].LastEvent
			}
			le.RecordProgress(job.Progress{Parts: []job.Part{{Job: id, Item: k, After: after, Text: job.Partial{Events: []string{text, "x"}, LastEvent: after + 2}}}})
		}
		check()
	}
}

var _ = ginkgo.Describe("the changes of the ledger", func() {
	newRandom := func() *rand.Rand { return rand.New(rand.NewPCG(uint64(ginkgo.GinkgoRandomSeed()), 1)) }

	// Compares with a walk over all jobs.
	ginkgo.It("leave open jobs by due time, and ended ones that are alike by the time of their end", func() {
		le := job.NewLedger(nil)
		check := func(le *job.Ledger) {
			var open []*job.Job
			ended := map[string][]*job.Job{}
			key := func(sp *job.Spec) string { return sp.Workspace + " " + sp.Model }
			for _, jo := range le.Jobs() {
				if jo.IsOpen() {
					open = append(open, jo)
				} else {
					ended[key(&jo.Spec)] = append(ended[key(&jo.Spec)], jo)
				}
			}
			slices.SortFunc(open, func(a, b *job.Job) int {
				return cmp.Or(cmp.Compare(a.SubmittedMs+a.Spec.ResultDeadlineMs, b.SubmittedMs+b.Spec.ResultDeadlineMs), cmp.Compare(a.Spec.ID, b.Spec.ID))
			})
			Expect(slices.Equal(le.Open(), open)).To(BeTrue())
			for _, workspace := range []string{"w0", "w1"} {
				for _, model := range []string{"m0", "m1"} {
					sp := &job.Spec{Workspace: workspace, Host: "h", Model: model}
					want := ended[key(sp)]
					slices.SortFunc(want, func(a, b *job.Job) int {
						return cmp.Or(cmp.Compare(a.EndedMs, b.EndedMs), cmp.Compare(a.Spec.ID, b.Spec.ID))
					})
					Expect(slices.Equal(le.EndedLike(sp), want)).To(BeTrue())
				}
			}
		}
		randomCommands(le, newRandom(), 5000, func() { check(le) })
		check(job.NewLedger(le.Jobs()))
	})

	ginkgo.It("do not change a list that was read before", func() {
		le := job.NewLedger(nil)
		type list struct{ read, copied []*job.Job }
		var lists []list
		randomCommands(le, newRandom(), 5000, func() {
			for _, jobs := range [][]*job.Job{le.Open(), le.EndedLike(&job.Spec{Workspace: "w0", Host: "h", Model: "m0"})} {
				lists = append(lists, list{jobs, slices.Clone(jobs)})
			}
		})
		for _, li := range lists {
			Expect(slices.Equal(li.read, li.copied)).To(BeTrue())
		}
	})

	ginkgo.It("name each changed job, up to a limit, while they are known", func() {
		le := newLedger()
		ids, next, isKnown := le.Changes(0, 10)
		Expect(ids).To(Equal([]string{"j"}))
		Expect(next).To(Equal(le.Revision()))
		Expect(isKnown).To(BeTrue())
		le.ListResults(job.ListResults{Job: "j", Results: []job.Result{completed(1, "x")}})
		Expect(le.Submit(job.Submit{Spec: job.Spec{ID: "k", Workspace: "w"}}, 1000)).To(Succeed())
		ids, mid, _ := le.Changes(next, 1)
		Expect(ids).To(Equal([]string{"j"}))
		ids, end, _ := le.Changes(mid, 10)
		Expect(ids).To(Equal([]string{"k"}))
		Expect(end).To(Equal(le.Revision()))
		ids, _, isKnown = le.Changes(end, 10)
		Expect(ids).To(BeEmpty())
		Expect(isKnown).To(BeTrue())
		_, _, isKnown = le.Changes(end+1, 10)
		Expect(isKnown).To(BeFalse(), "of another ledger")
		for i := range 10_000 {
			id := fmt.Sprint(i)
			Expect(le.Submit(job.Submit{Spec: job.Spec{ID: id, Workspace: "w"}}, 1000)).To(Succeed())
			if i%100 == 99 {
				ids, _, isKnown := le.Changes(le.Revision()-50, 100)
				Expect(isKnown).To(BeTrue())
				Expect(ids).To(HaveLen(50))
				Expect(ids[49]).To(Equal(id))
			}
		}
		_, _, isKnown = le.Changes(end, 10)
		Expect(isKnown).To(BeFalse(), "too long ago")
	})
})
