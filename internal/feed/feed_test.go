package feed

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/quarantine"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/routing"
	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestSuite(t *testing.T) { suite.Run(t, "feed") }

func server(id string, seq uint64) registry.Status {
	return registry.Status{Record: registry.Record{ID: id, Sequence: seq, State: registry.Ready}}
}

var _ = ginkgo.Describe("the delta that a controller sends", func() {
	ginkgo.It("holds only what changed", func() {
		a := &State{
			Config: &routing.Config{Version: 3}, Versions: map[string]uint64{"m": 2}, Servers: []registry.Status{server("x", 1), server("y", 1)},
		}
		Expect(diff(a, a).isEmpty()).To(BeTrue())

		b := &State{
			Config: &routing.Config{Version: 4}, Versions: map[string]uint64{"m": 2}, Servers: []registry.Status{server("x", 2)},
		}
		de := diff(a, b)
		Expect(de.Config.Version).To(Equal(uint64(4)))
		Expect(de.Versions).To(BeNil())
		Expect(de.Roster).To(BeNil())
		Expect(de.Changed).To(Equal([]registry.Status{server("x", 2)}))
		Expect(de.Removed).To(Equal([]string{"y"}))
	})
})

var _ = ginkgo.Describe("a follower's view", func() {
	ginkgo.It("never goes back, whichever controller lags", func() {
		vi := &View{}
		vi.merge(&stateDelta{Config: &routing.Config{Version: 5}, Versions: map[string]uint64{"m": 4, "n": 1}})
		vi.merge(&stateDelta{Config: &routing.Config{Version: 4}, Versions: map[string]uint64{"m": 3, "n": 2}})
		Expect(vi.Table.Version()).To(Equal(uint64(5)))
		Expect(vi.Versions).To(Equal(map[string]uint64{"m": 4, "n": 2}))
	})

	ginkgo.It("names the leader of the highest term, and retains every store that one controller has reported", func() {
		vi := &View{}
		vi.merge(&stateDelta{Roster: &roster{Stores: []Store{{Name: "a", Leads: true, Term: 3}, {Name: "b", Term: 3}}}})
		vi.merge(&stateDelta{Roster: &roster{Stores: []Store{{Name: "b", Leads: true, Term: 4, Retiring: true}}}})
		Expect(vi.Stores).To(HaveLen(2))
		st, ok := vi.Leader()
		Expect(ok).To(BeTrue())
		Expect(st.Name).To(Equal("b"))
		vi.merge(&stateDelta{Roster: &roster{Stores: []Store{{Name: "a", Leads: true, Term: 3}, {Name: "b", Term: 3}}}})
		st, _ = vi.Leader()
		Expect(st.Name).To(Equal("b"), "a controller that lags reports an old leader")
	})
})

var _ = ginkgo.Describe("the quarantine of a follower", func() {
	ginkgo.It("is that of the controller that applied most, whichever lags or restarts", func() {
		fo := NewFollower(Config{Log: logging.Discard()})
		entry := quarantine.Entry{Crashes: []string{"s/1"}}
		states := []Quarantine{
			{Revision: 4, Entries: map[string]quarantine.Entry{"x": entry}},
			{Revision: 7, Entries: map[string]quarantine.Entry{"x": entry, "y": entry}},
			{Revision: 9, Entries: map[string]quarantine.Entry{"y": entry}},
		}
		send := func(controller string, from, to Quarantine) {
			fo.applyDelta(controller, diff(&State{Quarantine: from}, &State{Quarantine: to}), time.Now())
		}
		send("a", Quarantine{}, states[1])
		send("b", Quarantine{}, states[0])
		Expect(fo.View().Quarantine).To(Equal(states[1]))
		send("b", states[0], states[2])
		Expect(fo.View().Quarantine).To(Equal(states[2]))
		fo.dropController("b")
		send("b", Quarantine{}, states[0])
		send("a", states[1], states[1])
		Expect(fo.View().Quarantine).To(Equal(states[2]))
	})
})
