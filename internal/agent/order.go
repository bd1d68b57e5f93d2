package agent

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tamarackbay/tamarackbay/internal/engine"
	"github.com/tamarackbay/tamarackbay/internal/order"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// Leases under which orders to backend servers are given.
const (
	LeaseFleet   = "fleet"
	LeaseWeights = "weights"
)

// KindDrain is the order to take no new work.
const KindDrain = "drain"

// fences holds the highest fencing number seen for each lease. After a start no
// order passes before the number was learned from the group.
type fences struct {
	mu      sync.Mutex
	floor   map[string]uint64
	learned map[string]bool
}

func newFences() *fences {
	return &fences{floor: map[string]uint64{}, learned: map[string]bool{}}
}

func (fe *fences) learn(lease string, n uint64) {
	fe.mu.Lock()
	defer fe.mu.Unlock()

	fe.floor[lease] = max(fe.floor[lease], n)
	fe.learned[lease] = true
}

func (fe *fences) missing() []string {
	fe.mu.Lock()
	defer fe.mu.Unlock()

	var out []string
	for _, l := range []string{LeaseFleet, LeaseWeights} {
		if !fe.learned[l] {
			out = append(out, l)
		}
	}

	return out
}

// pass lets an order with fencing number n through, or refuses it.
func (fe *fences) pass(lease string, n uint64) error {
	fe.mu.Lock()
	defer fe.mu.Unlock()

	switch {
	case !fe.learned[lease]:
		return result.New(result.FencingTooLow, "agent: the fencing number of lease %s is not learned yet", lease).After(time.Second)
	case n < fe.floor[lease]:
		return result.New(result.FencingTooLow, "agent: fencing number %d of lease %s, the highest seen is %d", n, lease, fe.floor[lease])
	}
	fe.floor[lease] = n

	return nil
}

// fencingDuty learns the fencing numbers after a start.
func (ag *Agent) fencingDuty(ctx context.Context) {
	for ctx.Err() == nil {
		missing := ag.fences.missing()
		if len(missing) == 0 {
			return
		}
		for _, l := range missing {
			cctx, cancel := context.WithTimeout(ctx, callTimeout)
			var rep wire.FencingReply
			if err := ag.callAny(cctx, MethodFencing, &wire.FencingRequest{Lease: l}, &rep); err == nil {
				ag.fences.learn(l, rep.GetFencing())
			}
			cancel()
		}
		select {
		case <-time.After(fencingPeriod):
		case <-ctx.Done():
		}
	}
}

// callAny makes a call on the first gateway that answers it.
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
	if err := ag.fences.pass(leaseOf(or.GetKind()), or.GetFencing()); err != nil {
		ag.cfg.Meter.Refused(err)

		return err
	}

	switch or.GetKind() {
	case KindDrain:
		ag.mu.Lock()
		ag.draining = true
		ag.mu.Unlock()
		ag.wakeAll()

		return st.Reply(&wire.OrderReply{Fencing: or.GetFencing()})
	case order.KindLoad, order.KindActivate:
		if err := ag.swap(ctx, &or); err != nil {
			return err
		}
		v, _ := ag.version()

		return st.Reply(&wire.OrderReply{Version: v, Fencing: or.GetFencing()})
	}

	return result.New(result.InvalidField, "agent %s: order of unknown kind %q", ag.cfg.Server, or.GetKind())
}

// swap loads or activates weights. While an activation runs, and after one that
// failed until the engine's word is read again, the version is unknown.
func (ag *Agent) swap(ctx context.Context, or *wire.Order) error {
	if ag.engine == nil {
		return result.New(result.InvalidField, "agent %s: a plain service has no weights", ag.cfg.Server)
	}

	eo := engine.Order{ID: or.GetOrderId(), Model: or.GetModel(), Version: or.GetVersion(), Fencing: or.GetFencing(), Giver: or.GetGiver()}
	if or.GetKind() == order.KindLoad {
		if err := ag.engine.Load(ctx, eo); err != nil {
			return err
		}
		ag.poll(ctx)

		return nil
	}

	if or.GetDrain() {
		ag.pause(true)
		defer ag.pause(false)
		if err := ag.waitIdle(ctx); err != nil {
			return err
		}
	}
	ag.mu.Lock()
	ag.swapping, ag.versionKnown = true, false
	ag.noteVersion(or.GetVersion())
	ag.mu.Unlock()
	err := ag.engine.Activate(ctx, eo)
	ag.mu.Lock()
	ag.swapping = false
	ag.mu.Unlock()
	ag.poll(ctx)
	if err != nil {
		return err
	}
	if v, ok := ag.version(); !ok || v != or.GetVersion() {
		return result.New(result.SwapFailed, "agent %s: the engine reports version %q, not %q", ag.cfg.Server, v, or.GetVersion()).With(result.Ran)
	}

	return nil
}

// pause refuses new work while an engine finishes what it runs before a swap.
func (ag *Agent) pause(isPaused bool) {
	ag.mu.Lock()
	ag.paused = isPaused
	ag.mu.Unlock()
	ag.wakeAll()
}

// waitIdle waits until nothing is in flight.
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
			return result.New(result.SwapFailed, "agent %s: %d requests still run", ag.cfg.Server, n)
		}
	}
}
