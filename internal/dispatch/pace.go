package dispatch

import (
	"slices"
	"sync"
	"time"
)

const (
	// paceWeight of a new interval in the average of a backend server: with eight
	// runs at once the average follows a change within a few tenths of a second.
	paceWeight = 0.1
	// paceMemory is how long a backend server that generates nothing is still judged
	// by what it did.
	paceMemory = 3 * time.Second
	// slowFactor times the usual pace makes a backend server slow. Sound ones of a
	// deployment differ by about a third.
	slowFactor = 1.6
	// minPaced backend servers must be known before one is called slow.
	minPaced = 3
	// minSamples of a backend server must be known before it is judged.
	minSamples = 8
)

// paces knows how fast each backend server generates events, from the runs of this
// process. It is safe for concurrent use.
type paces struct {
	mu      sync.Mutex
	servers map[string]*pace
}

type pace struct {
	interval float64 // seconds between two events of a run, averaged
	samples  int
	at       time.Time // of the last sample
}

func newPaces() *paces { return &paces{servers: map[string]*pace{}} }

// note takes the time between two events of one run.
func (pa *paces) note(server string, d time.Duration, at time.Time) {
	pa.mu.Lock()
	defer pa.mu.Unlock()

	pc := pa.servers[server]
	if pc == nil || at.Sub(pc.at) > paceMemory {
		pc = &pace{interval: d.Seconds()}
		pa.servers[server] = pc
	}
	pc.interval += paceWeight * (d.Seconds() - pc.interval)
	pc.samples++
	pc.at = at
}

// slow returns the backend servers that are much slower than the usual one, which
// is the median of those that generate.
func (pa *paces) slow(now time.Time) []string {
	pa.mu.Lock()
	defer pa.mu.Unlock()

	var known []float64
	for server, pc := range pa.servers {
		if now.Sub(pc.at) > paceMemory {
			delete(pa.servers, server)

			continue
		}
		if pc.samples >= minSamples {
			known = append(known, pc.interval)
		}
	}
	if len(known) < minPaced {
		return nil
	}
	slices.Sort(known)
	usual := known[(len(known)-1)/2]

	var out []string
	for server, pc := range pa.servers {
		if pc.samples >= minSamples && pc.interval > slowFactor*usual {
			out = append(out, server)
		}
	}
	slices.Sort(out)

	return out
}
