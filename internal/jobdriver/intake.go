package jobdriver

import (
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/job"
)

// maxChangesPerRead bounds the changes of the ledger that are read while its lock is held once.
const maxChangesPerRead = 64

// intake reads the open jobs and their changes from the ledger. Each read takes a time that does not grow
// with the ledger: the changes since the last one, at most maxChangesPerRead, or one open job. Only the
// goroutine of Run uses it.
type intake struct {
	read     func(f func(le *job.Ledger))
	isBegun  bool
	revision uint64                   // up to which changes were read
	taken    map[string]progressOfJob // jobs taken up, by ID
	pending  []string                 // IDs of jobs to be taken up or read again, in this order
}

// progressOfJob is up to where a job that was taken up has been read.
type progressOfJob struct {
	job     *job.Job // that of the ledger, which is not read but while its lock is held
	results int
}

// takenJob is an open job as it was read, with the ended jobs that may hold texts of its items.
type takenJob struct {
	job   *job.Job
	ended []*job.Job
}

// jobChanges is what was read of the ledger.
type jobChanges struct {
	taken  []takenJob       // to be executed from now on
	listed map[string][]int // items whose results were listed, by job
	ended  []string         // IDs of jobs that ended or are gone
}

// reset forgets all jobs.
func (in *intake) reset() {
	in.isBegun, in.revision, in.taken, in.pending = false, 0, map[string]progressOfJob{}, nil
}

// next reads what is next. hasMore reports that further changes or jobs are known that were not read yet.
func (in *intake) next() (ch jobChanges, hasMore bool) {
	ch.listed = map[string][]int{}
	in.read(func(le *job.Ledger) { hasMore = in.readChanges(le, &ch) })
	if len(in.pending) > 0 {
		id := in.pending[0]
		in.pending = in.pending[1:]
		in.read(func(le *job.Ledger) { in.look(le, id, &ch) })
	}

	return ch, hasMore || len(in.pending) > 0
}

// readChanges reads the changes since the last read and reports whether there are more.
func (in *intake) readChanges(le *job.Ledger, ch *jobChanges) bool {
	ids, next, isKnown := le.Changes(in.revision, maxChangesPerRead)
	if !in.isBegun || !isKnown {
		in.isBegun, in.revision, in.pending = true, le.Revision(), nil
		for _, jo := range le.Open() {
			in.pending = append(in.pending, jo.Spec.ID)
		}
		for id := range in.taken {
			if !slices.Contains(in.pending, id) {
				in.pending = append(in.pending, id)
			}
		}

		return false
	}
	in.revision = next
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		if _, isTaken := in.taken[id]; isTaken {
			in.look(le, id, ch)
		} else if jo := le.Jobs()[id]; jo != nil && jo.IsOpen() && !slices.Contains(in.pending, id) {
			in.pending = append(in.pending, id)
		}
	}

	return next < le.Revision()
}

// look reads one job.
func (in *intake) look(le *job.Ledger, id string, ch *jobChanges) {
	jo := le.Jobs()[id]
	pr, isTaken := in.taken[id]
	if isTaken && (jo != pr.job || !jo.IsOpen()) {
		ch.ended = append(ch.ended, id)
		delete(in.taken, id)
		if jo != nil && jo.IsOpen() {
			in.pending = append(in.pending, id) // a later job with the same ID
		}

		return
	}
	if jo == nil || !jo.IsOpen() {
		return
	}
	if isTaken {
		for i := range jo.Results[pr.results:] {
			ch.listed[id] = append(ch.listed[id], jo.Results[pr.results+i].Item)
		}
	} else {
		ch.taken = append(ch.taken, takenJob{job: jo.Copy(), ended: le.EndedLike(&jo.Spec)})
	}
	in.taken[id] = progressOfJob{job: jo, results: len(jo.Results)}
}

// takeUp returns the states of jobs that were read.
func takeUp(taken []takenJob) []*jobState {
	var out []*jobState
	for _, tj := range taken {
		out = append(out, newJobState(tj.job, job.Earlier(tj.ended, &tj.job.Spec)))
	}

	return out
}

// applyChanges takes over what was read of the ledger: new jobs, ended jobs, listed items. The caller holds
// dr.mu.
func (dr *Driver) applyChanges(ch *jobChanges, taken []*jobState) {
	for _, js := range taken {
		js.excess = dr.excessOf(js)
		dr.jobs[js.id] = js
	}
	now := time.Now()
	for id, items := range ch.listed {
		js := dr.jobs[id]
		for _, i := range items {
			if t := js.tasks[i]; t != nil {
				js.timeline.addListed(t, now)
				delete(js.tasks, i)
			}
		}
	}
	for _, id := range ch.ended {
		js := dr.jobs[id]
		dr.cfg.Log.WithFields(js.timeline.fields()).WithFields(log.Fields{
			"job": id, "model": js.model, "unlisted": len(js.tasks), "requiredGroups": js.required,
			"minVersion": js.minVersion,
		}).
			Info("timeline of an ended job")
		js.cancelAll()
		delete(dr.jobs, id)
	}
}
