package fairshare

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// ReportPeriod is the pause between reports while anything waits in the process.
	ReportPeriod = 400 * time.Millisecond
	// QuietReportPeriod is the pause while nothing waits: others may need to know the use.
	QuietReportPeriod = 2 * time.Second
	// MaxCounts bounds the workspaces in a report; those with the highest use and demand are named.
	MaxCounts = 128
	// shareLifetime is how long a process uses its last shares. After it, local fairness holds.
	shareLifetime = 3 * time.Second
	// useMemory is the time over which use and waiting are averaged. With it a workspace that
	// returns is below its share, and one that has stopped is forgotten, within a second.
	useMemory = 400 * time.Millisecond
	// minCount is the use and demand below which a workspace is not counted.
	minCount = 0.005
)

// Holder counts the use and demand of a process and holds its shares. It is safe for concurrent
// use.
type Holder struct {
	process string
	bornMs  int64

	mu         sync.Mutex
	counts     map[Key]*count
	shares     map[Key]heldShare
	sequence   uint64
	reportedAt time.Duration
	term       uint64 // of the last reply
	revision   uint64
	appliedAt  time.Duration // when the last reply was applied, less its age
	hasShares  bool
}

// count is the use and demand of a workspace at a service in this process.
type count struct {
	inFlight, waiting int
	use, demand       float64 // averages of inFlight and waiting
	at                time.Duration
	reportedUse       float64
}

type heldShare struct {
	Share
	ownUse float64 // of this process, as contained in Use
}

// NewHolder returns a holder without shares.
func NewHolder(process string, bornMs int64) *Holder {
	return &Holder{process: process, bornMs: bornMs, counts: map[Key]*count{}, shares: map[Key]heldShare{}, reportedAt: -QuietReportPeriod}
}

// update advances the averages of a count.
func (co *count) update(now time.Duration) {
	if now <= co.at {
		return
	}
	f := 1 - math.Exp(-(now-co.at).Seconds()/useMemory.Seconds())
	co.use += f * (float64(co.inFlight) - co.use)
	co.demand += f * (float64(co.waiting) - co.demand)
	co.at = now
}

// get returns the count of a key as of now. The caller holds mu.
func (ho *Holder) get(now time.Duration, ke Key) *count {
	co := ho.counts[ke]
	if co == nil {
		co = &count{at: now}
		ho.counts[ke] = co
	}
	co.update(now)

	return co
}

// Begin counts a request or item that occupies a slot from now on.
func (ho *Holder) Begin(now time.Duration, ke Key) { ho.change(now, ke, 1, 0) }

// End counts the end of a request or item that Begin counted.
func (ho *Holder) End(now time.Duration, ke Key) { ho.change(now, ke, -1, 0) }

// Wait counts a request that waits for a slot from now on.
func (ho *Holder) Wait(now time.Duration, ke Key) { ho.change(now, ke, 0, 1) }

// EndWait counts the end of the wait that Wait counted.
func (ho *Holder) EndWait(now time.Duration, ke Key) { ho.change(now, ke, 0, -1) }

func (ho *Holder) change(now time.Duration, ke Key, inFlight, waiting int) {
	ho.mu.Lock()
	defer ho.mu.Unlock()

	co := ho.get(now, ke)
	co.inFlight, co.waiting = max(co.inFlight+inFlight, 0), max(co.waiting+waiting, 0)
}

// SetWaiting replaces the waiting items of all workspaces, for a process that knows all of them.
func (ho *Holder) SetWaiting(now time.Duration, waiting map[Key]int) {
	ho.mu.Lock()
	defer ho.mu.Unlock()

	for ke := range ho.counts {
		ho.get(now, ke).waiting = waiting[ke]
	}
	for ke, n := range waiting {
		ho.get(now, ke).waiting = n
	}
}

// NextReport returns the report that is due, or nil. A process that uses nothing and whose last
// report said so sends none.
func (ho *Holder) NextReport(now time.Duration) *Report {
	ho.mu.Lock()
	defer ho.mu.Unlock()

	period, hadUse := QuietReportPeriod, len(ho.counts) > 0
	for ke, co := range ho.counts {
		co.update(now)
		if co.waiting > 0 || co.demand > minCount {
			period = ReportPeriod
		}
		if co.inFlight == 0 && co.waiting == 0 && co.use+co.demand < minCount {
			delete(ho.counts, ke)
		}
	}
	if !hadUse || now-ho.reportedAt < period {
		return nil
	}
	ho.reportedAt = now
	ho.sequence++
	re := &Report{Process: ho.process, BornMs: ho.bornMs, Sequence: ho.sequence}
	for ke, co := range ho.counts {
		re.Counts = append(re.Counts, Count{Key: ke, Use: co.use, Waiting: co.demand})
	}
	slices.SortFunc(re.Counts, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Use+b.Waiting, a.Use+a.Waiting), a.Key.compare(b.Key))
	})
	re.Counts = re.Counts[:min(len(re.Counts), MaxCounts)]
	for _, co := range ho.counts {
		co.reportedUse = 0
	}
	for _, rc := range re.Counts {
		ho.counts[rc.Key].reportedUse = rc.Use
	}

	return re
}

// Apply takes the shares of a reply. A reply to an earlier report, or that is not later than the
// last one, is ignored, so that shares never go back.
func (ho *Holder) Apply(now time.Duration, rep *Reply) bool {
	ho.mu.Lock()
	defer ho.mu.Unlock()

	age := time.Duration(rep.AgeMs) * time.Millisecond
	isOld := rep.Term < ho.term || (rep.Term == ho.term && rep.Revision <= ho.revision)
	if isOld || rep.Sequence != ho.sequence || age < 0 || age > reportLifetime {
		return false
	}
	ho.term, ho.revision = rep.Term, rep.Revision
	if len(rep.Shares) == 0 && ho.hasShares && now-ho.appliedAt <= shareLifetime {
		return false // the controller knows too little yet, or nothing waits
	}
	ho.appliedAt, ho.hasShares = now, len(rep.Shares) > 0
	clear(ho.shares)
	for _, sh := range rep.Shares {
		own := 0.0
		if co := ho.counts[sh.Key]; co != nil {
			own = co.reportedUse
		}
		ho.shares[sh.Key] = heldShare{Share: sh, ownUse: own}
	}

	return true
}

// Excess returns the use of a workspace at a service by its share, above 1 if it is above its
// share. It reports false if no share is known that is new enough.
func (ho *Holder) Excess(now time.Duration, ke Key) (float64, bool) {
	ho.mu.Lock()
	defer ho.mu.Unlock()

	sh, ok := ho.shares[ke]
	if !ok || now-ho.appliedAt > shareLifetime {
		return 0, false
	}
	use := sh.Use
	if co := ho.counts[ke]; co != nil {
		co.update(now)
		use += co.use - sh.ownUse
	}

	return max(use, 0) / max(sh.Share.Share, minCount), true
}

// Totals returns the slots in use and the requests and items that wait in this process, and whether
// it has shares that are new enough.
func (ho *Holder) Totals(now time.Duration) (inFlight, waiting int, isShared bool) {
	ho.mu.Lock()
	defer ho.mu.Unlock()

	for _, co := range ho.counts {
		inFlight += co.inFlight
		waiting += co.waiting
	}

	return inFlight, waiting, ho.hasShares && now-ho.appliedAt <= shareLifetime
}
