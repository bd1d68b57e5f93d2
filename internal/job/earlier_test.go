package job_test

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/job"
)

var _ = ginkgo.Describe("the texts of ended jobs", func() {
	item := func(id, group string) job.Item { return job.Item{ID: id, Path: "/p/" + id, Group: group, Tokens: 9} }
	spec := func(id string, items ...job.Item) job.Spec {
		return job.Spec{ID: id, Workspace: "w", Host: "h", Model: "m", Items: items}
	}
	part := func(id string, i int, events ...string) job.Progress {
		return job.Progress{Parts: []job.Part{{Job: id, Item: i, Text: job.Partial{Events: events, LastEvent: uint64(len(events)), Versions: []uint64{3}, Term: 1, Service: "s", Software: "v"}}}}
	}
	var le *job.Ledger
	ginkgo.BeforeEach(func() {
		le = job.NewLedger(nil)
		sp := spec("one", item("whole", "g"), item("begun", "g"), item("idle", "g"), item("failed", "g"))
		Expect(le.Submit(job.Submit{Spec: sp}, 1000)).To(Succeed())
		le.RecordProgress(part("one", 1, "x", "y"))
		le.ListResults(job.ListResults{Job: "one", Results: []job.Result{
			{Item: 0, State: job.Completed, Text: "all", Versions: []uint64{2, 3}, Score: "s"}, {Item: 3, State: job.Aborted},
		}})
	})
	end := func(id string, at int64) { Expect(le.End(job.End{Job: id, Workspace: "w"}, at)).To(Succeed()) }

	ginkgo.It("are found by a later job with the same items", func() {
		next := spec("two", item("begun", "g"), item("whole", "g"), item("idle", "g"), item("failed", "g"), item("new", "h"))
		Expect(le.Earlier(&next)).To(BeEmpty(), "the job is open")
		end("one", 2000)
		got := le.Earlier(&next)
		Expect(got).To(HaveLen(4))
		Expect(got["whole"]).To(Equal(job.EarlierText{IsWhole: true, Text: "all", Partial: job.Partial{Versions: []uint64{2, 3}}}))
		Expect(got["begun"].Partial).To(Equal(job.Partial{Events: []string{"x", "y"}, LastEvent: 2, Versions: []uint64{3}, Term: 1, Service: "s", Software: "v"}))
		Expect(got["idle"]).To(Equal(job.EarlierText{}))
		Expect(got["failed"]).To(Equal(job.EarlierText{}))
	})

	ginkgo.It("are those of the job that ended last", func() {
		end("one", 2000)
		Expect(le.Submit(job.Submit{Spec: spec("two", item("begun", "g"), item("whole", "g"))}, 3000)).To(Succeed())
		le.RecordProgress(part("two", 0, "x", "y", "z"))
		end("two", 4000)
		next := spec("three", item("begun", "g"), item("whole", "g"))
		Expect(le.Earlier(&next)["begun"].Partial.LastEvent).To(BeEquivalentTo(3))
		Expect(le.Earlier(&next)["whole"].IsWhole).To(BeTrue(), "the second job has nothing of it")
	})

	ginkgo.It("are not taken by jobs and items that ask for something else", func() {
		end("one", 2000)
		for _, change := range []func(sp *job.Spec){
			func(sp *job.Spec) { sp.Workspace = "x" },
			func(sp *job.Spec) { sp.Host = "x" },
			func(sp *job.Spec) { sp.Model = "x" },
			func(sp *job.Spec) { sp.Items[0].Path = "/x" },
			func(sp *job.Spec) { sp.Items[0].Group = "x" },
			func(sp *job.Spec) { sp.Items[0].Tokens = 1 },
		} {
			next := spec("two", item("begun", "g"))
			change(&next)
			Expect(le.Earlier(&next)).To(BeEmpty())
		}
	})

	ginkgo.It("stay where they are when progress of the ended job comes late", func() {
		end("one", 2000)
		le.RecordProgress(part("one", 1, "x", "y", "z"))
		next := spec("two", item("begun", "g"))
		Expect(le.Earlier(&next)["begun"].Partial.LastEvent).To(BeEquivalentTo(2))
	})
})
