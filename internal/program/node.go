package program

import (
	"cmp"
	"context"
	"io"
	stdlog "log"
	"maps"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sys/unix"

	"github.com/tamarackbay/tamarackbay/internal/controller"
	"github.com/tamarackbay/tamarackbay/internal/dialer"
	"github.com/tamarackbay/tamarackbay/internal/edge"
	"github.com/tamarackbay/tamarackbay/internal/httpcall"
	"github.com/tamarackbay/tamarackbay/internal/intake"
	"github.com/tamarackbay/tamarackbay/internal/jobstore"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/settings"
	"github.com/tamarackbay/tamarackbay/internal/storage"
	"github.com/tamarackbay/tamarackbay/internal/wire"
	"github.com/tamarackbay/tamarackbay/platform"
)

// Roles of the processes that a platform starts.
const (
	RoleGateway    = "gateway"
	RoleController = "controller"
	RoleStore      = "store"
)

const (
	// ackTimeout is how long a peer may leave sent data unacknowledged before its
	// connection is closed. It tolerates one or two lost packets and is well below the
	// seconds after which a VM counts as lost.
	ackTimeout = 1500 * time.Millisecond
	// sessionDialTimeout bounds the opening of a session between the deployment's
	// processes. It takes milliseconds unless a packet is lost.
	sessionDialTimeout = 500 * time.Millisecond
	// backendIdleTimeout is how long an idle connection to a backend server is kept until
	// the server has announced its own keep-alive timeout.
	backendIdleTimeout = 4 * time.Second
	// backendDialTimeout bounds the opening of a connection to a backend server. It normally
	// takes milliseconds; after the timeout another server is tried.
	backendDialTimeout = 300 * time.Millisecond
	// memoryLimitShare is the share of the process's memory limit that is set as the soft
	// limit of the Go runtime, near which the garbage collector runs more often.
	memoryLimitShare = 0.6
	// reloadPeriod is how often the settings file is read again without a signal.
	reloadPeriod = 2 * time.Second
	// notReadyPeriod is how long a gateway that shuts down still accepts requests: the
	// balancer checks readiness once a second and removes a gateway after two failures.
	notReadyPeriod = 3 * time.Second
	// answerPeriod is how long the requests that are still running at the end of the drain may take to
	// be answered. It is a part of stopMargin.
	answerPeriod = 300 * time.Millisecond
	// stopMargin is the part of the grace period after the stop signal that is left unused
	// by the drain, so that the process ends before it is killed.
	stopMargin = time.Second
	// nodeHandOverTimeout bounds the transfer of leases and leadership when a node shuts down.
	nodeHandOverTimeout = 700 * time.Millisecond
	// metricsPort is the port of counters and histograms. deploy/system.toml names it too.
	metricsPort = "9464"
	// clientIdleTimeout is longer than any client of the users keeps an idle connection, so
	// that the server never closes a connection that a client is about to reuse.
	clientIdleTimeout = time.Minute
	// maxClientHeadBytes is the size of a head at which it is no longer read. The limit of the
	// configuration, which is lower, is checked once the head has been read.
	maxClientHeadBytes = 64 << 10
	// receivedShare is the divisor of a store's memory that gives the large requests of gateways that it
	// receives or handles at once: each takes some times its size.
	receivedShare = 64
)

// Node is a running process on a platform.
type Node struct {
	*runGroup
	role         string
	loadSettings func() (*settings.Node, error)
	meter        *meter.Meter

	controllers  atomic.Pointer[[]string]
	settings     *settings.Node
	cancel       context.CancelFunc
	servers      []*http.Server
	endRequests  []context.CancelFunc // of servers: ends the requests that still run
	peers        *peer.Listener
	edge         *edge.Edge
	handOver     func(ctx context.Context)
	isLeader     func() bool
	updateGauges func() // updates the gauges that are computed only when metrics are read
	abandon      func() // frees what a part that was created and never run holds
	droppedLines func() int64
}

// SoftMemoryLimit returns the soft limit of the Go runtime for a process that may use memory bytes.
func SoftMemoryLimit(memory int64) int64 { return int64(memoryLimitShare * float64(memory)) }

// timeSinceBoot returns the time since the machine booted, including time spent suspended.
func timeSinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every supported kernel has this clock
	}

	return time.Duration(ts.Nano())
}

func wallMs() int64 { return time.Now().UnixMilli() }

// countedFiles returns the operating system's files and counts their syncs.
func (nd *Node) countedFiles() storage.Files {
	fi := storage.OSFiles()
	counted := func(open func(path string) (storage.File, error)) func(path string) (storage.File, error) {
		return func(path string) (storage.File, error) {
			f, err := open(path)
			sync := f.Sync
			f.Sync = func() error {
				nd.meter.Count("disk.syncs")

				return sync()
			}

			return f, err
		}
	}
	fi.Append, fi.Create = counted(fi.Append), counted(fi.Create)

	return fi
}

// StartNode starts the process of a role. readSettings reads its settings; it is called again to
// reload them. Dropped returns the number of dropped log lines; nil means none.
func StartNode(role string, readSettings func() (*settings.Node, error), lo log.Interface, dropped func() int64) (*Node, error) {
	if dropped == nil {
		dropped = func() int64 { return 0 }
	}
	no, err := readSettings()
	if err != nil {
		return nil, err
	}
	if no.MemoryBytes > 0 {
		debug.SetMemoryLimit(SoftMemoryLimit(no.MemoryBytes))
	}
	ctx, cancel := context.WithCancel(context.Background())
	nd := &Node{
		runGroup: newRunGroup("process", lo.WithFields(log.Fields{"role": role, "node": no.Name})), role: role, loadSettings: readSettings, meter: meter.New(),
		settings: no, cancel: cancel, handOver: func(context.Context) {}, isLeader: func() bool { return false }, updateGauges: func() {},
		abandon: func() {}, droppedLines: dropped,
	}
	nd.terminate = nd.Kill
	nd.controllers.Store(&no.Controllers)

	start := map[string]func(ctx context.Context) error{
		RoleGateway: nd.startGateway, RoleController: nd.startController, RoleStore: nd.startStore,
	}[role]
	if start == nil {
		err = result.New(result.InvalidSettings, "program: role %q does not exist", role)
	} else {
		err = start(ctx)
	}
	if err != nil {
		nd.Kill()
		nd.wg.Wait()
		nd.abandon()

		return nil, err
	}
	nd.serveMetrics()
	nd.run("reload", func() error { return nd.reloadPeriodically(ctx) })
	nd.closeWhenDone()
	nd.log.WithFields(log.Fields{
		"failureDomain": no.FailureDomain, "peers": no.PeerAddress, "controllers": no.Controllers, "mayForm": no.MayBootstrap,
		"dataFolder": no.DataFolder, "losses": no.ToleratedFailures,
	}).Info("started")

	return nd, nil
}

// seeds returns the controllers' addresses of the settings that were loaded last.
func (nd *Node) seeds() []string { return slices.Clone(*nd.controllers.Load()) }

// peerConfig returns the configuration of sessions with the deployment's other processes.
func (nd *Node) peerConfig() peer.Config {
	return peer.Config{
		Bind: nd.settings.BindIP, AckTimeout: ackTimeout, DialTimeout: sessionDialTimeout, Log: nd.log,
		Hello: &wire.Hello{
			Name: nd.settings.Name, Role: nd.role, FailureDomain: nd.settings.FailureDomain, Address: nd.settings.PeerAddress,
			Protocol: peer.ProtocolVersion,
		},
	}
}

// serve starts an HTTP server at address as a component called name. connections bounds what its
// clients may open; nil for a server that only the platform and other processes call.
func (nd *Node) serve(name, address string, h http.Handler, connections *intake.Connections) error {
	lc := dialer.ListenConfig{AckTimeout: ackTimeout}
	if connections != nil {
		lc.SocketBytes = intake.SocketBytes
	}
	ln, err := dialer.Listen(address, lc)
	if err != nil {
		return result.New(result.AddressInUse, "program: listen on %s: %v", address, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	nd.endRequests = append(nd.endRequests, cancel)
	sv := &http.Server{
		BaseContext: func(net.Listener) context.Context { return ctx },
		Handler:     h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: clientIdleTimeout,
		ErrorLog: stdlog.New(io.Discard, "", 0), // failed connections are counted with their requests
	}
	if connections != nil {
		sv.Handler, sv.ConnContext, sv.MaxHeaderBytes = connections.Handler(h), connections.Context, maxClientHeadBytes
		ln = connections.Listen(ln)
	}
	nd.servers = append(nd.servers, sv)
	nd.run(name, func() error { return sv.Serve(ln) })

	return nil
}

// httpClient returns the HTTP client for backend servers.
func (nd *Node) httpClient() *http.Client {
	return httpcall.NewAdaptive(httpcall.Config{
		Bind: nd.settings.BindIP, KeepAlive: true, AckTimeout: ackTimeout, Idle: backendIdleTimeout, DialTimeout: backendDialTimeout,
		ResetOnClose: true,
	})
}

func (nd *Node) servePeers(cfg peer.Config, mux peer.Mux) error {
	cfg.Mux = peer.Mux{}
	maps.Copy(cfg.Mux, mux)
	var err error
	if nd.peers, err = peer.Listen(cmp.Or(nd.settings.PeerListen, nd.settings.PeerAddress), cfg); err != nil {
		return err
	}
	nd.run("peers", nd.peers.Serve)

	return nil
}

// serveMetrics serves counters, gauges and histograms. A process that cannot serve them
// runs without them.
func (nd *Node) serveMetrics() {
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		nd.updateGauges()
		nd.meter.Gauge("log.dropped", nd.droppedLines())
		if err := nd.meter.WriteText(w); err != nil {
			nd.log.WithError(err).Info("metrics could not be written to their reader") // it has disconnected
		}
	})
	if err := nd.serve("metrics", net.JoinHostPort(nd.settings.BindIP, metricsPort), h, nil); err != nil {
		nd.log.WithError(err).Warn("metrics are not served")
	}
}

func (nd *Node) startGateway(ctx context.Context) error {
	hc := nd.httpClient()
	ed := edge.New(edge.Config{
		Settings: nd.settings, Controllers: nd.seeds, Peer: nd.peerConfig(), Client: platform.NewBackendClient(hc), Now: timeSinceBoot,
		Meter: nd.meter, Log: nd.log,
	})
	nd.edge = ed
	budget := intake.NewBudget(intake.Config{MemoryBytes: nd.settings.MemoryBytes, Meter: nd.meter, Log: nd.log})
	connections := intake.NewConnections(intake.ConnectionsConfig{
		MemoryBytes: nd.settings.MemoryBytes, Files: ed.FilesLimit(), Budget: budget, Meter: nd.meter, Log: nd.log,
	})
	nd.updateGauges = func() {
		ed.Measure(nd.meter)
		budget.Measure()
		connections.Measure()
	}
	ch := &platform.ClientHandler{
		CheckHead: ed.Ingress().CheckHead, Serve: ed.Ingress().Serve, IsBatch: ed.JobProxy().IsBatch, CheckJob: ed.JobProxy().Check, SubmitJob: ed.JobProxy().Submit, ReadResults: ed.JobProxy().Read, ItemBody: ed.JobProxy().Body,
		EndJob: ed.JobProxy().End, Intake: budget, Limits: ed.Limits, IsReady: ed.IsReady, ShouldCloseConnections: ed.IsClosing,
	}
	if err := nd.serve("readiness", nd.settings.ReadinessAddress, http.HandlerFunc(ch.ServeReadiness), nil); err != nil {
		return err
	}
	if err := nd.serve("clients", nd.settings.ClientAddress, ch, connections); err != nil {
		return err
	}
	nd.run("edge", func() error {
		ed.Run(ctx)

		return nil
	})

	return nil
}

func (nd *Node) startController(ctx context.Context) error {
	if err := nd.settings.RequireDisk(); err != nil {
		return err
	}
	hc := nd.httpClient()
	cfg := controller.Config{
		Settings: nd.settings, Controllers: nd.seeds, Files: nd.countedFiles(), Peer: nd.peerConfig(),
		Client: platform.NewBackendClient(hc), Now: timeSinceBoot, WallMs: wallMs, Log: nd.log,
	}
	if nd.settings.UsageAddress != "" {
		cfg.ReportUsage = platform.NewUsageClient(nd.settings.UsageAddress, hc).ReportUsage
	}
	co, err := controller.New(cfg)
	if err != nil {
		return err
	}
	nd.abandon = co.Group().Close
	if err := nd.servePeers(nd.replicaPeerConfig(string(co.Group().Replica())), co.Handlers()); err != nil {
		return err
	}
	ctl := &platform.ControlPlane{
		RecordHeartbeat: co.RecordHeartbeat, RecordLeave: co.RecordLeave, PutRouting: co.PutRouting, RoutingDocument: co.Routing, NameVersion: co.NameVersion,
		Evacuate: co.Evacuate, WithdrawEvacuation: co.WithdrawEvacuation, Retire: co.Retire, Retirement: co.Retirement,
	}
	if err := nd.serve("control", nd.settings.ControlAddress, withControlTimeout(ctl.Handler()), nil); err != nil {
		return err
	}
	nd.handOver, nd.isLeader = co.HandOver, co.Group().IsLeader
	nd.updateGauges = func() { co.Measure(nd.meter) }
	nd.run("controller", func() error { return co.Run(ctx) })

	return nil
}

// withControlTimeout bounds each control call, so that it ends before its caller retries
// at another controller.
func withControlTimeout(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), platform.ControlTimeout)
		defer cancel()
		h.ServeHTTP(w, r.WithContext(ctx))
	})
}

func (nd *Node) replicaPeerConfig(replica string) peer.Config {
	cfg := nd.peerConfig()
	cfg.Hello.Replica = replica

	return cfg
}

func (nd *Node) startStore(ctx context.Context) error {
	if err := nd.settings.RequireDisk(); err != nil {
		return err
	}
	hc := nd.httpClient()
	st, err := jobstore.New(jobstore.Config{
		Settings: nd.settings, Controllers: nd.seeds, Files: nd.countedFiles(), Peer: nd.peerConfig(),
		Client: platform.NewBackendClient(hc), Now: timeSinceBoot, WallMs: wallMs, Meter: nd.meter, Log: nd.log,
	})
	if err != nil {
		return err
	}
	nd.abandon = st.Group().Close
	cfg := nd.replicaPeerConfig(string(st.Group().Replica()))
	cfg.MaxReceivedBytes = nd.settings.MemoryBytes / receivedShare
	if err := nd.servePeers(cfg, st.Handlers()); err != nil {
		return err
	}
	nd.handOver, nd.isLeader = st.HandOver, st.Group().IsLeader
	nd.updateGauges = func() { st.Measure(nd.meter) }
	nd.run("store", func() error { return st.Run(ctx) })

	return nil
}

// reloadPeriodically reloads the settings file, because it may change without a signal.
func (nd *Node) reloadPeriodically(ctx context.Context) error {
	for {
		select {
		case <-time.After(reloadPeriod):
			nd.Reload()
		case <-ctx.Done():
			return nil
		}
	}
}

// Reload reads the settings again and applies a changed list of controllers. Changes of
// other settings need a restart.
func (nd *Node) Reload() {
	no, err := nd.loadSettings()
	if err != nil {
		nd.log.WithError(err).Warn("settings could not be reloaded, keeping the current ones")

		return
	}
	if slices.Equal(no.Controllers, *nd.controllers.Load()) {
		return
	}
	nd.log.WithFields(log.Fields{"old": *nd.controllers.Load(), "new": no.Controllers}).Info("settings reloaded, the list of controllers changed")
	nd.controllers.Store(&no.Controllers)
}

// Name returns the name of the process.
func (nd *Node) Name() string { return nd.settings.Name }

// IsLeader reports whether the process's replica is the leader of its group.
func (nd *Node) IsLeader() bool { return nd.isLeader() }

// Kill terminates the process's components immediately, as a crash would.
func (nd *Node) Kill() {
	nd.cancel()
	for i, sv := range nd.servers {
		_ = sv.Close()
		nd.endRequests[i]()
	}
	if nd.peers != nil {
		nd.peers.Close()
	}
}

// Shutdown terminates gracefully: it transfers leases and leadership, waits until the
// balancer has removed a gateway, and lets running requests finish.
func (nd *Node) Shutdown() {
	began := time.Now()
	nd.log.Info("shutdown begins")
	hctx, cancel := context.WithTimeout(context.Background(), nodeHandOverTimeout)
	nd.handOver(hctx)
	cancel()

	if nd.edge != nil {
		nd.edge.BeginShutdown()
		time.Sleep(notReadyPeriod)
		nd.edge.StopAdmission() // net/http serves connections that have not carried a request yet
		drained := began.Add(nd.settings.StopGrace - stopMargin)
		timer := time.AfterFunc(time.Until(drained), func() {
			for _, end := range nd.endRequests {
				end()
			}
		})
		defer timer.Stop()
		dctx, cancel := context.WithDeadline(context.Background(), drained.Add(answerPeriod))
		defer cancel()
		var wg sync.WaitGroup
		for _, sv := range nd.servers {
			wg.Go(func() {
				if err := sv.Shutdown(dctx); err != nil {
					nd.log.WithError(err).Warn("drain time expired while requests were still running")
				}
			})
		}
		wg.Wait()
		nd.edge.FlushUsage(dctx)
	}
	nd.Kill()
	<-nd.done
	nd.log.WithField("ms", time.Since(began).Milliseconds()).Info("stopped")
}
