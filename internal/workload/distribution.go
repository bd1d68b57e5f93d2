package workload

import (
	"math"
	"time"
)

const (
	// bucketRatio is the ratio of the bounds of a bucket; buckets cover 0.1 ms to ten minutes.
	bucketRatio  = 1.15
	firstBound   = 100e-6
	bucketCount  = 112
	recentDecay  = 2 * time.Second  // half-life of recent samples: a change is seen within seconds
	lastingDecay = 90 * time.Second // half-life of those that count while there are few recent ones
	// lastingSamples is how many samples the lasting ones count for at most beside the recent
	// ones.
	lastingSamples = 8
	// decaySteps is how often in a half-life the weights are brought up to date.
	decaySteps = 16
)

var logBucketRatio = math.Log(bucketRatio)

// distribution is the distribution of the work of requests, in which older samples count less.
type distribution struct{ recent, lasting histogram }

func (di *distribution) add(now time.Duration, seconds float64) {
	di.recent.add(now, recentDecay, seconds)
	di.lasting.add(now, lastingDecay, seconds)
}

// at returns the mean, the high quantile and the number of samples that they stand for.
func (di *distribution) at(now time.Duration) (mean, high, weight float64) {
	di.recent.decay(now, recentDecay)
	di.lasting.decay(now, lastingDecay)
	share := 1.0
	if di.lasting.weight > lastingSamples {
		share = lastingSamples / di.lasting.weight
	}
	weight = di.recent.weight + share*di.lasting.weight
	if weight < minWeight {
		return 0, 0, 0
	}
	mean = (di.recent.sum + share*di.lasting.sum) / weight
	at, sum := highQuantile*weight, 0.0
	for i := range bucketCount {
		if sum += float64(di.recent.counts[i]) + share*float64(di.lasting.counts[i]); sum >= at {
			return mean, firstBound * math.Exp(logBucketRatio*(float64(i)+0.5)), weight
		}
	}

	return mean, firstBound * math.Exp(logBucketRatio*bucketCount), weight
}

// minWeight is the weight below which the samples of a distribution no longer count.
const minWeight = 0.05

// histogram counts samples in buckets of equal ratio, by their age.
type histogram struct {
	counts      [bucketCount]float32
	weight, sum float64
	decayedAt   time.Duration
}

func (hi *histogram) add(now, halfLife time.Duration, seconds float64) {
	hi.decay(now, halfLife)
	i := int(math.Log(seconds/firstBound) / logBucketRatio)
	hi.counts[min(max(i, 0), bucketCount-1)]++
	hi.weight++
	hi.sum += seconds
}

// decay reduces the weights by the time since the last call.
func (hi *histogram) decay(now, halfLife time.Duration) {
	age := now - hi.decayedAt
	if age < halfLife/decaySteps {
		return
	}
	hi.decayedAt = now
	if hi.weight == 0 {
		return
	}
	f := math.Exp2(-float64(age) / float64(halfLife))
	if hi.weight*f < minWeight/2 {
		*hi = histogram{decayedAt: now}

		return
	}
	hi.weight *= f
	hi.sum *= f
	for i := range hi.counts {
		hi.counts[i] *= float32(f)
	}
}
