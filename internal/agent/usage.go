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
	mu            sync.Mutex
	windowSeconds int64                        // length of a usage window; 0 until a gateway reports it
	unassigned    map[secondKey]usage.Amounts  // counted before the length is known
	totals        map[counterKey]usage.Amounts // current values
	acknowledged  map[counterKey]usage.Amounts // values last acknowledged by a gateway
}

// secondKey identifies a counter that can't be assigned to a window yet, because the
// length of windows is not known.
type secondKey struct {
	workspace string
	second    int64
}

// retainedWindows is the number of windows before the newest acknowledged one whose
// counters are retained.
const retainedWindows = 8

func newCounters() *counters {
	return &counters{unassigned: map[secondKey]usage.Amounts{}, totals: map[counterKey]usage.Amounts{}, acknowledged: map[counterKey]usage.Amounts{}}
}

// count adds to the counter of a workspace in the current window.
func (ag *Agent) count(workspace string, requests, tokens uint64) {
	ag.usage.count(workspace, ag.cfg.WallSeconds(), usage.Amounts{Requests: requests, Tokens: tokens})
}

// setWindowLength sets the length of windows that a gateway reported. A gateway that
// has just started reports 0, which is ignored: counters of windows with a wrong
// length would never be part of a usage report.
func (ag *Agent) setWindowLength(seconds uint32) { ag.usage.setWindowSeconds(int64(seconds)) }

func (co *counters) count(workspace string, second int64, f usage.Amounts) {
	co.mu.Lock()
	defer co.mu.Unlock()

	if co.windowSeconds == 0 {
		addAmounts(co.unassigned, secondKey{workspace, second}, f)

		return
	}
	addAmounts(co.totals, counterKey{workspace, uint64(second / co.windowSeconds)}, f)
}

// setWindowSeconds sets the length of windows and assigns the counters in unassigned
// to windows.
func (co *counters) setWindowSeconds(seconds int64) {
	co.mu.Lock()
	defer co.mu.Unlock()

	if seconds <= 0 {
		return
	}
	co.windowSeconds = seconds
	for k, f := range co.unassigned {
		addAmounts(co.totals, counterKey{k.workspace, uint64(k.second / seconds)}, f)
	}
	clear(co.unassigned)
}

func addAmounts[K comparable](m map[K]usage.Amounts, k K, f usage.Amounts) {
	v := m[k]
	v.Requests += f.Requests
	v.Tokens += f.Tokens
	m[k] = v
}

// unacknowledged returns the counters that changed since they were last acknowledged.
func (co *counters) unacknowledged() map[counterKey]usage.Amounts {
	co.mu.Lock()
	defer co.mu.Unlock()

	out := map[counterKey]usage.Amounts{}
	for k, v := range co.totals {
		if co.acknowledged[k] != v {
			out[k] = v
		}
	}

	return out
}

// acknowledge records the counters that a gateway acknowledged as committed, and
// removes old counters that are fully committed.
func (co *counters) acknowledge(cs map[counterKey]usage.Amounts) {
	co.mu.Lock()
	defer co.mu.Unlock()

	newest := uint64(0)
	for k, v := range cs {
		co.acknowledged[k] = v
		newest = max(newest, k.window)
	}
	for k, v := range co.totals {
		if k.window+retainedWindows < newest && co.acknowledged[k] == v {
			delete(co.totals, k)
			delete(co.acknowledged, k)
		}
	}
}

// usageLoop periodically sends the counters that changed.
func (ag *Agent) usageLoop(ctx context.Context) {
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
	cs := ag.usage.unacknowledged()
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
		ag.usage.acknowledge(cs)
	}
}
