package gateway

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/quarantine"
)

var _ = ginkgo.Describe("a request that completed", func() {
	entries := map[string]quarantine.Entry{
		"x":        {Crashes: []string{"s1"}, AtMs: 1},
		"refused":  {Crashes: []string{"s1", "s2"}, WasOnlySuspect: true, AtMs: 1},
		"released": {Crashes: []string{"s1"}, Released: true, AtMs: 1},
	}
	start := time.Now()
	for _, tc := range []struct {
		name string
		do   func(cr *completedRuns)
		want []string
	}{
		{"is cleared of a crash that is recorded later", func(cr *completedRuns) { cr.recordEnd("x", start) }, []string{"x"}},
		{"is not cleared if it runs again", func(cr *completedRuns) { cr.recordEnd("x", start); cr.recordStart("x") }, nil},
		{"is not cleared once its completion is old", func(cr *completedRuns) { cr.recordEnd("x", start.Add(-completedRetention)) }, nil},
		{"is not cleared while it is refused, or after its release", func(cr *completedRuns) {
			cr.recordEnd("refused", start)
			cr.recordEnd("released", start)
		}, nil},
		{"is nothing to be cleared without a fingerprint", func(cr *completedRuns) { cr.recordEnd("", start) }, nil},
	} {
		ginkgo.It(tc.name, func() {
			cr := newCompletedRuns()
			tc.do(cr)
			Expect(cr.suspects(entries, start.Add(time.Millisecond), 2)).To(Equal(tc.want))
			Expect(cr.suspects(nil, start, 2)).To(BeEmpty())
		})
	}
})
