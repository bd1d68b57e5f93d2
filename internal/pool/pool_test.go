package pool_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/admission"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/pool"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/suite"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

func TestPool(t *testing.T) {
	suite.Run(t, "pool")
}

// testPool is a pool with a clock that the test moves.
type testPool struct {
	*pool.Pool
	now time.Duration
	seq uint64
}

func newTestPool(servers int) *testPool {
	be := &testPool{now: time.Hour}
	be.Pool = pool.New(pool.Config{
		Name: "m", FailureDomain: "a", Queue: admission.Config{IsFair: true}, Now: func() time.Duration { return be.now }, Meter: meter.New(),
		ReportPeriod: func() time.Duration { return time.Second },
		SequenceOf:   func(v string) uint64 { return map[string]uint64{"v1": 1, "v2": 2}[v] },
	})
	for i := range servers {
		be.AddServer(&wire.Announce{Server: fmt.Sprint("s", i), Incarnation: 1, Model: "m", Slots: 2}, nil)
		be.report(i, "ready", "v1")
	}

	return be
}

func (be *testPool) report(i int, state, version string) {
	be.seq++
	be.ApplyLoad(&wire.Load{Server: fmt.Sprint("s", i), Incarnation: 1, Sequence: be.seq, State: state, Version: version}, 1)
}

func (be *testPool) acquire(rq pool.Request) (*pool.Grant, error) {
	rq.Workspace, rq.Weight, rq.Cost, rq.MaxQueued = "w", 1, 1, 100
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()

	return be.Acquire(ctx, rq)
}

var _ = Describe("a pool", func() {
	It("uses an excluded server when no other one could run the request", func() {
		be := newTestPool(2)
		gr, err := be.acquire(pool.Request{Exclude: []string{"s0"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(gr.Server().Name()).To(Equal("s1"))
		_, err = be.acquire(pool.Request{Exclude: []string{"s0", "s1"}})
		Expect(err).NotTo(HaveOccurred())
	})

	It("refuses a request at once when no server could run it", func() {
		be := newTestPool(1)
		_, err := be.acquire(pool.Request{MinSequence: 2})
		Expect(result.Is(err, result.NoEligibleVersion)).To(BeTrue())
		be.report(0, "draining", "v1")
		_, err = be.acquire(pool.Request{})
		Expect(result.Is(err, result.NoBackendServer)).To(BeTrue())
	})

	It("counts requests refused for lack of a server as demand, for two periods", func() {
		be := newTestPool(0)
		for range 3 {
			_, err := be.acquire(pool.Request{})
			Expect(result.Is(err, result.NoBackendServer)).To(BeTrue())
		}
		Expect(be.Demand().Waiting).To(Equal(3))
		Expect(be.Demand().Waiting).To(Equal(3))
		Expect(be.Demand().Waiting).To(BeZero())
	})

	It("gives a released slot to a waiting request, once", func() {
		be := newTestPool(1)
		first, err := be.acquire(pool.Request{})
		Expect(err).NotTo(HaveOccurred())
		_, err = be.acquire(pool.Request{})
		Expect(err).NotTo(HaveOccurred())
		_, err = be.acquire(pool.Request{})
		Expect(result.Is(err, result.DeadlinePassed)).To(BeTrue(), "both slots are taken")
		done := make(chan error)
		go func() {
			_, err := be.Acquire(context.Background(), pool.Request{Workspace: "w", Weight: 1, Cost: 1, MaxQueued: 10})
			done <- err
		}()
		Eventually(func() int { return be.Demand().Waiting }).Should(Equal(1))
		first.Release(pool.Succeeded)
		first.Release(pool.Succeeded) // has no effect
		Eventually(done).Should(Receive(BeNil()))
		Expect(be.Demand().Running).To(Equal(2))
	})

	It("sends nothing to a silent server, and replaces it by its new incarnation", func() {
		be := newTestPool(1)
		be.now += 5 * time.Second
		be.Sweep()
		_, err := be.acquire(pool.Request{})
		Expect(result.Is(err, result.NoBackendServer)).To(BeTrue())
		be.AddServer(&wire.Announce{Server: "s0", Incarnation: 2, Model: "m", Slots: 2}, nil)
		be.report(0, "ready", "v1") // of the old incarnation
		_, err = be.acquire(pool.Request{})
		Expect(result.Is(err, result.NoBackendServer)).To(BeTrue())
		be.ApplyLoad(&wire.Load{Server: "s0", Incarnation: 2, Sequence: 1, State: "ready", Version: "v1"}, 1)
		_, err = be.acquire(pool.Request{})
		Expect(err).NotTo(HaveOccurred())
	})

	It("requests the complete cache state after a gap in the cache events", func() {
		be := newTestPool(1)
		load := func(seqs ...uint64) bool {
			be.seq++
			lo := &wire.Load{Server: "s0", Incarnation: 1, Sequence: be.seq, State: "ready", Version: "v1"}
			for _, s := range seqs {
				lo.CacheEvents = append(lo.CacheEvents, &wire.CacheEvent{Sequence: s, Prefix: s})
			}

			return be.ApplyLoad(lo, 1)
		}
		Expect(load(1, 2, 3)).To(BeFalse())
		Expect(load(3, 4)).To(BeFalse(), "event 3 is sent again")
		Expect(load(6)).To(BeTrue())
		Expect(load(1, 2)).To(BeFalse(), "the complete state is sent again")
	})
})
