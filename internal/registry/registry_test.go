package registry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestSuite(t *testing.T) { suite.Run(t, "registry") }

func record(id, address string, born int64, seq uint64, state registry.State) registry.Record {
	return registry.Record{
		ID: id, Address: address, BornMs: born, Sequence: seq, Service: "s", FailureDomain: "a", Slots: 4, State: state,
		Models: []registry.Model{{Name: "m", Version: 1}},
	}
}

func alive(rg *registry.Registry) []string {
	var out []string
	for _, st := range rg.All() {
		if !st.IsLapsed && st.Record.State == registry.Ready {
			out = append(out, st.Record.ID)
		}
	}

	return out
}

var _ = ginkgo.Describe("the registry of backend servers", func() {
	const lapse = 4 * time.Second

	ginkgo.It("ignores outdated heartbeats that arrive late or out of order", func() {
		for _, tc := range []struct {
			name  string
			beats []registry.Record
			want  []string
		}{
			{"an older heartbeat of the same incarnation", []registry.Record{
				record("i", "x", 1, 5, registry.Draining), record("i", "x", 1, 4, registry.Ready),
			}, nil},
			{"an ended incarnation whose address another server has taken over", []registry.Record{
				record("j", "x", 9, 1, registry.Ready), record("i", "x", 1, 7, registry.Ready),
			}, []string{"j"}},
			{"a new incarnation under the same ID whose sequence restarts", []registry.Record{
				record("i", "x", 1, 50, registry.Draining), record("i", "x", 9, 1, registry.Ready),
			}, []string{"i"}},
		} {
			rg := registry.New(lapse)
			for _, re := range tc.beats {
				rg.Observe(0, re)
			}
			Expect(alive(rg)).To(Equal(tc.want), tc.name)
		}
	})

	ginkgo.It("does not restore a backend server that has left until it restarts", func() {
		rg := registry.New(lapse)
		rg.Observe(0, record("i", "x", 1, 5, registry.Ready))
		Expect(rg.Leave(0, "i", 0)).To(BeTrue())
		rg.Observe(0, record("i", "x", 1, 6, registry.Ready))
		Expect(alive(rg)).To(BeEmpty())
		Expect(rg.Leave(0, "i", 0)).To(BeFalse())
		rg.Observe(0, record("i", "x", 2, 1, registry.Ready))
		Expect(alive(rg)).To(Equal([]string{"i"}))
	})

	// Guards against a backend server that says in its answers that it leaves, and is taken back
	// after minutes because its heartbeats say that it is ready.
	ginkgo.It("does not restore one that has left while its heartbeats go on", func() {
		rg := registry.New(lapse)
		rg.Observe(0, record("i", "x", 1, 1, registry.Ready))
		rg.Leave(0, "i", 1)
		now := time.Duration(0)
		for seq := uint64(2); now < 10*time.Minute; seq++ {
			now += 10 * time.Second
			rg.Observe(now, record("i", "x", 1, seq, registry.Ready))
			rg.Sweep(now)
			Expect(alive(rg)).To(BeEmpty())
		}
		Expect(rg.Leave(now, "i", 0)).To(BeFalse())
		rg.Observe(now, record("i", "x", 2, 1, registry.Ready))
		Expect(alive(rg)).To(Equal([]string{"i"}))
	})

	ginkgo.It("reports a silent backend server once and restores it at its next heartbeat", func() {
		rg := registry.New(lapse)
		rg.Observe(0, record("i", "x", 1, 5, registry.Ready))
		Expect(rg.Sweep(lapse)).To(BeEmpty())
		Expect(rg.Sweep(lapse + 1)).To(Equal([]string{"i"}))
		Expect(rg.Sweep(lapse + 2)).To(BeEmpty())
		Expect(rg.Observe(lapse+3, record("i", "x", 1, 6, registry.Ready))).To(BeTrue())
		Expect(alive(rg)).To(Equal([]string{"i"}))
	})

	ginkgo.It("keeps its revision and IsLoading at a heartbeat without changes", func() {
		rg := registry.New(lapse)
		rg.Observe(0, record("i", "x", 1, 5, registry.Ready))
		rg.SetLoading("i", 1, true)
		before := rg.Revision()
		Expect(rg.Observe(0, record("i", "x", 1, 6, registry.Ready))).To(BeFalse())
		Expect(rg.Revision()).To(Equal(before))
		Expect(rg.All()[0].Record.IsLoading).To(BeTrue())
	})
})

var _ = ginkgo.Describe("the merged view of several controllers", func() {
	live := func(me *registry.MergedView) []string {
		var out []string
		for _, re := range me.Live() {
			out = append(out, re.ID)
		}

		return out
	}
	status := func(isLapsed bool) []registry.Status {
		return []registry.Status{{Record: record("i", "x", 1, 5, registry.Ready), IsLapsed: isLapsed}}
	}

	ginkgo.It("keeps a backend server alive while any controller receives its heartbeats", func() {
		me := registry.NewMergedView()
		me.Update("a", status(false), nil, true)
		me.Update("b", status(true), nil, true)
		Expect(live(me)).To(Equal([]string{"i"}))
		me.Update("a", status(true), nil, true)
		Expect(live(me)).To(BeEmpty())
	})

	ginkgo.It("retains backend servers while controllers restart, until one is settled", func() {
		me := registry.NewMergedView()
		me.Update("a", status(false), nil, true)
		me.MarkUnreachable("a")
		me.Reset("a")
		Expect(live(me)).To(Equal([]string{"i"}), "no controller is current")
		me.Update("a", nil, nil, false)
		Expect(live(me)).To(Equal([]string{"i"}), "the controller is not settled yet")
		me.Update("a", nil, nil, true)
		Expect(live(me)).To(BeEmpty())
	})

	ginkgo.It("drops a backend server that one controller saw leave, even if another reports it ready", func() {
		me := registry.NewMergedView()
		me.Update("a", []registry.Status{{Record: record("i", "x", 1, 5, registry.Left)}}, nil, true)
		me.Update("b", status(false), nil, true)
		Expect(live(me)).To(BeEmpty())
	})

	ginkgo.It("reports an engine as loading if any controller does", func() {
		me := registry.NewMergedView()
		loading := status(false)
		loading[0].Record.IsLoading = true
		me.Update("a", status(false), nil, true)
		me.Update("b", loading, nil, true)
		Expect(me.Live()[0].IsLoading).To(BeTrue())
		me.Update("b", status(false), nil, true)
		Expect(me.Live()[0].IsLoading).To(BeFalse())
	})

	ginkgo.It("takes a weight version that a controller read from the engine itself before its next heartbeat", func() {
		at := func(sequence, version uint64) []registry.Status {
			st := status(false)
			st[0].Record.Sequence, st[0].Record.Models = sequence, []registry.Model{{Name: "m", Version: version}}

			return st
		}
		me := registry.NewMergedView()
		version := func() uint64 { re := me.Live()[0]; return re.Version("m") }
		me.Update("a", at(5, 2), nil, true)
		me.Update("a", at(5, 3), nil, true)
		Expect(version()).To(BeEquivalentTo(3))
		me.Update("b", at(5, 2), nil, true)
		Expect(version()).To(BeEquivalentTo(3), "the same heartbeat at another controller")
		me.Update("b", at(6, 2), nil, true)
		Expect(version()).To(BeEquivalentTo(2), "a later heartbeat")
	})

	ginkgo.It("is the same whether only what changed is looked at, or everything", func() {
		for seed := range uint64(200) {
			rnd := rand.New(rand.NewPCG(seed, 11))
			views := []*registry.MergedView{registry.NewMergedView(), registry.NewMergedView()}
			for step := range 150 {
				source := fmt.Sprint("c", rnd.IntN(3))
				kind, settled := rnd.IntN(12), rnd.IntN(8) > 0
				var changed []registry.Status
				var forgotten []string
				for range rnd.IntN(3) {
					st := registry.Status{
						Record:   record(fmt.Sprint("i", rnd.IntN(6)), fmt.Sprint("x", rnd.IntN(4)), int64(1+rnd.IntN(3)), uint64(rnd.IntN(20)), registry.State(1+rnd.IntN(3))),
						IsLapsed: rnd.IntN(4) == 0,
					}
					st.Record.IsLoading, st.Record.Models = rnd.IntN(5) == 0, []registry.Model{{Name: "m", Version: uint64(rnd.IntN(3))}}
					changed = append(changed, st)
				}
				if rnd.IntN(4) == 0 {
					forgotten = []string{fmt.Sprint("i", rnd.IntN(6))}
				}
				for _, me := range views {
					switch kind {
					case 0:
						me.MarkUnreachable(source)
					case 1:
						me.Reset(source)
					default:
						me.Update(source, changed, forgotten, settled)
					}
				}
				views[1].Rebuild()
				got, want := views[0].Live(), views[1].Live()
				Expect(len(got)).To(Equal(len(want)), "seed %d step %d", seed, step)
				for i := range want {
					Expect(got[i].Equal(&want[i])).To(BeTrue(), "seed %d step %d", seed, step)
				}
			}
		}
	})

	ginkgo.It("is the same list after a change that another controller has reported before", func() {
		me := registry.NewMergedView()
		me.Update("a", status(false), nil, true)
		first := me.Live()
		Expect(me.Update("b", status(false), nil, true)).To(BeTrue())
		Expect(&me.Live()[0]).To(BeIdenticalTo(&first[0]))
		Expect(me.Update("b", nil, nil, true)).To(BeFalse(), "a message without changes")
	})
})
