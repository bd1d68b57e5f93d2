// Package group runs a process's part in a replication group: a replica where
// the process has a data folder, otherwise a subscriber that follows the
// configuration and forwards commands.
package group

import (
	"context"
	"maps"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/storage"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// MainGroup is the only group of a deployment today.
const MainGroup consensus.GroupID = 1

// Founder is one of the processes that form the cluster, which requires that none of
// them belongs to a cluster yet.
type Founder struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Config describes a process's part in a group.
type Config struct {
	Name           string
	Address        string // of this process's peer listener
	FailureDomain  string
	DataFolder     string // "" for a subscriber
	Founders       []Founder
	Upstreams      []string // a subscriber's sources; the founders where empty
	Peer           peer.Config
	Files          storage.Files
	Election       time.Duration
	Heartbeat      time.Duration
	FreshnessBound time.Duration
	ReplaceAfter   time.Duration // how long a voter may be silent before a caught-up learner replaces it
	TargetVoters   int           // target number; 0 means as many as formed the group
	// MaxSpares bounds the replicas that follow the group without a vote, ready to replace a lost
	// voter; 0 for no limit. Further processes wait outside, as each follower receives the log.
	MaxSpares int
	// CandidateAddresses returns where other replicas may be found; the founders' addresses where nil.
	CandidateAddresses func() []string
	// Formation returns the replicas that form the group, none where that is not
	// known or this process may not form it. Where nil, the first founder decides.
	Formation func() []consensus.ReplicaID
	// AddressOf returns the address of a replica, "" where it is not known.
	AddressOf func(id consensus.ReplicaID) string
	// IsRetiring reports whether the replicas of a VM are to leave the group.
	IsRetiring func(name string) bool
	// OnStatus is called with each change of role, leader, term or membership. It must not block.
	OnStatus func(st Status)
	WallMs   func() int64
	Count    func(counter string)
	// RecordPause is called with the length of each pause of the replica's loop; nil ignores them.
	RecordPause func(d time.Duration)
	Log         log.Interface
}

// Group is a process's part in a replication group.
type Group struct {
	cfg      Config
	identity identity
	disk     *disk
	start    time.Time

	opened       *openedState // read by New, until Run takes it; nil if there is none
	damagedBytes int64        // size of the damaged files that were set aside

	ctx       context.Context
	stop      context.CancelFunc
	transport *transport
	node      atomic.Pointer[node]

	view              atomic.Pointer[View]
	elections         atomic.Int64 // observed changes of the leader
	membershipChanges atomic.Int64 // observed changes of the membership
	droppedTransfers  atomic.Int64 // received snapshots that were not those that the leader sent
	longestPause      atomic.Int64 // of the replica's loop, a time.Duration
	freshAt           atomic.Int64 // latest confirmation, a time.Duration since start; 0 before the first one

	peersMu sync.Mutex // held while storedPeers is written to the disk, for which mu is not held

	mu            sync.Mutex
	changed       chan struct{} // closed and replaced with each new view
	confirmed     chan struct{} // closed and replaced with each confirmation
	addresses     map[consensus.ReplicaID]string
	storedPeers   map[consensus.ReplicaID]string // as stored in the data folder
	upstreamIndex int
	feedSlots     chan struct{} // holds one element for each subscriber that waits

	pauseLoggedAt time.Duration // used only by the loop of the replica

	deltas      []statemachine.Delta // the latest changes; used only without a replica
	deltasAfter uint64               // every change after this position is in deltas
}

// maxFeeds bounds the subscribers that wait at one process.
const maxFeeds = 4096

// New loads the identity from the data folder or creates it. Handlers may be served before Run.
func New(cfg Config) (*Group, error) {
	gr := &Group{
		cfg: cfg, start: time.Now(), changed: make(chan struct{}), confirmed: make(chan struct{}),
		addresses: map[consensus.ReplicaID]string{}, feedSlots: make(chan struct{}, maxFeeds),
	}
	gr.cfg.defaults()
	gr.disk = &disk{log: gr.cfg.Log}
	vi, err := newView(statemachine.FullState{})
	if err != nil {
		return nil, err
	}
	gr.view.Store(vi)
	gr.ctx, gr.stop = context.WithCancel(context.Background())
	if cfg.DataFolder != "" {
		if err := gr.openFolder(); err != nil {
			return nil, err
		}
		gr.cfg.Peer.Hello.Replica = string(gr.identity.Replica)
		gr.storedPeers = gr.identity.Peers
		maps.Copy(gr.addresses, gr.storedPeers)
	}
	gr.transport = newTransport(gr.ctx, gr.cfg.Peer, cfg.Address)

	return gr, nil
}

// defaults fills the function fields left nil.
func (c *Config) defaults() {
	if c.Count == nil {
		c.Count = func(string) {}
	}
	if c.RecordPause == nil {
		c.RecordPause = func(time.Duration) {}
	}
	if c.CandidateAddresses == nil {
		c.CandidateAddresses = func() []string {
			out := make([]string, len(c.Founders))
			for i, fo := range c.Founders {
				out[i] = fo.Address
			}

			return out
		}
	}
	if c.AddressOf == nil {
		c.AddressOf = func(consensus.ReplicaID) string { return "" }
	}
	if c.IsRetiring == nil {
		c.IsRetiring = func(string) bool { return false }
	}
	if c.OnStatus == nil {
		c.OnStatus = func(Status) {}
	}
}

func (gr *Group) now() time.Duration { return time.Since(gr.start) }

// HasDisk reports whether this process runs a replica.
func (gr *Group) HasDisk() bool { return gr.cfg.DataFolder != "" }

// View returns the configuration as last known to this process.
func (gr *Group) View() *View { return gr.view.Load() }

// Changed returns a channel that is closed with the next view.
func (gr *Group) Changed() <-chan struct{} {
	gr.mu.Lock()
	defer gr.mu.Unlock()

	return gr.changed
}

func (gr *Group) setView(vi *View) {
	gr.view.Store(vi)
	gr.mu.Lock()
	close(gr.changed)
	gr.changed = make(chan struct{})
	gr.mu.Unlock()
}

// Age returns the time since this process's view was last confirmed, and false before
// the first confirmation.
func (gr *Group) Age() (time.Duration, bool) {
	at := gr.freshAt.Load()

	return gr.now() - time.Duration(at), at > 0
}

// Confirmed returns a channel that is closed with the next confirmation.
func (gr *Group) Confirmed() <-chan struct{} {
	gr.mu.Lock()
	defer gr.mu.Unlock()

	return gr.confirmed
}

// CheckFresh returns an error when the view is too old, so that the process must refuse new work.
func (gr *Group) CheckFresh() error {
	age, ok := gr.Age()
	switch {
	case !ok:
		return result.New(result.StaleProcess, "group: nothing received from the group yet").WithRetryAfter(time.Second)
	case age > gr.cfg.FreshnessBound:
		return result.New(result.StaleProcess, "group: nothing received from the group for %v, the limit is %v", age.Round(time.Millisecond), gr.cfg.FreshnessBound).WithRetryAfter(time.Second)
	}

	return nil
}

// recordConfirmation records that the view was current at a time. An earlier time than
// the latest one has no effect.
func (gr *Group) recordConfirmation(at time.Duration) {
	for {
		old := gr.freshAt.Load()
		if int64(at) <= old {
			return
		}
		if gr.freshAt.CompareAndSwap(old, int64(at)) {
			gr.mu.Lock()
			close(gr.confirmed)
			gr.confirmed = make(chan struct{})
			gr.mu.Unlock()

			return
		}
	}
}

// Run takes part in the group until ctx ends. An unusable data folder or identity ends it
// early: the process must then exit. A disk that only refuses writes is waited for.
func (gr *Group) Run(ctx context.Context) error {
	defer gr.transport.wait()
	defer gr.stop()
	defer gr.Close()

	if !gr.HasDisk() {
		gr.follow(ctx)

		return nil
	}
	if err := gr.untilAccepted(ctx, func() error { return gr.identity.save(gr.cfg.Files, gr.cfg.DataFolder) }); err != nil || ctx.Err() != nil {
		return err
	}
	gr.disk.recordSuccess(time.Now())
	if err := gr.form(ctx); err != nil || ctx.Err() != nil {
		return err
	}

	var n *node
	err := gr.untilAccepted(ctx, func() (err error) {
		n, err = gr.openNode()

		return err
	})
	if err != nil || ctx.Err() != nil {
		return err
	}
	if n.unstored == nil {
		gr.disk.recordSuccess(time.Now())
		if err := gr.recordLog(ctx); err != nil || ctx.Err() != nil {
			_ = n.store.Close() // nothing was written since it was opened

			return err
		}
	}
	n.publishView(gr)
	gr.node.Store(n)

	for _, id := range n.replica.Membership().All() {
		gr.transport.connect(gr.addressOf(id))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){gr.confirmLoop, gr.membershipLoop, gr.registerLoop, gr.rejoinLoop} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			loop(ctx)
		}()
	}
	err = n.run(ctx)
	cancel()
	wg.Wait()

	return err
}

// Close frees what New opened and Run has not taken. It must not be called while Run runs.
func (gr *Group) Close() {
	gr.stop()
	if gr.opened != nil {
		_ = gr.opened.store.Close() // nothing was written since it was opened
		gr.opened = nil
	}
}

func (gr *Group) openNode() (*node, error) {
	gr.cfg.Log.WithFields(log.Fields{"replica": gr.identity.Replica, "cluster": gr.identity.Cluster}).Info("replica starts")
	if op := gr.opened; op != nil {
		gr.opened = nil

		return newNode(gr.nodeConfig(), op)
	}

	return openNode(gr.nodeConfig())
}

func (gr *Group) nodeConfig() nodeConfig {
	return nodeConfig{
		id: gr.identity.Replica, group: MainGroup,
		bootstrap: consensus.Membership{Voters: gr.identity.Bootstrap},
		files:     gr.cfg.Files, dir: filepath.Join(gr.cfg.DataFolder, groupFolder),
		election: gr.cfg.Election, heartbeat: gr.cfg.Heartbeat, wallMs: gr.cfg.WallMs,
		send:    func(m consensus.Message) { gr.transport.send(gr.addressOf(m.To), m) },
		onApply: gr.onApply, onStatus: gr.onStatus, disk: gr.disk, onDroppedTransfer: gr.onDroppedTransfer,
		log: gr.cfg.Log, reportPause: gr.reportPause,
	}
}

// publishView sets the group's first view from the restored state machine.
func (n *node) publishView(gr *Group) {
	n.mu.RLock()
	defer n.mu.RUnlock()

	gr.refreshView(n.machine)
}

// onApply runs on the node's applier, with the machine locked, after entries were applied.
func (gr *Group) onApply() {
	n := gr.node.Load()
	if n == nil {
		return
	}
	gr.refreshView(n.machine)
}

func (gr *Group) refreshView(ma *statemachine.Machine) {
	vi := gr.View()
	if ma.Revision() <= vi.Revision {
		return
	}

	next, err := gr.nextView(ma, vi)
	if err != nil {
		gr.cfg.Log.WithError(err).Error("configuration could not be read from the state machine")

		return
	}
	gr.setView(next)
}

func (gr *Group) nextView(ma *statemachine.Machine, vi *View) (*View, error) {
	if ds, ok := ma.DeltasSince(vi.Revision); ok {
		if next, err := vi.withDeltas(ds); err == nil {
			return next, nil
		}
	}

	fu, err := ma.FullState()
	if err != nil {
		return nil, err
	}

	return newView(fu)
}

// addressOf returns the address of a replica, or "" if it is not known.
func (gr *Group) addressOf(id consensus.ReplicaID) string {
	gr.mu.Lock()
	a, ok := gr.addresses[id]
	gr.mu.Unlock()
	if ok {
		return a
	}

	if a := gr.cfg.AddressOf(id); a != "" {
		return a
	}
	if n := gr.node.Load(); n != nil && n.mu.TryRLock() {
		re, ok := n.machine.Replicas()[id]
		n.mu.RUnlock()
		if ok {
			return re.Address
		}
	}
	name := string(id)
	if i := strings.LastIndexByte(name, '-'); i > 0 {
		name = name[:i]
	}
	for _, fo := range gr.cfg.Founders {
		if fo.Name == name {
			return fo.Address
		}
	}

	return ""
}

func (gr *Group) recordAddress(he *wire.Hello) {
	if he.GetReplica() == "" || he.GetAddress() == "" {
		return
	}

	gr.mu.Lock()
	gr.addresses[consensus.ReplicaID(he.GetReplica())] = he.GetAddress()
	gr.mu.Unlock()
}

// IsLeader reports whether this replica is the leader by its last known status.
func (gr *Group) IsLeader() bool { return gr.Status().Role == consensus.RoleLeader.String() }

// Replica returns the ID of this process's replica, "" on a subscriber.
func (gr *Group) Replica() consensus.ReplicaID {
	gr.mu.Lock()
	defer gr.mu.Unlock()

	return gr.identity.Replica
}

// Status returns the state of the replica, all zero on a subscriber.
func (gr *Group) Status() Status {
	if n := gr.node.Load(); n != nil {
		return n.getStatus()
	}

	return Status{}
}

// Cluster returns the ID of the cluster, "" before it is formed.
func (gr *Group) Cluster() string { return gr.identity.Cluster }

// Read runs f on the state machine as applied here, and returns false on a subscriber.
func (gr *Group) Read(f func(ma *statemachine.Machine)) bool {
	n := gr.node.Load()
	if n == nil {
		return false
	}

	n.mu.RLock()
	defer n.mu.RUnlock()
	f(n.machine)

	return true
}

// Applied returns a channel that is closed when further entries are applied here, nil on a subscriber.
func (gr *Group) Applied() <-chan struct{} {
	n := gr.node.Load()
	if n == nil {
		return nil
	}

	return n.applier.next()
}

// TransferLeadership passes leadership to another voter before the process stops.
func (gr *Group) TransferLeadership(ctx context.Context) {
	n := gr.node.Load()
	if n == nil || n.getStatus().Role != consensus.RoleLeader.String() {
		return
	}

	err := n.runOnLoop(ctx, func(now time.Duration, re *consensus.Replica) error {
		if !re.TransferLeadership(now) {
			return consensus.ErrLastVoter
		}

		return nil
	})
	if err != nil {
		return // no other voter can take over
	}
	for ctx.Err() == nil && n.getStatus().Role == consensus.RoleLeader.String() {
		time.Sleep(tickPeriod)
	}
}

// decode reads a CBOR payload.
func decode(b []byte, v any) error {
	if err := cbor.Unmarshal(b, v); err != nil {
		return result.New(result.Internal, "group: decoding a payload: %v", err)
	}

	return nil
}
