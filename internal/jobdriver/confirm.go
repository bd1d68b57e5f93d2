package jobdriver

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

const (
	// confirmTimeout bounds the call that asks a backend server which incarnation it is.
	confirmTimeout = 300 * time.Millisecond
	// suspension is how long a backend server gets no texts if that is not known, or its record
	// names an earlier one: longer than a heartbeat period of the deployments.
	suspension = 1500 * time.Millisecond
	// startTolerance is by how much the clocks of a backend server and of this process may differ.
	startTolerance = 100 * time.Millisecond
)

var errReplaced = errors.New("jobdriver: run at an incarnation that its backend server's record does not name")

// confirm asks a backend server whose connection broke during a run whether it is still the
// incarnation that its record names. Until that is known it gets no texts: a later incarnation may
// have other software, which its first heartbeat tells. A text that the run may have had from
// a later incarnation is discarded.
func (dr *Driver) confirm(ctx context.Context, rec *registry.Record, te *generatedText, hasGrown bool) {
	if dr.cfg.Client.Report == nil || ctx.Err() != nil || !dr.cfg.Balancer.Suspend(rec.Incarnation(), suspension) {
		return
	}
	born, err, _ := dr.confirmations.Do(rec.ID+" "+rec.Address, func() (any, error) {
		cctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout)
		defer cancel()
		rep, err := dr.cfg.Client.Report(cctx, rec.Address)

		return rep.BornMs, err
	})
	bornMs, _ := born.(int64)
	switch {
	case err != nil:
		dr.cfg.Log.WithError(err).WithFields(log.Fields{"server": rec.ID, "born": rec.BornMs}).Info("backend server did not tell which incarnation it is, it gets no texts for a time")
	case bornMs == 0 || bornMs == rec.BornMs:
		dr.cfg.Balancer.Suspend(rec.Incarnation(), 0)
	default:
		dr.cfg.Meter.Count("item.replacedServer")
		dr.cfg.Log.WithFields(log.Fields{"server": rec.ID, "born": rec.BornMs, "laterBorn": bornMs}).Info("backend server is a later incarnation than its record names")
		if hasGrown && isRunOf(te.runBegan, bornMs) {
			*te = generatedText{}
		}
		dr.cancelReplaced(rec, bornMs)
	}
}

// checkIncarnation returns an error unless a backend server says that it is the incarnation that its record
// names.
func (dr *Driver) checkIncarnation(ctx context.Context, rec *registry.Record) error {
	if err := dr.cfg.Client.CheckIncarnation(ctx, rec.Address, rec.BornMs); err != nil {
		return result.New(result.NoSameSoftware, "the backend server may be a later incarnation than its record names: %v", err).WithExecution(result.Ran)
	}

	return nil
}

// isOutdated reports whether a run that was started by a record may be one of a later incarnation,
// of which a heartbeat has told since.
func (dr *Driver) isOutdated(rec *registry.Record, began time.Time) bool {
	bornMs := dr.cfg.Balancer.BornMs(rec.Service, rec.ID)

	return bornMs > rec.BornMs && isRunOf(began, bornMs)
}

// isRunOf reports whether a run that began at a time may be one of an incarnation.
func isRunOf(began time.Time, bornMs int64) bool {
	return began.UnixMilli() >= bornMs-startTolerance.Milliseconds()
}

// cancelReplaced cancels the runs that were started at a backend server by an earlier record, and
// run at its later incarnation.
func (dr *Driver) cancelReplaced(rec *registry.Record, bornMs int64) {
	dr.mu.Lock()
	defer dr.mu.Unlock()

	for _, js := range dr.jobs {
		for _, t := range js.tasks {
			if t.phase == running && t.server == rec.ID && t.bornMs == rec.BornMs && t.cancelReplaced != nil && isRunOf(t.startedAt, bornMs) {
				t.cancelReplaced()
			}
		}
	}
}
