package feed

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/routing"
	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestSuite(t *testing.T) { suite.Run(t, "feed") }

func server(id string, seq uint64) registry.Status {
	return registry.Status{Record: registry.Record{ID: id, Sequence: seq, State: registry.Ready}}
}

var _ = ginkgo.Describe("what a controller tells", func() {
	ginkgo.It("is only what changed", func() {
		a := &State{
			Config: &routing.Config{Version: 3}, Versions: map[string]uint64{"m": 2}, Servers: []registry.Status{server("x", 1), server("y", 1)},
		}
		Expect(diff(a, a).isEmpty()).To(BeTrue())

		b := &State{
			Config: &routing.Config{Version: 4}, Versions: map[string]uint64{"m": 2}, Servers: []registry.Status{server("x", 2)},
		}
		fr := diff(a, b)
		Expect(fr.Config.Version).To(Equal(uint64(4)))
		Expect(fr.Versions).To(BeNil())
		Expect(fr.Roster).To(BeNil())
		Expect(fr.Changed).To(Equal([]registry.Status{server("x", 2)}))
		Expect(fr.Forgotten).To(Equal([]string{"y"}))
	})
})

var _ = ginkgo.Describe("what a follower knows", func() {
	ginkgo.It("never goes back, whichever controller lags", func() {
		vi := &View{}
		vi.merge(&frame{Config: &routing.Config{Version: 5}, Versions: map[string]uint64{"m": 4, "n": 1}})
		vi.merge(&frame{Config: &routing.Config{Version: 4}, Versions: map[string]uint64{"m": 3, "n": 2}})
		Expect(vi.Table.Version()).To(Equal(uint64(5)))
		Expect(vi.Versions).To(Equal(map[string]uint64{"m": 4, "n": 2}))
	})

	ginkgo.It("names the leader of the highest term, and forgets no store that one controller knows", func() {
		vi := &View{}
		vi.merge(&frame{Roster: &roster{Stores: []Store{{Name: "a", Leads: true, Term: 3}, {Name: "b", Term: 3}}}})
		vi.merge(&frame{Roster: &roster{Stores: []Store{{Name: "b", Leads: true, Term: 4, Retiring: true}}}})
		Expect(vi.Stores).To(HaveLen(2))
		st, ok := vi.Leader()
		Expect(ok).To(BeTrue())
		Expect(st.Name).To(Equal("b"))
		vi.merge(&frame{Roster: &roster{Stores: []Store{{Name: "a", Leads: true, Term: 3}, {Name: "b", Term: 3}}}})
		st, _ = vi.Leader()
		Expect(st.Name).To(Equal("b"), "a controller that lags tells an old leader")
	})
})
