package feed

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/permit"
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

var _ = ginkgo.Describe("the delta of many rate limits", func() {
	// measure returns how long a delta takes in which n limits are known and none has changed, the shortest of some.
	measure := func(n int) time.Duration {
		const rounds = 5
		old, next := &State{}, &State{}
		for i := range n {
			li := permit.Limit{Server: registry.Incarnation{ID: fmt.Sprintf("s%06d", i), BornMs: 1}, PerSecond: 4}
			old.Limits, next.Limits = append(old.Limits, li), append(next.Limits, li)
		}
		best := time.Hour
		for range rounds {
			began := time.Now()
			Expect(diff(old, next).isEmpty()).To(BeTrue())
			best = min(best, time.Since(began))
		}

		return best
	}

	ginkgo.It("takes a time that does not grow with their square", func() {
		const few, factor = 200, 32
		Expect(measure(few * factor)).To(BeNumerically("<", measure(few)*factor*factor/4))
	})
})
