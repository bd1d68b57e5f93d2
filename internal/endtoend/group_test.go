package endtoend_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/deployment"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/settings"
)

// sendOperatorRequest sends one request to the operators' interface of gateway i, without
// retries.
func (st *setup) sendOperatorRequest(i int, method, path string, in any) (answer, error) {
	b, err := json.Marshal(in)
	Expect(err).NotTo(HaveOccurred())
	rq, err := http.NewRequestWithContext(st.ctx, method, "http://"+st.Settings(i).OperatorAddress+path, strings.NewReader(string(b)))
	Expect(err).NotTo(HaveOccurred())
	rq.Header.Set("Authorization", "Bearer "+deployment.OperatorToken)
	rs, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 8 * time.Second}).Do(rq)
	if err != nil {
		return answer{err: err}, err
	}
	defer rs.Body.Close()
	var an answer
	var raw json.RawMessage
	an.status = rs.StatusCode
	an.err = json.NewDecoder(rs.Body).Decode(&raw)
	an.body = string(raw)
	_ = json.Unmarshal(raw, &an)

	return an, an.err
}

// weightPatch returns a patch against version base that sets the weight of workspace alpha.
func weightPatch(id string, base uint64, weight float64) declaration.Patch {
	return declaration.Patch{ID: id, Base: base, Ops: []declaration.Op{
		{Path: "workspaces/alpha", Value: json.RawMessage(fmt.Sprintf(`{"weight":%g}`, weight))},
	}}
}

// readConfiguration returns the version of the configuration and the weight of workspace
// alpha as gateway i reads them.
func (st *setup) readConfiguration(i int) (uint64, float64, error) {
	an, err := st.sendOperatorRequest(i, http.MethodGet, "/v1/configuration", nil)
	if err != nil {
		return 0, 0, err
	}
	if an.status != http.StatusOK {
		return 0, 0, fmt.Errorf("reading the configuration: status %d: %s", an.status, an.body)
	}
	var cf struct {
		Version uint64          `json:"version"`
		Set     declaration.Set `json:"declarations"`
	}
	if err := json.Unmarshal([]byte(an.body), &cf); err != nil {
		return 0, 0, err
	}

	return cf.Version, cf.Set.Workspaces["alpha"].Weight, nil
}

// currentVersion returns the configuration version at gateway i and retries until it can be
// read.
func (st *setup) currentVersion(i int) uint64 {
	var v uint64
	Expect(st.eventually(func() error {
		var err error
		v, _, err = st.readConfiguration(i)

		return err
	})).To(Succeed())

	return v
}

var _ = Describe("the numbered configuration", func() {
	It("accepts exactly one of many concurrent patches against the same version", func() {
		st := newSetup(setupConfig{})
		for round := range 10 {
			base := st.currentVersion(0)
			var accepted, refused atomic.Int32
			var wg sync.WaitGroup
			for n := range 12 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					defer GinkgoRecover()
					an, err := st.sendOperatorRequest(n%3, http.MethodPost, "/v1/patches", weightPatch(fmt.Sprintf("race-%d-%d", round, n), base, float64(n+1)))
					Expect(err).NotTo(HaveOccurred())
					if an.status == http.StatusOK {
						accepted.Add(1)
					} else {
						Expect(an.Error.Code).To(Equal(int(result.PatchVersionOld)))
						Expect(an.body).To(ContainSubstring(fmt.Sprintf("the current one is %d; workspaces/alpha changed in version %d", base+1, base+1)))
						refused.Add(1)
					}
				}()
			}
			wg.Wait()
			Expect(accepted.Load()).To(Equal(int32(1)))
			Expect(refused.Load()).To(Equal(int32(11)))
			Expect(st.currentVersion(1)).To(Equal(base + 1))
		}
	})

	It("answers a resent patch with its first response, through another gateway and after a restart of all gateways", func() {
		st := newSetup(setupConfig{})
		base := st.currentVersion(0)
		pa := weightPatch("resent", base, 3)
		first, err := st.sendOperatorRequest(0, http.MethodPost, "/v1/patches", pa)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.status).To(Equal(http.StatusOK))
		refusedPatch := weightPatch("refused", base, 4)
		refused, err := st.sendOperatorRequest(0, http.MethodPost, "/v1/patches", refusedPatch)
		Expect(err).NotTo(HaveOccurred())
		Expect(refused.Error.Code).To(Equal(int(result.PatchVersionOld)))
		for range 300 { // hundreds of other changes before the patches are sent again
			base = st.currentVersion(1)
			an, err := st.sendOperatorRequest(1, http.MethodPost, "/v1/patches", weightPatch(fmt.Sprintf("between-%d", base), base, 1+rand.Float64()))
			Expect(err).NotTo(HaveOccurred())
			Expect(an.status).To(Equal(http.StatusOK), an.body)
		}
		last := st.currentVersion(2)
		for i := range 3 {
			st.KillGateway(i)
		}
		for i := range 3 {
			Expect(st.StartGateway(i)).To(Succeed())
		}
		Expect(st.currentVersion(2)).To(Equal(last), "a restart must not revert a change")
		again, err := st.sendOperatorRequest(2, http.MethodPost, "/v1/patches", pa)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.body).To(Equal(first.body))
		again, err = st.sendOperatorRequest(2, http.MethodPost, "/v1/patches", refusedPatch)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.body).To(Equal(refused.body))
		Expect(st.currentVersion(0)).To(Equal(last))
	})

	It("is linearizable for concurrent operators while gateways are killed and restarted", func() {
		st := newSetup(setupConfig{})
		history := &history{}
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for c := range 6 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer GinkgoRecover()
				rnd := rand.New(rand.NewPCG(uint64(c), 3))
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
						st.readAndPatch(history, c, n, rnd)
					}
				}
			}()
		}
		rnd := rand.New(rand.NewPCG(11, 5))
		for range 4 {
			time.Sleep(400 * time.Millisecond)
			i := rnd.IntN(3)
			if ld := st.Leader(); ld >= 0 && rnd.IntN(2) == 0 {
				i = ld
			}
			st.KillGateway(i)
			time.Sleep(300 * time.Millisecond)
			Expect(st.StartGateway(i)).To(Succeed())
		}
		time.Sleep(time.Second)
		close(stop)
		wg.Wait()
		ok, unknown := history.counts()
		GinkgoWriter.Println("operations", ok, "with an unknown outcome", unknown)
		Expect(ok).To(BeNumerically(">", 100))
		res := porcupine.CheckOperationsTimeout(configurationModel, history.operations(), 30*time.Second)
		Expect(res).To(Equal(porcupine.Ok))
	})
})

// registerInput is a patch against version base, or a read if base is 0.
type registerInput struct {
	base   uint64
	weight float64
}

// registerOutput is the response. If unknown is set, the patch may have been accepted or not.
type registerOutput struct {
	version  uint64
	weight   float64
	accepted bool
	unknown  bool
}

// register is the state of configurationModel.
type register struct {
	version uint64
	weight  float64
}

// configurationModel models the configuration as one register with a version.
var configurationModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{nil} }, // the first read sets the initial version
	Step: func(state, input, output any) []any {
		in, out := input.(registerInput), output.(registerOutput)
		if state == nil {
			return stepUnknownStart(in, out)
		}
		re := state.(register)
		if in.base == 0 {
			if out.unknown || (out.version == re.version && out.weight == re.weight) {
				return []any{re}
			}

			return nil
		}
		next := register{re.version + 1, in.weight}
		switch {
		case out.unknown && in.base == re.version:
			return []any{re, next}
		case out.unknown:
			return []any{re}
		case out.accepted && in.base == re.version && out.version == next.version:
			return []any{next}
		case !out.accepted && in.base != re.version:
			return []any{re}
		}

		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// stepUnknownStart sets the state from the first successful read of a history.
func stepUnknownStart(in registerInput, out registerOutput) []any {
	if in.base == 0 && !out.unknown {
		return []any{register{out.version, out.weight}}
	}

	return nil
}

// history collects the operations of concurrent clients.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (hi *history) add(op porcupine.Operation) {
	hi.mu.Lock()
	defer hi.mu.Unlock()

	hi.ops = append(hi.ops, op)
}

func (hi *history) operations() []porcupine.Operation {
	hi.mu.Lock()
	defer hi.mu.Unlock()

	return hi.ops
}

func (hi *history) counts() (ok, unknown int) {
	for _, op := range hi.operations() {
		if op.Output.(registerOutput).unknown {
			unknown++
		} else {
			ok++
		}
	}

	return ok, unknown
}

// readAndPatch reads the configuration, patches the version that it read, and records both
// operations.
func (st *setup) readAndPatch(hi *history, c, n int, rnd *rand.Rand) {
	i := rnd.IntN(3)
	call := time.Now().UnixNano()
	v, w, err := st.readConfiguration(i)
	if err != nil {
		return // a failed read has no effect and returns nothing to check
	}
	hi.add(porcupine.Operation{
		ClientId: c, Input: registerInput{}, Call: call, Output: registerOutput{version: v, weight: w}, Return: time.Now().UnixNano(),
	})

	in := registerInput{base: v, weight: float64(1+c) + float64(n%900)/1000}
	call = time.Now().UnixNano()
	an, err := st.sendOperatorRequest(rnd.IntN(3), http.MethodPost, "/v1/patches", weightPatch(fmt.Sprintf("h-%d-%d", c, n), v, in.weight))
	out := registerOutput{}
	end := time.Now().UnixNano()
	switch {
	case err != nil || an.status >= http.StatusInternalServerError:
		out.unknown, end = true, int64(1)<<62 // the patch may take effect at any later time
	case an.status == http.StatusOK:
		var a declaration.Answer
		Expect(json.Unmarshal([]byte(an.body), &a)).To(Succeed())
		out.accepted, out.version = true, a.Version
	}
	hi.add(porcupine.Operation{ClientId: c, Input: in, Call: call, Output: out, Return: end})
}

var _ = Describe("a gateway that lost its disk", func() {
	It("joins as a new replica and replaces the old one, so that the loss of a second gateway right after loses no data", func() {
		st := newSetup(setupConfig{})
		base := st.currentVersion(0)
		_, err := st.sendOperatorRequest(0, http.MethodPost, "/v1/patches", weightPatch("kept", base, 7))
		Expect(err).NotTo(HaveOccurred())
		first := st.follower()
		old := st.Gateway(first).Gateway().Group().Status().Replica
		st.KillGateway(first)
		Expect(st.RemoveDataFolder(first)).To(Succeed())
		Expect(st.StartGateway(first)).To(Succeed())
		Expect(st.eventually(func() error {
			s := st.Gateway(first).Gateway().Group().Status()
			if s.Replica == old {
				return fmt.Errorf("the gateway still has its old identity %s", old)
			}
			if !s.Membership.IsVoter(s.Replica) || s.Membership.IsVoter(old) || len(s.Membership.Voters) != 3 {
				return fmt.Errorf("the new replica has not replaced the old one yet: members %v", s.Membership)
			}

			return nil
		})).To(Succeed())

		second := (first + 1) % 3
		st.KillGateway(second)
		v := st.currentVersion(first)
		Expect(v).To(BeNumerically(">=", base+1))
		_, w, err := st.readConfiguration(first)
		Expect(err).NotTo(HaveOccurred())
		Expect(w).To(Equal(7.0))
		var an answer
		Expect(st.eventually(func() error {
			an, err = st.sendOperatorRequest(first, http.MethodPost, "/v1/patches", weightPatch("after the second loss", v, 8))

			return err
		})).To(Succeed())
		Expect(an.status).To(Equal(http.StatusOK), an.body)
	})

	It("refuses to start with the data folder of another cluster, under another name, or on an address in use", func() {
		st := newSetup(setupConfig{})
		other := newSetup(setupConfig{})
		// The gateway gets the data folder of a gateway of the other cluster.
		st.KillGateway(0)
		other.KillGateway(0)
		se := *st.Settings(0)
		se.DataFolder = other.Settings(0).DataFolder
		Expect(st.startWithSettings(se)).To(MatchError(ContainSubstring("dataFolderForeign")))
		se = *st.Settings(0)
		se.Name = "someone-else"
		se.Founders = nil
		se.Founders = append(se.Founders, settings.Founder{Name: "someone-else", Address: se.PeerAddress})
		Expect(st.startWithSettings(se)).To(MatchError(ContainSubstring("dataFolderForeign")))
		se = *st.Settings(0)
		se.CallerAddress = st.Settings(1).CallerAddress
		Expect(st.startWithSettings(se)).To(MatchError(ContainSubstring("addressInUse")))
	})
})

var _ = Describe("a gateway without a disk", func() {
	It("follows the configuration, forwards commands and serves callers", func() {
		st := newSetup(setupConfig{services: 1, tune: func(se *settings.Gateway) {
			// One founder, a relay that follows it, and a gateway that follows the relay. Only the
			// founder has a disk.
			relay := se.Founders[1].Address
			se.Founders = se.Founders[:1]
			if se.Name != "gateway-1" {
				se.DataFolder = ""
			}
			if se.Name == "gateway-3" {
				se.Upstreams = []string{relay}
			}
		}, configure: func(cfg *deployment.Config) {
			cfg.Declarations.Workspaces["beta"] = declaration.Workspace{Weight: 2, MaxQueued: 5, Home: "main"}
		}})
		Expect(st.Gateway(2).Gateway().Group().HasDisk()).To(BeFalse())
		Expect(st.send(2, "alpha", "GET", "/r/repeat/learner", "").status).To(Equal(http.StatusOK))
		an := st.send(2, "alpha", "POST", "/r/once/learner-call", "", "Idempotency-Key", "k")
		Expect(an.status).To(Equal(http.StatusOK), "%+v", an)
		Expect(st.send(0, "alpha", "POST", "/r/once/learner-call", "", "Idempotency-Key", "k").header.Get("X-Replayed")).To(Equal("true"))
		Expect(st.CallOperators(st.ctx, "POST", "/v1/keys/"+st.keyID["alpha"]+"/withdraw", nil, nil)).To(Succeed())
		Eventually(func() int { return st.send(2, "alpha", "GET", "/r/repeat/learner", "").Error.Code }, 2*time.Second).
			Should(Equal(int(result.WithdrawnKey)))
		Expect(st.Gateway(2).Gateway().Meter().Value("feed.full")).To(Equal(int64(1)), "changes arrive as deltas, also through the relay")
	})
})
