package feed

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/routing"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// Guards against a process that counts as up to date while the part of it that picks backend servers still has an
// older view.
var _ = ginkgo.Describe("the age of a view that EachView hands on", func() {
	ginkgo.It("is that of the last view that was handled", func() {
		fo := NewFollower(Config{Log: logging.Discard()})
		sent := noState
		receive := func(version uint64) {
			st := &State{Config: &routing.Config{Version: version}, Position: version}
			de := diff(sent, st)
			sent = st
			fo.applyDelta("a", de, time.Now())
			fo.recordContact("a", head{Ping: int64(time.Since(fo.start))}, de, time.Now())
		}
		age := func() time.Duration {
			a, ok := fo.Age()
			Expect(ok).To(BeTrue())

			return a
		}

		begun, proceed := make(chan uint64), make(chan struct{})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		receive(1)
		go func() {
			defer close(done)
			fo.EachView(ctx, func(vi *View) {
				begun <- vi.Table.Version()
				<-proceed
			})
		}()
		Expect(<-begun).To(Equal(uint64(1)))
		proceed <- struct{}{}
		Eventually(age, "1s", "5ms").Should(BeNumerically("<", 50*time.Millisecond))

		const pause = 200 * time.Millisecond
		receive(2)
		Expect(<-begun).To(Equal(uint64(2)))
		time.Sleep(pause)
		Expect(age()).To(BeNumerically(">=", pause), "view 2 is not handled")
		receive(2) // confirms the view that is being handled
		Expect(age()).To(BeNumerically(">=", pause))
		receive(3)
		proceed <- struct{}{}
		Expect(<-begun).To(Equal(uint64(3)))
		time.Sleep(pause)
		Expect(age()).To(And(BeNumerically(">=", pause), BeNumerically("<", 3*pause)), "view 2 is handled, view 3 is not")
		proceed <- struct{}{}
		receive(3)
		Eventually(age, "1s", "5ms").Should(BeNumerically("<", pause))
		receive(3) // nothing new: confirmed at once
		Expect(age()).To(BeNumerically("<", 50*time.Millisecond))

		cancel()
		select {
		case <-begun:
			proceed <- struct{}{}
		case <-done:
		}
		<-done
	})
})

func version(vi *View) uint64 {
	if vi.Table == nil {
		return 0
	}

	return vi.Table.Version()
}

// Guards against a process that serves by its first view before it has handled it: before it knows the backend
// servers, it would answer that there are none.
var _ = ginkgo.Describe("the standing of a follower that has just started", func() {
	ginkgo.It("is confirmed once its first view was handled, and not isolated before", func() {
		const bound = 2 * time.Second
		links := peer.NewLinks(context.Background(), peer.Config{Hello: &wire.Hello{Protocol: peer.ProtocolVersion}})
		defer links.Close()
		fo := NewFollower(Config{Links: links, Log: logging.Discard()})
		fo.following["a"] = func() {}
		Expect(fo.Standing(bound)).To(Equal(Isolated), "no controller was reached yet")

		ctx, cancel := context.WithCancel(context.Background())
		begun, proceed, done := make(chan uint64), make(chan struct{}), make(chan struct{})
		go func() {
			defer close(done)
			fo.EachView(ctx, func(vi *View) {
				begun <- version(vi)
				<-proceed
			})
		}()
		Expect(<-begun).To(BeZero())
		proceed <- struct{}{}
		de := diff(noState, &State{Config: &routing.Config{Version: 1}, Position: 1})
		fo.applyDelta("a", de, time.Now())
		Expect(fo.Standing(bound)).To(Equal(Lagging), "the view is not confirmed")
		fo.recordContact("a", head{Ping: int64(time.Since(fo.start))}, de, time.Now())
		Expect(<-begun).To(Equal(uint64(1)))
		Expect(fo.Standing(bound)).To(Equal(Lagging), "the view is not handled")
		proceed <- struct{}{}
		Eventually(func() Standing { return fo.Standing(bound) }, "1s", "1ms").Should(Equal(Confirmed))
		cancel()
		<-done
	})
})
