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
	Log     log.Interface
}

// Task acquires one lease, renews it and runs the work under it.
type Task struct {
	cfg    Config
	mu     sync.Mutex
	keeper *lease.Keeper

	lastFencing uint64 // fencing number under which the lease was last held
	wasHeld     bool   // at the last call of nextAction
	isWorking   bool   // a call of Work runs
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
			ta.work(ctx)
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

// work runs the work once if the lease is held.
func (ta *Task) work(ctx context.Context) {
	if _, ok := ta.Held(); !ok {
		return
	}
	ta.setWorking(true)
	defer ta.setWorking(false)
	ta.cfg.Work(ctx, ta.Held)
}

func (ta *Task) setWorking(is bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.isWorking = is
}

// Held returns the fencing number, and whether an outside call may start now.
func (ta *Task) Held() (uint64, bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()

	fencing, ok := ta.keeper.Held(ta.cfg.Now())

	return fencing, ok && !ta.isStopped()
}

func (ta *Task) isStopped() bool {
	select {
	case <-ta.cfg.Stopped:
		return true
	default:
		return false
	}
}

// nextAction passes the observed lease to the keeper and returns the action that is due.
func (ta *Task) nextAction(le lease.Lease) (lease.Action, bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()

	if ta.isStopped() && !ta.isWorking {
		ta.keeper.Stop() // while an outside call is under way, a successor must not act yet
	}
	now := ta.cfg.Now()
	ta.keeper.Observe(now, le)
	fencing, ok := ta.keeper.Held(now)
	switch {
	case ok:
		ta.lastFencing = fencing
	case ta.wasHeld:
		ta.cfg.Log.WithFields(log.Fields{"lease": ta.cfg.Name, "fencing": ta.lastFencing, "seenFencing": le.Fencing, "holder": le.Holder}).
			Warn("lease lost")
	}
	ta.wasHeld = ok

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
