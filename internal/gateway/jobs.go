package gateway

import (
	"context"
	"time"
)

// periodicTask is work that is done again and again while the gateway runs.
type periodicTask struct {
	name   string
	period time.Duration
	do     func()
	wake   func() <-chan struct{} // nil for none
}

// periodicTasks lists the periodic work of every gateway.
func (ga *Gateway) periodicTasks() []periodicTask {
	return []periodicTask{
		{name: "sweepPools", period: 200 * time.Millisecond, do: ga.sweepPools},
		{name: "cutWithdrawn", period: 200 * time.Millisecond, do: ga.cancelRevoked, wake: ga.group.Changed},
		{name: "gauges", period: time.Second, do: ga.updateGauges},
	}
}

func (jo periodicTask) loop(ctx context.Context) {
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

// Load reports keep to a budget, so that a gateway's control traffic stays the
// same however many backend servers it sees. Its own requests in flight carry the
// scheduling between two reports.
const (
	reportBytesPerSecond = 2500 // bytes a second that a gateway receives
	bytesPerReport       = 200  // of one report with its reply
	minReportPeriod      = 500 * time.Millisecond
)

func (ga *Gateway) sweepPools() {
	n := 0
	for _, po := range ga.Pools() {
		n += po.Len()
		po.Sweep()
	}
	p := time.Duration(n) * bytesPerReport * time.Second / reportBytesPerSecond
	ga.reportPeriod.Store(int64(max(p, minReportPeriod)))
}

func (ga *Gateway) updateGauges() {
	me := ga.cfg.Meter
	ga.group.Measure(me)
	me.Gauge("configuration.version", int64(ga.group.View().Version))
	me.Gauge("steps.running", int64(ga.rollouts.Running()))
}
