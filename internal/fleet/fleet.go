// Package fleet decides how many backend servers of a class are ordered in each
// failure domain, from the running and waiting requests and the bounds, with a reserve
// for the loss of failure domains and hysteresis. It does no input or output: the state
// and the time are arguments.
package fleet

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/declaration"
)

// Server is a backend server that exists or has been ordered.
type Server struct {
	Name          string // "" while its order is not answered
	FailureDomain string
	IsReady       bool
	IsDraining    bool
	Running       int // requests in flight
}

// Input is the state from which Planner.Next decides.
type Input struct {
	Now     time.Duration
	Class   declaration.Class
	Bounds  declaration.FleetBounds
	Servers []Server
	Running int // requests in flight on all gateways
	Waiting int // requests waiting on all gateways
}

// Decision lists the backend servers to start and to stop.
type Decision struct {
	Start  []string // failure domains, one entry for each backend server
	Stop   []string // names of backend servers
	Wanted int      // number of backend servers wanted in all failure domains
	Reason string   // the reason, in words
}

// Planner decides for one class and remembers its recent demand.
type Planner struct {
	hasSurplus   bool // fewer backend servers are wanted than exist
	surplusSince time.Duration
	peakWanted   int // highest number wanted since surplusSince
}

// NewPlanner returns a planner that has seen no demand yet.
func NewPlanner() *Planner { return &Planner{} }

// Next returns the backend servers to start or stop now.
func (pl *Planner) Next(in Input) Decision {
	demand := float64(in.Running + in.Waiting)
	domains := len(in.Bounds.FailureDomains)
	per := float64(in.Class.Slots) * in.Bounds.TargetLoad
	need := int(math.Ceil(demand / per))
	if s := in.Bounds.SpareDomains; s > 0 && (need > 0 || in.Bounds.MinPerDomain > 0) {
		// The backend servers that remain after the loss of s failure domains must suffice.
		need = int(math.Ceil(float64(max(need, 1)) * float64(domains) / float64(domains-s)))
	}
	low := in.Bounds.MinPerDomain * domains
	want := min(max(need, low), in.Bounds.MaxPerDomain*domains)

	counts := map[string]int{}
	total := 0
	for _, se := range in.Servers {
		if !se.IsDraining {
			counts[se.FailureDomain]++
			total++
		}
	}
	de := Decision{Wanted: want}
	switch {
	case want > total || pl.belowMinimum(in.Bounds, counts):
		pl.hasSurplus = false
		de.Start = selectStarts(in.Bounds, counts, max(want-total, 0))
		de.Reason = fmt.Sprintf("%d requests run and %d wait: %d backend servers wanted, %d exist or are ordered", in.Running, in.Waiting, want, total)
	case want < total:
		n := pl.countToStop(in, want, total)
		de.Stop = selectStops(in, counts, n)
		de.Reason = fmt.Sprintf("%d backend servers wanted, %d exist or are ordered, fewer sufficed for %v", want, total, in.Now-pl.surplusSince)
	default:
		pl.hasSurplus = false
		de.Reason = fmt.Sprintf("%d backend servers wanted, %d exist or are ordered", want, total)
	}

	return de
}

func (pl *Planner) belowMinimum(bo declaration.FleetBounds, counts map[string]int) bool {
	for _, d := range bo.FailureDomains {
		if counts[d] < bo.MinPerDomain {
			return true
		}
	}

	return false
}

// selectStarts returns the failure domains in which to start n backend servers: first
// each domain up to its minimum, then those with the fewest.
func selectStarts(bo declaration.FleetBounds, counts map[string]int, n int) []string {
	var out []string
	have := map[string]int{}
	for _, d := range bo.FailureDomains {
		have[d] = counts[d]
		for have[d] < bo.MinPerDomain {
			out = append(out, d)
			have[d]++
		}
	}
	for len(out) < n {
		best := ""
		for _, d := range bo.FailureDomains {
			if have[d] < bo.MaxPerDomain && (best == "" || have[d] < have[best]) {
				best = d
			}
		}
		if best == "" {
			return out
		}
		have[best]++
		out = append(out, best)
	}

	return out
}

// countToStop returns how many backend servers to stop: those not wanted at any time
// during the idle time, so that a short lull stops none.
func (pl *Planner) countToStop(in Input, want, total int) int {
	if !pl.hasSurplus {
		pl.hasSurplus, pl.surplusSince, pl.peakWanted = true, in.Now, want
	}
	pl.peakWanted = max(pl.peakWanted, want)
	if in.Now < pl.surplusSince+in.Bounds.Idle() {
		return 0
	}

	n := total - pl.peakWanted
	pl.surplusSince, pl.peakWanted = in.Now, want

	return n
}

// selectStops returns the names of up to n backend servers to stop: in the failure
// domains with the most servers, those with the fewest running requests. It leaves each
// domain its minimum.
func selectStops(in Input, counts map[string]int, n int) []string {
	cands := make([]Server, 0, len(in.Servers))
	for _, se := range in.Servers {
		if !se.IsDraining && se.Name != "" {
			cands = append(cands, se)
		}
	}
	var out []string
	for len(out) < n {
		sort.Slice(cands, func(i, j int) bool {
			a, b := cands[i], cands[j]
			if counts[a.FailureDomain] != counts[b.FailureDomain] {
				return counts[a.FailureDomain] > counts[b.FailureDomain]
			}
			if a.Running != b.Running {
				return a.Running < b.Running
			}

			return a.Name < b.Name
		})
		if len(cands) == 0 || counts[cands[0].FailureDomain] <= in.Bounds.MinPerDomain {
			return out
		}
		counts[cands[0].FailureDomain]--
		out = append(out, cands[0].Name)
		cands = cands[1:]
	}

	return out
}
