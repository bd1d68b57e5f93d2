package gateway

import (
	"context"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/pool"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

// placement is the state that the attempts of one request share: where it may run,
// whether its fingerprint is suspect, and which backend servers failed it.
type placement struct {
	ga          *Gateway
	po          *pool.Pool
	id          string
	workspace   string
	class       string
	cost        float64
	deadline    time.Duration
	minSequence uint64
	newestFirst bool
	prefix      uint64
	fingerprint string // "" for a sample, which is owed: no crash is counted against it
	suspect     bool
	exclude     []string
}

// place waits in the queue for a slot on a backend server. The returned function
// lets the next request with the same suspect fingerprint run.
func (pl *placement) place(ctx context.Context) (*pool.Grant, func(), error) {
	done, err := pl.ga.admitFingerprint(ctx, pl.fingerprint, &pl.suspect)
	if err != nil {
		return nil, nil, err
	}

	pl.ga.completed.recordStart(pl.fingerprint)
	wo := pl.ga.group.View().Set.Workspaces[pl.workspace]
	gr, err := pl.po.Acquire(ctx, pool.Request{
		Workspace: pl.workspace, Weight: max(wo.Weight, 0.001), Class: declaration.ClassRank(pl.class), Cost: pl.cost,
		Deadline: pl.deadline, MaxQueued: max(wo.MaxQueued, 1), MinSequence: pl.minSequence, NewestFirst: pl.newestFirst,
		Prefix: pl.prefix, IsSuspect: pl.suspect, Exclude: pl.exclude, Fingerprint: pl.fingerprint,
	})
	if err != nil {
		done()
		if er := cancelCause(ctx); er != nil {
			return nil, nil, er
		}

		return nil, nil, err
	}
	pl.ga.cfg.Meter.RecordDuration("queue.wait", gr.Waited())

	return gr, done, nil
}

// release frees the slot, records the outcome for the backend server, and excludes
// the server from later attempts after a failure.
func (pl *placement) release(gr *pool.Grant, err error) {
	if err == nil {
		gr.Release(pool.Succeeded)
		// A request that ran to its end clears its fingerprint, even if the fingerprint
		// became suspect only while it ran.
		pl.ga.completed.recordEnd(pl.fingerprint, time.Now())
		pl.ga.clearSuspect(pl.fingerprint)

		return
	}

	er := result.From(err)
	switch er.Code {
	case result.WithdrawnKey, result.ExpiredKey, result.StaleProcess, result.DeadlinePassed, result.BackendRefused, result.ServerDraining:
		gr.Release(pool.Unused)
	default:
		gr.Release(pool.Failed)
	}
	pl.suspect = pl.suspect || er.Code == result.BackendCrashed
	pl.exclude = append(pl.exclude, gr.Server().Name())
}

// receiveError returns the error of a failed read of an answer: the cause of ctx's
// end if ctx has ended, otherwise err.
func receiveError(ctx context.Context, err error) error {
	if er := cancelCause(ctx); er != nil {
		return er.WithExecution(result.ExecutionUnknown)
	}
	if ctx.Err() != nil {
		return result.New(result.DeadlinePassed, "the deadline passed while the request ran").WithExecution(result.ExecutionUnknown)
	}

	return err
}
