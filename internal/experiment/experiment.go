// Package experiment compares the product's scheduling policy with simple baselines.
// It runs real gateways and agents on loopback against stand-ins of the external
// systems, with a fault script and fixed seeds.
package experiment

import (
	"context"
	"fmt"
	"io"
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

// Policy is a named scheduling policy that a workload runs under.
type Policy struct {
	Name     string
	Settings settings.Policy
}

// Policies returns the product's policy, called current, and the baselines.
func Policies() []Policy {
	return []Policy{
		{"current", settings.Policy{}},
		{"roundRobin", settings.Policy{Scheduler: "roundRobin", NoFairness: true, NoHedging: true, NoSpread: true, NoRetryBudget: true}},
		{"leastInFlight", settings.Policy{Scheduler: "leastInFlight", NoFairness: true, NoHedging: true, NoSpread: true, NoRetryBudget: true}},
		{"noFairness", settings.Policy{NoFairness: true}},
		{"noSpread", settings.Policy{NoSpread: true}},
		{"noHedging", settings.Policy{NoHedging: true}},
		{"noRetryBudget", settings.Policy{NoRetryBudget: true}},
	}
}

// Config describes an experiment.
type Config struct {
	Workload    string        // consortium or cedarwick
	Duration    time.Duration // of one run
	Repetitions int
	Policies    []string // names of the policies to run; empty runs all
	Out         io.Writer
}

// workload is a scaled-down version of the traffic of a deployment.
type workload struct {
	engines, services       int
	groups, samplesPerGroup int
	maxTokens               int
	fairWorkspaces          int // workspaces with equal load
	concurrency             int // concurrent requests of each of these workspaces
	greedyFactor            int // concurrency of the greedy workspace, as a multiple of the above
	lookupCallers           int
}

var workloads = map[string]workload{
	// Mostly rollout samples in groups, with lookups at the same time.
	"consortium": {engines: 6, services: 3, groups: 8, samplesPerGroup: 8, maxTokens: 64, fairWorkspaces: 3, concurrency: 10, greedyFactor: 10, lookupCallers: 6},
	// Short suggestions and a few long drafts; lookups take the place of the previews.
	"cedarwick": {engines: 5, services: 3, groups: 16, samplesPerGroup: 4, maxTokens: 96, fairWorkspaces: 3, concurrency: 8, greedyFactor: 10, lookupCallers: 6},
}

// Outcome holds the measurements of one run.
type Outcome struct {
	Policy             string
	IdleSecondsPerStep float64 // seconds that the trainer waits per step
	Steps              int
	WorstShare         float64 // fraction of its fair share that the worst-served workspace received
	LookupP99          float64 // ms
	Goodput            float64 // completed requests and samples per second
	Amplification      float64 // engine runs per completed request or sample
	StaleShare         float64 // fraction of samples that were behind the latest version on delivery
	Violations         int     // steps with lost samples, samples delivered twice or too stale, calls that ran twice
}

// Run runs the selected policies in turn, and repeats this cfg.Repetitions times.
func Run(ctx context.Context, cfg Config) ([]Outcome, error) {
	wl, ok := workloads[cfg.Workload]
	if !ok {
		return nil, fmt.Errorf("experiment: workload %q is not one of consortium, cedarwick", cfg.Workload)
	}

	var out []Outcome
	for rep := range cfg.Repetitions {
		for _, po := range Policies() {
			if !isSelected(cfg.Policies, po.Name) {
				continue
			}
			oc, err := runOnce(ctx, wl, po, cfg.Duration)
			if err != nil {
				return nil, fmt.Errorf("experiment: policy %s, repetition %d: %w", po.Name, rep+1, err)
			}
			fmt.Fprintf(cfg.Out, "%-14s rep %d  idle %.2f s/step  worst share %.0f%%  lookup p99 %.1f ms  goodput %.0f/s  amplification %.2f  stale %.0f%%  broken %d\n",
				oc.Policy, rep+1, oc.IdleSecondsPerStep, 100*oc.WorstShare, oc.LookupP99, oc.Goodput, oc.Amplification, 100*oc.StaleShare, oc.Violations)
			out = append(out, oc)
		}
	}

	return out, nil
}

// isSelected reports whether name is selected; an empty list selects all names.
func isSelected(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}

	return len(names) == 0
}

// trial is one run of one policy.
type trial struct {
	workload   workload
	deployment *deployment.Deployment
	tokens     map[string]string

	mu            sync.Mutex
	completedBy   map[string]int // completed requests by workspace
	lookupTimes   []time.Duration
	idleTime      time.Duration
	steps         int
	samples       int
	staleSamples  int
	violations    int
	pushedVersion int
	hasEnded      bool
	completed     int
}

const trainerWorkspace = "trainer"

func (wl workload) declarations() *declaration.Set {
	set := declaration.NewSet()
	names := []string{trainerWorkspace, "greedy", "crew"}
	for i := range wl.fairWorkspaces {
		names = append(names, fmt.Sprint("fair", i))
	}
	for _, w := range names {
		wo := declaration.Workspace{}
		if w == trainerWorkspace {
			wo.Weight = 4 // as in the example configurations of both deployments
		}
		wo.Defaults()
		set.Workspaces[w] = wo
	}
	mo := declaration.Model{StalenessBound: 1, SwapWave: 2}
	mo.Defaults()
	set.Models["m"] = mo
	set.Versions["m@v1"] = declaration.Version{Model: "m", Name: "v1", Sequence: 1}
	set.Trainers["t"] = declaration.Trainer{Workspace: trainerWorkspace, Model: "m", StalenessBound: 1, StepTimeoutMs: 60_000}
	for n, ro := range map[string]declaration.Route{
		"m":      {Model: "m", Repeatable: true, Class: declaration.ClassRollout, TimeoutMs: 20_000},
		"lookup": {Service: "s", Class: declaration.ClassLookup, TimeoutMs: 2000},
	} {
		ro.Defaults()
		set.Routes[n] = ro
	}

	return set
}

func runOnce(ctx context.Context, wl workload, po Policy, d time.Duration) (Outcome, error) {
	folder, err := os.MkdirTemp("", "tamarackbay-experiment-")
	if err != nil {
		return Outcome{}, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	ctx, cancel := context.WithTimeout(ctx, d+time.Minute)
	defer cancel()

	de, err := deployment.Start(ctx, deployment.Config{
		Gateways: 3, Folder: folder, Declarations: wl.declarations(), StoreLimit: 2, NoOrdering: true, NoUsage: true, ServiceDelay: 2 * time.Millisecond,
		Engine: fake.EngineConfig{
			Version: "v1", TokenTime: 3 * time.Millisecond, PrefillTime: 15 * time.Millisecond, SwapTime: 150 * time.Millisecond,
			CacheSize: 32, RestartDelay: 800 * time.Millisecond, StraggleEvery: 61,
		},
		AdjustSettings: func(se *settings.Gateway) { se.Policy = po.Settings },
	})
	if err != nil {
		return Outcome{}, err
	}
	defer de.Close()

	tr := &trial{workload: wl, deployment: de, tokens: map[string]string{}, completedBy: map[string]int{}, pushedVersion: 1}
	if err := tr.setUp(ctx); err != nil {
		return Outcome{}, err
	}

	return tr.measure(ctx, po.Name, d)
}

// setUp issues the keys, starts the backend servers and waits until they are ready.
func (tr *trial) setUp(ctx context.Context) error {
	names := []string{trainerWorkspace, "greedy", "crew"}
	for i := range tr.workload.fairWorkspaces {
		names = append(names, fmt.Sprint("fair", i))
	}
	for _, w := range names {
		_, token, err := tr.deployment.IssueKey(ctx, w)
		if err != nil {
			return err
		}
		tr.tokens[w] = token
	}
	domains := []string{"a", "b", "c"}
	for i := range tr.workload.engines {
		cl := declaration.Class{Model: "m", Slots: 6}
		if err := tr.deployment.StartServer(fmt.Sprint("engine-", i), "engine", cl, domains[i%3], ""); err != nil {
			return err
		}
	}
	for i := range tr.workload.services {
		cl := declaration.Class{Service: "s", Slots: 16}
		if err := tr.deployment.StartServer(fmt.Sprint("service-", i), "service", cl, domains[i%3], ""); err != nil {
			return err
		}
	}
	if err := tr.deployment.WaitForReadyServers(ctx, "m", tr.workload.engines, "v1"); err != nil {
		return err
	}

	return tr.deployment.WaitForReadyServers(ctx, "s", tr.workload.services, "")
}

// measure runs the load and the fault script for d.
func (tr *trial) measure(ctx context.Context, policy string, d time.Duration) (Outcome, error) {
	rctx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	run := func(f func(context.Context)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(rctx)
		}()
	}
	for i := range tr.workload.fairWorkspaces {
		tr.runCompletions(run, fmt.Sprint("fair", i), tr.workload.concurrency)
	}
	tr.runCompletions(run, "greedy", tr.workload.concurrency*tr.workload.greedyFactor)
	for i := range tr.workload.lookupCallers {
		run(func(ctx context.Context) { tr.runLookups(ctx, i) })
	}
	run(tr.runTrainer)
	run(func(ctx context.Context) { tr.injectFaults(ctx, d) })

	time.Sleep(d)
	stop()
	tr.mu.Lock()
	tr.hasEnded = true
	tr.mu.Unlock()
	wg.Wait()

	return tr.outcome(policy, d), nil
}

// runCompletions keeps n completions of a workspace in flight.
func (tr *trial) runCompletions(run func(func(context.Context)), workspace string, n int) {
	for i := range n {
		run(func(ctx context.Context) {
			cl := tr.deployment.Client(tr.tokens[workspace], i)
			for k := 0; ctx.Err() == nil; k++ {
				_, err := cl.Complete(ctx, client.CompletionRequest{
					Model: "m", Prompt: fmt.Sprintf("%s asks %d of %d", workspace, k%5, i), MaxTokens: tr.workload.maxTokens, Seed: uint64(i*10_000 + k),
				})
				if err == nil {
					tr.mu.Lock()
					tr.completedBy[workspace]++
					tr.completed++
					tr.mu.Unlock()
				}
			}
		})
	}
}

// runLookups sends lookups one after the other and records their latencies.
func (tr *trial) runLookups(ctx context.Context, i int) {
	cl := tr.deployment.Client(tr.tokens["crew"], i)
	for k := 0; ctx.Err() == nil; k++ {
		key := fmt.Sprintf("lookup-%d-%d", i, k)
		at := time.Now()
		if _, err := cl.Call(ctx, "POST", "lookup", "/"+key, nil, key); err == nil {
			tr.mu.Lock()
			tr.lookupTimes = append(tr.lookupTimes, time.Since(at))
			tr.mu.Unlock()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// runTrainer runs steps one after the other. The trainer is idle while it waits for samples.
func (tr *trial) runTrainer(ctx context.Context) {
	cl := tr.deployment.Client(tr.tokens[trainerWorkspace], 0)
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("s%d", n)
		st := client.Step{ID: id, Trainer: "t"}
		for g := range tr.workload.groups {
			st.Groups = append(st.Groups, client.Group{ID: fmt.Sprint("g", g), Prompt: fmt.Sprintf("%s prompt %d", id, g), Samples: tr.workload.samplesPerGroup, MaxTokens: tr.workload.maxTokens})
		}
		at := time.Now()
		seen := map[string]int{}
		behind := 0
		tr.mu.Lock()
		latest := tr.pushedVersion
		tr.mu.Unlock()
		err := cl.OpenStep(ctx, st)
		if err == nil {
			err = cl.Samples(ctx, id, func(ss []client.Sample) error {
				for _, s := range ss {
					seen[s.ID]++
					lag := latest - oldestVersion(s)
					if lag > 0 {
						behind++
					}
					if lag > 1 {
						tr.countViolation()
					}
				}
				tr.mu.Lock()
				latest = tr.pushedVersion
				tr.mu.Unlock()

				return nil
			})
		}
		if err != nil {
			continue // not counted; usually the end of the run interrupted the step
		}
		tr.recordStep(time.Since(at), seen, behind)
		time.Sleep(100 * time.Millisecond) // stands for the training itself
	}
}

// oldestVersion returns the number of the oldest weight version that generated part of s.
func oldestVersion(s client.Sample) int {
	low := 0
	for _, vr := range s.Versions {
		var n int
		if _, err := fmt.Sscanf(vr.Version, "v%d", &n); err == nil && (low == 0 || n < low) {
			low = n
		}
	}

	return low
}

func (tr *trial) countViolation() {
	tr.mu.Lock()
	defer tr.mu.Unlock()

	tr.violations++
}

// recordStep records the samples of a complete step, unless the run has ended.
func (tr *trial) recordStep(idle time.Duration, seen map[string]int, behind int) {
	tr.mu.Lock()
	defer tr.mu.Unlock()

	if tr.hasEnded {
		return
	}
	tr.idleTime += idle
	tr.steps++
	tr.samples += len(seen)
	tr.staleSamples += behind
	tr.completed += len(seen)
	if len(seen) != tr.workload.groups*tr.workload.samplesPerGroup {
		tr.violations++
	}
	for _, n := range seen {
		if n != 1 {
			tr.violations++
		}
	}
}

// injectFaults injects the same failures at the same fractions of every run.
func (tr *trial) injectFaults(ctx context.Context, d time.Duration) {
	push := func() {
		tr.mu.Lock()
		n := tr.pushedVersion + 1
		tr.mu.Unlock()
		cl := tr.deployment.Client(tr.tokens[trainerWorkspace], 1)
		if cl.PushVersion(ctx, "m", fmt.Sprint("v", n), "x") == nil {
			tr.mu.Lock()
			tr.pushedVersion = n
			tr.mu.Unlock()
		}
	}
	script := []struct {
		fraction float64
		inject   func()
	}{
		{0.15, push},
		{0.30, func() { tr.deployment.Engines()["engine-0"].Crash() }},
		{0.45, func() {
			tr.deployment.Engines()["engine-1"].FailSwaps(2)
			push()
		}},
		{0.60, func() {
			i := (tr.deployment.Leader() + 3) % 3
			tr.deployment.KillGateway(i)
			time.Sleep(500 * time.Millisecond)
			_ = tr.deployment.StartGateway(i) // if this fails, the run continues with two gateways
		}},
		{0.80, func() { tr.deployment.Engines()["engine-2"].SetExtraTokenTime(20 * time.Millisecond) }},
	}
	began := time.Now()
	for _, s := range script {
		select {
		case <-time.After(time.Until(began.Add(time.Duration(s.fraction * float64(d))))):
			s.inject()
		case <-ctx.Done():
			return
		}
	}
}

func (tr *trial) outcome(policy string, d time.Duration) Outcome {
	tr.mu.Lock()
	defer tr.mu.Unlock()

	oc := Outcome{Policy: policy, Steps: tr.steps, Violations: tr.violations + tr.repeatedLookups()}
	if tr.steps > 0 {
		oc.IdleSecondsPerStep = tr.idleTime.Seconds() / float64(tr.steps)
	} else {
		oc.IdleSecondsPerStep = d.Seconds()
	}
	// The weights are equal and each of these workspaces requests more than its
	// share, so the fair share is the mean.
	total, worst := 0, -1
	for i := range tr.workload.fairWorkspaces {
		n := tr.completedBy[fmt.Sprint("fair", i)]
		total += n
		if worst < 0 || n < worst {
			worst = n
		}
	}
	total += tr.completedBy["greedy"]
	oc.WorstShare = float64(worst) / max(1, float64(total)/float64(tr.workload.fairWorkspaces+1))
	oc.LookupP99 = quantile.Milliseconds(tr.lookupTimes, 0.99)
	oc.Goodput = float64(tr.completed) / d.Seconds()
	runs := 0
	for _, en := range tr.deployment.AllEngines() {
		runs += len(en.Runs())
	}
	oc.Amplification = float64(runs) / float64(max(tr.completed, 1))
	oc.StaleShare = float64(tr.staleSamples) / float64(max(tr.samples, 1))

	return oc
}

// repeatedLookups counts the lookups that ran more than once according to the services' records.
func (tr *trial) repeatedLookups() int {
	runs := map[string]int{}
	for _, sv := range tr.deployment.Services() {
		for _, r := range sv.Runs() {
			runs[r.Path]++
		}
	}
	n := 0
	for p, c := range runs {
		if c > 1 && p != "/healthz" {
			n++
		}
	}

	return n
}
