// Package endtoend_test runs complete deployments in one process, injects faults, and
// checks what callers, trainers, operators and backend servers observe.
package endtoend_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/deployment"
	"github.com/tamarackbay/tamarackbay/internal/fake"
	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/program"
	"github.com/tamarackbay/tamarackbay/internal/settings"
	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestEndToEnd(t *testing.T) {
	suite.Run(t, "end to end")
}

// testLimit is the timeout of a test that hangs. No test result depends on it otherwise.
const testLimit = 60 * time.Second

// setup is a running deployment with three gateways, two workspaces, one model and one
// plain service.
type setup struct {
	*deployment.Deployment
	ctx   context.Context
	token map[string]string // keyed by workspace
	keyID map[string]string
}

// setupConfig selects the backend servers and settings of a setup.
type setupConfig struct {
	engines   int
	services  int
	engine    fake.EngineConfig
	tune      func(se *settings.Gateway)   // changes the settings of each gateway
	configure func(cfg *deployment.Config) // changes the configuration of the deployment
}

// declarations returns the initial configuration of a setup.
func declarations() *declaration.Set {
	set := declaration.NewSet()
	for _, w := range []string{"alpha", "beta"} {
		wo := declaration.Workspace{}
		wo.Defaults()
		set.Workspaces[w] = wo
	}
	mo := declaration.Model{StalenessBound: 1, SwapWave: 8}
	mo.Defaults()
	set.Models["m"] = mo
	set.Versions["m@v1"] = declaration.Version{Model: "m", Name: "v1", Sequence: 1}
	set.Trainers["t"] = declaration.Trainer{Workspace: "alpha", Model: "m", StalenessBound: 1, StepTimeoutMs: 60_000}
	for n, ro := range map[string]declaration.Route{
		"m":      {Model: "m", Repeatable: true},
		"once":   {Service: "s", Class: declaration.ClassLookup},
		"repeat": {Service: "s", Repeatable: true},
		"open":   {Service: "s", Repeatable: true, Open: true, OpenWorkspace: "beta"},
		"alpha":  {Service: "s", Repeatable: true, Workspaces: []string{"alpha"}},
	} {
		ro.Defaults()
		ro.TimeoutMs = 10_000
		set.Routes[n] = ro
	}

	return set
}

var (
	engineClass  = declaration.Class{Model: "m", Slots: 8, StartupMs: 1000}
	serviceClass = declaration.Class{Service: "s", Slots: 32, StartupMs: 1000}
)

// newSetup starts a deployment, waits until it serves, and stops it at the end of the test.
func newSetup(cfg setupConfig) *setup {
	folder, err := os.MkdirTemp("", "tamarackbay-test-")
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	en := cfg.engine
	en.Version = "v1"
	if en.TokenTime == 0 {
		en.TokenTime = 2 * time.Millisecond
	}
	if en.RestartDelay == 0 {
		en.RestartDelay = 200 * time.Millisecond
	}
	dc := deployment.Config{
		Gateways: 3, Folder: folder, Declarations: declarations(), Engine: en, ServiceDelay: time.Millisecond,
		StoreLimit: 8, NoOrdering: true, NoUsage: true,
		AdjustSettings: func(se *settings.Gateway) {
			se.Times.ReplaceAfterMs, se.Times.LeaseMs, se.Times.MaxCallMs = 1500, 1000, 300
			if cfg.tune != nil {
				cfg.tune(se)
			}
		},
	}
	if cfg.configure != nil {
		cfg.configure(&dc)
	}
	de, err := deployment.Start(ctx, dc)
	Expect(err).NotTo(HaveOccurred())
	st := &setup{Deployment: de, ctx: ctx, token: map[string]string{}, keyID: map[string]string{}}
	DeferCleanup(func() {
		cancel()
		de.Close()
		Expect(os.RemoveAll(folder)).To(Succeed())
	})
	for _, w := range []string{"alpha", "beta"} {
		id, token, err := de.IssueKey(ctx, w)
		Expect(err).NotTo(HaveOccurred())
		st.keyID[w], st.token[w] = id, token
	}
	for i := range cfg.engines {
		Expect(de.StartServer(fmt.Sprintf("engine-%d", i), "engine", engineClass, []string{"a", "b", "c"}[i%3], "")).To(Succeed())
	}
	for i := range cfg.services {
		Expect(de.StartServer(fmt.Sprintf("service-%d", i), "service", serviceClass, []string{"a", "b", "c"}[i%3], "")).To(Succeed())
	}
	Expect(de.WaitForReadyServers(ctx, "m", cfg.engines, "v1")).To(Succeed())
	Expect(de.WaitForReadyServers(ctx, "s", cfg.services, "")).To(Succeed())
	Expect(st.eventually(st.checkKeysKnown)).To(Succeed())

	return st
}

// eventually retries f until it succeeds or the test times out.
func (st *setup) eventually(f func() error) error {
	return deployment.RetryUntil(st.ctx, f)
}

// checkKeysKnown returns an error unless every gateway is ready and has the keys of both
// workspaces.
func (st *setup) checkKeysKnown() error {
	for i := range 3 {
		if err := st.Gateway(i).Gateway().Ready(); err != nil {
			return err
		}
		for w, id := range st.keyID {
			if _, ok := st.Gateway(i).Gateway().Group().View().Set.Keys[id]; !ok {
				return fmt.Errorf("gateway %d has not received the key of workspace %s", i, w)
			}
		}
	}

	return nil
}

// answer is the response to one request as the caller receives it.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // the request failed or the response could not be read

	Error struct {
		Code      int    `json:"code"`
		Name      string `json:"name"`
		Execution string `json:"execution"`
	} `json:"error"`
}

// send sends one request to gateway i, without retries. The headers are pairs of name and
// value.
func (st *setup) send(i int, workspace, method, path, body string, headers ...string) answer {
	rq, err := http.NewRequestWithContext(st.ctx, method, st.URLs()[i]+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	if t := st.token[workspace]; t != "" {
		rq.Header.Set("Authorization", "Bearer "+t)
	}
	for n := 0; n+1 < len(headers); n += 2 {
		rq.Header.Set(headers[n], headers[n+1])
	}
	rs, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(rq)
	if err != nil {
		return answer{err: err}
	}
	defer rs.Body.Close()
	b, err := io.ReadAll(rs.Body)
	an := answer{status: rs.StatusCode, header: rs.Header, body: string(b), err: err}
	_ = json.Unmarshal(b, &an) // a response without an error leaves the field empty

	return an
}

// runs returns the number of requests that all plain services ran and whose path and query
// contain text.
func (st *setup) runs(text string) int {
	n := 0
	for _, sv := range st.Services() {
		for _, r := range sv.Runs() {
			if strings.Contains(r.Path+"?"+r.Query, text) {
				n++
			}
		}
	}

	return n
}

// follower waits for a leader and returns the index of a gateway that is a follower.
func (st *setup) follower() int { return (st.awaitLeader() + 1) % 3 }

// awaitLeader waits for a leader of the group and returns its index.
func (st *setup) awaitLeader() int {
	ld := -1
	Expect(st.eventually(func() error {
		if ld = st.Leader(); ld < 0 {
			return fmt.Errorf("the group has no leader")
		}

		return nil
	})).To(Succeed())

	return ld
}

// sendRaw writes text to the caller address of gateway i and returns what the gateway sends
// until it closes the connection or a second passes.
func (st *setup) sendRaw(i int, text string) string {
	conn, err := net.Dial("tcp", st.Settings(i).CallerAddress)
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = conn.Write([]byte(text))
	Expect(err).NotTo(HaveOccurred())
	Expect(conn.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
	b, _ := io.ReadAll(conn) // the deadline ends the read if the gateway keeps the connection open

	return string(b)
}

// startWithSettings starts a gateway with the settings se and returns the error that it ended
// with. A gateway that still runs after 5 s is killed.
func (st *setup) startWithSettings(se settings.Gateway) error {
	pg, err := program.StartGateway(se, logging.Discard())
	if err != nil {
		return err
	}
	select {
	case <-pg.Done():
	case <-time.After(5 * time.Second):
		pg.Kill()
		<-pg.Done()
	}

	return pg.Err()
}
