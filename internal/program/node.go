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
	// silenceLimit cuts connections whose peer acknowledges nothing: long enough for
	// a lost packet or two, short against the seconds after which a VM counts as lost.
	silenceLimit = 1500 * time.Millisecond
	// sessionLimit bounds the opening of a session between own processes, which takes
	// milliseconds unless a packet is lost.
	sessionLimit = 500 * time.Millisecond
	// backendIdle is how long an unused connection to a backend server is kept before
	// the first one tells how long it keeps them.
	backendIdle = 4 * time.Second
	// backendDial bounds the opening of a connection to a backend server, which takes
	// milliseconds: a silent one is left for another soon.
	backendDial = 300 * time.Millisecond
	// memoryShare of the limit is where the garbage collector works harder.
	memoryShare = 0.6
	// reloadPeriod is how often the settings file is looked at without a signal.
	reloadPeriod = 2 * time.Second
	// notReadyFor is how long a stopping gateway still takes requests: the balancer
	// asks once a second and moves on after two misses.
	notReadyFor = 3 * time.Second
	// stopMargin is left of the time between the stop signal and the end by force.
	stopMargin = time.Second
	// handOverLimit bounds the giving up of leases and of the lead.
	handOverLimit = 700 * time.Millisecond
	// metricsPort is where counters and histograms are served, as the deploy file says.
	metricsPort = "9464"
	// clientIdle is above the longest time that clients of the users keep an unused
	// connection, so that the server never closes one that is about to be used.
	clientIdle = time.Minute
)

// Node is a running process on a platform.
type Node struct {
	*parts
	role  string
	boot  func() (*settings.Node, error)
	meter *meter.Meter

	controllers atomic.Pointer[[]string]
	settings    *settings.Node
	cancel      context.CancelFunc
	servers     []*http.Server
	peers       *peer.Listener
	edge        *edge.Edge
	handOver    func(ctx context.Context)
	leads       func() bool
	gauges      func() // sets what is measured only when it is asked for
	dropped     func() int64
}

// bootNow returns the time since the machine started, in which it may have been suspended.
func bootNow() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the clock is part of every supported kernel
	}

	return time.Duration(ts.Nano())
}

func wallMs() int64 { return time.Now().UnixMilli() }

// countedFiles returns the files of the system, whose syncs are counted.
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

// StartNode starts the process of a role; boot reads its settings, dropped returns
// how many lines of the log were dropped, nil for none.
func StartNode(role string, boot func() (*settings.Node, error), lo log.Interface, dropped func() int64) (*Node, error) {
	if dropped == nil {
		dropped = func() int64 { return 0 }
	}
	no, err := boot()
	if err != nil {
		return nil, err
	}
	if no.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(no.MemoryBytes)))
	}
	ctx, cancel := context.WithCancel(context.Background())
	nd := &Node{
		parts: newParts("process", lo.WithFields(log.Fields{"role": role, "node": no.Name})), role: role, boot: boot, meter: meter.New(),
		settings: no, cancel: cancel, handOver: func(context.Context) {}, leads: func() bool { return false }, gauges: func() {},
		dropped: dropped,
	}
	nd.kill = nd.Kill
	nd.controllers.Store(&no.Controllers)

	start := map[string]func(ctx context.Context) error{
		RoleGateway: nd.startGateway, RoleController: nd.startController, RoleStore: nd.startStore,
	}[role]
	if start == nil {
		err = result.New(result.InvalidSettings, "program: no role %q", role)
	} else {
		err = start(ctx)
	}
	if err != nil {
		cancel()

		return nil, err
	}
	nd.serveMetrics()
	nd.run("reload", func() error { return nd.reloadDuty(ctx) })
	nd.seal()
	nd.log.WithFields(log.Fields{
		"failureDomain": no.FailureDomain, "peers": no.PeerAddress, "controllers": no.Controllers, "mayForm": no.MayForm,
		"dataFolder": no.DataFolder, "losses": no.Losses,
	}).Info("started")

	return nd, nil
}

// seeds returns the controllers of the settings as they are now.
func (nd *Node) seeds() []string { return slices.Clone(*nd.controllers.Load()) }

// peerConfig describes sessions with other own processes.
func (nd *Node) peerConfig() peer.Config {
	return peer.Config{
		Bind: nd.settings.BindIP, Silence: silenceLimit, DialTimeout: sessionLimit, Log: nd.log,
		Hello: &wire.Hello{
			Name: nd.settings.Name, Role: nd.role, FailureDomain: nd.settings.FailureDomain, Address: nd.settings.PeerAddress,
			Protocol: peer.ProtocolVersion,
		},
	}
}

// serve serves HTTP at address.
func (nd *Node) serve(name, address string, h http.Handler) error {
	ln, err := dialer.Listen(address, silenceLimit)
	if err != nil {
		return result.New(result.AddressInUse, "program: listen on %s: %v", address, err)
	}
	sv := &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: clientIdle,
		ErrorLog: stdlog.New(io.Discard, "", 0), // broken connections are counted by their requests
	}
	nd.servers = append(nd.servers, sv)
	nd.run(name, func() error { return sv.Serve(ln) })

	return nil
}

// httpClient returns the client through which backend servers are reached.
func (nd *Node) httpClient() *http.Client {
	return httpcall.NewLearning(httpcall.Config{
		Bind: nd.settings.BindIP, KeepAlive: true, Silence: silenceLimit, Idle: backendIdle, DialTimeout: backendDial,
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

// serveMetrics serves counters and histograms. Without them a process still does
// its work.
func (nd *Node) serveMetrics() {
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		nd.gauges()
		nd.meter.Gauge("log.dropped", nd.dropped())
		if err := nd.meter.WriteText(w); err != nil {
			nd.log.WithError(err).Info("metrics not written") // the reader has gone
		}
	})
	if err := nd.serve("metrics", net.JoinHostPort(nd.settings.BindIP, metricsPort), h); err != nil {
		nd.log.WithError(err).Warn("no metrics")
	}
}

func (nd *Node) startGateway(ctx context.Context) error {
	hc := nd.httpClient()
	ed := edge.New(edge.Config{
		Settings: nd.settings, Controllers: nd.seeds, Peer: nd.peerConfig(), Client: platform.NewBackendClient(hc), Now: bootNow,
		Meter: nd.meter, Log: nd.log,
	})
	nd.edge = ed
	nd.gauges = func() { ed.Measure(nd.meter) }
	front := &platform.Front{
		Serve: ed.Ingress().Serve, IsBatch: ed.Gate().IsBatch, Submit: ed.Gate().Submit, Read: ed.Gate().Read, Body: ed.Gate().Body,
		End: ed.Gate().End, MaxBodyBytes: ed.MaxBodyBytes, IsReady: ed.IsReady, IsClosing: ed.IsClosing,
	}
	if err := nd.serve("readiness", nd.settings.ReadinessAddress, http.HandlerFunc(front.Ready)); err != nil {
		return err
	}
	if err := nd.serve("clients", nd.settings.ClientAddress, front); err != nil {
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
		Client: platform.NewBackendClient(hc), Now: bootNow, WallMs: wallMs, Log: nd.log,
	}
	if nd.settings.DutiesAddress != "" {
		cfg.ReportUsage = platform.NewDuties(nd.settings.DutiesAddress, hc).ReportUsage
	}
	co, err := controller.New(cfg)
	if err != nil {
		return err
	}
	if err := nd.servePeers(nd.peerConfigOf(string(co.Group().Replica())), co.Handlers()); err != nil {
		return err
	}
	ctl := &platform.Control{
		Beat: co.Beat, Leave: co.Leave, PutRouting: co.PutRouting, Routing: co.Routing, NameVersion: co.NameVersion,
		Retire: co.Retire, Retirement: co.Retirement,
	}
	if err := nd.serve("control", nd.settings.ControlAddress, limited(ctl.Handler())); err != nil {
		return err
	}
	nd.handOver, nd.leads = co.StopDuties, co.Group().IsLeader
	nd.gauges = func() { co.Measure(nd.meter) }
	nd.run("controller", func() error { return co.Run(ctx) })

	return nil
}

// limited ends what a control call does before its caller turns to another controller.
func limited(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), platform.ControlTimeout)
		defer cancel()
		h.ServeHTTP(w, r.WithContext(ctx))
	})
}

func (nd *Node) peerConfigOf(replica string) peer.Config {
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
		Client: platform.NewBackendClient(hc), Now: bootNow, WallMs: wallMs, Meter: nd.meter, Log: nd.log,
	})
	if err != nil {
		return err
	}
	if err := nd.servePeers(nd.peerConfigOf(string(st.Group().Replica())), st.Handlers()); err != nil {
		return err
	}
	nd.handOver, nd.leads = st.StopDuties, st.Group().IsLeader
	nd.gauges = func() { st.Measure(nd.meter) }
	nd.run("store", func() error { return st.Run(ctx) })

	return nil
}

// reloadDuty looks at the settings file now and then: it may change without a signal.
func (nd *Node) reloadDuty(ctx context.Context) error {
	for {
		select {
		case <-time.After(reloadPeriod):
			nd.Reload()
		case <-ctx.Done():
			return nil
		}
	}
}

// Reload reads the settings anew. Only the controllers can change in a running process.
func (nd *Node) Reload() {
	no, err := nd.boot()
	if err != nil {
		nd.log.WithError(err).Warn("settings not reloaded")

		return
	}
	if slices.Equal(no.Controllers, *nd.controllers.Load()) {
		return
	}
	nd.log.WithFields(log.Fields{"old": *nd.controllers.Load(), "new": no.Controllers}).Info("settings reloaded")
	nd.controllers.Store(&no.Controllers)
}

// Leads reports whether the process's replica leads its group.
func (nd *Node) Leads() bool { return nd.leads() }

// Kill ends everything at once.
func (nd *Node) Kill() {
	nd.cancel()
	for _, sv := range nd.servers {
		_ = sv.Close()
	}
	if nd.peers != nil {
		nd.peers.Close()
	}
}

// Shutdown ends gracefully: the lead and the leases are given away, the balancer
// moves on, and what runs finishes.
func (nd *Node) Shutdown() {
	began := time.Now()
	nd.log.Info("shutdown begins")
	hctx, cancel := context.WithTimeout(context.Background(), handOverLimit)
	nd.handOver(hctx)
	cancel()

	if nd.edge != nil {
		nd.edge.BeginShutdown()
		time.Sleep(notReadyFor)
		dctx, cancel := context.WithDeadline(context.Background(), began.Add(nd.settings.StopGrace-stopMargin))
		defer cancel()
		var wg sync.WaitGroup
		for _, sv := range nd.servers {
			wg.Go(func() {
				if err := sv.Shutdown(dctx); err != nil {
					nd.log.WithError(err).Warn("requests were still running at the end of the drain")
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
