// Package demo runs a deployment of the brief in one process: several steps of a
// trainer with a change of weights, callers beside it, the loss of a gateway and
// of an engine. It ends with the five measures and a line for each promise,
// checked from the records of the stand-ins.
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

// Config describes a run.
type Config struct {
	Deployment string // consortium or cedarwick
	Out        io.Writer
}

const (
	runLimit      = 55 * time.Second
	steps         = 5
	groups        = 12
	perGroup      = 8
	windowSeconds = 3
	engineStartup = 200 * time.Millisecond
)

// world is what one run knows.
type world struct {
	out   io.Writer
	de    *deployment.Deployment
	set   *declaration.Set
	start time.Time
	names names

	mu        sync.Mutex
	samples   []delivered
	pushed    []string // versions in the order of their acceptance
	idle      time.Duration
	busy      time.Duration
	calls     map[string]*callCount
	refused   int // uses of the withdrawn key that were refused
	withdrawn int // uses of the withdrawn key after the bound that were served
	secrets   []string
}

// names are the nouns of a deployment that the run uses.
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

// delivered is a sample with what was known when its page was asked for.
type delivered struct {
	client.Sample
	step   string
	latest int // versions accepted before the page was asked for
}

type callCount struct {
	ok, failed int
	latencies  []time.Duration
}

// Run runs the demo and returns an error when a promise was broken.
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
	wo.say("starting three gateways, the stand-ins and the declarations of %s", cfg.Deployment)
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

// declarations returns the example of a deployment with the times of a demo.
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

func (wo *world) say(format string, args ...any) {
	fmt.Fprintf(wo.out, "%6.2fs  %s\n", time.Since(wo.start).Seconds(), fmt.Sprintf(format, args...))
}

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
	wo.say("keys issued, weights v1 declared; waiting for the fleet to order backend servers")
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

// train runs the steps with the faults between and within them.
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
		wo.say("%s whole: %d samples in %v", id, groups*perGroup, time.Since(began).Round(time.Millisecond))
		wo.mu.Lock()
		wo.idle += time.Since(began)
		wo.mu.Unlock()
		wo.work(100 * time.Millisecond)
	}

	return nil
}

// work stands for the trainer's own computation.
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

// fault brings about what step n is to survive.
func (wo *world) fault(ctx context.Context, n int, tr *client.Client) {
	switch n {
	case 2:
		if err := wo.push(ctx, tr, "v2"); err != nil {
			wo.say("push of v2 failed: %v", err)
		}
		wo.say("weights v2 accepted in the middle of a step")
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
				wo.say("gateway %d is back", i+1)
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

func (wo *world) push(ctx context.Context, tr *client.Client, version string) error {
	if err := tr.PushVersion(ctx, wo.names.model, version, "store://"+wo.names.model+"/"+version); err != nil {
		return err
	}
	wo.mu.Lock()
	wo.pushed = append(wo.pushed, version)
	wo.mu.Unlock()

	return nil
}

func (wo *world) latest() int {
	wo.mu.Lock()
	defer wo.mu.Unlock()

	return len(wo.pushed)
}

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

// callLoop sends calls of one workspace until ctx ends.
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

// withdraw takes a key back while its holder streams, and uses it at every gateway.
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
	wo.say("a key was withdrawn: refused at %d of %d gateways 2 s later", wo.refused, len(wo.de.URLs()))

	return nil
}
