package permit

import (
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"github.com/tamarackbay/tamarackbay/internal/registry"
)

// A cold backend server may get, in any second, one and a half times its rate and five requests
// more, from all processes together. The broker grants, in any period, coldUse times the rate and
// coldBurst more. A permit is used up to coldLifetime after its reply, which may take askTimeout,
// so that a second has the grants of 1.3 s: 1.1 times the rate and two more. The rest is left for
// processes that are cut off while the broker still counts them as followers.
//
// The equal shares of processes without a broker have random phases, so that their sum varies
// from second to second: at 1.0 times the share, 39 processes exceeded the bound of a rate of 10
// in a test. So each process uses coldShareUse of its share.
const (
	coldLifetime = 150 * time.Millisecond
	coldBurst    = 2
	coldUse      = 0.85
	coldShareUse = 0.6
)

// Cold is the rate limit of a backend server while it is cold. It holds in addition to the one
// that the backend server names, and does not end with an answer that names none.
type Cold struct {
	PerSecond float64
	Until     time.Duration // monotonic; when it ends at the latest, 0 if that is not known
}

func (co Cold) isInForce(now time.Duration) bool {
	return co.PerSecond > 0 && (co.Until == 0 || now < co.Until)
}

// SetCold replaces the backend servers that are cold.
func (ho *Holder) SetCold(cold map[registry.Incarnation]Cold) {
	ho.mu.Lock()
	defer ho.mu.Unlock()

	for se, he := range ho.servers {
		if _, ok := cold[se]; ok || he.cold == (Cold{}) {
			continue
		}
		he.cold = Cold{}
		ho.cfg.Log.WithFields(log.Fields{"server": se.ID, "born": se.BornMs, "sent": he.sent}).Info("backend server is no longer cold")
		if _, isPending := ho.unreported[se]; !isPending && he.limit.IsOver && he.limit.Revision == 0 {
			delete(ho.servers, se)
		}
	}
	for se, co := range cold {
		he := ho.servers[se]
		if he == nil {
			he = &heldLimit{limit: Limit{Server: se, IsOver: true}}
			ho.servers[se] = he
		}
		if he.cold == (Cold{}) {
			he.permits, he.share = nil, nil // granted for a higher rate
			ho.cfg.Log.WithFields(log.Fields{"server": se.ID, "born": se.BornMs, "perSecond": co.PerSecond}).Info("backend server is cold")
		}
		he.cold = co
	}
}

// inForce returns the limit in force, which is over if there is none.
func (he *heldLimit) inForce(now time.Duration) Limit {
	li := he.limit
	if !he.cold.isInForce(now) {
		return li
	}
	if li.IsOver || he.cold.PerSecond < li.PerSecond {
		li.PerSecond = he.cold.PerSecond
	}
	li.IsOver, li.IsCold = false, true

	return li
}

// sharePerSecond returns the equal share of a limit in force for one of some processes.
func (li *Limit) sharePerSecond(processes int) float64 {
	perSecond := max(li.PerSecond, minPerSecond) / float64(max(processes, 1))
	if li.IsCold {
		perSecond *= coldShareUse
	}

	return perSecond
}

// lifetime returns how long a permit that is received now may be used.
func (he *heldLimit) lifetime(now time.Duration) time.Duration {
	if he.cold.isInForce(now) {
		return coldLifetime
	}

	return permitLifetime
}

// SetCold replaces the backend servers that are cold.
func (br *Broker) SetCold(now time.Duration, cold map[registry.Incarnation]Cold) {
	br.cold, br.isColdPending = cold, false
	for se, li := range br.servers {
		if li.cold == 0 || cold[se].isInForce(now) {
			continue
		}
		li.cold = 0
		if br.adjust(now, li); li.limit.Revision == 0 {
			delete(br.servers, se)
		}
	}
	for se, co := range cold {
		if co.isInForce(now) {
			br.setCold(now, se, co.PerSecond)
		}
	}
}

// setCold records that one backend server is cold.
func (br *Broker) setCold(now time.Duration, se registry.Incarnation, perSecond float64) {
	li := br.servers[se]
	if li == nil {
		li = &limited{limit: Limit{Server: se, IsOver: true}}
		br.servers[se] = li
	}
	if li.cold != perSecond {
		li.cold = perSecond
		br.adjust(now, li)
	}
}

// adjust fits the bucket of a backend server to its limits.
func (br *Broker) adjust(now time.Duration, li *limited) {
	if li.isOver() {
		li.bucket, li.reserved = nil, nil

		return
	}
	if li.bucket == nil {
		li.bucket = newBucket(br.rateOf(li), now)
	} else {
		li.bucket.SetLimitAt(instant(now), rate.Limit(br.rateOf(li)))
		li.bucket.SetBurstAt(instant(now), burstOf(li.perSecond()))
	}
	if li.cold > 0 {
		li.bucket.SetBurstAt(instant(now), min(coldBurst, burstOf(li.perSecond())))
	}
}

// perSecond returns the rate in force.
func (li *limited) perSecond() float64 {
	switch {
	case li.limit.IsOver:
		return li.cold
	case li.cold > 0:
		return min(li.cold, li.limit.PerSecond)
	}

	return li.limit.PerSecond
}

// isOver reports whether no limit is in force.
func (li *limited) isOver() bool { return li.limit.IsOver && li.cold == 0 }
