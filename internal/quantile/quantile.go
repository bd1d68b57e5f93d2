// Package quantile computes quantiles of durations.
package quantile

import (
	"slices"
	"time"
)

// Of sorts ds in place and returns its quantile p, from 0 to 1. It returns 0 if ds is
// empty.
func Of(ds []time.Duration, p float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	slices.Sort(ds)

	return ds[min(len(ds)-1, int(p*float64(len(ds))))]
}

// Milliseconds returns the quantile of Of in milliseconds.
func Milliseconds(ds []time.Duration, p float64) float64 { return Of(ds, p).Seconds() * 1000 }
