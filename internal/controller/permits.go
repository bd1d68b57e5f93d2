package controller

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/permit"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/settings"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// Methods that gateways and stores call.
const (
	MethodPermits = "controller.permits"
	MethodLimits  = "controller.limits"
)

// Methods that controllers forward to their leader.
const (
	methodPermitsLeader = "controller.permitsLeader"
	methodLimitsLeader  = "controller.limitsLeader"
)

const (
	// brokerFreshness is the maximum age of the leadership under which permits are granted. It
	// is below the election timeout, so that two brokers never grant at the same time.
	brokerFreshness = settings.NodeElection * 4 / 5
	// brokerConfirmTimeout bounds the confirmation by a quorum after that time.
	brokerConfirmTimeout = 100 * time.Millisecond
	// absenceMemory is how long the rate limits keep a share for processes that are out of
	// reach and may still use it.
	absenceMemory = 10 * time.Second
	// orderUrgency is the urgency of calls for weights orders, before all routes.
	orderUrgency = -1
	// limitedPollPeriod is how long an engine that limits its rate is not polled again: two
	// heartbeats of the deployments.
	limitedPollPeriod = 2500 * time.Millisecond
	// maxPermitWait is how long a swap waits for a permit. Swaps of other engines may wait for
	// it.
	maxPermitWait = time.Second
	// maxKnownOrders bounds the engines whose number of accepted orders is remembered.
	maxKnownOrders = 20_000
)

// permitBroker divides the rate limits while this replica leads.
type permitBroker struct {
	mu            sync.Mutex
	broker        *permit.Broker
	mostFollowers int // largest number of followers in the last absenceMemory
	mostAt        time.Duration
}

var errNotBroker = result.New(result.NotLeader, "controller: this replica does not lead")

// confirmLead returns an error unless this replica was the leader a short time ago.
func (co *Controller) confirmLead(ctx context.Context) error {
	if !co.group.Status().IsSettled {
		return errNotBroker
	}
	if age, ok := co.group.Age(); ok && age <= brokerFreshness {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, brokerConfirmTimeout)
	defer cancel()

	return co.group.Barrier(ctx)
}

// lead prepares the broker for use. It returns an error unless this replica leads. The caller
// holds pb.mu.
func (co *Controller) lead(pb *permitBroker) error {
	st := co.group.Status()
	if !st.IsSettled {
		return errNotBroker
	}
	now, n := co.cfg.Now(), co.feed.Followers()
	if n >= pb.mostFollowers || now-pb.mostAt > absenceMemory {
		pb.mostFollowers, pb.mostAt = n, now
	}
	pb.broker.Lead(st.Term)
	pb.broker.SetShare(now, float64(max(n, 1))/float64(max(pb.mostFollowers, 1)))

	return nil
}

// takePermits grants permits if this replica is the broker.
func (co *Controller) takePermits(ctx context.Context, rq *permit.Request) (permit.Reply, error) {
	if err := co.confirmLead(ctx); err != nil {
		return permit.Reply{}, err
	}
	pb := &co.permits
	pb.mu.Lock()
	defer pb.mu.Unlock()

	if err := co.lead(pb); err != nil {
		return permit.Reply{}, err
	}
	rep, changed := pb.broker.Take(co.cfg.Now(), rq)
	if changed {
		co.wakePublish()
	}

	return rep, nil
}

// recordLimits records limits that a process learned if this replica is the broker.
func (co *Controller) recordLimits(_ context.Context, limits []permit.Limit) (struct{}, error) {
	pb := &co.permits
	pb.mu.Lock()
	defer pb.mu.Unlock()

	if err := co.lead(pb); err != nil {
		return struct{}{}, err
	}
	for _, li := range limits {
		if !pb.broker.Report(co.cfg.Now(), li) {
			continue
		}
		co.wakePublish()
		co.cfg.Log.WithFields(log.Fields{
			"server": li.Server.ID, "born": li.Server.BornMs, "perSecond": li.PerSecond, "isOver": li.IsOver,
		}).Info("rate limit of a backend server recorded")
	}

	return struct{}{}, nil
}

// publishedLimits returns the limits that this replica knows as the broker, nil if it is not. The
// broker also learns which backend servers are cold, so that a new one knows them at once.
func (co *Controller) publishedLimits(alive map[registry.Incarnation]bool, cold map[registry.Incarnation]permit.Cold) []permit.Limit {
	pb := &co.permits
	pb.mu.Lock()
	defer pb.mu.Unlock()
	pb.broker.SetCold(co.cfg.Now(), cold)

	if co.lead(pb) != nil {
		return nil
	}
	pb.broker.Retain(co.cfg.Now(), func(in registry.Incarnation) bool { return alive[in] })

	return pb.broker.Limits(co.cfg.Now())
}

// permitHandlers returns the handlers of calls to the broker. A replica that is not the broker
// forwards them to the leader once.
func (co *Controller) permitHandlers() peer.Mux {
	take := func(ctx context.Context, rq permit.Request) (permit.Reply, error) { return co.takePermits(ctx, &rq) }

	return peer.Mux{
		MethodPermits:       handleBroker(co, methodPermitsLeader, take),
		methodPermitsLeader: handleBroker(co, "", take),
		MethodLimits:        handleBroker(co, methodLimitsLeader, co.recordLimits),
		methodLimitsLeader:  handleBroker(co, "", co.recordLimits),
	}
}

// handleBroker returns a handler that calls f if this replica is the broker, and otherwise
// forwards the call to the leader under the method forward unless that is "".
func handleBroker[In, Out any](co *Controller, forward string, f func(ctx context.Context, in In) (Out, error)) peer.Handler {
	return func(ctx context.Context, st *peer.Stream) error {
		var in In
		if err := st.RequestRecord(&in); err != nil {
			return err
		}
		out, err := f(ctx, in)
		if result.Is(err, result.NotLeader) && forward != "" {
			err = co.callBroker(ctx, forward, in, &out)
		}
		if err != nil {
			return err
		}
		b, err := cbor.Marshal(out)
		if err != nil {
			return result.New(result.Internal, "controller: encode the answer to a call of the broker: %v", err)
		}

		return st.Reply(&wire.Payload{Record: b})
	}
}

// callBroker calls the leader.
func (co *Controller) callBroker(ctx context.Context, method string, in, out any) error {
	b, err := cbor.Marshal(in)
	if err != nil {
		return result.New(result.Internal, "controller: encode the call %s: %v", method, err)
	}
	var pa wire.Payload
	if err := co.group.CallLeader(ctx, method, &wire.Payload{Record: b}, &pa); err != nil {
		return err
	}

	return cbor.Unmarshal(pa.GetRecord(), out)
}

// awaitPermit waits until a report or an order may be sent to an engine, or returns errNoPermit
// if that takes long, or the error of checkEngine if nothing may be sent to it. It reports whether the
// engine limits its rate.
func (co *Controller) awaitPermit(ctx context.Context, re registry.Record) (isLimited bool, err error) {
	rq := permit.Request{Holder: co.cfg.Settings.Name, Urgency: orderUrgency, Count: 1, Limits: []permit.Limit{{Server: re.Incarnation()}}}
	for {
		if err := co.checkEngine(&re); err != nil {
			return false, err
		}
		rep, err := co.takePermits(ctx, &rq)
		if result.Is(err, result.NotLeader) {
			err = co.callBroker(ctx, methodPermitsLeader, rq, &rep)
		}
		switch {
		case err == nil && len(rep.Unlimited) > 0:
			return false, co.checkCall(ctx, &re)
		case err == nil && len(rep.Granted) > 0:
			return true, co.checkCall(ctx, &re)
		case err == nil && rep.RetryAfter > maxPermitWait:
			return true, errNoPermit // the token is reserved for the next attempt
		case err != nil:
			rep.RetryAfter = loadPollPeriod // there may be no leader now
		}
		select {
		case <-time.After(rep.RetryAfter):
		case <-ctx.Done():
			return true, errLoadTimeout
		}
	}
}

// reportLimit passes the limit that an engine named in its report to the broker.
func (co *Controller) reportLimit(ctx context.Context, in registry.Incarnation, rl backend.RateLimit) {
	if rl.Kind != backend.RateLimited {
		return // reports need not name it
	}
	limits := []permit.Limit{{Server: in, PerSecond: rl.PerSecond}}
	_, err := co.recordLimits(ctx, limits)
	if result.Is(err, result.NotLeader) {
		err = co.callBroker(ctx, methodLimitsLeader, limits, &struct{}{})
	}
	if err != nil {
		co.cfg.Log.WithError(err).WithField("server", in.ID).Warn("rate limit of an engine not recorded, the next answer names it again")
	}
}
