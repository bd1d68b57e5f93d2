// Package deployment runs a complete deployment in one process for the demo, the
// experiments and the tests: real gateways and agents on loopback addresses, and
// stand-ins for the external systems, which record what they receive for later checks.
package deployment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/fake"
	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/program"
	"github.com/tamarackbay/tamarackbay/internal/settings"
	"github.com/tamarackbay/tamarackbay/pkg/client"
)

// OperatorToken is the operator's token of every deployment that this package starts.
const OperatorToken = "operator-of-the-demo"

// Config describes a deployment.
type Config struct {
	Gateways       int
	Folder         string // parent of the data folders, one per gateway
	Declarations   *declaration.Set
	Engine         fake.EngineConfig // its Model is set from the class
	ServiceDelay   time.Duration
	StoreLimit     int           // concurrent fetches that the weight store serves, at least 1
	ServerStartup  time.Duration // startup time of an ordered backend server
	NoOrdering     bool          // no ordering interface: the test starts backend servers itself
	NoUsage        bool
	NoScorer       bool
	AdjustSettings func(se *settings.Gateway) // changes the settings of each gateway
	Log            log.Interface
}

// Deployment is a running deployment.
type Deployment struct {
	cfg      Config
	Store    *fake.WeightStore
	Scorer   *fake.Scorer
	Ordering *fake.Ordering
	Usage    *fake.UsageSink

	mu             sync.Mutex
	settings       []settings.Gateway
	gateways       []*program.Gateway
	engines        map[string]*fake.Engine
	services       map[string]*fake.Service
	agents         map[string]*program.Agent
	isClosed       bool
	stoppedEngines []*fake.Engine // engines of backend servers that were stopped or killed
}

// domains are the failure domains, to which gateways are assigned round-robin.
var domains = []string{"a", "b", "c"}

// Ports of a gateway. They are below the operating system's range of ephemeral ports.
const (
	callerPort      = 8080
	operatorPort    = 8081
	peerPort        = 8082
	maxHostAttempts = 100 // random loopback addresses that are tried
)

// freeHost returns an unused loopback address. Each gateway gets its own, like gateways on
// VMs of their own.
func freeHost() (string, error) {
	for range maxHostAttempts {
		h := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
		ln, err := net.Listen("tcp", net.JoinHostPort(h, strconv.Itoa(callerPort)))
		if err == nil {
			return h, ln.Close()
		}
	}

	return "", fmt.Errorf("deployment: no free loopback address found in %d attempts", maxHostAttempts)
}

// Start starts the stand-ins and the gateways and applies the declarations, if any.
func Start(ctx context.Context, cfg Config) (*Deployment, error) {
	if cfg.Log == nil {
		cfg.Log = logging.Discard()
	}
	de := &Deployment{
		cfg: cfg, engines: map[string]*fake.Engine{}, services: map[string]*fake.Service{}, agents: map[string]*program.Agent{},
	}
	if err := de.startExternalSystems(); err != nil {
		return nil, err
	}
	if err := de.generateSettings(); err != nil {
		return nil, err
	}
	for i := range cfg.Gateways {
		if err := de.StartGateway(i); err != nil {
			return nil, err
		}
	}
	if cfg.Declarations == nil {
		return de, nil
	}

	return de, de.Apply(ctx, cfg.Declarations)
}

// startExternalSystems starts the stand-ins for the external systems.
func (de *Deployment) startExternalSystems() error {
	const anyPort = "127.0.0.1:0"
	var err error
	if de.Store, err = fake.NewWeightStore(anyPort, max(de.cfg.StoreLimit, 1)); err != nil {
		return err
	}
	if de.Scorer, err = fake.NewScorer(anyPort); err != nil {
		return err
	}
	if de.Usage, err = fake.NewUsageSink(anyPort); err != nil {
		return err
	}
	de.Ordering, err = fake.NewOrdering(anyPort, de.startOrdered, de.StopServer)

	return err
}

// generateSettings generates the settings of all gateways.
func (de *Deployment) generateSettings() error {
	var fos []settings.Founder
	for i := range de.cfg.Gateways {
		var se settings.Gateway
		settings.Defaults(&se)
		h, err := freeHost()
		if err != nil {
			return err
		}
		se.CallerAddress = net.JoinHostPort(h, strconv.Itoa(callerPort))
		se.OperatorAddress = net.JoinHostPort(h, strconv.Itoa(operatorPort))
		se.PeerAddress = net.JoinHostPort(h, strconv.Itoa(peerPort))
		se.Name = fmt.Sprintf("gateway-%d", i+1)
		se.FailureDomain = domains[i%len(domains)]
		se.DataFolder = filepath.Join(de.cfg.Folder, se.Name)
		se.Operators = []settings.Operator{{Name: "demo", TokenHash: declaration.HashSecret(OperatorToken)}}
		se.ExternalServices = settings.ExternalServices{WeightStore: de.Store.Address()}
		if !de.cfg.NoScorer {
			se.ExternalServices.Scorer = de.Scorer.Address()
		}
		if !de.cfg.NoOrdering {
			se.ExternalServices.Ordering = de.Ordering.Address()
		}
		if !de.cfg.NoUsage {
			se.ExternalServices.Usage = de.Usage.Address()
		}
		se.Times.BalancerLagMs = 100
		fos = append(fos, settings.Founder{Name: se.Name, Address: se.PeerAddress})
		de.settings = append(de.settings, se)
		de.gateways = append(de.gateways, nil)
	}
	for i := range de.settings {
		de.settings[i].Founders = fos
		if de.cfg.AdjustSettings != nil {
			de.cfg.AdjustSettings(&de.settings[i])
		}
		if err := de.settings[i].Validate(); err != nil {
			return err
		}
	}

	return nil
}

// StartGateway starts gateway i, or restarts it after KillGateway.
func (de *Deployment) StartGateway(i int) error {
	pg, err := program.StartGateway(de.settings[i], de.cfg.Log)
	if err != nil {
		return err
	}
	de.mu.Lock()
	de.gateways[i] = pg
	de.mu.Unlock()

	return nil
}

// Gateway returns gateway i.
func (de *Deployment) Gateway(i int) *program.Gateway {
	de.mu.Lock()
	defer de.mu.Unlock()

	return de.gateways[i]
}

// KillGateway terminates gateway i as a crash would.
func (de *Deployment) KillGateway(i int) {
	pg := de.Gateway(i)
	pg.Kill()
	<-pg.Done()
}

// RemoveDataFolder removes the data folder of gateway i, which must not be running.
func (de *Deployment) RemoveDataFolder(i int) error { return os.RemoveAll(de.settings[i].DataFolder) }

// Settings returns the settings of gateway i.
func (de *Deployment) Settings(i int) *settings.Gateway { return &de.settings[i] }

// Leader returns the index of the gateway whose replica leads the group, or -1 if none does.
func (de *Deployment) Leader() int {
	for i := range de.settings {
		pg := de.Gateway(i)
		if pg == nil {
			continue
		}
		select {
		case <-pg.Done():
			continue
		default:
		}
		if pg.Gateway().Group().Status().Role == "leader" {
			return i
		}
	}

	return -1
}

// URLs returns the base URLs of all gateways for callers and trainers.
func (de *Deployment) URLs() []string {
	out := make([]string, len(de.settings))
	for i := range de.settings {
		out[i] = "http://" + de.settings[i].CallerAddress
	}

	return out
}

// Client returns a client that uses every gateway, starting with gateway first.
func (de *Deployment) Client(token string, first int) *client.Client {
	u := de.URLs()
	first %= len(u)

	return client.New(client.Config{Gateways: append(u[first:len(u):len(u)], u[:first]...), Token: token})
}

// CallOperators calls the operators' interface of the gateways in order, and retries until one
// responds without a server error or ctx ends.
func (de *Deployment) CallOperators(ctx context.Context, method, path string, in, out any) error {
	var last error
	for ctx.Err() == nil {
		for i := range de.settings {
			retry, err := de.callOperatorsAt(ctx, i, method, path, in, out)
			if err == nil || !retry {
				return err
			}
			last = err
		}
		time.Sleep(50 * time.Millisecond)
	}

	return fmt.Errorf("deployment: the operator's call did not succeed: %w; last error: %w", ctx.Err(), last)
}

// callOperatorsAt calls the operators' interface of gateway i and reports whether the call may
// be retried.
func (de *Deployment) callOperatorsAt(ctx context.Context, i int, method, path string, in, out any) (bool, error) {
	b, err := json.Marshal(in)
	if err != nil {
		return false, err
	}
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+de.settings[i].OperatorAddress+path, bytes.NewReader(b))
	if err != nil {
		return false, err
	}
	rq.Header.Set("Authorization", "Bearer "+OperatorToken)
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return true, err
	}
	defer rs.Body.Close()
	body, err := io.ReadAll(rs.Body)
	if err != nil {
		return true, err
	}
	if rs.StatusCode >= http.StatusBadRequest {
		return rs.StatusCode >= http.StatusInternalServerError, fmt.Errorf("deployment: %s %s: response with status %d: %s", method, path, rs.StatusCode, body)
	}
	if out == nil {
		return false, nil
	}

	return false, json.Unmarshal(body, out)
}

// Apply makes the configuration equal to set, except for keys, which are unchanged. It
// repeats the patch until nothing differs.
func (de *Deployment) Apply(ctx context.Context, set *declaration.Set) error {
	for {
		var cur struct {
			Version uint64           `json:"version"`
			Set     *declaration.Set `json:"declarations"`
		}
		cur.Set = declaration.NewSet()
		if err := de.CallOperators(ctx, http.MethodGet, "/v1/configuration", nil, &cur); err != nil {
			return err
		}
		ops, err := declaration.Diff(cur.Set, set, false)
		if err != nil || len(ops) == 0 {
			return err
		}
		pa := declaration.Patch{ID: fmt.Sprintf("apply-%d-%d", cur.Version, time.Now().UnixNano()), Base: cur.Version, Ops: ops}
		if err := de.CallOperators(ctx, http.MethodPost, "/v1/patches", pa, nil); err != nil {
			return err
		}
	}
}

// IssueKey returns the ID and the token of a new key.
func (de *Deployment) IssueKey(ctx context.Context, workspace string) (id, token string, err error) {
	var out struct{ ID, Token string }
	err = de.CallOperators(ctx, http.MethodPost, "/v1/keys", map[string]string{"workspace": workspace}, &out)

	return out.ID, out.Token, err
}

// Close terminates all agents, gateways and stand-ins.
func (de *Deployment) Close() {
	de.mu.Lock()
	de.isClosed = true
	gateways := append([]*program.Gateway(nil), de.gateways...)
	agents := de.agents
	de.agents = map[string]*program.Agent{}
	de.mu.Unlock()
	for _, pa := range agents {
		pa.Kill()
	}
	for _, pg := range gateways {
		if pg != nil {
			pg.Kill()
			<-pg.Done()
		}
	}
	for _, en := range de.AllEngines() {
		en.Close()
	}
	for _, sv := range de.Services() {
		sv.Close()
	}
	de.Store.Close()
	de.Scorer.Close()
	de.Ordering.Close()
	de.Usage.Close()
}
