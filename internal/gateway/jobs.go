package gateway

import (
	"context"
	"time"
)

// job is work that is done again and again while the gateway runs.
type job struct {
	name   string
	period time.Duration
	do     func()
	wake   func() <-chan struct{} // nil for none
}

// jobs lists the periodic work of every gateway.
func (ga *Gateway) jobs() []job {
	return []job{
		{name: "sweepPools", period: 200 * time.Millisecond, do: ga.sweepPools},
		{name: "cutWithdrawn", period: 200 * time.Millisecond, do: ga.cutWithdrawn, wake: ga.group.Changed},
		{name: "gauges", period: time.Second, do: ga.gauges},
	}
}

func (jo job) loop(ctx context.Context) {
	for ctx.Err() == nil {
		var wake <-chan struct{}
		if jo.wake != nil {
			wake = jo.wake()
		}
		jo.do()
		select {
		case <-time.After(jo.period):
		case <-wake:
		case <-ctx.Done():
		}
	}
}

func (ga *Gateway) sweepPools() {
	for _, po := range ga.Pools() {
		po.Sweep()
	}
}

func (ga *Gateway) gauges() {
	me := ga.cfg.Meter
	age, _ := ga.group.Age()
	me.Gauge("group.ageMs", age.Milliseconds())
	me.Gauge("configuration.version", int64(ga.group.View().Version))
	me.Gauge("steps.running", int64(ga.rollouts.Running()))
	st := ga.group.Status()
	me.Gauge("group.term", int64(st.Term))
	me.Gauge("group.applied", int64(st.Applied))
}
