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

// streamLoad keeps streams running through all gateways until stop is called,
// which returns the number of whole streams and the errors.
func (st *stage) streamLoad(workers int) (stop func() (int64, []error)) {
	var whole atomic.Int64
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
					whole.Add(1)
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

		return whole.Load(), errs
	}
}

var _ = Describe("a graceful shutdown", func() {
	It("of agents under streaming load cuts no request and takes no new work", func() {
		st := newStage(stageConfig{engines: 3, engine: fake.EngineConfig{TokenTime: 5 * time.Millisecond}})
		stop := st.streamLoad(9)
		time.Sleep(200 * time.Millisecond)
		engine := st.Engines()["engine-0"]
		pa := st.Agent("engine-0")
		left := make(chan struct{})
		go func() {
			pa.Shutdown()
			close(left)
		}()
		const noNewWork = 2 * time.Second
		time.Sleep(noNewWork)
		runs := len(engine.Runs())
		Eventually(left, 10*time.Second).Should(BeClosed())
		time.Sleep(500 * time.Millisecond)
		whole, errs := stop()
		Expect(errs).To(BeEmpty())
		Expect(whole).To(BeNumerically(">", 20))
		Expect(len(engine.Runs())).To(Equal(runs), "no new work from 2 s after the drain began")
		for _, r := range engine.Runs() {
			Expect(r.Ended).To(BeTrue())
		}
	})

	It("of a gateway under streaming load cuts no request", func() {
		st := newStage(stageConfig{engines: 3, engine: fake.EngineConfig{TokenTime: 5 * time.Millisecond}})
		leader := st.Leader()
		u := st.URLs()[leader]
		var whole, refused atomic.Int64
		var cut sync.Map
		var wg sync.WaitGroup
		done := make(chan struct{})
		for w := range 6 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				// A balancer that follows the health check, with a lag.
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
						whole.Add(1)
					case strings.Contains(err.Error(), "connection refused"):
						refused.Add(1)
						time.Sleep(10 * time.Millisecond)
					default:
						cut.Store(err.Error(), true)
					}
					if st.send(leader, "", http.MethodGet, "/readyz", "").status != http.StatusNoContent {
						return // the balancer has moved on
					}
				}
			}()
		}
		time.Sleep(300 * time.Millisecond)
		st.Gateway(leader).Shutdown()
		close(done)
		wg.Wait()
		cut.Range(func(k, _ any) bool {
			Fail(fmt.Sprint("a stream was cut: ", k))

			return false
		})
		Expect(whole.Load()).To(BeNumerically(">", 5))
		Expect(st.Gateway(leader).Err()).NotTo(HaveOccurred())
		next := -1
		Eventually(func() int { next = st.Leader(); return next }, 2*time.Second).Should(BeNumerically(">=", 0), "the lead was handed over")
		Expect(next).NotTo(Equal(leader))
	})
})

// fleetStage orders its backend servers through the ordering interface.
func fleetStage(tune func(cfg *deployment.Config)) *stage {
	return newStage(stageConfig{configure: func(cfg *deployment.Config) {
		cfg.NoOrdering, cfg.NoUsage = false, false
		cfg.Startup = 50 * time.Millisecond
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

// checkGivers looks for two processes that gave orders in turns.
func (st *stage) checkGivers() {
	var top uint64
	holder := map[uint64]string{}
	for _, r := range st.Ordering.Records() {
		Expect(r.Fencing).To(BeNumerically(">=", top), "an order of an earlier holder: %+v", r)
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

func (st *stage) running(n int) func() error {
	return func() error {
		if r := len(st.Ordering.Running()); r != n {
			return fmt.Errorf("%d backend servers run, not %d", r, n)
		}

		return nil
	}
}

var _ = Describe("the fleet", func() {
	It("orders what is needed once, through lost answers, an outage and changes of the leader", func() {
		st := fleetStage(nil)
		Expect(st.WaitServers(st.ctx, "s", 3, "")).To(Succeed())
		st.Ordering.DropAnswers(2)
		st.KillServer(st.Ordering.Running()[0].Name) // lost without a word: it is replaced and given back
		Expect(st.eventually(func() error {
			lost := 0
			for _, r := range st.Ordering.Records() {
				if r.Action == "stop" {
					lost++
				}
			}
			if lost == 0 {
				return fmt.Errorf("the lost backend server is still paid for")
			}

			return st.WaitServers(st.ctx, "s", 3, "")
		})).To(Succeed())
		Expect(st.eventually(st.running(3))).To(Succeed())

		st.Ordering.Down(true)
		ld := st.Leader()
		st.KillGateway(ld)
		time.Sleep(500 * time.Millisecond)
		Expect(st.StartGateway(ld)).To(Succeed())
		st.Ordering.Down(false)
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
		Expect(st.eventually(st.running(6))).To(Succeed(), "the load wants the maximum")
		Expect(st.WaitServers(st.ctx, "s", 6, "")).To(Succeed())
		close(stop)
		wg.Wait()
		Expect(st.eventually(st.running(3))).To(Succeed(), "what is not needed is given back")
		st.checkGivers()
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

	It("goes to nothing when idle and comes back for the first request", func() {
		st := fleetStage(func(cfg *deployment.Config) {
			fl := cfg.Declarations.Fleet["service"]
			fl.MinPerDomain = 0
			cfg.Declarations.Fleet["service"] = fl
		})
		for range 2 {
			Expect(st.eventually(st.running(0))).To(Succeed())
			Expect(st.eventually(func() error {
				if an := st.send(1, "alpha", "GET", "/r/repeat/first", ""); an.status != http.StatusOK {
					Expect(an.Error.Name).To(Equal("noBackendServer"))

					return fmt.Errorf("%+v", an)
				}

				return nil
			})).To(Succeed())
		}
		st.checkGivers()
	})

	engines := []struct {
		name   string
		checks bool
	}{{"that ignore fencing numbers", false}, {"that check fencing numbers", true}}
	for _, tc := range engines {
		It("is ordered by one process at a time while leaders are killed, with engines "+tc.name, func() {
			st := fleetStage(func(cfg *deployment.Config) {
				cfg.Declarations.Models["m"] = declaration.Model{StalenessBound: 1, SwapWave: 2, SwapMode: "continue"}
			})
			class := engineClass
			class.ChecksFencing = tc.checks
			Expect(st.StartServer("engine-x", "engine", class, "a", "")).To(Succeed())
			Expect(st.WaitServers(st.ctx, "m", 1, "v1")).To(Succeed())
			for n := range 4 {
				ld := st.awaitLeader()
				cl := st.Client(st.token["alpha"], (ld+1)%3)
				Expect(cl.PushVersion(st.ctx, "m", fmt.Sprintf("v%d", n+2), "x")).To(Succeed())
				st.KillGateway(ld)
				time.Sleep(200 * time.Millisecond)
				Expect(st.StartGateway(ld)).To(Succeed())
				Expect(st.WaitServers(st.ctx, "m", 1, fmt.Sprintf("v%d", n+2))).To(Succeed())
			}
			st.checkGivers()
			var top uint64
			for _, o := range st.Engines()["engine-x"].Orders() {
				Expect(o.Fencing).To(BeNumerically(">=", top), "an order of an earlier holder reached the engine")
				top = o.Fencing
			}
		})
	}
})

var _ = Describe("usage", func() {
	It("is reported once a window with the same bytes, and adds up to what the engines made", func() {
		st := fleetStage(func(cfg *deployment.Config) { cfg.Engine.TokenTime = time.Millisecond })
		Expect(st.StartServer("engine-x", "engine", engineClass, "a", "")).To(Succeed())
		Expect(st.WaitServers(st.ctx, "m", 1, "v1")).To(Succeed())
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
		st.Usage.Down(true)
		time.Sleep(1500 * time.Millisecond)
		complete(20)
		st.KillGateway(st.Leader())
		st.Usage.Down(false)
		complete(20)
		made := uint64(0)
		for _, r := range st.Engines()["engine-x"].Runs() {
			made += uint64(r.Tokens + len(strings.Fields(r.Prompt)))
		}
		total := func() (sum uint64) {
			byWindow := map[uint64]string{}
			for _, r := range st.Usage.Records() {
				if old, ok := byWindow[r.Window]; ok {
					Expect(r.Body).To(Equal(old), "window %d has two reports", r.Window)

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
		st.checkGivers()
	})
})
