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
	serviceMoved   = "moved" // of plain backend servers too; only changedConfiguration has it
	serviceEngines = "engines"
)

const (
	// heartbeatPeriod is the interval between heartbeats of a backend server, half of the
	// period in the settings.
	heartbeatPeriod = 150 * time.Millisecond
	// readyWithin limits the start of the deployment and of each program.
	readyWithin = 20 * time.Second
	// callTimeout is the timeout of a caller, longer than the longest timeout of a route for
	// plain requests.
	callTimeout = 5 * time.Second
	// gracePeriod is how long a program may take to stop after SIGTERM.
	gracePeriod = 6 * time.Second
	// crashTarget is the path of the request that crashes plain backend servers, and
	// crashDuration the time after which these are back.
	crashTarget   = "/look/crash"
	crashDuration = 500 * time.Millisecond
	// warmUpPrefix is the prefix of the IDs of lookups that are sent until the deployment
	// serves one. They are not recorded in promises.
	warmUpPrefix = "warm-"
)

// deployment consists of the programs as processes, the network between them, and stand-ins
// for the backend servers, the usage interface and the callers.
type deployment struct {
	processes       []*process
	servers         []*standin.BackendServer
	listenAddresses map[*standin.BackendServer]string // address on which each listens, to which network forwards
	usage           *standin.UsageInterface
	network         *network
	caller          *standin.Caller
	cancel          context.CancelFunc
}

// host returns the loopback IP number 127.<subnet>.<kind>.<n+1> of the n-th host of a kind.
func host(subnet, kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", subnet, kind, n+1) }

// Kinds of hosts.
const (
	hostController = iota + 1
	hostStore
	hostGateway
	hostServer
)

// newDeployment starts the deployment and waits until a lookup is served.
func newDeployment(ctx context.Context, cfg *Config) (*deployment, error) {
	ports, err := standin.FreePorts()
	if err != nil {
		return nil, err
	}
	internalPorts, err := standin.FreePorts()
	if err != nil {
		return nil, err
	}
	de := &deployment{network: newNetwork(), listenAddresses: map[*standin.BackendServer]string{}}
	ctx, de.cancel = context.WithCancel(ctx)
	if de.usage, err = standin.StartUsageInterface(); err != nil {
		return nil, err
	}
	de.caller = &standin.Caller{Ports: ports, Timeout: callTimeout}
	for i := range cfg.Controllers {
		de.caller.ControllerIPs = append(de.caller.ControllerIPs, host(cfg.Subnet, hostController, i))
	}
	add := func(role string, kind, n int) error {
		for i := range n {
			ip := host(cfg.Subnet, kind, i)
			pr := &process{
				role: role, ip: ip, binary: cfg.Binary, folder: cfg.Folder, cores: cfg.Cores, peerListen: fmt.Sprintf("%s:%d", ip, internalPorts.Peers),
				settings: standin.NodeSettings{
					Name: fmt.Sprintf("%s-%d", role, i+1), IP: ip, Ports: ports, Controllers: de.caller.ControllerIPs, UsageAddress: de.usage.Address(),
					Grace: gracePeriod, Window: 5 * time.Second, Lease: 3 * time.Second, Heartbeat: cfg.Heartbeat,
					Limits: cfg.Limits[role], Tolerated: cfg.Tolerated,
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
		add(program.RoleGateway, hostGateway, cfg.Gateways), de.addServers(ctx, cfg, ports.Clients, internalPorts.Clients),
	)
	if err == nil {
		err = de.awaitReady(ctx)
	}
	if err != nil {
		return nil, errors.Join(err, de.close())
	}

	return de, nil
}

// addServers starts the backend servers. They listen on internalPort; port is the one that
// they announce and that network forwards.
func (de *deployment) addServers(ctx context.Context, cfg *Config, port, internalPort int) error {
	for i := range cfg.PlainServers + cfg.Engines {
		service := servicePlain
		if i >= cfg.PlainServers-cfg.MovedServers {
			service = serviceMoved
		}
		bs := standin.NewBackendServer(fmt.Sprintf("p%d", i), service)
		bs.Work = cfg.Work
		bs.CrashOn(func(target string) bool { return target == crashTarget }, crashDuration)
		if i >= cfg.PlainServers {
			bs = standin.NewBackendServer(fmt.Sprintf("e%d", i), serviceEngines, standin.Model)
			bs.Pace, bs.TagsEvents, bs.Padding = 15*time.Millisecond, true, cfg.Padding
			bs.Software = []string{"v1", "v1.1"}[i%2]
		}
		bs.Zone = string(rune('a' + i%cfg.Zones))
		ip := host(cfg.Subnet, hostServer, i)
		bs.Address = fmt.Sprintf("%s:%d", ip, port)
		de.listenAddresses[bs] = fmt.Sprintf("%s:%d", ip, internalPort)
		if cfg.IsDirect {
			de.listenAddresses[bs] = bs.Address
		} else if err := de.network.forward(bs.Address, de.listenAddresses[bs], false); err != nil {
			return err
		}
		if err := bs.Start(de.listenAddresses[bs]); err != nil {
			return err
		}
		de.servers = append(de.servers, bs)
		go func() {
			for ctx.Err() == nil {
				ip := de.caller.ControllerIPs[rand.IntN(len(de.caller.ControllerIPs))]
				_ = bs.SendHeartbeat(fmt.Sprintf("%s:%d", ip, de.caller.Ports.Control)) // if it fails, the next heartbeat goes to a random controller again
				time.Sleep(heartbeatPeriod)
			}
		}()
	}

	return nil
}

// awaitReady waits until a configuration is accepted and a lookup is served.
func (de *deployment) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	err := dep.RetryUntil(ctx, func() error { return de.caller.Configure(ctx, 1) })
	if err == nil {
		n := 0
		err = dep.RetryUntil(ctx, func() error {
			n++
			an, err := de.caller.Lookup(ctx, de.gateways()[0], fmt.Sprintf("%s%d", warmUpPrefix, n), false)
			if err == nil && an.Stamp == "" {
				err = fmt.Errorf("a lookup ended with status %d without an answer of a backend server", an.Status)
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

// process returns the program at an IP number.
func (de *deployment) process(ip string) *process {
	for _, pr := range de.processes {
		if pr.ip == ip {
			return pr
		}
	}

	return nil
}

// pairs returns the pairs between the host ip and all processes, in both directions, and from
// ip to all backend servers.
func (de *deployment) pairs(ip string) []pair {
	var out []pair
	for _, pr := range de.processes {
		out = append(out, pair{ip, pr.ip}, pair{pr.ip, ip})
	}
	for bs := range de.listenAddresses {
		out = append(out, pair{ip, serverIP(bs)})
	}

	return out
}

// serverIP returns the IP number that a backend server announces.
func serverIP(bs *standin.BackendServer) string {
	ip, _, _ := net.SplitHostPort(bs.Address) // the address was formatted by addServers

	return ip
}

// close kills every process that the run started and stops the stand-ins and the network.
func (de *deployment) close() error {
	de.cancel()
	var errs []error
	for _, pr := range de.processes {
		// SIGKILL also ends a paused process.
		if err := pr.stop(syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
			errs = append(errs, err)
		}
	}
	for _, bs := range de.servers {
		bs.Stop()
	}
	de.network.close()
	de.usage.Stop()

	return errors.Join(errs...)
}
