package group

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
)

// Guards against a leader that sends each follower a heartbeat for each read.
var _ = ginkgo.Describe("reads that wait for the loop at the same time", func() {
	const reads = 500

	ginkgo.It("are confirmed by one round of heartbeats, each after it was asked for", func() {
		tg := newTestGroup(ginkgo.GinkgoT().TempDir(), "a", "b", "c")
		defer tg.stop()
		n := tg.node(tg.leader(""))
		submit(n, "before", 100)
		committed := n.getStatus().Commit

		rounds := map[uint64]bool{}
		isWatching, goOn := make(chan struct{}), make(chan struct{})
		n.inbox <- event{call: func(time.Duration, *consensus.Replica) {
			send := n.send
			n.send = func(m consensus.Message) {
				if m.Kind == consensus.MessageAppend {
					rounds[m.Round] = true
				}
				send(m)
			}
			close(isWatching)
			<-goOn
		}}
		<-isWatching
		var answers []chan readAnswer
		for range reads {
			rr := &readRequest{answer: make(chan readAnswer, 1)}
			answers = append(answers, rr.answer)
			n.inbox <- event{read: rr}
		}
		close(goOn)
		for _, answer := range answers {
			var an readAnswer
			Eventually(answer, "5s").Should(Receive(&an))
			Expect(an.err).NotTo(HaveOccurred())
			Expect(an.index).To(BeNumerically(">=", committed))
		}
		var count, waiters int
		Expect(n.runOnLoop(context.Background(), func(time.Duration, *consensus.Replica) error {
			count, waiters = len(rounds), n.readWaiters

			return nil
		})).To(Succeed())
		Expect(count).To(BeNumerically("<", reads/10), "heartbeats that are due are among them")
		Expect(waiters).To(BeZero())
	})

	ginkgo.It("are refused beyond their limit, and all answered when the lead is lost", func() {
		tg := newTestGroup(ginkgo.GinkgoT().TempDir(), "a", "b", "c")
		defer tg.stop()
		n := tg.node(tg.leader(""))
		isBlocked, goOn := make(chan struct{}), make(chan struct{})
		n.inbox <- event{call: func(now time.Duration, re *consensus.Replica) {
			close(isBlocked)
			<-goOn
			n.readWaiters += maxReadWaiters - 2
		}}
		<-isBlocked
		var answers []chan readAnswer
		for range 3 {
			rr := &readRequest{answer: make(chan readAnswer, 1)}
			answers = append(answers, rr.answer)
			n.inbox <- event{read: rr}
		}
		n.inbox <- event{call: func(now time.Duration, re *consensus.Replica) { re.Resign(now) }}
		close(goOn)
		for i, want := range []string{"lead", "lead", "the limit"} {
			var an readAnswer
			Eventually(answers[i], "5s").Should(Receive(&an))
			Expect(an.err).To(MatchError(ContainSubstring(want)))
		}
		var waiters int
		Expect(n.runOnLoop(context.Background(), func(time.Duration, *consensus.Replica) error {
			waiters = n.readWaiters
			n.readWaiters = 0

			return nil
		})).To(Succeed())
		Expect(waiters).To(Equal(maxReadWaiters - 2))
	})
})
