package soak_test

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/platform/standin"
)

// The bounds of the requests to a cold backend server: in any window coldOvershoot times what it
// takes, and coldSlack more.
const (
	coldWindow    = time.Second
	coldOvershoot = 1.5
	coldSlack     = 5
)

// Guards against cold backend servers that get more requests than they take while a process that
// holds permits, grants them or uses its own share is frozen or cut off.
var _ = ginkgo.Describe("the rate of cold backend servers, with real processes", ginkgo.Ordered, func() {
	var de *deployment
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	ginkgo.BeforeAll(func() {
		de = startLoaded(ctx, &wg, Config{Folder: filepath.Join(folder, "cold"), Subnet: 63, PlainServers: 2, Engines: 1})
		for _, bs := range de.servers {
			bs.Cool(time.Hour)
		}
		time.Sleep(contactWithin)
	})
	ginkgo.AfterAll(func() {
		cancel()
		wg.Wait()
		Expect(de.close()).To(Succeed())
	})

	for _, ha := range harms {
		ginkgo.It(fmt.Sprintf("holds while each %s in turn is %s, and after it", ha.role, ha.name), func() {
			from := time.Now()
			for _, pr := range ha.targets(de) {
				ha.begin(de, pr)
				time.Sleep(2 * time.Second)
				ha.end(de, pr)
				time.Sleep(1500 * time.Millisecond)
			}
			allowed, total := int(coldOvershoot*standin.ColdPerSecond*coldWindow.Seconds())+coldSlack, 0
			for _, bs := range de.servers {
				if bs.Service != servicePlain {
					continue
				}
				li := standin.Limit{From: from, To: time.Now()}
				most := li.Most(bs.Arrivals(), 0, coldWindow)
				for _, at := range bs.Arrivals() {
					if at.After(from) {
						total++
					}
				}
				ginkgo.GinkgoWriter.Printf("%s: at most %d requests in %v, %d allowed, %d in %v for all\n", bs.ID, most, coldWindow, allowed, total, time.Since(from))
				Expect(most).To(BeNumerically("<=", allowed))
			}
			Expect(total).To(BeNumerically(">", 0))
		})
	}
})
