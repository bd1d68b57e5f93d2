package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/fairshare"
	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/routing"
)

// slots are the slots of a service as a test controls them.
type slots struct {
	mu   sync.Mutex
	free int
}

func (sl *slots) acquire() *balance.Grant {
	sl.mu.Lock()
	defer sl.mu.Unlock()

	if sl.free == 0 {
		return nil
	}
	sl.free--

	return &balance.Grant{}
}

func (sl *slots) release() {
	sl.mu.Lock()
	defer sl.mu.Unlock()

	sl.free++
}

// Guards against a gateway that takes requests until it fails.
var _ = ginkgo.Describe("a request at a process that is short of memory or descriptors", func() {
	ginkgo.It("is refused as not run before anything is done for it", func() {
		in := New(Config{
			Table: func() *routing.Table { return routing.NewTable(&routing.Config{Version: 1}) }, Fresh: func() error { return nil },
			Room:  func() error { return result.New(result.ProcessOverloaded, "short").WithRetryAfter(time.Second) },
			Meter: meter.New(), Log: logging.Discard(),
		})
		err := in.Serve(context.Background(), &Request{Host: "h", Path: "/x", Arrived: time.Now()}, &Sink{})
		Expect(result.Is(err, result.ProcessOverloaded)).To(BeTrue())
		Expect(result.From(err).Execution).To(Equal(result.NotRun))
	})
})

// Guards against a workspace that takes all slots, against requests that wait until their deadline
// only to be refused, and against slots that stay idle while requests wait.
var _ = ginkgo.Describe("requests that wait for a slot", func() {
	var (
		sl   *slots
		wr   *waitingRoom
		mu   sync.Mutex
		wg   sync.WaitGroup
		got  []string // workspaces in the order in which their requests got a slot
		errs map[string]error
	)
	ginkgo.BeforeEach(func() {
		cfg := &Config{Meter: meter.New(), Random: func() float64 { return 0.5 }}
		cfg.Defaults()
		sl, wr, got, errs = &slots{}, newWaitingRoom(cfg), nil, map[string]error{}
	})
	ginkgo.AfterEach(func() {
		wg.Wait()
		Expect(wr.count).To(BeZero())
		Expect(wr.bytes).To(BeZero())
		_, waits, _ := wr.cfg.Shares.Totals(wr.cfg.Now())
		Expect(waits).To(BeZero())
	})
	request := func(workspace string, urgency int) *waitRequest {
		return &waitRequest{
			key: fairshare.Key{Service: "s", Workspace: workspace}, urgency: urgency, work: 0.02, hold: time.Second, bytes: 100, isUsual: true, acquire: sl.acquire,
		}
	}
	waits := func(rq *waitRequest) {
		before := wr.count
		wg.Go(func() {
			gr, err := wr.wait(context.Background(), rq)
			mu.Lock()
			defer mu.Unlock()
			if gr != nil {
				got = append(got, rq.key.Workspace)
			}
			errs[rq.key.Workspace] = err
		})
		Eventually(func() int {
			wr.mu.Lock()
			defer wr.mu.Unlock()

			return wr.count
		}, "1s", "1ms").Should(Equal(before + 1))
	}
	// serve gives n slots one after another.
	serve := func(n int) []string {
		mu.Lock()
		had := len(got)
		mu.Unlock()
		for i := range n {
			sl.release()
			wr.dispatch("s", true)
			Eventually(func() int {
				mu.Lock()
				defer mu.Unlock()

				return len(got)
			}, "1s", "1ms").Should(Equal(had + i + 1))
		}

		return got
	}

	ginkgo.It("of a workspace that floods do not hold up those of others", func() {
		for range 10 {
			waits(request("flood", 1))
		}
		waits(request("a", 1))
		waits(request("b", 1))
		Expect(serve(3)).To(ConsistOf("flood", "a", "b"))
		serve(9)
	})

	ginkgo.It("are served by urgency first", func() {
		waits(request("usual", 1))
		waits(request("urgent", 0))
		Expect(serve(2)).To(Equal([]string{"urgent", "usual"}))
	})

	ginkgo.It("of a workspace above its share at all gateways go after the others, but no slot stays idle", func() {
		wr.cfg.Shares.Begin(0, fairshare.Key{Service: "s", Workspace: "large"})
		re := wr.cfg.Shares.NextReport(wr.cfg.Now())
		Expect(wr.cfg.Shares.Apply(wr.cfg.Now(), &fairshare.Reply{Term: 1, Revision: 1, Sequence: re.Sequence, Shares: []fairshare.Share{
			{Key: fairshare.Key{Service: "s", Workspace: "large"}, Share: 2, Use: 9},
			{Key: fairshare.Key{Service: "s", Workspace: "small"}, Share: 2, Use: 1},
		}})).To(BeTrue())
		waits(request("large", 1))
		waits(request("large", 1))
		waits(request("small", 1))
		waits(request("small", 1))
		Expect(serve(4)).To(Equal([]string{"small", "small", "large", "large"}))
	})

	ginkgo.It("of a workspace that is alone at a service do not count as above its share", func() {
		ke := fairshare.Key{Service: "s", Workspace: "alone"}
		wr.cfg.Shares.Begin(0, ke)
		re := wr.cfg.Shares.NextReport(wr.cfg.Now())
		Expect(wr.cfg.Shares.Apply(wr.cfg.Now(), &fairshare.Reply{Term: 1, Revision: 1, Sequence: re.Sequence, Shares: []fairshare.Share{
			{Key: ke, Share: 9, Use: 9.9},
		}})).To(BeTrue())
		Expect(wr.isOver(ke)).To(BeFalse())
	})

	ginkgo.It("get a slot that became free by a request of another process", func() {
		waits(request("a", 1))
		sl.release()
		Eventually(func() int { mu.Lock(); defer mu.Unlock(); return len(got) }, "200ms", "1ms").Should(Equal(1))
	})

	ginkgo.It("are refused as not run when their hold ends, with the time in which the backlog is done", func() {
		wr.cfg.Backlog = func(string) fairshare.Backlog { return fairshare.Backlog{Waiting: 2, PerSecond: 4} }
		rq := request("a", 1)
		rq.hold = 30 * time.Millisecond
		began := time.Now()
		_, err := wr.wait(context.Background(), rq)
		Expect(time.Since(began)).To(BeNumerically("~", rq.hold, 25*time.Millisecond))
		Expect(result.Is(err, result.QueueFull)).To(BeTrue())
		Expect(result.From(err).Execution).To(Equal(result.NotRun))
		Expect(result.From(err).RetryAfter).To(BeNumerically("~", 625*time.Millisecond, 10*time.Millisecond), "0.5 s and half of the jitter")
	})

	ginkgo.It("are refused at once when their wait is hopeless", func() {
		rq := request("a", 1)
		for range 8 {
			waits(rq)
		}
		sq := wr.queues["s"]
		wr.mu.Lock()
		for n := range 10 { // 0.01 s of work each 100 ms
			sq.queue.RecordServed(wr.cfg.Now()+time.Duration(n)*100*time.Millisecond, 0.01)
		}
		wr.mu.Unlock()
		began := time.Now()
		hopeless := request("a", 1)
		hopeless.hold = 300 * time.Millisecond
		_, err := wr.wait(context.Background(), hopeless)
		Expect(err).To(HaveOccurred())
		Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
	})

	for _, tc := range []struct {
		name  string
		limit func(cfg *Config)
	}{
		{"in number", func(cfg *Config) { cfg.MaxWaiting = 2 }},
		{"in memory", func(cfg *Config) { cfg.MaxWaitingBytes = 250 }},
	} {
		ginkgo.It("are bounded "+tc.name, func() {
			tc.limit(wr.cfg)
			waits(request("a", 1))
			waits(request("b", 1))
			_, err := wr.wait(context.Background(), request("c", 1))
			Expect(result.Is(err, result.QueueFull)).To(BeTrue())
			Expect(result.From(err).RetryAfter).To(BeNumerically(">", 0))
			serve(2)
		})
	}

	ginkgo.It("give back what they took when the client disconnects", func() {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(10*time.Millisecond, cancel)
		_, err := wr.wait(ctx, request("a", 1))
		Expect(err).To(HaveOccurred())
		Expect(wr.isEmpty("s")).To(BeTrue())
	})
})
