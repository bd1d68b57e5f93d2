package soak_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tamarackbay/tamarackbay/platform/standin"
)

// configAppliedWithin limits how long a controller may return an older configuration after a
// newer one was acknowledged: config_apply_ms of the deployments.
const configAppliedWithin = 2500 * time.Millisecond

// promises records the responses that callers received and checks the promises that follow
// from them.
type promises struct {
	mu            sync.Mutex
	broken        []string
	lookups       map[string]*lookup
	jobs          map[string]*jobRecord
	configVersion int       // newest acknowledged version of the configuration
	ackedAt       time.Time // time of the acknowledgement of configVersion
	weightVersion uint64    // newest acknowledged weight version
	inContactAt   time.Time // from when on the processes agree, after the last fault
	counts        map[string]int
	mixed         []string // streams and texts that hold events of several software versions
}

const (
	// maxMixed is how many streams and how many texts may hold events of two versions.
	maxMixed = 2
	// minGoneOn is the least share of the resumed streams that go on, relative to the share of
	// the new ones that begin.
	minGoneOn = 0.5
)

// checkStreamAttempt checks one attempt of a client for a stream.
func (pr *promises) checkStreamAttempt(st *standin.Stream, isResumed, hasGoneOn bool, at *standin.Attempt) {
	what := "new stream"
	if isResumed {
		what = "resumed stream"
	}
	pr.count(what)
	switch {
	case hasGoneOn:
		pr.count(what + " served")
	case at.Status == http.StatusServiceUnavailable && at.RetryAfter == "":
		pr.reportBroken("stream %s: a refusal without a Retry-After header", st.ID)
	}
}

// checkStream checks that the events of a stream come from one software version.
func (pr *promises) checkStream(st *standin.Stream) {
	if versions := standin.SoftwareOf(st.Events); len(versions) > 1 {
		pr.mu.Lock()
		defer pr.mu.Unlock()
		pr.mixed = append(pr.mixed, fmt.Sprintf("stream %s: %v", st.ID, versions))
	}
}

// checkContinuations checks how many streams and texts were continued, and where.
func (pr *promises) checkContinuations() {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if len(pr.mixed) > maxMixed {
		pr.reportBrokenLocked("%d streams and texts hold events of several software versions: %v", len(pr.mixed), pr.mixed)
	}
	share := func(what string) float64 {
		return float64(pr.counts[what+" served"]) / float64(max(pr.counts[what], 1))
	}
	if share("resumed stream") < minGoneOn*share("new stream") {
		pr.reportBrokenLocked("%.2f of the resumed streams went on, but %.2f of the new ones began", share("resumed stream"), share("new stream"))
	}
}

// checkLimits checks that no backend server got more requests than the rate that it named.
func (pr *promises) checkLimits(de *deployment) {
	for _, bs := range de.servers {
		for _, li := range bs.Limits() {
			allowed := int(limitExcess*li.PerSecond*limitWindow.Seconds()) + limitSlack
			if n := li.Most(bs.Arrivals(), contactWithin, limitWindow); n > allowed {
				pr.reportBroken("backend server %s named a limit of %g requests a second and got %d in %v, %d are allowed", bs.ID, li.PerSecond, n, limitWindow, allowed)
			} else if n > 0 {
				pr.count("limit kept")
			}
		}
	}
}

// The bounds of the requests to a limited backend server: in any window limitExcess times what
// its limit allows, and limitSlack more.
const (
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
)

// lookup is one plain request. No other request has its ID.
type lookup struct {
	isOnce    bool
	isRefused bool // the response promises that the request has not run and never will
}

// jobRecord is a batch job that may have been accepted.
type jobRecord struct {
	items, events int
	isAccepted    bool
	results       []standin.Item // in the order in which they were first read
	isDone        bool
}

func newPromises() *promises {
	return &promises{lookups: map[string]*lookup{}, jobs: map[string]*jobRecord{}, counts: map[string]int{}}
}

// reportBroken records a broken promise with the current time.
func (pr *promises) reportBroken(format string, args ...any) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.reportBrokenLocked(format, args...)
}

// reportBrokenLocked is reportBroken for callers that hold mu.
func (pr *promises) reportBrokenLocked(format string, args ...any) {
	pr.broken = append(pr.broken, time.Now().Format("15:04:05.000")+" "+fmt.Sprintf(format, args...))
}

func (pr *promises) count(what string) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.counts[what]++
}

// recordLookup records a request. It is called before the request is sent.
func (pr *promises) recordLookup(id string, isOnce bool) *lookup {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	lo := &lookup{isOnce: isOnce}
	pr.lookups[id] = lo

	return lo
}

// checkLookupAnswer checks the response to a lookup.
func (pr *promises) checkLookupAnswer(id string, an *standin.Answer, err error) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	switch {
	case err != nil:
		pr.counts["lookup without an answer"]++
	case an.Status == http.StatusOK:
		pr.counts["lookup served"]++
		if an.Stamp != standin.Stamp || string(an.Body) != standin.LookupAnswer(id) {
			pr.reportBrokenLocked("lookup %s: a successful response that is not from a backend server: %q", id, an.Body)
		}
	case an.Status == http.StatusServiceUnavailable || an.Status == http.StatusTooManyRequests:
		pr.counts["lookup refused"]++
		pr.lookups[id].isRefused = true
		if an.RetryAfter == "" {
			pr.reportBrokenLocked("lookup %s: a refusal without a Retry-After header", id)
		}
	case an.Status < http.StatusInternalServerError:
		pr.reportBrokenLocked("lookup %s: a valid request ended with the unexpected status %d", id, an.Status)
	default:
		pr.counts[fmt.Sprintf("lookup ended with %d", an.Status)]++
	}
}

// checkJobPage checks a page of results against the results read before: none may disappear,
// move or change.
func (pr *promises) checkJobPage(id string, pa *standin.Page) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	jo := pr.jobs[id]
	if len(pa.Results) < len(jo.results) {
		pr.reportBrokenLocked("job %s: the number of results decreased from %d to %d", id, len(jo.results), len(pa.Results))

		return
	}
	seen := map[string]bool{}
	for i := range pa.Results {
		it := &pa.Results[i]
		if seen[it.ID] {
			pr.reportBrokenLocked("job %s: item %s is at two positions", id, it.ID)
		}
		seen[it.ID] = true
		if i < len(jo.results) {
			if old := &jo.results[i]; old.ID != it.ID || old.Text != it.Text || old.Score != it.Score || !slices.Equal(old.Versions, it.Versions) {
				pr.reportBrokenLocked("job %s: the result at position %d changed: item was %s, is %s", id, i, old.ID, it.ID)
			}

			continue
		}
		if err := it.Check(jo.events); err != nil {
			pr.reportBrokenLocked("job %s: %v", id, err)
		}
		if versions := standin.SoftwareOf(strings.Split(it.Text, "\n")); len(versions) > 1 {
			pr.mixed = append(pr.mixed, fmt.Sprintf("item %s: %v", it.ID, versions))
		}
	}
	if pa.Total != jo.items {
		pr.reportBrokenLocked("job %s: the total is %d items, expected %d", id, pa.Total, jo.items)
	}
	jo.results = pa.Results
	if len(pa.Results) == jo.items && !jo.isDone {
		jo.isDone = true
		pr.counts["job complete"]++
	}
}

// checkConfigRead checks the version that a controller returned to a read sent at the time
// sent, when version acked had been acknowledged at ackedAt.
func (pr *promises) checkConfigRead(controller string, version int, sent time.Time, acked int, ackedAt time.Time) {
	if version < acked && sent.Sub(ackedAt) > configAppliedWithin {
		pr.reportBroken("controller %s returned configuration version %d, but %d was acknowledged %v earlier", controller, version, acked, sent.Sub(ackedAt))
	}
}

// ackedConfig returns the newest acknowledged version of the configuration and the time of its
// acknowledgement.
func (pr *promises) ackedConfig() (int, time.Time) {
	pr.mu.Lock()
	defer pr.mu.Unlock()

	return pr.configVersion, pr.ackedAt
}

// checkFinalState checks the promises against the requests that backend servers and the stand-in
// for the usage interface received. It is called after the load and all processes have stopped.
func (pr *promises) checkFinalState(de *deployment) {
	runs := map[string]int{}
	holders := map[uint64]string{}
	lateCrashes := 0
	for _, bs := range de.servers {
		for _, ru := range bs.Log() {
			if !ru.Crashed {
				continue
			}
			pr.count("crash by a request")
			if ru.At.After(pr.inContactAt) {
				lateCrashes++
			}
		}
		workspaces := bs.Workspaces()
		for id, n := range bs.Runs() {
			runs[id] += n
			if wo := workspaces[id]; wo != standin.Workspace && wo != "" {
				pr.reportBroken("request %s ran for the wrong workspace %q", id, wo)
			}
		}
		if n := bs.RequestsWithKey(); n > 0 {
			pr.reportBroken("backend server %s received the keys of callers with %d requests", bs.ID, n)
		}
		for _, or := range bs.AllOrders() {
			if old, ok := holders[or.Fencing]; ok && old != or.Holder {
				pr.reportBroken("orders with fencing number %d came from both %s and %s", or.Fencing, old, or.Holder)
			}
			holders[or.Fencing] = or.Holder
		}
	}
	if lateCrashes > maxLateCrashes {
		pr.reportBroken("the request that crashes backend servers ran %d times after the last fault and the contact period", lateCrashes)
	}
	pr.checkLimits(de)
	pr.checkContinuations()
	for _, s := range de.usage.Problems() {
		pr.reportBroken("%s", s)
	}

	pr.mu.Lock()
	defer pr.mu.Unlock()
	sent := maps.Clone(runs)
	total := uint64(0)
	for id, lo := range pr.lookups {
		n := runs[id]
		total += uint64(n)
		delete(sent, id)
		if lo.isOnce && n > 1 {
			pr.reportBrokenLocked("request %s may run at most once, but ran %d times", id, n)
		}
		if lo.isOnce && lo.isRefused && n > 0 {
			pr.reportBrokenLocked("request %s was refused as not run, but ran %d times", id, n)
		}
	}
	for id, jo := range pr.jobs {
		for i := range jo.items {
			for _, it := range []string{standin.ItemID(id, i), "s-" + standin.ItemID(id, i)} {
				total += uint64(runs[it])
				delete(sent, it)
			}
		}
		if jo.isAccepted && !jo.isDone {
			pr.reportBrokenLocked("job %s was accepted, but has only %d of %d results", id, len(jo.results), jo.items)
		}
	}
	for id := range sent {
		if strings.HasPrefix(id, warmUpPrefix) {
			continue
		}
		pr.reportBrokenLocked("request %s ran, but was never sent", id)
	}
	if billed := de.usage.Reported(); billed > total {
		pr.reportBrokenLocked("%d requests were billed, but only %d ran", billed, total)
	}
	for _, p := range de.processes {
		for _, s := range p.unexpectedExits() {
			pr.reportBrokenLocked("%s", s)
		}
	}
}

// awaitRecovery waits until every gateway serves lookups, every controller has the newest
// configuration and every engine the newest weights. What is missing after recoverWithin is
// recorded as a broken promise.
func (pr *promises) awaitRecovery(ctx context.Context, de *deployment) {
	ctx, cancel := context.WithTimeout(ctx, recoverWithin)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	await := func(what string, f func() bool) {
		wg.Go(func() {
			for !f() {
				select {
				case <-time.After(readPeriod):
				case <-ctx.Done():
					pr.reportBroken("not recovered %v after the last fault: %s", recoverWithin, what)

					return
				}
			}
		})
	}
	for i, gw := range de.gateways() {
		await("gateway "+gw+" serves no lookups", func() bool {
			id := fmt.Sprintf("last-%d-%d", i, time.Now().UnixNano())
			pr.recordLookup(id, false)
			an, err := de.caller.Lookup(ctx, gw, id, false)
			pr.checkLookupAnswer(id, &an, err)

			return err == nil && an.Status == http.StatusOK
		})
	}
	version, _ := pr.ackedConfig()
	for _, ip := range de.caller.ControllerIPs {
		await("controller "+ip+" does not have the newest configuration", func() bool {
			v, err := de.caller.ReadVersion(ctx, ip)

			return err == nil && v >= version
		})
	}
	for _, bs := range de.servers {
		if bs.Service == serviceEngines {
			await("engine "+bs.ID+" does not have the newest weights", func() bool { return bs.Versions()[standin.Model] >= pr.namedVersion() })
		}
	}
}

// namedVersion returns the newest acknowledged weight version.
func (pr *promises) namedVersion() uint64 {
	pr.mu.Lock()
	defer pr.mu.Unlock()

	return pr.weightVersion
}
