// Package step holds the ledger of rollouts: the samples of each step, the attempt
// that has won for each sample, and the page that delivers it. The samples are fixed
// when the step is opened. A sample has one winner at a time and is on at
// most one acknowledged page.
package step

import (
	"fmt"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

// State is the state of a sample.
type State uint8

// The states of a sample in their order. A reset returns it to Pending.
const (
	Pending   State = iota // needs an attempt
	Won                    // an attempt has won; the sample is on no page yet
	Paged                  // on a page that is not acknowledged
	Delivered              // on an acknowledged page
)

// Group is a prompt and the number of samples to generate from it.
type Group struct {
	ID          string  `cbor:"1,keyasint" json:"id"`
	Prompt      string  `cbor:"2,keyasint" json:"prompt"`
	Samples     int     `cbor:"3,keyasint" json:"samples"`
	MaxTokens   int     `cbor:"4,keyasint" json:"maxTokens"`
	Temperature float64 `cbor:"5,keyasint" json:"temperature"` // sampling temperature
}

// Sample is one sample of a step.
type Sample struct {
	ID       string   `cbor:"1,keyasint"`
	Group    int      `cbor:"2,keyasint"` // index into the groups of the step
	State    State    `cbor:"3,keyasint"`
	Attempt  uint32   `cbor:"4,keyasint"` // the lowest attempt that may win
	Digest   string   `cbor:"5,keyasint"` // SHA-256 of the payload
	Sequence uint64   `cbor:"6,keyasint"` // of the oldest weight version that generated a part of it
	Holders  []string `cbor:"7,keyasint"` // peer addresses of the gateways that hold the payload
}

// Page lists the samples that are delivered together.
type Page struct {
	Number  uint64   `cbor:"1,keyasint"`
	Samples []int    `cbor:"2,keyasint"` // indexes into the samples of the step
	Digests []string `cbor:"3,keyasint"` // of the payloads, in the order of Samples
	Acked   bool     `cbor:"4,keyasint"`
}

// Step is one step of a trainer with its samples and pages.
type Step struct {
	ID         string   `cbor:"1,keyasint"`
	Workspace  string   `cbor:"2,keyasint"`
	Trainer    string   `cbor:"3,keyasint"`
	Model      string   `cbor:"4,keyasint"`
	Digest     string   `cbor:"5,keyasint"` // of the request that opened it
	Staleness  uint64   `cbor:"6,keyasint"` // how many weight versions a sample may lag behind the newest
	MinVersion uint64   `cbor:"7,keyasint"` // lowest eligible weight version
	DeadlineMs int64    `cbor:"8,keyasint"` // Unix time
	Groups     []Group  `cbor:"9,keyasint"`
	Samples    []Sample `cbor:"10,keyasint"`
	Pages      []Page   `cbor:"11,keyasint"` // only the last one may be unacknowledged
	Driver     string   `cbor:"12,keyasint"` // process that runs the attempts
	OpenedMs   int64    `cbor:"13,keyasint"` // Unix time
	DoneMs     int64    `cbor:"14,keyasint"` // Unix time; 0 until all samples are delivered
}

// Key returns the key of the step in the ledger.
func (st *Step) Key() string { return Key(st.Workspace, st.ID) }

// Key returns the key of a workspace's step in the ledger.
func Key(workspace, id string) string { return workspace + "/" + id }

// OpenStep is the command that opens a step.
type OpenStep struct {
	Step Step `cbor:"1,keyasint"`
}

// Win reports that an attempt of a sample has completed.
type Win struct {
	Sample   int      `cbor:"1,keyasint"` // index into the samples of the step
	Attempt  uint32   `cbor:"2,keyasint"`
	Digest   string   `cbor:"3,keyasint"`
	Sequence uint64   `cbor:"4,keyasint"`
	Holders  []string `cbor:"5,keyasint"`
}

// Wins is the command that commits wins of one step.
type Wins struct {
	Key  string `cbor:"1,keyasint"`
	Wins []Win  `cbor:"2,keyasint"`
}

// FormPage is the command that forms or returns page Number, with at most Max samples.
type FormPage struct {
	Key    string `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
	Max    int    `cbor:"3,keyasint"`
}

// AckPage is the command that acknowledges a page for the trainer.
type AckPage struct {
	Key    string `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// ResetLost is the command that resets samples whose payload no holder has any more.
type ResetLost struct {
	Key     string   `cbor:"1,keyasint"`
	Samples []int    `cbor:"2,keyasint"` // indexes into the samples of the step
	Digests []string `cbor:"3,keyasint"` // of the lost payloads, in the order of Samples
}

// ChangeDriver is the command that changes the driver of a step from From to To.
type ChangeDriver struct {
	Key  string `cbor:"1,keyasint"`
	From string `cbor:"2,keyasint"`
	To   string `cbor:"3,keyasint"`
}

// PageReply is the reply to FormPage and AckPage.
type PageReply struct {
	Number    uint64   `cbor:"1,keyasint"`
	Samples   []Sample `cbor:"2,keyasint"`
	Remaining int      `cbor:"3,keyasint"` // number of samples that are on no page yet
	Stale     int      `cbor:"4,keyasint"` // number of samples reset as their weight version was too old
	Driver    string   `cbor:"5,keyasint"`
}

// Ledger holds the steps of a consensus group.
type Ledger struct {
	steps map[string]*Step
}

// retentionMs is how long a step is retained after its end and its deadline, so that
// repeated requests get the same reply.
const retentionMs = 10 * 60 * 1000

// NewLedger returns a ledger of the given steps by key. It takes over the map.
func NewLedger(steps map[string]*Step) *Ledger {
	if steps == nil {
		steps = map[string]*Step{}
	}

	return &Ledger{steps: steps}
}

// Steps returns all steps; they must not be changed.
func (le *Ledger) Steps() map[string]*Step { return le.steps }

// Get returns a step of the ledger.
func (le *Ledger) Get(key string) (*Step, error) {
	st, ok := le.steps[key]
	if !ok {
		return nil, result.New(result.UnknownStep, "step %s is not open or has expired", key)
	}

	return st, nil
}

// Open adds a step. A step that was opened before with the same digest is returned
// as it is; one with another digest is an error.
func (le *Ledger) Open(op OpenStep, atMs int64) (*Step, error) {
	le.removeExpired(atMs)
	if st, ok := le.steps[op.Step.Key()]; ok {
		if st.Digest != op.Step.Digest {
			return nil, result.New(result.StepConflict, "step %s was opened before with other content", st.Key())
		}

		return st, nil
	}

	st := op.Step
	st.OpenedMs = atMs
	st.Samples = nil
	for g, gr := range st.Groups {
		for i := range gr.Samples {
			st.Samples = append(st.Samples, Sample{ID: fmt.Sprintf("%s.%s.%d", st.ID, gr.ID, i), Group: g, Attempt: 1})
		}
	}
	le.steps[st.Key()] = &st

	return &st, nil
}

// removeExpired removes the steps whose retention has ended.
func (le *Ledger) removeExpired(atMs int64) {
	for k, st := range le.steps {
		end := max(st.DoneMs, st.DeadlineMs)
		if atMs > end+retentionMs {
			delete(le.steps, k)
		}
	}
}

// Wins commits wins and returns the indexes of the samples that accepted one. A
// sample that has a winner keeps it.
func (le *Ledger) Wins(wi Wins) ([]int, error) {
	st, err := le.Get(wi.Key)
	if err != nil {
		return nil, err
	}

	var taken []int
	for _, w := range wi.Wins {
		if w.Sample < 0 || w.Sample >= len(st.Samples) {
			return nil, result.New(result.SampleNotAccepted, "step %s has no sample with index %d", wi.Key, w.Sample)
		}

		sa := &st.Samples[w.Sample]
		if sa.State != Pending || w.Attempt < sa.Attempt {
			continue
		}
		sa.State, sa.Attempt = Won, w.Attempt
		sa.Digest, sa.Sequence, sa.Holders = w.Digest, w.Sequence, w.Holders
		taken = append(taken, w.Sample)
	}

	return taken, nil
}

// reset returns a sample to Pending and requires a new attempt.
func (sa *Sample) reset() {
	sa.State, sa.Digest, sa.Holders = Pending, "", nil
	sa.Attempt++
}

// FormPage forms page fp.Number, or returns it if it was formed before. This is where
// the staleness of each sample is checked, against latest, the newest weight version.
func (le *Ledger) FormPage(fp FormPage, latest uint64, atMs int64) (PageReply, error) {
	st, err := le.Get(fp.Key)
	if err != nil {
		return PageReply{}, err
	}

	n := uint64(len(st.Pages))
	switch {
	case fp.Number == 0:
		return PageReply{}, result.New(result.InvalidField, "step %s: pages are numbered from 1", fp.Key)
	case fp.Number < n || (fp.Number == n && st.Pages[n-1].Acked):
		return PageReply{}, result.New(result.StepOver, "step %s: page %d is already acknowledged", fp.Key, fp.Number)
	case fp.Number == n:
		return st.pageReply(st.Pages[n-1], 0), nil
	case fp.Number > n+1 || (n > 0 && !st.Pages[n-1].Acked):
		return PageReply{}, result.New(result.PageFromFuture, "step %s: page %d cannot be formed until all pages before it are acknowledged, the last page formed is %d", fp.Key, fp.Number, n)
	}

	return st.formNextPage(fp, latest, atMs)
}

// formNextPage resets samples that are too old and forms a page of the won ones.
func (st *Step) formNextPage(fp FormPage, latest uint64, atMs int64) (PageReply, error) {
	pg := Page{Number: fp.Number}
	stale, pending := 0, 0
	for i := range st.Samples {
		sa := &st.Samples[i]
		if sa.State == Won && (sa.Sequence+st.Staleness < latest || sa.Sequence < st.MinVersion) {
			sa.reset()
			stale++
		}
		if sa.State == Pending {
			pending++
		}
		if sa.State != Won || len(pg.Samples) >= fp.Max {
			continue
		}
		sa.State = Paged
		pg.Samples = append(pg.Samples, i)
		pg.Digests = append(pg.Digests, sa.Digest)
	}
	if len(pg.Samples) > 0 {
		st.Pages = append(st.Pages, pg)

		return st.pageReply(pg, stale), nil
	}

	rep := PageReply{Stale: stale, Remaining: pending, Driver: st.Driver}
	switch {
	case pending == 0:
		return rep, result.New(result.StepOver, "step %s: all samples are delivered", st.Key())
	case atMs > st.DeadlineMs:
		return rep, result.New(result.StepOver, "step %s: deadline passed with %d samples pending", st.Key(), pending)
	}

	return rep, result.New(result.PageNotReady, "step %s: no sample is ready for page %d", st.Key(), fp.Number)
}

func (st *Step) pageReply(pg Page, stale int) PageReply {
	rep := PageReply{Number: pg.Number, Stale: stale, Driver: st.Driver}
	for _, i := range pg.Samples {
		rep.Samples = append(rep.Samples, st.Samples[i])
	}
	for i := range st.Samples {
		if st.Samples[i].State == Pending || st.Samples[i].State == Won {
			rep.Remaining++
		}
	}

	return rep
}

// AckPage marks a page as delivered.
func (le *Ledger) AckPage(ac AckPage, atMs int64) (PageReply, error) {
	st, err := le.Get(ac.Key)
	if err != nil {
		return PageReply{}, err
	}
	if ac.Number == 0 || ac.Number > uint64(len(st.Pages)) {
		return PageReply{}, result.New(result.PageNeverSent, "step %s: page %d was never sent", ac.Key, ac.Number)
	}

	pg := &st.Pages[ac.Number-1]
	if !pg.Acked {
		pg.Acked = true
		for _, i := range pg.Samples {
			st.Samples[i].State = Delivered
			st.Samples[i].Holders = nil
		}
	}

	rep := st.pageReply(Page{Number: ac.Number}, 0)
	if rep.Remaining == 0 && st.DoneMs == 0 {
		st.DoneMs = atMs
	}

	return rep, nil
}

// ResetLost resets samples whose payload no holder has any more. It removes an
// unacknowledged page with one of them, which is formed again when it is next
// requested. That is safe, as a trainer requests a page again only if it did not
// receive it completely.
func (le *Ledger) ResetLost(lo ResetLost) error {
	st, err := le.Get(lo.Key)
	if err != nil {
		return err
	}

	paged := false
	for n, i := range lo.Samples {
		if i < 0 || i >= len(st.Samples) || n >= len(lo.Digests) {
			return result.New(result.SampleNotAccepted, "step %s has no sample with index %d", lo.Key, i)
		}
		sa := &st.Samples[i]
		if sa.Digest != lo.Digests[n] || (sa.State != Won && sa.State != Paged) {
			continue
		}
		paged = paged || sa.State == Paged
		sa.reset()
	}
	if n := len(st.Pages); paged && n > 0 && !st.Pages[n-1].Acked {
		for _, i := range st.Pages[n-1].Samples {
			if st.Samples[i].State == Paged {
				st.Samples[i].State = Won
			}
		}
		st.Pages = st.Pages[:n-1]
	}

	return nil
}

// ChangeDriver changes the driver of a step if it is still dr.From, and returns the step.
func (le *Ledger) ChangeDriver(dr ChangeDriver) (*Step, error) {
	st, err := le.Get(dr.Key)
	if err != nil {
		return nil, err
	}
	if st.Driver == dr.From {
		st.Driver = dr.To
	}

	return st, nil
}
