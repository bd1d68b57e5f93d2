// Package scheduler picks the backend server of a request. Among a few random
// candidates with an eligible weight version, it prefers those with the lowest load,
// with the prompt's prefix in their cache (a hint from cache events or from earlier
// requests) and in the failure domain of the process that places the request, a gateway
// or a job store. As load reports lag, it adds the requests that this process has in
// flight. New backend servers start slowly and outliers are ejected. Where backend servers
// report their pace, it prefers those where the request is expected to be complete first
// instead. The candidates, the time and the random source are arguments.
package scheduler

import "time"

// Candidate is the state of one backend server, as known to this process.
type Candidate struct {
	Slots            int
	Running          int    // requests of all processes, as last reported
	InFlight         int    // requests in flight from this process
	InFlightReported int    // the part of Running that came from this process
	Tokens           int    // estimated tokens in flight from this process
	Sequence         uint64 // of the weight version that it serves
	FailureDomain    string
	IsReady          bool
	RunsSuspect      bool // runs a suspect request and accepts no second one
	HasIdle          bool // an idle connection to it is open
	ReadySince       time.Duration
	SkipsSlowStart   bool    // may have been ready long before this process knew it
	Failures         float64 // count of failures, reduced by each success
	EjectedUntil     time.Duration
	Latency          float64 // moving average in seconds per token or per request
	Work             float64 // expected seconds of all requests in flight from this process, at usual speed
	Slowness         float64 // lasting time per work, relative to the usual one; 0 if unknown
	Pace             float64 // reported time per work at this moment, relative to the usual one; 0 if unknown
}

// Request describes the request to place.
type Request struct {
	MinSequence   uint64 // of the weight version
	NewestFirst   bool   // newer weights weigh more than load
	FailureDomain string // of this process
	Affinity      int    // index of the candidate that holds the prefix, -1 for none
	Tokens        int    // estimated
	IsSuspect     bool   // was in flight at the crash of a backend server
	Exclude       []int  // indices of candidates
	Sharers       int    // number of processes that share the backend servers
	ExtraSlots    int    // the part of Candidate.Slots in which requests wait
	Work          Work
}

// Work is the expected work of a request and of those that it competes with, in seconds of one
// slot of a backend server of usual speed.
type Work struct {
	IsPaced bool    // backend servers of the service report their pace; otherwise the rest is not used
	Own     float64 // of the request, 0 if unknown
	Prompt  float64 // the part of Own that the candidate saves which holds the prefix
	Mean    float64 // of the requests of the service, 0 if unknown
	Usual   float64 // mean of the service's requests in flight, 0 if unknown; long ones are in flight for longer
	Queued  float64 // mean of those that a request waits for at a full backend server, 0 if unknown
}

// Values of Config.Policy.
const (
	PolicyScore         = "score"
	PolicyCompletion    = "completion" // PolicyScore where backend servers report no pace
	PolicyRoundRobin    = "roundRobin"
	PolicyLeastInFlight = "leastInFlight"
)

// Config holds the policy and the weights of the score.
type Config struct {
	Policy          string
	RandomChoices   int           // number of random candidates compared
	AffinityBonus   float64       // bonus for the holder of the prefix
	DomainBonus     float64       // bonus for the process's own failure domain
	IdleBonus       float64       // bonus for an idle connection
	SlowStart       time.Duration // time until a new candidate gets its full load
	EjectFailures   float64       // value of Candidate.Failures that ejects a candidate
	MaxEjectedShare float64       // largest share of the ready candidates that may be ejected

	// These are used by PolicyCompletion only, as shares of the request's work.
	ConnectShare float64 // cost of a new connection
	DomainShare  float64 // cost of another failure domain
	Jitter       float64 // largest random part of the expected time
}

// Defaults fills the fields left zero.
func (c *Config) Defaults() {
	if c.Policy == "" {
		c.Policy = PolicyScore
	}
	if c.RandomChoices == 0 {
		c.RandomChoices = 4
	}
	if c.AffinityBonus == 0 {
		c.AffinityBonus = 0.25
	}
	if c.DomainBonus == 0 {
		c.DomainBonus = 0.1
	}
	if c.IdleBonus == 0 {
		c.IdleBonus = 0.12 // less than the 1/8 that one more request costs with eight slots
	}
	if c.SlowStart == 0 {
		c.SlowStart = 2 * time.Second
	}
	if c.EjectFailures == 0 {
		c.EjectFailures = 3
	}
	if c.MaxEjectedShare == 0 {
		c.MaxEjectedShare = 0.4
	}
	if c.ConnectShare == 0 {
		c.ConnectShare = 0.3
	}
	if c.DomainShare == 0 {
		c.DomainShare = 0.1
	}
	if c.Jitter == 0 {
		c.Jitter = 0.05
	}
}

// Scheduler picks one of several candidates. It is not safe for concurrent use.
type Scheduler struct {
	cfg             Config
	random          func(n int) int
	roundRobinIndex int
}

// New returns a scheduler. random returns a number in [0, n).
func New(cfg Config, random func(n int) int) *Scheduler {
	cfg.Defaults()

	return &Scheduler{cfg: cfg, random: random}
}

// maxEjection is the longest time for which one failure ejects a candidate.
const maxEjection = 5 * time.Second

// NoCandidate is returned by Pick when no candidate has room.
const NoCandidate = -1

// Pick returns the index of the candidate to use, or NoCandidate. It compares the
// candidate with the prefix, those with an idle connection and a few random ones. If
// none of them has room, it takes the first with room, starting at a random index.
func (sc *Scheduler) Pick(now time.Duration, cands []Candidate, rq *Request) int {
	if len(cands) == 0 {
		return NoCandidate
	}

	switch sc.cfg.Policy {
	case PolicyRoundRobin:
		return sc.pickRoundRobin(now, cands, rq)
	case PolicyLeastInFlight:
		return sc.pickLeastInFlight(now, cands, rq)
	}

	rate := sc.score
	if sc.cfg.Policy == PolicyCompletion && rq.Work.IsPaced {
		rq.Work.fill()
		rate = sc.completion
	}
	best, bestScore := NoCandidate, 0.0
	consider := func(i int) {
		if !sc.HasRoom(now, &cands[i], i, rq) {
			return
		}
		if s := rate(&cands[i], i, rq); best == NoCandidate || s < bestScore {
			best, bestScore = i, s
		}
	}
	if rq.Affinity >= 0 && rq.Affinity < len(cands) {
		consider(rq.Affinity)
	}
	if len(cands) <= 2*sc.cfg.RandomChoices {
		for i := range cands {
			consider(i)
		}

		return best
	}

	for i := range cands {
		if cands[i].HasIdle {
			consider(i)
		}
	}
	for range sc.cfg.RandomChoices {
		consider(sc.random(len(cands)))
	}
	if best != NoCandidate {
		return best
	}
	first := sc.random(len(cands))
	for i := range cands {
		consider((first + i) % len(cands))
		if best != NoCandidate {
			return best
		}
	}

	return best
}

func isExcluded(rq *Request, i int) bool {
	for _, x := range rq.Exclude {
		if x == i {
			return true
		}
	}

	return false
}

// Room returns how many more requests this process may send to the candidate: the
// slots that the others leave free, but at least an equal share of all slots, less its
// own requests in flight.
func Room(ca *Candidate, sharers int) int {
	others := max(0, ca.Running-ca.InFlightReported)
	share := (ca.Slots + sharers - 1) / max(sharers, 1)

	return max(ca.Slots-others, share) - ca.InFlight
}

// HasRoom reports whether candidate i may run the request now.
func (sc *Scheduler) HasRoom(now time.Duration, ca *Candidate, i int, rq *Request) bool {
	if !ca.IsReady || ca.Sequence < rq.MinSequence || isExcluded(rq, i) || now < ca.EjectedUntil {
		return false
	}
	if rq.IsSuspect && ca.RunsSuspect {
		return false
	}
	room := Room(ca, rq.Sharers)
	if age := now - ca.ReadySince; !ca.SkipsSlowStart && age < sc.cfg.SlowStart {
		allowed := 1 + int(float64(ca.Slots)*float64(age)/float64(sc.cfg.SlowStart))
		room = min(room, allowed-ca.InFlight)
	}

	return room > 0
}

// score returns the share of the slots in use after the request, less the bonuses for
// affinity, failure domain, idle connection and newer weights, plus penalties for
// tokens in flight and failures. The lowest score is the best.
func (sc *Scheduler) score(ca *Candidate, i int, rq *Request) float64 {
	others := max(0, ca.Running-ca.InFlightReported)
	s := float64(others+ca.InFlight+1) / float64(max(ca.Slots, 1))
	s += float64(ca.Tokens) / float64(64*1024)
	if i == rq.Affinity {
		s -= sc.cfg.AffinityBonus
	}
	if ca.FailureDomain == rq.FailureDomain {
		s -= sc.cfg.DomainBonus
	}
	if ca.HasIdle {
		s -= sc.cfg.IdleBonus
	}
	s += 0.3 * ca.Failures
	if rq.NewestFirst && ca.Sequence > 0 {
		s -= 0.5 * float64(ca.Sequence-rq.MinSequence)
	}

	return s
}

func (sc *Scheduler) pickRoundRobin(now time.Duration, cands []Candidate, rq *Request) int {
	for range cands {
		sc.roundRobinIndex++
		if i := sc.roundRobinIndex % len(cands); sc.HasRoom(now, &cands[i], i, rq) {
			return i
		}
	}

	return NoCandidate
}

func (sc *Scheduler) pickLeastInFlight(now time.Duration, cands []Candidate, rq *Request) int {
	best := NoCandidate
	for i := range cands {
		if sc.HasRoom(now, &cands[i], i, rq) && (best == NoCandidate || cands[i].InFlight < cands[best].InFlight) {
			best = i
		}
	}

	return best
}

// RecordFailure records a failure of candidate i. It ejects the candidate once its
// failures reach Config.EjectFailures, unless too many are ejected already.
func (sc *Scheduler) RecordFailure(now time.Duration, cands []Candidate, i int) {
	ca := &cands[i]
	ca.Failures++
	if ca.Failures < sc.cfg.EjectFailures {
		return
	}

	ejected, ready := 1, 0
	for j := range cands {
		if cands[j].IsReady {
			ready++
		}
		if j != i && now < cands[j].EjectedUntil {
			ejected++
		}
	}
	if float64(ejected) <= sc.cfg.MaxEjectedShare*float64(ready) {
		ca.EjectedUntil = now + min(time.Duration(ca.Failures)*time.Second, maxEjection)
	}
}

// RecordSuccess records a success of the candidate, which reduces its failure count.
func (sc *Scheduler) RecordSuccess(ca *Candidate) { ca.Failures *= 0.7 }
