package endtoend_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/deployment"
	"github.com/tamarackbay/tamarackbay/internal/fake"
	"github.com/tamarackbay/tamarackbay/internal/usage"
	"github.com/tamarackbay/tamarackbay/pkg/client"
)

// startStreamLoad sends streaming requests from concurrent workers through all gateways until
// stop is called. stop returns the number of completed streams and the errors of the others.
func (st *setup) startStreamLoad(workers int) (stop func() (int64, []error)) {
	var completed atomic.Int64
	var mu sync.Mutex
	var errs []error
	done := make(chan struct{})
	var wg sync.WaitGroup
	for w := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			cl := st.Client(st.token["alpha"], w)
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				_, err := cl.Stream(st.ctx, client.CompletionRequest{Model: "m", Prompt: fmt.Sprintf("%d %d", w, n), MaxTokens: 64}, func(string) {})
				if err == nil {
					completed.Add(1)
				} else {
					mu.Lock()
					errs = append(errs, err)
					mu.Unlock()
				}
			}
		}()
	}

	return func() (int64, []error) {
		close(done)
		wg.Wait()

		return completed.Load(), errs
	}
}

var _ = Describe("a graceful shutdown", func() {
	It("of an agent under streaming load breaks no request and accepts no new work", func() {
		st := newSetup(setupConfig{engines: 3, engine: fake.EngineConfig{TokenTime: 5 * time.Millisecond}})
		stop := st.startStreamLoad(9)
		time.Sleep(200 * time.Millisecond)
		engine := st.Engines()["engine-0"]
		pa := st.Agent("engine-0")
		stopped := make(chan struct{})
		go func() {
			pa.Shutdown()
			close(stopped)
		}()
		const newWorkGrace = 2 * time.Second
		time.Sleep(newWorkGrace)
		runs := len(engine.Runs())
		Eventually(stopped, 10*time.Second).Should(BeClosed())
		time.Sleep(500 * time.Millisecond)
		completed, errs := stop()
		Expect(errs).To(BeEmpty())
		Expect(completed).To(BeNumerically(">", 20))
		Expect(len(engine.Runs())).To(Equal(runs), "the engine got new work later than 2 s after the drain began")
		for _, r := range engine.Runs() {
			Expect(r.Ended).To(BeTrue())
		}
	})

	It("of a gateway under streaming load breaks no request and hands leadership over", func() {
		st := newSetup(setupConfig{engines: 3, engine: fake.EngineConfig{TokenTime: 5 * time.Millisecond}})
		leader := st.Leader()
		u := st.URLs()[leader]
		var completed, refused atomic.Int64
		var cut sync.Map
		var wg sync.WaitGroup
		done := make(chan struct{})
		for w := range 6 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				// The worker stops using the gateway once its readiness check fails, as a balancer
				// does with a delay.
				cl := client.New(client.Config{Gateways: []string{u}, Token: st.token["alpha"]})
				for n := 0; ; n++ {
					select {
					case <-done:
						return
					default:
					}
					_, err := cl.Stream(st.ctx, client.CompletionRequest{Model: "m", Prompt: fmt.Sprintf("g%d %d", w, n), MaxTokens: 64}, func(string) {})
					switch {
					case err == nil:
						completed.Add(1)
					case strings.Contains(err.Error(), "connection refused"):
						refused.Add(1)
						time.Sleep(10 * time.Millisecond)
					default:
						cut.Store(err.Error(), true)
					}
					if st.send(leader, "", http.MethodGet, "/readyz", "").status != http.StatusNoContent {
						return // a balancer would use another gateway now
					}
				}
			}()
		}
		time.Sleep(300 * time.Millisecond)
		st.Gateway(leader).Shutdown()
		close(done)
		wg.Wait()
		cut.Range(func(k, _ any) bool {
			Fail(fmt.Sprint("a stream was broken off: ", k))

			return false
		})
		Expect(completed.Load()).To(BeNumerically(">", 5))
		Expect(st.Gateway(leader).Err()).NotTo(HaveOccurred())
		next := -1
		Eventually(func() int { next = st.Leader(); return next }, 2*time.Second).Should(BeNumerically(">=", 0), "leadership was not handed over")
		Expect(next).NotTo(Equal(leader))
	})
})

// newFleetSetup returns a setup that orders its backend servers through the ordering
// interface and reports usage.
func newFleetSetup(tune func(cfg *deployment.Config)) *setup {
	return newSetup(setupConfig{configure: func(cfg *deployment.Config) {
		cfg.NoOrdering, cfg.NoUsage = false, false
		cfg.ServerStartup = 50 * time.Millisecond
		cfg.Declarations.Classes["service"] = declaration.Class{Service: "s", Slots: 4, StartupMs: 300}
		cfg.Declarations.Fleet["service"] = declaration.FleetBounds{
			MinPerDomain: 1, MaxPerDomain: 2, FailureDomains: []string{"a", "b", "c"}, IdleMs: 1500, TargetLoad: 0.7,
		}
		cfg.Declarations.Windows["usage"] = declaration.Window{LengthSeconds: 1, GraceSeconds: 1}
		if tune != nil {
			tune(cfg)
		}
	}})
}

// checkFencing checks that orders and usage reports were sent by one process at a time: fencing
// numbers never decrease, and all orders with the same number come from the same process.
func (st *setup) checkFencing() {
	var top uint64
	holder := map[uint64]string{}
	for _, r := range st.Ordering.Records() {
		Expect(r.Fencing).To(BeNumerically(">=", top), "an order from an earlier lease holder: %+v", r)
		top = r.Fencing
		if g, ok := holder[r.Fencing]; ok {
			Expect(r.LeaseHolder).To(Equal(g))
		}
		holder[r.Fencing] = r.LeaseHolder
	}
	top = 0
	for _, r := range st.Usage.Records() {
		Expect(r.Fencing).To(BeNumerically(">=", top))
		top = r.Fencing
	}
}

// checkRunning returns a function that fails unless n ordered backend servers run.
func (st *setup) checkRunning(n int) func() error {
	return func() error {
		if r := len(st.Ordering.RunningServers()); r != n {
			return fmt.Errorf("%d backend servers run, expected %d", r, n)
		}

		return nil
	}
}

var _ = Describe("the fleet", func() {
	It("starts each backend server once despite lost responses, an outage of the interface and leader changes", func() {
		st := newFleetSetup(nil)
		Expect(st.WaitForReadyServers(st.ctx, "s", 3, "")).To(Succeed())
		st.Ordering.DropAnswers(2)
		st.KillServer(st.Ordering.RunningServers()[0].Name) // without a drain: it must be replaced and its order stopped
		Expect(st.eventually(func() error {
			stops := 0
			for _, r := range st.Ordering.Records() {
				if r.Action == "stop" {
					stops++
				}
			}
			if stops == 0 {
				return fmt.Errorf("the order of the lost backend server is not stopped yet")
			}

			return st.WaitForReadyServers(st.ctx, "s", 3, "")
		})).To(Succeed())
		Expect(st.eventually(st.checkRunning(3))).To(Succeed())

		st.Ordering.SetDown(true)
		ld := st.Leader()
		st.KillGateway(ld)
		time.Sleep(500 * time.Millisecond)
		Expect(st.StartGateway(ld)).To(Succeed())
		st.Ordering.SetDown(false)
		var wg sync.WaitGroup
		stop := make(chan struct{})
		for w := range 40 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer GinkgoRecover()
				for {
					select {
					case <-stop:
						return
					default:
						st.send((ld+1)%3, "alpha", "GET", fmt.Sprint("/r/repeat/load-", w), "", fake.HeaderDelay, "100ms")
					}
				}
			}()
		}
		Expect(st.eventually(st.checkRunning(6))).To(Succeed(), "the load requires the maximum of backend servers")
		Expect(st.WaitForReadyServers(st.ctx, "s", 6, "")).To(Succeed())
		close(stop)
		wg.Wait()
		Expect(st.eventually(st.checkRunning(3))).To(Succeed(), "backend servers that are not needed are not stopped")
		st.checkFencing()
		byOrder := map[string]int{}
		for _, r := range st.Ordering.Records() {
			if r.Action == "start" && !r.Repeated {
				byOrder[r.ID]++
			}
		}
		for id, n := range byOrder {
			Expect(n).To(Equal(1), id)
		}
	})

	It("scales to zero when idle and scales up for the next request", func() {
		st := newFleetSetup(func(cfg *deployment.Config) {
			fl := cfg.Declarations.Fleet["service"]
			fl.MinPerDomain = 0
			cfg.Declarations.Fleet["service"] = fl
		})
		for range 2 {
			Expect(st.eventually(st.checkRunning(0))).To(Succeed())
			Expect(st.eventually(func() error {
				if an := st.send(1, "alpha", "GET", "/r/repeat/first", ""); an.status != http.StatusOK {
					Expect(an.Error.Name).To(Equal("noBackendServer"))

					return fmt.Errorf("%+v", an)
				}

				return nil
			})).To(Succeed())
		}
		st.checkFencing()
	})

	engines := []struct {
		name          string
		checksFencing bool
	}{{"that ignore fencing numbers", false}, {"that check fencing numbers", true}}
	for _, tc := range engines {
		It("receives orders from one process at a time while leaders are killed, with engines "+tc.name, func() {
			st := newFleetSetup(func(cfg *deployment.Config) {
				cfg.Declarations.Models["m"] = declaration.Model{StalenessBound: 1, SwapWave: 2, SwapMode: "continue"}
			})
			class := engineClass
			class.ChecksFencing = tc.checksFencing
			Expect(st.StartServer("engine-x", "engine", class, "a", "")).To(Succeed())
			Expect(st.WaitForReadyServers(st.ctx, "m", 1, "v1")).To(Succeed())
			for n := range 4 {
				ld := st.awaitLeader()
				cl := st.Client(st.token["alpha"], (ld+1)%3)
				Expect(cl.PushVersion(st.ctx, "m", fmt.Sprintf("v%d", n+2), "x")).To(Succeed())
				st.KillGateway(ld)
				time.Sleep(200 * time.Millisecond)
				Expect(st.StartGateway(ld)).To(Succeed())
				Expect(st.WaitForReadyServers(st.ctx, "m", 1, fmt.Sprintf("v%d", n+2))).To(Succeed())
			}
			st.checkFencing()
			var top uint64
			for _, o := range st.Engines()["engine-x"].Orders() {
				Expect(o.Fencing).To(BeNumerically(">=", top), "an order from an earlier lease holder reached the engine")
				top = o.Fencing
			}
		})
	}
})

var _ = Describe("usage", func() {
	It("is reported with one content per window, and all reports add up to the tokens of the engines", func() {
		st := newFleetSetup(func(cfg *deployment.Config) { cfg.Engine.TokenTime = time.Millisecond })
		Expect(st.StartServer("engine-x", "engine", engineClass, "a", "")).To(Succeed())
		Expect(st.WaitForReadyServers(st.ctx, "m", 1, "v1")).To(Succeed())
		cl := st.Client(st.token["alpha"], 0)
		complete := func(n int) {
			for i := range n {
				_, err := cl.Complete(st.ctx, client.CompletionRequest{Model: "m", Prompt: fmt.Sprint("one two ", i), MaxTokens: 16})
				Expect(err).NotTo(HaveOccurred())
			}
		}
		complete(20)
		st.Usage.DropAnswers(2)
		time.Sleep(1200 * time.Millisecond)
		complete(20)
		st.Usage.SetDown(true)
		time.Sleep(1500 * time.Millisecond)
		complete(20)
		st.KillGateway(st.Leader())
		st.Usage.SetDown(false)
		complete(20)
		made := uint64(0)
		for _, r := range st.Engines()["engine-x"].Runs() {
			made += uint64(r.Tokens + len(strings.Fields(r.Prompt)))
		}
		total := func() (sum uint64) {
			byWindow := map[uint64]string{}
			for _, r := range st.Usage.Records() {
				if old, ok := byWindow[r.Window]; ok {
					Expect(r.Body).To(Equal(old), "window %d was reported with different contents", r.Window)

					continue
				}
				byWindow[r.Window] = r.Body
				var re usage.Report
				Expect(json.Unmarshal([]byte(r.Body), &re)).To(Succeed())
				for _, li := range re.Lines {
					if li.Workspace == "alpha" {
						sum += li.Amounts.Tokens + li.Adjustment.Tokens
					}
				}
			}

			return sum
		}
		Eventually(total, 15*time.Second, 50*time.Millisecond).Should(Equal(made))
		Consistently(total, time.Second).Should(Equal(made))
		st.checkFencing()
	})
})
