package job_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/job"
)

// walkedUse returns what jobs take, by a walk over all items, results and progress.
func walkedUse(jobs map[string]*job.Job, workspace string) (us job.Use) {
	const itemOverhead, headerBytes = 256, 48
	for _, jo := range jobs {
		n := jo.SubmittedBytes()
		us.Submitted += n
		us.Total += n
		if jo.Spec.Workspace == workspace {
			us.Own += n
		}
		for i := range jo.Spec.Items {
			if it := &jo.Spec.Items[i]; jo.Listed[i] {
				us.Total += itemOverhead + len(it.ID) + len(it.Path) + len(it.Group)
			}
		}
		for i := range jo.Results {
			us.Total += itemOverhead/2 + len(jo.Results[i].Text)
		}
		for _, pa := range jo.Partial {
			us.Total += itemOverhead
			for _, ev := range pa.Events {
				us.Total += headerBytes + len(ev)
			}
		}
	}

	return us
}

var _ = ginkgo.Describe("the use of memory by jobs", func() {
	ginkgo.It("is counted as the ledger changes, as a walk over all jobs finds it", func() {
		rnd := rand.New(rand.NewPCG(uint64(ginkgo.GinkgoRandomSeed()), 2))
		le := job.NewLedger(nil)
		isExpired, known := false, 0
		check := func() {
			for _, workspace := range []string{"", "w0", "w1"} {
				Expect(le.Use(workspace)).To(Equal(walkedUse(le.Jobs(), workspace)))
			}
			isExpired = isExpired || len(le.Jobs()) < known
			known = len(le.Jobs())
		}
		randomCommands(le, rnd, 5000, check)
		Expect(isExpired).To(BeTrue())
		le = job.NewLedger(le.Jobs())
		check()
		randomCommands(le, rnd, 500, check)
	})

	// Guards against a lock that each submission holds longer the larger the ledger is.
	ginkgo.It("takes no longer to read the more jobs there are", func() {
		shortest := func(jobs int) time.Duration {
			le, out := ledgerOf(jobs), time.Hour
			for range 20 {
				start := time.Now()
				for range 100 {
					_ = le.Use("w")
				}
				out = min(out, time.Since(start))
			}

			return out
		}
		const maxGrowth = 5
		Expect(shortest(96)).To(BeNumerically("<", maxGrowth*shortest(2)))
	})

	ginkgo.It("of a workspace is zero once its jobs are gone", func() {
		le := newLedger()
		Expect(le.Use("w").Own).To(BeNumerically(">", 0))
		Expect(le.End(job.End{Job: "j", Workspace: "w"}, 1000)).To(Succeed())
		Expect(le.Submit(job.Submit{Spec: job.Spec{ID: "k", Workspace: "v"}}, 1000+2*job.RetentionPeriod.Milliseconds())).To(Succeed())
		Expect(le.Jobs()).To(HaveLen(1))
		Expect(le.Use("w").Own).To(BeZero())
		Expect(le.Use("w").Submitted).To(Equal(le.Use("v").Own))
	})
})

// ledgerOf returns a ledger of this many jobs of 160 items.
func ledgerOf(jobs int) *job.Ledger {
	le := job.NewLedger(nil)
	for i := range jobs {
		sp := job.Spec{ID: fmt.Sprint(i), Workspace: "w", Items: make([]job.Item, 160)}
		if err := le.Submit(job.Submit{Spec: sp}, 1); err != nil {
			panic(err)
		}
	}

	return le
}

// BenchmarkUse takes what a submission asks of the ledger twice.
func BenchmarkUse(b *testing.B) {
	le := ledgerOf(96)
	b.ReportAllocs()
	for b.Loop() {
		_ = le.Use("w")
	}
}
