package endtoend_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/deployment"
	"github.com/tamarackbay/tamarackbay/internal/fake"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/settings"
)

var _ = Describe("a request that is not repeatable", func() {
	// Each case injects a fault at one point of the request path and sends the request again
	// through another gateway.
	cases := []struct {
		name      string
		inject    func(st *setup, i int) // called once the service runs the request that was sent to gateway i
		headers   []string
		wantRuns  int
		wantCodes []int // codes allowed for the resent request; 0 is the recorded response
	}{
		{"without a fault", nil, nil, 1, []int{0}},
		{"while its gateway is killed", func(st *setup, i int) { st.KillGateway(i) }, nil, 1, []int{int(result.CallOutcomeUnknown)}},
		{"while the leader is killed", func(st *setup, i int) {
			if ld := st.Leader(); ld != i {
				st.KillGateway(ld)
			}
		}, nil, 1, []int{0}},
		{"while the agents of all services are killed", func(st *setup, _ int) {
			for n := range 2 {
				st.KillServer(fmt.Sprintf("service-%d", n))
			}
		}, nil, 1, []int{int(result.CallOutcomeUnknown)}},
		{"when the service drops the connection", nil, []string{fake.HeaderDrop, "1"}, 1, []int{int(result.CallOutcomeUnknown)}},
		{"when the response belongs to another request", nil, []string{fake.HeaderWrongID, "1"}, 1, []int{int(result.CallOutcomeUnknown)}},
		{"when the response is truncated", nil, []string{fake.HeaderShort, "1"}, 1, []int{int(result.CallOutcomeUnknown)}},
	}
	for n, tc := range cases {
		It("runs at most once "+tc.name, func() {
			st := newSetup(setupConfig{services: 2})
			i := st.follower()
			key := fmt.Sprintf("case-%d", n)
			headers := append([]string{"Idempotency-Key", key, fake.HeaderDelay, "400ms"}, tc.headers...)
			done := make(chan answer, 1)
			go func() {
				defer GinkgoRecover()
				done <- st.send(i, "alpha", http.MethodPost, "/r/once/"+key, "visit", headers...)
			}()
			if tc.inject != nil {
				Expect(st.eventually(func() error {
					if st.runs(key) == 0 {
						return fmt.Errorf("the request does not run yet")
					}

					return nil
				})).To(Succeed())
				tc.inject(st, i)
			}
			first := <-done

			var again answer
			Expect(st.eventually(func() error {
				again = st.send((i+1)%3, "alpha", http.MethodPost, "/r/once/"+key, "visit", headers...)
				if again.err != nil {
					again = st.send((i+2)%3, "alpha", http.MethodPost, "/r/once/"+key, "visit", headers...)
				}
				if again.err != nil || again.Error.Code == int(result.CallInFlight) || again.status == http.StatusServiceUnavailable {
					return fmt.Errorf("the outcome of the request is still pending: %+v", again)
				}

				return nil
			})).To(Succeed())
			Expect(tc.wantCodes).To(ContainElement(again.Error.Code), "%+v after %+v", again, first)
			if again.Error.Code == 0 {
				Expect(again.header.Get("X-Replayed")).To(Equal("true"))
				if first.err == nil && first.status == http.StatusOK {
					Expect(again.body).To(Equal(first.body))
					Expect(first.header.Get("Content-Length")).To(Equal(fmt.Sprint(len(first.body))), "the declared length is forwarded")
				}
			} else {
				Expect(again.Error.Execution).To(Equal("unknown"))
			}
			Expect(st.runs(key)).To(Equal(tc.wantRuns))
		})
	}

	It("runs once when many callers send it concurrently through all gateways", func() {
		st := newSetup(setupConfig{services: 2})
		var wg sync.WaitGroup
		for n := range 30 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer GinkgoRecover()
				st.send(n%3, "alpha", http.MethodPost, "/r/once/many", "x", "Idempotency-Key", "many", fake.HeaderDelay, "50ms")
			}()
		}
		wg.Wait()
		Expect(st.runs("many")).To(Equal(1))
		other := st.send(0, "beta", http.MethodPost, "/r/once/many", "x", "Idempotency-Key", "many")
		Expect(other.status).To(Equal(http.StatusOK), "idempotency keys of different workspaces are independent")
		Expect(st.runs("many")).To(Equal(2))
		reused := st.send(0, "alpha", http.MethodPost, "/r/once/many", "other", "Idempotency-Key", "many")
		Expect(reused.Error.Code).To(Equal(int(result.IdempotencyReused)))
	})

	It("may be sent again after a refusal with execution notRun", func() {
		st := newSetup(setupConfig{})
		first := st.send(0, "alpha", http.MethodPost, "/r/once/later", "x", "Idempotency-Key", "later")
		Expect(first.Error.Code).To(Equal(int(result.NoBackendServer)))
		Expect(first.Error.Execution).To(Equal("notRun"))
		Expect(first.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(st.StartServer("service-0", "service", serviceClass, "a", "")).To(Succeed())
		Expect(st.WaitForReadyServers(st.ctx, "s", 1, "")).To(Succeed())
		again := st.send(1, "alpha", http.MethodPost, "/r/once/later", "x", "Idempotency-Key", "later")
		Expect(again.status).To(Equal(http.StatusOK), "%+v", again)
		Expect(st.runs("later")).To(Equal(1))
	})
})

var _ = Describe("a refusal", func() {
	It("with execution notRun means that the request never ran, despite crashes of services, agents and a gateway", func() {
		st := newSetup(setupConfig{services: 3, configure: func(cfg *deployment.Config) {
			beta := cfg.Declarations.Workspaces["beta"]
			beta.MaxInFlight = 3
			cfg.Declarations.Workspaces["beta"] = beta
		}})
		var mu sync.Mutex
		refused := map[string]string{}
		count := map[string]int{}
		var wg sync.WaitGroup
		for w := range 12 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer GinkgoRecover()
				for n := range 60 {
					id := fmt.Sprintf("storm-%d-%d-", w, n)
					an := st.send(n%3, []string{"alpha", "beta"}[w%2], http.MethodPost, "/r/once/"+id, "x", fake.HeaderDelay, "3ms", "X-Timeout-Ms", "800")
					mu.Lock()
					switch {
					case an.err != nil:
						count["connection"]++
					case an.status == http.StatusOK:
						count["ok"]++
					default:
						count[an.Error.Name+" "+an.Error.Execution]++
						if an.Error.Execution == "notRun" {
							refused[id] = an.Error.Name
						}
					}
					mu.Unlock()
				}
			}()
		}
		time.Sleep(60 * time.Millisecond)
		st.KillServer("service-0")
		st.Services()["service-1"].Crash(100 * time.Millisecond)
		st.KillGateway(2)
		wg.Wait()
		GinkgoWriter.Println(count)
		Expect(refused).NotTo(BeEmpty(), "no request was refused with execution notRun: %v", count)
		for id, name := range refused {
			Expect(st.runs(id)).To(BeZero(), "request %s was refused with %s as not run, but ran", id, name)
		}
		for w := range 12 {
			for n := range 60 {
				Expect(st.runs(fmt.Sprintf("storm-%d-%d-", w, n))).To(BeNumerically("<=", 1))
			}
		}
	})

	bad := []struct {
		name, workspace, method, path, body string
		headers                             []string
		want                                result.Code
	}{
		{"a missing key", "none", "GET", "/r/repeat/x", "", nil, result.MissingKey},
		{"an unknown key", "none", "GET", "/r/repeat/x", "", []string{"Authorization", "Bearer tbk_0000_1111"}, result.UnknownKey},
		{"a malformed key", "none", "GET", "/r/repeat/x", "", []string{"Authorization", "Bearer x"}, result.UnknownKey},
		{"an unknown route", "alpha", "GET", "/r/nowhere/x", "", nil, result.UnknownRoute},
		{"an unknown route without a key", "none", "GET", "/r/nowhere/x", "", nil, result.MissingKey},
		{"another workspace's route", "beta", "GET", "/r/alpha/x", "", nil, result.RouteNotAllowed},
		{"an unknown model", "alpha", "POST", "/v1/completions", `{"model":"x","prompt":"y"}`, nil, result.UnknownModel},
		{"a malformed body", "alpha", "POST", "/v1/completions", `{"model":`, nil, result.MalformedBody},
		{"an unknown field", "alpha", "POST", "/v1/completions", `{"model":"m","prompt":"x","colour":1}`, nil, result.MalformedBody},
		{"a field out of range", "alpha", "POST", "/v1/completions", `{"model":"m","prompt":"x","max_tokens":9999999}`, nil, result.InvalidField},
		{"a body over the limit", "alpha", "POST", "/r/repeat/x", string(make([]byte, 2<<20)), nil, result.BodyTooLarge},
		{"a timeout that is not a number", "alpha", "GET", "/r/repeat/x", "", []string{"X-Timeout-Ms", "soon"}, result.InvalidField},
		{"a step of another workspace", "beta", "GET", "/v1/steps/s1/pages/1?waitMs=1", "", nil, result.UnknownStep},
		{"a trainer of another workspace", "beta", "POST", "/v1/steps", `{"id":"s","trainer":"t","groups":[]}`, nil, result.UnknownObject},
		{"an acknowledgement of a page that was never sent", "alpha", "POST", "/v1/steps/bad/pages/4/ack", "", nil, result.PageNeverSent},
		{"a page beyond the next one", "alpha", "GET", "/v1/steps/bad/pages/7?waitMs=1", "", nil, result.PageFromFuture},
		{"page number 0", "alpha", "GET", "/v1/steps/bad/pages/0", "", nil, result.InvalidField},
		{"an unknown path", "alpha", "GET", "/v2", "", nil, result.UnknownRoute},
		{"headers over the limit", "alpha", "GET", "/r/repeat/x", "", []string{"X-Flood", strings.Repeat("x", 40_000)}, result.HeaderTooLarge},
		{"an unsupported method", "alpha", "GET", "/v1/completions", "", nil, result.MethodNotAllowed},
	}
	It("has the documented code for each kind of invalid request", func() {
		st := newSetup(setupConfig{services: 1, tune: func(se *settings.Gateway) { se.Times.BodyMs = 300 }})
		open := st.send(0, "alpha", "POST", "/v1/steps", `{"id":"bad","trainer":"t","groups":[{"id":"g","prompt":"p","samples":1,"maxTokens":4}]}`)
		Expect(open.status).To(Equal(http.StatusOK), "%+v", open)
		for _, tc := range bad {
			an := st.send(0, tc.workspace, tc.method, tc.path, tc.body, tc.headers...)
			Expect(an.err).NotTo(HaveOccurred(), tc.name)
			Expect(an.Error.Code).To(Equal(int(tc.want)), "%s: %+v", tc.name, an)
			Expect(an.status).To(Equal(result.Lookup(tc.want).Status), tc.name)
			Expect(an.Error.Execution).To(Equal("notRun"), tc.name)
		}
		slow := st.sendRaw(0, "POST /r/repeat/slow HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+st.token["alpha"]+"\r\nContent-Length: 10\r\n\r\nhalf")
		Expect(slow).To(ContainSubstring(`"name":"bodyTooSlow"`))
		Expect(st.runs("slow")).To(BeZero())
		Expect(st.send(0, "none", "GET", "/r/open/x", "").status).To(Equal(http.StatusOK), "an open route needs no key")
	})
})
