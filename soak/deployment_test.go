package soak_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	dep "github.com/tamarackbay/tamarackbay/internal/deployment"
	"github.com/tamarackbay/tamarackbay/internal/program"
	"github.com/tamarackbay/tamarackbay/platform/standin"
)

// Services of the deployment.
const (
	servicePlain   = "plain"
	serviceEngines = "engines"
)

const (
	// beatPeriod is how often a backend server sends a heartbeat, half of what the
	// settings promise.
	beatPeriod = 150 * time.Millisecond
	// readyWithin bounds the start of the deployment.
	readyWithin = 20 * time.Second
	// callTimeout is the patience of a caller, above the longest timeout of a route
	// for plain requests.
	callTimeout = 5 * time.Second
	gracePeriod = 6 * time.Second
	// warmUp begins the IDs of requests that are sent until the deployment serves.
	warmUp = "warm-"
)

// deployment is the programs as processes, the network between them, and the other
// side of the dialect.
type deployment struct {
	processes []*process
	servers   []*standin.BackendServer
	behind    map[*standin.BackendServer]string // where each listens, behind the network
	cloud     *standin.UsageInterface
	network   *network
	caller    *standin.Caller
	cancel    context.CancelFunc
}

// hosts are the loopback IP numbers of one run: 127.<subnet>.<kind>.<n>.
func host(subnet, kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", subnet, kind, n+1) }

// Kinds of hosts.
const (
	hostController = iota + 1
	hostStore
	hostGateway
	hostServer
)

// newDeployment starts everything and returns when a lookup is served.
func newDeployment(ctx context.Context, cfg *Config) (*deployment, error) {
	ports, err := standin.FreePorts()
	if err != nil {
		return nil, err
	}
	hidden, err := standin.FreePorts()
	if err != nil {
		return nil, err
	}
	de := &deployment{network: newNetwork(), behind: map[*standin.BackendServer]string{}}
	ctx, de.cancel = context.WithCancel(ctx)
	if de.cloud, err = standin.StartUsageInterface(); err != nil {
		return nil, err
	}
	de.caller = &standin.Caller{Ports: ports, Timeout: callTimeout}
	for i := range cfg.Controllers {
		de.caller.Control = append(de.caller.Control, host(cfg.Subnet, hostController, i))
	}
	add := func(role string, kind, n int) error {
		for i := range n {
			ip := host(cfg.Subnet, kind, i)
			pr := &process{
				role: role, ip: ip, binary: cfg.Binary, folder: cfg.Folder, peerListen: fmt.Sprintf("%s:%d", ip, hidden.Peers),
				settings: standin.NodeSettings{
					Name: fmt.Sprintf("%s-%d", role, i+1), IP: ip, Ports: ports, Controllers: de.caller.Control, Cloud: de.cloud.Address(),
					Grace: gracePeriod, Window: 5 * time.Second, Lease: 3 * time.Second,
				},
			}
			if role != program.RoleGateway {
				pr.settings.DataFolder = filepath.Join(cfg.Folder, "data", pr.settings.Name)
				if err := de.network.forward(fmt.Sprintf("%s:%d", ip, ports.Peers), pr.peerListen, true); err != nil {
					return err
				}
			}
			if err := pr.start(); err != nil {
				return err
			}
			de.processes = append(de.processes, pr)
		}

		return nil
	}
	err = errors.Join(
		add(program.RoleController, hostController, cfg.Controllers), add(program.RoleStore, hostStore, cfg.Stores),
		add(program.RoleGateway, hostGateway, cfg.Gateways), de.addServers(ctx, cfg, ports.Clients, hidden.Clients),
	)
	if err == nil {
		err = de.awaitReady(ctx)
	}
	if err != nil {
		return nil, errors.Join(err, de.close())
	}

	return de, nil
}

func (de *deployment) addServers(ctx context.Context, cfg *Config, port, hidden int) error {
	for i := range cfg.Plain + cfg.Engines {
		bs := standin.NewBackendServer(fmt.Sprintf("p%d", i), servicePlain)
		if i >= cfg.Plain {
			bs = standin.NewBackendServer(fmt.Sprintf("e%d", i), serviceEngines, standin.Model)
			bs.Pace = 15 * time.Millisecond
		}
		ip := host(cfg.Subnet, hostServer, i)
		bs.Address = fmt.Sprintf("%s:%d", ip, port)
		de.behind[bs] = fmt.Sprintf("%s:%d", ip, hidden)
		if err := de.network.forward(bs.Address, de.behind[bs], false); err != nil {
			return err
		}
		if err := bs.Start(de.behind[bs]); err != nil {
			return err
		}
		de.servers = append(de.servers, bs)
		go func() {
			for ctx.Err() == nil {
				ip := de.caller.Control[rand.IntN(len(de.caller.Control))]
				_ = bs.SendHeartbeat(fmt.Sprintf("%s:%d", ip, de.caller.Ports.Control)) // the next one goes to any controller again
				time.Sleep(beatPeriod)
			}
		}()
	}

	return nil
}

func (de *deployment) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	err := dep.Until(ctx, func() error { return de.caller.Configure(ctx, 1) })
	if err == nil {
		n := 0
		err = dep.Until(ctx, func() error {
			n++
			an, err := de.caller.Lookup(ctx, de.gateways()[0], fmt.Sprintf("%s%d", warmUp, n), false)
			if err == nil && an.Stamp == "" {
				err = fmt.Errorf("a lookup is answered %d", an.Status)
			}

			return err
		})
	}
	if err != nil {
		return fmt.Errorf("the deployment did not start within %v: %w", readyWithin, err)
	}

	return nil
}

// gateways returns the IP numbers of the gateways.
func (de *deployment) gateways() []string {
	var out []string
	for _, pr := range de.processes {
		if pr.role == program.RoleGateway {
			out = append(out, pr.ip)
		}
	}

	return out
}

// pairs returns the links between a host and all others that open connections.
func (de *deployment) pairs(ip string) []pair {
	var out []pair
	for _, pr := range de.processes {
		out = append(out, pair{ip, pr.ip}, pair{pr.ip, ip})
	}
	for bs := range de.behind {
		out = append(out, pair{ip, hostOf(bs)})
	}

	return out
}

func hostOf(bs *standin.BackendServer) string {
	ip, _, _ := net.SplitHostPort(bs.Address) // made by addServers

	return ip
}

// close ends every process that the run started.
func (de *deployment) close() error {
	de.cancel()
	var errs []error
	for _, pr := range de.processes {
		// One that is paused can be killed too.
		if err := pr.end(syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
			errs = append(errs, err)
		}
	}
	for _, bs := range de.servers {
		bs.Stop()
	}
	de.network.close()
	de.cloud.Stop()

	return errors.Join(errs...)
}
