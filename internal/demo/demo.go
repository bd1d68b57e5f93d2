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
	runLimit      = 55 * time.Second
	steps         = 5
	groups        = 12 // of a step
	perGroup      = 8  // samples of a group
	windowSeconds = 3  // of usage
	engineStartup = 200 * time.Millisecond
)

// world is the state of one run.
type world struct {
	out   io.Writer
	de    *deployment.Deployment
	set   *declaration.Set
	start time.Time
	names names

	mu        sync.Mutex
	samples   []delivered
	pushed    []string              // weight versions in the order of their acceptance
	idle      time.Duration         // time that the trainer waited for samples
	busy      time.Duration         // time that the trainer computed
	calls     map[string]*callCount // by workspace
	refused   int                   // requests with the withdrawn key that were refused
	withdrawn int                   // requests with the withdrawn key that were served after the revocation bound
	secrets   []string              // of all issued keys
}

// names holds the names of a deployment's objects that the run uses.
type names struct {
	trainer, trainerWorkspace, model, service, onceRoute, repeatRoute, sampler string
	callers                                                                    []string
}

var deployments = map[string]names{
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
	step   string
	latest int // number of versions accepted before the page was requested
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

	wo := &world{out: cfg.Out, start: time.Now(), names: nm, calls: map[string]*callCount{}}
	if wo.set, err = declarations(cfg.Deployment); err != nil {
		return err
	}
	wo.say("starting three gateways and the stand-ins, applying the declarations of %s", cfg.Deployment)
	wo.de, err = deployment.Start(ctx, deployment.Config{
		Gateways: 3, Folder: folder, Declarations: wo.set, StoreLimit: 3, Startup: engineStartup, ServiceDelay: 2 * time.Millisecond,
		Engine: fake.EngineConfig{
			TokenTime: 4 * time.Millisecond, PrefillTime: 10 * time.Millisecond, SwapTime: 150 * time.Millisecond,
			CacheSize: 64, Downtime: time.Second, Straggle: 97,
		},
		Tune: func(se *settings.Gateway) {
			se.Times.LeaseMs, se.Times.MaxCallMs = 1500, 500
		},
	})
	if err != nil {
		return err
	}
	defer wo.de.Close()

	if err := wo.scenario(ctx); err != nil {
		return fmt.Errorf("demo: %w", err)
	}

	return wo.report(ctx)
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

// say prints a line with the time since the start.
func (wo *world) say(format string, args ...any) {
	fmt.Fprintf(wo.out, "%6.2fs  %s\n", time.Since(wo.start).Seconds(), fmt.Sprintf(format, args...))
}

// scenario issues the keys, waits for the fleet, and runs the callers next to the trainer.
func (wo *world) scenario(ctx context.Context) error {
	tokens := map[string]string{}
	for _, w := range append([]string{wo.names.trainerWorkspace}, wo.names.callers...) {
		_, token, err := wo.de.IssueKey(ctx, w)
		if err != nil {
			return err
		}
		_, secret, _ := declaration.ParseToken(token)
		tokens[w], wo.secrets = token, append(wo.secrets, secret)
	}
	tr := wo.de.Client(tokens[wo.names.trainerWorkspace], 0)
	if err := wo.push(ctx, tr, "v1"); err != nil {
		return err
	}
	wo.say("keys issued, weight version v1 declared; waiting for the fleet to order backend servers")
	if err := wo.de.WaitServers(ctx, wo.names.model, 6, "v1"); err != nil {
		return err
	}
	if err := wo.de.WaitServers(ctx, wo.names.service, 3, ""); err != nil {
		return err
	}
	wo.say("6 engines serve v1, 3 plain services are ready")

	cctx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var wg sync.WaitGroup
	for i, w := range wo.names.callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			wo.callLoop(cctx, w, wo.de.Client(tokens[w], i))
		}()
	}
	err := wo.train(ctx, tr)
	if err == nil {
		err = wo.withdraw(ctx)
	}
	stopCallers()
	wg.Wait()

	return err
}

// train runs the steps and injects a fault into some of them.
func (wo *world) train(ctx context.Context, tr *client.Client) error {
	for n := 1; n <= steps; n++ {
		id := fmt.Sprintf("step-%d", n)
		began := time.Now()
		if err := tr.OpenStep(ctx, wo.newStep(id)); err != nil {
			return err
		}
		fault := time.AfterFunc(80*time.Millisecond, func() { wo.fault(ctx, n, tr) })
		err := wo.collect(ctx, tr, id)
		fault.Stop()
		if err != nil {
			return fmt.Errorf("%s: %w", id, err)
		}
		wo.say("%s complete: %d samples in %v", id, groups*perGroup, time.Since(began).Round(time.Millisecond))
		wo.mu.Lock()
		wo.idle += time.Since(began)
		wo.mu.Unlock()
		wo.work(100 * time.Millisecond)
	}

	return nil
}

// work simulates the trainer's own computation.
func (wo *world) work(d time.Duration) {
	time.Sleep(d)
	wo.mu.Lock()
	wo.busy += d
	wo.mu.Unlock()
}

func (wo *world) newStep(id string) client.Step {
	st := client.Step{ID: id, Trainer: wo.names.trainer}
	for g := range groups {
		st.Groups = append(st.Groups, client.Group{
			ID: fmt.Sprintf("g%02d", g), Prompt: fmt.Sprintf("%s prompt %d: adjust and explain", id, g), Samples: perGroup, MaxTokens: 48,
		})
	}

	return st
}

// fault injects the fault that step n must survive.
func (wo *world) fault(ctx context.Context, n int, tr *client.Client) {
	switch n {
	case 2:
		if err := wo.push(ctx, tr, "v2"); err != nil {
			wo.say("push of v2 failed: %v", err)
		}
		wo.say("weight version v2 accepted in the middle of a step")
	case 3:
		if i := wo.de.Leader(); i >= 0 {
			wo.say("killing gateway %d, which leads the group", i+1)
			wo.de.KillGateway(i)
			time.AfterFunc(2*time.Second, func() {
				if ctx.Err() != nil {
					return
				}
				if err := wo.de.StartGateway(i); err != nil {
					wo.say("gateway %d did not start: %v", i+1, err)
				}
				wo.say("gateway %d is running again", i+1)
			})
		}
	case 4:
		for name, en := range wo.de.Engines() {
			wo.say("crashing engine %s", name)
			en.Crash()

			break
		}
		if err := wo.push(ctx, tr, "v3"); err != nil {
			wo.say("push of v3 failed: %v", err)
		}
	}
}

// push declares a weight version and records it once it was accepted.
func (wo *world) push(ctx context.Context, tr *client.Client, version string) error {
	if err := tr.PushVersion(ctx, wo.names.model, version, "store://"+wo.names.model+"/"+version); err != nil {
		return err
	}
	wo.mu.Lock()
	wo.pushed = append(wo.pushed, version)
	wo.mu.Unlock()

	return nil
}

// latest returns the number of accepted weight versions.
func (wo *world) latest() int {
	wo.mu.Lock()
	defer wo.mu.Unlock()

	return len(wo.pushed)
}

// collect records the samples of a step as their pages are delivered.
func (wo *world) collect(ctx context.Context, tr *client.Client, id string) error {
	latest := wo.latest()

	return tr.Samples(ctx, id, func(ss []client.Sample) error {
		wo.mu.Lock()
		for _, s := range ss {
			wo.samples = append(wo.samples, delivered{Sample: s, step: id, latest: latest})
		}
		wo.mu.Unlock()
		latest = wo.latest()

		return nil
	})
}

// callLoop sends calls of one workspace until ctx ends: alternately one that must run at
// most once and one that may be repeated.
func (wo *world) callLoop(ctx context.Context, workspace string, cl *client.Client) {
	for n := 0; ctx.Err() == nil; n++ {
		key := fmt.Sprintf("%s-%d", workspace, n)
		began := time.Now()
		cctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
		var err error
		if n%2 == 0 {
			_, err = cl.Call(cctx, "POST", wo.names.onceRoute, "/visit?call="+key, []byte(`{"visit":"`+key+`"}`), key)
		} else {
			_, err = cl.Call(cctx, "GET", wo.names.repeatRoute, "/item/"+key, nil, "")
		}
		cancel()
		wo.mu.Lock()
		cc, ok := wo.calls[workspace]
		if !ok {
			cc = &callCount{}
			wo.calls[workspace] = cc
		}
		if err != nil {
			cc.failed++
		} else {
			cc.ok++
			cc.latencies = append(cc.latencies, time.Since(began))
		}
		wo.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// withdraw issues, uses and withdraws a key, and 2 s later tries it at every gateway.
func (wo *world) withdraw(ctx context.Context) error {
	id, token, err := wo.de.IssueKey(ctx, wo.names.callers[0])
	if err != nil {
		return err
	}
	_, secret, _ := declaration.ParseToken(token)
	wo.secrets = append(wo.secrets, secret)
	cl := wo.de.Client(token, 0)
	if err := deployment.Until(ctx, func() error {
		_, err := cl.Call(ctx, "GET", wo.names.repeatRoute, "/before", nil, "")

		return err
	}); err != nil {
		return err
	}
	if err := wo.de.Operate(ctx, "POST", "/v1/keys/"+id+"/withdraw", nil, nil); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	for _, u := range wo.de.URLs() {
		one := client.New(client.Config{Gateways: []string{u}, Token: token})
		cctx, cancel := context.WithTimeout(ctx, time.Second)
		_, err := one.Call(cctx, "GET", wo.names.repeatRoute, "/after-withdrawal", nil, "")
		cancel()
		if err == nil {
			wo.withdrawn++
		} else {
			wo.refused++
		}
	}
	wo.say("a key was withdrawn: %d of %d gateways refused it 2 s later", wo.refused, len(wo.de.URLs()))

	return nil
}
