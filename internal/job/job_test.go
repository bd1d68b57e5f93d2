package job_test

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/job"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestSuite(t *testing.T) { suite.Run(t, "job") }

func newLedger() *job.Ledger {
	le := job.NewLedger(nil)
	Expect(le.Submit(job.Submit{Spec: job.Spec{ID: "j", Workspace: "w", Items: []job.Item{
		{ID: "a", Body: []byte("A")}, {ID: "b", Body: []byte("B")}, {ID: "c", Body: []byte("C")},
	}}}, 1000)).To(Succeed())

	return le
}

func completed(i int, text string) job.Result {
	return job.Result{Item: i, State: job.Completed, Text: text}
}

var _ = ginkgo.Describe("the ledger of batch jobs", func() {
	ginkgo.It("accepts a job once and rejects its ID from another workspace", func() {
		le := newLedger()
		le.ListResults(job.ListResults{Job: "j", Results: []job.Result{completed(1, "x")}})
		Expect(le.Submit(job.Submit{Spec: job.Spec{ID: "j", Workspace: "w"}}, 2000)).To(Succeed())
		jo, err := le.Get("j", "w")
		Expect(err).NotTo(HaveOccurred())
		Expect(jo.Results).To(HaveLen(1))
		Expect(result.Is(le.Submit(job.Submit{Spec: job.Spec{ID: "j", Workspace: "v"}}, 2000), result.StepConflict)).To(BeTrue())
		_, err = le.Get("j", "v")
		Expect(result.Is(err, result.UnknownStep)).To(BeTrue())
	})

	ginkgo.It("keeps the first result of an item and its position", func() {
		le := newLedger()
		for _, tc := range []struct {
			results []job.Result
			added   int
		}{
			{[]job.Result{completed(1, "one")}, 1},
			{[]job.Result{completed(1, "another"), completed(0, "zero")}, 1},
			{[]job.Result{completed(7, "no such item"), completed(-1, "nor this")}, 0},
			{[]job.Result{{Item: 0, State: job.Aborted}}, 0},
		} {
			Expect(le.ListResults(job.ListResults{Job: "j", Results: tc.results})).To(Equal(tc.added))
		}
		jo, err := le.Get("j", "w")
		Expect(err).NotTo(HaveOccurred())
		pa := jo.Page(0)
		Expect(pa.Total).To(Equal(3))
		Expect(pa.Next).To(Equal(2))
		Expect([]string{pa.Results[0].Text, pa.Results[1].Text}).To(Equal([]string{"one", "zero"}))
		Expect(jo.Page(2).Results).To(BeEmpty())
	})

	ginkgo.It("lists no results of an ended job and keeps it readable for RetentionPeriod", func() {
		le := newLedger()
		Expect(le.End(job.End{Job: "j", Workspace: "w"}, 2000)).To(Succeed())
		Expect(le.End(job.End{Job: "j", Workspace: "w"}, 3000)).To(Succeed())
		Expect(le.ListResults(job.ListResults{Job: "j", Results: []job.Result{completed(0, "late")}})).To(BeZero())
		keepMs := job.RetentionPeriod.Milliseconds()
		Expect(le.Submit(job.Submit{Spec: job.Spec{ID: "k", Workspace: "w"}}, 1000+keepMs)).To(Succeed())
		_, err := le.Get("j", "w")
		Expect(err).NotTo(HaveOccurred())
		Expect(le.Submit(job.Submit{Spec: job.Spec{ID: "l", Workspace: "w"}}, 1001+keepMs)).To(Succeed())
		_, err = le.Get("j", "w")
		Expect(result.Is(err, result.UnknownStep)).To(BeTrue())
	})

	ginkgo.It("returns the body of an item until it is listed", func() {
		le := newLedger()
		jo, err := le.Get("j", "w")
		Expect(err).NotTo(HaveOccurred())
		Expect(jo.Body("b")).To(Equal([]byte("B")))
		le.ListResults(job.ListResults{Job: "j", Results: []job.Result{completed(1, "x")}})
		_, err = jo.Body("b")
		Expect(result.Is(err, result.UnknownObject)).To(BeTrue())
		Expect(jo.Body("c")).To(Equal([]byte("C")))
	})

	ginkgo.It("records progress only if it continues the recorded text or restarts it", func() {
		le := newLedger()
		part := func(after, last uint64, events ...string) {
			le.RecordProgress(job.Progress{Parts: []job.Part{{Job: "j", Item: 0, After: after, Text: job.Partial{Events: events, LastEvent: last}}}})
		}
		part(0, 2, "e1", "e2")
		part(2, 3, "e3")
		part(5, 6, "e6") // a gap
		part(1, 2, "e2") // repeated
		jo, err := le.Get("j", "w")
		Expect(err).NotTo(HaveOccurred())
		Expect(jo.Partial[0]).To(Equal(job.Partial{Events: []string{"e1", "e2", "e3"}, LastEvent: 3}))
		part(0, 1, "f1") // restarted
		Expect(jo.Partial[0].Events).To(Equal([]string{"f1"}))
		le.ListResults(job.ListResults{Job: "j", Results: []job.Result{completed(0, "x")}})
		part(1, 2, "f2")
		Expect(jo.Partial).NotTo(HaveKey(0))
	})

	ginkgo.It("never joins events of two runs, even if their numbers are consecutive", func() {
		le := newLedger()
		record := func(term, after, last uint64, first bool, events ...string) {
			le.RecordProgress(job.Progress{Parts: []job.Part{{Job: "j", Item: 0, After: after, IsFirst: first, Text: job.Partial{Events: events, LastEvent: last, Term: term}}}})
		}
		recorded := func() []string {
			jo, err := le.Get("j", "w")
			Expect(err).NotTo(HaveOccurred())

			return jo.Partial[0].Events
		}
		record(1, 0, 2, true, "a1", "a2")
		// The driver of term 2 resumes after event 2, but a part of its predecessor is applied first.
		record(1, 2, 3, false, "a3")
		record(2, 2, 3, true, "b3")
		record(2, 3, 4, false, "b4")
		Expect(recorded()).To(Equal([]string{"a1", "a2", "a3"}))
		// The driver of term 3 resumes after event 3; late parts of older drivers are ignored.
		record(3, 3, 4, true, "c4")
		record(2, 4, 5, false, "b5")
		record(1, 0, 1, true, "a1")
		record(3, 4, 5, false, "c5")
		Expect(recorded()).To(Equal([]string{"a1", "a2", "a3", "c4", "c5"}))
	})

	ginkgo.It("has an encoded size between half the estimate and the estimate", func() {
		le := newLedger()
		items := make([]job.Item, 200)
		for i := range items {
			items[i] = job.Item{
				ID: fmt.Sprintf("item-%016d", i), Path: "/some/path", Group: "group", Body: make([]byte, 300), Tokens: 1016, Expected: 20,
				Headers: []job.Header{{Name: "Model", Value: "a-model"}, {Name: "Token-Counts", Value: "1000,16"}},
				Reward:  &job.Reward{ID: "score-0123456789abcdef", Host: "host.example", Path: "/score/path", Body: make([]byte, 100)},
			}
		}
		Expect(le.Submit(job.Submit{Spec: job.Spec{ID: "big", Workspace: "w", Items: items}}, 1)).To(Succeed())
		for i := range 100 {
			le.ListResults(job.ListResults{Job: "big", Results: []job.Result{{Item: i, State: job.Completed, Text: string(make([]byte, 8000)), Versions: []uint64{7, 8}, Score: "3e1b.07.5a2"}}})
			le.RecordProgress(job.Progress{Parts: []job.Part{{Job: "big", Item: i + 100, Text: job.Partial{Events: []string{"one", "two"}, LastEvent: 2}}}})
		}
		b, err := cbor.Marshal(le.Jobs())
		Expect(err).NotTo(HaveOccurred())
		Expect(job.EncodedBytes(le.Jobs())).To(BeNumerically(">=", len(b)))
		Expect(job.EncodedBytes(le.Jobs())).To(BeNumerically("<", 2*len(b)))
	})

	ginkgo.It("fills a page up to MaxPageBytes and returns at least one result", func() {
		big := string(make([]byte, job.MaxPageBytes))
		le := newLedger()
		le.ListResults(job.ListResults{Job: "j", Results: []job.Result{completed(0, big), completed(1, "x"), completed(2, "y")}})
		jo, err := le.Get("j", "w")
		Expect(err).NotTo(HaveOccurred())
		Expect(jo.Page(0).Next).To(Equal(1))
		Expect(jo.Page(1).Next).To(Equal(3))
	})
})
