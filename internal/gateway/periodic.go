package gateway

import (
	"context"
	"time"
)

// periodicTask is work that is repeated while the gateway runs.
type periodicTask struct {
	name   string
	period time.Duration
	do     func()
	wake   func() <-chan struct{} // returns a channel whose closing starts the next run at once; nil for none
}

// periodicTasks returns the periodic work of every gateway.
func (ga *Gateway) periodicTasks() []periodicTask {
	return []periodicTask{
		{name: "sweepPools", period: 200 * time.Millisecond, do: ga.sweepPools},
		{name: "cutWithdrawn", period: 200 * time.Millisecond, do: ga.cancelRevoked, wake: ga.group.Changed},
		{name: "clearCompleted", period: time.Second, do: ga.clearCompleted, wake: ga.group.Changed},
		{name: "gauges", period: time.Second, do: ga.updateGauges},
	}
}

func (pt periodicTask) loop(ctx context.Context) {
	for ctx.Err() == nil {
		var wake <-chan struct{}
		if pt.wake != nil {
			wake = pt.wake()
		}
		pt.do()
		select {
		case <-time.After(pt.period):
		case <-wake:
		case <-ctx.Done():
		}
	}
}

// Load reports share a traffic budget, so that a gateway's control traffic does not
// grow with the number of backend servers. Between two reports the gateway schedules
// by its own requests in flight.
const (
	reportBytesPerSecond = 2500 // received by one gateway
	bytesPerReport       = 200  // one report with its reply
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
