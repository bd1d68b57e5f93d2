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
	// minorityFactor is the ratio of the fast quarter's interval to that of the fast eighth above
	// which the latter are the fast ones: a failure domain of faster engines may be less than a
	// quarter of the service, also when some of them are lost.
	minorityFactor = 1.5
	// minServers is how many backend servers need enough samples before any is classified.
	minServers = 3
	// minSamples is how many intervals of a backend server are needed to classify it.
	minSamples = 8
	// lastingPeriod is the time constant of the moving average of a backend server that reports
	// its pace: it is slow for some hundred milliseconds at a time, which no move of a run avoids.
	lastingPeriod = 5 * time.Second
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
	pa.add(server, d, at, func(time.Duration) float64 { return paceSmoothing })
}

// recordLasting adds the time between two events of one run at a backend server that reports
// its pace.
func (pa *paceTracker) recordLasting(server string, d time.Duration, at time.Time) {
	pa.add(server, d, at, func(since time.Duration) float64 {
		return min(max(float64(since)/float64(lastingPeriod), 0), paceSmoothing)
	})
}

// add adds an interval whose weight depends on the time since the last one.
func (pa *paceTracker) add(server string, d time.Duration, at time.Time, weight func(since time.Duration) float64) {
	pa.mu.Lock()
	defer pa.mu.Unlock()

	pc := pa.servers[server]
	if pc == nil {
		pc = &pace{interval: d.Seconds()}
		pa.servers[server] = pc
	} else if at.Sub(pc.sampledAt) > paceRetention && pc.baseline > 0 {
		pc.interval = pc.baseline
	}
	pc.interval += weight(at.Sub(pc.sampledAt)) * (d.Seconds() - pc.interval)
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

// paceClasses tells how fast the backend servers are.
type paceClasses struct {
	slow            []string           // IDs of those that are much slower than the median
	lagging         []string           // IDs of healthy ones that are slower than the fast quarter
	interval        map[string]float64 // expected seconds between two events, by ID
	fast            float64            // interval of the fast quarter, 0 if too few are known
	laggingInterval float64            // longest interval of the lagging ones, that of the fast quarter if there is none
}

// isBehind reports whether a backend server is slow or lagging.
func (pc *paceClasses) isBehind(id string) bool {
	return slices.Contains(pc.slow, id) || slices.Contains(pc.lagging, id)
}

// classify returns the classes of the backend servers now.
func (pa *paceTracker) classify(now time.Time) paceClasses {
	pa.mu.Lock()
	defer pa.mu.Unlock()

	out := paceClasses{interval: make(map[string]float64, len(pa.servers))}
	known := make([]float64, 0, len(pa.servers))
	for server, pc := range pa.servers {
		if now.Sub(pc.sampledAt) > baselineRetention {
			delete(pa.servers, server)

			continue
		}
		if pc.samples >= minSamples {
			out.interval[server] = pc.expected(now)
			known = append(known, out.interval[server])
		}
	}
	if len(known) < minServers {
		return paceClasses{}
	}
	slices.Sort(known)
	usual := known[(len(known)-1)/2]
	out.fast = known[(len(known)-1)/4]
	if fastest := known[(len(known)-1)/8]; out.fast > minorityFactor*fastest {
		out.fast = fastest
	}
	out.laggingInterval = out.fast

	for server, interval := range out.interval {
		switch {
		case interval > slowFactor*usual && now.Sub(pa.servers[server].sampledAt) <= paceRetention:
			out.slow = append(out.slow, server)
		case interval > lagFactor*out.fast:
			out.lagging = append(out.lagging, server)
			out.laggingInterval = max(out.laggingInterval, interval)
		}
	}
	slices.Sort(out.slow)
	slices.Sort(out.lagging)

	return out
}
