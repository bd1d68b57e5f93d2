package agent

import (
	"context"
	"strconv"
	"sync"

	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// retainedAttempts is the number of most recent attempts that attemptGuard retains.
const retainedAttempts = 100_000

// attemptGuard detects attempts that the agent has already received, so that none
// runs twice.
type attemptGuard struct {
	mu     sync.Mutex
	seen   map[string]struct{}
	ring   []string // retained attempts; the oldest one is replaced first
	oldest int      // index in ring of the oldest attempt
}

func newAttemptGuard() *attemptGuard {
	return &attemptGuard{seen: map[string]struct{}{}, ring: make([]string, 0, 1024)}
}

// recordFirst records an attempt and reports whether it is new.
func (gu *attemptGuard) recordFirst(attempt string) bool {
	gu.mu.Lock()
	defer gu.mu.Unlock()

	if _, ok := gu.seen[attempt]; ok {
		return false
	}
	gu.seen[attempt] = struct{}{}
	if len(gu.ring) < retainedAttempts {
		gu.ring = append(gu.ring, attempt)

		return true
	}
	delete(gu.seen, gu.ring[gu.oldest])
	gu.ring[gu.oldest] = attempt
	gu.oldest = (gu.oldest + 1) % retainedAttempts

	return true
}

// cacheEvents reads the engine's cache events that a gateway has not received yet.
// Each session has its own position; a gateway that missed events gets the complete
// cache.
func (ag *Agent) cacheEvents(ctx context.Context, se *peer.Session) []*wire.CacheEvent {
	ag.mu.Lock()
	after, newest := ag.cachePositions[se], ag.status.CacheSequence
	ag.mu.Unlock()
	if newest <= after {
		return nil
	}

	events, err := ag.engine.CacheEvents(ctx, after)
	if err != nil {
		return nil
	}
	out := make([]*wire.CacheEvent, 0, len(events))
	for _, ev := range events {
		k, err := strconv.ParseUint(ev.Key, 16, 64)
		if err != nil {
			continue
		}
		out = append(out, &wire.CacheEvent{Sequence: ev.Sequence, Prefix: k, Evicted: ev.Evicted})
	}

	return out
}

// recordCachePosition advances the position of a session past the sent events, or
// resets it if the gateway requested a resync.
func (ag *Agent) recordCachePosition(se *peer.Session, events []*wire.CacheEvent, resync bool) {
	ag.mu.Lock()
	defer ag.mu.Unlock()

	if resync {
		delete(ag.cachePositions, se)

		return
	}
	if n := len(events); n > 0 {
		if len(ag.cachePositions) > 4*len(ag.links) {
			clear(ag.cachePositions) // positions of sessions that have ended
		}
		ag.cachePositions[se] = events[n-1].GetSequence()
	}
}
