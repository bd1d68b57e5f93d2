package group

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/storage"
)

// join starts the learner "d".
func (sg *slowGroup) join(leader *node) {
	sg.start("d", nil)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	Expect(leader.runOnLoop(ctx, func(now time.Duration, re *consensus.Replica) error {
		_, err := re.ProposeMembership(now, re.Membership().WithLearner("d"))

		return err
	})).To(Succeed())
}

// snapshotBytesIn returns the size of the newest snapshot in a replica's folder.
func snapshotBytesIn(dir string) int64 {
	size := int64(0)
	for _, path := range snapshotsIn(dir) {
		if fi, err := os.Stat(path); err == nil {
			size = fi.Size()
		}
	}

	return size
}

// Guards against processes that need several times the memory of their state, and end for it, when one
// of them joins.
var _ = ginkgo.Describe("the transfer of a large state", func() {
	ginkgo.It("takes little memory on both sides beside the state", func() {
		const maxExtraBytes = 6 << 20
		heapBytes := func() int64 {
			runtime.GC()
			var ms runtime.MemStats
			runtime.ReadMemStats(&ms)

			return int64(ms.HeapAlloc)
		}
		sg := newSlowGroup(ginkgo.GinkgoT().TempDir(), "a")
		defer sg.stop()
		sg.settled()
		own := filepath.Join(sg.dir, "a")
		const jobBytes = 256 << 10
		for i := range 2*snapshotBytes/jobBytes + 2 {
			sg.submitAnywhere(fmt.Sprintf("job-%d", i), jobBytes)
			if i == snapshotBytes/jobBytes {
				// A snapshot that is due while another is written is left out.
				Eventually(func() int64 { return snapshotBytesIn(own) }, "20s").Should(BeNumerically(">=", snapshotBytes))
			}
		}
		Eventually(func() int64 { return snapshotBytesIn(own) }, "20s").Should(BeNumerically(">=", 2*snapshotBytes))
		stateBytes := snapshotBytesIn(own)
		leader, _ := sg.settled()
		Eventually(func() []string { return snapshotsIn(own) }, "5s").Should(HaveLen(1))
		Expect(leader.runOnLoop(context.Background(), func(time.Duration, *consensus.Replica) error { return nil })).To(Succeed(), "the log is compacted")

		before := heapBytes()
		sg.join(leader)
		want := leader.getStatus().Commit
		dir := filepath.Join(sg.dir, "d")
		sending, restoring, partBytes := int64(0), int64(0), int64(0)
		for began := time.Now(); sg.node("d").getStatus().Applied < want; {
			Expect(time.Since(began)).To(BeNumerically("<", time.Minute))
			extra := heapBytes() - before
			if parts, _ := filepath.Glob(filepath.Join(dir, "snapshot-*.part")); len(parts) == 1 && len(snapshotsIn(dir)) == 0 {
				sending = max(sending, extra)
				if fi, err := os.Stat(parts[0]); err == nil {
					partBytes = max(partBytes, fi.Size())
				}
			}
			restoring = max(restoring, extra-stateBytes)
			time.Sleep(5 * time.Millisecond)
		}
		Expect(partBytes).To(BeNumerically(">", stateBytes/2), "the transfer was not observed")
		ginkgo.GinkgoWriter.Println("sending", sending, "restoring", restoring, "part", partBytes)
		Expect(sending).To(BeNumerically("<", maxExtraBytes), "bytes held while chunks are sent and received")
		Expect(restoring).To(BeNumerically("<", maxExtraBytes), "bytes held beside the state that is restored")
	})

	ginkgo.It("ends a leader whose stored snapshot is damaged, so that its data is set aside", func() {
		sg := newSlowGroup(ginkgo.GinkgoT().TempDir(), "a")
		sg.settled()
		sg.fill()
		leader, _ := sg.settled()
		change(snapshotsIn(filepath.Join(sg.dir, "a"))[0], flipped(0.5))
		sg.join(leader)
		Eventually(func() bool { return sg.ended("a") != nil }, "20s").Should(BeTrue())
		Expect(result.Is(sg.ended("a"), result.DataFolderDamaged)).To(BeTrue(), "%v", sg.ended("a"))
		sg.stops[1]()
		Expect(snapshotsIn(filepath.Join(sg.dir, "d"))).To(BeEmpty())
	})

	ginkgo.It("can go on under any leader: all replicas store the same bytes", func() {
		const jobBytes = 256 << 10
		sg := newSlowGroup(ginkgo.GinkgoT().TempDir(), "a", "b", "c")
		defer sg.stop()
		sg.settled()
		for i := range snapshotBytes/jobBytes + 2 {
			sg.submitAnywhere(fmt.Sprintf("job-%d", i), jobBytes)
		}
		var want []byte
		for _, id := range []consensus.ReplicaID{"a", "b", "c"} {
			dir := filepath.Join(sg.dir, string(id))
			Eventually(func() []string { return snapshotsIn(dir) }, "20s").Should(HaveLen(1))
			name := filepath.Base(snapshotsIn(dir)[0])
			Expect(name).To(Equal(filepath.Base(snapshotsIn(filepath.Join(sg.dir, "a"))[0])))
			got, err := os.ReadFile(snapshotsIn(dir)[0])
			Expect(err).NotTo(HaveOccurred())
			if want == nil {
				want = got
			}
			Expect(bytes.Equal(got, want)).To(BeTrue(), "the snapshot of %s differs", id)
		}
	})

	ginkgo.It("leaves nothing of an interrupted one behind", func() {
		dir := ginkgo.GinkgoT().TempDir()
		st, _, err := storage.Open(storage.OSFiles(), dir, 1)
		Expect(err).NotTo(HaveOccurred())
		sn := consensus.Snapshot{Index: 9, Term: 1}
		Expect(st.Save(&consensus.Ready{Chunks: []consensus.SnapshotChunk{{Snapshot: sn, Data: make([]byte, 1<<20)}}})).To(Succeed())
		Expect(st.Close()).To(Succeed())
		names, err := filepath.Glob(filepath.Join(dir, "*"))
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Join(names, " ")).To(ContainSubstring(".part"))
		st, re, err := storage.Open(storage.OSFiles(), dir, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(re.Snapshot.Index).To(BeZero())
		Expect(st.Close()).To(Succeed())
		names, err = filepath.Glob(filepath.Join(dir, "*"))
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Join(names, " ")).NotTo(ContainSubstring(".part"))
	})
})
