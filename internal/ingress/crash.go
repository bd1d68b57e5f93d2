package ingress

import (
	"context"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/crashguard"
	"github.com/tamarackbay/tamarackbay/internal/quarantine"
)

const (
	// endedSuspension is for how long an incarnation of a backend server that has ended gets nothing
	// more: what listens at its address later is another one, whose heartbeat is on its way. Heartbeats
	// of one that has ended are missed after about that time.
	endedSuspension = 2 * time.Second
	// minTrialAge is for how long a backend server must have been up for a suspect that ran to its end
	// before. One that is back may be crashed at once by what crashed the one before it.
	minTrialAge = time.Second
)

// identify sets the fingerprint of the request: what its caller sends again when it
// repeats the request. IDs, deadlines and other headers differ between repetitions.
func (rs *requestState) identify() string {
	if rs.fingerprint == "" {
		rq := rs.rq
		di := xxhash.New() // bodies may be large
		for _, c := range rq.Body {
			_, _ = di.Write(c) // never fails
		}
		body := strconv.FormatUint(di.Sum64(), 16)
		rs.fingerprint = quarantine.Fingerprint(rs.workspace, rq.Method, rq.Host, rq.Target, body)
	}

	return rs.fingerprint
}

// place asks whether the request may run now and acquires a slot on a backend server. The configuration may be
// replaced while it waits.
func (rs *requestState) place(ctx context.Context) (*crashguard.Pass, *balance.Grant, error) {
	err := rs.renew()
	for err == nil {
		regions := rs.regions
		var pa *crashguard.Pass
		var gr *balance.Grant
		if pa, gr, err = rs.placeNow(ctx); err != nil {
			break
		}
		if err = rs.renew(); err == nil && rs.allows(gr, regions) {
			return pa, gr, nil
		}
		rs.in.cfg.Guard.RecordNotRun(pa, rs.fingerprint)
		rs.release(gr, balance.Unused, nil)
		pa.Release()
	}

	return nil, nil, err
}

// placeNow is place with the configuration that the request is handled by.
func (rs *requestState) placeNow(ctx context.Context) (*crashguard.Pass, *balance.Grant, error) {
	pa := crashguard.FreePass()
	if !rs.in.cfg.Guard.IsIdle() {
		var err error
		if pa, err = rs.in.cfg.Guard.Admit(ctx, rs.identify()); err != nil {
			return nil, nil, err
		}
	}
	gr, err := rs.acquireServer(ctx, pa)
	if err == nil {
		if err = rs.tryOut(ctx, pa, gr); err != nil {
			rs.release(gr, balance.Unused, nil)
		}
	}
	if err != nil {
		pa.Release()

		return nil, nil, err
	}

	return pa, gr, nil
}

// tryOut asks whether a suspect may run on the backend server of a grant.
func (rs *requestState) tryOut(ctx context.Context, pa *crashguard.Pass, gr *balance.Grant) error {
	if !pa.IsSuspect {
		return nil
	}
	re := gr.Record()
	servers, _ := rs.in.cfg.Balancer.Count(re.Service, "", 0)

	return rs.in.cfg.Guard.TryOut(ctx, pa, quarantine.Trial{
		Fingerprint: rs.identify(), Server: crashguard.ServerName(re.ID, re.BornMs), Service: re.Service, Servers: servers,
		RunMs: time.Until(rs.deadline).Milliseconds(),
	})
}

// recordBreak records that the connection of a run broke after the event lastEvent.
func (rs *requestState) recordBreak(ctx context.Context, gr *balance.Grant, pa *crashguard.Pass, lastEvent uint64) {
	if ctx.Err() != nil {
		return // cut by this process
	}
	re := gr.Record()
	rs.in.cfg.Meter.Count("attempts.brokenOff")
	rs.in.cfg.Log.WithFields(log.Fields{
		"request": rs.rq.ID, "fingerprint": rs.identify(), "server": re.ID, "born": re.BornMs, "attempt": rs.sentCount, "lastEvent": lastEvent,
	}).Warn("connection to the backend server broke during a request")
	if rs.in.cfg.Guard.RecordBreak(ctx, rs.newRun(gr, pa, lastEvent)) {
		rs.in.cfg.Balancer.Suspend(re.Incarnation(), endedSuspension)
	}
}

// newRun describes a run that ended without an answer, after the event lastEvent.
func (rs *requestState) newRun(gr *balance.Grant, pa *crashguard.Pass, lastEvent uint64) crashguard.FailedRun {
	re := gr.Record()

	return crashguard.FailedRun{
		RequestID: rs.rq.ID, Fingerprint: rs.identify(), ServerID: re.ID, BornMs: re.BornMs, Address: re.Address,
		Service: re.Service, IsSuspect: pa.IsSuspect, LastEvent: lastEvent,
	}
}

// recordEvent records that a run delivered an event. A suspect that gets further than the
// runs that ended at crashes is cleared before its stream ends.
func (rs *requestState) recordEvent(pa *crashguard.Pass, number uint64) {
	if pa.IsSuspect && number > pa.LastEvent {
		pa.IsSuspect = false
		rs.recordCompletion()
		pa.Release()
	}
}

// recordCompletion records that the request ran to its end on a backend server.
func (rs *requestState) recordCompletion() { rs.in.cfg.Guard.RecordCompletion(rs.identify()) }
