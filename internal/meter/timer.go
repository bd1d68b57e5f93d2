package meter

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	metrics "github.com/rcrowley/go-metrics"
)

const (
	// longestMicros is the longest duration that a timer tells apart; longer ones
	// count as this one.
	longestMicros = int64(10 * time.Minute / time.Microsecond)
	// timerDigits are the significant digits of a duration that a timer keeps.
	timerDigits = 2
)

// buckets are the upper bounds that a timer is served with: from a local answer to
// the longest deadlines of clients.
var buckets = []time.Duration{
	time.Millisecond, 2500 * time.Microsecond, 5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second,
	7500 * time.Millisecond, 10 * time.Second, 15 * time.Second, 30 * time.Second,
}

// timer is a histogram of durations in microseconds. All durations since the start
// count, so that the buckets of several processes may be added.
type timer struct {
	mu  sync.Mutex
	hdr *hdrhistogram.Histogram
	sum int64
}

func newTimer() metrics.Histogram {
	return &timer{hdr: hdrhistogram.New(1, longestMicros, timerDigits)}
}

// Update notes a duration.
func (ti *timer) Update(v int64) {
	ti.mu.Lock()
	defer ti.mu.Unlock()

	v = max(v, 0)
	ti.sum += v
	_ = ti.hdr.RecordValue(min(v, longestMicros)) // within the bounds, so it can't fail
}

// cumulative returns how many durations are at most as long as each bucket's bound.
func (ti *timer) cumulative() []int64 {
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

func locked[T any](ti *timer, f func() T) T {
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

func (ti *timer) Count() int64    { return locked(ti, ti.hdr.TotalCount) }
func (ti *timer) Max() int64      { return locked(ti, ti.hdr.Max) }
func (ti *timer) Min() int64      { return locked(ti, ti.hdr.Min) }
func (ti *timer) Mean() float64   { return locked(ti, ti.hdr.Mean) }
func (ti *timer) StdDev() float64 { return locked(ti, ti.hdr.StdDev) }
func (ti *timer) Sum() int64      { return locked(ti, func() int64 { return ti.sum }) }

func (ti *timer) Variance() float64 {
	sd := ti.StdDev()

	return sd * sd
}

func (ti *timer) Percentile(p float64) float64 {
	return locked(ti, func() float64 { return float64(ti.hdr.ValueAtQuantile(100 * p)) })
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
