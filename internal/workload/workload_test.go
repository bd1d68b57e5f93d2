package workload_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/suite"
	"github.com/tamarackbay/tamarackbay/internal/workload"
)

func TestSuite(t *testing.T) { suite.Run(t, "workload") }

// learner is an estimator with a clock and a random source of its own.
type learner struct {
	*workload.Estimator
	now time.Duration
	rnd *rand.Rand
}

func newLearner() *learner {
	return &learner{Estimator: workload.New(), now: time.Hour, rnd: rand.New(rand.NewPCG(1, 1))}
}

// observe adds n requests, one after the other, whose work draw returns.
func (le *learner) observe(n int, period time.Duration, rq *workload.Request, draw func() float64) {
	for range n {
		le.now += period
		le.Observe(le.now, rq, &workload.Result{Seconds: draw()})
	}
}

var _ = Describe("the work of a request", func() {
	lookup := &workload.Request{Service: "s", Route: "lookup", BodyBytes: 100}
	always := func(v float64) func() float64 { return func() float64 { return v } }
	cases := []struct {
		name  string
		learn func(le *learner)
		rq    *workload.Request
		low   float64
		high  float64
	}{
		{"is that of a short lookup before any was seen", func(*learner) {}, lookup, 0.04, 0.06},
		{"is learned from a few requests", func(le *learner) { le.observe(20, 100*time.Millisecond, lookup, always(0.5)) }, lookup, 0.3, 0.5},
		{"of a kind never seen is that of the service, not the default", func(le *learner) {
			le.observe(50, 100*time.Millisecond, lookup, always(1))
		}, &workload.Request{Service: "s", Route: "other"}, 0.6, 1},
		{"of another kind behind the same service is not mixed with one a hundred times as large", func(le *learner) {
			for range 50 {
				le.observe(1, 50*time.Millisecond, lookup, always(0.02))
				le.observe(1, 50*time.Millisecond, &workload.Request{Service: "s", Route: "report"}, always(2))
			}
		}, lookup, 0.015, 0.04},
		{"depends on the size of the body where it differs a hundred times behind one route", func(le *learner) {
			for range 50 {
				le.observe(1, 50*time.Millisecond, lookup, always(0.02))
				le.observe(1, 50*time.Millisecond, &workload.Request{Service: "s", Route: "lookup", BodyBytes: 1 << 20}, always(2))
			}
		}, lookup, 0.015, 0.06},
		{"follows a change within three seconds", func(le *learner) {
			le.observe(600, 100*time.Millisecond, lookup, always(0.02))
			le.observe(30, 100*time.Millisecond, lookup, always(0.2))
		}, lookup, 0.1, 0.2},
		{"is not forgotten within a minute without requests", func(le *learner) {
			le.observe(100, 100*time.Millisecond, lookup, always(0.5))
			le.now += time.Minute
		}, lookup, 0.25, 0.5},
		{"is forgotten after an hour without requests", func(le *learner) {
			le.observe(100, 100*time.Millisecond, lookup, always(5))
			le.now += time.Hour
		}, lookup, 0.04, 0.06},
		{"ignores times that are no times", func(le *learner) {
			le.observe(100, 100*time.Millisecond, lookup, always(0.05))
			le.observe(100, 100*time.Millisecond, lookup, always(math.NaN()))
			le.observe(100, 100*time.Millisecond, lookup, always(math.Inf(1)))
			le.observe(100, 100*time.Millisecond, lookup, always(-1))
		}, lookup, 0.04, 0.06},
	}
	for _, tc := range cases {
		It(tc.name, func() {
			le := newLearner()
			tc.learn(le)
			got := le.Estimate(le.now, tc.rq)
			Expect(got.Seconds).To(And(BeNumerically(">=", tc.low), BeNumerically("<=", tc.high)))
			Expect(got.High).To(BeNumerically(">=", got.Seconds))
		})
	}

	It("has a high quantile above the mean where a tenth takes a hundred times as long", func() {
		le := newLearner()
		le.observe(400, 20*time.Millisecond, lookup, func() float64 {
			if le.rnd.IntN(8) == 0 {
				return 2
			}

			return 0.02
		})
		got := le.Estimate(le.now, lookup)
		Expect(got.Seconds).To(BeNumerically("<", 0.6))
		Expect(got.High).To(BeNumerically(">", 1))
		le.now += 5 * time.Second
		Expect(le.Estimate(le.now, lookup).Age).To(Equal(5 * time.Second))
	})

	It("takes bounded memory for any number of kinds and workspaces", func() {
		le := newLearner()
		for i := range 20_000 {
			rq := &workload.Request{Service: "s", Route: fmt.Sprint(i), Workspace: fmt.Sprint(i), IsText: true, Declared: 5}
			le.Observe(le.now, rq, &workload.Result{Seconds: 1, Units: 5})
		}
		kinds, callers := le.Len()
		Expect(kinds).To(BeNumerically("<=", 256))
		Expect(callers).To(BeNumerically("<=", 4096))
	})
})

// texts returns a request and its actual length: the declared one is off by a factor with a
// spread of its logarithm.
func (le *learner) texts(workspace string, factor, spread float64) (*workload.Request, float64) {
	declared := math.Exp(math.Log(1000) + 0.9*le.rnd.NormFloat64())
	rq := &workload.Request{Service: "s", Route: "rollout", Model: "m", Workspace: workspace, Declared: declared, IsText: true, BodyBytes: 4000}

	return rq, max(1, declared*factor/62*math.Exp(spread*le.rnd.NormFloat64()))
}

func (le *learner) learnTexts(n int, workspace string, factor, spread float64) {
	for range n {
		rq, units := le.texts(workspace, factor, spread)
		le.Observe(le.now, rq, &workload.Result{Seconds: 0.06*units + 0.1, PromptSeconds: 0.1, Units: units})
	}
}

var _ = Describe("the length of a text", func() {
	request := func(workspace string, declared float64) *workload.Request {
		return &workload.Request{Service: "s", Route: "rollout", Model: "m", Workspace: workspace, Declared: declared, IsText: true, BodyBytes: 4000}
	}

	It("is the declared one before any text is complete", func() {
		le := newLearner()
		Expect(le.Estimate(le.now, request("w", 1000)).Length.Quantile(0.5)).To(BeNumerically("~", 1000, 1))
	})

	It("is in the units in which texts are delivered", func() {
		le := newLearner()
		le.learnTexts(200, "w", 1, 0.1)
		got := le.Estimate(le.now, request("w", 620))
		Expect(got.Length.Quantile(0.5)).To(BeNumerically("~", 10, 2))
		Expect(got.Seconds).To(BeNumerically("~", 0.7, 0.2))
		Expect(got.Prompt).To(BeNumerically("~", 0.1, 0.03))
		Expect(le.UnitSeconds(request("w", 620))).To(BeNumerically("~", 0.06, 0.005))
	})

	It("is corrected for the workspace that declares half of it, and for no other", func() {
		le := newLearner()
		for range 200 {
			le.learnTexts(1, "honest", 1, 0.2)
			le.learnTexts(1, "low", 2, 0.2)
		}
		honest, low := le.Estimate(le.now, request("honest", 620)), le.Estimate(le.now, request("low", 620))
		Expect(honest.Length.Quantile(0.5)).To(BeNumerically("~", 10, 2.5))
		Expect(low.Length.Quantile(0.5)).To(BeNumerically("~", 20, 5))
	})

	It("is near the kind's mean where declared lengths say nothing, instead of the declared one", func() {
		le := newLearner()
		for range 400 {
			rq, _ := le.texts("w", 1, 0)
			_, units := le.texts("w", 1, 0)
			le.Observe(le.now, rq, &workload.Result{Seconds: units, Units: units})
		}
		short, long := le.Estimate(le.now, request("w", 100)), le.Estimate(le.now, request("w", 10_000))
		Expect(long.Length.Quantile(0.5) / short.Length.Quantile(0.5)).To(BeNumerically("<", 2))
	})

	It("is predicted better than by the declared length where that is often far off", func() {
		le := newLearner()
		le.learnTexts(400, "w", 1, 0.9)
		learned, declared := 0.0, 0.0
		for range 1000 {
			rq, units := le.texts("w", 1, 0.9)
			learned += math.Abs(math.Log(units / le.Estimate(le.now, rq).Length.Quantile(0.5)))
			declared += math.Abs(math.Log(units / (rq.Declared / 62)))
		}
		Expect(learned).To(BeNumerically("<=", 1.02*declared))
	})

	It("grows with what is generated already, and its rest is never negative", func() {
		le := newLearner()
		le.learnTexts(400, "w", 1, 0.9)
		length := le.Estimate(le.now, request("w", 620)).Length
		Expect(length.Remaining(0)).To(Equal(length.Mean()))
		Expect(length.Remaining(5)).To(BeNumerically("<", length.Mean()))
		for _, done := range []float64{1, 10, 100, 1000, 1e6, 1e12} {
			Expect(length.Remaining(done)).To(BeNumerically(">", 0), "after %v units", done)
			Expect(length.Remaining(done)).To(BeNumerically("<", 3*done+length.Mean()), "after %v units", done)
		}
	})

	It("is known without a declared one once texts were seen", func() {
		le := newLearner()
		for range 100 {
			le.Observe(le.now, request("w", 0), &workload.Result{Seconds: 1, Units: 20})
		}
		Expect(le.Estimate(le.now, request("w", 0)).Length.Quantile(0.5)).To(BeNumerically("~", 20, 1))
	})
})

// BenchmarkEstimate measures one estimate of a known kind.
func BenchmarkEstimate(b *testing.B) {
	le := newLearner()
	le.learnTexts(100, "w", 1, 0.9)
	lookup := &workload.Request{Service: "s", Route: "lookup", BodyBytes: 100}
	le.observe(100, 10*time.Millisecond, lookup, func() float64 { return 0.02 })
	text, _ := le.texts("w", 1, 0)
	for name, rq := range map[string]*workload.Request{"lookup": lookup, "text": text} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				le.Estimate(le.now, rq)
			}
		})
	}
}
