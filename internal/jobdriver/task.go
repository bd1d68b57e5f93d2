package jobdriver

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/job"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/routing"
	"github.com/tamarackbay/tamarackbay/internal/stepplan"
	"github.com/tamarackbay/tamarackbay/internal/workload"
)

// phase is the state of a task.
type phase uint8

const (
	waiting phase = iota // queued for a backend server
	running              // generating at a backend server
	scoring              // text complete, score requested
	listing              // the result is being committed
)

// task is the execution state of an item whose result is not listed yet.
type task struct {
	job   *jobState
	index int
	item  job.Item // its slices are read-only
	phase phase

	isFound bool // used by waitQueue.sort

	generated         generatedText
	isWhole           bool         // the text is that of an earlier job, complete
	earlierEvents     int          // events that an earlier job had of the text at least
	isCarriedOver     bool         // its group came again from an earlier job
	runEvents         atomic.Int32 // events of the current run so far
	notBefore         time.Time
	waitingSince      time.Time // when its current wait for a backend server began
	failedServers     []string  // IDs of the backend servers of its last failed runs, at most maxFailedServers
	serverFailures    int       // answers in which a backend server reported its own failure
	brokenRuns        int       // consecutive broken runs without a new event; sets the back-off
	scoreFailures     int
	isProgressStopped bool // a part of its progress may be lost, so no further part is committed
	runs              int
	moves             int                // to a faster backend server
	firstStartedAt    time.Time          // start of its first run by this driver
	completedAt       time.Time          // when its text became complete
	server            string             // ID of the backend server of its current run
	startedAt         time.Time          // start of that run
	length            workload.Length    // expected, in events; unknown until it is needed
	lengthAt          time.Duration      // when it was estimated
	service           string             // service to which that backend server belongs
	software          string             // version of its software
	regions           []string           // in which it may run, as of the last pass; nil for any
	cancel            context.CancelFunc // cancels the current run or score request, nil if there is none
	cancelForMove     func()             // cancels the current run so that it continues elsewhere, nil if it can't be moved
	cancelReplaced    func()             // cancels the current run and discards the text, nil if there is none
	bornMs            int64              // incarnation of the backend server that its record named
	nextGrant         *balance.Grant     // slot reserved for the moved run at another backend server
}

// jobState is an open job with its unlisted items.
type jobState struct {
	id            string
	workspace     string
	host          string
	model         string
	minVersion    uint64
	submitted     time.Time
	queueDeadline time.Time // items still waiting after it are aborted; zero for no limit
	tasks         map[int]*task
	timeline      timeline
	due           time.Time // when the results are due
	groups        int       // in the whole job
	required      int       // of them, those that came again from an earlier job
	placedAt      time.Time // when one of its texts was placed last, its submission before the first
	excess        float64   // use of its workspace by share, as of its arrival
}

// remaining returns how many tokens the text is expected to need. An event holds
// tokensPerEvent.
func (t *task) remaining(tokensPerEvent float64) float64 {
	if t.isWhole {
		return 0
	}
	generated := float64(len(t.generated.events) + int(t.runEvents.Load()))

	return stepplan.Remaining(max(float64(t.item.Expected), float64(t.earlierEvents)*tokensPerEvent), generated*tokensPerEvent)
}

// generatedText is the text generated for an item so far.
type generatedText struct {
	events     []string      // data of each event; appended to only, so that parts of it may be shared
	bytes      int           // size of all data with their line ends
	lastEvent  uint64        // number of the last event, 0 for none
	versions   []uint64      // weight versions that wrote it, ascending
	service    string        // that wrote it, "" before the first event
	software   string        // version of the software that wrote it
	took       time.Duration // duration of the runs that wrote it, as far as this driver knows
	runBegan   time.Time     // start of the current or last run
	untilFirst time.Duration // from there to its first event

	// The part already queued for commit.
	proposed       uint64 // number of its last event, 0 for none
	proposedEvents int    // number of its events
	hasProposed    bool   // this driver has queued a part of it
}

// newGeneratedText returns the text that a former driver committed. Its events are shared with the ledger.
func newGeneratedText(pa *job.Partial) generatedText {
	bytes := 0
	for _, ev := range pa.Events {
		bytes += len(ev) + 1
	}

	return generatedText{
		events: slices.Clip(pa.Events), bytes: bytes, lastEvent: pa.LastEvent, versions: slices.Clip(pa.Versions), service: pa.Service, software: pa.Software, proposed: pa.LastEvent, proposedEvents: len(pa.Events),
	}
}

// newWholeText returns the complete text that an earlier job listed.
func newWholeText(et *job.EarlierText) generatedText {
	return generatedText{events: []string{et.Text}, bytes: len(et.Text) + 1, lastEvent: 1, versions: slices.Clip(et.Partial.Versions)}
}

// add appends an event that a weight version wrote.
func (te *generatedText) add(number uint64, data string, version uint64) {
	te.events = append(te.events, data)
	te.bytes += len(data) + 1
	te.lastEvent = number
	if i, ok := slices.BinarySearch(te.versions, version); !ok {
		te.versions = slices.Insert(te.versions, i, version)
	}
}

// mayContinueAt reports whether a backend server may continue the text: what two versions of
// the software write does not fit together. A text whose version is not known can't continue.
func (te *generatedText) mayContinueAt(re *registry.Record) bool {
	return te.lastEvent == 0 || (te.software != "" && te.software == re.Software && te.service == re.Service)
}

// meetsVersionRules reports whether the text may be part of a result: no version is
// older than minVersion, and there is only one if isSingle is set.
func (te *generatedText) meetsVersionRules(minVersion uint64, isSingle bool) bool {
	if len(te.versions) == 0 {
		return true
	}

	return te.versions[0] >= minVersion && (!isSingle || len(te.versions) == 1)
}

// isUsable reports whether a further run may continue the text. A text with a part of too old
// a weight version may not, nor any text of a single-version route: there, each run starts
// from the beginning.
func (te *generatedText) isUsable(minVersion uint64, ro *routing.Route) bool {
	return te.meetsVersionRules(minVersion, ro.IsSingleVersion) && (!ro.IsSingleVersion || len(te.versions) == 0)
}

func (te *generatedText) String() string { return strings.Join(te.events, "\n") }

func headerOf(it *job.Item) http.Header {
	h := make(http.Header, len(it.Headers))
	for _, he := range it.Headers {
		h.Add(he.Name, he.Value)
	}

	return h
}
