package workload

import (
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// lengthMemory is how many texts the model of a kind's lengths remembers: old ones fade.
	lengthMemory = 400
	// ratioMemory and ratioPrior are the same for a workspace, and how many texts count for it
	// that its lengths are declared as those of the others.
	ratioMemory = 100
	ratioPrior  = 5
	// declaredPrior is how many texts count for it that a declared length is proportional to the
	// actual one, with declaredVariance between texts.
	declaredPrior    = 5
	declaredVariance = 0.25
	// lengthVariance is the variance of the logarithm of actual lengths around the expected one
	// that is assumed before some texts are known, and variancePrior how many texts it counts for.
	lengthVariance = 0.5
	variancePrior  = 5
	// minTail is the probability below which a text counts as longer than the model explains. Its
	// rest is then expected to be overrunShare of its length so far.
	minTail      = 1e-4
	overrunShare = 0.5
)

// Length is the distribution of the length of a text, which is log-normal.
type Length struct{ mu, sigma float64 }

// IsKnown reports whether there is an estimate at all.
func (le Length) IsKnown() bool { return le.sigma > 0 }

// Mean returns the expected length.
func (le Length) Mean() float64 {
	if !le.IsKnown() {
		return 0
	}

	return math.Exp(le.mu + le.sigma*le.sigma/2)
}

// Quantile returns the length that a text has at most with probability p.
func (le Length) Quantile(p float64) float64 {
	if !le.IsKnown() {
		return 0
	}

	return distuv.LogNormal{Mu: le.mu, Sigma: le.sigma}.Quantile(p)
}

// Remaining returns the expected rest of a text that has reached a length without being
// complete.
func (le Length) Remaining(done float64) float64 {
	if done <= 0 || !le.IsKnown() {
		return le.Mean()
	}
	z := (math.Log(done) - le.mu) / le.sigma
	tail := distuv.UnitNormal.Survival(z)
	if tail < minTail {
		return overrunShare * done
	}

	return max(le.Mean()*distuv.UnitNormal.Survival(z-le.sigma)/tail-done, 0)
}

// lengthModel learns the logarithm of the actual length of texts as a linear function of that
// of the declared one. If declared lengths say little, the slope is small, so that the
// expected length is near the mean of the kind.
type lengthModel struct {
	n, sx, sy, sxx, sxy, syy float64
	undeclared               logMoments
}

// logMoments are the moments of the lengths of texts without a declared one.
type logMoments struct{ n, sum, squares float64 }

func (lm *lengthModel) add(declared, actual float64) {
	y := math.Log(actual)
	f := 1 - 1.0/lengthMemory
	if declared <= 0 {
		un := &lm.undeclared
		un.n, un.sum, un.squares = f*un.n+1, f*un.sum+y, f*un.squares+y*y

		return
	}
	x := math.Log(declared)
	lm.n, lm.sx, lm.sy = f*lm.n+1, f*lm.sx+x, f*lm.sy+y
	lm.sxx, lm.sxy, lm.syy = f*lm.sxx+x*x, f*lm.sxy+x*y, f*lm.syy+y*y
}

// predict returns the expected length of a text with a declared length, 0 for none. Before the
// first text of the kind, it is the declared one.
func (lm *lengthModel) predict(declared float64) Length {
	if declared <= 0 {
		return lm.predictUndeclared()
	}
	x := math.Log(declared)
	if lm.n == 0 {
		return Length{mu: x, sigma: math.Sqrt(lengthVariance)}
	}
	mx, my := lm.sx/lm.n, lm.sy/lm.n
	vx, vy, cov := max(lm.sxx/lm.n-mx*mx, 0), max(lm.syy/lm.n-my*my, 0), lm.sxy/lm.n-mx*my
	slope := (lm.n*cov + declaredPrior*declaredVariance) / (lm.n*vx + declaredPrior*declaredVariance)
	slope = min(max(slope, 0), 1)
	residual := max(vy-2*slope*cov+slope*slope*vx, 0)

	return Length{mu: my + slope*(x-mx), sigma: sigmaOf(residual, lm.n)}
}

func (lm *lengthModel) predictUndeclared() Length {
	un := &lm.undeclared
	if un.n == 0 {
		if lm.n == 0 {
			return Length{sigma: math.Sqrt(lengthVariance)}
		}
		mean := lm.sy / lm.n

		return Length{mu: mean, sigma: sigmaOf(max(lm.syy/lm.n-mean*mean, 0), lm.n)}
	}
	mean := un.sum / un.n

	return Length{mu: mean, sigma: sigmaOf(max(un.squares/un.n-mean*mean, 0), un.n)}
}

func sigmaOf(variance, n float64) float64 {
	return math.Sqrt((n*variance + variancePrior*lengthVariance) / (n + variancePrior))
}

// offset is the mean difference of the logarithms of the actual and the expected lengths of
// one workspace's texts.
type offset struct{ n, sum float64 }

func (of *offset) add(v float64) {
	f := 1 - 1.0/ratioMemory
	of.n, of.sum = f*of.n+1, f*of.sum+v
}

func (of *offset) value() float64 { return of.sum / (of.n + ratioPrior) }
