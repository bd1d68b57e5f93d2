package ingress

import (
	"context"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/crashguard"
	"github.com/tamarackbay/tamarackbay/internal/fairshare"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

// acquireServer acquires a slot on a backend server. It prefers a server that was not
// tried, then any server but the last one tried, and takes that one as the last resort.
func (rs *requestState) acquireServer(ctx context.Context, pa *crashguard.Pass) (*balance.Grant, error) {
	service := rs.in.cfg.Balancer.PickService(rs.ro, rs.regions, rs.in.cfg.Random())
	rq := &balance.Request{Service: service, Model: rs.rq.Model, Exclude: rs.tried, IsSuspect: pa.IsSuspect, Regions: rs.regions, Work: rs.estimate(service)}
	if pa.HasCompleted {
		rq.MinAge = minTrialAge
	}
	if rs.origin != nil {
		if service = rs.origin.Service; !rs.ro.Allows(service) || !rs.in.cfg.Balancer.HasSoftware(service, rs.origin.Software, rs.otherSoftware) {
			return nil, result.New(result.NoSameSoftware, "ingress: no backend server of %s with software version %q is ready", service, rs.origin.Software).
				WithRetryAfter(sameSoftwareRetryAfter)
		}
		rq.Service, rq.Software, rq.OtherSoftware, rq.ExtraSlots = service, rs.origin.Software, rs.otherSoftware, resumeQueueSlots
	}
	ke := fairshare.Key{Service: service, Workspace: rs.workspace}
	isOver, wr := rs.in.waiting.isOver(ke), rs.in.waiting
	if rs.hold() == 0 || (!isOver && wr.isEmpty(service)) {
		gr, err := rs.acquireNow(ctx, rq)
		if gr != nil || err != nil || rs.hold() == 0 {
			return rs.begin(ke, gr, err)
		}
	} else if err := rs.checkReady(service); err != nil {
		return nil, err
	}
	gr, err := wr.wait(ctx, &waitRequest{
		key: ke, urgency: rs.urgency, work: rq.Work.Seconds, hold: rs.hold(), bytes: rs.rq.Body.Len(),
		isUsual: rs.origin == nil && len(rs.tried) == 0 && !pa.IsSuspect, model: rs.rq.Model, isOver: isOver,
		acquire: func() *balance.Grant { return rs.acquireAny(rq) },
	})
	if err != nil && ctx.Err() == nil {
		// A slot that is left now fits no request that waits, or needs a permit, for which these
		// do not ask.
		wr.dispatch(service, true)
		if gr, err := rs.acquireNow(ctx, rq); gr != nil || err != nil {
			return rs.begin(ke, gr, err)
		}
	}

	return rs.begin(ke, gr, err)
}

// hold returns how long the request may wait for a slot, 0 if it may not.
func (rs *requestState) hold() time.Duration {
	return min(rs.ro.LatencyObjective/waitDivisor, max(time.Until(rs.deadline)-answerMargin, 0))
}

// begin counts a request that got a slot.
func (rs *requestState) begin(ke fairshare.Key, gr *balance.Grant, err error) (*balance.Grant, error) {
	switch {
	case err != nil:
		return nil, err
	case gr == nil:
		return nil, rs.in.waiting.refusal(ke.Service, "no slot is free")
	}
	rs.in.cfg.Shares.Begin(rs.in.cfg.Now(), ke)
	rs.in.waiting.recordServed(ke.Service, rs.estimate(ke.Service).Seconds)
	rs.slotKey = ke

	return gr, nil
}

// release ends the use of a slot and gives it to a request that waits.
func (rs *requestState) release(gr *balance.Grant, outcome balance.Outcome, load *backend.Load) {
	gr.Release(outcome, load)
	rs.in.cfg.Shares.End(rs.in.cfg.Now(), rs.slotKey)
	rs.learnWork(gr, outcome)
	rs.in.waiting.dispatch(rs.slotKey.Service, true)
}

// acquireAny acquires a slot for which no permit must be asked for, or returns nil.
func (rs *requestState) acquireAny(rq *balance.Request) *balance.Grant {
	last := rs.tried[max(len(rs.tried)-1, 0):]
	for _, exclude := range [][]string{rs.tried, last, nil} {
		with := *rq
		with.Exclude = exclude
		if gr := rs.in.cfg.Balancer.Acquire(&with); gr != nil {
			return gr
		}
		if len(exclude) == 0 {
			break
		}
	}

	return nil
}

// acquireNow acquires a slot, also one that needs a permit. It returns an error if there is none
// and it is no use to wait for one.
func (rs *requestState) acquireNow(ctx context.Context, rq *balance.Request) (*balance.Grant, error) {
	gr, limitErr := rs.in.cfg.Balancer.AcquirePermitted(ctx, rq, rs.urgency)
	if gr != nil {
		return gr, nil
	}
	if len(rs.tried) > 0 {
		if gr := rs.acquireAny(rq); gr != nil {
			return gr, nil
		}
	}
	if limitErr != nil {
		return nil, limitErr
	}

	return nil, rs.checkReady(rq.Service)
}

// checkReady returns an error if no backend server of a service that the request may use is
// ready, so that it is no use to wait for a slot.
func (rs *requestState) checkReady(service string) error {
	if ready, _ := rs.in.cfg.Balancer.Count(service, rs.rq.Model, 0); ready == 0 {
		return result.New(result.NoBackendServer, "ingress: no backend server of %s is ready", service).WithRetryAfter(defaultRetryAfter)
	}
	if !rs.in.cfg.Balancer.HasAllowed(service, rs.regions) {
		return result.New(result.NoServerInRegion, "ingress: no backend server of %s is ready in the regions %q", service, rs.regions).WithRetryAfter(defaultRetryAfter)
	}

	return nil
}
