// Package permit keeps the requests to backend servers within the rate limits that they name
// in their answers, and those of cold ones. A limit holds for all processes together. The broker, one controller at a
// time, divides it: a process asks for a permit for each request to a limited backend server.
// While no broker answers, each process uses an equal share. Nothing here does input or output.
package permit

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/tamarackbay/tamarackbay/internal/registry"
)

// Limit is what is known of the rate limit of a backend server.
type Limit struct {
	Server    registry.Incarnation `cbor:"1,keyasint"`
	PerSecond float64              `cbor:"2,keyasint"` // requests a second that it takes from all processes together
	IsOver    bool                 `cbor:"3,keyasint"` // it limits its rate no longer
	// Revision orders what the brokers published of one server. It is 0 before that.
	Revision uint64 `cbor:"4,keyasint"`
	// IsCold is set in a Request where the process knows the backend server as cold.
	IsCold bool `cbor:"5,keyasint,omitempty"`
}

// Request asks for permits for any of some backend servers.
type Request struct {
	Holder  string  `cbor:"1,keyasint"` // name of the process that asks
	Urgency int     `cbor:"2,keyasint"` // the lower, the more urgent
	Count   int     `cbor:"3,keyasint"` // requests that wait
	Limits  []Limit `cbor:"4,keyasint"` // the backend servers, with the limits that the process knows
}

// Reply answers a Request.
type Reply struct {
	Granted []registry.Incarnation `cbor:"1,keyasint"` // one entry for each request that may be sent
	// Unlimited lists the backend servers of the request that limit their rate no longer.
	Unlimited []Limit `cbor:"2,keyasint"`
	// RetryAfter is the time until a permit is expected, if none was granted.
	RetryAfter time.Duration `cbor:"3,keyasint"`
}

const (
	// permitLifetime is how long a permit may be used. It bounds what can follow a change of
	// the broker or of the limit.
	permitLifetime = 500 * time.Millisecond
	// burstPeriod is the time for which a backend server's unused rate is kept.
	burstPeriod = time.Second
	// minPerSecond is the rate at which a backend server gets requests whose limit is lower,
	// so that the end of its limit is noticed.
	minPerSecond = 1.0 / 30
)

// newBucket returns a bucket that is empty at now and fills at perSecond.
func newBucket(perSecond float64, now time.Duration) *rate.Limiter {
	bu := rate.NewLimiter(rate.Limit(perSecond), burstOf(perSecond))
	bu.AllowN(instant(now), bu.Burst())

	return bu
}

// burstOf returns the most requests that may be sent at once.
func burstOf(perSecond float64) int { return max(1, int(perSecond*burstPeriod.Seconds())) }

// instant converts a time of the monotonic clock for use with package rate.
func instant(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }

// waitFor returns the time in which a bucket that fills at perSecond gains tokens.
func waitFor(tokens, perSecond float64) time.Duration {
	return time.Duration(max(tokens, 0) / perSecond * float64(time.Second))
}
