package group

import (
	"io"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/storage"
)

type nodeConfig struct {
	id        consensus.ReplicaID
	group     consensus.GroupID
	bootstrap consensus.Membership
	files     storage.Files
	dir       string
	election  time.Duration
	heartbeat time.Duration
	wallMs    func() int64
	send      func(m consensus.Message)
	onApply   func()
	onStatus  func(old, st Status)
	disk      *disk
	log       log.Interface
	// reportPause is called with each pause of the loop; nil ignores them.
	reportPause func(p pause)

	onDroppedTransfer func(dropped consensus.DroppedTransfer)
}

// openedState is what a replica recovers from its folder.
type openedState struct {
	store     *storage.Store
	recovered *storage.Recovered
	machine   *statemachine.Machine
}

// openState reads the folder of a replica.
func openState(cfg nodeConfig) (*openedState, error) {
	ma := statemachine.New()
	st, re, err := storage.OpenWith(cfg.files, cfg.dir, cfg.group, func(sn consensus.Snapshot, data io.Reader) (err error) {
		ma, err = restoreState(cfg.dir, sn, data)

		return err
	})
	if err != nil {
		return nil, err
	}
	if re.Snapshot.Index == 0 {
		re.Snapshot.Membership = cfg.bootstrap
	}

	return &openedState{store: st, recovered: re, machine: ma}, nil
}

// restoreState restores the state from the data of a snapshot in the folder dir.
func restoreState(dir string, sn consensus.Snapshot, data io.Reader) (*statemachine.Machine, error) {
	ma, err := statemachine.RestoreFrom(data)
	if err != nil && !result.Is(err, result.DataFolderWrite) {
		err = result.New(result.DataFolderDamaged, "group: %s: the snapshot at index %d holds no valid state: %v", dir, sn.Index, err).WithCause(err)
	}

	return ma, err
}

func openNode(cfg nodeConfig) (*node, error) {
	op, err := openState(cfg)
	if err != nil {
		return nil, err
	}

	return newNode(cfg, op)
}

// newNode returns the node of a replica whose state was read.
func newNode(cfg nodeConfig, op *openedState) (*node, error) {
	st, re, ma := op.store, op.recovered, op.machine
	n := &node{
		store: st, dir: cfg.dir, start: time.Now(), wallMs: cfg.wallMs, send: cfg.send, onApply: cfg.onApply, onStatus: cfg.onStatus,
		inbox: make(chan event, inboxSize), pendingProposals: map[uint64]pendingProposal{}, pendingReads: map[uint64][]*readRequest{},
		machine: ma, applier: newApplier(position{re.Snapshot.Index, re.Snapshot.Term}), snapshotResults: make(chan snapshotResult, 1), chunkResults: make(chan chunkResult, 1), writer: newStoreWriter(),
		disk: cfg.disk, onDroppedTransfer: cfg.onDroppedTransfer, log: cfg.log,
	}
	n.storeSnapshot(re.Snapshot)
	n.status.Store(&Status{})
	if n.log == nil {
		n.log = cfg.disk.log
	}
	n.pauses = &pauseWatch{now: n.now, report: cfg.reportPause}
	if n.pauses.report == nil {
		n.pauses.report = func(pause) {}
	}
	n.replica = consensus.New(consensus.Config{
		ID: cfg.id, Group: cfg.group, ElectionTimeout: cfg.election, HeartbeatPeriod: cfg.heartbeat,
		Random: rand.Int64N, OpenSnapshot: n.openSnapshot,
		HardState: re.HardState, Snapshot: re.Snapshot, Entries: re.Entries,
	}, n.now())
	if err := st.Failure(); err != nil {
		return n, n.suspend(err, &storeTask{})
	}
	n.updateStatus()

	return n, nil
}
