package group

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/storage"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// logLines collects the messages of log lines.
type logLines struct {
	mu    sync.Mutex
	lines []string
}

func (ll *logLines) HandleLog(en *log.Entry) error {
	ll.mu.Lock()
	defer ll.mu.Unlock()
	ll.lines = append(ll.lines, en.Message)

	return nil
}

func (ll *logLines) text() string {
	ll.mu.Lock()
	defer ll.mu.Unlock()

	return strings.Join(ll.lines, "\n")
}

// member is a process of a testCluster.
type member struct {
	name, address, dir string
	group              *Group
	logs               *logLines
	stop               func()
	failed             chan error // receives the error that ended the group by itself
}

// testCluster runs groups that talk over the loopback interface.
type testCluster struct {
	members  []*member
	founders []Founder
}

func newTestCluster(ip string) *testCluster {
	tc := &testCluster{}
	dir := ginkgo.GinkgoT().TempDir()
	for i := range 3 {
		ln, err := net.Listen("tcp", ip+":0")
		Expect(err).NotTo(HaveOccurred())
		name := fmt.Sprintf("m%d", i)
		tc.members = append(tc.members, &member{name: name, address: ln.Addr().String(), dir: filepath.Join(dir, name), stop: func() {}})
		tc.founders = append(tc.founders, Founder{Name: name, Address: ln.Addr().String()})
		Expect(ln.Close()).To(Succeed())
	}
	for _, me := range tc.members {
		tc.start(me)
	}

	return tc
}

func (tc *testCluster) start(me *member) {
	me.logs = &logLines{}
	cfg := Config{
		Name: me.name, Address: me.address, DataFolder: me.dir, Files: storage.OSFiles(), Log: &log.Logger{Handler: me.logs, Level: log.InfoLevel},
		Founders: tc.founders, Election: 150 * time.Millisecond, Heartbeat: 30 * time.Millisecond, FreshnessBound: time.Minute,
		ReplaceAfter: 1500 * time.Millisecond, WallMs: func() int64 { return 1 },
	}
	cfg.Peer = peer.Config{Hello: &wire.Hello{Name: me.name, Address: me.address, Protocol: peer.ProtocolVersion}, Log: logging.Discard()}
	gr, err := New(cfg)
	Expect(err).NotTo(HaveOccurred())
	me.group = gr
	pc := cfg.Peer
	pc.Mux = gr.Handlers()
	li, err := peer.Listen(me.address, pc)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	failed := make(chan error, 1)
	me.failed = failed
	go func() { _ = li.Serve() }()
	go func() {
		err := gr.Run(ctx)
		if err != nil {
			li.Close()
			failed <- err
			err = nil
		}
		done <- err
	}()
	me.stop = func() {
		cancel()
		li.Close()
		Expect(<-done).To(Succeed())
		me.stop = func() {}
	}
}

func (tc *testCluster) stopAll() {
	for _, me := range tc.members {
		me.stop()
	}
}

// leader waits for a settled leader and returns it.
func (tc *testCluster) leader() *member {
	var out *member
	Eventually(func() *member {
		for _, me := range tc.members {
			if me.group.Status().IsSettled {
				out = me
			}
		}

		return out
	}, "10s").ShouldNot(BeNil())

	return out
}

func (me *member) submit(id string, bytes int) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	Expect(me.group.Propose(ctx, statemachine.KindSubmitJob, testJob(id, bytes), nil)).To(Succeed())
}

func (me *member) jobs() int {
	n := -1
	me.group.Read(func(ma *statemachine.Machine) { n = len(ma.Jobs().Jobs()) })

	return n
}

// damagedFiles returns the files that the member has set aside.
func (me *member) damagedFiles() []string {
	names, err := listFolder(storage.OSFiles(), filepath.Join(me.dir, damagedFolder))
	Expect(err).NotTo(HaveOccurred())

	return names
}

// file returns the path of the oldest file of the member's folder with a prefix.
func (me *member) file(prefix string) string {
	names, err := filepath.Glob(filepath.Join(me.dir, prefix+"*"))
	Expect(err).NotTo(HaveOccurred())
	Expect(names).NotTo(BeEmpty())
	slices.Sort(names)

	return names[0]
}

func change(path string, f func(b []byte) []byte) {
	b, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(path, f(b), 0o600)).To(Succeed())
}

// flipped flips a bit at a share of the length.
func flipped(share float64) func(b []byte) []byte {
	return func(b []byte) []byte {
		b[int(share*float64(len(b)))] ^= 1

		return b
	}
}

func truncated(share float64) func(b []byte) []byte {
	return func(b []byte) []byte { return b[:int(share*float64(len(b)))] }
}

var _ = ginkgo.Describe("a replica whose data is damaged", func() {
	for i, tc := range []struct {
		name   string
		file   string
		damage func(b []byte) []byte
	}{
		{"a flipped bit in the snapshot", groupFolder + "/snapshot-", flipped(0.5)},
		{"a truncated snapshot", groupFolder + "/snapshot-", truncated(0.5)},
		{"a flipped bit in a segment of the log", groupFolder + "/log-", flipped(0.3)},
		{"a truncated segment of the log", groupFolder + "/log-", truncated(0.5)},
		{"a flipped bit in the identity", identityFile, flipped(0.5)},
		{"a truncated identity", identityFile, truncated(0.5)},
		{"an empty identity", identityFile, truncated(0)},
		{"a snapshot that holds no valid state", groupFolder + "/snapshot-", nil},
	} {
		ginkgo.It("sets it aside and joins as a new one with "+tc.name, func() {
			tg := newTestCluster(fmt.Sprintf("127.93.%d.1", i+1))
			defer func() { tg.stopAll() }()
			ld := tg.leader()
			for j := range 13 {
				ld.submit(fmt.Sprintf("j%d", j), 1<<20)
			}
			me := tg.members[0]
			Eventually(func() int { return len(snapshotsIn(filepath.Join(me.dir, groupFolder))) }, "10s").Should(BeNumerically(">", 0))
			Eventually(me.jobs, "5s").Should(Equal(13))
			me.stop()
			old := me.group.Replica()
			tg.start(me) // a second segment, so that the first is not the newest
			Eventually(func() string { return string(me.group.Status().Leader) }, "10s").ShouldNot(BeEmpty())
			me.stop()
			if tc.damage == nil {
				st, re, err := storage.Open(storage.OSFiles(), filepath.Join(me.dir, groupFolder), MainGroup)
				Expect(err).NotTo(HaveOccurred())
				re.Snapshot.Data = re.Snapshot.Data[:len(re.Snapshot.Data)/2]
				Expect(st.SaveSnapshot(re.Snapshot, false)).To(Succeed())
				Expect(st.Close()).To(Succeed())
			} else {
				change(me.file(tc.file), tc.damage)
			}

			tg.start(me)
			Expect(me.group.Replica()).NotTo(Equal(old))
			Expect(me.logs.text()).To(ContainSubstring("the data folder is damaged"))
			Expect(me.damagedFiles()).To(ContainElement(identityFile))
			Expect(me.group.damagedBytes).To(BeNumerically(">", 12<<20))
			Eventually(me.jobs, "10s").Should(Equal(13), "the leader sends all that was acknowledged")
			Eventually(func() []consensus.ReplicaID { return tg.leader().group.Status().Membership.Voters }, "10s").
				Should(And(HaveLen(3), ContainElement(me.group.Replica()), Not(ContainElement(old))))
			ld = tg.leader()
			ld.submit("after", 100)
			Eventually(me.jobs, "5s").Should(Equal(14))

			me.stop()
			id := me.group.Replica()
			tg.start(me)
			Expect(me.group.Replica()).To(Equal(id), "the set that was moved is no reason to move another one")
			Eventually(me.jobs, "10s").Should(Equal(14))
		})
	}

	ginkgo.It("ends if it finds that while it leads, sets the data aside with the next start, and holds up nobody", func() {
		tg := newTestCluster("127.93.31.1")
		defer func() { tg.stopAll() }()
		ld := tg.leader()
		for j := range 13 {
			ld.submit(fmt.Sprintf("j%d", j), 1<<20)
		}
		for _, me := range tg.members {
			Eventually(func() []string { return snapshotsIn(filepath.Join(me.dir, groupFolder)) }, "10s").ShouldNot(BeEmpty())
		}
		change(ld.file(groupFolder+"/snapshot-"), flipped(0.5))

		ln, err := net.Listen("tcp", "127.93.31.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(ln.Close()).To(Succeed())
		learner := &member{name: "m3", address: ln.Addr().String(), dir: filepath.Join(ginkgo.GinkgoT().TempDir(), "m3")}
		tg.members = append(tg.members, learner)
		tg.start(learner) // needs a snapshot, which the leader can't read
		Eventually(ld.failed, "10s").Should(Receive(Satisfy(isDamage)))
		Eventually(learner.jobs, "10s").Should(Equal(13), "the next leader sends its own snapshot")

		old := ld.group.Replica()
		ld.stop()
		tg.start(ld)
		Expect(ld.group.Replica()).NotTo(Equal(old))
		Expect(ld.damagedFiles()).NotTo(BeEmpty())
		Eventually(ld.jobs, "10s").Should(Equal(13))
	})

	for i, tc := range []struct {
		name    string
		damaged int
	}{
		{"a majority", 2}, {"all replicas", 3},
	} {
		ginkgo.It("waits, and never forms a new group without the data, if "+tc.name+" lost theirs", func() {
			tg := newTestCluster(fmt.Sprintf("127.93.%d.1", 21+i))
			defer func() { tg.stopAll() }()
			tg.leader().submit("only", 100)
			for _, me := range tg.members {
				Eventually(me.jobs, "5s").Should(Equal(1))
			}
			tg.stopAll()
			for _, me := range tg.members[:tc.damaged] {
				change(me.file(groupFolder+"/log-"), flipped(0.2))
			}
			for _, me := range tg.members {
				tg.start(me)
			}
			Consistently(func() bool {
				return slices.ContainsFunc(tg.members, func(me *member) bool {
					return me.group.IsLeader() || (me.group.identity.Rejoins && me.group.Cluster() != "")
				})
			}, "2s").Should(BeFalse())
			for i, me := range tg.members {
				Expect(len(me.damagedFiles()) > 0).To(Equal(i < tc.damaged))
				text := "the group has no leader: it waits for a majority of its voters that hold its data"
				if i < tc.damaged {
					text = "no leader of the group admits this replica"
				}
				Eventually(me.logs.text, waitLogPeriod+5*time.Second).Should(ContainSubstring(text))
			}
		})
	}

	ginkgo.It("never goes on with a part of the data under its old identity if the process ends while files are moved", func() {
		counted := func(files storage.Files, left *int) storage.Files {
			fault := func() error {
				if *left--; *left < 0 {
					return errNoSpace
				}

				return nil
			}
			rename, syncDir, create, mkdir := files.Rename, files.SyncDir, files.Create, files.MkdirAll
			files.Rename = func(from, to string) error {
				return errors.Join(fault(), onlyIf(*left >= 0, func() error { return rename(from, to) }))
			}
			files.SyncDir = func(dir string) error {
				return errors.Join(fault(), onlyIf(*left >= 0, func() error { return syncDir(dir) }))
			}
			files.MkdirAll = func(dir string) error {
				return errors.Join(fault(), onlyIf(*left >= 0, func() error { return mkdir(dir) }))
			}
			files.Create = func(path string) (storage.File, error) {
				if err := fault(); err != nil {
					return storage.File{}, err
				}

				return create(path)
			}

			return files
		}
		for steps := range 40 {
			dir := filepath.Join(ginkgo.GinkgoT().TempDir(), "data")
			files := storage.OSFiles()
			cfg := Config{Name: "a", Address: "x", DataFolder: dir, Files: files, Log: logging.Discard()}
			cfg.Peer.Hello = &wire.Hello{}
			id := newIdentity("a")
			id.Cluster, id.Bootstrap, id.Peers = "c", []consensus.ReplicaID{id.Replica}, map[consensus.ReplicaID]string{"b-1": "y"}
			Expect(id.save(files, dir)).To(Succeed())
			st, _, err := storage.Open(files, filepath.Join(dir, groupFolder), MainGroup)
			Expect(err).NotTo(HaveOccurred())
			Expect(st.Save(&consensus.Ready{HardState: &consensus.HardState{Term: 1, Vote: id.Replica}, Entries: []consensus.Entry{{Index: 1, Term: 1}}})).To(Succeed())
			Expect(st.SaveSnapshot(consensus.Snapshot{Index: 1, Term: 1, Data: []byte("no state")}, false)).To(Succeed())
			Expect(st.Close()).To(Succeed())

			left := steps
			cfg.Files = counted(files, &left)
			_, firstErr := New(cfg)
			cfg.Files = files
			gr, err := New(cfg)
			Expect(err).NotTo(HaveOccurred())
			Expect(gr.Replica()).NotTo(Equal(id.Replica), "after %d steps", steps)
			Expect(gr.identity.Rejoins).To(BeTrue(), "after %d steps", steps)
			Expect(gr.Cluster()).To(BeEmpty())
			rest, err := listFolder(files, filepath.Join(dir, groupFolder))
			Expect(err).NotTo(HaveOccurred())
			Expect(rest).To(BeEmpty())
			me := &member{dir: dir}
			Expect(me.damagedFiles()).To(ContainElements(identityFile, HavePrefix("snapshot-"), HavePrefix("log-")), "after %d steps", steps)
			if left >= 0 {
				Expect(firstErr).NotTo(HaveOccurred())

				return // the process ended after the last step
			}
		}
		ginkgo.Fail("the steps never ended")
	})

	ginkgo.It("keeps one set of files, bounded in bytes", func() {
		dir := ginkgo.GinkgoT().TempDir()
		gr := &Group{cfg: Config{DataFolder: dir, Files: storage.OSFiles(), Log: logging.Discard(), Name: "a"}}
		write := func(name string, size int) {
			path := filepath.Join(dir, name)
			Expect(os.MkdirAll(filepath.Dir(path), 0o700)).To(Succeed())
			Expect(os.WriteFile(path, make([]byte, size), 0o600)).To(Succeed())
		}
		write(damagedFolder+"/snapshot-0000000000000001", 10)
		write(damagedFolder+"/log-0000000000000001", 10)
		write(identityFile, 10)
		write(groupFolder+"/snapshot-0000000000000007", 20<<20)
		write(groupFolder+"/snapshot-0000000000000009", 20<<20)
		write(groupFolder+"/snapshot-0000000000000011.tmp", 20<<20)
		for i := 3; i <= 5; i++ {
			write(fmt.Sprintf("%s/log-%016d", groupFolder, i), 16<<20)
		}
		Expect(gr.setAside()).To(Succeed())
		me := &member{dir: dir}
		Expect(me.damagedFiles()).To(Equal([]string{identityFile, "log-0000000000000005", "snapshot-0000000000000007", "snapshot-0000000000000009"}))
		Expect(gr.sizeOfDamaged()).To(BeNumerically("<=", maxDamagedBytes))
	})
})

func onlyIf(ok bool, f func() error) error {
	if !ok {
		return nil
	}

	return f()
}

var _ = ginkgo.Describe("the identity of a replica", func() {
	id := identity{
		Format: identityFormat, Name: "a", Replica: "a-0123456789abcdef", Cluster: "c", Bootstrap: []consensus.ReplicaID{"a-0123456789abcdef", "b-1"},
		Peers: map[consensus.ReplicaID]string{"b-1": "127.0.0.1:1"},
	}

	ginkgo.It("is never read as another one, as that of another process or of a newer format if a byte changed or the file was cut", func() {
		b, err := id.encode()
		Expect(err).NotTo(HaveOccurred())
		got, err := decodeIdentity("f", "a", b)
		Expect(err).NotTo(HaveOccurred())
		got.Checksum = ""
		Expect(got).To(Equal(id))
		for at := range b {
			for bit := range 8 {
				c := slices.Clone(b)
				c[at] ^= 1 << bit
				got, err := decodeIdentity("f", "a", c)
				if err == nil {
					got.Checksum = ""
					Expect(got).To(Equal(id), "byte %d", at)
				} else {
					Expect(isDamage(err)).To(BeTrue(), "byte %d: %v", at, err)
				}
			}
			_, err := decodeIdentity("f", "a", b[:at])
			Expect(isDamage(err)).To(BeTrue(), "cut at %d: %v", at, err)
		}
	})

	for _, tc := range []struct {
		name string
		text string
		code result.Code
	}{
		{"has no checksum, as written by versions before", `{"format":1,"name":"a","replica":"a-1"}`, 0},
		{"is of a newer format", `{"format":2,"name":{"first":"a"},"replica":["a-1"]}`, result.DataFolderNewer},
		{"belongs to another process", `{"format":1,"name":"b","replica":"b-1"}`, result.DataFolderForeign},
	} {
		ginkgo.It("is left where it is if it "+tc.name, func() {
			dir := ginkgo.GinkgoT().TempDir()
			Expect(os.WriteFile(filepath.Join(dir, identityFile), []byte(tc.text), 0o600)).To(Succeed())
			cfg := Config{Name: "a", Address: "x", DataFolder: dir, Files: storage.OSFiles(), Log: logging.Discard()}
			cfg.Peer.Hello = &wire.Hello{}
			gr, err := New(cfg)
			if tc.code == 0 {
				Expect(err).NotTo(HaveOccurred())
				Expect(gr.Replica()).To(Equal(consensus.ReplicaID("a-1")))

				return
			}
			Expect(result.Is(err, tc.code)).To(BeTrue(), "%v", err)
			b, err := os.ReadFile(filepath.Join(dir, identityFile))
			Expect(err).NotTo(HaveOccurred())
			Expect(bytes.Equal(b, []byte(tc.text))).To(BeTrue())
			Expect((&member{dir: dir}).damagedFiles()).To(BeEmpty())
		})
	}
})
