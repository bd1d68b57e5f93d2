package agent

import (
	"context"
	"sync"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/usage"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

type counterKey struct {
	workspace string
	window    uint64
}

// counters are cumulative for this incarnation of the agent.
type counters struct {
	mu     sync.Mutex
	length int64 // seconds of a window, 0 before a gateway has told it
	early  map[earlyKey]usage.Figures
	now    map[counterKey]usage.Figures
	acked  map[counterKey]usage.Figures
}

// earlyKey is what is counted before the length of the windows is known.
type earlyKey struct {
	workspace string
	second    int64
}

// keepWindows is the number of windows whose counters an agent keeps.
const keepWindows = 8

func newCounters() *counters {
	return &counters{early: map[earlyKey]usage.Figures{}, now: map[counterKey]usage.Figures{}, acked: map[counterKey]usage.Figures{}}
}

// count adds to a workspace's counter of the current window.
func (ag *Agent) count(workspace string, requests, tokens uint64) {
	ag.usage.count(workspace, ag.cfg.WallSeconds(), usage.Figures{Requests: requests, Tokens: tokens})
}

// setWindow takes the length of the windows that a gateway told. One that has just
// started knows none and tells 0: a window of another length is a wrong one, whose
// counters nobody reports.
func (ag *Agent) setWindow(seconds uint32) { ag.usage.setLength(int64(seconds)) }

func (co *counters) count(workspace string, second int64, f usage.Figures) {
	co.mu.Lock()
	defer co.mu.Unlock()

	if co.length == 0 {
		add(co.early, earlyKey{workspace, second}, f)

		return
	}
	add(co.now, counterKey{workspace, uint64(second / co.length)}, f)
}

func (co *counters) setLength(seconds int64) {
	co.mu.Lock()
	defer co.mu.Unlock()

	if seconds <= 0 {
		return
	}
	co.length = seconds
	for k, f := range co.early {
		add(co.now, counterKey{k.workspace, uint64(k.second / seconds)}, f)
	}
	clear(co.early)
}

func add[K comparable](m map[K]usage.Figures, k K, f usage.Figures) {
	v := m[k]
	v.Requests += f.Requests
	v.Tokens += f.Tokens
	m[k] = v
}

// unsent returns the counters that grew since they were acknowledged.
func (co *counters) unsent() map[counterKey]usage.Figures {
	co.mu.Lock()
	defer co.mu.Unlock()

	out := map[counterKey]usage.Figures{}
	for k, v := range co.now {
		if co.acked[k] != v {
			out[k] = v
		}
	}

	return out
}

// sent notes what a gateway committed and forgets old windows that are committed whole.
func (co *counters) sent(cs map[counterKey]usage.Figures) {
	co.mu.Lock()
	defer co.mu.Unlock()

	newest := uint64(0)
	for k, v := range cs {
		co.acked[k] = v
		newest = max(newest, k.window)
	}
	for k, v := range co.now {
		if k.window+keepWindows < newest && co.acked[k] == v {
			delete(co.now, k)
			delete(co.acked, k)
		}
	}
}

// usageDuty sends the counters that grew.
func (ag *Agent) usageDuty(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-time.After(usagePeriod):
		case <-ctx.Done():
			return
		}
		ag.sendUsage(ctx)
	}
}

func (ag *Agent) sendUsage(ctx context.Context) {
	cs := ag.usage.unsent()
	if len(cs) == 0 {
		return
	}

	rq := &wire.UsageRequest{Agent: ag.cfg.Server}
	for k, v := range cs {
		rq.Counters = append(rq.Counters, &wire.UsageCounter{
			Workspace: k.workspace, Window: k.window, Requests: v.Requests, Tokens: v.Tokens, Incarnation: ag.incarnation,
		})
	}
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := ag.callAny(cctx, MethodUsage, rq, &wire.Empty{}); err == nil {
		ag.usage.sent(cs)
	}
}
