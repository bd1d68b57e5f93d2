package group

import (
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
		sg.fill()
		for i := 0; snapshotBytesIn(filepath.Join(sg.dir, "a")) < slowLedgerBytes*9/10; i++ {
			sg.submitAnywhere(fmt.Sprintf("more-%d", i), 1<<10)
			time.Sleep(slowHeartbeat)
		}
		leader, _ := sg.settled()

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
			restoring = max(restoring, extra-slowLedgerBytes)
			time.Sleep(5 * time.Millisecond)
		}
		Expect(partBytes).To(BeNumerically(">", slowLedgerBytes/2), "the transfer was not observed")
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
