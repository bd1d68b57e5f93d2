package stepplan_test

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/stepplan"
	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestSuite(t *testing.T) { suite.Run(t, "stepplan") }

var _ = ginkgo.Describe("the texts of steps", func() {
	const tokenSeconds = 0.00065
	now := time.Unix(1000, 0)

	for _, tc := range []struct {
		pattern string
		texts   []string // in the order that is best
		due     []float64
		tokens  []float64
	}{
		{"straggler groups at the front of a step", []string{"longest", "long", "short"}, []float64{7.5, 7.5, 7.5}, []float64{11000, 8000, 300}},
		{"two trainers that ask at the same time", []string{"b's longest", "a's long", "a's short", "b's short"}, []float64{7.5, 7.4, 7.4, 7.5}, []float64{11000, 6000, 400, 300}},
		{"an earlier step's short texts beside a new step's longest", []string{"new longest", "old short"}, []float64{7.5, 3.5}, []float64{11000, 300}},
		{"an earlier step's last texts beside a new step's longest", []string{"old", "new longest"}, []float64{0.2, 7.5}, []float64{600, 11000}},
		{"lengths that nobody estimated", []string{"earlier", "later"}, []float64{3, 7}, []float64{0, 0}},
	} {
		ginkgo.It("are placed by the time at which they must start: "+tc.pattern, func() {
			starts := make([]time.Time, len(tc.texts))
			for i := range tc.texts {
				starts[i] = stepplan.LatestStart(now.Add(time.Duration(tc.due[i]*float64(time.Second))), tc.tokens[i], tokenSeconds)
			}
			Expect(slices.IsSortedFunc(starts, time.Time.Compare)).To(BeTrue(), "%v", starts)
		})
	}

	paces := stepplan.Paces{Fast: 0.00064, Lagging: 0.00083}
	for _, tc := range []struct {
		pattern     string
		due, tokens float64
		want        stepplan.Preference
	}{
		{"short texts of a new step leave fast backend servers to others", 7.5, 700, stepplan.PreferLagging},
		{"texts of unknown length do too", 7.5, 0, stepplan.PreferLagging},
		{"texts that may become long", 7.5, 3000, stepplan.PreferFast},
		{"the longest text of a step waits for a fast backend server", 7.5, 11000, stepplan.RequireFast},
		{"a text that is late everywhere takes what there is", 1, 11000, stepplan.PreferFast},
		{"short texts of a step that is due", 0.5, 700, stepplan.RequireFast},
		{"the rest of a text that began long ago", 2, 200, stepplan.PreferLagging},
	} {
		ginkgo.It("choose backend servers of different speeds: "+tc.pattern, func() {
			Expect(stepplan.Prefer(tc.due, tc.tokens, paces)).To(Equal(tc.want))
		})
	}

	for _, tc := range []struct {
		pattern     string
		tokens      float64
		here, there float64
		want        bool
	}{
		{"a long text at a slow backend server", 5000, 0.0022, 0.00064, true},
		{"the end of a text at a slow backend server", 200, 0.0022, 0.00064, false},
		{"a long text between backend servers of the same speed", 9000, 0.00067, 0.00064, false},
		{"the longest text at a lagging backend server", 9000, 0.00083, 0.00064, true},
		{"a short text at a lagging backend server", 2000, 0.00083, 0.00064, false},
		{"a text at the fastest backend server", 9000, 0.00064, 0.00083, false},
	} {
		ginkgo.It("are moved only where that gains time: "+tc.pattern, func() {
			Expect(stepplan.IsMoveWorthwhile(tc.tokens, tc.here, tc.there)).To(Equal(tc.want))
		})
	}

	ginkgo.It("are expected to go on if they are longer than estimated", func() {
		Expect(stepplan.Remaining(400, 100)).To(BeEquivalentTo(300))
		Expect(stepplan.Remaining(400, 800)).To(BeEquivalentTo(400))
	})
})
