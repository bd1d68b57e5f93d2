package weights

import "time"

const (
	retryBase = 500 * time.Millisecond
	retryMax  = 10 * time.Second
)

// orders remembers which engines carry out an order, and after which failures an
// engine is left alone for a while.
type orders struct {
	running  map[string]string // server to the kind of its order in flight
	failedAt map[string]time.Duration
	failures map[string]int
}

func newOrders() orders {
	return orders{running: map[string]string{}, failedAt: map[string]time.Duration{}, failures: map[string]int{}}
}

func (or *orders) mustWait(now time.Duration, server string) bool {
	n := or.failures[server]

	return n > 0 && now < or.failedAt[server]+min(retryBase<<min(n-1, 10), retryMax)
}

// Done takes the end of an order.
func (or *orders) Done(now time.Duration, server string, ok bool) {
	delete(or.running, server)
	if ok {
		delete(or.failures, server)

		return
	}
	or.failures[server]++
	or.failedAt[server] = now
}
