package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// reportLifetime is how long the report of a process counts that sends no further one: a few
	// times the longest pause between reports.
	reportLifetime = 5 * time.Second
	// settlePeriod is how long a divider knows too few reports after its term began.
	settlePeriod = QuietReportPeriod + 500*time.Millisecond
	// maxProcesses bounds the processes whose reports are kept.
	maxProcesses = 4000
)

// Divider divides the services while its controller leads. It is not safe for concurrent use.
type Divider struct {
	term     uint64
	since    time.Duration // when the term began here
	revision uint64
	reports  map[string]*received
	oldest   time.Duration // time of the oldest report, as of expiredAt
	// Reports are searched for expired ones at most every dividePeriod.
	expiredAt time.Duration
	// The totals of all reports, kept so that a report costs no more than its own length.
	totals   map[Key]*total
	services map[string]*service
}

type received struct {
	report Report
	at     time.Duration
}

// total is the sum of the counts of a workspace at a service.
type total struct {
	use, waiting float64
	processes    int
	share        float64
	isDivided    bool // share is set
}

// service holds the workspaces of a service.
type service struct {
	totals    map[string]*total
	waiting   float64
	capacity  float64 // slots in use at the last division
	dividedAt time.Duration
	isDivided bool
}

// dividePeriod is how often the shares of a service are computed at most.
const dividePeriod = 100 * time.Millisecond

// NewDivider returns a divider without reports.
func NewDivider() *Divider {
	return &Divider{reports: map[string]*received{}, totals: map[Key]*total{}, services: map[string]*service{}}
}

// Lead makes the divider that of a term. Reports of an earlier term are dropped, as processes may
// have reported to another controller since.
func (di *Divider) Lead(now time.Duration, term uint64) {
	if di.term != term {
		*di = *NewDivider()
		di.term, di.since = term, now
	}
}

// Report takes a report and returns the shares. A report that is not later than the last one of its
// process changes nothing.
func (di *Divider) Report(now time.Duration, re *Report, weight func(workspace string) float64) Reply {
	di.expire(now)
	last := di.reports[re.Process]
	isLate := last != nil && (re.BornMs < last.report.BornMs || (re.BornMs == last.report.BornMs && re.Sequence <= last.report.Sequence))
	if !isLate && (last != nil || len(di.reports) < maxProcesses) {
		if last != nil {
			di.add(&last.report, -1)
		}
		kept := *re
		kept.Counts = keepValid(re.Counts)
		di.add(&kept, 1)
		di.reports[re.Process] = &received{report: kept, at: now}
	}
	di.revision++
	rep := Reply{Term: di.term, Revision: di.revision, Sequence: re.Sequence}
	if now-di.since < settlePeriod {
		return rep // some processes have not reported yet: the shares of the last term are better
	}
	rep.AgeMs = (now - di.oldest).Milliseconds()
	for _, co := range re.Counts {
		to := di.totals[co.Key]
		if to == nil || !di.divide(now, co.Key.Service, weight) {
			continue
		}
		share := to.share
		if !to.isDivided { // came after the last division: it gets its demand or an equal part at least
			share = min(to.use+to.waiting, di.services[co.Key.Service].capacity/float64(len(di.services[co.Key.Service].totals)))
		}
		rep.Shares = append(rep.Shares, Share{Key: co.Key, Share: share, Use: to.use})
	}

	return rep
}

// keepValid drops counts that are not numbers or too many.
func keepValid(counts []Count) []Count {
	out := make([]Count, 0, min(len(counts), MaxCounts))
	seen := make(map[Key]bool, len(counts))
	for _, co := range counts {
		sum := co.Use + co.Waiting
		if len(out) == MaxCounts || seen[co.Key] || co.Use < 0 || co.Waiting < 0 || math.IsNaN(sum) || math.IsInf(sum, 0) {
			continue
		}
		seen[co.Key] = true
		out = append(out, co)
	}

	return out
}

// add adds or removes the counts of a report.
func (di *Divider) add(re *Report, sign float64) {
	for _, co := range re.Counts {
		se := di.services[co.Key.Service]
		if se == nil {
			se = &service{totals: map[string]*total{}}
			di.services[co.Key.Service] = se
		}
		to := di.totals[co.Key]
		if to == nil {
			to = &total{}
			di.totals[co.Key], se.totals[co.Key.Workspace] = to, to
		}
		to.use += sign * co.Use
		to.waiting += sign * co.Waiting
		se.waiting += sign * co.Waiting
		if to.processes += int(sign); to.processes == 0 {
			delete(di.totals, co.Key)
			delete(se.totals, co.Key.Workspace)
		}
		if len(se.totals) == 0 {
			delete(di.services, co.Key.Service)
		}
	}
}

// expire drops the reports of processes that have sent none for reportLifetime.
func (di *Divider) expire(now time.Duration) {
	if di.oldest > 0 && now-di.expiredAt < dividePeriod {
		return
	}
	di.oldest, di.expiredAt = now, now
	for name, rc := range di.reports {
		if now-rc.at > reportLifetime {
			di.add(&rc.report, -1)
			delete(di.reports, name)

			continue
		}
		di.oldest = min(di.oldest, rc.at)
	}
}

// minWaiting is the number of waiting requests below which a service is not short of slots. Sums
// of floating-point numbers leave a rest.
const minWaiting = 1e-6

// divide computes the shares of a service unless they are new. It reports false if nothing waits:
// then no shares are needed. While anything waits, the slots in use are all that there are.
func (di *Divider) divide(now time.Duration, name string, weight func(workspace string) float64) bool {
	se := di.services[name]
	if se.waiting < minWaiting {
		return false
	}
	if se.isDivided && now-se.dividedAt < dividePeriod {
		return true
	}
	se.isDivided, se.dividedAt = true, now
	claims := make([]Claim, 0, len(se.totals))
	totals := make([]*total, 0, len(se.totals))
	capacity := 0.0
	for workspace, to := range se.totals {
		claims = append(claims, Claim{Weight: weight(workspace), Demand: to.use + to.waiting})
		totals = append(totals, to)
		capacity += to.use
	}
	se.capacity = capacity
	for i, share := range Divide(capacity, claims) {
		totals[i].share, totals[i].isDivided = share, true
	}

	return true
}

// Standing is the demand, share and use of a workspace at all services with waiting requests.
type Standing struct {
	Workspace           string
	Use, Waiting, Share float64
}

// Standings returns the standings of the workspaces at the services for which anything waits, those
// with the highest demand first, n at most.
func (di *Divider) Standings(n int) []Standing {
	sums := map[string]*Standing{}
	for _, se := range di.services {
		if se.waiting < minWaiting {
			continue
		}
		for workspace, to := range se.totals {
			st := sums[workspace]
			if st == nil {
				st = &Standing{Workspace: workspace}
				sums[workspace] = st
			}
			st.Use, st.Waiting, st.Share = st.Use+to.use, st.Waiting+to.waiting, st.Share+to.share
		}
	}
	out := make([]Standing, 0, len(sums))
	for _, st := range sums {
		out = append(out, *st)
	}
	slices.SortFunc(out, func(a, b Standing) int {
		return cmp.Or(cmp.Compare(b.Use+b.Waiting, a.Use+a.Waiting), cmp.Compare(a.Workspace, b.Workspace))
	})

	return out[:min(n, len(out))]
}

// Services returns the number of services for which anything waits, and Processes the number of
// processes that report.
func (di *Divider) Services() (waiting, processes int) {
	for _, se := range di.services {
		if se.waiting >= minWaiting {
			waiting++
		}
	}

	return waiting, len(di.reports)
}
