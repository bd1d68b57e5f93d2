package jobstore

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/job"
)

// Guards against commits that each wake all readers, and against readers that miss a result.
var _ = ginkgo.Describe("readers that wait for results", func() {
	const items = 10
	var le *job.Ledger
	var mu sync.RWMutex // of the ledger
	var wa *watch
	submit := func(id string) {
		Expect(le.Submit(job.Submit{Spec: job.Spec{ID: id, Workspace: "w", Items: make([]job.Item, items)}}, 1000)).To(Succeed())
	}
	list := func(id string, i int) {
		le.ListResults(job.ListResults{Job: id, Results: []job.Result{{Item: i, State: job.Completed}}})
	}
	isWoken := func(c <-chan struct{}) bool {
		select {
		case <-c:
			return true
		default:
			return false
		}
	}
	ginkgo.BeforeEach(func() {
		le = job.NewLedger(nil)
		submit("a")
		submit("b")
		wa = newWatch(func(f func(le *job.Ledger)) {
			mu.RLock()
			defer mu.RUnlock()
			f(le)
		})
		wa.changed("a")
		wa.look() // from here on the changes are known
		wa.changed("idle")
		wa.look()
	})

	ginkgo.It("are woken by changes of their job only", func() {
		a, b := wa.changed("a"), wa.changed("b")
		for i := range uint64(20) {
			le.RecordProgress(job.Progress{Parts: []job.Part{{Job: "a", Item: 0, After: i, Text: job.Partial{Events: []string{"x"}, LastEvent: i + 1}}}})
			wa.look()
		}
		Expect(isWoken(a) || isWoken(b)).To(BeFalse())
		list("b", 0)
		wa.look()
		Expect(isWoken(a)).To(BeFalse())
		Expect(isWoken(b)).To(BeTrue())
		Expect(le.End(job.End{Job: "a", Workspace: "w"}, 2000)).To(Succeed())
		wa.look()
		Expect(isWoken(a)).To(BeTrue())
	})

	ginkgo.It("are all woken if changes are not known any more", func() {
		a, b := wa.changed("a"), wa.changed("b")
		from, isKnown := le.Revision(), true
		for i := 0; isKnown; i++ {
			submit(fmt.Sprint(i))
			if i%1000 == 0 {
				_, _, isKnown = le.Changes(from, 1)
			}
		}
		wa.look()
		Expect(isWoken(a) && isWoken(b)).To(BeTrue())
	})

	ginkgo.It("are woken after a time in which nobody waited", func() {
		le = job.NewLedger(le.Jobs()) // restored: its revision starts anew
		wa = newWatch(wa.read)
		wa.look()
		list("a", 0)
		wa.look()
		a := wa.changed("a")
		list("a", 1)
		wa.look()
		Expect(isWoken(a)).To(BeTrue())
	})

	ginkgo.It("read each result, whenever they begin to wait", func() {
		const readers = 8
		var applied sync.Map // the channel that the next commit closes
		applied.Store(0, make(chan struct{}))
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		var wg sync.WaitGroup
		defer wg.Wait()
		wg.Go(func() {
			wa.run(ctx, func() <-chan struct{} {
				c, _ := applied.Load(0)

				return c.(chan struct{})
			})
		})
		results := func(id string) int {
			mu.RLock()
			defer mu.RUnlock()

			return len(le.Jobs()[id].Results)
		}
		var got sync.WaitGroup
		for i := range readers {
			id := []string{"a", "b"}[i%2]
			got.Go(func() {
				for n := 0; n < items && ctx.Err() == nil; {
					changed := wa.changed(id)
					if m := results(id); m > n {
						n = m

						continue
					}
					select {
					case <-changed:
					case <-ctx.Done():
					}
				}
			})
		}
		for i := range items {
			for _, id := range []string{"a", "b"} {
				mu.Lock()
				list(id, i)
				c, _ := applied.Swap(0, make(chan struct{}))
				mu.Unlock()
				close(c.(chan struct{}))
				time.Sleep(time.Duration(i%3) * time.Millisecond)
			}
		}
		got.Wait()
		Expect(ctx.Err()).NotTo(HaveOccurred())
		cancel()
	})
})
