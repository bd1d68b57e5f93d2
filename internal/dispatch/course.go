package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/apex/log"
)

// course is what became of the items of a job while this process drove it. It is
// logged when the job ends, to tell what a late job waited for.
type course struct {
	items []itemCourse // listed ones, in their order
	runs  map[string]int
}

// itemCourse holds the times of one listed item, from the submission of its job.
type itemCourse struct {
	id                   string
	began, whole, listed time.Duration // first run, text complete, result committed
	runs                 int
	events               int
	last                 string // backend server of the last run
}

// note takes a listed item.
func (cs *course) note(t *task, at time.Time) {
	since := func(u time.Time) time.Duration {
		if u.IsZero() {
			return 0
		}

		return u.Sub(t.job.submitted)
	}
	cs.items = append(cs.items, itemCourse{
		id: t.item.ID, began: since(t.firstBegan), whole: since(t.wholeAt), listed: since(at), runs: t.runs, events: len(t.text.events), last: t.server,
	})
}

// fields describes the course: when parts of the items were listed, how long items
// waited for their first run and for their score, and the slowest one.
func (cs *course) fields() log.Fields {
	fl := log.Fields{"listed": len(cs.items), "runs": cs.runs}
	if len(cs.items) == 0 {
		return fl
	}
	quantiles := func(f func(it *itemCourse) time.Duration) []int64 {
		ds := make([]time.Duration, len(cs.items))
		for i := range cs.items {
			ds[i] = f(&cs.items[i])
		}
		slices.Sort(ds)

		return []int64{ds[len(ds)/2].Milliseconds(), ds[len(ds)*9/10].Milliseconds(), ds[len(ds)-1].Milliseconds()}
	}
	fl["listedMs"] = quantiles(func(it *itemCourse) time.Duration { return it.listed }) // half, nine tenths, all
	fl["beganMs"] = quantiles(func(it *itemCourse) time.Duration { return it.began })
	fl["scoreMs"] = quantiles(func(it *itemCourse) time.Duration { return it.listed - it.whole })
	slowest := slices.MaxFunc(cs.items, func(a, b itemCourse) int { return cmp.Compare(a.listed, b.listed) })
	fl["slowest"] = log.Fields{
		"item": slowest.id, "beganMs": slowest.began.Milliseconds(), "wholeMs": slowest.whole.Milliseconds(), "runs": slowest.runs,
		"events": slowest.events, "server": slowest.last,
	}

	return fl
}
