package agent

import (
	"context"
	"strconv"
	"sync"

	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// guardSize is the number of most recent attempts that an agent retains.
const guardSize = 100_000

// guard detects attempts that the agent has already received, so that none runs twice.
type guard struct {
	mu   sync.Mutex
	seen map[string]struct{}
	ring []string // retained attempts; the oldest one is replaced first
	next int      // index in ring of the oldest attempt
}

func newGuard() *guard {
	return &guard{seen: map[string]struct{}{}, ring: make([]string, 0, 1024)}
}

// first records an attempt and reports whether it is new.
func (gu *guard) first(attempt string) bool {
	gu.mu.Lock()
	defer gu.mu.Unlock()

	if _, ok := gu.seen[attempt]; ok {
		return false
	}
	gu.seen[attempt] = struct{}{}
	if len(gu.ring) < guardSize {
		gu.ring = append(gu.ring, attempt)

		return true
	}
	delete(gu.seen, gu.ring[gu.next])
	gu.ring[gu.next] = attempt
	gu.next = (gu.next + 1) % guardSize

	return true
}

// cacheEvents reads the engine's cache events that a gateway has not received yet.
// Each session has its own position; a gateway that missed events gets the complete
// cache.
func (ag *Agent) cacheEvents(ctx context.Context, se *peer.Session) []*wire.CacheEvent {
	ag.mu.Lock()
	after, newest := ag.cacheSent[se], ag.status.CacheSequence
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

// noteCacheSent advances the position of a session past the sent events, or resets it
// if the gateway requested a resync.
func (ag *Agent) noteCacheSent(se *peer.Session, events []*wire.CacheEvent, resync bool) {
	ag.mu.Lock()
	defer ag.mu.Unlock()

	if resync {
		delete(ag.cacheSent, se)

		return
	}
	if n := len(events); n > 0 {
		if len(ag.cacheSent) > 4*len(ag.links) {
			clear(ag.cacheSent) // positions of sessions that have ended
		}
		ag.cacheSent[se] = events[n-1].GetSequence()
	}
}
