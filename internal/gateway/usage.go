package gateway

import (
	"context"
	"encoding/json"

	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/usage"
)

const millisPerSecond = 1000

// reportUsage closes windows that have ended and reports closed windows, oldest
// first. Closing commits a window's figures before they are sent, so that a repeated
// report always carries the same figures.
func (ga *Gateway) reportUsage(ctx context.Context, held leaseCheck) {
	if ga.usageSink == nil {
		return
	}
	wi, ok := ga.group.View().Set.Windows[declaration.WindowName]
	if !ok {
		return
	}

	var closed uint64
	var unreported []uint64
	ga.group.Read(func(ma *statemachine.Machine) {
		closed, unreported = ma.Usage().Closed(), ma.Usage().Unreported()
	})
	lastEnded := uint64((ga.cfg.WallMs()/millisPerSecond-int64(wi.GraceSeconds))/int64(wi.LengthSeconds)) - 1
	fencing, ok := held()
	if !ok {
		return
	}
	if lastEnded > closed {
		if err := ga.group.Propose(ctx, statemachine.KindCloseWindow, usage.Close{Window: lastEnded, Fencing: fencing}, nil); err != nil {
			return
		}
	}
	for _, n := range unreported {
		if !ga.sendReport(ctx, held, n) {
			return
		}
	}
}

func (ga *Gateway) sendReport(ctx context.Context, held leaseCheck, window uint64) bool {
	var re usage.Report
	err := error(nil)
	ga.group.Read(func(ma *statemachine.Machine) { re, err = ma.Usage().Report(window) })
	if err != nil {
		return false
	}
	b, err := json.Marshal(re)
	if err != nil {
		return false
	}

	cctx, cancel := context.WithTimeout(ctx, ga.leaseTiming().MaxCall)
	defer cancel()
	fencing, ok := held()
	if !ok {
		return false
	}
	if err := ga.usageSink.Send(cctx, window, b, ga.leaseHolder(), fencing); err != nil {
		ga.cfg.Meter.Count("reports.failed")

		return false
	}
	ga.cfg.Meter.Count("reports.sent")

	return ga.group.Propose(ctx, statemachine.KindMarkReported, usage.MarkReported{Window: window, Fencing: fencing}, nil) == nil
}
