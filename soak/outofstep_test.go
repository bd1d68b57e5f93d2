package soak_test

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/program"
	"github.com/tamarackbay/tamarackbay/platform/standin"
)

// Guards against a stream that a gateway out of step joins from two software versions: the backend
// servers of the new version joined, and began streams, while it was frozen or cut off.
var _ = ginkgo.Describe("a gateway that was out of step during a release", func() {
	const streams, events, leftAfter = 24, 12, 4
	for _, tc := range []struct {
		ha     harm
		subnet int
	}{{freeze(program.RoleGateway), 67}, {cutOff(program.RoleGateway), 68}} {
		ginkgo.It("goes on with no stream at another version: "+tc.ha.name, func() {
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			de := startLoaded(ctx, &wg, Config{Folder: filepath.Join(folder, "outofstep-"+tc.ha.name[:3]), Subnet: tc.subnet, Gateways: 2, PlainServers: 2, Engines: 6, Stores: 3, Heartbeat: deployedHeartbeat})
			defer func() {
				cancel()
				wg.Wait()
				Expect(de.close()).To(Succeed())
			}()
			engines := de.servers[2:]
			for _, bs := range engines {
				Expect(bs.Replace("v1")).To(Succeed())
			}
			time.Sleep(2 * deployedHeartbeat)
			out := tc.ha.targets(de)[0]
			other := de.gateways()[1]
			Expect(out.ip).NotTo(Equal(other))

			tc.ha.begin(de, out)
			// Half of them return with the new version, under the same IDs and addresses.
			for _, bs := range engines[:3] {
				Expect(bs.Replace("v2")).To(Succeed())
			}
			time.Sleep(time.Second)
			counts := map[string]int{}
			taken := make([]*standin.Stream, streams)
			for i := range taken {
				st := &standin.Stream{}
				_, _ = de.caller.Take(ctx, other, st, fmt.Sprintf("begun%d", i), events, leftAfter+1) // its client leaves
				Expect(st.Events).NotTo(BeEmpty())
				counts["begun at "+standin.SoftwareOf(st.Events)[0]]++
				taken[i] = st
			}
			Expect(counts["begun at v2"]).To(BeNumerically(">", 0), "%v", counts)
			if tc.ha.name == "frozen" {
				tc.ha.end(de, out) // its first requests meet the view from before
			}
			var each sync.WaitGroup
			for i, st := range taken {
				each.Go(func() {
					_, _ = de.caller.Take(ctx, out.ip, st, fmt.Sprintf("resumed%d", i), events, 0) // may be refused
				})
			}
			each.Wait()
			tc.ha.end(de, out)
			Eventually(func() int {
				an, _ := de.caller.Lookup(ctx, out.ip, "after", false)

				return an.Status
			}, "10s", "50ms").Should(Equal(http.StatusOK))
			for _, st := range taken {
				Expect(standin.SoftwareOf(st.Events)).To(HaveLen(1), "stream %s, resumed %d times: %v", st.ID, st.Resumed, st.Events)
				if st.GoneOn > 0 {
					counts["gone on"]++
				}
				// Refused streams go on once the gateway is in step.
				for try := 0; len(st.Events) < events && try < 50; try++ {
					_, _ = de.caller.Take(ctx, out.ip, st, fmt.Sprintf("again%d-%s", try, st.ID), events, 0)
					Expect(standin.SoftwareOf(st.Events)).To(HaveLen(1), "stream %s: %v", st.ID, st.Events)
					time.Sleep(100 * time.Millisecond)
				}
				if len(st.Events) == events {
					counts["complete"]++
				}
			}
			ginkgo.GinkgoWriter.Printf("%s: %v\n", tc.ha.name, counts)
			Expect(counts["complete"]).To(BeNumerically(">=", streams/2), "%v", counts)
		})
	}

	// Guards against an answer that such a gateway goes on with at another version, without asking.
	for _, tc := range []struct {
		ha     harm
		subnet int
	}{{freeze(program.RoleGateway), 69}, {cutOff(program.RoleGateway), 70}} {
		ginkgo.It("goes on with no answer that broke at another version: "+tc.ha.name, func() {
			const answers, answerEvents = 24, 40
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			de := startLoaded(ctx, &wg, Config{Folder: filepath.Join(folder, "outofstep-within-"+tc.ha.name[:3]), Subnet: tc.subnet, Gateways: 2, PlainServers: 2, Engines: 6, Stores: 3, Heartbeat: deployedHeartbeat})
			defer func() {
				cancel()
				wg.Wait()
				Expect(de.close()).To(Succeed())
			}()
			engines := de.servers[2:]
			for _, bs := range engines {
				Expect(bs.Replace("v1")).To(Succeed())
			}
			time.Sleep(2 * deployedHeartbeat)
			out := tc.ha.targets(de)[0]
			taken := make([]*standin.Stream, answers)
			var each sync.WaitGroup
			for i := range taken {
				taken[i] = &standin.Stream{}
				each.Go(func() {
					_, _ = de.caller.Take(ctx, out.ip, taken[i], fmt.Sprintf("within%d", i), answerEvents, 0)
				})
			}
			time.Sleep(200 * time.Millisecond)
			tc.ha.begin(de, out)
			for _, bs := range engines[:3] {
				Expect(bs.Replace("v2")).To(Succeed())
			}
			time.Sleep(time.Second) // each controller knows them
			tc.ha.end(de, out)
			each.Wait()
			complete := 0
			for _, st := range taken {
				Expect(standin.SoftwareOf(st.Events)).To(HaveLen(1), "stream %s: %v", st.ID, st.Events)
				if len(st.Events) == answerEvents {
					complete++
				}
			}
			ginkgo.GinkgoWriter.Printf("complete: %d of %d\n", complete, answers)
			Expect(complete).To(BeNumerically(">=", answers/2))
		})
	}

	// Guards against an answer of a later incarnation that such a gateway records as one of the version before,
	// and goes on with at that version.
	for _, tc := range []struct {
		ha     harm
		subnet int
	}{{freeze(program.RoleGateway), 73}, {cutOff(program.RoleGateway), 74}} {
		ginkgo.It("goes on with no answer that it began at a later incarnation: "+tc.ha.name, func() {
			const answers, answerEvents, breakAt = 24, 12, 4
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			de := startLoaded(ctx, &wg, Config{Folder: filepath.Join(folder, "outofstep-begun-"+tc.ha.name[:3]), Subnet: tc.subnet, Gateways: 2, PlainServers: 2, Engines: 6, Stores: 3, Heartbeat: deployedHeartbeat})
			defer func() {
				cancel()
				wg.Wait()
				Expect(de.close()).To(Succeed())
			}()
			engines := de.servers[2:]
			for _, bs := range engines {
				Expect(bs.Replace("v1")).To(Succeed())
			}
			time.Sleep(2 * deployedHeartbeat)
			out := tc.ha.targets(de)[0]
			tc.ha.begin(de, out)
			for _, bs := range engines[:3] {
				Expect(bs.Replace("v2")).To(Succeed())
				bs.BreakOff(func(_ string, event int) bool { return event == breakAt })
			}
			time.Sleep(applyWithin + deployedHeartbeat)
			if tc.ha.name == "frozen" {
				tc.ha.end(de, out) // its first requests meet the view from before
			}
			taken := make([]*standin.Stream, answers)
			var each sync.WaitGroup
			for i := range taken {
				taken[i] = &standin.Stream{}
				each.Go(func() {
					_, _ = de.caller.Take(ctx, out.ip, taken[i], fmt.Sprintf("later%d", i), answerEvents, 0)
				})
			}
			each.Wait()
			tc.ha.end(de, out)
			begun, complete := map[string]int{}, 0
			for _, st := range taken {
				if versions := standin.SoftwareOf(st.Events); len(versions) > 0 {
					Expect(versions).To(HaveLen(1), "stream %s: %v", st.ID, st.Events)
					begun[versions[0]]++
				}
				if len(st.Events) == answerEvents {
					complete++
				}
			}
			ginkgo.GinkgoWriter.Printf("%s: begun %v, complete %d of %d\n", tc.ha.name, begun, complete, answers)
			Expect(begun["v1"]).To(BeNumerically(">", 0))
		})
	}
})
