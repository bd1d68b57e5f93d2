package jobdriver

import (
	"slices"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/job"
	"github.com/tamarackbay/tamarackbay/internal/logging"
)

var _ = ginkgo.Describe("the text of an item", func() {
	// newPartial returns a committed text whose slices have room for more.
	newPartial := func() *job.Partial {
		return &job.Partial{
			Events: append(make([]string, 0, 9), "a", "b"), LastEvent: 2, Versions: append(make([]uint64, 0, 9), 3, 5), Service: "s", Software: "v",
		}
	}

	ginkgo.It("is taken over from the ledger without a copy", func() {
		pa := newPartial()
		Expect(testing.AllocsPerRun(10, func() { _ = newGeneratedText(pa) })).To(BeZero())
	})

	ginkgo.It("is not changed by the runs that continue it, nor by each other", func() {
		pa := newPartial()
		first, second := newGeneratedText(pa), newGeneratedText(pa)
		first.add(3, "x", 4)
		second.add(3, "y", 6)
		Expect(first.events).To(Equal([]string{"a", "b", "x"}))
		Expect(first.versions).To(Equal([]uint64{3, 4, 5}))
		Expect(second.events).To(Equal([]string{"a", "b", "y"}))
		Expect(second.versions).To(Equal([]uint64{3, 5, 6}))
		Expect(pa.Events[:3]).To(Equal([]string{"a", "b", ""}))
		Expect(pa.Versions[:3]).To(Equal([]uint64{3, 5, 0}))
	})

	ginkgo.It("is committed as it was when its progress was queued", func() {
		dr := New(Config{Log: logging.Discard()})
		js := &jobState{id: "j", tasks: map[int]*task{}}
		js.tasks[0] = &task{job: js, phase: running}
		dr.jobs["j"] = js
		te := &generatedText{}
		var want [][]string
		for i := range 50 {
			te.add(uint64(i+1), string(rune('a'+i%26)), uint64(50-i))
			if i%3 == 0 {
				from := te.proposedEvents
				dr.recordProgress(js.tasks[0], te)
				want = append(want, slices.Clone(te.events[from:]))
			}
		}
		for i, events := range want {
			Expect(dr.progress[i].Text.Events).To(Equal(events))
			Expect(dr.progress[i].Text.Versions).To(HaveLen(3*i + 1))
			Expect(slices.IsSorted(dr.progress[i].Text.Versions)).To(BeTrue())
		}
	})
})
