// Package usage counts the usage of each workspace in windows of time. Agents send
// cumulative counters, so that a counter sent twice changes nothing. The figures of a
// closed window never change: usage that arrives late is added to the next open
// window as an adjustment.
package usage

import (
	"sort"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

// Amounts counts requests and tokens.
type Amounts struct {
	Requests uint64 `cbor:"1,keyasint" json:"requests"`
	Tokens   uint64 `cbor:"2,keyasint" json:"tokens"`
}

func (am *Amounts) add(o Amounts) {
	am.Requests += o.Requests
	am.Tokens += o.Tokens
}

// Counter is the cumulative count of one incarnation of an agent in one window.
type Counter struct {
	Agent       string  `cbor:"1,keyasint"`
	Incarnation uint64  `cbor:"2,keyasint"`
	Workspace   string  `cbor:"3,keyasint"`
	Window      uint64  `cbor:"4,keyasint"`
	Amounts     Amounts `cbor:"5,keyasint"`
}

// AddCounters is the command that adds counters to the ledger.
type AddCounters struct {
	Counters []Counter `cbor:"1,keyasint"`
}

// Close is the command that closes all windows up to Window. Fencing is the fencing
// number of the lease under which the caller closes them.
type Close struct {
	Window  uint64 `cbor:"1,keyasint"`
	Fencing uint64 `cbor:"2,keyasint"`
}

// MarkReported is the command that marks a window as reported to the platform.
type MarkReported struct {
	Window  uint64 `cbor:"1,keyasint"`
	Fencing uint64 `cbor:"2,keyasint"`
}

// Line is the usage of one workspace in one window.
type Line struct {
	Workspace  string  `cbor:"1,keyasint" json:"workspace"`
	Amounts    Amounts `cbor:"2,keyasint" json:"figures"`
	Adjustment Amounts `cbor:"3,keyasint" json:"adjustment"` // late usage of earlier windows
}

// Window is the usage in one window of time.
type Window struct {
	Number       uint64             `cbor:"1,keyasint"`
	LastCounters map[string]Amounts `cbor:"2,keyasint"` // last counters, by counterKey
	Lines        map[string]*Line   `cbor:"3,keyasint"` // by workspace
	IsClosed     bool               `cbor:"4,keyasint"`
	IsReported   bool               `cbor:"5,keyasint"` // the report was delivered to the platform
}

// Report is the report of one window to the platform. It is encoded to the same
// bytes each time it is sent.
type Report struct {
	Window uint64 `json:"window"`
	Lines  []Line `json:"lines"`
}

// retainedWindows is the number of reported windows whose counters are retained, so
// that only the increase of a late counter is added.
const retainedWindows = 48

// Ledger holds the usage windows of a consensus group.
type Ledger struct {
	windows    map[uint64]*Window
	lastClosed uint64 // number of the last closed window; all before it are closed too
}

// Snapshot is the encoded form of a Ledger.
type Snapshot struct {
	Windows map[uint64]*Window `cbor:"1,keyasint"`
	Closed  uint64             `cbor:"2,keyasint"`
}

// NewLedger returns the ledger with the content of a snapshot.
func NewLedger(sn Snapshot) *Ledger {
	if sn.Windows == nil {
		sn.Windows = map[uint64]*Window{}
	}

	return &Ledger{windows: sn.Windows, lastClosed: sn.Closed}
}

// Snapshot returns the ledger's encoded form.
func (le *Ledger) Snapshot() Snapshot { return Snapshot{Windows: le.windows, Closed: le.lastClosed} }

// window returns window n and adds it if it is missing.
func (le *Ledger) window(n uint64) *Window {
	wi, ok := le.windows[n]
	if !ok {
		wi = &Window{Number: n, LastCounters: map[string]Amounts{}, Lines: map[string]*Line{}}
		le.windows[n] = wi
	}
	if wi.LastCounters == nil {
		wi.LastCounters = map[string]Amounts{}
	}
	if wi.Lines == nil {
		wi.Lines = map[string]*Line{}
	}

	return wi
}

// line returns the line of a workspace and adds it if it is missing.
func (wi *Window) line(workspace string) *Line {
	li, ok := wi.Lines[workspace]
	if !ok {
		li = &Line{Workspace: workspace}
		wi.Lines[workspace] = li
	}

	return li
}

// AddCounters adds the increase of each counter since it was last added. It returns the
// number of counters rejected because their window is no longer retained.
func (le *Ledger) AddCounters(fo AddCounters) int {
	tooOld := 0
	for _, co := range fo.Counters {
		if le.lastClosed > retainedWindows && co.Window < le.lastClosed-retainedWindows {
			tooOld++

			continue
		}

		wi := le.window(co.Window)
		k := counterKey(co)
		old := wi.LastCounters[k]
		if co.Amounts.Requests < old.Requests || co.Amounts.Tokens < old.Tokens {
			continue // an older counter arrived late
		}
		grown := Amounts{Requests: co.Amounts.Requests - old.Requests, Tokens: co.Amounts.Tokens - old.Tokens}
		if grown == (Amounts{}) {
			continue
		}
		wi.LastCounters[k] = co.Amounts
		if wi.IsClosed || co.Window <= le.lastClosed {
			// Late usage is adjusted in the first open window.
			li := le.window(le.lastClosed + 1).line(co.Workspace)
			li.Adjustment.add(grown)

			continue
		}
		li := wi.line(co.Workspace)
		li.Amounts.add(grown)
	}

	return tooOld
}

// counterKey returns agent/incarnation/workspace, with the incarnation in hex.
func counterKey(co Counter) string {
	b := make([]byte, 0, len(co.Agent)+len(co.Workspace)+24)
	b = append(b, co.Agent...)
	b = append(b, '/')
	for i := range 8 {
		b = append(b, "0123456789abcdef"[co.Incarnation>>(60-8*i)&15], "0123456789abcdef"[co.Incarnation>>(56-8*i)&15])
	}
	b = append(b, '/')

	return string(append(b, co.Workspace...))
}

// Close closes every window up to cl.Window and removes reported windows that are
// past their retention.
func (le *Ledger) Close(cl Close) {
	if cl.Window <= le.lastClosed {
		return
	}

	first := le.lastClosed + 1
	if le.lastClosed == 0 {
		first = cl.Window
		for n := range le.windows {
			first = min(first, n)
		}
	}
	for n := first; n <= cl.Window; n++ {
		if wi, ok := le.windows[n]; ok {
			wi.IsClosed = true
		}
	}
	le.lastClosed = cl.Window
	for n, wi := range le.windows {
		if wi.IsReported && le.lastClosed > retainedWindows && n < le.lastClosed-retainedWindows {
			delete(le.windows, n)
		}
	}
}

// Closed returns the number of the last closed window.
func (le *Ledger) Closed() uint64 { return le.lastClosed }

// Unreported returns the numbers of the closed windows that are not reported yet,
// oldest first.
func (le *Ledger) Unreported() []uint64 {
	var out []uint64
	for n, wi := range le.windows {
		if wi.IsClosed && !wi.IsReported {
			out = append(out, n)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })

	return out
}

// Report returns the report of a closed window, sorted by workspace.
func (le *Ledger) Report(n uint64) (Report, error) {
	wi, ok := le.windows[n]
	if !ok || !wi.IsClosed {
		return Report{}, result.New(result.UnknownObject, "usage: window %d is not closed", n)
	}

	re := Report{Window: n, Lines: []Line{}}
	for _, li := range wi.Lines {
		re.Lines = append(re.Lines, *li)
	}
	sort.Slice(re.Lines, func(i, j int) bool { return re.Lines[i].Workspace < re.Lines[j].Workspace })

	return re, nil
}

// MarkReported marks a window as reported.
func (le *Ledger) MarkReported(re MarkReported) error {
	wi, ok := le.windows[re.Window]
	if !ok || !wi.IsClosed {
		return result.New(result.UnknownObject, "usage: window %d is not closed", re.Window)
	}
	wi.IsReported = true

	return nil
}
