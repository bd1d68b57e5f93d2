package controller

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/coldstart"
	"github.com/tamarackbay/tamarackbay/internal/evacuation"
	"github.com/tamarackbay/tamarackbay/internal/feed"
	"github.com/tamarackbay/tamarackbay/internal/permit"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
)

// sendTimeout bounds the wait until the followers of this controller were sent a change that is to
// be acknowledged, so that it takes effect although all controllers are lost right after the
// response. It takes milliseconds, and a follower that is cut off must not delay the response.
const sendTimeout = 200 * time.Millisecond

// awaitSent waits until all connected followers of this controller were sent a state that has a change, for
// sendTimeout at most, and reports whether they were.
func (co *Controller) awaitSent(ctx context.Context, has func(st *feed.State) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()

	return co.feed.AwaitSent(ctx, has)
}

// Evacuate commits the request that the backend servers of a failure domain get nothing new.
func (co *Controller) Evacuate(ctx context.Context, failureDomain string) error {
	return co.changeEvacuation(ctx, evacuation.Change{FailureDomain: failureDomain})
}

// WithdrawEvacuation commits the withdrawal of such a request.
func (co *Controller) WithdrawEvacuation(ctx context.Context, failureDomain string) error {
	return co.changeEvacuation(ctx, evacuation.Change{FailureDomain: failureDomain, IsWithdrawn: true})
}

// changeEvacuation commits a change. If it was committed without effect because this replica
// had not applied an earlier call, it is committed again.
func (co *Controller) changeEvacuation(ctx context.Context, ch evacuation.Change) error {
	fl := log.Fields{"failureDomain": ch.FailureDomain, "isWithdrawn": ch.IsWithdrawn}
	var err error
	for err == nil {
		co.group.Read(func(ma *statemachine.Machine) { ch.Base = ma.Applied() })
		var rep evacuation.Reply
		if err = co.group.Propose(ctx, statemachine.KindChangeEvacuation, ch, &rep); err == nil && !rep.IsStale {
			has := func(st *feed.State) bool { return st.EvacuatedAt >= rep.Revision }
			fl["isSentToAll"], fl["followers"] = co.awaitSent(ctx, has), co.feed.CountSent(has)
			fl["position"] = rep.Revision
			co.cfg.Log.WithFields(fl).Info("evacuation of a failure domain recorded")

			return nil
		}
		if err == nil {
			err = co.group.Barrier(ctx)
		}
		if err == nil && ctx.Err() != nil { // its caller repeats it elsewhere
			err = result.New(result.GroupTimeout, "controller: the evacuation was not recorded in time: %v", ctx.Err())
		}
	}
	co.cfg.Log.WithFields(fl).WithError(err).Warn("evacuation of a failure domain not recorded")

	return err
}

// readEvacuations adds the evacuations of the replicated state to a state of the feed.
func (co *Controller) readEvacuations(ma *statemachine.Machine, st *feed.State) {
	ev := ma.Evacuations()
	st.Evacuated, st.EvacuatedAt = ev.Evacuated(), ev.Revision()
	nowMs := co.cfg.WallMs()
	for name, do := range ev.Domains() {
		if do.WithdrawnAtMs > 0 && !do.IsEvacuated {
			age := time.Duration(max(nowMs-do.WithdrawnAtMs, 0)) * time.Millisecond
			st.Withdrawn = append(st.Withdrawn, feed.Withdrawal{FailureDomain: name, Age: age, Position: do.Withdrawn})
		}
	}
}

// coldServers returns the limits of the backend servers that are cold according to a state of
// the feed.
func coldServers(now time.Duration, st *feed.State) map[registry.Incarnation]permit.Cold {
	if st.Config == nil {
		return nil
	}
	withdrawals := map[string]coldstart.Withdrawal{}
	for _, wi := range st.Withdrawn {
		withdrawals[wi.FailureDomain] = coldstart.Withdrawal{Position: wi.Position, Age: wi.Age}
	}

	return coldstart.Servers(now, st.Config, withdrawals, func(yield func(re *registry.Record) bool) {
		for i := range st.Servers {
			if !yield(&st.Servers[i].Record) {
				return
			}
		}
	})
}

// maxCallAge is the age of the replicated state above which it is confirmed before a call to an
// engine: a controller that was cut off or frozen may have missed an evacuation or a departure. It is
// a few periods of the confirmations.
const maxCallAge = time.Second

// checkCall returns an error unless an engine may be called now.
func (co *Controller) checkCall(ctx context.Context, re *registry.Record) error {
	if age, ok := co.group.Age(); !ok || age > maxCallAge {
		if err := co.group.Barrier(ctx); err != nil {
			return err
		}
	}

	return co.checkEngine(re)
}

// checkEngine returns an error if an engine gets nothing new by what this controller has applied: its failure
// domain is evacuated, or this incarnation is not ready.
func (co *Controller) checkEngine(re *registry.Record) error {
	if co.isEvacuated(re.FailureDomain) {
		return errEvacuated
	}
	co.mu.Lock()
	defer co.mu.Unlock()
	co.applyDepartures()
	if last, ok := co.registry.Record(re.ID); !ok || last.BornMs != re.BornMs || last.State != registry.Ready {
		return errDeparted
	}

	return nil
}

// isEvacuated reports whether the backend servers of a failure domain get nothing new.
func (co *Controller) isEvacuated(failureDomain string) bool {
	var evacuated []string
	co.group.Read(func(ma *statemachine.Machine) { evacuated = ma.Evacuations().Evacuated() })

	return slices.Contains(evacuated, failureDomain)
}
