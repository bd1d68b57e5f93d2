// Package leasedtask runs work that only the holder of a lease may do: it acquires and
// renews the lease and runs the work while it is held.
package leasedtask

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/group"
	"github.com/tamarackbay/tamarackbay/internal/lease"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
)

const (
	workPeriod   = 200 * time.Millisecond // between two calls of Work
	keeperPeriod = 50 * time.Millisecond  // between two observations of the lease
)

// Held returns the fencing number of a lease, and whether an outside call may start now.
type Held func() (fencing uint64, ok bool)

// Config builds a Task.
type Config struct {
	Name   string // of the lease
	Holder string
	Timing lease.Timing
	Group  *group.Group
	Now    func() time.Duration
	// Work is called repeatedly while the lease is held.
	Work func(ctx context.Context, held Held)
	// Wake starts the next call of Work at once; nil if it is only called periodically.
	Wake <-chan struct{}
	// Stopped is closed when the lease is to be released.
	Stopped <-chan struct{}
	// ReacquireDelay is how long a former holder waits, once another process has held the
	// lease, before it acquires it again. It counts from when it last held the lease.
	ReacquireDelay time.Duration
	Log            log.Interface
}

// Task acquires one lease, renews it and runs the work under it.
type Task struct {
	cfg    Config
	mu     sync.Mutex
	keeper *lease.Keeper

	lastFencing uint64 // fencing number under which the lease was last held
	lastHeldAt  time.Duration
	wasHeld     bool // at the last call of nextAction
}

// New returns a task that holds no lease yet.
func New(cfg Config) *Task {
	nonce := func() string { return fmt.Sprintf("%016x", rand.Uint64()) }

	return &Task{cfg: cfg, keeper: lease.NewKeeper(cfg.Name, cfg.Holder, cfg.Timing, nonce)}
}

// Run maintains the lease and runs the work until ctx ends.
func (ta *Task) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for ctx.Err() == nil {
			if _, ok := ta.Held(); ok {
				ta.cfg.Work(ctx, ta.Held)
			}
			select {
			case <-ta.cfg.Wake:
			case <-time.After(workPeriod):
			case <-ctx.Done():
			}
		}
	}()
	for ctx.Err() == nil {
		ta.maintainLease(ctx)
		select {
		case <-time.After(keeperPeriod):
		case <-ctx.Done():
		}
	}
	wg.Wait()
}

// Held returns the fencing number, and whether an outside call may start now.
func (ta *Task) Held() (uint64, bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()

	return ta.keeper.Held(ta.cfg.Now())
}

// nextAction passes the observed lease to the keeper and returns the action that is due.
func (ta *Task) nextAction(le lease.Lease) (lease.Action, bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()

	select {
	case <-ta.cfg.Stopped:
		ta.keeper.Stop()
	default:
	}
	now := ta.cfg.Now()
	ta.keeper.Observe(now, le)
	fencing, ok := ta.keeper.Held(now)
	switch {
	case ok:
		ta.lastFencing, ta.lastHeldAt = fencing, now
	case ta.wasHeld:
		ta.cfg.Log.WithFields(log.Fields{"lease": ta.cfg.Name, "fencing": ta.lastFencing, "seenFencing": le.Fencing, "holder": le.Holder}).
			Warn("lease lost")
	}
	ta.wasHeld = ok
	if !ok && ta.lastFencing > 0 && le.Fencing > ta.lastFencing && now < ta.lastHeldAt+ta.cfg.ReacquireDelay {
		return lease.Action{}, false
	}

	return ta.keeper.Next(now)
}

// maintainLease observes the lease and proposes the keeper's next action.
func (ta *Task) maintainLease(ctx context.Context) {
	if ta.cfg.Group.CheckFresh() != nil {
		return // the applied state may be stale: neither observe the lease nor propose
	}
	var le lease.Lease
	if !ta.cfg.Group.Read(func(ma *statemachine.Machine) { le = ma.Leases().Get(ta.cfg.Name) }) {
		return
	}
	ac, ok := ta.nextAction(le)
	if !ok {
		return
	}

	cctx, cancel := context.WithTimeout(ctx, ta.cfg.Timing.Duration/2)
	defer cancel()
	var got lease.Lease
	var err error
	switch {
	case ac.Acquire != nil:
		err = ta.cfg.Group.Propose(cctx, statemachine.KindAcquireLease, ac.Acquire, &got)
		if err == nil {
			ta.cfg.Log.WithFields(log.Fields{"lease": ta.cfg.Name, "fencing": got.Fencing}).Info("lease acquired")
		}
	case ac.Renew != nil:
		err = ta.cfg.Group.Propose(cctx, statemachine.KindRenewLease, ac.Renew, &got)
	case ac.Release != nil:
		if err := ta.cfg.Group.Propose(cctx, statemachine.KindReleaseLease, ac.Release, nil); err != nil {
			ta.cfg.Log.WithError(err).WithField("lease", ta.cfg.Name).Warn("lease not released, the next holder must wait until it expires")
		}

		return
	}
	ta.mu.Lock()
	ta.keeper.HandleResult(ta.cfg.Now(), got, err)
	ta.mu.Unlock()
}
