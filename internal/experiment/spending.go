package experiment

import (
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"sync"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/deployment"
	"github.com/tamarackbay/tamarackbay/internal/fake"
	"github.com/tamarackbay/tamarackbay/internal/quantile"
	"github.com/tamarackbay/tamarackbay/internal/settings"
	"github.com/tamarackbay/tamarackbay/pkg/client"
)

// FleetPolicy is a named set of fleet bounds that the same load runs under.
type FleetPolicy struct {
	Name  string
	Fleet declaration.FleetBounds
}

const (
	spendingClass     = "engine"
	spendingStartup   = 500 * time.Millisecond
	spendingSlots     = 4
	spendingPeak      = 24 // concurrent requests at the peak of the day
	spendingMaxTokens = 24
	spendingTick      = 100 * time.Millisecond
)

// FleetPolicies returns the settings of the product's planner and of two baselines:
// all servers always on, and a threshold that orders a server when the slots are full
// and returns it as soon as it is idle.
func FleetPolicies() []FleetPolicy {
	domains := []string{"a", "b", "c"}

	return []FleetPolicy{
		{"current", declaration.FleetBounds{MinPerDomain: 0, MaxPerDomain: 3, FailureDomains: domains, IdleMs: 2000, TargetLoad: 0.7}},
		{"alwaysOn", declaration.FleetBounds{MinPerDomain: 3, MaxPerDomain: 3, FailureDomains: domains, IdleMs: 2000, TargetLoad: 0.7}},
		{"threshold", declaration.FleetBounds{MinPerDomain: 0, MaxPerDomain: 3, FailureDomains: domains, IdleMs: 1, TargetLoad: 1}},
	}
}

// SpendingResult holds the cost and the served requests of one run of the daily load curve.
type SpendingResult struct {
	Policy        string
	ServerSeconds float64 // billed
	Served        int
	Refused       int
	P50           float64 // ms
	P99           float64 // ms
}

// RunSpending runs each fleet policy under the load curve of a day, compressed to d.
func RunSpending(ctx context.Context, d time.Duration, repetitions int, out io.Writer) ([]SpendingResult, error) {
	var all []SpendingResult
	for rep := range repetitions {
		for _, fp := range FleetPolicies() {
			sp, err := runSpendingOnce(ctx, fp, d)
			if err != nil {
				return nil, fmt.Errorf("experiment: fleet policy %s: %w", fp.Name, err)
			}
			fmt.Fprintf(out, "%-10s rep %d  %.0f server-seconds  served %d  refused %d  p50 %.0f ms  p99 %.0f ms\n",
				sp.Policy, rep+1, sp.ServerSeconds, sp.Served, sp.Refused, sp.P50, sp.P99)
			all = append(all, sp)
		}
	}

	return all, nil
}

func runSpendingOnce(ctx context.Context, fp FleetPolicy, d time.Duration) (SpendingResult, error) {
	folder, err := os.MkdirTemp("", "tamarackbay-spending-")
	if err != nil {
		return SpendingResult{}, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	ctx, cancel := context.WithTimeout(ctx, d+time.Minute)
	defer cancel()

	set := declaration.NewSet()
	wo := declaration.Workspace{}
	wo.Defaults()
	set.Workspaces["w"] = wo
	mo := declaration.Model{}
	mo.Defaults()
	set.Models["m"] = mo
	ro := declaration.Route{Model: "m", Repeatable: true, TimeoutMs: 10_000}
	ro.Defaults()
	set.Routes["m"] = ro
	set.Classes[spendingClass] = declaration.Class{Model: "m", Slots: spendingSlots, StartupMs: int(spendingStartup.Milliseconds())}
	set.Fleet[spendingClass] = fp.Fleet
	de, err := deployment.Start(ctx, deployment.Config{
		Gateways: 3, Folder: folder, Declarations: set, StoreLimit: 3, NoUsage: true, ServerStartup: spendingStartup,
		Engine:         fake.EngineConfig{Version: "v1", TokenTime: 5 * time.Millisecond},
		AdjustSettings: func(se *settings.Gateway) { se.Times.LeaseMs, se.Times.MaxCallMs = 1500, 500 },
	})
	if err != nil {
		return SpendingResult{}, err
	}
	defer de.Close()
	_, token, err := de.IssueKey(ctx, "w")
	if err != nil {
		return SpendingResult{}, err
	}
	time.Sleep(2 * time.Second) // until a controller holds the lease and the minimum fleet runs

	before := de.Ordering.ServerSeconds(spendingClass)
	da := &dailyLoad{deployment: de, token: token, duration: d}
	da.run(ctx)
	sp := da.result(fp.Name)
	sp.ServerSeconds = de.Ordering.ServerSeconds(spendingClass) - before

	return sp, nil
}

// dailyLoad generates the load curve of one day: none at night, then a rise to the peak
// at midday and a fall.
type dailyLoad struct {
	deployment *deployment.Deployment
	token      string
	duration   time.Duration

	mu        sync.Mutex
	running   int
	latencies []time.Duration
	refused   int
}

// targetConcurrency returns the number of concurrent requests at a fraction of the day.
func (da *dailyLoad) targetConcurrency(fraction float64) int {
	s := math.Sin(2*math.Pi*fraction - math.Pi/2) // lowest at midnight

	return int(math.Round(max(0, spendingPeak*(s+0.3)/1.3)))
}

// run keeps as many requests in flight as the curve requires, until the day ends.
func (da *dailyLoad) run(ctx context.Context) {
	var wg sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < da.duration; {
		want := da.targetConcurrency(float64(time.Since(began)) / float64(da.duration))
		da.mu.Lock()
		missing := want - da.running
		da.running += max(missing, 0)
		da.mu.Unlock()
		for range max(missing, 0) {
			n++
			wg.Add(1)
			go func() {
				defer wg.Done()
				da.request(ctx, n)
			}()
		}
		time.Sleep(spendingTick)
	}
	wg.Wait()
}

// request makes one completion. The client retries after the delay that a refusal states.
func (da *dailyLoad) request(ctx context.Context, n int) {
	cl := da.deployment.Client(da.token, n)
	at := time.Now()
	cctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	_, err := cl.Complete(cctx, client.CompletionRequest{Model: "m", Prompt: fmt.Sprint("request ", n), MaxTokens: spendingMaxTokens, Seed: uint64(n)})
	da.mu.Lock()
	defer da.mu.Unlock()

	da.running--
	if err != nil {
		da.refused++

		return
	}
	da.latencies = append(da.latencies, time.Since(at))
}

func (da *dailyLoad) result(policy string) SpendingResult {
	da.mu.Lock()
	defer da.mu.Unlock()

	return SpendingResult{
		Policy: policy, Served: len(da.latencies), Refused: da.refused,
		P50: quantile.Milliseconds(da.latencies, 0.5), P99: quantile.Milliseconds(da.latencies, 0.99),
	}
}

// WriteSpending writes a Markdown table of the median, lowest and highest values by fleet policy.
func WriteSpending(w io.Writer, all []SpendingResult) {
	columns := []struct {
		name  string
		value func(sp SpendingResult) float64
	}{
		{"server-seconds", func(sp SpendingResult) float64 { return sp.ServerSeconds }},
		{"served", func(sp SpendingResult) float64 { return float64(sp.Served) }},
		{"refused", func(sp SpendingResult) float64 { return float64(sp.Refused) }},
		{"p50 ms", func(sp SpendingResult) float64 { return sp.P50 }},
		{"p99 ms", func(sp SpendingResult) float64 { return sp.P99 }},
	}
	fmt.Fprint(w, "| fleet |")
	for _, c := range columns {
		fmt.Fprintf(w, " %s |", c.name)
	}
	fmt.Fprintln(w, "\n|---|---|---|---|---|---|")
	for _, fp := range FleetPolicies() {
		fmt.Fprintf(w, "| %s |", fp.Name)
		for _, c := range columns {
			var vs []float64
			for _, sp := range all {
				if sp.Policy == fp.Name {
					vs = append(vs, c.value(sp))
				}
			}
			s := spreadOf(vs)
			fmt.Fprintf(w, " %.4g (%.4g to %.4g) |", s.median, s.low, s.high)
		}
		fmt.Fprintln(w)
	}
}
