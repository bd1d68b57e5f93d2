package retry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/retry"
)

func half() float64 { return 0.5 }

var _ = Describe("a budget", func() {
	crashed := result.New(result.BackendCrashed, "x").WithExecution(result.ExecutionUnknown)
	cases := []struct {
		name   string
		at     retry.Attempt
		want   bool
		reason string
	}{
		{"a repeatable request after a crash", retry.Attempt{Number: 1, MaxRetries: 2, IsRepeatable: true, Err: crashed}, true, "crashed"},
		{"a request that is not repeatable and may have run", retry.Attempt{Number: 1, MaxRetries: 2, Err: crashed}, false, "notRepeatable"},
		{"a request that is not repeatable and has not run", retry.Attempt{Number: 1, MaxRetries: 2, Err: result.New(result.ServerDraining, "x")}, true, "draining"},
		{"an error that is not retriable", retry.Attempt{Number: 1, MaxRetries: 2, IsRepeatable: true, Err: result.New(result.Quarantined, "x")}, false, "final"},
		{"a request without attempts left", retry.Attempt{Number: 3, MaxRetries: 2, IsRepeatable: true, Err: crashed}, false, "attemptsSpent"},
		{"a request whose deadline would pass during the back-off", retry.Attempt{Number: 2, MaxRetries: 2, IsRepeatable: true, Err: crashed, Now: time.Second, Deadline: time.Second + time.Millisecond}, false, "deadline"},
	}
	for _, tc := range cases {
		It("decides on "+tc.name, func() {
			bu := retry.NewBudget(retry.Config{}, half)
			tc.at.Key = "k"
			bu.RecordFirstAttempt("k")
			de := bu.Decide(tc.at)
			Expect(de.Retry).To(Equal(tc.want))
			Expect(de.Reason).To(Equal(tc.reason))
		})
	}

	It("bounds the load that retries add when every attempt fails", func() {
		bu := retry.NewBudget(retry.Config{}, half)
		first, retries := 0, 0
		for range 10_000 {
			bu.RecordFirstAttempt("k")
			first++
			for n := 1; bu.Decide(retry.Attempt{Key: "k", Number: n, MaxRetries: 5, IsRepeatable: true, Err: crashed}).Retry; n++ {
				retries++
			}
		}
		Expect(float64(first+retries) / float64(first)).To(BeNumerically("<=", 1.11))
		de := bu.Decide(retry.Attempt{Key: "k", Number: 1, MaxRetries: 5, IsRepeatable: true, Err: crashed})
		Expect(de.Err.Code).To(Equal(result.RetryBudgetSpent))
		Expect(de.Err.Execution).To(Equal(result.ExecutionUnknown), "the error still says that the request may have run")
	})
})
