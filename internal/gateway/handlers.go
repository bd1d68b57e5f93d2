package gateway

import (
	"context"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"github.com/tamarackbay/tamarackbay/internal/agent"
	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/group"
	"github.com/tamarackbay/tamarackbay/internal/idempotency"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/quarantine"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/usage"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

type message = proto.Message

// Methods of peer calls between gateways.
const (
	methodDemand  = "gateway.demand"
	methodRunning = "gateway.running"
)

const groupCallTimeout = 2 * time.Second

// serverHandlers returns the handlers for calls from agents and other gateways.
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

// windowSeconds returns the length of usage windows, or 0 before the view holds any
// declarations.
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
		return result.New(result.InvalidField, "announce: the server's name and its model or service must be set")
	}

	se := st.Session()
	po := ga.poolOf(an.GetModel() + an.GetService())
	po.AddServer(&an, se)
	go func() {
		<-se.Done()
		po.RemoveServer(an.GetServer(), an.GetIncarnation(), se)
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
			resync = po.ApplyLoad(&lo, int(lo.GetGateways()))
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

	var fo usage.AddCounters
	for _, co := range rq.GetCounters() {
		fo.Counters = append(fo.Counters, usage.Counter{
			Agent: rq.GetAgent(), Incarnation: co.GetIncarnation(), Workspace: co.GetWorkspace(), Window: co.GetWindow(),
			Amounts: usage.Amounts{Requests: co.GetRequests(), Tokens: co.GetTokens()},
		})
	}

	tooOld := 0
	if err := ga.group.Propose(ctx, statemachine.KindAddUsage, fo, &tooOld); err != nil {
		return err
	}
	if tooOld > 0 {
		ga.cfg.Log.WithFields(log.Fields{"agent": rq.GetAgent(), "counters": tooOld}).Warn("usage counters dropped: their windows are too old")
	}

	return nil
}

func (ga *Gateway) handleCrash(ctx context.Context, st *peer.Stream) error {
	var rq wire.CrashRequest
	if err := st.Request(&rq); err != nil {
		return err
	}
	ga.cfg.Meter.Count("servers.crashed")

	return ga.group.Propose(ctx, statemachine.KindRecordCrash, quarantine.Crash{
		Server: rq.GetServer(), Fingerprints: rq.GetFingerprints(), WereSuspects: rq.GetAlone(),
	}, nil)
}

// lockSuspect waits until no other request with the fingerprint runs as a suspect on
// this gateway, so that identical requests cannot crash many backend servers at once.
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
			return nil, result.New(result.DeadlinePassed, "fingerprint %s is suspect: the deadline passed while another request with it ran", fp)
		}
	}
}

// admitFingerprint refuses a quarantined fingerprint. A suspect one waits until no
// other request with it runs here; the returned function lets the next one run. A
// request without a fingerprint is always admitted.
func (ga *Gateway) admitFingerprint(ctx context.Context, fp string, suspect *bool) (func(), error) {
	if fp == "" {
		*suspect = false

		return func() {}, nil
	}
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
	// The local view may lag behind a verdict that quarantines the fingerprint. Suspects
	// are rare and may crash a backend server, so waiting for the latest state is worth it.
	if ga.group.HasDisk() {
		if err := ga.group.Barrier(ctx); err != nil {
			unlock()

			return nil, result.From(err).WithExecution(result.NotRun)
		}
	}
	*suspect = false
	if err := ga.checkQuarantine(fp, suspect); err != nil {
		unlock()

		return nil, err
	}
	if !*suspect { // the request before it ran to its end and cleared the fingerprint
		unlock()

		return func() {}, nil
	}

	return unlock, nil
}

// clearSuspect records in the group that a request with a suspect fingerprint ran to
// its end. It returns before the next request with that fingerprint may start.
func (ga *Gateway) clearSuspect(fp string) {
	en, ok := ga.group.View().Quarantine[fp]
	if !ok || en.Verdict(ga.cfg.WallMs()) != quarantine.Suspect {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), groupCallTimeout)
	defer cancel()
	if err := ga.group.Propose(ctx, statemachine.KindClearSuspect, quarantine.ClearSuspect{Fingerprint: fp, Crashes: len(en.Crashes)}, nil); err != nil {
		ga.cfg.Log.WithError(err).WithField("fingerprint", fp).Warn("suspect request that completed was not cleared")

		return
	}
	ga.cfg.Meter.Count("quarantine.cleared")
}

// clearCompleted clears the requests that completed while the report of a crash at which they
// were in flight was on its way.
func (ga *Gateway) clearCompleted() {
	for _, fp := range ga.completed.suspects(ga.group.View().Quarantine, time.Now(), ga.cfg.WallMs()) {
		ga.clearSuspect(fp)
	}
}

func (ga *Gateway) handleFencing(ctx context.Context, st *peer.Stream) error {
	var rq wire.FencingRequest
	if err := st.Request(&rq); err != nil {
		return err
	}
	if !ga.group.HasDisk() {
		return result.New(result.NotLeader, "gateway %s has no disk and cannot answer for leases", ga.cfg.Settings.Name)
	}
	if err := ga.group.Barrier(ctx); err != nil {
		return err
	}

	var rep wire.FencingReply
	ga.group.Read(func(ma *statemachine.Machine) { rep.Fencing = ma.Leases().Get(rq.GetLease()).Fencing })

	return st.Reply(&rep)
}

// handleDemand returns the demand on one pool. Each call ends a period of pool.Demand,
// which counts recently refused requests as waiting.
func (ga *Gateway) handleDemand(_ context.Context, st *peer.Stream) error {
	var rq wire.QueryRequest
	if err := st.Request(&rq); err != nil {
		return err
	}
	de := ga.poolOf(rq.GetKind()).Demand()

	return st.Reply(&wire.Load{Running: uint32(de.Running), Queued: uint32(de.Waiting)})
}

// trackCall records that a non-repeatable request begins or ends on this gateway.
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
		return result.New(result.UnknownObject, "call %s is not running on this gateway", rq.GetKind())
	}

	return nil
}

// isCallRunning reports whether the gateway that began a call still runs it. An
// unreachable gateway counts as not running it.
func (ga *Gateway) isCallRunning(ctx context.Context, re *idempotency.Record) bool {
	if re.Gateway == ga.cfg.Settings.PeerAddress {
		return ga.isCallRunningHere(re.Owner)
	}
	cctx, cancel := context.WithTimeout(ctx, groupCallTimeout)
	defer cancel()

	return ga.group.Call(cctx, re.Gateway, methodRunning, &wire.QueryRequest{Kind: re.Owner}, &wire.Empty{}) == nil
}
