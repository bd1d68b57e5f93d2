package feed

import (
	"sync/atomic"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/registry"
)

// Guards against heartbeats of backend servers that wait while a large state is encoded for followers: a
// controller publishes under the lock that they need.
var _ = ginkgo.Describe("a state that takes long to encode", func() {
	ginkgo.It("holds up neither the next one nor the pings, and is encoded once", func() {
		sv := NewServer()
		encoding, goOn := make(chan struct{}), make(chan struct{})
		var times atomic.Int32
		sv.encode = func(de *stateDelta) ([]byte, error) {
			if times.Add(1) == 1 {
				close(encoding)
				<-goOn
			}

			return encodeDelta(de)
		}
		first := &State{Servers: []registry.Status{server("a", 1)}}
		sv.Publish(first)
		fo := &sentState{}
		sv.recordSent(fo, noState)
		sent := make(chan *State, 2)
		for range 2 {
			go func() {
				defer ginkgo.GinkgoRecover()
				now, b, _, err := sv.next(noState)
				Expect(err).NotTo(HaveOccurred())
				Expect(b).NotTo(BeEmpty())
				sent <- now
			}()
		}
		Eventually(encoding).Should(BeClosed())

		published := make(chan struct{})
		go func() {
			sv.recordPing(fo)
			sv.Publish(&State{Servers: []registry.Status{server("a", 1), server("b", 1)}})
			close(published)
		}()
		Eventually(published).Should(BeClosed())
		close(goOn)
		states := map[*State]bool{}
		for range 2 {
			var now *State
			Eventually(sent).Should(Receive(&now))
			states[now] = true
		}
		Expect(times.Load()).To(BeEquivalentTo(len(states)))
	})
})
