package group

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/storage"
)

const (
	// slowElection and slowHeartbeat are those of a deployment on machines (settings.NodeElection).
	slowElection  = 500 * time.Millisecond
	slowHeartbeat = 100 * time.Millisecond
	// slowDiskBytes is what a slow disk reads or writes in a second. A snapshot of slowLedgerBytes takes
	// more than twice slowElection.
	slowDiskBytes   = 20 << 20
	slowSync        = time.Millisecond
	slowLedgerBytes = 25 << 20
)

// slowDisk is a disk with a bandwidth. Whoever reads, writes or syncs waits for those before.
type slowDisk struct {
	mu        sync.Mutex
	readDelay atomic.Int64 // a time.Duration, added to each read of a part of a file
}

func (sd *slowDisk) use(d time.Duration) {
	sd.mu.Lock()
	defer sd.mu.Unlock()
	time.Sleep(d)
}

func (sd *slowDisk) transfer(bytes int) {
	sd.use(time.Duration(bytes) * time.Second / slowDiskBytes)
}

func (sd *slowDisk) files() storage.Files {
	fi := storage.OSFiles()
	open := func(f func(path string) (storage.File, error)) func(path string) (storage.File, error) {
		return func(path string) (storage.File, error) {
			fl, err := f(path)
			write, sync := fl.Write, fl.Sync
			fl.Write = func(b []byte) (int, error) {
				sd.transfer(len(b))

				return write(b)
			}
			fl.Sync = func() error {
				sd.use(slowSync)

				return sync()
			}

			return fl, err
		}
	}
	fi.Append, fi.Create = open(fi.Append), open(fi.Create)
	read := fi.Read
	fi.Read = func(path string) ([]byte, error) {
		b, err := read(path)
		sd.transfer(len(b))

		return b, err
	}
	openToRead := fi.Open
	fi.Open = func(path string) (storage.ReadFile, error) {
		fl, err := openToRead(path)
		readAt := fl.ReadAt
		fl.ReadAt = func(b []byte, offset int64) (int, error) {
			sd.transfer(len(b))
			time.Sleep(time.Duration(sd.readDelay.Load()))

			return readAt(b, offset)
		}

		return fl, err
	}

	return fi
}

// slowGroup runs replicas with slow disks in this process.
type slowGroup struct {
	dir string

	mu      sync.Mutex
	nodes   map[consensus.ReplicaID]*node
	disks   map[*node]*slowDisk
	longest map[consensus.ReplicaID]*atomic.Int64 // pause of each loop, a time.Duration
	ends    map[consensus.ReplicaID]error         // of loops that have ended
	stops   []func()
}

func newSlowGroup(dir string, voters ...consensus.ReplicaID) *slowGroup {
	sg := &slowGroup{dir: dir, nodes: map[consensus.ReplicaID]*node{}, disks: map[*node]*slowDisk{}, longest: map[consensus.ReplicaID]*atomic.Int64{}, ends: map[consensus.ReplicaID]error{}}
	for _, id := range voters {
		sg.start(id, voters)
	}

	return sg
}

func (sg *slowGroup) node(id consensus.ReplicaID) *node {
	sg.mu.Lock()
	defer sg.mu.Unlock()

	return sg.nodes[id]
}

func (sg *slowGroup) start(id consensus.ReplicaID, voters []consensus.ReplicaID) {
	longest, sd := &atomic.Int64{}, &slowDisk{}
	n, err := openNode(nodeConfig{
		id: id, group: 1, bootstrap: consensus.Membership{Voters: voters}, files: sd.files(), dir: filepath.Join(sg.dir, string(id)),
		election: slowElection, heartbeat: slowHeartbeat, wallMs: func() int64 { return 1 },
		send: func(m consensus.Message) {
			if to := sg.node(m.To); to != nil {
				select {
				case to.inbox <- event{message: &m}:
				default:
				}
			}
		},
		onApply: func() {}, onStatus: func(_, _ Status) {}, disk: &disk{log: logging.Discard()},
		reportPause: func(p pause) {
			// Time without the processor is that of the machine of the test.
			if d := int64(p.length() - p.waited); d > longest.Load() {
				longest.Store(d)
			}
		},
	})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		err := n.run(ctx)
		sg.mu.Lock()
		sg.ends[id] = err
		sg.mu.Unlock()
		done <- err
	}()
	sg.mu.Lock()
	defer sg.mu.Unlock()
	sg.nodes[id], sg.disks[n], sg.longest[id] = n, sd, longest
	sg.stops = append(sg.stops, func() {
		cancel()
		Expect(<-done).To(Succeed())
	})
}

// ended returns the error with which the loop of a replica has ended, nil if it has not.
func (sg *slowGroup) ended(id consensus.ReplicaID) error {
	sg.mu.Lock()
	defer sg.mu.Unlock()

	return sg.ends[id]
}

func (sg *slowGroup) stop() {
	for _, stop := range sg.stops {
		stop()
	}
}

// settled waits for a settled leader and returns it with its term.
func (sg *slowGroup) settled() (n *node, term uint64) {
	Eventually(func() bool {
		for _, id := range sg.ids() {
			if st := sg.node(id).getStatus(); st.IsSettled {
				n, term = sg.node(id), st.Term

				return true
			}
		}

		return false
	}, "20s").Should(BeTrue())

	return n, term
}

func (sg *slowGroup) ids() []consensus.ReplicaID {
	sg.mu.Lock()
	defer sg.mu.Unlock()

	var out []consensus.ReplicaID
	for id := range sg.nodes {
		out = append(out, id)
	}

	return out
}

// fill submits jobs of slowLedgerBytes in all, and waits until no snapshot is being written.
func (sg *slowGroup) fill() {
	const jobBytes = 256 << 10
	for i := range slowLedgerBytes / jobBytes {
		sg.submitAnywhere(fmt.Sprintf("fill-%d", i), jobBytes)
	}
	for _, id := range sg.ids() {
		dir := filepath.Join(sg.dir, string(id))
		Eventually(func() [2]int { return [2]int{len(unfinishedIn(dir)), len(snapshotsIn(dir))} }, "20s").Should(Equal([2]int{0, 1}), "only the newest one is left")
	}
}

// unfinishedIn returns the snapshots that are being written in a replica's folder.
func unfinishedIn(dir string) []string {
	names, err := filepath.Glob(filepath.Join(dir, "snapshot-*.tmp"))
	Expect(err).NotTo(HaveOccurred())

	return names
}

// partsIn returns the snapshots that are being received in a replica's folder.
func partsIn(dir string) []string {
	names, err := filepath.Glob(filepath.Join(dir, "snapshot-*.part"))
	Expect(err).NotTo(HaveOccurred())

	return names
}

// submitAnywhere submits a job to whichever replica leads.
func (sg *slowGroup) submitAnywhere(id string, bytes int) {
	b, err := statemachine.Encode(statemachine.KindSubmitJob, testJob(id, bytes))
	Expect(err).NotTo(HaveOccurred())
	Eventually(func() error {
		for _, rid := range sg.ids() {
			if n := sg.node(rid); n.getStatus().Role == consensus.RoleLeader.String() {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				_, err := n.proposeLocal(ctx, append([]byte(nil), b...))

				return err
			}
		}

		return fmt.Errorf("no leader")
	}, "30s", "20ms").Should(Succeed())
}

// resetPauses forgets the pauses so far.
func (sg *slowGroup) resetPauses() {
	for _, id := range sg.ids() {
		sg.longest[id].Store(0)
	}
}

// Guards against leaders that are lost, over and over, because their loop waits for work on the whole
// state (docs/incidents/lost-jobs.md).
var _ = ginkgo.Describe("the loop of a replica of a large state on a slow disk", func() {
	for _, tc := range []struct {
		name string
		work func(sg *slowGroup, leader *node)
	}{
		{"a snapshot is written", func(sg *slowGroup, leader *node) {
			before := snapshotsIn(filepath.Join(sg.dir, "a"))
			for i := 0; strings.Join(snapshotsIn(filepath.Join(sg.dir, "a")), "") == strings.Join(before, ""); i++ {
				sg.submitAnywhere(fmt.Sprintf("more-%d", i), 64<<10)
			}
		}},
		{"a replica joins", func(sg *slowGroup, leader *node) {
			sg.start("d", nil)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			Expect(leader.runOnLoop(ctx, func(now time.Duration, re *consensus.Replica) error {
				_, err := re.ProposeMembership(now, re.Membership().WithLearner("d"))

				return err
			})).To(Succeed())
			want := leader.getStatus().Commit
			Eventually(func() uint64 { return sg.node("d").getStatus().Applied }, "60s").Should(BeNumerically(">=", want))
		}},
		{"its disk is slow to read a snapshot for a replica that joins", func(sg *slowGroup, leader *node) {
			sg.join(leader)
			dir := filepath.Join(sg.dir, "d")
			Eventually(func() []string { return partsIn(dir) }, "20s", "1ms").Should(HaveLen(1), "the transfer has begun")
			sg.disks[leader].readDelay.Store(int64(2 * slowElection))
			time.Sleep(slowElection) // a chunk that was read before may be under way
			before := partBytesIn(dir)
			time.Sleep(4 * slowElection)
			Eventually(func() int64 { return partBytesIn(dir) }, "20s").Should(BeNumerically(">", before), "the transfer goes on")
			sg.disks[leader].readDelay.Store(0)
			want := leader.getStatus().Commit
			Eventually(func() uint64 { return sg.node("d").getStatus().Applied }, "60s").Should(BeNumerically(">=", want))
		}},
		{"the state is read for long", func(_ *slowGroup, leader *node) {
			leader.mu.RLock()
			defer leader.mu.RUnlock()
			time.Sleep(4 * slowElection)
		}},
	} {
		ginkgo.It("does not pause as long as an election timeout while "+tc.name, func() {
			sg := newSlowGroup(ginkgo.GinkgoT().TempDir(), "a", "b", "c")
			defer sg.stop()
			sg.settled()
			sg.fill()
			leader, term := sg.settled()
			sg.resetPauses()

			tc.work(sg, leader)

			Expect(leader.getStatus().Term).To(Equal(term), "the leader changed")
			for _, id := range sg.ids() {
				Expect(time.Duration(sg.longest[id].Load())).To(BeNumerically("<", slowElection), "the loop of %s", id)
			}
		})
	}
})

// Guards against a replica that joins and never gets its state, since each transfer begins anew or waits for a disk.
var _ = ginkgo.Describe("the transfer of a large state from a slow disk", func() {
	// interrupted returns a group in which a replica has received a part of the state.
	interrupted := func() (sg *slowGroup, leader *node, want uint64) {
		sg = newSlowGroup(ginkgo.GinkgoT().TempDir(), "a", "b", "c")
		sg.settled()
		sg.fill()
		leader, _ = sg.settled()
		want = leader.getStatus().Commit
		sg.join(leader)
		Eventually(func() int64 { return partBytesIn(filepath.Join(sg.dir, "d")) }, "20s", "1ms").Should(BeNumerically(">", slowLedgerBytes/3))

		return sg, leader, want
	}

	ginkgo.It("goes on under the next leader, though reads take long there", func() {
		sg, leader, want := interrupted()
		defer sg.stop()
		before := partBytesIn(filepath.Join(sg.dir, "d"))
		setDelay := func(d time.Duration) {
			for _, sd := range sg.disks {
				sd.readDelay.Store(int64(d))
			}
		}
		setDelay(slowElection / 5)
		Expect(leader.runOnLoop(context.Background(), func(now time.Duration, re *consensus.Replica) error {
			for _, m := range re.Resign(now) {
				leader.send(m)
			}

			return nil
		})).To(Succeed())
		Eventually(func() uint64 {
			if n := partBytesIn(filepath.Join(sg.dir, "d")); n > 0 {
				Expect(n).To(BeNumerically(">=", before), "the transfer began anew")
				if n > before+1<<20 {
					setDelay(0) // the rest would take long
				}
			}

			return sg.node("d").getStatus().Applied
		}, "60s", "10ms").Should(BeNumerically(">=", want))
	})

	ginkgo.It("goes on under another leader if a read does not end", func() {
		sg, leader, want := interrupted()
		defer sg.stop()
		term := leader.getStatus().Term
		sg.disks[leader].readDelay.Store(int64(3 * maxLeaderWrite / 2))
		Eventually(func() uint64 { return sg.node("b").getStatus().Term }, 2*maxLeaderWrite, "10ms").Should(BeNumerically(">", term))
		Eventually(func() uint64 { return sg.node("d").getStatus().Applied }, "60s").Should(BeNumerically(">=", want))
	})
})

// partBytesIn returns the size of the snapshot that is being received in a replica's folder, 0 if there is none.
func partBytesIn(dir string) int64 {
	for _, path := range partsIn(dir) {
		if fi, err := os.Stat(path); err == nil {
			return fi.Size()
		}
	}

	return 0
}
