package jobdriver

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/job"
	"github.com/tamarackbay/tamarackbay/internal/logging"
)

// Checks the rules modelled in spec/progress.pml: the parts of an item are proposed in
// order, and none is proposed after one that may be lost.
var _ = ginkgo.Describe("progress of items", func() {
	var dr *Driver
	var js *jobState
	var mu sync.Mutex
	var commits []job.Progress
	var answer chan error
	ginkgo.BeforeEach(func() {
		commits, answer = nil, make(chan error, 10)
		dr = New(Config{Log: logging.Discard()})
		dr.ctx = context.Background()
		dr.commit = func(_ context.Context, pr job.Progress) error {
			mu.Lock()
			commits = append(commits, pr)
			mu.Unlock()

			return <-answer
		}
		js = &jobState{id: "j", tasks: map[int]*task{}}
		for i := range 2 {
			js.tasks[i] = &task{job: js, index: i, phase: running}
		}
		dr.jobs["j"] = js
	})
	ginkgo.AfterEach(func() { dr.wg.Wait() })
	proposals := func() []job.Progress {
		mu.Lock()
		defer mu.Unlock()

		return append([]job.Progress(nil), commits...)
	}
	flush := func() {
		dr.mu.Lock()
		defer dr.mu.Unlock()
		dr.flushProgress()
	}
	flushed := func() bool {
		dr.mu.Lock()
		defer dr.mu.Unlock()

		return !dr.isFlushing
	}

	ginkgo.It("is proposed in order, one proposal at a time", func() {
		te := &generatedText{}
		te.add(1, "a", 1)
		dr.recordProgress(js.tasks[0], te)
		flush()
		te.add(2, "b", 1)
		dr.recordProgress(js.tasks[0], te)
		flush()
		Eventually(proposals).Should(HaveLen(1))
		Consistently(proposals, "50ms").Should(HaveLen(1))
		answer <- nil
		Eventually(flushed).Should(BeTrue())
		flush()
		answer <- nil
		Eventually(proposals).Should(HaveLen(2))
		Expect(proposals()[1].Parts[0].After).To(Equal(uint64(1)))
	})

	// Guards against a new leader that commits all texts which it took over in one log entry.
	ginkgo.It("of much text is proposed in several proposals, in order", func() {
		const events = 5
		text := strings.Repeat("x", maxProgressBytes/2)
		te := &generatedText{}
		for i := range events {
			te.add(uint64(i+1), text, 1)
			dr.recordProgress(js.tasks[0], te)
		}
		want := []int{2, 4, events} // events after each proposal
		after := uint64(0)
		for i, last := range want {
			flush()
			answer <- nil
			Eventually(flushed).Should(BeTrue())
			Expect(proposals()).To(HaveLen(i + 1))
			for _, pa := range proposals()[i].Parts {
				Expect(pa.After).To(Equal(after))
				after = pa.Text.LastEvent
			}
			Expect(after).To(BeEquivalentTo(last))
		}
		flush()
		Expect(proposals()).To(HaveLen(len(want)))
	})

	ginkgo.It("stops for an item after a lost part and continues for the others", func() {
		lost, other := &generatedText{}, &generatedText{}
		lost.add(1, "a", 1)
		dr.recordProgress(js.tasks[0], lost)
		flush()
		Eventually(proposals).Should(HaveLen(1))
		lost.add(2, "b", 1)
		dr.recordProgress(js.tasks[0], lost) // queued while the first part is in flight
		answer <- errors.New("lost")
		Eventually(flushed).Should(BeTrue())
		lost.add(3, "c", 1)
		dr.recordProgress(js.tasks[0], lost)
		other.add(1, "x", 1)
		dr.recordProgress(js.tasks[1], other)
		flush()
		answer <- nil
		Eventually(proposals).Should(HaveLen(2))
		Expect(proposals()[1].Parts).To(HaveLen(1))
		Expect(proposals()[1].Parts[0].Item).To(Equal(1))
		time.Sleep(10 * time.Millisecond)
		flush()
		Expect(proposals()).To(HaveLen(2))
	})
})
