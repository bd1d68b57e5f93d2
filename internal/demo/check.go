package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/deployment"
	"github.com/tamarackbay/tamarackbay/internal/fake"
	"github.com/tamarackbay/tamarackbay/internal/quantile"
	"github.com/tamarackbay/tamarackbay/internal/usage"
)

// promise is a guarantee of the service and its check against the records.
type promise struct {
	description string // printed with the result
	check       func() error
}

// report prints the measures and the promises. It returns an error if a promise was broken.
func (dr *demoRun) report(ctx context.Context) error {
	dr.logf("waiting for the last usage window to be reported")
	if err := dr.waitReports(ctx); err != nil {
		dr.logf("%v", err)
	}
	fmt.Fprintln(dr.out, "\nMeasures")
	dr.printMeasures()

	fmt.Fprintln(dr.out, "\nPromises, checked against the records of the stand-ins")
	broken := 0
	for _, p := range []promise{
		{"every sample names the weight versions that produced it", dr.checkVersions},
		{"no sample is older than the staleness bound", dr.checkStaleness},
		{"every sample reaches its trainer exactly once", dr.checkExactlyOnce},
		{"no backend server receives a key", dr.checkKeys},
		{"a withdrawn key stops working", dr.checkWithdrawn},
		{"orders come from one process at a time", dr.checkOrders},
		{"no window is reported with different figures, or by an earlier lease holder", dr.checkReports},
		{"reported usage never exceeds what the engines processed", dr.checkUsage},
		{"a request that may not be repeated runs at most once", dr.checkAtMostOnce},
		{"the weight store's limit is respected", dr.checkStore},
	} {
		if err := p.check(); err != nil {
			broken++
			fmt.Fprintf(dr.out, "  BROKEN  %s: %v\n", p.description, err)

			continue
		}
		fmt.Fprintf(dr.out, "  kept    %s\n", p.description)
	}
	if broken > 0 {
		return fmt.Errorf("demo: %d promises were broken", broken)
	}

	return nil
}

// settleTime is how long no new usage must be reported before the reports count as final:
// a window, its grace period and one second.
const settleTime = (windowSeconds + 3) * time.Second

// waitReports waits until all tokens are reported or settleTime has passed without a new
// report: tokens that an engine generated just before its crash are never reported.
func (dr *demoRun) waitReports(ctx context.Context) error {
	made, last, since := dr.engineTokens(), uint64(0), time.Now()

	return deployment.RetryUntil(ctx, func() error {
		sum := dr.reportedUsage().Tokens
		if sum != last {
			last, since = sum, time.Now()
		}
		if sum < made && time.Since(since) < settleTime {
			return fmt.Errorf("usage reports contain %d of %d tokens so far", sum, made)
		}

		return nil
	})
}

// printMeasures prints the five measures.
func (dr *demoRun) printMeasures() {
	dr.mu.Lock()
	defer dr.mu.Unlock()

	total := dr.idle + dr.busy
	fmt.Fprintf(dr.out, "  trainer idle time        %v of %v (%.0f%%)\n", dr.idle.Round(time.Millisecond), total.Round(time.Millisecond), 100*float64(dr.idle)/float64(total))
	lag := map[int]int{}
	for _, s := range dr.samples {
		lag[s.acceptedCount-dr.oldestVersion(&s)]++
	}
	var parts []string
	for l := -2; l <= 3; l++ {
		if lag[l] > 0 {
			parts = append(parts, fmt.Sprintf("%d: %d", l, lag[l]))
		}
	}
	fmt.Fprintf(dr.out, "  staleness                samples by number of versions behind when their page was requested: %s\n", strings.Join(parts, ", "))
	dr.printWorstWorkspace()
	class := dr.set.Classes[dr.names.sampler]
	seconds := dr.de.Ordering.ServerSeconds(dr.names.sampler)
	fmt.Fprintf(dr.out, "  spending                 %.0f engine-seconds (%.4f at %g an hour) for %d tokens\n",
		seconds, seconds/3600*class.PricePerHour, class.PricePerHour, dr.engineTokens())
	fmt.Fprintf(dr.out, "  reports                  %d windows, latest %.1f s after the window's end\n", len(dr.reportsByWindow()), dr.longestReportDelay().Seconds())
}

// printWorstWorkspace prints the workspace with the lowest share of served calls; among
// equal shares, that with the highest p99 latency.
func (dr *demoRun) printWorstWorkspace() {
	type line struct {
		name  string
		share float64
		p99   time.Duration
		calls int
	}
	var lines []line
	for n, cc := range dr.calls {
		lines = append(lines, line{n, float64(cc.ok) / float64(max(cc.ok+cc.failed, 1)), quantile.Of(cc.latencies, 0.99), cc.ok + cc.failed})
	}
	sort.Slice(lines, func(i, j int) bool {
		if lines[i].share != lines[j].share {
			return lines[i].share < lines[j].share
		}

		return lines[i].p99 > lines[j].p99
	})
	if len(lines) > 0 {
		l := lines[0]
		fmt.Fprintf(dr.out, "  worst-served workspace   %s: %.2f%% of %d calls served, p99 %v\n", l.name, 100*l.share, l.calls, l.p99.Round(time.Millisecond))
	}
}

// versionNumber returns the number in a version name such as v2.
func versionNumber(version string) int {
	n, _ := strconv.Atoi(strings.TrimPrefix(version, "v"))

	return n
}

// oldestVersion returns the number of the oldest version that generated a token of the
// sample, read from the text: the engine stand-in writes the version with every token.
func (dr *demoRun) oldestVersion(s *delivered) int {
	low := 0
	for _, tok := range strings.Fields(s.Text) {
		v, _, _ := strings.Cut(tok, ":")
		if n := versionNumber(v); low == 0 || n < low {
			low = n
		}
	}

	return low
}

// checkVersions compares the reported versions of each sample with its text, in which the
// engine stand-in wrote the version with every token.
func (dr *demoRun) checkVersions() error {
	for _, s := range dr.samples {
		toks := strings.Fields(s.Text)
		if len(toks) != s.Tokens {
			return fmt.Errorf("sample %s has %d tokens but reports %d", s.ID, len(toks), s.Tokens)
		}
		for i, tok := range toks {
			v, _, _ := strings.Cut(tok, ":")
			ok := false
			for _, vr := range s.Versions {
				ok = ok || (vr.Version == v && i >= vr.From && i < vr.To)
			}
			if !ok {
				return fmt.Errorf("sample %s: token %d was generated by version %s, but the reported ranges are %v", s.ID, i, v, s.Versions)
			}
		}
	}

	return nil
}

// checkStaleness compares the oldest version of each sample with the trainer's bound.
func (dr *demoRun) checkStaleness() error {
	bound := int(dr.set.Trainers[dr.names.trainer].StalenessBound)
	for _, s := range dr.samples {
		if lag := s.acceptedCount - dr.oldestVersion(&s); lag > bound {
			return fmt.Errorf("sample %s is %d versions behind, the bound is %d", s.ID, lag, bound)
		}
	}

	return nil
}

// checkExactlyOnce checks that all samples were delivered, each once.
func (dr *demoRun) checkExactlyOnce() error {
	seen := map[string]int{}
	for _, s := range dr.samples {
		seen[s.ID]++
	}
	for id, n := range seen {
		if n != 1 {
			return fmt.Errorf("sample %s was delivered %d times", id, n)
		}
	}
	if want := steps * groupsPerStep * samplesPerGroup; len(seen) != want {
		return fmt.Errorf("%d samples were delivered, want %d", len(seen), want)
	}

	return nil
}

// checkKeys searches everything that backend servers received for the secret of each key.
func (dr *demoRun) checkKeys() error {
	var seen strings.Builder
	for _, sv := range dr.de.Services() {
		for _, r := range sv.Runs() {
			fmt.Fprintln(&seen, r.Path, r.Query, r.Header, r.Body)
		}
	}
	for _, en := range dr.de.AllEngines() {
		for _, r := range en.Runs() {
			fmt.Fprintln(&seen, r.Headers, r.Prompt)
		}
	}
	for _, s := range dr.secrets {
		if strings.Contains(seen.String(), s) {
			return fmt.Errorf("a request to a backend server contains the secret of a key")
		}
	}

	return nil
}

// checkWithdrawn checks that no gateway served the withdrawn key.
func (dr *demoRun) checkWithdrawn() error {
	for _, sv := range dr.de.Services() {
		for _, r := range sv.Runs() {
			if strings.Contains(r.Path, "after-withdrawal") {
				return fmt.Errorf("a backend server ran a request with the withdrawn key")
			}
		}
	}
	if dr.servedAfterWithdrawal > 0 || dr.refusedAfterWithdrawal == 0 {
		return fmt.Errorf("%d gateways served the withdrawn key, %d refused it", dr.servedAfterWithdrawal, dr.refusedAfterWithdrawal)
	}

	return nil
}

// checkOrders checks that no order of an earlier lease holder follows one of a later holder.
func (dr *demoRun) checkOrders() error {
	var top uint64
	starts := map[string]bool{}
	for _, r := range dr.de.Ordering.Records() {
		if r.Fencing < top {
			return fmt.Errorf("order %s from %s has fencing number %d after %d", r.ID, r.LeaseHolder, r.Fencing, top)
		}
		top = r.Fencing
		starts[r.ID] = true
	}
	for _, en := range dr.de.AllEngines() {
		top = 0
		for _, o := range en.Orders() {
			if o.Accepted && o.Fencing < top {
				return fmt.Errorf("engine order %s from %s was accepted with fencing number %d after %d", o.ID, o.LeaseHolder, o.Fencing, top)
			}
			top = max(top, o.Fencing)
		}
	}
	if len(starts) == 0 {
		return fmt.Errorf("no order was sent to the ordering interface")
	}

	return nil
}

// reportsByWindow returns the records of the usage reports by window.
func (dr *demoRun) reportsByWindow() map[uint64][]fake.ReportRecord {
	out := map[uint64][]fake.ReportRecord{}
	for _, r := range dr.de.Usage.Records() {
		out[r.Window] = append(out[r.Window], r)
	}

	return out
}

// checkReports checks that all reports of a window are equal, and that none of an earlier
// lease holder follows one of a later holder.
func (dr *demoRun) checkReports() error {
	if len(dr.reportsByWindow()) == 0 {
		return fmt.Errorf("no usage was reported")
	}
	for n, rs := range dr.reportsByWindow() {
		for _, r := range rs {
			if r.Body != rs[0].Body {
				return fmt.Errorf("window %d was reported with different figures", n)
			}
		}
	}
	var top uint64
	for _, r := range dr.de.Usage.Records() {
		if r.Fencing < top {
			return fmt.Errorf("window %d was reported by an earlier lease holder after a later one had reported", r.Window)
		}
		top = r.Fencing
	}

	return nil
}

// reportedUsage returns the sum of all reported usage.
func (dr *demoRun) reportedUsage() usage.Amounts {
	var sum usage.Amounts
	for _, rs := range dr.reportsByWindow() {
		var re usage.Report
		if err := json.Unmarshal([]byte(rs[0].Body), &re); err != nil {
			continue
		}
		for _, li := range re.Lines {
			sum.Tokens += li.Amounts.Tokens + li.Adjustment.Tokens
			sum.Requests += li.Amounts.Requests + li.Adjustment.Requests
		}
	}

	return sum
}

// longestReportDelay returns the longest time from the end of a window to its first report.
func (dr *demoRun) longestReportDelay() time.Duration {
	var late time.Duration
	for n, rs := range dr.reportsByWindow() {
		end := time.Unix(int64(n+1)*windowSeconds, 0)
		late = max(late, rs[0].At.Sub(end))
	}

	return late
}

// engineTokens counts the tokens of the engines' runs: generated ones and those of prompts.
func (dr *demoRun) engineTokens() uint64 {
	var sum uint64
	for _, en := range dr.de.AllEngines() {
		for _, r := range en.Runs() {
			sum += uint64(r.Tokens)
			if r.Tokens > 0 {
				sum += uint64(len(strings.Fields(r.Prompt)))
			}
		}
	}

	return sum
}

// checkUsage checks that the reported tokens are at most those of the engines, and at
// least 90 % of them.
func (dr *demoRun) checkUsage() error {
	made, sum := dr.engineTokens(), dr.reportedUsage().Tokens
	if sum > made {
		return fmt.Errorf("%d tokens were reported, but the engines processed only %d", sum, made)
	}
	if float64(sum) < 0.9*float64(made) {
		return fmt.Errorf("only %d tokens were reported, but the engines processed %d", sum, made)
	}

	return nil
}

// checkAtMostOnce checks that no request that may not be repeated ran twice.
func (dr *demoRun) checkAtMostOnce() error {
	runs := map[string]int{}
	for _, sv := range dr.de.Services() {
		for _, r := range sv.Runs() {
			if q, err := url.ParseQuery(r.Query); err == nil && q.Get("call") != "" {
				runs[q.Get("call")]++
			}
		}
	}
	if len(runs) == 0 {
		return fmt.Errorf("no request that may not be repeated ran")
	}
	for k, n := range runs {
		if n > 1 {
			return fmt.Errorf("request %s ran %d times", k, n)
		}
	}

	return nil
}

// checkStore checks that the weight store never had to refuse a fetch over its limit.
func (dr *demoRun) checkStore() error {
	if n := dr.de.Store.Refused(); n > 0 {
		return fmt.Errorf("%d fetches exceeded the weight store's limit", n)
	}

	return nil
}
