package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/agent"
	"github.com/tamarackbay/tamarackbay/internal/lease"
	"github.com/tamarackbay/tamarackbay/internal/machine"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

const (
	dutyPeriod   = 200 * time.Millisecond
	keeperPeriod = 50 * time.Millisecond
)

// hold returns the fencing number of a lease, and false unless an outside call may start now.
type hold func() (fencing uint64, ok bool)

// duty is work that only the holder of a lease does.
type duty struct {
	ga     *Gateway
	name   string
	work   func(ctx context.Context, held hold)
	mu     sync.Mutex
	keeper *lease.Keeper
}

// duties lists the work under leases.
func (ga *Gateway) duties() []*duty {
	we, fl := newWeightsDuty(ga), newFleetDuty(ga)

	return []*duty{
		{ga: ga, name: agent.LeaseWeights, work: we.work},
		{ga: ga, name: agent.LeaseFleet, work: fl.work},
		{ga: ga, name: machine.UsageLease, work: ga.reportUsage},
	}
}

// run keeps the lease and does the work while it is held.
func (du *duty) run(ctx context.Context) {
	nonce := func() string { return fmt.Sprintf("%016x", rand.Uint64()) }
	du.keeper = lease.NewKeeper(du.name, du.ga.holder(), du.ga.terms(), nonce)

	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for ctx.Err() == nil {
			if _, ok := du.held(); ok {
				du.work(ctx, du.held)
			}
			select {
			case <-time.After(dutyPeriod):
			case <-ctx.Done():
			}
		}
	}()
	for ctx.Err() == nil {
		du.keep(ctx)
		select {
		case <-time.After(keeperPeriod):
		case <-ctx.Done():
		}
	}
	wg.Wait()
}

func (du *duty) held() (uint64, bool) {
	du.mu.Lock()
	defer du.mu.Unlock()

	return du.keeper.Held(du.ga.now())
}

// keep lets the keeper see the lease and carries out its action.
func (du *duty) keep(ctx context.Context) {
	if du.ga.group.Fresh() != nil {
		return // what is applied here may be old: neither observe nor ask
	}
	select {
	case <-du.ga.stopped:
		du.mu.Lock()
		du.keeper.Stop()
		du.mu.Unlock()
	default:
	}

	var le lease.Lease
	if !du.ga.group.Read(func(ma *machine.Machine) { le = ma.Leases().Get(du.name) }) {
		return
	}
	du.mu.Lock()
	now := du.ga.now()
	du.keeper.Observe(now, le)
	ac, ok := du.keeper.Next(now)
	du.mu.Unlock()
	if !ok {
		return
	}

	cctx, cancel := context.WithTimeout(ctx, du.ga.terms().Duration/2)
	defer cancel()
	var got lease.Lease
	var err error
	switch {
	case ac.Acquire != nil:
		err = du.ga.group.Propose(cctx, machine.KindAcquireLease, ac.Acquire, &got)
		if err == nil {
			du.ga.cfg.Log.WithFields(log.Fields{"lease": du.name, "fencing": got.Fencing}).Info("lease acquired")
		}
	case ac.Renew != nil:
		err = du.ga.group.Propose(cctx, machine.KindRenewLease, ac.Renew, &got)
	case ac.Release != nil:
		_ = du.ga.group.Propose(cctx, machine.KindReleaseLease, ac.Release, nil) // it lapses otherwise

		return
	}
	du.mu.Lock()
	du.keeper.Answered(du.ga.now(), got, err)
	du.mu.Unlock()
}

// lost is the error of work that stops since its lease is not held any more.
func lost(name string) error { return result.New(result.LeaseLost, "lease %s is not held", name) }
