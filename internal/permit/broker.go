package permit

import (
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/tamarackbay/tamarackbay/internal/registry"
)

const (
	// maxPermits bounds the permits of one reply.
	maxPermits = 16
	// reservationGrace is how long a token stays reserved for a refused caller after the time
	// at which it was told to return.
	reservationGrace = 250 * time.Millisecond
	// maxReservations bounds the reservations at one backend server.
	maxReservations = 64
	// overRetention is how long the end of a limit is remembered.
	overRetention = 30 * time.Second
	// unknownRetention is how long the limit of a backend server is kept that does not seem to
	// be alive.
	unknownRetention = time.Minute
)

// Broker divides the limits among all processes. It is not safe for concurrent use.
type Broker struct {
	term     uint64 // in which this process is the broker, 0 before the first
	revision uint32 // of the last change in this term
	share    float64
	servers  map[registry.Incarnation]*limited
	cold     map[registry.Incarnation]Cold
	// isColdPending is set from the beginning of a term until cold is applied to servers.
	isColdPending bool
}

// limited is a backend server whose limit is known, or was until a short time ago.
type limited struct {
	limit    Limit   // that it names in its answers
	cold     float64 // its rate while it is cold, 0 if it is warm
	overAt   time.Duration
	askedAt  time.Duration // of the last request or report
	bucket   *rate.Limiter
	reserved []reservation
}

// reservation holds a token back for a process whose request was refused.
type reservation struct {
	holder  string
	urgency int
	until   time.Duration
}

// NewBroker returns a broker that knows no limit.
func NewBroker() *Broker { return &Broker{share: 1, servers: map[registry.Incarnation]*limited{}} }

// Lead makes the broker the one of a term. In a new term it knows no limits but those of cold
// backend servers, as others may have changed them, and grants nothing before new tokens have
// come.
func (br *Broker) Lead(term uint64) {
	if br.term != term {
		*br = Broker{term: term, share: br.share, servers: map[registry.Incarnation]*limited{}, cold: br.cold, isColdPending: true}
	}
}

// SetShare sets the share of the limits that the broker gives away. The rest belongs to
// processes that are out of its reach and use their equal shares.
func (br *Broker) SetShare(now time.Duration, share float64) {
	if share == br.share {
		return
	}
	br.share = share
	for _, li := range br.servers {
		if li.bucket != nil {
			li.bucket.SetLimitAt(instant(now), rate.Limit(br.rateOf(li)))
		}
	}
}

func (br *Broker) rateOf(li *limited) float64 {
	perSecond := max(li.perSecond(), minPerSecond) * br.share
	if li.cold > 0 {
		perSecond *= coldUse
	}

	return perSecond
}

// Report records what a process learned from an answer of a backend server. It reports whether
// anything changed.
func (br *Broker) Report(now time.Duration, re Limit) bool {
	li := br.servers[re.Server]
	defer func() { br.servers[re.Server].askedAt = now }()
	switch {
	case li == nil:
		li = &limited{}
		br.servers[re.Server] = li
	case li.limit.IsOver == re.IsOver && (re.IsOver || li.limit.PerSecond == re.PerSecond):
		return false
	}
	br.revision++
	re.Revision = br.term<<32 | uint64(br.revision)
	if li.limit = re; re.IsOver {
		li.overAt = now
	}
	br.adjust(now, li)

	return true
}

// Limits returns all limits and those that ended a short time ago, sorted by server.
func (br *Broker) Limits(now time.Duration) []Limit {
	var out []Limit
	for se, li := range br.servers {
		if li.limit.IsOver && (li.limit.Revision == 0 || now-li.overAt > overRetention) {
			if li.cold == 0 {
				delete(br.servers, se)
			}

			continue
		}
		out = append(out, li.limit)
	}
	slices.SortFunc(out, func(a, b Limit) int { return strings.Compare(a.Server.ID, b.Server.ID) })

	return out
}

// Retain drops the limits of backend servers that are gone. One that this process has not heard
// of yet is kept while others ask for it: its bucket must not begin anew each time.
func (br *Broker) Retain(now time.Duration, isAlive func(se registry.Incarnation) bool) {
	for se, li := range br.servers {
		if !isAlive(se) && now-li.askedAt > unknownRetention {
			delete(br.servers, se)
		}
	}
}

// Take grants permits. A token that is reserved for a more urgent request is not given to a
// less urgent one. changed reports whether the broker learned a limit from the request.
func (br *Broker) Take(now time.Duration, rq *Request) (rep Reply, changed bool) {
	if br.isColdPending {
		br.SetCold(now, br.cold)
	}
	var candidates []*limited
	for _, known := range rq.Limits {
		li := br.servers[known.Server]
		switch {
		case known.IsCold && (li == nil || li.cold == 0): // known there first
			br.setCold(now, known.Server, known.PerSecond)
			li = br.servers[known.Server]
		case li == nil && known.PerSecond > 0:
			changed = br.Report(now, Limit{Server: known.Server, PerSecond: known.PerSecond}) || changed
			li = br.servers[known.Server]
		}
		if li != nil {
			li.askedAt = now
		}
		switch {
		case li == nil:
			rep.Unlimited = append(rep.Unlimited, Limit{Server: known.Server, IsOver: true})
		case li.isOver():
			rep.Unlimited = append(rep.Unlimited, li.limit)
		default:
			candidates = append(candidates, li)
		}
	}
	if len(rep.Unlimited) > 0 || len(candidates) == 0 {
		return rep, changed
	}
	for range min(max(rq.Count, 1), maxPermits) {
		best, bestFree := (*limited)(nil), 1.0
		for _, li := range candidates {
			if free := li.free(now, rq.Urgency); free >= bestFree {
				best, bestFree = li, free
			}
		}
		if best == nil || !best.bucket.AllowN(instant(now), 1) {
			break
		}
		best.release(rq)
		rep.Granted = append(rep.Granted, best.limit.Server)
	}
	if len(rep.Granted) > 0 {
		return rep, changed
	}

	var first *limited
	for _, li := range candidates {
		if wait := waitFor(1-li.free(now, rq.Urgency), br.rateOf(li)); first == nil || wait < rep.RetryAfter {
			first, rep.RetryAfter = li, wait
		}
	}
	first.reserve(now, rq, rep.RetryAfter)

	return rep, changed
}

// free returns the tokens that a request may take, less than 0 if more are reserved than there
// are. Reservations of the same urgency do not count: the first to come is served.
func (li *limited) free(now time.Duration, urgency int) float64 {
	li.reserved = slices.DeleteFunc(li.reserved, func(re reservation) bool { return now > re.until })
	tokens := li.bucket.TokensAt(instant(now))
	for _, re := range li.reserved {
		if re.urgency < urgency {
			tokens--
		}
	}

	return tokens
}

// release removes the reservation of a process that got its permit.
func (li *limited) release(rq *Request) {
	li.reserved = slices.DeleteFunc(li.reserved, func(re reservation) bool { return re.holder == rq.Holder && re.urgency == rq.Urgency })
}

// reserve reserves a token for a refused request until shortly after the time at which it may
// come back.
func (li *limited) reserve(now time.Duration, rq *Request, wait time.Duration) {
	li.release(rq)
	if len(li.reserved) < maxReservations {
		li.reserved = append(li.reserved, reservation{holder: rq.Holder, urgency: rq.Urgency, until: now + wait + reservationGrace})
	}
}
