package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/program"
	"github.com/tamarackbay/tamarackbay/platform/standin"
)

// drainWithin limits the time from an answer that says that its backend server leaves until
// nothing new arrives there: drain_ms of the deployments.
const drainWithin = 2 * time.Second

// shareWork is how long plain requests run so that a new incarnation, without connections, gets its share.
const shareWork = 50 * time.Millisecond

// Guards against new work at a backend server whose answers say that it leaves while its
// heartbeats say that it is ready, when a process that must learn of it is frozen or cut off.
var _ = ginkgo.Describe("a backend server whose answers say that it leaves, with real processes", ginkgo.Ordered, func() {
	var de *deployment
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var plain, engine *standin.BackendServer
	ginkgo.BeforeAll(func() {
		de = startLoaded(ctx, &wg, Config{Folder: filepath.Join(folder, "leaving"), Subnet: 64, PlainServers: 3, Engines: 3, Work: shareWork})
		plain, engine = de.servers[0], de.servers[3]
		randomGateway := func() string { return de.gateways()[rand.IntN(len(de.gateways()))] }
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				_, _ = de.caller.Submit(ctx, randomGateway(), fmt.Sprintf("job%d", i), 4, 10)
				time.Sleep(200 * time.Millisecond)
			}
		})
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				go func() {
					_, _ = de.caller.Take(ctx, randomGateway(), &standin.Stream{}, fmt.Sprintf("stream%d", i), 10, 0)
				}()
				time.Sleep(50 * time.Millisecond)
			}
		})
	})
	ginkgo.AfterAll(func() {
		cancel()
		wg.Wait()
		Expect(de.close()).To(Succeed())
	})

	for _, ha := range harms {
		ginkgo.It(fmt.Sprintf("gets nothing new while each %s in turn is %s, and after it", ha.role, ha.name), func() {
			for _, pr := range ha.targets(de) {
				ha.begin(de, pr)
				plain.Leave()
				engine.Leave()
				time.Sleep(drainWithin + time.Second)
				ha.end(de, pr)
				healed := time.Now()
				time.Sleep(drainWithin + time.Second)
				for _, bs := range []*standin.BackendServer{plain, engine} {
					first, told, late := bs.LeavingKnownAt(drainWithin)
					_, _, lateAfterHealed := bs.LeavingKnownAt(healed.Add(drainWithin).Sub(first))
					ginkgo.GinkgoWriter.Printf("%s %s: %s was asked later than %v after it told the sender by %v, after it told any by %v, later than that after the fault by %v\n",
						pr.ip, ha.name, bs.ID, drainWithin, told, late, lateAfterHealed)
					Expect(first).NotTo(BeZero())
					Expect(lateAfterHealed).To(BeEmpty())
					if ha.role == program.RoleGateway {
						// It can't learn from others of what it was not told itself, and a freeze excuses
						// what it took before it.
						delete(late, pr.ip)
						if ha.name == "frozen" {
							delete(told, pr.ip)
						}
					}
					Expect(told).To(BeEmpty())
					Expect(late).To(BeEmpty())
				}
				began := time.Now()
				for _, bs := range []*standin.BackendServer{plain, engine} {
					Expect(bs.Replace(bs.Software)).To(Succeed())
					Eventually(func() bool {
						arrivals := bs.Arrivals()

						return arrivals[len(arrivals)-1].After(began)
					}, "5s", "10ms").Should(BeTrue(), "the next incarnation of %s gets work", bs.ID)
				}
			}
		})
	}
})
