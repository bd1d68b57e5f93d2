package weights

import "time"

const (
	minRetryDelay = 500 * time.Millisecond // after the first failure; doubles with each further one
	maxRetryDelay = 10 * time.Second
)

// orderTracker tracks the orders in flight, and the consecutive failures of each engine
// for the back-off between its orders.
type orderTracker struct {
	inFlight map[string]string // server to the kind of its order in flight
	failedAt map[string]time.Duration
	failures map[string]int
}

func newOrderTracker() orderTracker {
	return orderTracker{inFlight: map[string]string{}, failedAt: map[string]time.Duration{}, failures: map[string]int{}}
}

// isBackingOff reports whether an engine must not yet get an order again after a failure.
func (or *orderTracker) isBackingOff(now time.Duration, server string) bool {
	n := or.failures[server]

	return n > 0 && now < or.failedAt[server]+min(minRetryDelay<<min(n-1, 10), maxRetryDelay)
}

// Done records that the order of an engine has ended.
func (or *orderTracker) Done(now time.Duration, server string, ok bool) {
	delete(or.inFlight, server)
	if ok {
		delete(or.failures, server)

		return
	}
	or.failures[server]++
	or.failedAt[server] = now
}
