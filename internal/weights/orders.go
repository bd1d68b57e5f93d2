package weights

import "time"

const (
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 10 * time.Second
)

// orderTracker remembers which engines carry out an order, and after which failures an
// engine is left alone for a while.
type orderTracker struct {
	inFlight map[string]string // server to the kind of its order in flight
	failedAt map[string]time.Duration
	failures map[string]int
}

func newOrderTracker() orderTracker {
	return orderTracker{inFlight: map[string]string{}, failedAt: map[string]time.Duration{}, failures: map[string]int{}}
}

func (or *orderTracker) isBackingOff(now time.Duration, server string) bool {
	n := or.failures[server]

	return n > 0 && now < or.failedAt[server]+min(minRetryDelay<<min(n-1, 10), maxRetryDelay)
}

// Done takes the end of an order.
func (or *orderTracker) Done(now time.Duration, server string, ok bool) {
	delete(or.inFlight, server)
	if ok {
		delete(or.failures, server)

		return
	}
	or.failures[server]++
	or.failedAt[server] = now
}
