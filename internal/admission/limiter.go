package admission

import (
	"time"

	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

// bucket holds the rate tokens and the in-flight count of one workspace on one gateway.
type bucket struct {
	tokens     float64
	refilledAt time.Duration
	inFlight   int
}

// Limiter enforces the request rate and the concurrency limit of each workspace.
// Every gateway enforces an equal share of the limits, so that no request waits for
// another process. When a gateway is lost, the shares of the others grow with the
// next load report.
type Limiter struct {
	buckets map[string]*bucket
}

// NewLimiter returns a limiter with full buckets.
func NewLimiter() *Limiter { return &Limiter{buckets: map[string]*bucket{}} }

// Enter admits one request of a workspace and counts it as in flight, or returns an
// error with the time to retry after. gateways is the number of gateways that share
// the limits.
func (li *Limiter) Enter(now time.Duration, name string, wo declaration.Workspace, gateways int) error {
	gateways = max(gateways, 1)
	b, ok := li.buckets[name]
	if !ok {
		b = &bucket{tokens: float64(wo.Burst) / float64(gateways), refilledAt: now}
		li.buckets[name] = b
	}
	if wo.MaxInFlight > 0 && b.inFlight >= (wo.MaxInFlight+gateways-1)/gateways {
		return result.New(result.WorkspaceInFlight, "workspace %s: limit of concurrent requests reached: %d in flight on this gateway", name, b.inFlight).WithRetryAfter(time.Second)
	}
	if wo.RatePerSecond > 0 {
		share := wo.RatePerSecond / float64(gateways)
		burst := max(1, float64(wo.Burst)/float64(gateways))
		b.tokens = min(burst, b.tokens+share*(now-b.refilledAt).Seconds())
		b.refilledAt = now
		if b.tokens < 1 {
			wait := time.Duration((1 - b.tokens) / share * float64(time.Second))

			return result.New(result.WorkspaceRate, "workspace %s: rate limit of %g requests per second exceeded", name, wo.RatePerSecond).WithRetryAfter(wait)
		}
		b.tokens--
	}
	b.inFlight++

	return nil
}

// Leave removes a request that Enter admitted from the in-flight count.
func (li *Limiter) Leave(name string) {
	if b, ok := li.buckets[name]; ok && b.inFlight > 0 {
		b.inFlight--
	}
}
