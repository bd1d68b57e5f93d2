package jobdriver

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/job"
	"github.com/tamarackbay/tamarackbay/internal/logging"
)

// ledgerSize describes a ledger of jobs of one workspace, whose texts are all alike.
type ledgerSize struct {
	open, ended, items int
	textBytes          int
}

// newLedger returns a ledger in which a fifth of the items of each open job has a result and a fifth has
// progress, and all items of each ended job have results. Job o0 is due last.
func newLedger(size ledgerSize) *job.Ledger {
	le := job.NewLedger(nil)
	text := strings.Repeat("x", size.textBytes)
	submit := func(id string, atMs int64) {
		sp := job.Spec{ID: id, Workspace: "w", Host: "h", Model: "m", ResultDeadlineMs: 7500}
		for i := range size.items {
			sp.Items = append(sp.Items, job.Item{
				ID: fmt.Sprintf("%s-%d", id, i), Path: "/usual/x", Group: fmt.Sprintf("%s-%d", id, i/8), Tokens: 1000, Expected: 500 + i%7, Body: []byte(id),
			})
		}
		if err := le.Submit(job.Submit{Spec: sp}, atMs); err != nil {
			panic(err)
		}
	}
	list := func(id string, n int) {
		for i := range n {
			le.ListResults(job.ListResults{Job: id, Results: []job.Result{{Item: i, State: job.Completed, Text: text, Versions: []uint64{3}}}})
		}
	}
	for j := range size.ended {
		id := fmt.Sprintf("e%d", j)
		submit(id, 1000)
		list(id, size.items)
		if err := le.End(job.End{Job: id, Workspace: "w"}, 2000); err != nil {
			panic(err)
		}
	}
	for j := range size.open {
		id := fmt.Sprintf("o%d", j)
		submit(id, int64(3000-j))
		list(id, size.items/5)
		for i := size.items / 5; i < 2*size.items/5; i++ {
			le.RecordProgress(job.Progress{Parts: []job.Part{{Job: id, Item: i, IsFirst: true, Text: job.Partial{
				Events: []string{"a", "b"}, LastEvent: 2, Versions: []uint64{3}, Term: 1, Service: "s", Software: "v",
			}}}})
		}
	}

	return le
}

// newIntake returns an intake of a ledger, and the longest time for which it held the ledger since the last call.
func newIntake(le *job.Ledger) (in *intake, longest func() time.Duration) {
	var held time.Duration
	in = &intake{read: func(f func(le *job.Ledger)) {
		start := time.Now()
		f(le)
		held = max(held, time.Since(start))
	}}
	in.reset()

	return in, func() time.Duration {
		out := held
		held = 0

		return out
	}
}

var _ = ginkgo.Describe("the open jobs of a ledger", func() {
	ginkgo.It("are taken up one at a time, the one that is due first at the front", func() {
		le := newLedger(ledgerSize{open: 5, ended: 2, items: 10})
		in, _ := newIntake(le)
		var got []string
		for hasMore := true; hasMore; {
			var ch jobChanges
			ch, hasMore = in.next()
			Expect(len(ch.taken)).To(BeNumerically("<=", 1))
			for _, tj := range ch.taken {
				got = append(got, tj.job.Spec.ID)
			}
		}
		Expect(got).To(Equal([]string{"o4", "o3", "o2", "o1", "o0"}))
	})

	ginkgo.It("are read without what changes later", func() {
		le := newLedger(ledgerSize{open: 1, items: 10})
		in, _ := newIntake(le)
		ch, _ := in.next()
		jo := ch.taken[0].job
		le.ListResults(job.ListResults{Job: "o0", Results: []job.Result{{Item: 2, State: job.Aborted}}})
		Expect(jo.Listed[2]).To(BeFalse())
		Expect(jo.Partial).To(HaveKey(2))
		Expect(jo.Spec.Items[2].Body).NotTo(BeEmpty())
		Expect(jo.Results).To(HaveLen(2))
	})

	// Guards against a lock that is held longer the larger the ledger is.
	ginkgo.It("hold its lock for a time that does not depend on the other jobs", func() {
		const rounds = 30
		// shortest returns the least times for taking up a job and for a listed result.
		shortest := func(size ledgerSize) (takingUp, result time.Duration) {
			takingUp, result = time.Hour, time.Hour
			for range rounds {
				le := newLedger(size)
				in, longest := newIntake(le)
				for hasMore := true; hasMore; {
					_, hasMore = in.next()
				}
				takingUp = min(takingUp, longest())
				le.ListResults(job.ListResults{Job: "o0", Results: []job.Result{{Item: size.items - 1, State: job.Aborted}}})
				_, _ = in.next()
				result = min(result, longest())
			}

			return takingUp, result
		}
		const maxGrowth = 4
		smallTaken, smallResult := shortest(ledgerSize{open: 1, items: 160})
		largeTaken, largeResult := shortest(ledgerSize{open: 12, ended: 90, items: 160})
		Expect(largeTaken).To(BeNumerically("<", maxGrowth*smallTaken))
		Expect(largeResult).To(BeNumerically("<", maxGrowth*smallResult+10*time.Microsecond))
	})

	// Compares what the driver executes with the ledger after any changes.
	ginkgo.It("are followed through all changes", func() {
		rnd := rand.New(rand.NewPCG(uint64(ginkgo.GinkgoRandomSeed()), 1))
		for range 20 {
			le := job.NewLedger(nil)
			in, _ := newIntake(le)
			dr := New(Config{Log: logging.Discard()})
			step := func() bool {
				ch, hasMore := in.next()
				dr.applyChanges(&ch, takeUp(ch.taken))

				return hasMore
			}
			for i := range 3000 {
				changeAtRandom(le, rnd, int64(i)*200)
				if rnd.IntN(20) == 0 {
					step()
				}
				if rnd.IntN(1000) == 0 {
					in.reset() // another term
					dr.jobs = map[string]*jobState{}
				}
			}
			drain(step)
			Expect(executed(dr)).To(Equal(unlisted(le)))
		}
	})

	ginkgo.It("are read again after more changes than the ledger keeps", func() {
		le := newLedger(ledgerSize{open: 3, items: 10})
		in, _ := newIntake(le)
		dr := New(Config{Log: logging.Discard()})
		step := func() bool {
			ch, hasMore := in.next()
			dr.applyChanges(&ch, takeUp(ch.taken))

			return hasMore
		}
		drain(step)
		le.ListResults(job.ListResults{Job: "o0", Results: []job.Result{{Item: 9, State: job.Aborted}}})
		Expect(le.End(job.End{Job: "o1", Workspace: "w"}, 5000)).To(Succeed())
		Expect(le.Submit(job.Submit{Spec: job.Spec{ID: "new", Workspace: "w", Items: make([]job.Item, 2)}}, 5000)).To(Succeed())
		from := le.Revision()
		isKnown := true
		for i := 0; isKnown; i++ {
			id := fmt.Sprint("other", i)
			Expect(le.Submit(job.Submit{Spec: job.Spec{ID: id, Workspace: "w"}}, 5000)).To(Succeed())
			Expect(le.End(job.End{Job: id, Workspace: "w"}, 5000)).To(Succeed())
			if i%1000 == 0 {
				_, _, isKnown = le.Changes(from, 1)
			}
		}
		drain(step)
		Expect(executed(dr)).To(Equal(unlisted(le)))
		Expect(dr.jobs).To(HaveLen(3))
	})
})

// drain calls step until it reports that there is no more.
func drain(step func() bool) {
	for step() {
	}
}

// unlisted returns the items without a result of all open jobs.
func unlisted(le *job.Ledger) map[string][]int {
	out := map[string][]int{}
	for id, jo := range le.Jobs() {
		for i := range jo.Listed {
			if jo.IsOpen() && !jo.Listed[i] {
				out[id] = append(out[id], i)
			}
		}
	}

	return out
}

// executed returns the items that a driver executes.
func executed(dr *Driver) map[string][]int {
	out := map[string][]int{}
	for id, js := range dr.jobs {
		for i := range js.tasks {
			out[id] = append(out[id], i)
		}
		slices.Sort(out[id])
	}

	return out
}

// changeAtRandom applies one command to a ledger of a few jobs, whose IDs come again after they are gone.
func changeAtRandom(le *job.Ledger, rnd *rand.Rand, atMs int64) {
	const jobs, items = 6, 12
	id := fmt.Sprint("j", rnd.IntN(jobs))
	switch n := rnd.IntN(40); {
	case n < 4:
		Expect(le.Submit(job.Submit{Spec: job.Spec{ID: id, Workspace: "w", ResultDeadlineMs: 7500, Items: make([]job.Item, items)}}, atMs)).To(Succeed())
	case n < 5:
		_ = le.End(job.End{Job: id, Workspace: "w"}, atMs) // there may be none
	default:
		le.ListResults(job.ListResults{Job: id, Results: []job.Result{{Item: rnd.IntN(items), State: job.Completed}}})
	}
}
