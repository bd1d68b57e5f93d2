package loadsim

import (
	"math"
	"math/rand/v2"
)

const (
	smallBody = 200
	largeBody = 256 << 10
)

// LogNormal draws the work of requests from a log-normal distribution with a mean and a
// standard deviation of the logarithm. The size of the body says nothing about it.
func LogNormal(mean, sigma float64) func(rnd *rand.Rand) (work float64, bodyBytes int) {
	return func(rnd *rand.Rand) (float64, int) {
		return mean * math.Exp(sigma*rnd.NormFloat64()-sigma*sigma/2), smallBody
	}
}

// Bimodal draws one of two costs; the bodies of requests of the higher one are larger.
func Bimodal(low, high, highShare float64) func(rnd *rand.Rand) (work float64, bodyBytes int) {
	return func(rnd *rand.Rand) (float64, int) {
		if rnd.Float64() < highShare {
			return high, largeBody
		}

		return low, smallBody
	}
}
