package agent

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tamarackbay/tamarackbay/internal/engine"
	"github.com/tamarackbay/tamarackbay/internal/intent"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// Leases whose holders send orders to agents.
const (
	LeaseFleet   = "fleet"
	LeaseWeights = "weights"
)

// KindDrain is the kind of an order to refuse new requests.
const KindDrain = "drain"

// fencingNumbers holds the highest fencing number seen for each lease. After a
// start, orders are refused until the lease's current number has been read from the
// replica group.
type fencingNumbers struct {
	mu      sync.Mutex
	highest map[string]uint64
	isRead  map[string]bool
}

func newFencingNumbers() *fencingNumbers {
	return &fencingNumbers{highest: map[string]uint64{}, isRead: map[string]bool{}}
}

// recordGroupNumber records the fencing number of a lease as read from the replica group.
func (fe *fencingNumbers) recordGroupNumber(lease string, n uint64) {
	fe.mu.Lock()
	defer fe.mu.Unlock()

	fe.highest[lease] = max(fe.highest[lease], n)
	fe.isRead[lease] = true
}

// unread returns the leases whose fencing number has not been read yet.
func (fe *fencingNumbers) unread() []string {
	fe.mu.Lock()
	defer fe.mu.Unlock()

	var out []string
	for _, l := range []string{LeaseFleet, LeaseWeights} {
		if !fe.isRead[l] {
			out = append(out, l)
		}
	}

	return out
}

// acceptOrder returns an error if the lease's fencing number has not been read yet or
// if n is lower than the highest one seen. Otherwise it records n as the highest.
func (fe *fencingNumbers) acceptOrder(lease string, n uint64) error {
	fe.mu.Lock()
	defer fe.mu.Unlock()

	switch {
	case !fe.isRead[lease]:
		return result.New(result.FencingTooLow, "agent: the fencing number of lease %s has not been read from the replica group yet", lease).WithRetryAfter(time.Second)
	case n < fe.highest[lease]:
		return result.New(result.FencingTooLow, "agent: fencing number %d of lease %s is lower than the highest seen, %d", n, lease, fe.highest[lease])
	}
	fe.highest[lease] = n

	return nil
}

// fencingLoop reads the fencing numbers from the replica group after a start and
// returns when it has all of them.
func (ag *Agent) fencingLoop(ctx context.Context) {
	for ctx.Err() == nil {
		missing := ag.fencing.unread()
		if len(missing) == 0 {
			return
		}
		for _, l := range missing {
			cctx, cancel := context.WithTimeout(ctx, callTimeout)
			var rep wire.FencingReply
			if err := ag.callAny(cctx, MethodFencing, &wire.FencingRequest{Lease: l}, &rep); err == nil {
				ag.fencing.recordGroupNumber(l, rep.GetFencing())
			}
			cancel()
		}
		select {
		case <-time.After(fencingPeriod):
		case <-ctx.Done():
		}
	}
}

// callAny calls the connected gateways one after another until a call succeeds.
func (ag *Agent) callAny(ctx context.Context, method string, rq, rep proto.Message) error {
	err := error(result.New(result.NoLeader, "agent %s: no gateway is connected", ag.cfg.Server))
	for _, li := range ag.links {
		se := li.Session()
		if se == nil {
			continue
		}
		if err = se.Call(ctx, method, rq, rep); err == nil {
			return nil
		}
	}

	return err
}

// leaseOf returns the lease whose holder sends orders of a kind.
func leaseOf(kind string) string {
	if kind == KindDrain {
		return LeaseFleet
	}

	return LeaseWeights
}

func (ag *Agent) handleOrder(ctx context.Context, st *peer.Stream) error {
	var or wire.Order
	if err := st.Request(&or); err != nil {
		return err
	}
	if err := ag.fencing.acceptOrder(leaseOf(or.GetKind()), or.GetFencing()); err != nil {
		ag.cfg.Meter.CountRefusal(err)

		return err
	}

	switch or.GetKind() {
	case KindDrain:
		ag.mu.Lock()
		ag.draining = true
		ag.mu.Unlock()
		ag.reportToAll()

		return st.Reply(&wire.OrderReply{Fencing: or.GetFencing()})
	case intent.KindLoad, intent.KindActivate:
		if err := ag.swap(ctx, &or); err != nil {
			return err
		}
		v, _ := ag.version()

		return st.Reply(&wire.OrderReply{Version: v, Fencing: or.GetFencing()})
	}

	return result.New(result.InvalidField, "agent %s: unknown kind of order %q", ag.cfg.Server, or.GetKind())
}

// swap loads or activates weights. The version counts as unknown from the start of
// an activation until the engine's status has been read again.
func (ag *Agent) swap(ctx context.Context, or *wire.Order) error {
	if ag.engine == nil {
		return result.New(result.InvalidField, "agent %s: a plain service has no weights", ag.cfg.Server)
	}

	eo := engine.Order{ID: or.GetOrderId(), Model: or.GetModel(), Version: or.GetVersion(), Fencing: or.GetFencing(), LeaseHolder: or.GetGiver()}
	if or.GetKind() == intent.KindLoad {
		if err := ag.engine.Load(ctx, eo); err != nil {
			return err
		}
		ag.pollStatus(ctx)

		return nil
	}

	if or.GetDrain() {
		ag.setPaused(true)
		defer ag.setPaused(false)
		if err := ag.waitIdle(ctx); err != nil {
			return err
		}
	}
	ag.mu.Lock()
	ag.swapping, ag.versionKnown = true, false
	ag.recordVersion(or.GetVersion())
	ag.mu.Unlock()
	err := ag.engine.Activate(ctx, eo)
	ag.mu.Lock()
	ag.swapping = false
	ag.mu.Unlock()
	ag.pollStatus(ctx)
	if err != nil {
		return err
	}
	if v, ok := ag.version(); !ok || v != or.GetVersion() {
		return result.New(result.SwapFailed, "agent %s: the engine reports version %q, not %q", ag.cfg.Server, v, or.GetVersion()).WithExecution(result.Ran)
	}

	return nil
}

// setPaused sets whether new requests are refused, as they are while an engine
// finishes its requests before a swap.
func (ag *Agent) setPaused(isPaused bool) {
	ag.mu.Lock()
	ag.paused = isPaused
	ag.mu.Unlock()
	ag.reportToAll()
}

// waitIdle waits until no request is in flight.
func (ag *Agent) waitIdle(ctx context.Context) error {
	for {
		ag.mu.Lock()
		n, idle := len(ag.inFlight), ag.idle
		ag.mu.Unlock()
		if n == 0 {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return result.New(result.SwapFailed, "agent %s: %d requests were still running at the deadline", ag.cfg.Server, n)
		}
	}
}
