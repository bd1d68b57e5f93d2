package deployment

import (
	"context"
	"fmt"
	"maps"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/fake"
	"github.com/tamarackbay/tamarackbay/internal/program"
	"github.com/tamarackbay/tamarackbay/internal/settings"
)

// startOrdered starts a backend server that was ordered at the ordering interface, after
// its startup time.
func (de *Deployment) startOrdered(server, class, failureDomain, orderID string) {
	time.Sleep(de.cfg.ServerStartup)
	cl, ok := de.cfg.Declarations.Classes[class]
	if !ok {
		return
	}
	if err := de.StartServer(server, class, cl, failureDomain, orderID); err != nil {
		de.cfg.Log.WithError(err).Error("ordered backend server could not be started")
	}
}

// StartServer starts a backend server with its agent.
func (de *Deployment) StartServer(server, class string, cl declaration.Class, failureDomain, orderID string) error {
	var se settings.Agent
	settings.Defaults(&se)
	se.Server, se.Class, se.FailureDomain, se.Slots, se.Order = server, class, failureDomain, cl.Slots, orderID
	se.Model, se.Service, se.ChecksFencing, se.Bind = cl.Model, cl.Service, cl.ChecksFencing, "127.0.0.1"
	for i := range de.settings {
		se.Gateways = append(se.Gateways, de.settings[i].PeerAddress)
	}

	de.mu.Lock()
	defer de.mu.Unlock()
	if de.isClosed {
		return nil
	}
	if cl.Model != "" {
		ec := de.cfg.Engine
		ec.Model, ec.Slots, ec.ChecksFencing, ec.Store = cl.Model, cl.Slots, cl.ChecksFencing, de.Store
		en, err := fake.NewEngine("127.0.0.1:0", ec)
		if err != nil {
			return err
		}
		de.engines[server], se.Address = en, en.Address()
	} else {
		sv, err := fake.NewService("127.0.0.1:0", de.cfg.ServiceDelay)
		if err != nil {
			return err
		}
		de.services[server], se.Address = sv, sv.Address()
	}
	pa, err := program.StartAgent(se, de.cfg.Log)
	if err != nil {
		return err
	}
	de.agents[server] = pa

	return nil
}

// removeServer removes a backend server from the running ones and returns its agent and
// its engine, each nil if there is none.
func (de *Deployment) removeServer(server string) (*program.Agent, *fake.Engine) {
	de.mu.Lock()
	defer de.mu.Unlock()

	pa, en := de.agents[server], de.engines[server]
	delete(de.agents, server)
	delete(de.engines, server)
	if en != nil {
		de.stoppedEngines = append(de.stoppedEngines, en)
	}

	return pa, en
}

// StopServer stops a backend server and its agent.
func (de *Deployment) StopServer(server string) {
	pa, en := de.removeServer(server)
	sv := de.Services()[server]
	if pa != nil {
		pa.Shutdown()
	}
	if en != nil {
		en.Close()
	}
	if sv != nil {
		sv.Close()
	}
}

// KillServer terminates a backend server and its agent as the loss of its VM would. A
// plain service loses only its agent.
func (de *Deployment) KillServer(server string) {
	pa, en := de.removeServer(server)
	if en != nil {
		en.Close()
	}
	if pa != nil {
		pa.Kill()
	}
}

// Engines returns the running engines by the name of their backend server.
func (de *Deployment) Engines() map[string]*fake.Engine {
	de.mu.Lock()
	defer de.mu.Unlock()

	return maps.Clone(de.engines)
}

// AllEngines returns the running and the terminated engines.
func (de *Deployment) AllEngines() []*fake.Engine {
	de.mu.Lock()
	defer de.mu.Unlock()

	out := append([]*fake.Engine(nil), de.stoppedEngines...)
	for _, en := range de.engines {
		out = append(out, en)
	}

	return out
}

// Services returns the running and the terminated plain services by the name of their
// backend server.
func (de *Deployment) Services() map[string]*fake.Service {
	de.mu.Lock()
	defer de.mu.Unlock()

	return maps.Clone(de.services)
}

// Agent returns the agent of a running backend server, or nil.
func (de *Deployment) Agent(server string) *program.Agent {
	de.mu.Lock()
	defer de.mu.Unlock()

	return de.agents[server]
}

// WaitForReadyServers waits until every running gateway sees at least n ready backend servers of
// the model or plain service serves. If version is set, only servers on which that
// version was verified count.
func (de *Deployment) WaitForReadyServers(ctx context.Context, serves string, n int, version string) error {
	return RetryUntil(ctx, func() error {
		for i := range de.settings {
			pg := de.Gateway(i)
			select {
			case <-pg.Done():
				continue
			default:
			}
			ready := 0
			po, ok := pg.Gateway().Pools()[serves]
			if ok {
				for _, in := range po.Infos() {
					if in.State == "ready" && (version == "" || in.Version == version) {
						ready++
					}
				}
			}
			if ready < n {
				return fmt.Errorf("deployment: gateway %d sees %d of %d ready backend servers of %s at version %q", i+1, ready, n, serves, version)
			}
		}

		return nil
	})
}

// RetryUntil calls f periodically until it returns nil or ctx ends, and returns its last error.
func RetryUntil(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return err
		}
	}
}
