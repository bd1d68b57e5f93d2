package group

import (
	"context"
	"maps"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

const (
	formPeriod       = 200 * time.Millisecond
	formCallTimeout  = time.Second
	discoveryTimeout = 400 * time.Millisecond // for the identity requests to all known addresses
)

func (gr *Group) handleIdentity(_ context.Context, st *peer.Stream) error {
	gr.mu.Lock()
	id := gr.identity
	gr.mu.Unlock()

	return st.Reply(&wire.IdentityReply{
		Name: id.Name, Replica: string(id.Replica), Cluster: id.Cluster, Formed: id.isFormed(),
		Bootstrap: toStrings(id.Bootstrap), HasDisk: gr.HasDisk() && !id.Rejoins,
	})
}

// form joins the existing cluster or forms a new one. Without Config.Formation only the
// first founder chooses the members, once every founder answers and none belongs to a
// cluster; the others adopt its choice. A replica whose damaged data was set aside only joins.
func (gr *Group) form(ctx context.Context) error {
	wait := waitLog{since: gr.now()}
	for ctx.Err() == nil {
		if gr.identity.isFormed() {
			return gr.checkCluster(ctx)
		}
		done, err := gr.formOnce(ctx)
		if done || err != nil {
			return err
		}
		if gr.identity.Rejoins && wait.isDue(gr.now()) {
			gr.cfg.Log.WithFields(log.Fields{
				"replica": gr.identity.Replica, "ms": (gr.now() - wait.since).Milliseconds(), "folder": filepath.Join(gr.cfg.DataFolder, damagedFolder),
			}).Warn("no leader of the group admits this replica, whose damaged data was set aside: it waits for a majority that holds the data")
		}
		select {
		case <-time.After(formPeriod):
		case <-ctx.Done():
		}
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
	if gr.cfg.Formation != nil && !gr.identity.Rejoins {
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
	if gr.cfg.Formation != nil || gr.identity.Rejoins || !isFirst || len(empty) < len(gr.cfg.Founders) {
		return false, nil
	}
	slices.Sort(empty)

	return true, gr.storeCluster(ctx, clusterID(empty), empty)
}

// storeCluster saves the ID of the cluster and the replicas that formed it in the identity.
func (gr *Group) storeCluster(ctx context.Context, cluster string, bootstrap []consensus.ReplicaID) error {
	id := gr.identity
	id.Cluster, id.Bootstrap = cluster, bootstrap
	if err := gr.storeIdentity(ctx, id); err != nil || ctx.Err() != nil {
		return err
	}
	gr.cfg.Log.WithFields(log.Fields{"cluster": cluster, "bootstrap": bootstrap}).Info("cluster identity stored")

	return nil
}

// storeIdentity saves an identity and uses it from then on.
func (gr *Group) storeIdentity(ctx context.Context, id identity) error {
	err := gr.untilAccepted(ctx, func() error { return id.save(gr.cfg.Files, gr.cfg.DataFolder) })
	if err != nil || ctx.Err() != nil {
		return err
	}
	gr.disk.recordSuccess(time.Now())
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.identity = id

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
				gr.awaitVacancy(ctx, address)
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
