package permit

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

const (
	// askTimeout bounds a request for permits. A caller waits for it before it is refused.
	askTimeout = 150 * time.Millisecond
	// askPause is how long no broker is asked after one did not answer.
	askPause = 250 * time.Millisecond
	// reportPeriod is the pause before limits that no broker recorded are reported again.
	reportPeriod = 250 * time.Millisecond
	// maxRetryAfter bounds the time after which a refused caller is told to come back.
	maxRetryAfter = 5 * time.Second
)

// Config configures a Holder.
type Config struct {
	Name string // of this process
	// Ask sends a request to the broker. Without it every process keeps to its equal share.
	Ask func(ctx context.Context, rq *Request) (Reply, error)
	// Report sends limits that this process learned from answers to the broker.
	Report func(ctx context.Context, limits []Limit) error
	// Processes returns the number of processes that share the limits.
	Processes func() int
	Now       func() time.Duration // monotonic
	Random    func() float64       // in [0, 1)
	Meter     *meter.Meter
	Log       log.Interface
}

// Defaults fills the fields left nil: a holder without a broker that is the only process.
func (c *Config) Defaults() {
	if c.Ask == nil {
		c.Ask = func(context.Context, *Request) (Reply, error) {
			return Reply{}, result.New(result.NoLeader, "permit: no broker is configured")
		}
	}
	if c.Report == nil {
		c.Report = func(context.Context, []Limit) error { return nil }
	}
	if c.Processes == nil {
		c.Processes = func() int { return 1 }
	}
	if c.Now == nil {
		start := time.Now()
		c.Now = func() time.Duration { return time.Since(start) }
	}
	if c.Random == nil {
		c.Random = func() float64 { return 0 }
	}
	if c.Meter == nil {
		c.Meter = meter.New()
	}
}

// Holder holds the limits that this process knows and the permits that it was granted. It is
// safe for concurrent use.
type Holder struct {
	cfg        Config
	wakeReport chan struct{}

	mu            sync.Mutex
	servers       map[registry.Incarnation]*heldLimit
	unreported    map[registry.Incarnation]Limit
	brokerSilence time.Duration // end of the pause after a broker did not answer
	answeredAt    time.Duration // when a broker answered last
}

// heldLimit is the limit of a backend server, or its end.
type heldLimit struct {
	limit     Limit // that the backend server names
	cold      Cold
	learnedAt time.Duration   // when it last changed from or to a limit in force
	permits   []time.Duration // end of each unused permit, ascending
	denials   []denial
	sent      int // requests under this limit
	share     *rate.Limiter
	sharedAt  time.Duration // when share was used last
}

// denial says that no permit is to be had for requests of an urgency or less urgent ones.
type denial struct {
	urgency int
	until   time.Duration
	refused int // callers that were refused since
}

// NewHolder returns a holder that knows no limit.
func NewHolder(cfg Config) *Holder {
	cfg.Defaults()

	return &Holder{cfg: cfg, wakeReport: make(chan struct{}, 1), servers: map[registry.Incarnation]*heldLimit{}, unreported: map[registry.Incarnation]Limit{}}
}

// Observe records what an answer to a request that was sent at sentAt says of the limit.
// Answers overtake each other, so that one counts only if its request was sent after the last
// change.
func (ho *Holder) Observe(se registry.Incarnation, sentAt time.Duration, rl backend.RateLimit) {
	ho.mu.Lock()
	defer ho.mu.Unlock()

	he, isOver := ho.servers[se], rl.Kind == backend.RateUnlimited
	switch {
	case rl.Kind == backend.RateUnreadable:
		ho.cfg.Log.WithFields(log.Fields{"server": se.ID, "born": se.BornMs}).Warn("rate limit of a backend server is not a number, it is ignored")

		return
	case he == nil && isOver:
		return
	case he != nil && he.limit.IsOver != isOver && sentAt <= he.learnedAt:
		return
	case he != nil && he.limit.IsOver == isOver && (isOver || he.limit.PerSecond == rl.PerSecond):
		return
	}
	li := Limit{Server: se, PerSecond: rl.PerSecond, IsOver: isOver}
	if he != nil {
		li.Revision = he.limit.Revision
	}
	ho.adopt(li, "answer")
	ho.unreported[se] = li
	select {
	case ho.wakeReport <- struct{}{}:
	default:
	}
}

// Apply takes over limits that the broker published.
func (ho *Holder) Apply(limits []Limit) {
	ho.mu.Lock()
	defer ho.mu.Unlock()

	for _, li := range limits {
		he := ho.servers[li.Server]
		_, isPending := ho.unreported[li.Server]
		if isPending || (he != nil && li.Revision <= he.limit.Revision) || (he == nil && li.IsOver) {
			continue
		}
		if he != nil && he.limit.IsOver == li.IsOver && he.limit.PerSecond == li.PerSecond {
			he.limit.Revision = li.Revision

			continue
		}
		ho.adopt(li, "broker")
	}
}

// adopt makes a limit the known one. The caller holds mu.
func (ho *Holder) adopt(li Limit, source string) {
	fl := log.Fields{"server": li.Server.ID, "born": li.Server.BornMs, "source": source, "revision": li.Revision}
	he := ho.servers[li.Server]
	if he == nil {
		he = &heldLimit{limit: Limit{IsOver: true}}
		ho.servers[li.Server] = he
	} else {
		fl["oldPerSecond"], fl["sent"] = he.limit.PerSecond, he.sent
	}
	if he.limit.IsOver != li.IsOver {
		*he = heldLimit{learnedAt: ho.cfg.Now(), cold: he.cold}
	}
	if he.limit = li; li.IsOver {
		ho.cfg.Log.WithFields(fl).Info("rate limit of a backend server ended")

		return
	}
	fl["perSecond"] = li.PerSecond
	ho.cfg.Log.WithFields(fl).Info("rate limit of a backend server changed")
}

// Retain drops what is known of backend servers that are gone.
func (ho *Holder) Retain(isAlive func(se registry.Incarnation) bool) {
	ho.mu.Lock()
	defer ho.mu.Unlock()

	for se := range ho.servers {
		if !isAlive(se) {
			delete(ho.servers, se)
			delete(ho.unreported, se)
		}
	}
}

// HasLimits reports whether any limit is known. Without one, Allows and Use hold for all backend
// servers.
func (ho *Holder) HasLimits() bool {
	ho.mu.Lock()
	defer ho.mu.Unlock()

	return len(ho.servers) > 0
}

// Allows reports whether a request may be sent to a backend server: it limits its rate no
// longer, or a permit for it is at hand.
func (ho *Holder) Allows(se registry.Incarnation) bool {
	ho.mu.Lock()
	defer ho.mu.Unlock()

	he, now := ho.servers[se], ho.cfg.Now()

	return he == nil || he.inForce(now).IsOver || len(he.validPermits(now)) > 0
}

// Use takes the permit for a request that is sent now. It reports false if there is none.
func (ho *Holder) Use(se registry.Incarnation) bool {
	ho.mu.Lock()
	defer ho.mu.Unlock()

	he, now := ho.servers[se], ho.cfg.Now()
	if he == nil || he.inForce(now).IsOver {
		return true
	}
	permits := he.validPermits(now)
	if len(permits) == 0 {
		return false
	}
	he.permits = permits[1:]
	he.sent++
	ho.cfg.Meter.Count("permits.used")

	return true
}

func (he *heldLimit) validPermits(now time.Duration) []time.Duration {
	he.permits = slices.DeleteFunc(he.permits, func(end time.Duration) bool { return now > end })

	return he.permits
}

// Obtain gets up to count permits for any of some backend servers. It returns an error with
// the time after which to try again if there is none.
func (ho *Holder) Obtain(ctx context.Context, servers []registry.Incarnation, urgency, count int) error {
	rq, err := ho.newRequest(servers, urgency, count)
	if rq == nil {
		return err
	}
	actx, cancel := context.WithTimeout(ctx, askTimeout)
	rep, err := ho.cfg.Ask(actx, rq)
	cancel()
	if err != nil && ctx.Err() != nil {
		return result.New(result.DeadlinePassed, "permit: the request ended while it waited for a permit") // says nothing about the broker
	}

	ho.mu.Lock()
	defer ho.mu.Unlock()
	now := ho.cfg.Now()
	if err != nil {
		if now > ho.brokerSilence {
			ho.cfg.Log.WithError(err).Warn("no broker granted permits, this process keeps to its equal share of the rate limits")
		}
		ho.brokerSilence = now + askPause

		return ho.takeShare(rq, now)
	}

	ho.answeredAt = now
	for _, li := range rep.Unlimited {
		if he := ho.servers[li.Server]; he != nil && !he.limit.IsOver {
			ho.adopt(li, "broker")
		}
	}
	for _, se := range rep.Granted {
		if he := ho.servers[se]; he != nil {
			he.permits = append(he.permits, now+he.lifetime(now))
		}
	}
	if len(rep.Granted) > 0 || len(rep.Unlimited) > 0 {
		return nil
	}
	for _, li := range rq.Limits {
		if he := ho.servers[li.Server]; he != nil {
			he.deny(urgency, now+rep.RetryAfter)
		}
	}

	return ho.refuse(rq, now)
}

// newRequest returns the request to the broker, or nil with the outcome if none is needed.
func (ho *Holder) newRequest(servers []registry.Incarnation, urgency, count int) (*Request, error) {
	ho.mu.Lock()
	defer ho.mu.Unlock()

	now := ho.cfg.Now()
	rq := &Request{Holder: ho.cfg.Name, Urgency: urgency, Count: count}
	isDenied := true
	for _, se := range servers {
		he := ho.servers[se]
		if he == nil {
			return nil, nil
		}
		li := he.inForce(now)
		if li.IsOver {
			return nil, nil
		}
		rq.Limits = append(rq.Limits, li)
		isDenied = isDenied && he.denial(urgency, now) != nil
	}
	switch {
	case isDenied:
		return nil, ho.refuse(rq, now)
	case now < ho.brokerSilence:
		return nil, ho.takeShare(rq, now)
	}

	return rq, nil
}

// denial returns what holds for requests of an urgency, nil if nothing does.
func (he *heldLimit) denial(urgency int, now time.Duration) *denial {
	he.denials = slices.DeleteFunc(he.denials, func(de denial) bool { return now >= de.until })
	for i := range he.denials {
		if he.denials[i].urgency <= urgency {
			return &he.denials[i]
		}
	}

	return nil
}

func (he *heldLimit) deny(urgency int, until time.Duration) {
	he.denials = slices.DeleteFunc(he.denials, func(de denial) bool { return de.urgency == urgency })
	he.denials = append(he.denials, denial{urgency: urgency, until: until})
}

// refuse returns the error for a request that finds no permit. Callers that are refused one
// after the other are told to return one after the other.
func (ho *Holder) refuse(rq *Request, now time.Duration) error {
	wait, total, refused := maxRetryAfter, 0.0, 0
	for _, li := range rq.Limits {
		he := ho.servers[li.Server]
		if he == nil {
			continue
		}
		total += max(li.PerSecond, minPerSecond)
		if de := he.denial(rq.Urgency, now); de != nil {
			wait = min(wait, de.until-now)
			refused = max(refused, de.refused)
			de.refused++
		}
	}
	if total > 0 {
		wait += waitFor(float64(refused), total)
	}
	ho.cfg.Meter.Count("permits.refused")

	return result.New(result.ServersLimited, "permit: the rate limits of %d backend servers, %.3g requests a second together, are used up", len(rq.Limits), total).
		WithRetryAfter(min(wait, maxRetryAfter))
}

// takeShare takes a permit from this process's equal share of the limits. The caller holds mu.
func (ho *Holder) takeShare(rq *Request, now time.Duration) error {
	for _, li := range rq.Limits {
		he := ho.servers[li.Server]
		if he == nil || he.inForce(now).IsOver {
			return nil
		}
		if he.share == nil || he.sharedAt < ho.answeredAt {
			he.startShare(now, ho.cfg.Random())
		}
		he.share.SetLimitAt(instant(now), rate.Limit(li.sharePerSecond(ho.cfg.Processes())))
		he.sharedAt = now
		if he.share.AllowN(instant(now), 1) {
			he.permits = append(he.permits, now+he.lifetime(now))

			return nil
		}
	}
	for _, li := range rq.Limits {
		he := ho.servers[li.Server]
		if he == nil || he.share == nil {
			continue // its limit changed in the meantime
		}
		he.deny(rq.Urgency, now+waitFor(1-he.share.TokensAt(instant(now)), float64(he.share.Limit())))
	}

	return ho.refuse(rq, now)
}

// startShare fills the share to a random part of one token, so that the processes do not all
// send at the moment at which the broker is lost.
func (he *heldLimit) startShare(now time.Duration, fill float64) {
	he.share = rate.NewLimiter(1, 1)
	he.share.AllowN(instant(now-time.Duration(fill*float64(time.Second))), 1)
	he.share.TokensAt(instant(now))
}

// Run reports the limits that this process learns to the broker, until ctx ends.
func (ho *Holder) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := time.Duration(0)
		if !ho.report(ctx) {
			pause = reportPeriod
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		if pause == 0 {
			select {
			case <-ho.wakeReport:
			case <-ctx.Done():
			}
		}
	}
}

// report sends the unreported limits and returns whether none is left over from a failure.
func (ho *Holder) report(ctx context.Context) bool {
	ho.mu.Lock()
	var limits []Limit
	for _, li := range ho.unreported {
		limits = append(limits, li)
	}
	ho.mu.Unlock()
	if len(limits) == 0 {
		return true
	}
	if err := ho.cfg.Report(ctx, limits); err != nil {
		ho.cfg.Log.WithError(err).WithField("limits", len(limits)).Warn("no broker recorded rate limits, they will be reported again")

		return false
	}
	ho.mu.Lock()
	defer ho.mu.Unlock()
	for _, li := range limits {
		if ho.unreported[li.Server] == li {
			delete(ho.unreported, li.Server)
		}
	}

	return true
}
