// Package job holds the ledger of batch jobs: which items a job has, which results
// are listed at which position, and whether the job has ended. A listed position
// never changes. The ledger is part of the replicated state of the job stores.
package job

import (
	"slices"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

// Header is one header of an item's request.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Reward is the request that scores the complete text of an item.
type Reward struct {
	ID   string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	Path string `cbor:"3,keyasint"`
	Body []byte `cbor:"4,keyasint"`
}

// Item is one request of a job.
type Item struct {
	ID      string   `cbor:"1,keyasint"`
	Path    string   `cbor:"2,keyasint"`
	Headers []Header `cbor:"3,keyasint"`
	Body    []byte   `cbor:"4,keyasint"`
	Tokens  int      `cbor:"5,keyasint"` // prompt tokens plus the maximum to be generated
	Group   string   `cbor:"6,keyasint"` // items of a group share their prompt
	Reward  *Reward  `cbor:"7,keyasint"`
	// Expected is the client's estimate of the tokens to be generated, 0 for none.
	Expected int `cbor:"8,keyasint"`
}

// Spec is a job as it was submitted.
type Spec struct {
	ID               string `cbor:"1,keyasint"`
	Workspace        string `cbor:"2,keyasint"`
	Host             string `cbor:"3,keyasint"`
	Step             uint64 `cbor:"4,keyasint"`
	Model            string `cbor:"5,keyasint"`
	MinVersion       uint64 `cbor:"6,keyasint"` // oldest weight version that may write its texts
	TargetGroups     int    `cbor:"7,keyasint"` // number of complete groups that the trainer waits for
	Items            []Item `cbor:"8,keyasint"`
	ResultDeadlineMs int64  `cbor:"9,keyasint"`  // milliseconds from the submission
	MaxQueueMs       int64  `cbor:"10,keyasint"` // milliseconds from the submission after which a waiting item may be aborted, 0 for never
}

// State is the state of a listed result.
type State uint8

// States of a result.
const (
	Completed State = iota + 1
	Aborted
)

// Result is the final outcome of one item.
type Result struct {
	Item     int      `cbor:"1,keyasint"` // index in the job's items
	State    State    `cbor:"2,keyasint"`
	Text     string   `cbor:"3,keyasint"`
	Versions []uint64 `cbor:"4,keyasint"` // weight versions that wrote the text, ascending
	Score    string   `cbor:"5,keyasint"`
}

// Job is a submitted job with its listed results and its progress.
type Job struct {
	Spec        Spec     `cbor:"1,keyasint"`
	SubmittedMs int64    `cbor:"2,keyasint"` // Unix milliseconds by the clock of the leader that accepted it
	EndedMs     int64    `cbor:"3,keyasint"` // Unix milliseconds, 0 while it is open
	Results     []Result `cbor:"4,keyasint"` // by position, in the order in which they were listed
	Listed      []bool   `cbor:"5,keyasint"` // by item: whether its result is listed
	// Partial holds the text generated so far of unlisted items, by item. The next driver
	// resumes from there, and so does a later job with the same items, once this one has ended.
	Partial map[int]Partial `cbor:"6,keyasint,omitempty"`
}

// Partial is the committed beginning of an item's text.
type Partial struct {
	Events    []string `cbor:"1,keyasint"` // data of each event
	LastEvent uint64   `cbor:"2,keyasint"` // number of the last event
	Versions  []uint64 `cbor:"3,keyasint"` // weight versions that wrote it, ascending
	Term      uint64   `cbor:"4,keyasint"` // term of the driver that reported the last event
	Service   string   `cbor:"5,keyasint"` // that wrote it
	Software  string   `cbor:"6,keyasint"` // version of the software that wrote it
}

// IsOpen reports whether the job has not ended yet.
func (jo *Job) IsOpen() bool { return jo.EndedMs == 0 }

// Submit is the command that adds a job.
type Submit struct {
	Spec Spec `cbor:"1,keyasint"`
}

// ListResults is the command that adds results of a job at its next positions.
type ListResults struct {
	Job     string   `cbor:"1,keyasint"`
	Results []Result `cbor:"2,keyasint"`
}

// Progress is the command that records what was generated of items since their last
// recorded progress.
type Progress struct {
	Parts []Part `cbor:"1,keyasint"`
}

// Part is the progress of one item.
type Part struct {
	Job     string  `cbor:"1,keyasint"`
	Item    int     `cbor:"2,keyasint"`
	After   uint64  `cbor:"3,keyasint"` // number of the event before this part, 0 if the text starts or restarts
	Text    Partial `cbor:"4,keyasint"` // the further events; its versions are those of the complete text so far
	IsFirst bool    `cbor:"5,keyasint"` // first part of the item that the driver of this term reports
}

// follows reports whether the part continues the recorded text. Events of two runs
// must not be mixed, even if their numbers are consecutive: a new driver resumes after
// the text that it read, and its first part is valid only if that text is unchanged.
func (pa *Part) follows(old *Partial) bool {
	switch {
	case pa.After == 0:
		return pa.Text.Term >= old.Term
	case pa.After != old.LastEvent:
		return false
	}

	return pa.Text.Term == old.Term || (pa.IsFirst && pa.Text.Term > old.Term)
}

// End is the command that ends a job.
type End struct {
	Job       string `cbor:"1,keyasint"`
	Workspace string `cbor:"2,keyasint"`
}

// Ledger holds all jobs of a group.
type Ledger struct {
	jobs    map[string]*Job
	index   index
	changes changes // all except progress
	uses    uses
}

// RetentionPeriod is how long an ended job stays readable at least, counted from its
// submission. It is longer than the 120 s for which the platform's clients may read
// a job.
const RetentionPeriod = 150 * time.Second

// NewLedger returns the ledger that holds jobs.
func NewLedger(jobs map[string]*Job) *Ledger {
	if jobs == nil {
		jobs = map[string]*Job{}
	}

	return &Ledger{jobs: jobs, index: newIndex(jobs), uses: newUses(jobs)}
}

// Jobs returns all jobs by ID. The caller must not change them.
func (le *Ledger) Jobs() map[string]*Job { return le.jobs }

// Freeze returns a snapshot of the jobs that another goroutine may read while the
// ledger changes. Texts and bodies are shared with the ledger, so it is cheap.
func (le *Ledger) Freeze() map[string]*Job {
	out := make(map[string]*Job, len(le.jobs))
	for id, jo := range le.jobs {
		out[id] = jo.Copy()
	}

	return out
}

const (
	// jobOverhead and itemOverhead are upper bounds, in bytes, for the encoded fields
	// of a job and an item without their texts and bodies.
	jobOverhead  = 512
	itemOverhead = 256
	// openItemBytes is what an item takes beside its texts and bodies until its result is listed, with
	// the state of its run; headerBytes what a header or an event takes.
	openItemBytes = 1024
	headerBytes   = 48
)

// Bytes returns an upper estimate of the memory that an item takes until its result is listed.
func (it *Item) Bytes() int {
	n := openItemBytes + len(it.ID) + len(it.Path) + len(it.Group) + len(it.Body)
	for _, he := range it.Headers {
		n += headerBytes + len(he.Name) + len(he.Value)
	}
	if rw := it.Reward; rw != nil {
		n += itemOverhead + len(rw.ID) + len(rw.Host) + len(rw.Path) + len(rw.Body)
	}

	return n
}

// EncodedBytes returns an upper estimate of the encoded size of a job as it was submitted.
func (sp *Spec) EncodedBytes() int {
	return EncodedBytes(map[string]*Job{sp.ID: {Spec: *sp}})
}

// Bytes returns an upper estimate of the memory that a job takes.
func (sp *Spec) Bytes() int {
	n := jobOverhead + len(sp.ID) + len(sp.Workspace) + len(sp.Host) + len(sp.Model)
	for i := range sp.Items {
		n += sp.Items[i].Bytes()
	}

	return n
}

// EncodedBytes returns an upper estimate of the encoded size of jobs.
func EncodedBytes(jobs map[string]*Job) int {
	n := 0
	for _, jo := range jobs {
		n += jobOverhead
		for i := range jo.Spec.Items {
			it := &jo.Spec.Items[i]
			n += itemOverhead + len(it.Body) + len(it.ID) + len(it.Path) + len(it.Group)
			for _, he := range it.Headers {
				n += len(he.Name) + len(he.Value) + itemOverhead/16
			}
			if it.Reward != nil {
				n += itemOverhead + len(it.Reward.Body)
			}
		}
		for i := range jo.Results {
			n += itemOverhead + len(jo.Results[i].Text)
		}
		for _, pa := range jo.Partial {
			n += itemOverhead
			for _, ev := range pa.Events {
				n += itemOverhead/16 + len(ev)
			}
		}
	}

	return n
}

// Revision returns a number that increases with each change except progress.
func (le *Ledger) Revision() uint64 { return le.changes.revision }

// Submit adds a job unless a job with its ID exists. It is idempotent within a
// workspace.
func (le *Ledger) Submit(su Submit, atMs int64) error {
	le.expire(atMs)
	if jo, ok := le.jobs[su.Spec.ID]; ok {
		if jo.Spec.Workspace != su.Spec.Workspace {
			return result.New(result.StepConflict, "job %s: this ID is in use by another workspace", su.Spec.ID)
		}

		return nil
	}
	jo := &Job{Spec: su.Spec, SubmittedMs: atMs, Listed: make([]bool, len(su.Spec.Items))}
	le.jobs[su.Spec.ID] = jo
	le.index.open = inserted(le.index.open, jo, compareDue)
	le.changes.add(su.Spec.ID)
	le.uses.add(jo, +1)

	return nil
}

// Get returns a job of a workspace.
func (le *Ledger) Get(id, workspace string) (*Job, error) {
	jo, ok := le.jobs[id]
	if !ok || jo.Spec.Workspace != workspace {
		return nil, result.New(result.UnknownStep, "job %s: workspace %q has no such job", id, workspace)
	}

	return jo, nil
}

// ListResults adds results and returns how many were added. An item that is already
// listed keeps its first result, and an ended job accepts none.
func (le *Ledger) ListResults(li ListResults) (added int) {
	jo, ok := le.jobs[li.Job]
	if !ok || !jo.IsOpen() {
		return 0
	}
	for _, re := range li.Results {
		if re.Item < 0 || re.Item >= len(jo.Listed) || jo.Listed[re.Item] {
			continue
		}
		it := &jo.Spec.Items[re.Item]
		le.uses.addSubmitted(jo, -it.Bytes())
		if pa, isBegun := jo.Partial[re.Item]; isBegun {
			le.uses.total -= pa.bytes()
		}
		le.uses.total += it.listedBytes() + re.bytes()

		jo.Listed[re.Item] = true
		// Only the ID and group of a listed item are still needed.
		it.Headers, it.Body, it.Reward = nil, nil, nil
		delete(jo.Partial, re.Item)
		jo.Results = append(jo.Results, re)
		added++
	}
	if added > 0 {
		le.changes.add(li.Job)
	}

	return added
}

// RecordProgress records progress. Parts that neither continue the recorded text nor
// restart it are ignored.
func (le *Ledger) RecordProgress(pr Progress) {
	for _, pa := range pr.Parts {
		jo, ok := le.jobs[pa.Job]
		if !ok || !jo.IsOpen() || pa.Item < 0 || pa.Item >= len(jo.Listed) || jo.Listed[pa.Item] {
			continue
		}
		old, isBegun := jo.Partial[pa.Item]
		if !pa.follows(&old) {
			continue
		}
		if jo.Partial == nil {
			jo.Partial = map[int]Partial{}
		}
		next := pa.Text
		if pa.After > 0 {
			next.Events = slices.Concat(old.Events, next.Events)
		}
		jo.Partial[pa.Item] = next
		le.uses.total += next.bytes()
		if isBegun {
			le.uses.total -= old.bytes()
		}
	}
}

// End ends a job. It is idempotent.
func (le *Ledger) End(en End, atMs int64) error {
	jo, err := le.Get(en.Job, en.Workspace)
	if err != nil {
		return err
	}
	if jo.IsOpen() {
		jo.EndedMs = max(atMs, 1)
		le.index.end(jo)
		le.changes.add(en.Job)
	}
	le.expire(atMs)

	return nil
}

// expire removes ended jobs after RetentionPeriod since their submission, but not before
// half of it has passed since their end.
func (le *Ledger) expire(atMs int64) {
	for id, jo := range le.jobs {
		if !jo.IsOpen() && atMs-jo.SubmittedMs > RetentionPeriod.Milliseconds() && atMs-jo.EndedMs > RetentionPeriod.Milliseconds()/2 {
			delete(le.jobs, id)
			le.index.remove(jo)
			le.changes.add(id)
			le.uses.add(jo, -1)
		}
	}
}
