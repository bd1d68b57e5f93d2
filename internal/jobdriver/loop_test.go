package jobdriver

import (
	"context"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/logging"
)

var _ = ginkgo.Describe("the time of the next pass", func() {
	// Guards against a pass over all items for each commit, which takes the processor of the leader.
	ginkgo.It("is after a short pause if a slot became free, and after a longer one if there was a commit", func() {
		committed := make(chan struct{})
		close(committed)
		for _, tc := range []struct {
			name     string
			applied  <-chan struct{}
			wake     func(dr *Driver)
			min, max time.Duration
		}{
			{"commit", committed, func(*Driver) {}, commitPause, reconcilePeriod},
			{"progress", nil, (*Driver).wakeSoon, commitPause, reconcilePeriod},
			{"free slot", nil, (*Driver).Wake, wakePause, commitPause},
			{"free slot beside commits", committed, (*Driver).Wake, wakePause, commitPause},
			{"nothing", nil, func(*Driver) {}, reconcilePeriod, time.Second},
		} {
			// The shortest of some waits: each may be held up by other work of the machine.
			shortest := time.Hour
			for range 5 {
				dr := New(Config{Log: logging.Discard()})
				tc.wake(dr)
				start := time.Now()
				dr.awaitPass(context.Background(), tc.applied, 0)
				shortest = min(shortest, time.Since(start))
			}
			Expect(shortest).To(BeNumerically(">=", tc.min), tc.name)
			Expect(shortest).To(BeNumerically("<", tc.max), tc.name)
		}
	})

	ginkgo.It("is not put off when a slot becomes free during the pause after a commit", func() {
		committed := make(chan struct{})
		close(committed)
		dr := New(Config{Log: logging.Discard()})
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range 1000 {
				dr.awaitPass(context.Background(), committed, 0)
			}
		}()
		start := time.Now()
		for isDone := false; !isDone; {
			dr.Wake()
			select {
			case <-done:
				isDone = true
			case <-time.After(10 * time.Microsecond):
			}
		}
		Expect(time.Since(start)).To(BeNumerically("<", 1000*commitPause))
	})

	// Guards against passes over thousands of items that leave a leader no time for the rest of its work.
	for _, hasMore := range []bool{false, true} {
		ginkgo.It(fmt.Sprintf("leaves as much time to other work as the pass took, however often the driver is woken: more is due: %t", hasMore), func() {
			const passes, passTime = 40, 5 * wakePause
			dr := New(Config{Log: logging.Discard()})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			least, n := time.Duration(0), 0
			start := time.Now()
			dr.loop(ctx, func() <-chan struct{} { return nil }, func() bool {
				began := time.Now()
				time.Sleep(passTime)
				dr.Wake()
				if n++; n == passes {
					cancel()

					return hasMore
				}
				took := time.Since(began)
				least += took + min(took, reconcilePeriod)

				return hasMore
			})
			Expect(time.Since(start)).To(BeNumerically(">=", least))
		})
	}

	ginkgo.It("is at once when the driver ends", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		dr := New(Config{Log: logging.Discard()})
		start := time.Now()
		for range 20 {
			dr.awaitPass(ctx, nil, 0)
		}
		Expect(time.Since(start)).To(BeNumerically("<", reconcilePeriod))
	})
})
