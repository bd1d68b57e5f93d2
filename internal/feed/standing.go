package feed

import "time"

// Standing is what a process may know of the changes that controllers have acknowledged.
type Standing uint8

const (
	// Confirmed says that the view holds every change that was acknowledged longer ago than the bound.
	Confirmed Standing = iota + 1
	// Lagging says that the view may lack changes, and that a controller sends to this process which may
	// have them, or that the first view has not been handled yet.
	Lagging
	// Isolated says that the view may lack changes, and that no controller can be reached which may have
	// them: those that can be are not confirmed by a majority either.
	Isolated
)

const (
	// reachableWithin is how long ago bytes must have arrived from a controller that can be reached. It
	// answers a ping each heartbeatPeriod.
	reachableWithin = heartbeatPeriod * 3 / 2
	// linkRetryPeriod is the pause before a process without a confirmed view opens a session to a controller
	// again, which may be longer otherwise.
	linkRetryPeriod = heartbeatPeriod
	// linkRetryAge is the age of the view from which on it does.
	linkRetryAge = 2 * heartbeatPeriod
)

// Standing returns the standing of the view for changes that must be known within a bound after
// their acknowledgement.
func (fo *Follower) Standing(bound time.Duration) Standing {
	age, ok := fo.Age()
	if ok && age <= bound {
		return Confirmed
	}
	fo.mu.Lock()
	defer fo.mu.Unlock()

	if !ok && fo.published > 0 {
		return Lagging // the first view is still being handled
	}
	for a := range fo.following {
		ct := fo.contacts[a]
		// With the time since its message, and that for which its ping may have waited.
		age := ct.age + min(time.Since(ct.heard), heartbeatPeriod) + heartbeatPeriod
		if ct.isFollowed && (!ct.isConfirmed || age > bound) {
			continue
		}
		if fo.cfg.Links.To(a).IsReachable(reachableWithin) {
			return Lagging
		}
	}

	return Isolated
}

// retryLinks ends the pauses before further sessions to controllers if the view is not confirmed.
func (fo *Follower) retryLinks() {
	if age, ok := fo.Age(); (ok && age < linkRetryAge) || time.Since(fo.linksRetried) < linkRetryPeriod {
		return
	}
	fo.linksRetried = time.Now()
	fo.mu.Lock()
	defer fo.mu.Unlock()

	for a := range fo.following {
		if !fo.contacts[a].isFollowed {
			fo.cfg.Links.To(a).RetryNow()
		}
	}
}
