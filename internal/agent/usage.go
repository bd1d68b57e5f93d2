package agent

import (
	"context"
	"sync"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/usage"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// counterKey identifies the counter of a workspace in a usage window.
type counterKey struct {
	workspace string
	window    uint64
}

// counters holds the usage counters, which are cumulative within one incarnation of
// the agent.
type counters struct {
	mu     sync.Mutex
	length int64                        // of a window in seconds; 0 until a gateway reports it
	early  map[earlyKey]usage.Figures   // counted before the length is known
	now    map[counterKey]usage.Figures // current values
	acked  map[counterKey]usage.Figures // values last acknowledged by a gateway
}

// earlyKey identifies a counter that can't be assigned to a window yet, because the
// length of windows is not known.
type earlyKey struct {
	workspace string
	second    int64
}

// keepWindows is the number of windows before the newest acknowledged one whose
// counters are retained.
const keepWindows = 8

func newCounters() *counters {
	return &counters{early: map[earlyKey]usage.Figures{}, now: map[counterKey]usage.Figures{}, acked: map[counterKey]usage.Figures{}}
}

// count adds to the counter of a workspace in the current window.
func (ag *Agent) count(workspace string, requests, tokens uint64) {
	ag.usage.count(workspace, ag.cfg.WallSeconds(), usage.Figures{Requests: requests, Tokens: tokens})
}

// setWindow sets the length of windows that a gateway reported. A gateway that has
// just started reports 0, which is ignored: counters of windows with a wrong length
// would never be part of a usage report.
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

// setLength sets the length of windows and assigns the early counters to windows.
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

// unsent returns the counters that changed since they were last acknowledged.
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

// sent records the counters that a gateway acknowledged as committed, and removes old
// counters that are fully committed.
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

// usageDuty periodically sends the counters that changed.
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
