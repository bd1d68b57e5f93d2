package group

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

const (
	formPeriod       = 200 * time.Millisecond
	formCallTimeout  = time.Second
	membershipPeriod = 250 * time.Millisecond
	registerPeriod   = time.Second
	supersededAfter  = time.Second            // silence after which another replica of the same name supersedes a member
	discoveryTimeout = 400 * time.Millisecond // for the identity requests to all known addresses
	rejoinPeriod     = 300 * time.Millisecond
	rejoinAfter      = time.Second // time without a leader after which a replica asks to join again
)

func (gr *Group) handleIdentity(_ context.Context, st *peer.Stream) error {
	gr.mu.Lock()
	id := gr.identity
	gr.mu.Unlock()

	return st.Reply(&wire.IdentityReply{
		Name: id.Name, Replica: string(id.Replica), Cluster: id.Cluster, Formed: id.isFormed(),
		Bootstrap: toStrings(id.Bootstrap), HasDisk: gr.HasDisk(),
	})
}

// form joins the existing cluster or forms a new one. Without Config.Formation only the
// first founder chooses the members, once every founder answers and none belongs to a
// cluster; the others adopt its choice.
func (gr *Group) form(ctx context.Context) error {
	for ctx.Err() == nil {
		if gr.identity.isFormed() {
			return gr.checkCluster(ctx)
		}
		done, err := gr.formOnce(ctx)
		if done || err != nil {
			return err
		}
		select {
		case <-time.After(formPeriod):
		case <-ctx.Done():
		}
		gr.awaitVacancy(ctx)
	}

	return nil
}

func (gr *Group) fetchIdentity(ctx context.Context, address string) (*wire.IdentityReply, error) {
	actx, cancel := context.WithTimeout(ctx, formCallTimeout)
	defer cancel()

	var rep wire.IdentityReply
	err := gr.callAddress(actx, address, methodIdentity, &wire.Empty{}, &rep)

	return &rep, err
}

// discoveredPeer is the identity that the process at an address reported.
type discoveredPeer struct {
	address string
	reply   *wire.IdentityReply
}

// discoverPeers requests the identity from every known address but its own, all at
// once, and records the addresses of the replicas that answer.
func (gr *Group) discoverPeers(ctx context.Context) []discoveredPeer {
	ctx, cancel := context.WithTimeout(ctx, discoveryTimeout)
	defer cancel()

	addresses := gr.cfg.CandidateAddresses()
	gr.mu.Lock()
	addresses = slices.AppendSeq(slices.Clone(addresses), maps.Values(gr.storedPeers))
	gr.mu.Unlock()
	slices.Sort(addresses)
	addresses = slices.DeleteFunc(slices.Compact(addresses), func(a string) bool { return a == gr.cfg.Address })
	replies := make([]*wire.IdentityReply, len(addresses))
	var wg sync.WaitGroup
	for i, a := range addresses {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if rep, err := gr.fetchIdentity(ctx, a); err == nil {
				replies[i] = rep
			}
		}()
	}
	wg.Wait()

	var out []discoveredPeer
	gr.mu.Lock()
	defer gr.mu.Unlock()
	for i, rep := range replies {
		if rep == nil {
			continue
		}
		out = append(out, discoveredPeer{addresses[i], rep})
		if rep.GetReplica() != "" {
			gr.addresses[consensus.ReplicaID(rep.GetReplica())] = addresses[i]
		}
	}

	return out
}

// checkCluster returns an error if a replica that answers belongs to another cluster.
func (gr *Group) checkCluster(ctx context.Context) error {
	for _, an := range gr.discoverPeers(ctx) {
		if an.reply.GetFormed() && an.reply.GetCluster() != gr.identity.Cluster {
			return result.New(result.DataFolderForeign, "group: %s: belongs to cluster %s, but the peer %s belongs to cluster %s",
				gr.cfg.DataFolder, gr.identity.Cluster, an.reply.GetName(), an.reply.GetCluster())
		}
	}

	return nil
}

// formOnce tries to join or form the cluster, and reports whether it has.
func (gr *Group) formOnce(ctx context.Context) (bool, error) {
	answers := gr.discoverPeers(ctx)
	if gr.cfg.Formation != nil {
		// The formation is decided once, outside this group.
		if ids := gr.cfg.Formation(); slices.Contains(ids, gr.identity.Replica) {
			ids = slices.Sorted(slices.Values(ids))

			return true, gr.storeCluster(ctx, clusterID(ids), ids)
		}
	}

	empty := []consensus.ReplicaID{gr.identity.Replica}
	for _, an := range answers {
		if an.reply.GetFormed() {
			if done, err := gr.joinCluster(ctx, an.address, an.reply); done || err != nil {
				return done, err
			}

			continue
		}
		if an.reply.GetHasDisk() {
			empty = append(empty, consensus.ReplicaID(an.reply.GetReplica()))
		}
	}

	isFirst := len(gr.cfg.Founders) > 0 && gr.cfg.Founders[0].Address == gr.cfg.Address
	if gr.cfg.Formation != nil || !isFirst || len(empty) < len(gr.cfg.Founders) {
		return false, nil
	}
	slices.Sort(empty)

	return true, gr.storeCluster(ctx, clusterID(empty), empty)
}

// storeCluster saves the ID of the cluster and the replicas that formed it in the identity.
func (gr *Group) storeCluster(ctx context.Context, cluster string, bootstrap []consensus.ReplicaID) error {
	id := gr.identity
	id.Cluster, id.Bootstrap = cluster, bootstrap
	err := gr.untilAccepted(ctx, func() error { return id.save(gr.cfg.Files, gr.cfg.DataFolder) })
	if err != nil || ctx.Err() != nil {
		return err
	}
	gr.disk.recordSuccess(time.Now())
	gr.mu.Lock()
	defer gr.mu.Unlock()

	gr.identity = id
	gr.cfg.Log.WithFields(log.Fields{"cluster": cluster, "bootstrap": bootstrap}).Info("cluster identity stored")

	return nil
}

// joinCluster adopts the cluster of the process at address. A replica that is not among
// its founding voters asks to join as a learner first.
func (gr *Group) joinCluster(ctx context.Context, address string, rep *wire.IdentityReply) (bool, error) {
	bootstrap := toReplicas(rep.GetBootstrap())
	if !slices.Contains(bootstrap, gr.identity.Replica) {
		if err := gr.requestJoin(ctx, address); err != nil {
			gr.cfg.Log.WithError(err).WithField("peer", address).Info("joining the group failed, will be retried")
			if result.Is(err, result.GroupComplete) {
				gr.completeAt = address
			}

			return false, nil // retried after formPeriod
		}
	}

	return true, gr.storeCluster(ctx, rep.GetCluster(), bootstrap)
}

func (gr *Group) requestJoin(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, formCallTimeout)
	defer cancel()
	req := &wire.JoinRequest{
		Name: gr.cfg.Name, Replica: string(gr.identity.Replica),
		Address: gr.cfg.Address, FailureDomain: gr.cfg.FailureDomain,
	}

	return gr.callAddress(ctx, address, methodJoin, req, &wire.Empty{})
}

// rejoinLoop asks to join again after a time without a leader: the group may have
// replaced this replica while it was unreachable.
func (gr *Group) rejoinLoop(ctx context.Context) {
	leaderlessSince := gr.now()
	for ctx.Err() == nil {
		select {
		case <-time.After(rejoinPeriod):
		case <-ctx.Done():
			return
		}
		if gr.Status().Leader != "" || gr.cfg.IsRetiring(gr.cfg.Name) {
			leaderlessSince = gr.now()

			continue
		}
		if gr.now() < leaderlessSince+rejoinAfter {
			continue
		}
		for _, an := range gr.discoverPeers(ctx) {
			if !an.reply.GetFormed() {
				continue
			}
			err := gr.requestJoin(ctx, an.address)
			if result.Is(err, result.GroupComplete) {
				gr.completeAt = an.address
				gr.awaitVacancy(ctx)
			}
			if err == nil || result.Is(err, result.GroupComplete) {
				leaderlessSince = gr.now()

				break
			}
		}
	}
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

	return n.runOnLoop(ctx, func(now time.Duration, re *consensus.Replica) error {
		m := re.Membership()
		if m.IsVoter(id) || m.IsLearner(id) {
			return nil
		}
		if ce := gr.census(now, re, gr.replicaNames()); ce.vacancies() <= 0 {
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
	gr.mu.Lock()
	defer gr.mu.Unlock()

	if len(peers) == 0 || maps.Equal(peers, gr.storedPeers) || gr.disk.isRefusing() {
		return
	}
	id := gr.identity
	id.Peers = peers
	if err := id.save(gr.cfg.Files, gr.cfg.DataFolder); err != nil {
		gr.cfg.Log.WithError(err).Warn("addresses of the other replicas could not be stored")

		return
	}
	gr.storedPeers = peers
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
