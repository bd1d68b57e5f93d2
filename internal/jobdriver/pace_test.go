package jobdriver

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestSuite(t *testing.T) { suite.Run(t, "jobdriver") }

func slowOf(pa *paceTracker, at time.Time) []string {
	return pa.classify(at).slow
}

var _ = ginkgo.Describe("classification of backend servers by pace", func() {
	at := time.Unix(1000, 0)
	feed := func(pa *paceTracker, server string, d time.Duration, n int) {
		for range n {
			pa.record(server, d, at)
		}
	}

	ginkgo.It("distinguishes slow backend servers from lagging ones", func() {
		for _, tc := range []struct {
			name      string
			intervals map[string]time.Duration
			want      []string
			lagging   []string
		}{
			{"all equally fast", map[string]time.Duration{"a": 37 * time.Millisecond, "b": 37 * time.Millisecond, "c": 38 * time.Millisecond}, nil, nil},
			{
				"one of three a third slower, as on a mixed set of engines",
				map[string]time.Duration{"a": 37 * time.Millisecond, "b": 37 * time.Millisecond, "c": 49 * time.Millisecond},
				nil,
				[]string{"c"},
			},
			{
				"one slow and one lagging",
				map[string]time.Duration{"a": 37 * time.Millisecond, "b": 37 * time.Millisecond, "c": 49 * time.Millisecond, "d": 110 * time.Millisecond},
				[]string{"d"},
				[]string{"c"},
			},
			{"one slow", map[string]time.Duration{"a": 37 * time.Millisecond, "b": 40 * time.Millisecond, "c": 110 * time.Millisecond}, []string{"c"}, nil},
			{
				"half of them slow",
				map[string]time.Duration{"a": 37 * time.Millisecond, "b": 37 * time.Millisecond, "c": 110 * time.Millisecond, "d": 120 * time.Millisecond},
				[]string{"c", "d"},
				nil,
			},
			{"too few to classify", map[string]time.Duration{"a": 37 * time.Millisecond, "c": 110 * time.Millisecond}, nil, nil},
		} {
			pa := newPaceTracker()
			for server, d := range tc.intervals {
				feed(pa, server, d, 40)
			}
			pc := pa.classify(at)
			Expect(pc.slow).To(Equal(tc.want), tc.name)
			Expect(pc.lagging).To(Equal(tc.lagging), tc.name)
		}
	})

	ginkgo.It("detects a slowdown within half a second of eight runs, and the recovery", func() {
		pa := newPaceTracker()
		for _, server := range []string{"a", "b", "c"} {
			feed(pa, server, 37*time.Millisecond, 100)
		}
		feed(pa, "c", 110*time.Millisecond, 36) // half a second of eight runs with 9 events per second each
		Expect(slowOf(pa, at)).To(Equal([]string{"c"}))
		feed(pa, "c", 37*time.Millisecond, 60)
		Expect(slowOf(pa, at)).To(BeEmpty())
	})

	ginkgo.It("keeps lagging backend servers classified while they get no runs", func() {
		pa := newPaceTracker()
		for server, d := range map[string]time.Duration{"a": 37, "b": 37, "c": 37, "slowerKind": 49, "troubled": 37} {
			feed(pa, server, d*time.Millisecond, 100)
		}
		feed(pa, "troubled", 110*time.Millisecond, 36)
		later := at.Add(time.Minute)
		for _, server := range []string{"a", "b", "c"} {
			for range 100 {
				pa.record(server, 37*time.Millisecond, later)
			}
		}
		pc := pa.classify(later)
		Expect(pc.slow).To(BeEmpty())
		Expect(pc.lagging).To(Equal([]string{"slowerKind"}))
	})

	ginkgo.It("no longer classifies a backend server as slow after paceRetention without runs", func() {
		pa := newPaceTracker()
		for _, server := range []string{"a", "b", "c"} {
			feed(pa, server, 37*time.Millisecond, 100)
		}
		feed(pa, "c", 200*time.Millisecond, 100)
		Expect(slowOf(pa, at.Add(paceRetention+time.Millisecond))).To(BeEmpty())
	})

	// Guards against steps that wait for long texts at the slower engines while fast ones are free:
	// with one of ten fast engines lost, all others once counted as equally fast.
	for _, tc := range []struct {
		pattern string
		fast    int // of 39 engines, the others take 2.2 times as long
	}{{"a quarter of the engines", 10}, {"a quarter of which one is lost", 9}, {"an eighth", 5}} {
		ginkgo.It("distinguishes a minority of fast engines from the others: "+tc.pattern, func() {
			pa := newPaceTracker()
			for i := range 39 {
				d := 55 * time.Millisecond
				if i < tc.fast {
					d = 25 * time.Millisecond
				}
				feed(pa, fmt.Sprint(i), d, 40)
			}
			pc := pa.classify(at)
			Expect(pc.slow).To(BeEmpty())
			Expect(pc.lagging).To(HaveLen(39 - tc.fast))
			Expect(pc.fast).To(BeNumerically("~", 0.025, 0.001))
		})
	}
})
