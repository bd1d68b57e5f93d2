package registry_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/registry"
)

var _ = ginkgo.Describe("the notices that a controller passes on to another", func() {
	const lapse = 5 * time.Second
	beat := func(i int, born int64, sequence, version uint64) registry.Notice {
		return registry.Notice{Record: registry.Record{
			ID: fmt.Sprint("s", i), BornMs: born, Sequence: sequence, Service: "engines", Address: fmt.Sprint("a", i), Slots: 6, State: registry.Ready,
			Models: []registry.Model{{Name: "m", Version: version}}, Software: "v1",
		}}
	}
	// relay sends what waits from one to the other and returns what was sent.
	relay := func(ob *registry.Outbox, to *registry.Registry, now time.Duration) []registry.Notice {
		sent := ob.Take()
		lacking, _ := to.Receive(now, sent)
		ob.Confirm(sent, lacking)

		return sent
	}

	ginkgo.It("hold the content of a backend server only when it changes: a thousand calm ones", func() {
		ob, to := registry.NewOutbox(), registry.New(lapse)
		for round := range uint64(4) {
			now := time.Duration(round) * time.Second
			for i := range 1000 {
				ob.Add(beat(i, 1, 10+round, 3))
			}
			Expect(ob.IsUrgent()).To(Equal(round == 0))
			full := 0
			for _, no := range relay(ob, to, now) {
				if no.Digest == 0 {
					full++
				}
			}
			Expect(full).To(Equal(map[bool]int{true: 1000}[round == 0]))
		}
		Expect(to.Sweep(7*time.Second)).To(BeEmpty(), "all are alive")
		re, _ := to.Record("s7")
		Expect(re.Sequence).To(BeEquivalentTo(13))
	})

	for _, tc := range []struct {
		name    string
		notices []registry.Notice
		want    func(re registry.Record)
	}{
		{"several heartbeats in a period", []registry.Notice{beat(1, 1, 5, 1), beat(1, 1, 7, 2), beat(1, 1, 6, 1)}, func(re registry.Record) {
			Expect(re.Sequence).To(BeEquivalentTo(7))
			Expect(re.Version("m")).To(BeEquivalentTo(2))
		}},
		{"a heartbeat that a leave notice overtook", []registry.Notice{{Record: registry.Record{ID: "s1", BornMs: 1}, Leaves: true}, beat(1, 1, 9, 1)}, func(re registry.Record) {
			Expect(re.State).To(Equal(registry.Left))
		}},
		{"a late heartbeat of the incarnation before", []registry.Notice{beat(1, 2, 1, 4), beat(1, 1, 99, 1)}, func(re registry.Record) {
			Expect(re.BornMs).To(BeEquivalentTo(2))
			Expect(re.Version("m")).To(BeEquivalentTo(4))
		}},
		{"a new incarnation after one that left", []registry.Notice{{Record: registry.Record{ID: "s1", BornMs: 1}, Leaves: true}, beat(1, 2, 1, 4)}, func(re registry.Record) {
			Expect(re.State).To(Equal(registry.Ready))
		}},
	} {
		ginkgo.It("are the newest of each backend server: "+tc.name, func() {
			ob, to := registry.NewOutbox(), registry.New(lapse)
			for _, no := range tc.notices {
				ob.Add(no)
			}
			Expect(relay(ob, to, 0)).To(HaveLen(1))
			re, _ := to.Record("s1")
			tc.want(re)
		})
	}

	ginkgo.It("bring the content again to a controller that restarted", func() {
		ob, to := registry.NewOutbox(), registry.New(lapse)
		ob.Add(beat(1, 1, 1, 3))
		relay(ob, to, 0)
		to = registry.New(lapse)
		ob.Add(beat(1, 1, 2, 3))
		relay(ob, to, 0)
		_, ok := to.Record("s1")
		Expect(ok).To(BeFalse())
		ob.Add(beat(1, 1, 3, 3))
		Expect(ob.IsUrgent()).To(BeTrue())
		relay(ob, to, 0)
		re, _ := to.Record("s1")
		Expect(re.Version("m")).To(BeEquivalentTo(3))
	})

	ginkgo.It("bring the content again after a message that may be lost", func() {
		ob, to := registry.NewOutbox(), registry.New(lapse)
		ob.Add(beat(1, 1, 1, 3))
		ob.Restore(ob.Take())
		Expect(relay(ob, to, 0)[0].Digest).To(BeZero())
		ob.Add(beat(1, 1, 2, 3))
		ob.Restore(ob.Take())
		Expect(ob.Take()).To(BeEmpty(), "a sign of life is not repeated")
	})

	ginkgo.It("revive a backend server that lapsed, and lead to the same state as heartbeats at every controller", func() {
		for seed := range uint64(50) {
			rnd := rand.New(rand.NewPCG(seed, 3))
			from, to, direct := registry.New(lapse), registry.New(lapse), registry.New(lapse)
			ob := registry.NewOutbox()
			version, sequence, born := map[int]uint64{}, uint64(0), int64(1)
			for step := range 300 {
				now := time.Duration(step) * 100 * time.Millisecond
				i := rnd.IntN(4)
				if rnd.IntN(10) == 0 {
					version[i]++
				}
				if rnd.IntN(60) == 0 {
					born++
				}
				sequence++
				no := beat(i, born, sequence, version[i])
				if rnd.IntN(50) == 0 {
					no = registry.Notice{Record: registry.Record{ID: no.Record.ID, BornMs: born}, Leaves: true}
				}
				for _, rg := range []*registry.Registry{from, direct} {
					rg.Receive(now, []registry.Notice{no})
				}
				ob.Add(no)
				switch rnd.IntN(6) {
				case 0:
					ob.Restore(ob.Take())
				case 1:
					sent := ob.Take()
					to.Receive(now, sent) // the answer is lost
					ob.Restore(sent)
				case 2, 3:
					relay(ob, to, now)
				}
				if rnd.IntN(100) == 0 {
					to = registry.New(lapse)
				}
				from.Sweep(now)
				to.Sweep(now)
				direct.Sweep(now)
			}
			end := 31 * time.Second
			for i := range 4 {
				for range 2 { // a controller that lacks a content asks for it
					sequence++
					no := beat(i, born+1, sequence, 9)
					direct.Receive(end, []registry.Notice{no})
					ob.Add(no)
					relay(ob, to, end)
				}
			}
			to.Sweep(end)
			direct.Sweep(end)
			for i := range 4 {
				a, _ := to.Record(fmt.Sprint("s", i))
				b, _ := direct.Record(fmt.Sprint("s", i))
				Expect(a.Equal(&b)).To(BeTrue(), "seed %d", seed)
				Expect(a.Sequence).To(Equal(b.Sequence), "seed %d", seed)
			}
		}
	})
})
