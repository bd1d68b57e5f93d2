package controller

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/roster"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// rosterPeriod is how often the leader reconciles the stores.
const rosterPeriod = 200 * time.Millisecond

// handleAnnounce records the announcement of a store.
func (co *Controller) handleAnnounce(ctx context.Context, st *peer.Stream) error {
	var an Announcement
	if err := st.RequestRecord(&an); err != nil {
		return err
	}

	co.mu.Lock()
	old := co.stores[an.Member.Name]
	co.stores[an.Member.Name] = &store{Announcement: an, lastHeard: co.cfg.Now()}
	changed := old == nil || old.Leads != an.Leads || old.Term != an.Term || old.Member != an.Member
	co.mu.Unlock()

	known := false
	co.group.Read(func(ma *statemachine.Machine) {
		known = slices.Contains(ma.Roster().Members(), an.Member)
	})
	if !known {
		// Followers propose this too: the store may reach only this controller.
		if err := co.group.Propose(ctx, statemachine.KindAnnounceMember, roster.Announce{Member: an.Member}, nil); err != nil {
			return err
		}
	}
	if changed {
		co.wakePublish()
		co.cfg.Log.WithFields(log.Fields{
			"store": an.Member.Name, "replica": an.Member.Replica, "address": an.Member.Address, "leads": an.Leads, "term": an.Term,
		}).Info("store announced a change")
	}

	return st.Reply(&wire.Empty{})
}

// rosterLoop forms the store group once and finishes retirements while this replica leads.
func (co *Controller) rosterLoop(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-time.After(rosterPeriod):
		case <-ctx.Done():
			return
		}
		if !co.group.IsLeader() {
			continue
		}
		if err := co.reconcileStores(ctx); err != nil {
			co.cfg.Log.WithError(err).Warn("store roster not reconciled")
		}
	}
}

func (co *Controller) reconcileStores(ctx context.Context) error {
	var members []roster.Member
	var formed []consensus.ReplicaID
	var retiring []roster.Member
	co.group.Read(func(ma *statemachine.Machine) {
		members, formed = ma.Roster().Members(), ma.Roster().Formation()
		for _, me := range members {
			if ma.Roster().Retirement(me.Name) == roster.Retiring {
				retiring = append(retiring, me)
			}
		}
	})
	if len(formed) == 0 {
		return co.formStores(ctx, members)
	}
	for _, me := range retiring {
		if !co.canFinishRetirement(me) {
			continue
		}
		if err := co.group.Propose(ctx, statemachine.KindFinishRetirement, roster.Finish{Name: me.Name}, nil); err != nil {
			return err
		}
		co.cfg.Log.WithField("store", me.Name).Info("store retirement finished")
	}

	return nil
}

// formStores proposes the first voters of the store group, spread over the failure
// domains.
func (co *Controller) formStores(ctx context.Context, members []roster.Member) error {
	if len(members) == 0 {
		return nil
	}
	now, want := co.cfg.Now(), co.cfg.Settings.Voters()
	if co.formationWaitSince == 0 {
		co.formationWaitSince = now
	}
	if len(members) < want && now-co.formationWaitSince < formationTimeout {
		return nil
	}

	ids := selectVoters(members, want)
	if err := co.group.Propose(ctx, statemachine.KindFormStores, roster.Form{Replicas: ids}, nil); err != nil {
		return err
	}
	co.cfg.Log.WithFields(log.Fields{"replicas": ids, "known": len(members)}).Info("store group formed")

	return nil
}

// selectVoters returns up to n members, spread evenly over the failure domains.
func selectVoters(members []roster.Member, n int) []consensus.ReplicaID {
	left := slices.SortedFunc(slices.Values(members), byName)
	perDomain := map[string]int{}
	var out []consensus.ReplicaID
	for len(out) < n && len(left) > 0 {
		best := 0
		for i := range left {
			if perDomain[left[i].FailureDomain] < perDomain[left[best].FailureDomain] {
				best = i
			}
		}
		perDomain[left[best].FailureDomain]++
		out = append(out, left[best].Replica)
		left = slices.Delete(left, best, best+1)
	}

	return out
}

// canFinishRetirement reports whether the store group has enough voters and no longer
// contains the member.
func (co *Controller) canFinishRetirement(me roster.Member) bool {
	co.mu.Lock()
	defer co.mu.Unlock()

	now := co.cfg.Now()
	var leader *store
	for _, so := range co.stores {
		if so.Leads && now-so.lastHeard < storeTimeout && (leader == nil || so.Term > leader.Term) {
			leader = so
		}
	}

	return leader != nil && leader.Voters >= co.cfg.Settings.Voters() && !slices.Contains(leader.Members, me.Replica)
}

// Retire requests that the store group replaces a store, so that its VM can be removed.
func (co *Controller) Retire(ctx context.Context, name string) error {
	err := co.group.Propose(ctx, statemachine.KindRetireMember, roster.Retire{Name: name, MinRemaining: co.cfg.Settings.Voters()}, nil)
	fl := log.Fields{"store": name}
	if err != nil {
		fl["error"] = err.Error()
	}
	co.cfg.Log.WithFields(fl).Info("store retirement requested")

	return err
}

// Retirement returns the progress of a store's retirement.
func (co *Controller) Retirement(ctx context.Context, name string) (roster.Retirement, error) {
	if err := co.group.Barrier(ctx); err != nil {
		return 0, err
	}
	var re roster.Retirement
	co.group.Read(func(ma *statemachine.Machine) { re = ma.Roster().Retirement(name) })
	if re == 0 {
		return 0, result.New(result.UnknownObject, "controller: store %q is not being retired", name)
	}

	return re, nil
}
