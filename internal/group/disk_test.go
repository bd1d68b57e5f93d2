package group

import (
	"context"
	"errors"
	"fmt"
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
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

var errNoSpace = errors.New("no space left on device")

// refusingFiles are files of the operating system that can be switched to refuse each write.
type refusingFiles struct {
	refuses          atomic.Bool
	refusesSnapshots atomic.Bool
	syncTime         atomic.Int64 // a time.Duration
}

func (rf *refusingFiles) isRefused(path string) bool {
	return rf.refuses.Load() || (rf.refusesSnapshots.Load() && strings.Contains(path, "snapshot"))
}

func (rf *refusingFiles) files() storage.Files {
	fi := storage.OSFiles()
	open := func(f func(path string) (storage.File, error)) func(path string) (storage.File, error) {
		return func(path string) (storage.File, error) {
			if rf.isRefused(path) {
				return storage.File{}, errNoSpace
			}
			fl, err := f(path)
			write, sync := fl.Write, fl.Sync
			fl.Write = func(b []byte) (int, error) {
				if rf.isRefused(path) {
					n, _ := write(b[:len(b)/2])

					return n, errNoSpace
				}

				return write(b)
			}
			fl.Sync = func() error {
				time.Sleep(time.Duration(rf.syncTime.Load()))
				if rf.isRefused(path) {
					return errNoSpace
				}

				return sync()
			}

			return fl, err
		}
	}
	fi.Append, fi.Create = open(fi.Append), open(fi.Create)

	return fi
}

// testGroup runs the replicas of a group in this process. Messages of a replica whose disk
// refuses writes are counted.
type testGroup struct {
	dir   string
	disks map[consensus.ReplicaID]*refusingFiles
	sent  sync.Map // replica ID to *atomic.Int64: messages that it sent while its disk refused

	mu    sync.Mutex
	nodes map[consensus.ReplicaID]*node
	stops []func()
}

func newTestGroup(dir string, ids ...consensus.ReplicaID) *testGroup {
	tg := &testGroup{dir: dir, disks: map[consensus.ReplicaID]*refusingFiles{}, nodes: map[consensus.ReplicaID]*node{}}
	for _, id := range ids {
		tg.disks[id] = &refusingFiles{}
		tg.sent.Store(id, &atomic.Int64{})
	}
	for _, id := range ids {
		tg.start(id, ids)
	}

	return tg
}

func (tg *testGroup) node(id consensus.ReplicaID) *node {
	tg.mu.Lock()
	defer tg.mu.Unlock()

	return tg.nodes[id]
}

func (tg *testGroup) start(id consensus.ReplicaID, voters []consensus.ReplicaID) {
	n, err := openNode(nodeConfig{
		id: id, group: 1, bootstrap: consensus.Membership{Voters: voters}, files: tg.disks[id].files(), dir: filepath.Join(tg.dir, string(id)),
		election: 150 * time.Millisecond, heartbeat: 30 * time.Millisecond, wallMs: func() int64 { return 1 },
		send: func(m consensus.Message) {
			if tg.disks[id].refuses.Load() {
				c, _ := tg.sent.Load(id)
				c.(*atomic.Int64).Add(1)
			}
			if to := tg.node(m.To); to != nil {
				select {
				case to.inbox <- event{message: &m}:
				default:
				}
			}
		},
		onApply: func() {}, onStatus: func(_, _ Status) {}, disk: &disk{log: logging.Discard()},
	})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.run(ctx) }()
	tg.mu.Lock()
	defer tg.mu.Unlock()
	tg.nodes[id] = n
	tg.stops = append(tg.stops, func() {
		cancel()
		Expect(<-done).To(Succeed())
	})
}

func (tg *testGroup) stop() {
	for _, stop := range tg.stops {
		stop()
	}
	tg.stops = nil
}

// leader waits for a settled leader other than not.
func (tg *testGroup) leader(not consensus.ReplicaID) consensus.ReplicaID {
	var out consensus.ReplicaID
	Eventually(func() consensus.ReplicaID {
		for id := range tg.disks {
			if st := tg.node(id).getStatus(); id != not && st.IsSettled {
				out = id
			}
		}

		return out
	}, "5s").ShouldNot(BeEmpty())

	return out
}

func jobCount(n *node) int {
	n.mu.RLock()
	defer n.mu.RUnlock()

	return len(n.machine.Jobs().Jobs())
}

var _ = ginkgo.Describe("a replica whose disk refuses writes", func() {
	ginkgo.It("gives up the lead, acknowledges nothing, serves what it knows, and resumes where it stopped", func() {
		tg := newTestGroup(ginkgo.GinkgoT().TempDir(), "a", "b", "c")
		defer tg.stop()
		old := tg.leader("")
		for i := range 5 {
			submit(tg.node(old), fmt.Sprintf("before-%d", i), 100)
		}

		tg.disks[old].refuses.Store(true)
		began := time.Now()
		_, err := tg.node(old).proposeLocal(context.Background(), mustEncode(ginkgo.GinkgoT().Name()))
		Expect(err).To(HaveOccurred())
		next := tg.leader(old)
		Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
		c, _ := tg.sent.Load(old)
		sent := c.(*atomic.Int64).Load()
		for i := range 5 {
			submit(tg.node(next), fmt.Sprintf("during-%d", i), 100)
		}
		Expect(tg.node(old).disk.isRefusing()).To(BeTrue())
		Expect(tg.node(old).getStatus().Role).To(Equal(consensus.RoleFollower.String()))
		Eventually(func() consensus.ReplicaID { return tg.node(old).getStatus().Leader }, "2s").Should(Equal(next), "commands are forwarded there")
		Expect(jobCount(tg.node(old))).To(BeNumerically(">=", 5))
		Expect(c.(*atomic.Int64).Load()).To(Equal(sent), "neither votes nor acknowledges")

		tg.disks[old].refuses.Store(false)
		Eventually(func() int { return jobCount(tg.node(old)) }, "5s").Should(BeNumerically(">=", 10))
		Expect(tg.node(old).disk.isRefusing()).To(BeFalse())
	})

	ginkgo.It("has stored all that was acknowledged when disks refuse in turn and the group is started again", func() {
		dir := ginkgo.GinkgoT().TempDir()
		ids := []consensus.ReplicaID{"a", "b", "c"}
		tg := newTestGroup(dir, ids...)
		accepted := 0
		for round := range 9 {
			id := ids[round%3]
			tg.disks[id].refuses.Store(true)
			for i := range 5 {
				// The leader may be the one whose disk refuses, and learns that with the write.
				if _, err := tg.node(tg.leader("")).proposeLocal(context.Background(), mustEncode(fmt.Sprintf("%d-%d", round, i))); err == nil {
					accepted++
				}
			}
			tg.disks[id].refuses.Store(false)
			Eventually(tg.node(id).disk.isRefusing, "5s").Should(BeFalse())
		}
		Expect(accepted).To(BeNumerically(">", 30))
		tg.stop()

		again := newTestGroup(dir, ids...)
		defer again.stop()
		Expect(jobCount(again.node(again.leader("")))).To(BeNumerically(">=", accepted))
	})

	ginkgo.It("starts, and writes once the disk accepts it", func() {
		dir := ginkgo.GinkgoT().TempDir()
		tg := newTestGroup(dir, "a")
		submit(tg.node(tg.leader("")), "before", 100)
		tg.stop()

		disk := tg.disks["a"]
		disk.refuses.Store(true)
		tg.start("a", []consensus.ReplicaID{"a"})
		defer tg.stop()
		Consistently(func() bool { return tg.node("a").getStatus().IsSettled }, "300ms").Should(BeFalse())
		disk.refuses.Store(false)
		Eventually(func() bool { return tg.node("a").getStatus().IsSettled }, "5s").Should(BeTrue())
		Expect(jobCount(tg.node("a"))).To(Equal(1))
		submit(tg.node("a"), "after", 100)
	})

	ginkgo.It("keeps the log and writes a snapshot later if that is refused", func() {
		dir := ginkgo.GinkgoT().TempDir()
		tg := newTestGroup(dir, "a")
		defer tg.stop()
		tg.leader("")
		n := tg.node("a")
		tg.disks["a"].refusesSnapshots.Store(true)
		submit(n, "j", snapshotBytes)
		Consistently(func() []string { return snapshotsIn(filepath.Join(dir, "a")) }, "300ms").Should(BeEmpty())
		submit(n, "k", 100)
		tg.disks["a"].refusesSnapshots.Store(false)
		Eventually(func() []string {
			submit(n, "l", 100)

			return snapshotsIn(filepath.Join(dir, "a"))
		}, "5s").Should(HaveLen(1))
	})

	ginkgo.It("saves a new identity before it takes part", func() {
		rf := &refusingFiles{}
		rf.refuses.Store(true)
		cfg := Config{Name: "a", Address: "x", DataFolder: filepath.Join(ginkgo.GinkgoT().TempDir(), "data"), Files: rf.files(), Log: logging.Discard()}
		cfg.Peer.Hello, cfg.Peer.Log = &wire.Hello{}, logging.Discard()
		cfg.Founders, cfg.WallMs = []Founder{{Name: "a", Address: "x"}}, func() int64 { return 1 }
		gr, err := New(cfg)
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- gr.Run(ctx) }()
		Consistently(func() *node { return gr.node.Load() }, "300ms").Should(BeNil())
		Expect(gr.disk.isRefusing()).To(BeTrue())
		rf.refuses.Store(false)
		Eventually(gr.IsLeader, "5s").Should(BeTrue())
		Expect(gr.disk.isRefusing()).To(BeFalse())
		cancel()
		Expect(<-done).To(Succeed())

		again, err := New(cfg)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Replica()).To(Equal(gr.Replica()))
	})
})

func mustEncode(id string) []byte {
	b, err := statemachine.Encode(statemachine.KindSubmitJob, testJob(id, 10))
	Expect(err).NotTo(HaveOccurred())

	return b
}
