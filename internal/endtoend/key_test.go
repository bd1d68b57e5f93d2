package endtoend_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/deployment"
	"github.com/tamarackbay/tamarackbay/internal/fake"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/settings"
)

// longStreamBody requests a stream that outlasts the test.
const longStreamBody = `{"model":"m","prompt":"stream","max_tokens":4000,"stream":true}`

// openStream opens a long stream at gateway i, waits for its first line, and returns a channel
// that receives all lines once the stream ends.
func (st *setup) openStream(i int, workspace string) <-chan []string {
	rq, err := http.NewRequestWithContext(st.ctx, http.MethodPost, st.URLs()[i]+"/v1/completions", strings.NewReader(longStreamBody))
	Expect(err).NotTo(HaveOccurred())
	rq.Header.Set("Authorization", "Bearer "+st.token[workspace])
	rs, err := http.DefaultClient.Do(rq)
	Expect(err).NotTo(HaveOccurred())
	Expect(rs.StatusCode).To(Equal(http.StatusOK))
	ended := make(chan []string, 1)
	begun := make(chan struct{})
	go func() {
		defer rs.Body.Close()
		var lines []string
		sc := bufio.NewScanner(rs.Body)
		for sc.Scan() {
			if lines = append(lines, sc.Text()); len(lines) == 1 {
				close(begun)
			}
		}
		ended <- lines
	}()
	<-begun

	return ended
}

var slowEngine = fake.EngineConfig{TokenTime: 20 * time.Millisecond}

var _ = Describe("a withdrawn key", func() {
	const withdrawalBound = 2 * time.Second // documented as seconds; required to be 2 s on a connected process

	It("ends the streams that run under it on every gateway and no others", func() {
		st := newSetup(setupConfig{engines: 2, services: 1, engine: slowEngine})
		var ended []<-chan []string
		for i := range 3 {
			ended = append(ended, st.openStream(i, "alpha"))
		}
		other := st.openStream(0, "beta")
		began := time.Now()
		Expect(st.CallOperators(st.ctx, "POST", "/v1/keys/"+st.keyID["alpha"]+"/withdraw", nil, nil)).To(Succeed())
		for i, ch := range ended {
			var lines []string
			Eventually(ch, withdrawalBound).Should(Receive(&lines), "gateway %d", i)
			all := strings.Join(lines, "\n")
			Expect(all).To(ContainSubstring(`"name":"withdrawnKey"`))
			Expect(all).NotTo(ContainSubstring("[DONE]"))
		}
		GinkgoWriter.Println("all streams ended after", time.Since(began))
		for i := range 3 {
			Expect(st.send(i, "alpha", "GET", "/r/repeat/x", "").Error.Code).To(Equal(int(result.WithdrawnKey)))
		}
		Consistently(other, 300*time.Millisecond).ShouldNot(Receive())
	})

	orders := []struct {
		name      string
		killFirst bool
	}{{"before a gateway is killed", false}, {"after a gateway is killed", true}}
	for _, tc := range orders {
		It("stays withdrawn when it is withdrawn "+tc.name+" and the gateway is restarted", func() {
			st := newSetup(setupConfig{services: 1})
			lost := st.Leader()
			Expect(lost).To(BeNumerically(">=", 0))
			withdraw := func() {
				Expect(st.CallOperators(st.ctx, "POST", "/v1/keys/"+st.keyID["alpha"]+"/withdraw", nil, nil)).To(Succeed())
			}
			if tc.killFirst {
				st.KillGateway(lost)
				withdraw()
			} else {
				withdraw()
				st.KillGateway(lost)
			}
			Expect(st.StartGateway(lost)).To(Succeed())
			// The gateway must apply the withdrawal from its first response on.
			Expect(st.eventually(func() error {
				an := st.send(lost, "alpha", "GET", "/r/repeat/after", "")
				Expect(an.status).NotTo(Equal(http.StatusOK))
				if an.Error.Code != int(result.WithdrawnKey) {
					return fmt.Errorf("expected the refusal of a withdrawn key, got %+v", an)
				}

				return nil
			})).To(Succeed())
			Expect(st.runs("after")).To(BeZero())
		})
	}

	It("loses its streams within the freshness bound on a gateway that is cut off from the group", func() {
		st := newSetup(setupConfig{engines: 1, engine: slowEngine, tune: func(se *settings.Gateway) {
			se.Times.FreshnessMs = 1500
		}})
		i := st.follower()
		ended := st.openStream(i, "alpha")
		for o := range 3 {
			if o != i {
				st.KillGateway(o) // no process is left that could send it a withdrawal
			}
		}
		cut := time.Now()
		var lines []string
		Eventually(ended, 1500*time.Millisecond+withdrawalBound).Should(Receive(&lines))
		GinkgoWriter.Println("the stream of the gateway that was cut off ended after", time.Since(cut))
		Expect(strings.Join(lines, "\n")).To(ContainSubstring(`"name":"staleProcess"`))
		an := st.send(i, "alpha", "GET", "/r/repeat/x", "")
		Expect(an.Error.Code).To(Equal(int(result.StaleProcess)))
		Expect(an.Error.Execution).To(Equal("notRun"))
		Expect(st.send(i, "", "GET", "/readyz", "").status).To(Equal(http.StatusServiceUnavailable), "the readiness check must fail so that a balancer uses other gateways")
		Expect(st.send(i, "", "GET", "/healthz", "").status).To(Equal(http.StatusNoContent))
	})
})

// lockedBuffer collects the logs of all processes and is safe for concurrent writes.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (lb *lockedBuffer) Write(p []byte) (int, error) {
	lb.mu.Lock()
	defer lb.mu.Unlock()

	return lb.b.Write(p)
}

var _ = Describe("a key", func() {
	It("reaches no backend server, log, metric, error or file, wherever a caller puts it", func() {
		logs := &lockedBuffer{}
		folder := ""
		st := newSetup(setupConfig{engines: 1, services: 1, configure: func(cfg *deployment.Config) {
			cfg.Log = &log.Logger{Handler: json.New(logs), Level: log.DebugLevel}
			folder = cfg.Folder
		}})
		token := st.token["alpha"]
		_, secret, ok := declaration.ParseToken(token)
		Expect(ok).To(BeTrue())
		requests := []struct {
			path, body string
			headers    []string
			want       int
		}{
			{"/r/repeat/plain", "", nil, 200},
			{"/r/repeat/header", "", []string{"X-Api-Key", token, "X-Custom", "my key is " + token, "Cookie", "k=" + token}, 200},
			{"/r/repeat/hop", "", []string{"Connection", "X-Secret-Thing", "X-Secret-Thing", secret, "Proxy-Authorization", "Bearer " + token}, 200},
			{"/r/repeat/query?key=" + token, "", nil, 400},
			{"/r/repeat/" + secret, "", nil, 400},
			{"/r/repeat/body", `{"key":"` + secret + `"}`, nil, 400},
			{"/v1/completions", `{"model":"m","prompt":"my key is ` + token + `"}`, nil, 400},
			{"/v1/completions", `{"model":"m","prompt":"hello","max_tokens":4}`, nil, 200},
		}
		var answers strings.Builder
		for _, tc := range requests {
			an := st.send(0, "alpha", http.MethodPost, tc.path, tc.body, tc.headers...)
			Expect(an.status).To(Equal(tc.want), "%s: %+v", tc.path, an)
			fmt.Fprintln(&answers, an.header, an.Error)
		}
		var seen strings.Builder
		for _, sv := range st.Services() {
			for _, r := range sv.Runs() {
				fmt.Fprintln(&seen, r.Path, r.Query, r.Header, r.Body)
			}
		}
		for _, en := range st.AllEngines() {
			for _, r := range en.Runs() {
				fmt.Fprintln(&seen, r.Headers, r.Prompt)
			}
		}
		Expect(seen.String()).To(ContainSubstring("plain"), "the plain request must have reached a backend server")
		Expect(seen.String()).NotTo(ContainSubstring(secret), "a backend server received the key")
		Expect(answers.String()).NotTo(ContainSubstring(secret), "a response contains the key")
		rs, err := http.Get("http://" + st.Settings(0).OperatorAddress + "/metrics")
		Expect(err).NotTo(HaveOccurred())
		var metrics bytes.Buffer
		_, err = metrics.ReadFrom(rs.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.Body.Close()).To(Succeed())
		Expect(metrics.String()).To(ContainSubstring("refused_keyInRequest 4"))
		Expect(metrics.String()).NotTo(ContainSubstring(secret))
		logs.mu.Lock()
		Expect(logs.b.String()).NotTo(ContainSubstring(secret))
		logs.mu.Unlock()
		files := 0
		Expect(filepath.WalkDir(folder, func(p string, de os.DirEntry, err error) error {
			if err != nil || de.IsDir() {
				return err
			}
			files++
			b, err := os.ReadFile(p)
			Expect(bytes.Contains(b, []byte(secret))).To(BeFalse(), "file %s contains the key", p)

			return err
		})).To(Succeed())
		Expect(files).To(BeNumerically(">", 3))
	})

	It("cannot be bypassed by request smuggling or header injection", func() {
		st := newSetup(setupConfig{services: 1})
		raw := []string{
			"POST /r/repeat/a HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + st.token["alpha"] + "\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /r/alpha/smuggled HTTP/1.1\r\nHost: x\r\n\r\n",
			"GET /r/repeat/b HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + st.token["beta"] + "\r\nX-Workspace: alpha\r\nX-A: 1\r\n X-Folded: alpha\r\n\r\n",
			"GET /r/repeat/%0d%0aX-Injected:%201 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + st.token["beta"] + "\r\n\r\n",
		}
		for _, r := range raw {
			st.sendRaw(0, r)
		}
		for _, sv := range st.Services() {
			for _, r := range sv.Runs() {
				Expect(r.Path).NotTo(ContainSubstring("smuggled"))
				Expect(r.Header).NotTo(HaveKey("X-Injected"))
				Expect(r.Header).NotTo(HaveKey("X-Workspace"))
			}
		}
	})
})
