package jobstore

import (
	"fmt"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/job"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestSuite(t *testing.T) { suite.Run(t, "jobstore") }

// Guards against stores that accept more jobs than their memory holds, and against large jobs that take
// the room of small ones.
var _ = ginkgo.Describe("the admission of jobs", func() {
	const capacity = 30 << 20
	newJob := func(id string, bytes int) *job.Spec {
		return &job.Spec{ID: id, Workspace: "w", Items: []job.Item{{ID: "i", Body: make([]byte, bytes)}}}
	}
	for _, tc := range []struct {
		name     string
		us       job.Use
		bytes    int
		accepted bool
	}{
		{"takes a lone job of the largest body", job.Use{}, 25 << 20, true},
		{"takes none that does not fit", job.Use{}, 31 << 20, false},
		{"takes a large job beside others", job.Use{Submitted: 10 << 20, Own: 10 << 20}, 4 << 20, true},
		{"leaves a part to small jobs", job.Use{Submitted: 20 << 20}, 4 << 20, false},
		{"takes small jobs there", job.Use{Submitted: 29 << 20, Own: 29 << 20}, 200 << 10, true},
		{"takes no small job beyond it", job.Use{Submitted: 30 << 20}, 200 << 10, false},
		{"takes large jobs of one workspace up to its part", job.Use{Submitted: 14 << 20, Own: 14 << 20}, 4 << 20, false},
		{"takes jobs beside results up to the bound of the ledger", job.Use{Total: 95 << 20}, 4 << 20, true},
		{"takes none beyond it", job.Use{Total: 98 << 20}, 4 << 20, false},
		{"takes those of another one", job.Use{Submitted: 14 << 20}, 4 << 20, true},
	} {
		ginkgo.It(tc.name, func() {
			ad := newAdmission(submittedShare*capacity, meter.New(), &log.Logger{Handler: discard.Default, Level: log.FatalLevel})
			sp := newJob("j", tc.bytes)
			Expect(ad.reserve(sp, tc.us)).To(Equal(tc.accepted))
			if !tc.accepted {
				err := ad.refuse(sp, tc.us)
				Expect(result.Is(err, result.ProcessOverloaded)).To(BeTrue())
				Expect(result.From(err).Execution).To(Equal(result.NotRun))
				Expect(result.From(err).RetryAfter).To(BeNumerically(">", 0))
			}
		})
	}

	ginkgo.It("counts jobs that are being committed, each once", func() {
		ad := newAdmission(submittedShare*capacity, meter.New(), &log.Logger{Handler: discard.Default, Level: log.FatalLevel})
		for i := range 6 {
			Expect(ad.reserve(newJob(fmt.Sprint(i), 3<<20), job.Use{})).To(BeTrue())
			Expect(ad.reserve(newJob(fmt.Sprint(i), 3<<20), job.Use{})).To(BeTrue(), "sent again")
		}
		Expect(ad.reserve(newJob("7", 8<<20), job.Use{})).To(BeFalse())
		for i := range 3 {
			ad.release(fmt.Sprint(i))
		}
		Expect(ad.reserve(newJob("7", 8<<20), job.Use{})).To(BeTrue())
	})
})
