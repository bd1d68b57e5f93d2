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

// configInForce is how long after its acknowledgement a configuration may be missing
// where it is read: config_apply_ms of the deployments.
const configInForce = 2500 * time.Millisecond

// promises keeps what callers were told and finds what was not kept.
type promises struct {
	mu      sync.Mutex
	broken  []string
	lookups map[string]*lookup
	jobs    map[string]*jobRecord
	version int       // newest acknowledged configuration
	ackedAt time.Time // of it
	named   uint64    // newest acknowledged weight version
	counts  map[string]int
}

// lookup is one plain request. Its ID is never used again.
type lookup struct {
	isOnce    bool
	isRefused bool // the answer promises that it has not run and never will
}

// jobRecord is a batch job that may have been accepted.
type jobRecord struct {
	items, events int
	isAccepted    bool
	results       []standin.Item // in the order read first
	isDone        bool
}

func newPromises() *promises {
	return &promises{lookups: map[string]*lookup{}, jobs: map[string]*jobRecord{}, counts: map[string]int{}}
}

func (pr *promises) fail(format string, args ...any) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.failLocked(format, args...)
}

func (pr *promises) failLocked(format string, args ...any) {
	pr.broken = append(pr.broken, time.Now().Format("15:04:05.000")+" "+fmt.Sprintf(format, args...))
}

func (pr *promises) count(what string) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.counts[what]++
}

// sendsLookup notes a request before it is sent.
func (pr *promises) sendsLookup(id string, isOnce bool) *lookup {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	lo := &lookup{isOnce: isOnce}
	pr.lookups[id] = lo

	return lo
}

// answeredLookup checks an answer.
func (pr *promises) answeredLookup(id string, an *standin.Answer, err error) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	switch {
	case err != nil:
		pr.counts["lookup without an answer"]++
	case an.Status == http.StatusOK:
		pr.counts["lookup served"]++
		if an.Stamp != standin.Stamp || string(an.Body) != standin.LookupAnswer(id) {
			pr.failLocked("lookup %s: a success that no backend server gave: %q", id, an.Body)
		}
	case an.Status == http.StatusServiceUnavailable || an.Status == http.StatusTooManyRequests:
		pr.counts["lookup refused"]++
		pr.lookups[id].isRefused = true
		if an.RetryAfter == "" {
			pr.failLocked("lookup %s: a refusal that does not say when to come back", id)
		}
	case an.Status < http.StatusInternalServerError:
		pr.failLocked("lookup %s: a proper request is answered %d", id, an.Status)
	default:
		pr.counts[fmt.Sprintf("lookup ended with %d", an.Status)]++
	}
}

// readJob checks a page of results against what was read before.
func (pr *promises) readJob(id string, pa *standin.Page) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	jo := pr.jobs[id]
	if len(pa.Results) < len(jo.results) {
		pr.failLocked("job %s: %d results were read, now there are %d", id, len(jo.results), len(pa.Results))

		return
	}
	seen := map[string]bool{}
	for i := range pa.Results {
		it := &pa.Results[i]
		if seen[it.ID] {
			pr.failLocked("job %s: item %s stands at two positions", id, it.ID)
		}
		seen[it.ID] = true
		if i < len(jo.results) {
			if old := &jo.results[i]; old.ID != it.ID || old.Text != it.Text || old.Score != it.Score || !slices.Equal(old.Versions, it.Versions) {
				pr.failLocked("job %s: position %d held %s and holds %s", id, i, old.ID, it.ID)
			}

			continue
		}
		if err := it.Check(jo.events); err != nil {
			pr.failLocked("job %s: %v", id, err)
		}
	}
	if pa.Total != jo.items {
		pr.failLocked("job %s: %d items in all, not %d", id, pa.Total, jo.items)
	}
	jo.results = pa.Results
	if len(pa.Results) == jo.items && !jo.isDone {
		jo.isDone = true
		pr.counts["job complete"]++
	}
}

// readConfig checks a version that a controller gave to a read sent at a time.
func (pr *promises) readConfig(controller string, version int, sent time.Time, acked int, ackedAt time.Time) {
	if version < acked && sent.Sub(ackedAt) > configInForce {
		pr.fail("controller %s holds configuration %d, %d was acknowledged %v before", controller, version, acked, sent.Sub(ackedAt))
	}
}

func (pr *promises) acked() (int, time.Time) {
	pr.mu.Lock()
	defer pr.mu.Unlock()

	return pr.version, pr.ackedAt
}

// judge compares what was promised with what backend servers and the usage
// interface saw, after everything has come to rest.
func (pr *promises) judge(de *deployment) {
	runs := map[string]int{}
	holders := map[uint64]string{}
	for _, bs := range de.servers {
		workspaces := bs.Workspaces()
		for id, n := range bs.Runs() {
			runs[id] += n
			if te := workspaces[id]; te != standin.Workspace && te != "" {
				pr.fail("request %s ran for the workspace %q", id, te)
			}
		}
		if n := bs.RequestsWithKey(); n > 0 {
			pr.fail("%s was passed the keys of %d requests", bs.ID, n)
		}
		for _, or := range bs.AllOrders() {
			if old, ok := holders[or.Fencing]; ok && old != or.Holder {
				pr.fail("orders under the fencing number %d came from %s and from %s", or.Fencing, old, or.Holder)
			}
			holders[or.Fencing] = or.Holder
		}
	}
	for _, s := range de.cloud.Problems() {
		pr.fail("%s", s)
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
			pr.failLocked("request %s may run once and ran %d times", id, n)
		}
		if lo.isOnce && lo.isRefused && n > 0 {
			pr.failLocked("request %s was refused as not run and ran %d times", id, n)
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
			pr.failLocked("job %s was accepted and has %d of %d results", id, len(jo.results), jo.items)
		}
	}
	for id := range sent {
		if strings.HasPrefix(id, warmUp) {
			continue
		}
		pr.failLocked("a request %s ran that nobody sent", id)
	}
	if billed := de.cloud.Reported(); billed > total {
		pr.failLocked("%d requests were billed, %d ran", billed, total)
	}
	for _, p := range de.processes {
		for _, s := range p.surprises() {
			pr.failLocked("%s", s)
		}
	}
}

// settled waits until everything works again after the last fault.
func (pr *promises) settled(ctx context.Context, de *deployment) {
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
					pr.fail("%v after the last fault: %s", recoverWithin, what)

					return
				}
			}
		})
	}
	for i, gw := range de.gateways() {
		await("gateway "+gw+" serves nothing", func() bool {
			id := fmt.Sprintf("last-%d-%d", i, time.Now().UnixNano())
			pr.sendsLookup(id, false)
			an, err := de.caller.Lookup(ctx, gw, id, false)
			pr.answeredLookup(id, &an, err)

			return err == nil && an.Status == http.StatusOK
		})
	}
	version, _ := pr.acked()
	for _, ip := range de.caller.Control {
		await("controller "+ip+" lacks the newest configuration", func() bool {
			v, err := de.caller.ReadVersion(ctx, ip)

			return err == nil && v >= version
		})
	}
	for _, bs := range de.servers {
		if bs.Service == serviceEngines {
			await("engine "+bs.ID+" lacks the newest weights", func() bool { return bs.Versions()[standin.Model] >= pr.newest() })
		}
	}
}

func (pr *promises) newest() uint64 {
	pr.mu.Lock()
	defer pr.mu.Unlock()

	return pr.named
}
