// Package retry decides whether a failed attempt is retried. Time and the random
// source are arguments.
package retry

import (
	"time"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

// Config holds the limits of retries.
type Config struct {
	Ratio         float64       // retries added to the budget by each first attempt
	InitialBudget float64       // retries in a new budget, which holds up to ten times as many
	BaseDelay     time.Duration // back-off before jitter, doubled with each attempt
	MaxDelay      time.Duration // largest back-off before jitter
	NoBudget      bool          // every retriable failure is retried, a baseline for comparison
}

// Defaults fills the fields left zero.
func (c *Config) Defaults() {
	if c.Ratio == 0 {
		c.Ratio = 0.1
	}
	if c.InitialBudget == 0 {
		c.InitialBudget = 10
	}
	if c.BaseDelay == 0 {
		c.BaseDelay = 10 * time.Millisecond
	}
	if c.MaxDelay == 0 {
		c.MaxDelay = 500 * time.Millisecond
	}
}

// Budget holds how many retries are left for each route and workspace.
type Budget struct {
	cfg         Config
	random      func() float64
	retriesLeft map[string]float64
}

// NewBudget returns a budget in which every key starts with Config.InitialBudget.
// random returns a number in [0, 1).
func NewBudget(cfg Config, random func() float64) *Budget {
	cfg.Defaults()

	return &Budget{cfg: cfg, random: random, retriesLeft: map[string]float64{}}
}

// RecordFirstAttempt records a first attempt, which adds Config.Ratio to the budget of
// key.
func (bu *Budget) RecordFirstAttempt(key string) {
	v, ok := bu.retriesLeft[key]
	if !ok {
		v = bu.cfg.InitialBudget
	}
	bu.retriesLeft[key] = min(v+bu.cfg.Ratio, bu.cfg.InitialBudget*10)
}

// Attempt describes a failed attempt.
type Attempt struct {
	Key          string // route and workspace
	Number       int    // from 1
	MaxRetries   int
	IsRepeatable bool // may run more than once
	Err          *result.Error
	Now          time.Duration
	Deadline     time.Duration // 0 for none
}

// Decision is what to do after a failed attempt: retry it, or return Err.
type Decision struct {
	Retry  bool
	Delay  time.Duration
	Reason string // suffix of the counter's name
	Err    *result.Error
}

// retriable maps the codes after which another backend server may succeed to the
// reason that is counted.
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

// Decide returns whether a failed attempt is retried. A request that is not repeatable
// is retried only if the attempt has surely not run.
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
		er := result.New(result.RetryBudgetSpent, "retry: the retry budget of %s is spent; last error: %s", at.Key, at.Err.Message)

		return Decision{Reason: "budgetSpent", Err: er.WithExecution(at.Err.Execution).WithRetryAfter(time.Second)}
	}
	bu.retriesLeft[at.Key]--

	return Decision{Retry: true, Delay: delay, Reason: reason, Err: at.Err}
}

// delay returns the back-off before the next attempt: exponential, with a jitter of
// 0.5 to 1.5 times. A first attempt that surely has not run is retried without delay.
func (bu *Budget) delay(at Attempt) time.Duration {
	if at.Number == 1 && at.Err.Execution == result.NotRun {
		return 0
	}
	d := min(bu.cfg.BaseDelay<<min(at.Number-1, 10), bu.cfg.MaxDelay)

	return time.Duration(float64(d) * (0.5 + bu.random()))
}
