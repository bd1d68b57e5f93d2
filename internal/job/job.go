// Package job holds the ledger of batch jobs: which items a job has, which results
// are listed at which position, and whether the job has ended. A position, once
// listed, never changes. It is a part of the replicated state of the job stores.
package job

import (
	"maps"
	"slices"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

// Header is one header of an item's request.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Reward is the call that scores a text once it is complete.
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
	Tokens  int      `cbor:"5,keyasint"` // prompt and the most that may be generated
	Group   string   `cbor:"6,keyasint"` // items of a group share their prompt
	Reward  *Reward  `cbor:"7,keyasint"`
	// Expected is the client's guess of the tokens to be generated, 0 where it makes none.
	Expected int `cbor:"8,keyasint"`
}

// Spec is a job as it was submitted.
type Spec struct {
	ID             string `cbor:"1,keyasint"`
	Workspace      string `cbor:"2,keyasint"`
	Host           string `cbor:"3,keyasint"`
	Step           uint64 `cbor:"4,keyasint"`
	Model          string `cbor:"5,keyasint"`
	MinVersion     uint64 `cbor:"6,keyasint"` // oldest weight version that may write its texts
	TargetGroups   int    `cbor:"7,keyasint"` // complete groups that the trainer waits for
	Items          []Item `cbor:"8,keyasint"`
	ResultDeadline int64  `cbor:"9,keyasint"`  // milliseconds from the submission
	MaxQueue       int64  `cbor:"10,keyasint"` // milliseconds after which an item may be given up, 0 for never
}

// State of a listed result.
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

// Job is a job with what is listed of it.
type Job struct {
	Spec        Spec     `cbor:"1,keyasint"`
	SubmittedMs int64    `cbor:"2,keyasint"` // Unix milliseconds, of the leader that took it
	EndedMs     int64    `cbor:"3,keyasint"` // 0 while it is open
	Results     []Result `cbor:"4,keyasint"` // by position
	Listed      []bool   `cbor:"5,keyasint"` // by item
	// Partial holds what was generated so far of items that take long, by item: the
	// next driver goes on from there.
	Partial map[int]Partial `cbor:"6,keyasint,omitempty"`
}

// Partial is the beginning of a text.
type Partial struct {
	Events   []string `cbor:"1,keyasint"` // data of each
	Last     uint64   `cbor:"2,keyasint"` // number of the last event
	Versions []uint64 `cbor:"3,keyasint"` // weight versions that wrote it, ascending
	Term     uint64   `cbor:"4,keyasint"` // of the driver that told its end
}

// IsOpen reports whether the job has not been ended.
func (jo *Job) IsOpen() bool { return jo.EndedMs == 0 }

// Submit adds a job.
type Submit struct {
	Spec Spec `cbor:"1,keyasint"`
}

// List adds results of a job at its next positions.
type List struct {
	Job     string   `cbor:"1,keyasint"`
	Results []Result `cbor:"2,keyasint"`
}

// Progress notes what was generated of items since their last progress.
type Progress struct {
	Parts []Part `cbor:"1,keyasint"`
}

// Part is the progress of one item.
type Part struct {
	Job   string  `cbor:"1,keyasint"`
	Item  int     `cbor:"2,keyasint"`
	After uint64  `cbor:"3,keyasint"` // number of the event before it, 0 for a text begun anew
	Text  Partial `cbor:"4,keyasint"` // further events; its versions are those of the whole text
	First bool    `cbor:"5,keyasint"` // the driver of this term tells of the item for the first time
}

// follows reports whether the part goes on where the text held ends. Events of two
// runs must not be mixed, even where their numbers fit: a driver goes on from what
// it found, and only if that is still all there is.
func (pa *Part) follows(old *Partial) bool {
	switch {
	case pa.After == 0:
		return pa.Text.Term >= old.Term
	case pa.After != old.Last:
		return false
	}

	return pa.Text.Term == old.Term || (pa.First && pa.Text.Term > old.Term)
}

// End ends a job.
type End struct {
	Job       string `cbor:"1,keyasint"`
	Workspace string `cbor:"2,keyasint"`
}

// Ledger holds all jobs of a group.
type Ledger struct {
	jobs     map[string]*Job
	revision uint64 // rises with each change
}

// KeepFor is how long an ended job stays readable, counted from its submission. It
// is above the 120 s for which the platform's clients may read a job.
const KeepFor = 150 * time.Second

// NewLedger returns the ledger that holds jobs.
func NewLedger(jobs map[string]*Job) *Ledger {
	if jobs == nil {
		jobs = map[string]*Job{}
	}

	return &Ledger{jobs: jobs}
}

// Jobs returns all jobs by ID. They must not be changed.
func (le *Ledger) Jobs() map[string]*Job { return le.jobs }

// Freeze returns the jobs as they are now, for another goroutine to read while the
// ledger changes. Texts and bodies are shared, so it takes little time.
func (le *Ledger) Freeze() map[string]*Job {
	out := make(map[string]*Job, len(le.jobs))
	for id, jo := range le.jobs {
		if !jo.IsOpen() {
			out[id] = jo // never changes again

			continue
		}
		c := *jo
		c.Spec.Items, c.Listed = slices.Clone(jo.Spec.Items), slices.Clone(jo.Listed)
		c.Results, c.Partial = slices.Clip(jo.Results), maps.Clone(jo.Partial)
		out[id] = &c
	}

	return out
}

const (
	// jobOverhead and itemOverhead are above what the fields of a job and an item take
	// in an encoding beside their texts and bodies.
	jobOverhead  = 512
	itemOverhead = 256
)

// EncodedBytes estimates the size of jobs in an encoding, from above.
func EncodedBytes(jobs map[string]*Job) int {
	n := 0
	for _, jo := range jobs {
		n += jobOverhead
		for i := range jo.Spec.Items {
			it := &jo.Spec.Items[i]
			n += itemOverhead + len(it.Body)
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

// Revision rises with each change.
func (le *Ledger) Revision() uint64 { return le.revision }

// Submit adds a job, once for each ID.
func (le *Ledger) Submit(su Submit, atMs int64) error {
	le.expire(atMs)
	if jo, ok := le.jobs[su.Spec.ID]; ok {
		if jo.Spec.Workspace != su.Spec.Workspace {
			return result.New(result.StepConflict, "job %s: its ID belongs to another workspace", su.Spec.ID)
		}

		return nil
	}
	le.jobs[su.Spec.ID] = &Job{Spec: su.Spec, SubmittedMs: atMs, Listed: make([]bool, len(su.Spec.Items))}
	le.revision++

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

// List adds results. An item that is listed already keeps its first result, and an
// ended job takes none.
func (le *Ledger) List(li List) (added int) {
	jo, ok := le.jobs[li.Job]
	if !ok || !jo.IsOpen() {
		return 0
	}
	for _, re := range li.Results {
		if re.Item < 0 || re.Item >= len(jo.Listed) || jo.Listed[re.Item] {
			continue
		}
		jo.Listed[re.Item] = true
		// Only the item's name and group matter from now on.
		it := &jo.Spec.Items[re.Item]
		it.Headers, it.Body, it.Reward = nil, nil, nil
		delete(jo.Partial, re.Item)
		jo.Results = append(jo.Results, re)
		added++
	}
	if added > 0 {
		le.revision++
	}

	return added
}

// Note takes progress. What does not follow on the text held here is left out.
func (le *Ledger) Note(pr Progress) {
	for _, pa := range pr.Parts {
		jo, ok := le.jobs[pa.Job]
		if !ok || !jo.IsOpen() || pa.Item < 0 || pa.Item >= len(jo.Listed) || jo.Listed[pa.Item] {
			continue
		}
		old := jo.Partial[pa.Item]
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
	}
}

// End ends a job. Ending it again changes nothing.
func (le *Ledger) End(en End, atMs int64) error {
	jo, err := le.Get(en.Job, en.Workspace)
	if err != nil {
		return err
	}
	if jo.IsOpen() {
		jo.EndedMs = max(atMs, 1)
		jo.Partial = nil
		le.revision++
	}
	le.expire(atMs)

	return nil
}

// expire drops ended jobs that nobody may read any more.
func (le *Ledger) expire(atMs int64) {
	for id, jo := range le.jobs {
		if !jo.IsOpen() && atMs-jo.SubmittedMs > KeepFor.Milliseconds() && atMs-jo.EndedMs > KeepFor.Milliseconds()/2 {
			delete(le.jobs, id)
			le.revision++
		}
	}
}
