package meter

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	metrics "github.com/rcrowley/go-metrics"
)

const (
	// maxDurationMicros is the longest duration that a timer records, in microseconds.
	// Longer ones are recorded as this one.
	maxDurationMicros = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the number of significant digits to which durations are recorded.
	significantDigits = 2
)

// buckets are the upper bounds of the histogram's buckets in the text format, from
// the time of a local answer to the longest deadlines of clients.
var buckets = []time.Duration{
	time.Millisecond, 2500 * time.Microsecond, 5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second,
	7500 * time.Millisecond, 10 * time.Second, 15 * time.Second, 30 * time.Second,
}

// timer is a histogram of durations in microseconds. It covers all durations since
// the start of the process, so that buckets of several processes can be summed.
type timer struct {
	mu  sync.Mutex
	hdr *hdrhistogram.Histogram
	sum int64
}

func newTimer() metrics.Histogram {
	return &timer{hdr: hdrhistogram.New(1, maxDurationMicros, significantDigits)}
}

// Update records a duration in microseconds.
func (ti *timer) Update(v int64) {
	ti.mu.Lock()
	defer ti.mu.Unlock()

	v = max(v, 0)
	ti.sum += v
	_ = ti.hdr.RecordValue(min(v, maxDurationMicros)) // within the bounds, so it can't fail
}

// bucketCounts returns, for each bucket, how many durations don't exceed its bound.
func (ti *timer) bucketCounts() []int64 {
	ti.mu.Lock()
	defer ti.mu.Unlock()

	out := make([]int64, len(buckets))
	for _, bar := range ti.hdr.Distribution() {
		for i, bound := range buckets {
			if bar.To <= bound.Microseconds() {
				out[i] += bar.Count
			}
		}
	}

	return out
}

// withLock calls f while it holds the timer's mutex and returns the result.
func withLock[T any](ti *timer, f func() T) T {
	ti.mu.Lock()
	defer ti.mu.Unlock()

	return f()
}

func (ti *timer) Clear() {
	ti.mu.Lock()
	defer ti.mu.Unlock()
	ti.hdr.Reset()
	ti.sum = 0
}

func (ti *timer) Count() int64    { return withLock(ti, ti.hdr.TotalCount) }
func (ti *timer) Max() int64      { return withLock(ti, ti.hdr.Max) }
func (ti *timer) Min() int64      { return withLock(ti, ti.hdr.Min) }
func (ti *timer) Mean() float64   { return withLock(ti, ti.hdr.Mean) }
func (ti *timer) StdDev() float64 { return withLock(ti, ti.hdr.StdDev) }
func (ti *timer) Sum() int64      { return withLock(ti, func() int64 { return ti.sum }) }

func (ti *timer) Variance() float64 {
	sd := ti.StdDev()

	return sd * sd
}

func (ti *timer) Percentile(p float64) float64 {
	return withLock(ti, func() float64 { return float64(ti.hdr.ValueAtQuantile(100 * p)) })
}

func (ti *timer) Percentiles(ps []float64) []float64 {
	out := make([]float64, len(ps))
	for i, p := range ps {
		out[i] = ti.Percentile(p)
	}

	return out
}

func (ti *timer) Sample() metrics.Sample { return metrics.NilSample{} }

func (ti *timer) Snapshot() metrics.Histogram {
	ti.mu.Lock()
	defer ti.mu.Unlock()

	return &timer{hdr: hdrhistogram.Import(ti.hdr.Export()), sum: ti.sum}
}
