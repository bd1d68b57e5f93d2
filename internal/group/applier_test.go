package group

import (
	"context"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/storage"
)

// proposeJobs puts jobs whose items have bodies of so many bytes into the inbox of n.
func proposeJobs(n *node, jobs, bytes int) []*proposal {
	out := make([]*proposal, jobs)
	for i := range out {
		b, err := statemachine.Encode(statemachine.KindSubmitJob, testJob(fmt.Sprintf("job-%d", i), bytes))
		Expect(err).NotTo(HaveOccurred())
		out[i] = &proposal{command: b, answer: make(chan proposalAnswer, 1)}
		n.inbox <- event{proposal: out[i]}
	}

	return out
}

// Guards against a loop that waits for the state, and against answers that don't say what happened to a
// command once applying is no part of the loop.
var _ = ginkgo.Describe("the applier of a replica", func() {
	const jobs, jobBytes = 24, maxQueuedApplyBytes / 8

	ginkgo.It("answers a committed command with its reply although the lead is lost before it is applied", func() {
		tg := newTestGroup(ginkgo.GinkgoT().TempDir(), "a", "b", "c")
		defer tg.stop()
		n := tg.node(tg.leader(""))
		n.mu.RLock()
		before := n.getStatus().Commit
		pr := proposeJobs(n, 1, 100)[0]
		Eventually(func() uint64 { return n.getStatus().Commit }, "5s").Should(BeNumerically(">", before))
		err := n.runOnLoop(context.Background(), func(now time.Duration, re *consensus.Replica) error {
			re.Resign(now)

			return nil
		})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() string { return n.getStatus().Role }, "5s").Should(Equal(consensus.RoleFollower.String()))
		Expect(pr.answer).NotTo(Receive())
		n.mu.RUnlock()

		var an proposalAnswer
		Eventually(pr.answer, "5s").Should(Receive(&an))
		Expect(an.err).NotTo(HaveOccurred())
		Expect(an.reply).NotTo(BeEmpty())
	})

	ginkgo.It("holds back what its queue has no room for while the loop goes on, and applies all of it in order", func() {
		n, cancel, done := startSingleReplica(storage.OSFiles(), ginkgo.GinkgoT().TempDir())
		defer func() {
			cancel()
			Expect(<-done).To(Succeed())
		}()
		n.mu.RLock()
		applied := n.getStatus().Applied
		ps := proposeJobs(n, jobs, jobBytes)
		Eventually(func() uint64 { return n.getStatus().Commit }, "5s").Should(BeNumerically(">=", applied+jobs))
		Expect(n.getStatus().Applied).To(Equal(applied))
		Expect(n.applier.queuedBytes.Load()).To(BeNumerically("<=", maxQueuedApplyBytes))
		ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
		defer stop()
		Expect(n.runOnLoop(ctx, func(time.Duration, *consensus.Replica) error { return nil })).To(Succeed())
		Expect(n.waitApplied(ctx, applied)).To(Succeed(), "what was applied before can be read")
		n.mu.RUnlock()

		for _, p := range ps {
			var an proposalAnswer
			Eventually(p.answer, "5s").Should(Receive(&an))
			Expect(an.err).NotTo(HaveOccurred())
		}
		Expect(n.getStatus().Applied).To(BeNumerically(">=", applied+jobs))
		Expect(jobCount(n)).To(Equal(jobs))
	})

	ginkgo.It("answers what is left when the replica stops, with an unknown outcome", func() {
		n, cancel, done := startSingleReplica(storage.OSFiles(), ginkgo.GinkgoT().TempDir())
		n.mu.RLock()
		applied := n.getStatus().Applied
		ps := proposeJobs(n, jobs, jobBytes)
		Eventually(func() uint64 { return n.getStatus().Commit }, "5s").Should(BeNumerically(">=", applied+jobs))
		cancel()
		Eventually(n.applier.isStopping.Load, "5s").Should(BeTrue())
		Consistently(done, "100ms").ShouldNot(Receive(), "the store stays open while entries are applied")
		n.mu.RUnlock()

		Expect(<-done).To(Succeed())
		unknown := 0
		for _, p := range ps {
			var an proposalAnswer
			Expect(p.answer).To(Receive(&an))
			if an.err == nil {
				continue
			}
			unknown++
			Expect(result.Is(an.err, result.ShuttingDown)).To(BeTrue(), "%v", an.err)
			Expect(result.From(an.err).Execution).To(Equal(result.ExecutionUnknown))
		}
		Expect(unknown).To(Equal(jobs-jobCount(n)), "what was applied was answered so")
	})
})
