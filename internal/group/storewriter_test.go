package group

import (
	"context"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
)

// Guards against leaders that are lost because their loop, or that of their followers, waits for a disk.
var _ = ginkgo.Describe("replicas whose disks take far longer to sync than an election takes", func() {
	const syncTime = 2 * time.Second
	var tg *testGroup
	var dir string
	ids := []consensus.ReplicaID{"a", "b", "c"}

	ginkgo.BeforeEach(func() {
		dir = ginkgo.GinkgoT().TempDir()
		tg = newTestGroup(dir, ids...)
	})
	ginkgo.AfterEach(func() { tg.stop() })
	slowDown := func(d time.Duration) {
		for _, rf := range tg.disks {
			rf.syncTime.Store(int64(d))
		}
	}

	ginkgo.It("keep their leader, which confirms reads meanwhile, and commit what they store", func() {
		n := tg.node(tg.leader(""))
		term := n.getStatus().Term
		slowDown(syncTime)
		var ps []*proposal
		for range 10 {
			ps = append(ps, proposeJobs(n, 1, 100)...)
			ctx, cancel := context.WithTimeout(context.Background(), syncTime/4)
			_, err := n.readLocal(ctx)
			cancel()
			Expect(err).NotTo(HaveOccurred(), "followers answer heartbeats")
			time.Sleep(syncTime / 10)
		}
		for _, p := range ps {
			var an proposalAnswer
			Eventually(p.answer, "20s").Should(Receive(&an))
			Expect(an.err).NotTo(HaveOccurred())
		}
		for _, id := range ids {
			Expect(tg.node(id).getStatus().Term).To(Equal(term), "the term changed")
		}
		Expect(n.getStatus().Role).To(Equal(consensus.RoleLeader.String()))
	})

	// Guards against a leader that answers nothing for as long as its disk hangs.
	ginkgo.It("get another leader if the disk of theirs hangs", func() {
		old := tg.leader("")
		tg.disks[old].syncTime.Store(int64(2 * maxLeaderWrite))
		proposeJobs(tg.node(old), 1, 100)
		Eventually(func() bool {
			for _, id := range ids {
				if id != old && tg.node(id).getStatus().IsSettled {
					return true
				}
			}

			return false
		}, (maxLeaderWrite + 2*time.Second).String()).Should(BeTrue())
		Eventually(func() string { return tg.node(old).getStatus().Role }, "2s").Should(Equal(consensus.RoleFollower.String()))
	})

	ginkgo.It("have stored all that was acknowledged when they are stopped while they write", func() {
		n := tg.node(tg.leader(""))
		for i := range 5 {
			submit(n, fmt.Sprintf("before-%d", i), 100)
		}
		slowDown(syncTime)
		proposeJobs(n, 20, 100)
		time.Sleep(syncTime / 4)
		slowDown(0)
		tg.stop()

		again := newTestGroup(dir, ids...)
		defer again.stop()
		Expect(jobCount(again.node(again.leader("")))).To(BeNumerically(">=", 5))
	})
})
