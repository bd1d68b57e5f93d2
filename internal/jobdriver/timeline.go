package jobdriver

import (
	"cmp"
	"slices"
	"time"

	"github.com/apex/log"
)

// timeline records when the items of a job progressed while this process executed
// them. It is logged when the job ends and shows what delayed a late job.
type timeline struct {
	items     []itemTimeline // listed items, in the order of their results
	runs      map[string]int
	takenOver int // texts of an earlier job that were continued or used as they were
	tooOld    int // texts of an earlier job whose weight versions are too old
}

// itemTimeline holds the times of one listed item, since the submission of its job.
type itemTimeline struct {
	id                         string
	started, completed, listed time.Duration // first run, text complete, result committed
	runs                       int
	events                     int
	lastServer                 string // ID of the backend server of the last run
}

// addListed adds an item whose result was listed at the given time.
func (tl *timeline) addListed(t *task, at time.Time) {
	since := func(u time.Time) time.Duration {
		if u.IsZero() {
			return 0
		}

		return u.Sub(t.job.submitted)
	}
	tl.items = append(tl.items, itemTimeline{
		id: t.item.ID, started: since(t.firstStartedAt), completed: since(t.completedAt), listed: since(at), runs: t.runs, events: len(t.generated.events), lastServer: t.server,
	})
}

// fields returns the timeline as log fields: quantiles of the times until items were
// listed, until their first run and for their score, and the slowest item.
func (tl *timeline) fields() log.Fields {
	fl := log.Fields{"listed": len(tl.items), "runs": tl.runs, "takenOver": tl.takenOver, "tooOld": tl.tooOld}
	if len(tl.items) == 0 {
		return fl
	}
	quantiles := func(f func(it *itemTimeline) time.Duration) []int64 {
		ds := make([]time.Duration, len(tl.items))
		for i := range tl.items {
			ds[i] = f(&tl.items[i])
		}
		slices.Sort(ds)

		return []int64{ds[len(ds)/2].Milliseconds(), ds[len(ds)*9/10].Milliseconds(), ds[len(ds)-1].Milliseconds()}
	}
	fl["listedMs"] = quantiles(func(it *itemTimeline) time.Duration { return it.listed }) // median, 90th percentile, maximum
	fl["beganMs"] = quantiles(func(it *itemTimeline) time.Duration { return it.started })
	fl["scoreMs"] = quantiles(func(it *itemTimeline) time.Duration { return it.listed - it.completed })
	slowest := slices.MaxFunc(tl.items, func(a, b itemTimeline) int { return cmp.Compare(a.listed, b.listed) })
	fl["slowest"] = log.Fields{
		"item": slowest.id, "beganMs": slowest.started.Milliseconds(), "wholeMs": slowest.completed.Milliseconds(), "runs": slowest.runs,
		"events": slowest.events, "server": slowest.lastServer,
	}

	return fl
}
