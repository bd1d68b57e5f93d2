package capacity

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/group"
	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/settings"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

const (
	recoveryVoters = 5
	recoverySpares = 2
)

// recoveryGroup runs the voters and spare replicas of one group in this process, connected over loopback,
// each with a modelled disk.
type recoveryGroup struct {
	folder   string
	founders []group.Founder
	all      []group.Founder // with the spare replicas

	longestPause atomic.Int64 // of the loop of any replica, a time.Duration

	mu       sync.Mutex
	replicas []*recoveryReplica
	terms    map[uint64]bool // in which a replica has led
}

type recoveryReplica struct {
	group    *group.Group
	listener *peer.Listener
	disk     *modelDisk
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// startRecoveryGroup starts the replicas with empty disks in folder. subnet is the third octet of their
// loopback addresses.
func startRecoveryGroup(folder string, subnet int) (*recoveryGroup, error) {
	rg := &recoveryGroup{folder: folder, terms: map[uint64]bool{}}
	for i := range recoveryVoters + recoverySpares {
		rg.all = append(rg.all, group.Founder{Name: fmt.Sprintf("r%d", i), Address: fmt.Sprintf("127.79.%d.%d:8082", subnet, i+1)})
	}
	rg.founders = rg.all[:recoveryVoters]

	return rg, rg.start()
}

// start starts all replicas at once.
func (rg *recoveryGroup) start() error {
	var eg errgroup.Group
	for _, fo := range rg.all {
		eg.Go(func() error { return rg.add(fo) })
	}

	return eg.Wait()
}

func (rg *recoveryGroup) add(fo group.Founder) error {
	re := &recoveryReplica{disk: newModelDisk()}
	pc := peer.Config{Hello: &wire.Hello{Name: fo.Name, Address: fo.Address, Protocol: peer.ProtocolVersion}, Mux: peer.Mux{}}
	gr, err := group.New(group.Config{
		Name: fo.Name, Address: fo.Address, DataFolder: rg.dataFolder(fo.Name), Founders: rg.founders, Peer: pc, Files: re.disk.files(),
		Election: settings.NodeElection, Heartbeat: settings.NodeHeartbeat, FreshnessBound: 5 * time.Second,
		ReplaceAfter: settings.NodeReplaceAfter, MaxSpares: recoverySpares, OnStatus: rg.onStatus, RecordPause: rg.recordPause,
		// The time stands still, so that no job expires.
		WallMs: func() int64 { return 1 }, Log: logging.Discard(),
	})
	if err != nil {
		return err
	}
	for m, h := range gr.Handlers() {
		pc.Mux[m] = h
	}
	li, err := peer.Listen(fo.Address, pc)
	if err != nil {
		gr.Close()

		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	re.group, re.listener, re.cancel = gr, li, cancel
	re.wg.Add(2)
	go func() {
		defer re.wg.Done()
		_ = li.Serve()
	}()
	go func() {
		defer re.wg.Done()
		_ = gr.Run(ctx)
	}()
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.replicas = append(rg.replicas, re)

	return nil
}

func (rg *recoveryGroup) dataFolder(name string) string { return filepath.Join(rg.folder, name) }

func (rg *recoveryGroup) onStatus(st group.Status) {
	if st.Role != consensus.RoleLeader.String() {
		return
	}
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.terms[st.Term] = true
}

func (rg *recoveryGroup) recordPause(d time.Duration) {
	for {
		old := rg.longestPause.Load()
		if int64(d) <= old || rg.longestPause.CompareAndSwap(old, int64(d)) {
			return
		}
	}
}

// loseAllPower stops all replicas at once, without handing over, and empties the disks of the named ones.
func (rg *recoveryGroup) loseAllPower(emptied ...string) error {
	res := rg.list()
	for _, re := range res {
		re.disk.cutPower()
	}
	for _, re := range res {
		re.cancel()
	}
	for _, re := range res {
		re.listener.Close()
	}
	for _, re := range res {
		re.wg.Wait()
	}
	rg.mu.Lock()
	rg.replicas = nil
	rg.mu.Unlock()
	for _, name := range emptied {
		if err := os.RemoveAll(rg.dataFolder(name)); err != nil {
			return err
		}
	}

	return nil
}

func (rg *recoveryGroup) list() []*recoveryReplica {
	rg.mu.Lock()
	defer rg.mu.Unlock()

	return append([]*recoveryReplica(nil), rg.replicas...)
}

// leader returns the leader with the highest term, nil if there is none.
func (rg *recoveryGroup) leader() *group.Group {
	var ld *group.Group
	term := uint64(0)
	for _, re := range rg.list() {
		if st := re.group.Status(); st.Role == consensus.RoleLeader.String() && st.Term > term {
			ld, term = re.group, st.Term
		}
	}

	return ld
}

// leaders returns how many terms had a leader so far.
func (rg *recoveryGroup) leaders() int {
	rg.mu.Lock()
	defer rg.mu.Unlock()

	return len(rg.terms)
}

// isSettled reports whether a leader has applied everything that was committed, and answers.
func (rg *recoveryGroup) isSettled() bool {
	ld := rg.leader()
	if ld == nil || !ld.Status().IsSettled {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), settings.NodeElection)
	defer cancel()

	return ld.Barrier(ctx) == nil
}

// livingVoters returns how many of the running replicas vote, and isComplete whether all others of them
// follow, as the leader knows it.
func (rg *recoveryGroup) livingVoters() (n int, isComplete bool) {
	ld := rg.leader()
	if ld == nil {
		return 0, false
	}
	m := ld.Status().Membership
	others := 0
	for _, re := range rg.list() {
		switch id := re.group.Replica(); {
		case m.IsVoter(id):
			n++
		case m.IsLearner(id):
			others++
		}
	}

	return n, n == recoveryVoters && others == recoverySpares && len(m.All()) == n+others
}

// haveApplied reports whether all replicas have applied what the leader has committed.
func (rg *recoveryGroup) haveApplied(commit uint64) bool {
	for _, re := range rg.list() {
		if re.group.Status().Applied < commit {
			return false
		}
	}

	return true
}

// newestSnapshots returns the path of each replica's newest stored snapshot, "" where there is none.
func (rg *recoveryGroup) newestSnapshots() []string {
	out := make([]string, len(rg.all))
	for i, fo := range rg.all {
		names, _ := filepath.Glob(filepath.Join(rg.dataFolder(fo.Name), "*", "snapshot-*")) // the pattern is valid
		for _, name := range names {
			if filepath.Ext(name) == "" { // stored whole
				out[i] = max(out[i], name)
			}
		}
	}

	return out
}

// isWritingSnapshot reports whether any replica has a snapshot that is not written whole.
func (rg *recoveryGroup) isWritingSnapshot() bool {
	names, _ := filepath.Glob(filepath.Join(rg.folder, "*", "*", "snapshot-*.tmp")) // the pattern is valid

	return len(names) > 0
}
