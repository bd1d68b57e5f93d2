package job

import (
	"cmp"
	"maps"
	"slices"
)

// maxRetainedChanges is the number of changes by which a reader may lag behind before it has to look at
// all open jobs again.
const maxRetainedChanges = 4096

// changes holds the jobs that changed last, one for each revision.
type changes struct {
	revision uint64   // of the last change
	jobs     []string // IDs, the last one that of revision
}

// add records a change of a job.
func (ch *changes) add(id string) {
	ch.revision++
	if len(ch.jobs) == 2*maxRetainedChanges {
		ch.jobs = append(ch.jobs[:0], ch.jobs[maxRetainedChanges:]...)
	}
	ch.jobs = append(ch.jobs, id)
}

// Changes returns the IDs of the jobs of the next changes after a revision, at most limit, and the revision
// that they lead to. A job may be among them several times. isKnown is false if changes after the revision
// are no longer known.
func (le *Ledger) Changes(revision uint64, limit int) (ids []string, next uint64, isKnown bool) {
	ch := &le.changes
	if revision > ch.revision || ch.revision-revision > uint64(len(ch.jobs)) {
		return nil, ch.revision, false
	}
	from := len(ch.jobs) - int(ch.revision-revision)
	ids = slices.Clone(ch.jobs[from:min(from+limit, len(ch.jobs))])

	return ids, revision + uint64(len(ids)), true
}

// likeness is what two jobs have in common if one may hold texts of the other's items.
type likeness struct {
	workspace, host, model string
}

func (sp *Spec) likeness() likeness {
	return likeness{workspace: sp.Workspace, host: sp.Host, model: sp.Model}
}

// dueMs returns when the results of a job are due, in Unix milliseconds.
func (jo *Job) dueMs() int64 { return jo.SubmittedMs + jo.Spec.ResultDeadlineMs }

func compareDue(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.dueMs(), b.dueMs()), cmp.Compare(a.Spec.ID, b.Spec.ID))
}

func compareEnd(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.EndedMs, b.EndedMs), cmp.Compare(a.Spec.ID, b.Spec.ID))
}

// index holds the jobs of a ledger in the order in which they are read. Its slices are replaced and
// appended to, but never changed in place, so that a reader may keep them.
type index struct {
	open  []*Job              // by due time
	ended map[likeness][]*Job // by the time of their end
}

func newIndex(jobs map[string]*Job) index {
	in := index{ended: map[likeness][]*Job{}}
	for _, jo := range jobs {
		if jo.IsOpen() {
			in.open = append(in.open, jo)
		} else {
			in.ended[jo.Spec.likeness()] = append(in.ended[jo.Spec.likeness()], jo)
		}
	}
	slices.SortFunc(in.open, compareDue)
	for _, jobs := range in.ended {
		slices.SortFunc(jobs, compareEnd)
	}

	return in
}

// inserted returns jobs with a further one.
func inserted(jobs []*Job, jo *Job, compare func(a, b *Job) int) []*Job {
	i, _ := slices.BinarySearchFunc(jobs, jo, compare)
	if i == len(jobs) {
		return append(jobs, jo)
	}

	return slices.Concat(jobs[:i], []*Job{jo}, jobs[i:])
}

// removed returns jobs without one of them.
func removed(jobs []*Job, jo *Job) []*Job {
	i := slices.Index(jobs, jo)
	if i < 0 {
		return jobs
	}

	return slices.Concat(jobs[:i], jobs[i+1:])
}

// end moves a job that has ended to the ended ones.
func (in *index) end(jo *Job) {
	in.open = removed(in.open, jo)
	in.ended[jo.Spec.likeness()] = inserted(in.ended[jo.Spec.likeness()], jo, compareEnd)
}

// remove removes an ended job.
func (in *index) remove(jo *Job) {
	like := jo.Spec.likeness()
	if in.ended[like] = removed(in.ended[like], jo); len(in.ended[like]) == 0 {
		delete(in.ended, like)
	}
}

// Open returns the open jobs, the one that is due first at the front. The slice may be kept while the ledger
// changes, the jobs may not be read then, but for their IDs.
func (le *Ledger) Open() []*Job { return slices.Clip(le.index.open) }

// EndedLike returns the ended jobs that may hold texts of a job's items, in the order in which they ended.
// They may be read while the ledger changes, as an ended job never does.
func (le *Ledger) EndedLike(sp *Spec) []*Job { return slices.Clip(le.index.ended[sp.likeness()]) }

// Copy returns a copy of the job that may be read while the ledger changes. Texts and bodies are shared with
// the ledger.
func (jo *Job) Copy() *Job {
	if !jo.IsOpen() {
		return jo // an ended job never changes
	}
	out := *jo
	out.Spec.Items, out.Listed = slices.Clone(jo.Spec.Items), slices.Clone(jo.Listed)
	out.Results, out.Partial = slices.Clip(jo.Results), maps.Clone(jo.Partial)

	return &out
}
