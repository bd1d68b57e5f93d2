// Package scheduler picks the backend server of a request: eligible weight
// versions, prefix affinity from cache events as hints, own requests in flight on
// top of lagging load reports, a few random choices, preference for the own
// failure domain, a slow start for newcomers and ejection of outliers. It is a
// core: the candidates, the time and the random source are arguments.
package scheduler

import "time"

// Candidate is what the scheduler sees of one backend server.
type Candidate struct {
	Slots         int
	Running       int // as last reported, by all gateways
	Mine          int // in flight from this gateway
	MineReported  int // of Running, how many were this gateway's when reported
	Tokens        int // estimated tokens in flight from this gateway
	Sequence      uint64
	FailureDomain string
	IsReady       bool
	IsExclusive   bool // runs a suspect request, takes no second one
	HasIdle       bool // an unused connection to it is open
	ReadySince    time.Duration
	Failures      float64 // decayed count of failures
	EjectedUntil  time.Duration
	Latency       float64 // decayed seconds per token or per request
}

// Request is what is to be placed.
type Request struct {
	MinSequence   uint64
	NewestFirst   bool // prefer newer weights before load
	FailureDomain string
	Affinity      int // index of the candidate that holds the prefix, -1 for none
	Tokens        int
	IsSuspect     bool
	Exclude       []int
	Gateways      int // that share the backend servers
}

// Policies that a Config may name.
const (
	PolicyScore      = "score"
	PolicyRoundRobin = "roundRobin"
	PolicyLeastMine  = "leastInFlight"
)

// Config are the weights of the decision.
type Config struct {
	Policy         string
	Choices        int // random candidates looked at
	AffinityGain   float64
	DomainGain     float64
	IdleGain       float64 // what an unused connection is worth
	SlowStart      time.Duration
	EjectFailures  float64
	MaxEjectedPart float64 // share of the candidates that may be ejected
}

// Defaults fills the fields left zero.
func (c *Config) Defaults() {
	if c.Policy == "" {
		c.Policy = PolicyScore
	}
	if c.Choices == 0 {
		c.Choices = 4
	}
	if c.AffinityGain == 0 {
		c.AffinityGain = 0.25
	}
	if c.DomainGain == 0 {
		c.DomainGain = 0.1
	}
	if c.IdleGain == 0 {
		c.IdleGain = 0.12 // below one request more at a backend server with eight slots
	}
	if c.SlowStart == 0 {
		c.SlowStart = 2 * time.Second
	}
	if c.EjectFailures == 0 {
		c.EjectFailures = 3
	}
	if c.MaxEjectedPart == 0 {
		c.MaxEjectedPart = 0.4
	}
}

// Scheduler picks among candidates. It is not safe for concurrent use.
type Scheduler struct {
	cfg    Config
	random func(n int) int
	roundRobinIndex   int
}

// New returns a scheduler.
func New(cfg Config, random func(n int) int) *Scheduler {
	cfg.Defaults()

	return &Scheduler{cfg: cfg, random: random}
}

// maxEjection bounds how long an outlier is left out at once.
const maxEjection = 5 * time.Second

// NoCandidate is returned by Pick when no candidate has room.
const NoCandidate = -1

// Pick returns the index of the candidate to use, or NoCandidate. It looks at those
// with an unused connection and a few random ones first, and at all of them only if
// none of those has room.
func (sc *Scheduler) Pick(now time.Duration, cands []Candidate, rq *Request) int {
	if len(cands) == 0 {
		return NoCandidate
	}

	switch sc.cfg.Policy {
	case PolicyRoundRobin:
		return sc.pickRoundRobin(now, cands, rq)
	case PolicyLeastMine:
		return sc.pickLeastInFlight(now, cands, rq)
	}

	best, bestScore := NoCandidate, 0.0
	consider := func(i int) {
		if !sc.hasRoom(now, &cands[i], i, rq) {
			return
		}
		if s := sc.score(now, &cands[i], i, rq); best == NoCandidate || s < bestScore {
			best, bestScore = i, s
		}
	}
	if rq.Affinity >= 0 && rq.Affinity < len(cands) {
		consider(rq.Affinity)
	}
	if len(cands) <= 2*sc.cfg.Choices {
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
	for range sc.cfg.Choices {
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

// Room returns how many further requests this gateway may send to the candidate:
// what the others leave, but at least its own share of the slots.
func Room(ca *Candidate, gateways int) int {
	others := max(0, ca.Running-ca.MineReported)
	share := (ca.Slots + gateways - 1) / max(gateways, 1)

	return max(ca.Slots-others, share) - ca.Mine
}

func (sc *Scheduler) hasRoom(now time.Duration, ca *Candidate, i int, rq *Request) bool {
	if !ca.IsReady || ca.Sequence < rq.MinSequence || isExcluded(rq, i) || now < ca.EjectedUntil {
		return false
	}
	if rq.IsSuspect && ca.IsExclusive {
		return false
	}
	room := Room(ca, rq.Gateways)
	if age := now - ca.ReadySince; age < sc.cfg.SlowStart {
		allowed := 1 + int(float64(ca.Slots)*float64(age)/float64(sc.cfg.SlowStart))
		room = min(room, allowed-ca.Mine)
	}

	return room > 0
}

// score is lower for better candidates: the share of the slots in use after the
// request, less what affinity and nearness are worth, more for failures and slowness.
func (sc *Scheduler) score(now time.Duration, ca *Candidate, i int, rq *Request) float64 {
	others := max(0, ca.Running-ca.MineReported)
	s := float64(others+ca.Mine+1) / float64(max(ca.Slots, 1))
	s += float64(ca.Tokens) / float64(64*1024)
	if i == rq.Affinity {
		s -= sc.cfg.AffinityGain
	}
	if ca.FailureDomain == rq.FailureDomain {
		s -= sc.cfg.DomainGain
	}
	if ca.HasIdle {
		s -= sc.cfg.IdleGain
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
		if i := sc.roundRobinIndex % len(cands); sc.hasRoom(now, &cands[i], i, rq) {
			return i
		}
	}

	return NoCandidate
}

func (sc *Scheduler) pickLeastInFlight(now time.Duration, cands []Candidate, rq *Request) int {
	best := NoCandidate
	for i := range cands {
		if sc.hasRoom(now, &cands[i], i, rq) && (best == NoCandidate || cands[i].Mine < cands[best].Mine) {
			best = i
		}
	}

	return best
}

// Failed notes a failure of the candidate and ejects it when it fails more than
// the others, as long as not too many are ejected already.
func (sc *Scheduler) Failed(now time.Duration, cands []Candidate, i int) {
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
	if float64(ejected) <= sc.cfg.MaxEjectedPart*float64(ready) {
		ca.EjectedUntil = now + min(time.Duration(ca.Failures)*time.Second, maxEjection)
	}
}

// Succeeded notes a success of the candidate.
func (sc *Scheduler) Succeeded(ca *Candidate) { ca.Failures *= 0.7 }
