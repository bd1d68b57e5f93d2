package group

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("the watch of a replica's loop", func() {
	ginkgo.It("tells the time without the processor from that of each step", func() {
		now, reported := time.Duration(0), []pause(nil)
		pw := &pauseWatch{now: func() time.Duration { return now }, report: func(p pause) { reported = append(reported, p) }}
		spend := func(d time.Duration) { now += d }

		spend(tickPeriod + 300*time.Millisecond)
		pw.begin()
		spend(10 * time.Millisecond)
		pw.end(stepReceive)
		spend(40 * time.Millisecond)
		pw.end(stepStore)
		spend(20 * time.Millisecond)
		pw.end(stepApply)
		spend(5 * time.Millisecond)
		pw.end(stepStore)
		pw.finish()
		spend(tickPeriod / 2)
		pw.begin()
		pw.finish()

		Expect(reported).To(HaveLen(2))
		Expect(reported[0].waited).To(Equal(300 * time.Millisecond))
		Expect(reported[0].steps[stepReceive]).To(Equal(10 * time.Millisecond))
		Expect(reported[0].steps[stepStore]).To(Equal(45 * time.Millisecond))
		Expect(reported[0].steps[stepApply]).To(Equal(20 * time.Millisecond))
		Expect(reported[0].length()).To(Equal(375 * time.Millisecond))
		Expect(reported[1].length()).To(BeZero(), "an iteration before the next tick follows without a pause")
	})
})
