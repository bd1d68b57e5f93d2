// Package meter holds the metrics of a process: counters, gauges and histograms of
// durations. Each reason of a refusal or retry has a counter of its own.
package meter

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

// Meter holds the metrics of one process.
type Meter struct {
	reg metrics.Registry
}

// New returns a meter in which the counter of every refusal reason exists and is 0.
func New() *Meter {
	me := &Meter{reg: metrics.NewRegistry()}
	for _, en := range result.Table() {
		me.counter("refused." + en.Name)
	}

	return me
}

func (me *Meter) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, me.reg)
}

// Count adds one to a counter.
func (me *Meter) Count(name string) { me.counter(name).Inc(1) }

// Add adds n to a counter.
func (me *Meter) Add(name string, n int64) { me.counter(name).Inc(n) }

// Value returns a counter's value.
func (me *Meter) Value(name string) int64 { return me.counter(name).Count() }

// CountRefusal counts a refusal under the name of its result code.
func (me *Meter) CountRefusal(err error) {
	me.Count("refused." + result.Lookup(result.From(err).Code).Name)
}

// CountRetry counts a retry by its reason or, if isRetry is false, a failure that was
// not retried by the reason for that.
func (me *Meter) CountRetry(reason string, isRetry bool) {
	if isRetry {
		me.Count("retry." + reason)
	} else {
		me.Count("noRetry." + reason)
	}
}

// Gauge sets the value of a gauge.
func (me *Meter) Gauge(name string, v int64) { metrics.GetOrRegisterGauge(name, me.reg).Update(v) }

// RecordDuration records a duration in a histogram.
func (me *Meter) RecordDuration(name string, d time.Duration) {
	me.reg.GetOrRegister(name, newTimer).(metrics.Histogram).Update(d.Microseconds())
}

// WriteJSON writes all metrics as one JSON object.
func (me *Meter) WriteJSON(w io.Writer) { metrics.WriteJSONOnce(me.reg, w) }

// WriteText writes all metrics in the Prometheus text format.
func (me *Meter) WriteText(w io.Writer) error {
	var lines []string
	me.reg.Each(func(name string, v any) {
		n := "tamarackbay_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
		if _, ok := v.(*timer); ok {
			n += "_seconds"
		}
		help := ""
		if na, ok := descriptionOf(name); ok {
			help = fmt.Sprintf("# HELP %s %s\n", n, na.Help)
		}
		switch m := v.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s# TYPE %s counter\n%s %d\n", help, n, n, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s# TYPE %s gauge\n%s %d\n", help, n, n, m.Value()))
		case *timer:
			lines = append(lines, help+timerText(n, m.Snapshot().(*timer)))
		}
	})
	sort.Strings(lines)
	_, err := io.WriteString(w, strings.Join(lines, ""))

	return err
}

// timerText formats a histogram in the Prometheus text format, in seconds.
func timerText(name string, ti *timer) string {
	var sb strings.Builder
	fmt.Fprintf(&sb, "# TYPE %s histogram\n", name)
	for i, n := range ti.bucketCounts() {
		fmt.Fprintf(&sb, "%s_bucket{le=\"%g\"} %d\n", name, buckets[i].Seconds(), n)
	}
	fmt.Fprintf(&sb, "%s_bucket{le=\"+Inf\"} %d\n%s_sum %g\n%s_count %d\n", name, ti.Count(), name, float64(ti.Sum())/1e6, name, ti.Count())

	return sb.String()
}
