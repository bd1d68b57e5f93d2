// Package program assembles and runs complete processes: gateways, agents and the nodes
// that a platform starts. The components of a gateway or a node form a run group: if one
// fails, all stop. A graceful shutdown stops them in order.
package program

import (
	"context"
	"crypto/tls"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"github.com/tamarackbay/tamarackbay/internal/agent"
	"github.com/tamarackbay/tamarackbay/internal/dialer"
	"github.com/tamarackbay/tamarackbay/internal/gateway"
	"github.com/tamarackbay/tamarackbay/internal/handlers"
	"github.com/tamarackbay/tamarackbay/internal/headroom"
	"github.com/tamarackbay/tamarackbay/internal/intake"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/settings"
	"github.com/tamarackbay/tamarackbay/internal/storage"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute // of connections of callers and operators
	// handOverTimeout bounds the transfer of leases and leadership when a gateway shuts down.
	handOverTimeout = 3 * time.Second
	// headerLimitFactor is how many times the configured limit of a header net/http accepts, so
	// that the handlers can answer a header over the limit with a numbered error.
	headerLimitFactor = 2
	// listenerCount is the number of listeners of a gateway for callers and operators.
	listenerCount = 2
)

// Gateway is a running gateway process with its listeners.
type Gateway struct {
	*runGroup
	settings         settings.Gateway
	gateway          *gateway.Gateway
	callerServer     *http.Server
	operatorServer   *http.Server
	callerListener   net.Listener
	operatorListener net.Listener

	cancel context.CancelFunc
}

// StartGateway opens the listeners and starts the gateway.
func StartGateway(se settings.Gateway, lo log.Interface) (*Gateway, error) {
	callerTLS, peerServer, peerClient, err := se.TLS.Configs()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ga, err := gateway.New(gateway.Config{
		Settings: se, Files: storage.OSFiles(), Log: lo, Meter: meter.New(),
		WallMs:     func() int64 { return time.Now().UnixMilli() },
		PeerConfig: peer.Config{Bind: hostOf(se.PeerAddress), ServerTLS: peerServer, ClientTLS: peerClient},
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}

	pg := &Gateway{runGroup: newRunGroup("gateway", lo), settings: se, gateway: ga}
	pg.terminate = pg.Kill
	callers, operators := newConnections(se, ga, lo), newConnections(se, ga, lo)
	if pg.callerListener, err = listen(se.CallerAddress, callerTLS, callers); err != nil {
		return nil, trace.Wrap(err)
	}
	if pg.operatorListener, err = listen(se.OperatorAddress, callerTLS, operators); err != nil {
		_ = pg.callerListener.Close()

		return nil, trace.Wrap(err)
	}
	pg.callerServer = newServer(handlers.NewCallers(ga), se.MaxHeaderBytes, callers)
	pg.operatorServer = newServer(handlers.NewOperators(ga), se.MaxHeaderBytes, operators)
	pg.start()

	return pg, nil
}

func hostOf(address string) string {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	if ip := net.ParseIP(h); ip == nil || ip.IsUnspecified() {
		return ""
	}

	return h
}

// newConnections returns the bound of a listener's connections. Callers and operators share the memory
// and the file descriptors equally.
func newConnections(se settings.Gateway, ga *gateway.Gateway, lo log.Interface) *intake.Connections {
	memory := int64(se.MemoryMB) << 20

	return intake.NewConnections(intake.ConnectionsConfig{
		MemoryBytes: memory / listenerCount, Files: headroom.OfProcess(memory).FilesLimit / listenerCount, Budget: ga.Intake(), Meter: ga.Meter(), Log: lo,
	})
}

func listen(address string, tc *tls.Config, connections *intake.Connections) (net.Listener, error) {
	ln, err := dialer.Listen(address, dialer.ListenConfig{SocketBytes: intake.SocketBytes})
	if err != nil {
		return nil, result.New(result.AddressInUse, "program: listen on %s: %v", address, err)
	}
	ln = connections.Listen(ln)
	if tc != nil {
		ln = tls.NewListener(ln, tc)
	}

	return ln, nil
}

func newServer(h http.Handler, maxHeader int, connections *intake.Connections) *http.Server {
	return &http.Server{
		Handler: connections.Handler(h), ConnContext: connections.Context, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: headerLimitFactor * maxHeader,
		ErrorLog:       stdlog.New(io.Discard, "", 0), // failed connections are counted with their requests
	}
}

func (pg *Gateway) start() {
	ctx, cancel := context.WithCancel(context.Background())
	pg.cancel = cancel
	pg.run("callers", func() error { return pg.callerServer.Serve(pg.callerListener) })
	pg.run("operators", func() error { return pg.operatorServer.Serve(pg.operatorListener) })
	pg.run("gateway", func() error { return pg.gateway.Run(ctx) })
	pg.closeWhenDone()
	pg.log.WithFields(log.Fields{
		"callers": pg.callerListener.Addr().String(), "operators": pg.operatorListener.Addr().String(), "peers": pg.gateway.PeerAddress(),
	}).Info("gateway is serving")
}

// Gateway returns the gateway that the process runs.
func (pg *Gateway) Gateway() *gateway.Gateway { return pg.gateway }

// Kill terminates the process's components immediately, as a crash would.
func (pg *Gateway) Kill() {
	pg.cancel()
	_ = pg.callerServer.Close()
	_ = pg.operatorServer.Close()
}

// Shutdown terminates gracefully. The health check fails first, and new requests are
// accepted until the balancer has removed the gateway. Then leases and leadership are
// transferred, and running requests finish within the drain time.
func (pg *Gateway) Shutdown() {
	pg.log.Info("shutdown begins")
	pg.gateway.BeginShutdown()
	time.Sleep(settings.Milliseconds(pg.settings.Times.BalancerLagMs))

	hctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	pg.gateway.HandOver(hctx)
	cancel()

	dctx, cancel := context.WithTimeout(context.Background(), settings.Milliseconds(pg.settings.Times.DrainMs))
	defer cancel()
	if err := pg.callerServer.Shutdown(dctx); err != nil {
		pg.log.WithError(err).Warn("drain time expired while requests were still running")
	}
	pg.Kill()
	<-pg.done
	pg.log.Info("shutdown complete")
}

// Agent is a running agent process.
type Agent struct {
	settings settings.Agent
	log      log.Interface
	agent    *agent.Agent
	cancel   context.CancelFunc
	done     chan struct{}
}

// StartAgent starts the agent of a backend server.
func StartAgent(se settings.Agent, lo log.Interface) (*Agent, error) {
	_, _, peerClient, err := se.TLS.Configs()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ag := agent.New(agent.Config{
		Server: se.Server, Class: se.Class, Model: se.Model, Service: se.Service, Address: se.Address, Bind: se.Bind,
		FailureDomain: se.FailureDomain, Slots: se.Slots, ChecksFencing: se.ChecksFencing, Order: se.Order,
		Gateways: se.Gateways, Log: lo, Meter: meter.New(), WallSeconds: func() int64 { return time.Now().Unix() },
		Peer: peer.Config{
			Bind: se.Bind, ClientTLS: peerClient,
			Hello: &wire.Hello{Name: se.Server, Role: "agent", FailureDomain: se.FailureDomain, Protocol: peer.ProtocolVersion},
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	pa := &Agent{settings: se, log: lo, agent: ag, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(pa.done)
		ag.Run(ctx)
	}()
	lo.WithFields(log.Fields{"server": se.Server, "gateways": strings.Join(se.Gateways, " ")}).Info("agent is running")

	return pa, nil
}

// Kill terminates the agent immediately, as a crash would.
func (pa *Agent) Kill() {
	pa.cancel()
	<-pa.done
}

// Shutdown drains the backend server, then terminates the agent.
func (pa *Agent) Shutdown() {
	pa.log.Info("draining the backend server")
	ctx, cancel := context.WithTimeout(context.Background(), settings.Milliseconds(pa.settings.DrainMs))
	defer cancel()
	pa.agent.Drain(ctx)
	pa.Kill()
	pa.log.Info("agent stopped after the drain")
}
