package gateway

import (
	"context"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"github.com/tamarackbay/tamarackbay/internal/agent"
	"github.com/tamarackbay/tamarackbay/internal/call"
	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/group"
	"github.com/tamarackbay/tamarackbay/internal/machine"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/quarantine"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/usage"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

type message = proto.Message

// Methods of calls between gateways.
const (
	methodDemand  = "gateway.demand"
	methodRunning = "gateway.running"
)

const groupCallTimeout = 2 * time.Second

// serverHandlers returns the calls of agents and other gateways.
func (ga *Gateway) serverHandlers() peer.Mux {
	return peer.Mux{
		agent.MethodAnnounce: ga.handleAnnounce,
		agent.MethodLoad:     ga.handleLoad,
		agent.MethodUsage:    ga.handleUsage,
		agent.MethodCrash:    ga.handleCrash,
		agent.MethodFencing:  ga.handleFencing,
		methodDemand:         ga.handleDemand,
		methodRunning:        ga.handleRunning,
	}
}

// windowSeconds returns the length of usage windows, 0 before the first declarations
// have come here.
func windowSeconds(vi *group.View) uint32 {
	if vi.Version == 0 {
		return 0
	}
	wi, ok := vi.Set.Windows[declaration.WindowName]
	if !ok {
		wi.Defaults()
	}

	return uint32(wi.LengthSeconds)
}

func (ga *Gateway) handleAnnounce(_ context.Context, st *peer.Stream) error {
	var an wire.Announce
	if err := st.Request(&an); err != nil {
		return err
	}
	if an.GetServer() == "" || an.GetModel()+an.GetService() == "" {
		return result.New(result.InvalidField, "announce: server and what it serves must be set")
	}

	se := st.Session()
	po := ga.poolOf(an.GetModel() + an.GetService())
	po.Announce(&an, se)
	go func() {
		<-se.Done()
		po.Gone(an.GetServer(), an.GetIncarnation(), se)
	}()

	return st.Reply(&wire.AnnounceReply{WindowSeconds: windowSeconds(ga.group.View())})
}

func (ga *Gateway) handleLoad(_ context.Context, st *peer.Stream) error {
	var lo wire.Load
	if err := st.Request(&lo); err != nil {
		return err
	}

	resync := false
	for _, po := range ga.Pools() {
		if _, ok := po.Find(lo.GetServer()); ok {
			resync = po.Load(&lo, int(lo.GetGateways()))
		}
	}

	return st.Reply(&wire.LoadReply{
		Resync: resync, WindowSeconds: windowSeconds(ga.group.View()), PeriodMs: uint32(time.Duration(ga.reportPeriod.Load()).Milliseconds()),
	})
}

func (ga *Gateway) handleUsage(ctx context.Context, st *peer.Stream) error {
	var rq wire.UsageRequest
	if err := st.Request(&rq); err != nil {
		return err
	}

	var fo usage.Fold
	for _, co := range rq.GetCounters() {
		fo.Counters = append(fo.Counters, usage.Counter{
			Agent: rq.GetAgent(), Incarnation: co.GetIncarnation(), Workspace: co.GetWorkspace(), Window: co.GetWindow(),
			Figures: usage.Figures{Requests: co.GetRequests(), Tokens: co.GetTokens()},
		})
	}

	tooOld := 0
	if err := ga.group.Propose(ctx, machine.KindFoldUsage, fo, &tooOld); err != nil {
		return err
	}
	if tooOld > 0 {
		ga.cfg.Log.WithFields(log.Fields{"agent": rq.GetAgent(), "counters": tooOld}).Warn("usage of windows that are too old is not reported")
	}

	return nil
}

func (ga *Gateway) handleCrash(ctx context.Context, st *peer.Stream) error {
	var rq wire.CrashRequest
	if err := st.Request(&rq); err != nil {
		return err
	}
	ga.cfg.Meter.Count("servers.crashed")

	return ga.group.Propose(ctx, machine.KindCrash, quarantine.Crash{
		Server: rq.GetServer(), Fingerprints: rq.GetFingerprints(), Alone: rq.GetAlone(),
	}, nil)
}

// lockSuspect waits until no other request with the fingerprint runs as a suspect
// on this gateway, so that one request does not crash a fleet at once.
func (ga *Gateway) lockSuspect(ctx context.Context, fp string) (func(), error) {
	for {
		ga.mu.Lock()
		busy, ok := ga.suspects[fp]
		if !ok {
			done := make(chan struct{})
			ga.suspects[fp] = done
			ga.mu.Unlock()

			return func() {
				ga.mu.Lock()
				delete(ga.suspects, fp)
				ga.mu.Unlock()
				close(done)
			}, nil
		}
		ga.mu.Unlock()
		select {
		case <-busy:
		case <-ctx.Done():
			return nil, result.New(result.DeadlinePassed, "fingerprint %s is suspect and waits for its turn", fp)
		}
	}
}

// admitFingerprint refuses a quarantined fingerprint. A suspect waits for its turn; the
// returned function ends it.
func (ga *Gateway) admitFingerprint(ctx context.Context, fp string, suspect *bool) (func(), error) {
	if err := ga.checkQuarantine(fp, suspect); err != nil {
		return nil, err
	}
	if !*suspect {
		return func() {}, nil
	}

	unlock, err := ga.lockSuspect(ctx, fp)
	if err != nil {
		return nil, err
	}
	// A suspect is rare and may take a backend server with it: it runs only on the
	// group's latest word, which may have convicted it a moment ago.
	if ga.group.HasDisk() {
		if err := ga.group.Barrier(ctx); err != nil {
			unlock()

			return nil, result.From(err).With(result.NotRun)
		}
	}
	*suspect = false
	if err := ga.checkQuarantine(fp, suspect); err != nil {
		unlock()

		return nil, err
	}
	if !*suspect { // cleared meanwhile by the one before
		unlock()

		return func() {}, nil
	}

	return unlock, nil
}

// clearSuspect tells the group that a suspect has run to its end, before the next
// request with the fingerprint has its turn.
func (ga *Gateway) clearSuspect(fp string) {
	if _, ok := ga.group.View().Quarantine[fp]; !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), groupCallTimeout)
	defer cancel()
	if err := ga.group.Propose(ctx, machine.KindCleared, quarantine.Cleared{Fingerprint: fp}, nil); err == nil {
		ga.cfg.Meter.Count("quarantine.cleared")
	}
}

func (ga *Gateway) handleFencing(ctx context.Context, st *peer.Stream) error {
	var rq wire.FencingRequest
	if err := st.Request(&rq); err != nil {
		return err
	}
	if !ga.group.HasDisk() {
		return result.New(result.NotLeader, "gateway %s: holds no leases", ga.cfg.Settings.Name)
	}
	if err := ga.group.Barrier(ctx); err != nil {
		return err
	}

	var rep wire.FencingReply
	ga.group.Read(func(ma *machine.Machine) { rep.Fencing = ma.Leases().Get(rq.GetLease()).Fencing })

	return st.Reply(&rep)
}

// handleDemand answers with the demand on one pool since the last call.
func (ga *Gateway) handleDemand(_ context.Context, st *peer.Stream) error {
	var rq wire.QueryRequest
	if err := st.Request(&rq); err != nil {
		return err
	}
	de := ga.poolOf(rq.GetKind()).Demand()

	return st.Reply(&wire.Load{Running: uint32(de.Running), Queued: uint32(de.Waiting)})
}

// trackCall remembers which requests that may not be repeated run here.
func (ga *Gateway) trackCall(id string, runs bool) {
	ga.mu.Lock()
	defer ga.mu.Unlock()

	if runs {
		ga.runningCalls[id] = struct{}{}
	} else {
		delete(ga.runningCalls, id)
	}
}

func (ga *Gateway) isCallRunningHere(id string) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()

	_, ok := ga.runningCalls[id]

	return ok
}

func (ga *Gateway) handleRunning(_ context.Context, st *peer.Stream) error {
	var rq wire.QueryRequest
	if err := st.Request(&rq); err != nil {
		return err
	}
	if !ga.isCallRunningHere(rq.GetKind()) {
		return result.New(result.UnknownObject, "call %s does not run here", rq.GetKind())
	}

	return nil
}

// isCallRunning asks the gateway of a call whether it still runs.
func (ga *Gateway) isCallRunning(ctx context.Context, re *call.Record) bool {
	if re.Gateway == ga.cfg.Settings.PeerAddress {
		return ga.isCallRunningHere(re.Owner)
	}
	cctx, cancel := context.WithTimeout(ctx, groupCallTimeout)
	defer cancel()

	return ga.group.Call(cctx, re.Gateway, methodRunning, &wire.QueryRequest{Kind: re.Owner}, &wire.Empty{}) == nil
}
