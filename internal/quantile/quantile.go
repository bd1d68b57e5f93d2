// Package quantile reads quantiles off lists of durations.
package quantile

import (
	"slices"
	"time"
)

// Of sorts ds and returns its quantile p, 0 to 1, or 0 for an empty list.
func Of(ds []time.Duration, p float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	slices.Sort(ds)

	return ds[min(len(ds)-1, int(p*float64(len(ds))))]
}

// Ms returns the quantile in milliseconds.
func Ms(ds []time.Duration, p float64) float64 { return Of(ds, p).Seconds() * 1000 }
