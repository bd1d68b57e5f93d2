package jobdriver

import (
	"slices"
	"sync"
	"time"
)

const (
	// paceSmoothing is the weight of a new interval in the moving average of a backend
	// server. With eight concurrent runs, the average follows a change within a few
	// tenths of a second.
	paceSmoothing = 0.1
	// paceRetention is how long the last average of a backend server that generates
	// nothing is used. After that its baseline is used, as the cause may have gone.
	paceRetention = 8 * time.Second
	// baselineRetention is how long the baseline of such a backend server is retained.
	baselineRetention = 10 * time.Minute
	// slowFactor is the ratio to the median interval above which a backend server is
	// slow. Healthy backend servers of a deployment differ by about a third.
	slowFactor = 1.6
	// lagFactor is the ratio to the interval of the fast quarter above which a healthy
	// backend server is lagging: it gets the work for which fast ones have no free slot.
	lagFactor = 1.15
	// minServers is how many backend servers need enough samples before any is classified.
	minServers = 3
	// minSamples is how many intervals of a backend server are needed to classify it.
	minSamples = 8
)

// paceTracker measures how fast each backend server generates events in the runs of
// this process. It is safe for concurrent use.
type paceTracker struct {
	mu      sync.Mutex
	servers map[string]*pace
}

// pace holds the measured intervals of one backend server.
type pace struct {
	interval  float64 // moving average of the seconds between two events of a run
	baseline  float64 // shortest average so far, taken as its undisturbed interval in seconds; 0 if unknown
	samples   int
	sampledAt time.Time // time of the last sample
}

func newPaceTracker() *paceTracker { return &paceTracker{servers: map[string]*pace{}} }

// record adds the time between two events of one run.
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

// expected returns the seconds between two events that a run can expect now.
func (pc *pace) expected(now time.Time) float64 {
	if now.Sub(pc.sampledAt) > paceRetention {
		return pc.baseline
	}

	return pc.interval
}

// classify returns the slow backend servers, which are much slower than the median,
// and the lagging ones, which are healthy but slower than the fast quarter.
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
