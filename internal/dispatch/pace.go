package dispatch

import (
	"slices"
	"sync"
	"time"
)

const (
	// paceSmoothing of a new interval in the average of a backend server: with eight
	// runs at once the average follows a change within a few tenths of a second.
	paceSmoothing = 0.1
	// paceRetention is how long a backend server that generates nothing is still judged
	// by what it did last: the trouble may be over. After that its own pace counts.
	paceRetention = 8 * time.Second
	// baselineRetention is how long its own pace is kept.
	baselineRetention = 10 * time.Minute
	// slowFactor times the usual pace makes a backend server slow. Sound ones of a
	// deployment differ by about a third.
	slowFactor = 1.6
	// lagFactor times the pace of the fast ones makes a sound backend server one of
	// the slower kind, which gets what the fast ones have no room for.
	lagFactor = 1.15
	// minServers backend servers must be known before one is called slow.
	minServers = 3
	// minSamples of a backend server must be known before it is judged.
	minSamples = 8
)

// paceTracker knows how fast each backend server generates events, from the runs of this
// process. It is safe for concurrent use.
type paceTracker struct {
	mu      sync.Mutex
	servers map[string]*pace
}

type pace struct {
	interval  float64 // seconds between two events of a run, averaged
	baseline  float64 // shortest average so far: what it does without trouble
	samples   int
	sampledAt time.Time // of the last sample
}

func newPaceTracker() *paceTracker { return &paceTracker{servers: map[string]*pace{}} }

// record takes the time between two events of one run.
func (pa *paceTracker) record(server string, d time.Duration, at time.Time) {
	pa.mu.Lock()
	defer pa.mu.Unlock()

	pc := pa.servers[server]
	if pc == nil {
		pc = &pace{interval: d.Seconds()}
		pa.servers[server] = pc
	} else if at.Sub(pc.sampledAt) > paceRetention && pc.baseline > 0 {
		pc.interval = pc.baseline
	}
	pc.interval += paceSmoothing * (d.Seconds() - pc.interval)
	pc.samples++
	pc.sampledAt = at
	if pc.samples >= minSamples && (pc.baseline == 0 || pc.interval < pc.baseline) {
		pc.baseline = pc.interval
	}
}

// expected returns the seconds between two events that a run would see now.
func (pc *pace) expected(now time.Time) float64 {
	if now.Sub(pc.sampledAt) > paceRetention {
		return pc.baseline
	}

	return pc.interval
}

// classify returns the backend servers that are much slower than the usual one, which
// is the median of those that generate, and those that are sound but slower than
// the fast quarter.
func (pa *paceTracker) classify(now time.Time) (slow, lagging []string) {
	pa.mu.Lock()
	defer pa.mu.Unlock()

	var known []float64
	for server, pc := range pa.servers {
		if now.Sub(pc.sampledAt) > baselineRetention {
			delete(pa.servers, server)

			continue
		}
		if pc.samples >= minSamples {
			known = append(known, pc.expected(now))
		}
	}
	if len(known) < minServers {
		return nil, nil
	}
	slices.Sort(known)
	usual, fast := known[(len(known)-1)/2], known[(len(known)-1)/4]

	for server, pc := range pa.servers {
		switch {
		case pc.samples < minSamples:
		case pc.expected(now) > slowFactor*usual && now.Sub(pc.sampledAt) <= paceRetention:
			slow = append(slow, server)
		case pc.expected(now) > lagFactor*fast:
			lagging = append(lagging, server)
		}
	}
	slices.Sort(slow)
	slices.Sort(lagging)

	return slow, lagging
}
