// Package duty runs work that only the holder of a lease may do: it acquires and
// renews the lease and runs the work while it is held.
package duty

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/group"
	"github.com/tamarackbay/tamarackbay/internal/lease"
	"github.com/tamarackbay/tamarackbay/internal/machine"
)

const (
	workPeriod   = 200 * time.Millisecond // between two calls of Work
	keeperPeriod = 50 * time.Millisecond  // between two observations of the lease
)

// Held returns the fencing number of a lease, and whether an outside call may start now.
type Held func() (fencing uint64, ok bool)

// Config builds a Duty.
type Config struct {
	Name   string // of the lease
	Holder string
	Terms  lease.Terms
	Group  *group.Group
	Now    func() time.Duration
	// Work is called repeatedly while the lease is held.
	Work func(ctx context.Context, held Held)
	// Wake starts the next call of Work at once; nil if it is only called periodically.
	Wake <-chan struct{}
	// Stopped is closed when the lease is to be released.
	Stopped <-chan struct{}
	// TurnPause is how long a former holder waits, once another process has held the
	// lease, before it acquires it again. It counts from when it last held the lease.
	TurnPause time.Duration
	Log       log.Interface
}

// Duty acquires one lease, renews it and runs the work under it.
type Duty struct {
	cfg    Config
	mu     sync.Mutex
	keeper *lease.Keeper

	lastFencing uint64 // fencing number under which the lease was last held
	lastHeldAt  time.Duration
	wasHeld     bool // at the last call of nextAction
}

// New returns a duty that holds no lease yet.
func New(cfg Config) *Duty {
	nonce := func() string { return fmt.Sprintf("%016x", rand.Uint64()) }

	return &Duty{cfg: cfg, keeper: lease.NewKeeper(cfg.Name, cfg.Holder, cfg.Terms, nonce)}
}

// Run maintains the lease and runs the work until ctx ends.
func (du *Duty) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for ctx.Err() == nil {
			if _, ok := du.Held(); ok {
				du.cfg.Work(ctx, du.Held)
			}
			select {
			case <-du.cfg.Wake:
			case <-time.After(workPeriod):
			case <-ctx.Done():
			}
		}
	}()
	for ctx.Err() == nil {
		du.maintainLease(ctx)
		select {
		case <-time.After(keeperPeriod):
		case <-ctx.Done():
		}
	}
	wg.Wait()
}

// Held returns the fencing number, and whether an outside call may start now.
func (du *Duty) Held() (uint64, bool) {
	du.mu.Lock()
	defer du.mu.Unlock()

	return du.keeper.Held(du.cfg.Now())
}

// nextAction passes the observed lease to the keeper and returns the action that is due.
func (du *Duty) nextAction(le lease.Lease) (lease.Action, bool) {
	du.mu.Lock()
	defer du.mu.Unlock()

	select {
	case <-du.cfg.Stopped:
		du.keeper.Stop()
	default:
	}
	now := du.cfg.Now()
	du.keeper.Observe(now, le)
	fencing, ok := du.keeper.Held(now)
	switch {
	case ok:
		du.lastFencing, du.lastHeldAt = fencing, now
	case du.wasHeld:
		du.cfg.Log.WithFields(log.Fields{"lease": du.cfg.Name, "fencing": du.lastFencing, "seenFencing": le.Fencing, "holder": le.Holder}).
			Warn("lease lost")
	}
	du.wasHeld = ok
	if !ok && du.lastFencing > 0 && le.Fencing > du.lastFencing && now < du.lastHeldAt+du.cfg.TurnPause {
		return lease.Action{}, false
	}

	return du.keeper.Next(now)
}

// maintainLease observes the lease and proposes the keeper's next action.
func (du *Duty) maintainLease(ctx context.Context) {
	if du.cfg.Group.Fresh() != nil {
		return // the applied state may be stale: neither observe the lease nor propose
	}
	var le lease.Lease
	if !du.cfg.Group.Read(func(ma *machine.Machine) { le = ma.Leases().Get(du.cfg.Name) }) {
		return
	}
	ac, ok := du.nextAction(le)
	if !ok {
		return
	}

	cctx, cancel := context.WithTimeout(ctx, du.cfg.Terms.Duration/2)
	defer cancel()
	var got lease.Lease
	var err error
	switch {
	case ac.Acquire != nil:
		err = du.cfg.Group.Propose(cctx, machine.KindAcquireLease, ac.Acquire, &got)
		if err == nil {
			du.cfg.Log.WithFields(log.Fields{"lease": du.cfg.Name, "fencing": got.Fencing}).Info("lease acquired")
		}
	case ac.Renew != nil:
		err = du.cfg.Group.Propose(cctx, machine.KindRenewLease, ac.Renew, &got)
	case ac.Release != nil:
		if err := du.cfg.Group.Propose(cctx, machine.KindReleaseLease, ac.Release, nil); err != nil {
			du.cfg.Log.WithError(err).WithField("lease", du.cfg.Name).Warn("lease not released, it expires")
		}

		return
	}
	du.mu.Lock()
	du.keeper.Answered(du.cfg.Now(), got, err)
	du.mu.Unlock()
}
