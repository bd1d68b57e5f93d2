package jobdriver

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/feed"
	"github.com/tamarackbay/tamarackbay/internal/job"
)

const (
	// suspendedAfter is the time between two checks of the standing from which on the process counts as
	// suspended meanwhile: several times reconcilePeriod.
	suspendedAfter = 500 * time.Millisecond
	// contactWait is how long nothing is placed after it while no controller is reached: the process connects to
	// them again in this time.
	contactWait = time.Second
)

// placement says whether work may be placed by the view of this process.
type placement struct {
	mu           sync.Mutex
	checked      time.Time     // last check; zero before the first one
	contactUntil time.Time     // until then, nothing is placed without contact to a controller
	heldSince    time.Time     // zero unless work is held
	resumed      chan struct{} // closed when work is no longer held; nil unless it is
}

// mayPlace reports whether items and score requests may be placed: the view is not behind a controller that
// can be reached, nor one from before the process was suspended. Those that may not wait, and those that run go on.
func (dr *Driver) mayPlace() bool { return dr.checkPlacement() == nil }

// isConfirmed reports whether the view holds each change that must be known by now.
func (dr *Driver) isConfirmed() bool {
	return dr.cfg.Standing == nil || dr.cfg.Standing() == feed.Confirmed
}

// awaitPlacement waits until mayPlace, or until ctx ends.
func (dr *Driver) awaitPlacement(ctx context.Context) error {
	for {
		resumed := dr.checkPlacement()
		if resumed == nil {
			return nil
		}
		select {
		case <-resumed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// checkPlacement returns nil if work may be placed, and otherwise a channel that is closed when a later check
// finds that it may be.
func (dr *Driver) checkPlacement() <-chan struct{} {
	if dr.cfg.Standing == nil {
		return nil
	}
	pl := &dr.placement
	pl.mu.Lock()
	defer pl.mu.Unlock()

	now, standing := time.Now(), dr.cfg.Standing()
	if now.Sub(pl.checked) > suspendedAfter {
		pl.contactUntil = now.Add(contactWait)
	}
	pl.checked = now
	isHeld := false
	switch standing {
	case feed.Lagging:
		isHeld = true
	case feed.Isolated:
		isHeld = now.Before(pl.contactUntil)
	default:
		isHeld = pl.resumed != nil && !dr.cfg.IsSynced()
	}
	if isHeld != (pl.resumed != nil) {
		dr.switchPlacement(isHeld, standing, now)
	}

	return pl.resumed
}

// switchPlacement begins or ends to hold work. The caller holds placement.mu.
func (dr *Driver) switchPlacement(isHeld bool, standing feed.Standing, now time.Time) {
	pl := &dr.placement
	fl := log.Fields{"isolated": standing == feed.Isolated}
	if isHeld {
		pl.heldSince, pl.resumed = now, make(chan struct{})
		dr.cfg.Meter.Count("items.held")
		dr.cfg.Log.WithFields(fl).Warn("items and score requests wait, as acknowledged changes may not be known here")

		return
	}
	close(pl.resumed)
	fl["ms"] = now.Sub(pl.heldSince).Milliseconds()
	pl.heldSince, pl.resumed = time.Time{}, nil
	dr.cfg.Log.WithFields(fl).Info("items and score requests are placed again")
}

// resetPlacement ends to hold work when this process executes no items any more.
func (dr *Driver) resetPlacement() {
	pl := &dr.placement
	pl.mu.Lock()
	defer pl.mu.Unlock()

	if pl.resumed != nil {
		close(pl.resumed)
	}
	pl.checked, pl.heldSince, pl.resumed = time.Time{}, time.Time{}, nil
}

// hold lets waiting tasks wait on. Their wait for a slot begins when they may be placed again. It reports whether
// more of them than maxStartsPerPass are overdue. The caller holds dr.mu.
func (dr *Driver) hold(waits []waitingTask, now time.Time) bool {
	ended := 0
	for _, wt := range waits {
		wt.waitingSince = now
		if ended < maxStartsPerPass && dr.endOverdue(wt.task, now) {
			ended++
		}
	}

	return ended == maxStartsPerPass
}

// endOverdue ends a waiting task if its queue deadline has passed, and reports whether it did. The caller
// holds dr.mu.
func (dr *Driver) endOverdue(t *task, now time.Time) bool {
	if t.job.queueDeadline.IsZero() || !now.After(t.job.queueDeadline) {
		return false
	}
	dr.finish(t, job.Result{Item: t.index, State: job.Aborted}, "its queue deadline passed")

	return true
}
