package jobdriver

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/job"
	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/routing"
	"github.com/tamarackbay/tamarackbay/internal/stepplan"
)

// Guards against a text that is continued by another software version, and against one that
// waits for a version that is not to be had.
var _ = ginkgo.Describe("a begun text", func() {
	ro := &routing.Route{Targets: []routing.Target{{Service: "s", Weight: 1}}}
	server := func(id, software string, st registry.State) registry.Record {
		return registry.Record{ID: id, BornMs: 1, Address: id, Service: "s", Slots: 4, State: st, Software: software}
	}
	v1, v2, draining := server("a", "v1", registry.Ready), server("b", "v2", registry.Ready), server("a", "v1", registry.Draining)
	for _, tc := range []struct {
		name     string
		servers  []registry.Record
		software string // that began the text
		took     time.Duration
		waited   time.Duration
		broken   int
		isKept   bool
	}{
		{"is kept for a backend server of its version", []registry.Record{v1, v2}, "v1", 0, 0, 0, true},
		{"is begun again when no backend server of its version is left", []registry.Record{v2}, "v1", 0, 0, 0, false},
		{"is begun again when the last one of its version drains", []registry.Record{draining, v2}, "v1", 0, 0, 0, false},
		{"is begun again when its version is not known", []registry.Record{v1}, "", 0, 0, 0, false},
		{"is begun again at another version when those of its own have no room for long", []registry.Record{v1, v2}, "v1", 0, 2 * time.Second, 0, false},
		{"is kept while it has waited less than it took to write", []registry.Record{v1, v2}, "v1", 3 * time.Second, 2 * time.Second, 0, true},
		{"is kept however long it waits when there is no other version", []registry.Record{v1}, "v1", 0, 2 * time.Second, 9, true},
		{"is begun again at another version when its own keeps breaking off", []registry.Record{v1, v2}, "v1", 0, 0, 3, false},
	} {
		ginkgo.It(tc.name, func() {
			start := time.Now().Add(-time.Hour)
			ba := balance.New(balance.Config{Now: func() time.Duration { return time.Since(start) }, Random: func(int) int { return 0 }})
			ba.Sync(tc.servers)
			start = start.Add(-time.Hour) // past the slow start of new backend servers
			dr := New(Config{
				Balancer: ba, Log: logging.Discard(), Meter: meter.New(),
				Client: &backend.Client{Send: func(ctx context.Context, _ string, _ *backend.Call) (*backend.Answer, error) {
					<-ctx.Done()

					return nil, ctx.Err()
				}},
			})
			dr.ctx, dr.term = context.Background(), 1
			now := time.Now()
			js := &jobState{id: "j", tasks: map[int]*task{}, timeline: timeline{runs: map[string]int{}}}
			t := &task{job: js, item: job.Item{ID: "i"}, waitingSince: now.Add(-tc.waited), brokenRuns: tc.broken, generated: generatedText{
				events: []string{"x"}, lastEvent: 1, versions: []uint64{1}, service: "s", software: tc.software, took: tc.took,
			}}
			dr.discardUnusable(newPassState(), t, ro, now)
			Expect(t.generated.lastEvent == 1).To(Equal(tc.isKept))

			dr.mu.Lock()
			gr := dr.acquire("s", t, stepplan.PreferFast)
			Expect(gr).NotTo(BeNil())
			if tc.isKept {
				Expect(gr.Record().Software).To(Equal(tc.software))
			}
			dr.start(t, ro, gr)
			t.cancel()
			dr.mu.Unlock()
			dr.wg.Wait()
		})
	}

	ginkgo.It("is never continued at a slot of another version", func() {
		for _, tc := range []struct {
			text generatedText
			ok   bool
		}{
			{generatedText{}, true},
			{generatedText{lastEvent: 1, service: "s", software: "v1"}, true},
			{generatedText{lastEvent: 1, service: "s", software: "v2"}, false},
			{generatedText{lastEvent: 1, service: "other", software: "v1"}, false},
			{generatedText{lastEvent: 1, service: "s"}, false},
		} {
			Expect(tc.text.mayContinueAt(&v1)).To(Equal(tc.ok), "%+v", tc.text)
		}
	})
})
