package endtoend_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/fake"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/step"
	"github.com/tamarackbay/tamarackbay/pkg/client"
)

func newStep(id string, groups, samples, maxTokens int) client.Step {
	st := client.Step{ID: id, Trainer: "t"}
	for g := range groups {
		st.Groups = append(st.Groups, client.Group{ID: fmt.Sprintf("g%d", g), Prompt: fmt.Sprintf("prompt %d of %s", g, id), Samples: samples, MaxTokens: maxTokens})
	}

	return st
}

// collector checks each sample as it comes.
type collector struct {
	seen    map[string]int
	samples []client.Sample
}

func (co *collector) take(latest int, ss []client.Sample) {
	for _, s := range ss {
		co.seen[s.ID]++
		Expect(co.seen[s.ID]).To(Equal(1), "sample %s came twice", s.ID)
		co.samples = append(co.samples, s)
		if s.Failure != nil {
			continue
		}
		toks := strings.Fields(s.Text)
		Expect(toks).To(HaveLen(s.Tokens))
		for i, tok := range toks {
			v, _, _ := strings.Cut(tok, ":")
			named := false
			for _, vr := range s.Versions {
				named = named || (vr.Version == v && i >= vr.From && i < vr.To)
			}
			Expect(named).To(BeTrue(), "sample %s: token %d is of %s, its ranges are %v", s.ID, i, v, s.Versions)
			var n int
			_, err := fmt.Sscanf(v, "v%d", &n)
			Expect(err).NotTo(HaveOccurred())
			Expect(latest-n).To(BeNumerically("<=", 1), "sample %s is too old", s.ID)
		}
	}
}

// collect fetches a whole step; during is called once the first page has come.
func (st *stage) collect(cl *client.Client, id string, pushed *int, during func()) *collector {
	co := &collector{seen: map[string]int{}}
	latest := *pushed
	defer func() {
		if len(co.samples) > 0 && st.ctx.Err() == nil {
			return
		}
		st.explain() // what hung
	}()
	Expect(cl.Samples(st.ctx, id, func(ss []client.Sample) error {
		co.take(latest, ss)
		if during != nil {
			during()
			during = nil
		}
		latest = *pushed

		return nil
	})).To(Succeed())

	return co
}

// explain writes what the gateways know when a step hangs.
func (st *stage) explain() {
	for i := range 3 {
		ga := st.Gateway(i).Gateway()
		GinkgoWriter.Println("gateway", i, "steps", ga.Rollouts().Running(), "ready", ga.Ready(), "version", ga.Group().View().Version)
		for name, po := range ga.Pools() {
			GinkgoWriter.Printf("  pool %s %+v\n", name, po.Infos())
		}
		var sb strings.Builder
		_ = ga.Meter().WriteText(&sb)
		for _, l := range strings.Split(sb.String(), "\n") {
			if strings.Contains(l, "samples_again") || strings.Contains(l, "retry_") || strings.Contains(l, "wins") {
				GinkgoWriter.Println("  ", l)
			}
		}
	}
}

var _ = Describe("a step of a trainer", func() {
	faults := []struct {
		name   string
		engine fake.EngineConfig
		during func(st *stage, cl *client.Client, pushed *int)
	}{
		{"without a fault", fake.EngineConfig{}, nil},
		{"while its gateway is killed", fake.EngineConfig{}, func(st *stage, _ *client.Client, _ *int) {
			for i := range 3 {
				if st.Gateway(i).Gateway().Rollouts().Running() > 0 {
					st.KillGateway(i)

					return
				}
			}
		}},
		{"while the leader is killed", fake.EngineConfig{}, func(st *stage, _ *client.Client, _ *int) { st.KillGateway(st.Leader()) }},
		{"while an engine crashes", fake.EngineConfig{}, func(st *stage, _ *client.Client, _ *int) { st.Engines()["engine-0"].Crash() }},
		{"while a VM with an engine is lost", fake.EngineConfig{}, func(st *stage, _ *client.Client, _ *int) { st.KillServer("engine-1") }},
		{"while its weights change twice", fake.EngineConfig{SwapTime: 30 * time.Millisecond}, func(st *stage, cl *client.Client, pushed *int) {
			for _, v := range []string{"v2", "v3"} {
				Expect(cl.PushVersion(st.ctx, "m", v, "x")).To(Succeed())
				*pushed++
				time.Sleep(100 * time.Millisecond)
			}
		}},
		{"while weights change on engines that do not name them", fake.EngineConfig{IsSilent: true}, func(st *stage, cl *client.Client, pushed *int) {
			Expect(cl.PushVersion(st.ctx, "m", "v2", "x")).To(Succeed())
			*pushed++
		}},
		{"while engines that do not name their weights crash and change", fake.EngineConfig{IsSilent: true, SwapTime: 5 * time.Millisecond}, func(st *stage, cl *client.Client, pushed *int) {
			Expect(cl.PushVersion(st.ctx, "m", "v2", "x")).To(Succeed())
			*pushed++
			time.Sleep(30 * time.Millisecond)
			st.Engines()["engine-0"].Crash()
			st.KillServer("engine-1")
		}},
		{"while swaps fail", fake.EngineConfig{SwapTime: 20 * time.Millisecond}, func(st *stage, cl *client.Client, pushed *int) {
			for _, en := range st.Engines() {
				en.FailSwaps(2)
			}
			Expect(cl.PushVersion(st.ctx, "m", "v2", "x")).To(Succeed())
			*pushed++
			Expect(cl.PushVersion(st.ctx, "m", "v3", "x")).To(Succeed())
			*pushed++
		}},
	}
	for _, tc := range faults {
		It("gives each sample once, true and fresh, "+tc.name, func() {
			tc.engine.TokenTime = 4 * time.Millisecond
			st := newStage(stageConfig{engines: 3, engine: tc.engine})
			cl := st.Client(st.token["alpha"], 0)
			pushed := 1
			Expect(cl.OpenStep(st.ctx, newStep("s", 8, 30, 60))).To(Succeed())
			co := st.collect(cl, "s", &pushed, func() {
				if tc.during != nil {
					tc.during(st, cl, &pushed)
				}
			})
			Expect(co.samples).To(HaveLen(240))
			for _, s := range co.samples {
				Expect(s.Failure).To(BeNil())
				Expect(s.Score).NotTo(BeNil())
			}
		})
	}

	It("gives the same bytes for the same page, through every gateway and after the loss of one holder", func() {
		st := newStage(stageConfig{engines: 2})
		cl := st.Client(st.token["alpha"], 0)
		Expect(cl.OpenStep(st.ctx, newStep("s", 2, 10, 20))).To(Succeed())
		const path = "/v1/steps/s/pages/1?waitMs=5000&max=8"
		first := st.send(0, "alpha", http.MethodGet, path, "")
		Expect(first.status).To(Equal(http.StatusOK), "%+v", first)
		for i := range 3 {
			Expect(st.send(i, "alpha", http.MethodGet, path, "").body).To(Equal(first.body))
		}
		Expect(st.send(1, "beta", http.MethodGet, path, "").Error.Code).To(Equal(int(result.UnknownStep)), "another workspace sees nothing")
		Expect(st.send(1, "beta", http.MethodGet, "/v1/steps/none/pages/1?waitMs=1", "").Error.Code).To(Equal(int(result.UnknownStep)))

		st.KillGateway(0)
		var again answer
		Expect(st.eventually(func() error {
			if again = st.send(1, "alpha", http.MethodGet, path, ""); again.status != http.StatusOK {
				return fmt.Errorf("%+v", again)
			}

			return nil
		})).To(Succeed())
		Expect(again.body).To(Equal(first.body))
		Expect(st.eventually(func() error {
			if an := st.send(1, "alpha", http.MethodPost, "/v1/steps/s/pages/1/ack", ""); an.status != http.StatusOK {
				return fmt.Errorf("%+v", an)
			}

			return nil
		})).To(Succeed())
		Expect(st.send(2, "alpha", http.MethodGet, path, "").Error.Code).To(Equal(int(result.StepOver)), "an acknowledged page is never sent again")
		Expect(st.send(2, "alpha", http.MethodPost, "/v1/steps/s/pages/1/ack", "").status).To(Equal(http.StatusOK), "an acknowledgement may be sent again")
	})

	It("runs samples again under their IDs when all holders of a payload are lost", func() {
		st := newStage(stageConfig{engines: 2})
		cl := st.Client(st.token["alpha"], 0)
		Expect(cl.OpenStep(st.ctx, newStep("s", 2, 20, 20))).To(Succeed())
		won := func(i int) (n int, holders map[string]bool) {
			holders = map[string]bool{}
			st.Gateway(i).Gateway().Group().Read(func(ma *statemachine.Machine) {
				s, err := ma.Steps().Get("alpha/s")
				if err != nil {
					return
				}
				for _, sa := range s.Samples {
					if sa.State == step.Won {
						n++
						for _, h := range sa.Holders {
							holders[h] = true
						}
					}
				}
			})

			return n, holders
		}
		Expect(st.eventually(func() error {
			if n, _ := won(1); n < 40 {
				return fmt.Errorf("%d won", n)
			}

			return nil
		})).To(Succeed())
		// Both holders are restarted one after the other: their memory is gone, the ledger is not.
		for i := range 3 {
			_, holders := won((i + 1) % 3)
			if holders[st.Settings(i).PeerAddress] {
				st.KillGateway(i)
				Expect(st.StartGateway(i)).To(Succeed())
				Expect(st.eventually(func() error { return st.Gateway(i).Gateway().Ready() })).To(Succeed())
			}
		}
		Expect(st.WaitServers(st.ctx, "m", 2, "v1")).To(Succeed())
		pushed := 1
		co := st.collect(cl, "s", &pushed, nil)
		Expect(co.samples).To(HaveLen(40))
	})

	It("may be opened again and is refused with other content", func() {
		st := newStage(stageConfig{engines: 1})
		open := func(i int, sn client.Step) answer {
			b, err := json.Marshal(sn)
			Expect(err).NotTo(HaveOccurred())

			return st.send(i, "alpha", http.MethodPost, "/v1/steps", string(b))
		}
		first := open(0, newStep("s", 1, 4, 8))
		Expect(first.status).To(Equal(http.StatusOK))
		Expect(open(1, newStep("s", 1, 4, 8)).body).To(Equal(first.body))
		Expect(open(2, newStep("s", 1, 5, 8)).Error.Code).To(Equal(int(result.StepConflict)))
	})
})

var _ = Describe("a request that crashes engines", func() {
	It("is refused after the second crash, everywhere and after a restart, and innocents are served", func() {
		st := newStage(stageConfig{engines: 4, engine: fake.EngineConfig{TokenTime: 5 * time.Millisecond, Downtime: 300 * time.Millisecond}})
		cl := st.Client(st.token["beta"], 1)
		innocent := make(chan error, 24)
		for n := range 24 {
			go func() {
				_, err := cl.Complete(st.ctx, client.CompletionRequest{Model: "m", Prompt: fmt.Sprintf("innocent %d", n), MaxTokens: 60})
				innocent <- err
			}()
		}
		time.Sleep(20 * time.Millisecond)
		poison := `{"model":"m","prompt":"` + fake.CrashMark + `","max_tokens":20}`
		first := st.send(0, "alpha", http.MethodPost, "/v1/completions", poison)
		Expect(first.status).NotTo(Equal(http.StatusOK))
		for range 24 {
			Expect(<-innocent).To(Succeed())
		}
		var an answer
		for i := range 6 {
			Expect(st.eventually(func() error {
				if an = st.send(i%3, "alpha", http.MethodPost, "/v1/completions", poison); an.Error.Code == int(result.NoBackendServer) {
					return fmt.Errorf("engines are down")
				}

				return nil
			})).To(Succeed())
		}
		Expect(an.Error.Code).To(Equal(int(result.Quarantined)), "%+v", an)
		crashes := func() int {
			n := 0
			for _, en := range st.AllEngines() {
				n += en.Crashes()
			}

			return n
		}
		Expect(crashes()).To(Equal(2), "the caller sent it seven times")

		st.KillGateway(1)
		Expect(st.StartGateway(1)).To(Succeed())
		Expect(st.eventually(func() error { return st.Gateway(1).Gateway().Ready() })).To(Succeed())
		Expect(st.eventually(func() error {
			an = st.send(1, "alpha", http.MethodPost, "/v1/completions", poison)
			if an.Error.Code != int(result.Quarantined) {
				return fmt.Errorf("%+v", an)
			}

			return nil
		})).To(Succeed())
		Expect(crashes()).To(Equal(2))

		var q struct{ Fingerprints map[string]any }
		Expect(st.Operate(st.ctx, http.MethodGet, "/v1/quarantine", nil, &q)).To(Succeed())
		Expect(q.Fingerprints).To(HaveLen(1), "innocents were cleared")
		for fp := range q.Fingerprints {
			Expect(st.Operate(st.ctx, http.MethodPost, "/v1/quarantine/"+fp+"/release", nil, nil)).To(Succeed())
		}
		Expect(st.eventually(func() error {
			if an = st.send(1, "alpha", http.MethodPost, "/v1/completions", poison); an.Error.Code == int(result.Quarantined) {
				return fmt.Errorf("not released")
			}

			return nil
		})).To(Succeed())
	})
})
