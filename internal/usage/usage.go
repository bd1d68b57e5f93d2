// Package usage counts what each workspace used, in windows. Agents send
// cumulative counters, so that a counter sent twice changes nothing; a closed
// window's figures never change, and what comes late stands in the next one as an
// adjustment.
package usage

import (
	"sort"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

// Figures are the amounts of one workspace.
type Figures struct {
	Requests uint64 `cbor:"1,keyasint" json:"requests"`
	Tokens   uint64 `cbor:"2,keyasint" json:"tokens"`
}

func (fi *Figures) add(o Figures) {
	fi.Requests += o.Requests
	fi.Tokens += o.Tokens
}

// Counter is the cumulative count of one incarnation of an agent in one window.
type Counter struct {
	Agent       string  `cbor:"1,keyasint"`
	Incarnation uint64  `cbor:"2,keyasint"`
	Workspace   string  `cbor:"3,keyasint"`
	Window      uint64  `cbor:"4,keyasint"`
	Figures     Figures `cbor:"5,keyasint"`
}

// Fold adds counters.
type Fold struct {
	Counters []Counter `cbor:"1,keyasint"`
}

// Close fixes the figures of a window. The caller holds the lease under Fencing.
type Close struct {
	Window  uint64 `cbor:"1,keyasint"`
	Fencing uint64 `cbor:"2,keyasint"`
}

// Reported says that the report of a window was taken.
type Reported struct {
	Window  uint64 `cbor:"1,keyasint"`
	Fencing uint64 `cbor:"2,keyasint"`
}

// Line is the report of one workspace in one window.
type Line struct {
	Workspace  string  `cbor:"1,keyasint" json:"workspace"`
	Figures    Figures `cbor:"2,keyasint" json:"figures"`
	Adjustment Figures `cbor:"3,keyasint" json:"adjustment"` // of earlier windows, came late
}

// Window is one window of usage.
type Window struct {
	Number   uint64             `cbor:"1,keyasint"`
	Folded   map[string]Figures `cbor:"2,keyasint"` // last counter by agent, incarnation and workspace
	Lines    map[string]*Line   `cbor:"3,keyasint"`
	IsClosed bool               `cbor:"4,keyasint"`
	IsSent   bool               `cbor:"5,keyasint"`
}

// Report is what is sent to the platform, once a window, always the same bytes.
type Report struct {
	Window uint64 `json:"window"`
	Lines  []Line `json:"lines"`
}

// retainedWindows is the number of reported windows whose counters are kept to recognise late ones.
const retainedWindows = 48

// Book holds the windows of a group.
type Book struct {
	windows    map[uint64]*Window
	lastClosed uint64 // every window up to here is closed
}

// Image is a Book in a snapshot.
type Image struct {
	Windows map[uint64]*Window `cbor:"1,keyasint"`
	Closed  uint64             `cbor:"2,keyasint"`
}

// NewBook returns the book of an image.
func NewBook(im Image) *Book {
	if im.Windows == nil {
		im.Windows = map[uint64]*Window{}
	}

	return &Book{windows: im.Windows, lastClosed: im.Closed}
}

// Image returns the book's content for a snapshot.
func (bo *Book) Image() Image { return Image{Windows: bo.windows, Closed: bo.lastClosed} }

func (bo *Book) window(n uint64) *Window {
	wi, ok := bo.windows[n]
	if !ok {
		wi = &Window{Number: n, Folded: map[string]Figures{}, Lines: map[string]*Line{}}
		bo.windows[n] = wi
	}
	if wi.Folded == nil {
		wi.Folded = map[string]Figures{}
	}
	if wi.Lines == nil {
		wi.Lines = map[string]*Line{}
	}

	return wi
}

func (wi *Window) line(workspace string) *Line {
	li, ok := wi.Lines[workspace]
	if !ok {
		li = &Line{Workspace: workspace}
		wi.Lines[workspace] = li
	}

	return li
}

// Fold adds what each counter has grown by since it was last folded. It returns
// the number of counters of windows that are not kept any more.
func (bo *Book) Fold(fo Fold) int {
	tooOld := 0
	for _, co := range fo.Counters {
		if bo.lastClosed > retainedWindows && co.Window < bo.lastClosed-retainedWindows {
			tooOld++

			continue
		}

		wi := bo.window(co.Window)
		k := counterKey(co)
		old := wi.Folded[k]
		if co.Figures.Requests < old.Requests || co.Figures.Tokens < old.Tokens {
			continue // an older counter arrived late
		}
		grown := Figures{Requests: co.Figures.Requests - old.Requests, Tokens: co.Figures.Tokens - old.Tokens}
		if grown == (Figures{}) {
			continue
		}
		wi.Folded[k] = co.Figures
		if wi.IsClosed || co.Window <= bo.lastClosed {
			li := bo.window(bo.lastClosed + 1).line(co.Workspace)
			li.Adjustment.add(grown)

			continue
		}
		li := wi.line(co.Workspace)
		li.Figures.add(grown)
	}

	return tooOld
}

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

// Close closes every window up to cl.Window.
func (bo *Book) Close(cl Close) {
	if cl.Window <= bo.lastClosed {
		return
	}

	first := bo.lastClosed + 1
	if bo.lastClosed == 0 {
		first = cl.Window
		for n := range bo.windows {
			first = min(first, n)
		}
	}
	for n := first; n <= cl.Window; n++ {
		if wi, ok := bo.windows[n]; ok {
			wi.IsClosed = true
		}
	}
	bo.lastClosed = cl.Window
	// Adjustments wait in the window after the closed one.
	for n, wi := range bo.windows {
		if wi.IsSent && bo.lastClosed > retainedWindows && n < bo.lastClosed-retainedWindows {
			delete(bo.windows, n)
		}
	}
}

// Closed returns the number of the last closed window.
func (bo *Book) Closed() uint64 { return bo.lastClosed }

// Unreported returns the closed windows that are not reported, oldest first.
func (bo *Book) Unreported() []uint64 {
	var out []uint64
	for n, wi := range bo.windows {
		if wi.IsClosed && !wi.IsSent {
			out = append(out, n)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })

	return out
}

// Report returns the figures of a closed window in a fixed order.
func (bo *Book) Report(n uint64) (Report, error) {
	wi, ok := bo.windows[n]
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

// Reported marks a window as reported.
func (bo *Book) Reported(re Reported) error {
	wi, ok := bo.windows[re.Window]
	if !ok || !wi.IsClosed {
		return result.New(result.UnknownObject, "usage: window %d is not closed", re.Window)
	}
	wi.IsSent = true

	return nil
}
