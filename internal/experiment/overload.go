package experiment

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/deployment"
	"github.com/tamarackbay/tamarackbay/internal/quantile"
	"github.com/tamarackbay/tamarackbay/internal/settings"
)

const (
	overloadServers     = 3
	overloadSlots       = 8
	overloadServiceTime = 20 * time.Millisecond
	overloadCapacity    = 1000 // previews per second, slightly below what the slots can serve
	overloadLookupRate  = 100  // lookups per second, at the same time as the previews
	overloadTimeoutMs   = "500"
	overloadMaxOpen     = 4000 // bounds the open requests of the load generator
)

// OverloadResult holds the measurements at one level of load.
type OverloadResult struct {
	Name          string
	Sent          float64 // previews per second
	Goodput       float64 // previews answered per second
	LookupP50     float64 // ms
	LookupP99     float64 // ms
	FailedLookups int
}

// RunOverload measures lookups without previews, with previews at capacity, and with
// previews at twice the capacity, each for d.
func RunOverload(ctx context.Context, d time.Duration, out io.Writer) ([]OverloadResult, error) {
	folder, err := os.MkdirTemp("", "tamarackbay-overload-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }()

	set := declaration.NewSet()
	for _, w := range []string{"crew", "shop"} {
		wo := declaration.Workspace{}
		wo.Defaults()
		set.Workspaces[w] = wo
	}
	for n, class := range map[string]string{"lookup": declaration.ClassLookup, "preview": declaration.ClassPreview} {
		ro := declaration.Route{Service: "s", Class: class, Repeatable: true}
		ro.Defaults()
		set.Routes[n] = ro
	}
	de, err := deployment.Start(ctx, deployment.Config{
		Gateways: 3, Folder: folder, Declarations: set, NoOrdering: true, NoUsage: true, ServiceDelay: overloadServiceTime,
		AdjustSettings: func(*settings.Gateway) {},
	})
	if err != nil {
		return nil, err
	}
	defer de.Close()
	ol := &overload{deployment: de, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: overloadMaxOpen}}, tokens: map[string]string{}}
	for w := range set.Workspaces {
		if _, ol.tokens[w], err = de.IssueKey(ctx, w); err != nil {
			return nil, err
		}
	}
	for i := range overloadServers {
		cl := declaration.Class{Service: "s", Slots: overloadSlots}
		if err := de.StartServer(fmt.Sprint("s", i), "c", cl, []string{"a", "b", "c"}[i], ""); err != nil {
			return nil, err
		}
	}
	if err := de.WaitForReadyServers(ctx, "s", overloadServers, ""); err != nil {
		return nil, err
	}

	var loads []OverloadResult
	for _, level := range []struct {
		name string
		rate int
	}{{"lookups only", 0}, {"previews 1x capacity", overloadCapacity}, {"previews 2x capacity", 2 * overloadCapacity}} {
		lo := ol.runLevel(ctx, level.name, level.rate, d)
		fmt.Fprintf(out, "%-22s sent %.0f/s  goodput %.0f/s  lookup p50 %.1f ms  p99 %.1f ms  lost %d\n",
			lo.Name, lo.Sent, lo.Goodput, lo.LookupP50, lo.LookupP99, lo.FailedLookups)
		loads = append(loads, lo)
	}

	return loads, nil
}

// overload sends the requests of RunOverload.
type overload struct {
	deployment *deployment.Deployment
	client     *http.Client
	tokens     map[string]string
}

// runLevel sends requests at fixed rates for d, independent of the responses (open loop)
// and without retries.
func (ol *overload) runLevel(ctx context.Context, name string, rate int, d time.Duration) OverloadResult {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var lookups []time.Duration
	answered, lost, sent := 0, 0, 0
	open := make(chan struct{}, overloadMaxOpen)
	pace := func(perSecond int, send func(n int)) {
		defer wg.Done()
		began := time.Now()
		for n := 0; perSecond > 0 && time.Since(began) < d; n++ {
			time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / time.Duration(perSecond))))
			open <- struct{}{}
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer func() { <-open }()
				send(n)
			}()
		}
	}
	wg.Add(2)
	go pace(overloadLookupRate, func(n int) {
		at := time.Now()
		ok := ol.get(ctx, n, "crew", "lookup")
		mu.Lock()
		defer mu.Unlock()
		if lookups = append(lookups, time.Since(at)); !ok {
			lost++
		}
	})
	go pace(rate, func(n int) {
		ok := ol.get(ctx, n, "shop", "preview")
		mu.Lock()
		defer mu.Unlock()
		sent++
		if ok {
			answered++
		}
	})
	wg.Wait()

	return OverloadResult{
		Name: name, Sent: float64(sent) / d.Seconds(), Goodput: float64(answered) / d.Seconds(), FailedLookups: lost,
		LookupP50: quantile.Milliseconds(lookups, 0.5), LookupP99: quantile.Milliseconds(lookups, 0.99),
	}
}

// get sends request number n and reports whether it succeeded.
func (ol *overload) get(ctx context.Context, n int, workspace, route string) bool {
	u := ol.deployment.URLs()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s/r/%s/%d", u[n%len(u)], route, n), http.NoBody)
	if err != nil {
		return false
	}
	rq.Header.Set("Authorization", "Bearer "+ol.tokens[workspace])
	rq.Header.Set("X-Timeout-Ms", overloadTimeoutMs)
	rs, err := ol.client.Do(rq)
	if err != nil {
		return false
	}
	defer rs.Body.Close()
	_, err = io.Copy(io.Discard, rs.Body)

	return err == nil && rs.StatusCode == http.StatusOK
}

// WriteOverload writes a Markdown table with one row per level of load.
func WriteOverload(w io.Writer, loads []OverloadResult) {
	fmt.Fprintln(w, "| load | previews sent /s | answered /s | lookup p50 ms | lookup p99 ms | lookups lost |\n|---|---|---|---|---|---|")
	for _, lo := range loads {
		fmt.Fprintf(w, "| %s | %.0f | %.0f | %.1f | %.1f | %d |\n", lo.Name, lo.Sent, lo.Goodput, lo.LookupP50, lo.LookupP99, lo.FailedLookups)
	}
}
