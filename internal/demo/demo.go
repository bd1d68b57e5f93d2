// Package demo runs one of the example deployments in one process: a trainer runs several
// steps while its weights change, callers send requests at the same time, a gateway is
// killed and an engine crashes. It then prints the five measures and one line for each
// promise, which is checked against the records of the stand-ins.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/tamarackbay/tamarackbay/examples"
	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/deployment"
	"github.com/tamarackbay/tamarackbay/internal/fake"
	"github.com/tamarackbay/tamarackbay/internal/settings"
	"github.com/tamarackbay/tamarackbay/pkg/client"
)

// Config describes a run of the demo.
type Config struct {
	Deployment string // consortium or cedarwick
	Out        io.Writer
}

const (
	runLimit        = 55 * time.Second
	steps           = 5
	groupsPerStep   = 12
	samplesPerGroup = 8
	windowSeconds   = 3 // length of a usage window
	engineStartup   = 200 * time.Millisecond
)

// demoRun is the state of one run.
type demoRun struct {
	out   io.Writer
	de    *deployment.Deployment
	set   *declaration.Set
	start time.Time
	names objectNames

	mu                     sync.Mutex
	samples                []delivered
	acceptedVersions       []string              // weight versions in the order of their acceptance
	idle                   time.Duration         // time that the trainer waited for samples
	busy                   time.Duration         // time that the trainer computed
	calls                  map[string]*callCount // by workspace
	refusedAfterWithdrawal int                   // requests with the withdrawn key that were refused
	servedAfterWithdrawal  int                   // requests with the withdrawn key that were served 2 s later
	secrets                []string              // of all issued keys
}

// objectNames holds the names of a deployment's objects that the run uses.
type objectNames struct {
	trainer, trainerWorkspace, model, service, onceRoute, repeatRoute, sampler string
	callers                                                                    []string
}

var deployments = map[string]objectNames{
	"consortium": {
		trainer: "nozzle-tuner", trainerWorkspace: "kunene", model: "nozzle", service: "pole-registry",
		onceRoute: "pole-status", repeatRoute: "ledger-record", sampler: "sampler",
		callers: []string{"kunene", "namib", "brandberg", "erongo", "swakop", "ugab", "hoanib", "huab"},
	},
	"cedarwick": {
		trainer: "layout-assistant", trainerWorkspace: "training", model: "layout", service: "storefront",
		onceRoute: "place-order", repeatRoute: "preview", sampler: "sampler",
		callers: []string{"storefront", "billing"},
	},
}

// delivered is a sample with the state at the time when its page was requested.
type delivered struct {
	client.Sample
	step          string
	acceptedCount int // number of versions accepted before the page was requested
}

// callCount counts the calls of one workspace.
type callCount struct {
	ok, failed int
	latencies  []time.Duration
}

// Run runs the demo. It returns an error if a promise was broken.
func Run(ctx context.Context, cfg Config) error {
	nm, ok := deployments[cfg.Deployment]
	if !ok {
		return fmt.Errorf("demo: deployment %q is not one of consortium, cedarwick", cfg.Deployment)
	}
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()

	folder, err := os.MkdirTemp("", "tamarackbay-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()

	dr := &demoRun{out: cfg.Out, start: time.Now(), names: nm, calls: map[string]*callCount{}}
	if dr.set, err = declarations(cfg.Deployment); err != nil {
		return err
	}
	dr.logf("starting three gateways and the stand-ins, applying the declarations of %s", cfg.Deployment)
	dr.de, err = deployment.Start(ctx, deployment.Config{
		Gateways: 3, Folder: folder, Declarations: dr.set, StoreLimit: 3, ServerStartup: engineStartup, ServiceDelay: 2 * time.Millisecond,
		Engine: fake.EngineConfig{
			TokenTime: 4 * time.Millisecond, PrefillTime: 10 * time.Millisecond, SwapTime: 150 * time.Millisecond,
			CacheSize: 64, RestartDelay: time.Second, StraggleEvery: 97,
		},
		AdjustSettings: func(se *settings.Gateway) {
			se.Times.LeaseMs, se.Times.MaxCallMs = 1500, 500
		},
	})
	if err != nil {
		return err
	}
	defer dr.de.Close()

	if err := dr.scenario(ctx); err != nil {
		return fmt.Errorf("demo: %w", err)
	}

	return dr.report(ctx)
}

// declarations returns the example declarations of a deployment, with shorter times.
func declarations(name string) (*declaration.Set, error) {
	set, err := declaration.ReadFolder(examples.Files, name)
	if err != nil {
		return nil, err
	}
	set.Windows[declaration.WindowName] = declaration.Window{LengthSeconds: windowSeconds, GraceSeconds: 2}
	for n, cl := range set.Classes {
		cl.StartupMs = int(engineStartup.Milliseconds()) * 5
		set.Classes[n] = cl
	}
	for n, fl := range set.Fleet {
		fl.IdleMs = 4000
		if n == "sampler" {
			fl.MinPerDomain = max(fl.MinPerDomain, 2)
		}
		set.Fleet[n] = fl
	}

	return set, nil
}

// logf prints a line with the time since the start.
func (dr *demoRun) logf(format string, args ...any) {
	fmt.Fprintf(dr.out, "%6.2fs  %s\n", time.Since(dr.start).Seconds(), fmt.Sprintf(format, args...))
}

// scenario issues the keys, waits for the fleet, and runs the callers next to the trainer.
func (dr *demoRun) scenario(ctx context.Context) error {
	tokens := map[string]string{}
	for _, w := range append([]string{dr.names.trainerWorkspace}, dr.names.callers...) {
		_, token, err := dr.de.IssueKey(ctx, w)
		if err != nil {
			return err
		}
		_, secret, _ := declaration.ParseToken(token)
		tokens[w], dr.secrets = token, append(dr.secrets, secret)
	}
	tr := dr.de.Client(tokens[dr.names.trainerWorkspace], 0)
	if err := dr.pushVersion(ctx, tr, "v1"); err != nil {
		return err
	}
	dr.logf("keys issued, weight version v1 declared; waiting for the fleet to order backend servers")
	if err := dr.de.WaitForReadyServers(ctx, dr.names.model, 6, "v1"); err != nil {
		return err
	}
	if err := dr.de.WaitForReadyServers(ctx, dr.names.service, 3, ""); err != nil {
		return err
	}
	dr.logf("6 engines serve v1, 3 plain services are ready")

	cctx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var wg sync.WaitGroup
	for i, w := range dr.names.callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			dr.callLoop(cctx, w, dr.de.Client(tokens[w], i))
		}()
	}
	err := dr.train(ctx, tr)
	if err == nil {
		err = dr.withdrawKey(ctx)
	}
	stopCallers()
	wg.Wait()

	return err
}

// train runs the steps and injects a fault into some of them.
func (dr *demoRun) train(ctx context.Context, tr *client.Client) error {
	for n := 1; n <= steps; n++ {
		id := fmt.Sprintf("step-%d", n)
		began := time.Now()
		if err := tr.OpenStep(ctx, dr.newStep(id)); err != nil {
			return err
		}
		fault := time.AfterFunc(80*time.Millisecond, func() { dr.injectFault(ctx, n, tr) })
		err := dr.collectSamples(ctx, tr, id)
		fault.Stop()
		if err != nil {
			return fmt.Errorf("%s: %w", id, err)
		}
		dr.logf("%s complete: %d samples in %v", id, groupsPerStep*samplesPerGroup, time.Since(began).Round(time.Millisecond))
		dr.mu.Lock()
		dr.idle += time.Since(began)
		dr.mu.Unlock()
		dr.simulateWork(100 * time.Millisecond)
	}

	return nil
}

// simulateWork simulates the trainer's own computation.
func (dr *demoRun) simulateWork(d time.Duration) {
	time.Sleep(d)
	dr.mu.Lock()
	dr.busy += d
	dr.mu.Unlock()
}

func (dr *demoRun) newStep(id string) client.Step {
	st := client.Step{ID: id, Trainer: dr.names.trainer}
	for g := range groupsPerStep {
		st.Groups = append(st.Groups, client.Group{
			ID: fmt.Sprintf("g%02d", g), Prompt: fmt.Sprintf("%s prompt %d: adjust and explain", id, g), Samples: samplesPerGroup, MaxTokens: 48,
		})
	}

	return st
}

// injectFault injects the fault that step n must survive, if any.
func (dr *demoRun) injectFault(ctx context.Context, n int, tr *client.Client) {
	switch n {
	case 2:
		if err := dr.pushVersion(ctx, tr, "v2"); err != nil {
			dr.logf("push of v2 failed: %v", err)
		}
		dr.logf("weight version v2 accepted in the middle of a step")
	case 3:
		if i := dr.de.Leader(); i >= 0 {
			dr.logf("killing gateway %d, which leads the group", i+1)
			dr.de.KillGateway(i)
			time.AfterFunc(2*time.Second, func() {
				if ctx.Err() != nil {
					return
				}
				if err := dr.de.StartGateway(i); err != nil {
					dr.logf("gateway %d did not start: %v", i+1, err)
				}
				dr.logf("gateway %d is running again", i+1)
			})
		}
	case 4:
		for name, en := range dr.de.Engines() {
			dr.logf("crashing engine %s", name)
			en.Crash()

			break
		}
		if err := dr.pushVersion(ctx, tr, "v3"); err != nil {
			dr.logf("push of v3 failed: %v", err)
		}
	}
}

// pushVersion declares a weight version and records it once it was accepted.
func (dr *demoRun) pushVersion(ctx context.Context, tr *client.Client, version string) error {
	if err := tr.PushVersion(ctx, dr.names.model, version, "store://"+dr.names.model+"/"+version); err != nil {
		return err
	}
	dr.mu.Lock()
	dr.acceptedVersions = append(dr.acceptedVersions, version)
	dr.mu.Unlock()

	return nil
}

// acceptedCount returns the number of accepted weight versions.
func (dr *demoRun) acceptedCount() int {
	dr.mu.Lock()
	defer dr.mu.Unlock()

	return len(dr.acceptedVersions)
}

// collectSamples records the samples of a step as their pages are delivered.
func (dr *demoRun) collectSamples(ctx context.Context, tr *client.Client, id string) error {
	latest := dr.acceptedCount()

	return tr.Samples(ctx, id, func(ss []client.Sample) error {
		dr.mu.Lock()
		for _, s := range ss {
			dr.samples = append(dr.samples, delivered{Sample: s, step: id, acceptedCount: latest})
		}
		dr.mu.Unlock()
		latest = dr.acceptedCount()

		return nil
	})
}

// callLoop sends calls of one workspace until ctx ends: alternately one that must run at
// most once and one that may be repeated.
func (dr *demoRun) callLoop(ctx context.Context, workspace string, cl *client.Client) {
	for n := 0; ctx.Err() == nil; n++ {
		key := fmt.Sprintf("%s-%d", workspace, n)
		began := time.Now()
		cctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
		var err error
		if n%2 == 0 {
			_, err = cl.Call(cctx, "POST", dr.names.onceRoute, "/visit?call="+key, []byte(`{"visit":"`+key+`"}`), key)
		} else {
			_, err = cl.Call(cctx, "GET", dr.names.repeatRoute, "/item/"+key, nil, "")
		}
		cancel()
		dr.mu.Lock()
		cc, ok := dr.calls[workspace]
		if !ok {
			cc = &callCount{}
			dr.calls[workspace] = cc
		}
		if err != nil {
			cc.failed++
		} else {
			cc.ok++
			cc.latencies = append(cc.latencies, time.Since(began))
		}
		dr.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// withdrawKey issues, uses and withdraws a key, and 2 s later tries it at every gateway.
func (dr *demoRun) withdrawKey(ctx context.Context) error {
	id, token, err := dr.de.IssueKey(ctx, dr.names.callers[0])
	if err != nil {
		return err
	}
	_, secret, _ := declaration.ParseToken(token)
	dr.secrets = append(dr.secrets, secret)
	cl := dr.de.Client(token, 0)
	if err := deployment.RetryUntil(ctx, func() error {
		_, err := cl.Call(ctx, "GET", dr.names.repeatRoute, "/before", nil, "")

		return err
	}); err != nil {
		return err
	}
	if err := dr.de.CallOperators(ctx, "POST", "/v1/keys/"+id+"/withdraw", nil, nil); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	for _, u := range dr.de.URLs() {
		one := client.New(client.Config{Gateways: []string{u}, Token: token})
		cctx, cancel := context.WithTimeout(ctx, time.Second)
		_, err := one.Call(cctx, "GET", dr.names.repeatRoute, "/after-withdrawal", nil, "")
		cancel()
		if err == nil {
			dr.servedAfterWithdrawal++
		} else {
			dr.refusedAfterWithdrawal++
		}
	}
	dr.logf("a key was withdrawn: %d of %d gateways refused it 2 s later", dr.refusedAfterWithdrawal, len(dr.de.URLs()))

	return nil
}
