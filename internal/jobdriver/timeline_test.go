package jobdriver

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/job"
)

var _ = ginkgo.Describe("the timeline of a job", func() {
	ginkgo.It("reports quantiles and the slowest item", func() {
		at := time.Now()
		js := &jobState{submitted: at, timeline: timeline{runs: map[string]int{"complete": 10, "moved": 1}}}
		for i := range 10 {
			t := &task{job: js, item: job.Item{ID: string(rune('a' + i))}, runs: 1, server: "s", firstStartedAt: at.Add(time.Millisecond)}
			t.completedAt = at.Add(time.Duration(i+1) * 100 * time.Millisecond)
			if i == 9 {
				t.runs, t.firstStartedAt = 2, at.Add(800*time.Millisecond)
			}
			js.timeline.addListed(t, t.completedAt.Add(50*time.Millisecond))
		}
		fl := js.timeline.fields()
		Expect(fl["listed"]).To(Equal(10))
		Expect(fl["listedMs"]).To(Equal([]int64{650, 1050, 1050}))
		Expect(fl["beganMs"]).To(Equal([]int64{1, 800, 800}))
		Expect(fl["scoreMs"]).To(Equal([]int64{50, 50, 50}))
		Expect(fl["slowest"]).To(HaveKeyWithValue("item", "j"))
		Expect(fl["slowest"]).To(HaveKeyWithValue("beganMs", int64(800)))
		Expect(fl["slowest"]).To(HaveKeyWithValue("runs", 2))
	})

	ginkgo.It("reports zero listed items for a job without results", func() {
		Expect((&timeline{}).fields()).To(HaveKeyWithValue("listed", 0))
	})
})
