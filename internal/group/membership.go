package group

import (
	"context"
	"maps"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

const (
	membershipPeriod = 250 * time.Millisecond
	registerPeriod   = time.Second
	supersededAfter  = time.Second // silence after which another replica of the same name supersedes a member
	rejoinPeriod     = 300 * time.Millisecond
	rejoinAfter      = time.Second // time without a leader after which a replica asks to join again

	// waitLogPeriod is the pause between two log lines of a replica that waits for a majority of its
	// group. An election takes well below that.
	waitLogPeriod = 5 * time.Second
)

// waitLog decides when a replica that waits logs that.
type waitLog struct {
	since, last time.Duration
}

// isDue reports whether a line is due at now, and counts it as written.
func (wl *waitLog) isDue(now time.Duration) bool {
	if now < max(wl.since, wl.last)+waitLogPeriod {
		return false
	}
	wl.last = now

	return true
}

// rejoinLoop asks to join again after a time without a leader: the group may have
// replaced this replica while it was unreachable.
func (gr *Group) rejoinLoop(ctx context.Context) {
	leaderlessSince := gr.now()
	wait := waitLog{since: leaderlessSince}
	for ctx.Err() == nil {
		select {
		case <-time.After(rejoinPeriod):
		case <-ctx.Done():
			return
		}
		switch st := gr.Status(); {
		case st.Leader != "":
			wait = waitLog{since: gr.now()}
		case wait.isDue(gr.now()):
			gr.cfg.Log.WithFields(log.Fields{"ms": (gr.now() - wait.since).Milliseconds(), "voters": st.Membership.Voters, "commit": st.Commit}).
				Warn("the group has no leader: it waits for a majority of its voters that hold its data")
		}
		if gr.Status().Leader != "" || gr.cfg.IsRetiring(gr.cfg.Name) {
			leaderlessSince = gr.now()

			continue
		}
		if gr.now() < leaderlessSince+rejoinAfter {
			continue
		}
		if gr.askToRejoin(ctx) {
			leaderlessSince = gr.now()
			wait = waitLog{since: leaderlessSince}
		}
	}
}

// askToRejoin asks the group to take this replica in, and reports whether the group has
// answered. If the group is complete, it returns only once that has changed.
func (gr *Group) askToRejoin(ctx context.Context) bool {
	for _, an := range gr.discoverPeers(ctx) {
		if !an.reply.GetFormed() {
			continue
		}
		err := gr.requestJoin(ctx, an.address)
		if result.Is(err, result.GroupComplete) {
			gr.awaitVacancy(ctx, an.address)
		}
		if err == nil || result.Is(err, result.GroupComplete) {
			return true
		}
	}

	return false
}

func (gr *Group) handleJoin(ctx context.Context, st *peer.Stream) error {
	var req wire.JoinRequest
	if err := st.Request(&req); err != nil {
		return err
	}

	n := gr.node.Load()
	if n == nil {
		return result.New(result.NotLeader, "group: the replica has not started")
	}
	if n.getStatus().Role != consensus.RoleLeader.String() {
		if st.Session().Remote().GetReplica() != req.GetReplica() {
			return result.New(result.NotLeader, "group: this replica is not the leader")
		}

		return gr.CallLeader(ctx, methodJoin, &req, &wire.Empty{})
	}

	id := consensus.ReplicaID(req.GetReplica())
	if gr.cfg.IsRetiring(req.GetName()) {
		return result.New(result.MembershipRefused, "group: VM %s is retiring, its replica may not join", req.GetName())
	}
	reg := statemachine.Registration{Replica: id, Name: req.GetName(), Address: req.GetAddress(), FailureDomain: req.GetFailureDomain()}
	if err := gr.Propose(ctx, statemachine.KindRegister, reg, nil); err != nil {
		return err
	}

	names := gr.replicaNames()

	return n.runOnLoop(ctx, func(now time.Duration, re *consensus.Replica) error {
		m := re.Membership()
		if m.IsVoter(id) || m.IsLearner(id) {
			return nil
		}
		if ce := gr.census(now, re, names); ce.vacancies() <= 0 {
			return result.New(result.GroupComplete, "group: %d of %d voters and %d spare replicas are alive, replica %s is not needed", ce.voters, ce.targetVoters, len(ce.spares), id)
		}
		if _, err := re.ProposeMembership(now, m.WithLearner(id)); err != nil {
			return result.New(result.MembershipRefused, "group: adding replica %s as a learner: %v", id, err)
		}

		return nil
	})
}

// registerLoop keeps this replica's address registered in the group.
func (gr *Group) registerLoop(ctx context.Context) {
	for ctx.Err() == nil {
		want := statemachine.Registration{
			Replica: gr.identity.Replica, Name: gr.cfg.Name, Address: gr.cfg.Address, FailureDomain: gr.cfg.FailureDomain,
		}
		known := false
		gr.Read(func(ma *statemachine.Machine) { known = ma.Replicas()[want.Replica] == want })
		if !known {
			_ = gr.Propose(ctx, statemachine.KindRegister, want, nil) // retried after registerPeriod
		}
		gr.recordPeers()
		select {
		case <-time.After(registerPeriod):
		case <-ctx.Done():
		}
	}
}

// recordPeers stores the last known addresses of the other members in the data folder.
func (gr *Group) recordPeers() {
	peers := map[consensus.ReplicaID]string{}
	for _, id := range gr.Status().Membership.All() {
		if a := gr.addressOf(id); a != "" && id != gr.identity.Replica {
			peers[id] = a
		}
	}

	gr.storePeers(peers)
}

// storePeers saves addresses with the identity. gr.identity itself does not change:
// other goroutines read it without a lock.
func (gr *Group) storePeers(peers map[consensus.ReplicaID]string) {
	gr.peersMu.Lock()
	defer gr.peersMu.Unlock()

	gr.mu.Lock()
	id, isStored := gr.identity, maps.Equal(peers, gr.storedPeers)
	gr.mu.Unlock()
	if len(peers) == 0 || isStored || gr.disk.isRefusing() {
		return
	}
	id.Peers = peers
	if err := id.save(gr.cfg.Files, gr.cfg.DataFolder); err != nil {
		gr.cfg.Log.WithError(err).Warn("addresses of the other replicas could not be stored")

		return
	}
	gr.mu.Lock()
	gr.storedPeers = peers
	gr.mu.Unlock()
}

// membershipLoop repairs the membership while this replica is the leader.
func (gr *Group) membershipLoop(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-time.After(membershipPeriod):
		case <-ctx.Done():
			return
		}
		n := gr.node.Load()
		if n.getStatus().Role != consensus.RoleLeader.String() {
			continue
		}

		names := gr.replicaNames()
		_ = n.runOnLoop(ctx, func(now time.Duration, re *consensus.Replica) error {
			ce := gr.census(now, re, names)
			next, why := ce.next()
			if why == "" {
				return nil
			}
			if _, err := re.ProposeMembership(now, next); err != nil {
				return err
			}
			gr.cfg.Log.WithFields(log.Fields{"why": why, "voters": next.Voters, "learners": next.Learners}).Info("membership change proposed")

			return nil
		})
	}
}

// Actions of ChangeMember.
const (
	MemberPromote = "promote"
	MemberRemove  = "remove"
)

// ChangeMember promotes a learner or removes a replica at an operator's request.
func (gr *Group) ChangeMember(ctx context.Context, action string, id consensus.ReplicaID) error {
	n := gr.node.Load()
	if n == nil || n.getStatus().Role != consensus.RoleLeader.String() {
		req := &wire.QueryRequest{Kind: action, Payload: []byte(id)}
		if !gr.HasDisk() {
			return gr.callUpstream(ctx, methodMember, req, &wire.Empty{})
		}

		return gr.CallLeader(ctx, methodMember, req, &wire.Empty{})
	}

	return n.runOnLoop(ctx, func(now time.Duration, re *consensus.Replica) error {
		m := re.Membership()
		if !m.IsVoter(id) && !m.IsLearner(id) {
			return result.New(result.UnknownObject, "group: replica %s is not a member", id)
		}
		next := m.Without(id)
		if action == MemberPromote {
			next = m.WithVoter(id)
		}
		if _, err := re.ProposeMembership(now, next); err != nil {
			return result.New(result.MembershipRefused, "group: %s %s: %v", action, id, err)
		}

		return nil
	})
}

func (gr *Group) handleMember(ctx context.Context, st *peer.Stream) error {
	var req wire.QueryRequest
	if err := st.Request(&req); err != nil {
		return err
	}

	return gr.ChangeMember(ctx, req.GetKind(), consensus.ReplicaID(req.GetPayload()))
}
