package permit_test

import (
	"context"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/permit"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

// coldCluster is processes that share cold backend servers. Some of them are cut off from the
// broker, which still counts them as followers.
type coldCluster struct {
	now     time.Duration
	random  *rand.Rand
	broker  *permit.Broker
	isDown  bool
	holders []*permit.Holder
	servers []registry.Incarnation
	cold    map[registry.Incarnation]permit.Cold
	sent    map[registry.Incarnation][]time.Duration
}

func newColdCluster(seed uint64, processes, cutOff, servers int, perSecond float64) *coldCluster {
	cl := &coldCluster{
		now: time.Hour, random: rand.New(rand.NewPCG(seed, 1)), broker: permit.NewBroker(),
		cold: map[registry.Incarnation]permit.Cold{}, sent: map[registry.Incarnation][]time.Duration{},
	}
	cl.broker.Lead(1)
	for i := range servers {
		se := registry.Incarnation{ID: string(rune('a' + i)), BornMs: 1}
		cl.servers = append(cl.servers, se)
		cl.cold[se] = permit.Cold{PerSecond: perSecond}
	}
	cl.broker.SetCold(cl.now, cl.cold)
	for i := range processes {
		ho := permit.NewHolder(permit.Config{
			Name: string(rune('A' + i)), Log: logging.Discard(), Now: func() time.Duration { return cl.now }, Random: cl.random.Float64,
			Processes: func() int { return processes },
			Ask: func(_ context.Context, rq *permit.Request) (permit.Reply, error) {
				if cl.isDown || i < cutOff {
					return permit.Reply{}, result.New(result.NoLeader, "no broker")
				}
				rep, _ := cl.broker.Take(cl.now, rq)

				return rep, nil
			},
		})
		ho.SetCold(cl.cold)
		cl.holders = append(cl.holders, ho)
	}

	return cl
}

// step lets one process use a permit that it holds, or ask for up to three.
func (cl *coldCluster) step() {
	ho := cl.holders[cl.random.IntN(len(cl.holders))]
	if cl.random.IntN(2) == 0 {
		_ = ho.Obtain(context.Background(), cl.servers, 0, 1+cl.random.IntN(3))
	}
	for _, se := range cl.servers {
		if ho.Allows(se) && cl.random.IntN(3) > 0 && ho.Use(se) {
			cl.sent[se] = append(cl.sent[se], cl.now)

			return
		}
	}
}

// Guards against cold backend servers that crash because the processes together send more than
// they take, for a moment: the rate holds in each second.
var _ = Describe("the processes that share cold backend servers", func() {
	for _, tc := range []struct {
		name                       string
		processes, cutOff, servers int
		perSecond                  float64
		outages                    bool
		minUse                     float64
	}{
		{"use most of the rate", 34, 0, 1, 10, false, 0.75},
		{"use most of a low rate", 34, 0, 2, 2, false, 0.75},
		{"use most of a high rate", 12, 0, 1, 100, false, 0.75},
		{"keep to it while a third of them is cut off and still counted", 39, 13, 3, 20, false, 0.75},
		{"keep to a low rate while a third of them is cut off and still counted", 39, 13, 3, 3, false, 0.75},
		{"keep to it while the broker comes and goes", 39, 0, 4, 10, true, 0.3},
		{"keep to it while no broker answers", 39, 39, 4, 10, false, 0.4},
		{"keep to it while the broker comes and goes for the others too", 39, 13, 4, 20, true, 0.3},
	} {
		It(tc.name, func() {
			for seed := range uint64(2) {
				cl := newColdCluster(seed, tc.processes, tc.cutOff, tc.servers, tc.perSecond)
				const duration, step = 25 * time.Second, time.Millisecond
				term := uint64(1)
				for end := cl.now + duration; cl.now < end; cl.now += step {
					if tc.outages && cl.random.Float64() < step.Seconds() {
						if cl.isDown = !cl.isDown; !cl.isDown {
							term++
							cl.broker.Lead(term)
						}
					}
					cl.step()
				}
				most, total := 0, 0
				for _, at := range cl.sent {
					total += len(at)
					for i, from := range at {
						n := 0
						for _, t := range at[i:] {
							if t < from+time.Second {
								n++
							}
						}
						most = max(most, n)
					}
				}
				Expect(most).To(BeNumerically("<=", int(1.5*tc.perSecond)+5), "seed %d", seed)
				Expect(float64(total)).To(BeNumerically(">=", tc.minUse*float64(tc.servers)*tc.perSecond*duration.Seconds()), "seed %d", seed)
			}
		})
	}
})

var _ = Describe("a cold backend server", func() {
	se := registry.Incarnation{ID: "s", BornMs: 1}
	var now time.Duration
	var ho *permit.Holder
	BeforeEach(func() {
		now = time.Hour
		ho = permit.NewHolder(permit.Config{Log: logging.Discard(), Now: func() time.Duration { return now }})
	})
	cold := func(perSecond float64, until time.Duration) map[registry.Incarnation]permit.Cold {
		return map[registry.Incarnation]permit.Cold{se: {PerSecond: perSecond, Until: until}}
	}

	for _, tc := range []struct {
		name   string
		step   func()
		allows bool
	}{
		{"needs a permit", func() {}, false},
		{"needs one after an answer that names no limit", func() { ho.Observe(se, now+1, backend.RateLimit{}) }, false},
		{"needs none once it is warm", func() { ho.SetCold(nil) }, true},
		{"needs none after the time at which it is warm at the latest", func() { now += 2 * time.Second }, true},
		{"needs one when it is warm and names a limit", func() {
			ho.Observe(se, now, backend.RateLimit{Kind: backend.RateLimited, PerSecond: 3})
			ho.SetCold(nil)
		}, false},
		{"needs none once it is warm and names a limit no more", func() {
			ho.Observe(se, now, backend.RateLimit{Kind: backend.RateLimited, PerSecond: 3})
			ho.SetCold(nil)
			ho.Observe(se, now+1, backend.RateLimit{})
		}, true},
		{"needs one of its lower rate, whatever it was granted before", func() {
			ho.SetCold(nil)
			ho.Observe(se, now, backend.RateLimit{Kind: backend.RateLimited, PerSecond: 1000})
			Expect(ho.Obtain(context.Background(), []registry.Incarnation{se}, 0, 1)).NotTo(Succeed())
			now += time.Second
			Expect(ho.Obtain(context.Background(), []registry.Incarnation{se}, 0, 1)).To(Succeed())
			Expect(ho.Allows(se)).To(BeTrue())
			ho.SetCold(cold(4, 0))
		}, false},
	} {
		It(tc.name, func() {
			ho.SetCold(cold(4, now+time.Second))
			tc.step()
			Expect(ho.Allows(se)).To(Equal(tc.allows))
		})
	}

	take := func(br *permit.Broker, known permit.Limit) int {
		granted := 0
		for range 100 {
			rep, _ := br.Take(now, &permit.Request{Holder: "g", Count: 4, Limits: []permit.Limit{known}})
			if len(rep.Unlimited) > 0 {
				return -1
			}
			granted += len(rep.Granted)
			now += 10 * time.Millisecond
		}

		return granted
	}

	It("gets the lower of its two rates, and the one that it names once it is warm", func() {
		br := permit.NewBroker()
		br.Lead(1)
		br.SetCold(now, cold(20, 0))
		Expect(take(br, permit.Limit{Server: se})).To(BeNumerically("~", 17, 2))
		br.Report(now, permit.Limit{Server: se, PerSecond: 4})
		now += time.Second
		Expect(take(br, permit.Limit{Server: se})).To(BeNumerically("<=", 6))
		br.SetCold(now, nil)
		Expect(take(br, permit.Limit{Server: se})).To(BeNumerically("~", 4, 2))
		br.Report(now, permit.Limit{Server: se, IsOver: true})
		Expect(take(br, permit.Limit{Server: se})).To(Equal(-1))
	})

	It("is cold in the next term of a broker, and where a process knows it first", func() {
		br := permit.NewBroker()
		br.Lead(1)
		br.SetCold(now, cold(20, 0))
		br.Lead(2)
		Expect(take(br, permit.Limit{Server: se})).To(BeNumerically("~", 17, 2))
		Expect(br.Limits(now)).To(BeEmpty(), "each process knows the cold ones itself")
		br.SetCold(now, nil)
		Expect(take(br, permit.Limit{Server: se})).To(Equal(-1))
		Expect(take(br, permit.Limit{Server: se, PerSecond: 20, IsCold: true})).To(BeNumerically("~", 17, 2))
		br.SetCold(now, nil)
		Expect(take(br, permit.Limit{Server: se})).To(Equal(-1), "this was not a limit that it names")
	})
})
