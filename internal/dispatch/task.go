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
	waiting phase = iota // for a backend server
	running              // at a backend server
	scoring              // the text is complete, its score is asked for
	listing              // the result is being committed
)

// task is one item that is not listed yet.
type task struct {
	job   *jobState
	index int
	item  job.Item // its slices are never changed
	phase phase

	generated         generatedText
	notBefore         time.Time
	waitingSince      time.Time // since when it waits for a backend server
	failedServers     []string  // backend servers that failed it, the last ones
	serverFailures    int       // answers that say the backend server failed
	brokenRuns        int       // runs in a row that broke off and brought nothing
	rewardFailures    int
	isProgressStopped bool // a part of its progress may be lost, no further one is committed
	runs              int
	firstStartedAt    time.Time          // of its first run by this driver
	completedAt       time.Time          // when its text was complete
	server            string             // where it runs
	startedAt         time.Time          // of that run
	service           string             // of that backend server
	cancel            context.CancelFunc // ends what runs, nil for nothing
	cancelForMove     func()             // ends the run so that it goes on elsewhere, nil for nothing
	nextGrant         *balance.Grant     // where it goes on then
}

// jobState is an open job.
type jobState struct {
	id            string
	workspace     string
	host          string
	model         string
	minVersion    uint64
	submitted     time.Time
	queueDeadline time.Time // zero for never
	tasks         map[int]*task
	timeline      timeline
}

// generatedText is what was generated of an item so far.
type generatedText struct {
	events    []string // data of each
	lastEvent uint64   // number of the last event, 0 for none
	versions  []uint64 // that wrote it, ascending

	// What is committed of it: the number of its last event and how many there are.
	proposed       uint64
	proposedEvents int
	hasProposed    bool // this driver has told of it
}

// newGeneratedText returns the text that a former driver left.
func newGeneratedText(pa *job.Partial) generatedText {
	return generatedText{
		events: slices.Clone(pa.Events), lastEvent: pa.Last, versions: slices.Clone(pa.Versions), proposed: pa.Last, proposedEvents: len(pa.Events),
	}
}

// add appends an event that a version wrote.
func (te *generatedText) add(number uint64, data string, version uint64) {
	te.events = append(te.events, data)
	te.lastEvent = number
	if i, ok := slices.BinarySearch(te.versions, version); !ok {
		te.versions = slices.Insert(te.versions, i, version)
	}
}

// meetsVersionRules reports whether the text may be part of a result.
func (te *generatedText) meetsVersionRules(minVersion uint64, isSingle bool) bool {
	if len(te.versions) == 0 {
		return true
	}

	return te.versions[0] >= minVersion && (!isSingle || len(te.versions) == 1)
}

func (te *generatedText) String() string { return strings.Join(te.events, "\n") }

func headerOf(it *job.Item) http.Header {
	h := make(http.Header, len(it.Headers))
	for _, he := range it.Headers {
		h.Add(he.Name, he.Value)
	}

	return h
}
