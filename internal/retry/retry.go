// Package retry decides whether a failed attempt is tried again. It is a core:
// time and the random source are arguments.
package retry

import (
	"time"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

// Config are the limits of retries.
type Config struct {
	Ratio     float64 // retries earned by each first attempt
	MinBudget float64 // retries a workspace may always make in a burst
	BaseDelay time.Duration
	MaxDelay  time.Duration
	NoBudget  bool // every failure is tried again (a baseline)
}

// Defaults fills the fields left zero.
func (c *Config) Defaults() {
	if c.Ratio == 0 {
		c.Ratio = 0.1
	}
	if c.MinBudget == 0 {
		c.MinBudget = 10
	}
	if c.BaseDelay == 0 {
		c.BaseDelay = 10 * time.Millisecond
	}
	if c.MaxDelay == 0 {
		c.MaxDelay = 500 * time.Millisecond
	}
}

// Budget holds what may be spent on retries, by route and workspace.
type Budget struct {
	cfg         Config
	random      func() float64
	retriesLeft map[string]float64
}

// NewBudget returns full budgets.
func NewBudget(cfg Config, random func() float64) *Budget {
	cfg.Defaults()

	return &Budget{cfg: cfg, random: random, retriesLeft: map[string]float64{}}
}

// First notes a first attempt, which earns a part of a retry.
func (bu *Budget) First(key string) {
	v, ok := bu.retriesLeft[key]
	if !ok {
		v = bu.cfg.MinBudget
	}
	bu.retriesLeft[key] = min(v+bu.cfg.Ratio, bu.cfg.MinBudget*10)
}

// Attempt describes a failed attempt.
type Attempt struct {
	Key          string // route and workspace
	Number       int    // from 1
	MaxRetries   int
	IsRepeatable bool
	Err          *result.Error
	Now          time.Duration
	Deadline     time.Duration
}

// Decision says what follows a failed attempt.
type Decision struct {
	Retry  bool
	Delay  time.Duration
	Reason string // for the counter
	Err    *result.Error
}

// retriable lists the codes after which another backend server may succeed.
var retriable = map[result.Code]string{
	result.BackendUnreachable:  "unreachable",
	result.BackendCrashed:      "crashed",
	result.BackendAnswerBroken: "answerBroken",
	result.ServerDraining:      "draining",
	result.StreamCut:           "streamCut",
	result.VersionUnknown:      "versionUnknown",
	result.BackendRefused:      "refused",
	result.AttemptRepeated:     "attemptRepeated",
}

// Decide judges a failed attempt. What may have begun is never sent twice if it
// may not be repeated.
func (bu *Budget) Decide(at Attempt) Decision {
	reason, ok := retriable[at.Err.Code]
	switch {
	case !ok:
		return Decision{Reason: "final", Err: at.Err}
	case !at.IsRepeatable && at.Err.Execution != result.NotRun:
		return Decision{Reason: "notRepeatable", Err: at.Err}
	case bu.cfg.NoBudget:
		return Decision{Retry: at.Deadline == 0 || at.Now < at.Deadline, Reason: reason, Err: at.Err}
	case at.Number > at.MaxRetries:
		return Decision{Reason: "attemptsSpent", Err: at.Err}
	}

	delay := bu.delay(at)
	if at.Deadline > 0 && at.Now+delay >= at.Deadline {
		return Decision{Reason: "deadline", Err: at.Err}
	}
	if bu.retriesLeft[at.Key] < 1 {
		er := result.New(result.RetryBudgetSpent, "retry: the budget of %s is spent after: %s", at.Key, at.Err.Message)

		return Decision{Reason: "budgetSpent", Err: er.With(at.Err.Execution).After(time.Second)}
	}
	bu.retriesLeft[at.Key]--

	return Decision{Retry: true, Delay: delay, Reason: reason, Err: at.Err}
}

// delay grows with the attempts and is jittered; an attempt that surely has not
// run is tried elsewhere at once.
func (bu *Budget) delay(at Attempt) time.Duration {
	if at.Number == 1 && at.Err.Execution == result.NotRun {
		return 0
	}
	d := min(bu.cfg.BaseDelay<<min(at.Number-1, 10), bu.cfg.MaxDelay)

	return time.Duration(float64(d) * (0.5 + bu.random()))
}
