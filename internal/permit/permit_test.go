package permit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/permit"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestPermit(t *testing.T) { suite.Run(t, "permit") }

// cluster is a broker with the holders of several processes on one clock.
type cluster struct {
	now     time.Duration
	random  *rand.Rand
	broker  *permit.Broker
	isDown  bool // no broker answers
	holders []*permit.Holder
	servers []registry.Incarnation
	sent    map[registry.Incarnation][]time.Duration
}

func newCluster(seed uint64, processes, servers int, perSecond float64) *cluster {
	cl := &cluster{
		now: time.Hour, random: rand.New(rand.NewPCG(seed, 0)), broker: permit.NewBroker(), sent: map[registry.Incarnation][]time.Duration{},
	}
	cl.broker.Lead(1)
	for i := range servers {
		cl.servers = append(cl.servers, registry.Incarnation{ID: fmt.Sprint("s", i), BornMs: 1})
	}
	for i := range processes {
		ho := permit.NewHolder(permit.Config{
			Name: fmt.Sprint("g", i), Log: logging.Discard(), Now: func() time.Duration { return cl.now }, Random: cl.random.Float64,
			Processes: func() int { return processes },
			Ask: func(_ context.Context, rq *permit.Request) (permit.Reply, error) {
				if cl.isDown {
					return permit.Reply{}, result.New(result.NoLeader, "no broker")
				}
				rep, _ := cl.broker.Take(cl.now, rq)

				return rep, nil
			},
		})
		cl.holders = append(cl.holders, ho)
		for _, se := range cl.servers {
			ho.Observe(se, cl.now, backend.RateLimit{Kind: backend.RateLimited, PerSecond: perSecond})
		}
	}

	return cl
}

// try sends a request of a process if a permit is to be had, and returns its refusal.
func (cl *cluster) try(process, urgency int) error {
	ho := cl.holders[process]
	if err := ho.Obtain(context.Background(), cl.servers, urgency, 1); err != nil {
		return err
	}
	for _, se := range cl.servers {
		if ho.Allows(se) && ho.Use(se) {
			cl.sent[se] = append(cl.sent[se], cl.now)

			return nil
		}
	}

	return result.New(result.Internal, "a granted permit is not at hand")
}

// most returns the most requests that any backend server got in a window.
func (cl *cluster) most(window time.Duration) int {
	most := 0
	for _, at := range cl.sent {
		for i, from := range at {
			n, _ := slices.BinarySearch(at[i:], from+window)
			most = max(most, n)
		}
	}

	return most
}

const window = 4 * time.Second

// allowed returns the requests that a backend server may get in a window: one and a half
// times what its limit allows, and five more.
func allowed(perSecond float64) int { return int(1.5*perSecond*window.Seconds()) + 5 }

var _ = Describe("the processes that share rate limits", func() {
	for _, tc := range []struct {
		name               string
		processes, servers int
		perSecond          float64
		perProcess         int // requests a second that callers send to each
		minUse             float64
		outages            bool
	}{
		{"use a limit of 4 a second from three gateways", 3, 1, 4, 20, 0.9, false},
		{"use a limit below one request a second of a process", 3, 4, 0.5, 20, 0.9, false},
		{"use limits from many gateways, most of which have little to send", 35, 8, 2, 2, 0.9, false},
		{"use a limit of some hundred a second", 6, 2, 200, 150, 0.9, false},
		{"keep to them while the broker comes and goes", 6, 4, 4, 20, 0, true},
		{"keep to them with many processes while the broker comes and goes", 35, 8, 1, 10, 0, true},
		{"are not starved by a limit far below one in the window", 5, 1, 0.05, 10, 0.5, false},
	} {
		It(tc.name, func() {
			for seed := range uint64(5) {
				cl := newCluster(seed, tc.processes, tc.servers, tc.perSecond)
				const duration = 60 * time.Second
				step, term := time.Second/time.Duration(tc.processes*tc.perProcess), uint64(1)
				for end := cl.now + duration; cl.now < end; cl.now += step {
					if tc.outages && cl.random.Float64() < step.Seconds() {
						if cl.isDown = !cl.isDown; !cl.isDown {
							term++
							cl.broker.Lead(term)
						}
					}
					if err := cl.try(cl.random.IntN(tc.processes), 1); err != nil {
						Expect(result.Is(err, result.ServersLimited)).To(BeTrue(), "%v", err)
						Expect(result.From(err).RetryAfter).To(BeNumerically(">", 0))
					}
				}
				Expect(cl.most(window)).To(BeNumerically("<=", allowed(tc.perSecond)), "seed %d", seed)
				total := 0
				for _, at := range cl.sent {
					total += len(at)
				}
				Expect(float64(total)).To(BeNumerically(">=", tc.minUse*float64(tc.servers)*tc.perSecond*duration.Seconds()), "seed %d", seed)
			}
		})
	}

	It("give the next token to the more urgent request that was refused first", func() {
		cl := newCluster(1, 2, 1, 1)
		served := map[int]int{}
		for range 600 {
			cl.now += 50 * time.Millisecond
			// The less urgent work asks first each time.
			if cl.try(0, 2) == nil {
				served[2]++
			}
			if cl.try(1, 0) == nil {
				served[0]++
			}
		}
		Expect(served[0]).To(BeNumerically(">=", 27))
		Expect(served[2]).To(BeNumerically("<=", 3))
	})

	It("keep the bucket of a backend server that the broker has not heard of, while they ask for it", func() {
		cl := newCluster(1, 1, 1, 4)
		for end := cl.now + 10*time.Second; cl.now < end; cl.now += 50 * time.Millisecond {
			_ = cl.try(0, 1) // most are refused
			cl.broker.Retain(cl.now, func(registry.Incarnation) bool { return false })
		}
		Expect(len(cl.sent[cl.servers[0]])).To(BeNumerically(">=", 36))
		cl.broker.Retain(cl.now+2*time.Minute, func(registry.Incarnation) bool { return false })
		Expect(cl.broker.Limits(cl.now + 2*time.Minute)).To(BeEmpty())
	})

	It("tell callers that are refused one after the other to return one after the other", func() {
		cl := newCluster(1, 1, 1, 4)
		last := time.Duration(0)
		for range 5 {
			er := result.From(cl.try(0, 1))
			Expect(er.RetryAfter).To(BeNumerically(">", last))
			last = er.RetryAfter
		}
		Expect(last).To(BeNumerically("~", 1250*time.Millisecond, 10*time.Millisecond))
	})
})

var _ = Describe("a limit", func() {
	se := registry.Incarnation{ID: "s", BornMs: 1}
	limited := backend.RateLimit{Kind: backend.RateLimited, PerSecond: 2}
	var now time.Duration
	var ho *permit.Holder
	BeforeEach(func() {
		now = time.Hour
		ho = permit.NewHolder(permit.Config{Log: logging.Discard(), Now: func() time.Duration { return now }})
	})
	for _, tc := range []struct {
		name   string
		step   func()
		allows bool
	}{
		{"ends with an answer to a later request that names none", func() { ho.Observe(se, now+1, backend.RateLimit{}) }, true},
		{"does not end with an answer to an earlier request", func() { ho.Observe(se, now-1, backend.RateLimit{}) }, false},
		{"does not end with one that is not a number", func() { ho.Observe(se, now+1, backend.RateLimit{Kind: backend.RateUnreadable}) }, false},
		{"ends with its incarnation", func() { ho.Retain(func(registry.Incarnation) bool { return false }) }, true},
		{"is learned from the broker", func() {
			ho.Observe(se, now+1, backend.RateLimit{})
			ho.Retain(func(registry.Incarnation) bool { return false })
			ho.Apply([]permit.Limit{{Server: se, PerSecond: 1, Revision: 4}})
		}, false},
	} {
		It(tc.name, func() {
			ho.Observe(se, now, limited)
			Expect(ho.Allows(se)).To(BeFalse())
			tc.step()
			Expect(ho.Allows(se)).To(Equal(tc.allows))
		})
	}

	It("follows the newest that the broker published", func() {
		for _, li := range []struct {
			limit  permit.Limit
			allows bool
		}{
			{permit.Limit{Server: se, PerSecond: 1, Revision: 1}, false},
			{permit.Limit{Server: se, IsOver: true, Revision: 3}, true},
			{permit.Limit{Server: se, PerSecond: 1, Revision: 2}, true},
			{permit.Limit{Server: se, PerSecond: 1, Revision: 4}, false},
		} {
			ho.Apply([]permit.Limit{li.limit})
			Expect(ho.Allows(se)).To(Equal(li.allows), "%+v", li.limit)
		}
	})

	It("is asked for again at the broker after a request whose caller has left", func() {
		asked := 0
		ho := permit.NewHolder(permit.Config{Log: logging.Discard(), Ask: func(ctx context.Context, _ *permit.Request) (permit.Reply, error) {
			asked++

			return permit.Reply{Granted: []registry.Incarnation{se}}, ctx.Err()
		}})
		ho.Observe(se, 0, limited)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(result.Is(ho.Obtain(ctx, []registry.Incarnation{se}, 0, 1), result.DeadlinePassed)).To(BeTrue())
		Expect(ho.Allows(se)).To(BeFalse())
		Expect(ho.Obtain(context.Background(), []registry.Incarnation{se}, 0, 1)).To(Succeed())
		Expect(asked).To(Equal(2))
	})

	It("is reported until a broker records it, with its last value", func() {
		var reports [][]permit.Limit
		ctx, cancel := context.WithCancel(context.Background())
		ho := permit.NewHolder(permit.Config{Log: logging.Discard(), Report: func(_ context.Context, limits []permit.Limit) error {
			if reports = append(reports, limits); len(reports) < 2 {
				return result.New(result.NoLeader, "no broker")
			}
			cancel()

			return nil
		}})
		ho.Observe(se, 0, limited)
		ho.Run(ctx)
		Expect(reports).To(HaveLen(2))
		Expect(reports[1]).To(Equal([]permit.Limit{{Server: se, PerSecond: 2}}))
	})
})
