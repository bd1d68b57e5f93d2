package jobdriver

import (
	"context"
	"runtime"
	"time"
)

const (
	// reconcilePeriod is how often the driver checks for due work when no event wakes it.
	reconcilePeriod = 100 * time.Millisecond
	// commitPause is the pause after a pass before a commit or queued progress causes the next one: each
	// result and each part of a text is a commit, and only few of them change what can run.
	commitPause = 10 * time.Millisecond
	// wakePause is the same for a slot that became free and other calls of Wake.
	wakePause = 2 * time.Millisecond
)

// Wake triggers a pass of the driver within wakePause.
func (dr *Driver) Wake() { signal(dr.wake) }

// wakeSoon triggers a pass of the driver within commitPause.
func (dr *Driver) wakeSoon() { signal(dr.soon) }

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run executes items whenever this process is the leader, until ctx ends.
func (dr *Driver) Run(ctx context.Context) {
	defer dr.wg.Wait()
	defer dr.stop()

	dr.mu.Lock()
	dr.ctx = ctx
	dr.mu.Unlock()
	dr.loop(ctx, dr.cfg.Group.Applied, dr.reconcile)
}

// loop makes passes until ctx ends. applied returns a channel that is closed by the next commit, pass reports whether
// a further one is due at once.
func (dr *Driver) loop(ctx context.Context, applied func() <-chan struct{}, pass func() bool) {
	for ctx.Err() == nil {
		next := applied()
		began := time.Now()
		if pass() {
			runtime.Gosched() // the replica's loop goes first
			if took := time.Since(began); took > wakePause {
				wait(ctx, min(took, reconcilePeriod))
			}

			continue
		}
		dr.awaitPass(ctx, next, time.Since(began))
	}
}

// reconcile reads changes of the ledger and starts the tasks that can run now. It reports whether a further
// pass is due at once.
func (dr *Driver) reconcile() bool {
	st := dr.cfg.Group.Status()
	if !st.IsSettled {
		// The ledger may not yet contain all commits of the last leader.
		dr.stop()

		return false
	}
	dr.begin(st.Term)

	return dr.pass()
}

// awaitPass waits until the pass after one that has just ended is due: after wakePause if Wake is called,
// after commitPause if there are commits, and after reconcilePeriod otherwise. A pass that took longer is
// followed by a pause as long, up to reconcilePeriod, so that other work gets half of the processor.
func (dr *Driver) awaitPass(ctx context.Context, applied <-chan struct{}, took time.Duration) {
	ended := time.Now()
	isWoken := false
	select {
	case <-applied:
	case <-dr.soon:
	case <-dr.wake:
		isWoken = true
	case <-time.After(reconcilePeriod):
		return
	case <-ctx.Done():
		return
	}
	if !isWoken {
		select {
		case <-dr.wake:
		case <-time.After(commitPause - time.Since(ended)):
		case <-ctx.Done():
		}
	}
	wait(ctx, min(max(wakePause, took), reconcilePeriod)-time.Since(ended))
}

// wait returns after d, or once ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
