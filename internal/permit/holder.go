// Package permit keeps the requests to backend servers within the rate limits that they name
// in their answers.
package permit

import (
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/backend"
)

// Server identifies an incarnation of a backend server.
type Server struct {
	ID     string `cbor:"1,keyasint"`
	BornMs int64  `cbor:"2,keyasint"` // start of the incarnation, Unix milliseconds
}

// Config configures a Holder.
type Config struct {
	Log log.Interface
}

// Holder knows the limits that backend servers named to this process. It is safe for
// concurrent use.
type Holder struct {
	cfg Config

	mu     sync.Mutex
	limits map[Server]*limit
}

// limit is a limit in force.
type limit struct {
	perSecond float64
	namedAt   time.Duration // when this process last learned of it
	requests  int           // sent to the backend server since this process knows the limit
}

// NewHolder returns a holder that knows no limit.
func NewHolder(cfg Config) *Holder { return &Holder{cfg: cfg, limits: map[Server]*limit{}} }

// RecordSend records that a request is sent to a backend server.
func (ho *Holder) RecordSend(se Server) {
	ho.mu.Lock()
	defer ho.mu.Unlock()

	if li := ho.limits[se]; li != nil {
		li.requests++
	}
}

// Observe records what an answer to a request that was sent at sentAt says of the limit. An
// answer without a limit ends it only if the request was sent after the limit was learned:
// answers overtake each other.
func (ho *Holder) Observe(se Server, sentAt, now time.Duration, rl backend.RateLimit) {
	ho.mu.Lock()
	defer ho.mu.Unlock()

	li := ho.limits[se]
	fl := log.Fields{"server": se.ID, "born": se.BornMs}
	if li != nil {
		fl["oldPerSecond"], fl["requests"] = li.perSecond, li.requests
	}
	switch {
	case rl.Kind == backend.RateUnreadable:
		ho.cfg.Log.WithFields(fl).Warn("rate limit of a backend server is not a number, it is ignored")
	case rl.Kind == backend.RateLimited && li == nil:
		ho.limits[se] = &limit{perSecond: rl.PerSecond, namedAt: now}
		fl["perSecond"] = rl.PerSecond
		ho.cfg.Log.WithFields(fl).Info("rate limit of a backend server changed")
	case rl.Kind == backend.RateLimited:
		if li.perSecond != rl.PerSecond {
			fl["perSecond"] = rl.PerSecond
			ho.cfg.Log.WithFields(fl).Info("rate limit of a backend server changed")
		}
		li.perSecond, li.namedAt = rl.PerSecond, now
	case li != nil && sentAt > li.namedAt:
		delete(ho.limits, se)
		ho.cfg.Log.WithFields(fl).Info("rate limit of a backend server ended")
	}
}
