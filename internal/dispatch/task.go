package dispatch

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/job"
)

// phase of a task.
type phase uint8

const (
	waiting   phase = iota // for a backend server
	running                // at a backend server
	rewarding              // the text is complete, its score is asked for
	listing                // the result is being committed
)

// task is one item that is not listed yet.
type task struct {
	job   *jobState
	index int
	item  job.Item // its slices are never changed
	phase phase

	text        text
	notBefore   time.Time
	waitsFrom   time.Time // since when it waits for a backend server
	tried       []string  // backend servers that failed it, the last ones
	failures    int       // answers that say the backend server failed
	broken      int       // runs in a row that broke off and brought nothing
	rewardFails int
	isUnkept    bool // a part of its progress may be lost, no further one is committed
	runs        int
	firstBegan  time.Time          // of its first run by this driver
	wholeAt     time.Time          // when its text was complete
	server      string             // where it runs
	began       time.Time          // of that run
	service     string             // of that backend server
	cancel      context.CancelFunc // ends what runs, nil for nothing
	move        func()             // ends the run so that it goes on elsewhere, nil for nothing
	next        *balance.Grant     // where it goes on then
}

// jobState is an open job.
type jobState struct {
	id         string
	workspace  string
	host       string
	model      string
	minVersion uint64
	submitted  time.Time
	giveUpAt   time.Time // zero for never
	tasks      map[int]*task
	course     course
}

// text is what was generated of an item so far.
type text struct {
	events   []string // data of each
	last     uint64   // number of the last event, 0 for none
	versions []uint64 // that wrote it, ascending

	// What is committed of it: the number of its last event and how many there are.
	kept       uint64
	keptEvents int
	hasKept    bool // this driver has told of it
}

// textOf returns the text that a former driver left.
func textOf(pa *job.Partial) text {
	return text{
		events: slices.Clone(pa.Events), last: pa.Last, versions: slices.Clone(pa.Versions), kept: pa.Last, keptEvents: len(pa.Events),
	}
}

// add appends an event that a version wrote.
func (te *text) add(number uint64, data string, version uint64) {
	te.events = append(te.events, data)
	te.last = number
	if i, ok := slices.BinarySearch(te.versions, version); !ok {
		te.versions = slices.Insert(te.versions, i, version)
	}
}

// fits reports whether the text may be part of a result.
func (te *text) fits(minVersion uint64, isSingle bool) bool {
	if len(te.versions) == 0 {
		return true
	}

	return te.versions[0] >= minVersion && (!isSingle || len(te.versions) == 1)
}

func (te *text) String() string { return strings.Join(te.events, "\n") }

func headerOf(it *job.Item) http.Header {
	h := make(http.Header, len(it.Headers))
	for _, he := range it.Headers {
		h.Add(he.Name, he.Value)
	}

	return h
}
