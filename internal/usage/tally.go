package usage

import (
	"sync"
	"time"
)

// retainedTallyWindows is the number of windows that a tally retains behind the
// newest confirmed one. Requests that are counted later for an older window may be
// lost, as their count restarts at 1.
const retainedTallyWindows = 6

// Tally counts the requests of one process by workspace and window. It is safe for
// concurrent use.
type Tally struct {
	agent       string
	incarnation uint64
	window      time.Duration

	mu        sync.Mutex
	counts    map[tallyKey]uint64
	confirmed map[tallyKey]uint64 // highest counts that are recorded in the ledger
}

type tallyKey struct {
	window    uint64 // number
	workspace string
}

// NewTally returns a tally of the process named agent. Each start of the process has
// its own incarnation; window is the length of a window.
func NewTally(agent string, incarnation uint64, window time.Duration) *Tally {
	return &Tally{
		agent: agent, incarnation: incarnation, window: window, counts: map[tallyKey]uint64{}, confirmed: map[tallyKey]uint64{},
	}
}

// Count counts a request in the window in which it began to run.
func (ta *Tally) Count(workspace string, at time.Time) {
	ta.mu.Lock()
	defer ta.mu.Unlock()

	ta.counts[tallyKey{uint64(at.UnixMilli() / ta.window.Milliseconds()), workspace}]++
}

// Pending returns the counters that have increased since they were last confirmed.
func (ta *Tally) Pending() []Counter {
	ta.mu.Lock()
	defer ta.mu.Unlock()

	var out []Counter
	for k, n := range ta.counts {
		if n > ta.confirmed[k] {
			out = append(out, Counter{
				Agent: ta.agent, Incarnation: ta.incarnation, Workspace: k.workspace, Window: k.window, Amounts: Amounts{Requests: n},
			})
		}
	}

	return out
}

// Confirm marks counters as recorded and removes those of old windows.
func (ta *Tally) Confirm(counters []Counter) {
	ta.mu.Lock()
	defer ta.mu.Unlock()

	newest := uint64(0)
	for _, co := range counters {
		k := tallyKey{co.Window, co.Workspace}
		ta.confirmed[k] = max(ta.confirmed[k], co.Amounts.Requests)
		newest = max(newest, co.Window)
	}
	for k := range ta.counts {
		if k.window+retainedTallyWindows < newest && ta.confirmed[k] == ta.counts[k] {
			delete(ta.counts, k)
			delete(ta.confirmed, k)
		}
	}
}
