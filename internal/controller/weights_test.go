package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/registry"
)

// Guards against heartbeats that wait because each of many engines that load weights copies and sorts the
// list of all, under the lock that heartbeats need.
var _ = ginkgo.Describe("the wait until an engine serves a version", func() {
	engine := func(i int, version uint64) registry.Record {
		return registry.Record{ID: fmt.Sprint("e", i), BornMs: 7, Sequence: version, State: registry.Ready, Address: fmt.Sprint("x", i), Models: []registry.Model{{Name: "m", Version: version}}}
	}

	ginkgo.It("looks only at that engine", func() {
		co := &Controller{registry: registry.New(time.Minute)}
		for i := range 300 {
			co.registry.Observe(0, engine(i, 2))
		}
		for _, tc := range []struct {
			name   string
			engine registry.Record
			want   bool
		}{
			{"it serves the version", engine(5, 2), true},
			{"it is not known", engine(301, 2), false},
			{"another incarnation is known", registry.Record{ID: "e5", BornMs: 6}, false},
		} {
			is := false
			allocations := testing.AllocsPerRun(100, func() { is = co.servesVersion(tc.engine, &backend.WeightsOrder{Model: "m", Version: 2}) })
			Expect(is).To(Equal(tc.want), tc.name)
			Expect(allocations).To(BeZero(), tc.name)
		}
		Expect(co.servesVersion(engine(5, 2), &backend.WeightsOrder{Model: "m", Version: 3})).To(BeFalse())
	})
})
