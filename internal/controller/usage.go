package controller

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/leasedtask"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/usage"
)

const (
	// closeDelay is the time from the end of a usage window until its figures are
	// final: gateways send their counts every half second, and a leader change takes
	// one to two seconds.
	closeDelay = 3500 * time.Millisecond
	// reportRetryDelay is the pause after a failed report.
	reportRetryDelay = 500 * time.Millisecond
)

// usageState is the state of the lease holder between two calls of reportUsage.
type usageState struct {
	pausedUntil time.Duration
}

// reportUsage closes the usage windows that have ended and reports them. Only committed
// figures are sent, so that a report sent again, also by the next lease holder, has the
// same figures.
func (co *Controller) reportUsage(ctx context.Context, held leasedtask.Held) {
	now := co.cfg.Now()
	if now < co.usage.pausedUntil {
		return
	}
	over := uint64(max(0, co.cfg.WallMs()-closeDelay.Milliseconds())) / uint64(co.cfg.Settings.UsageWindow.Milliseconds())
	if over == 0 {
		return
	}
	var closed uint64
	co.group.Read(func(ma *statemachine.Machine) { closed = ma.Usage().Closed() })
	if closed < over-1 {
		fencing, ok := held()
		if !ok {
			return
		}
		if err := co.group.Propose(ctx, statemachine.KindCloseWindow, usage.Close{Window: over - 1, Fencing: fencing}, nil); err != nil {
			co.cfg.Log.WithError(err).WithField("window", over-1).Warn("usage window not closed")

			return
		}
	}

	var reports []usage.Report
	co.group.Read(func(ma *statemachine.Machine) {
		for _, n := range ma.Usage().Unreported() {
			if re, err := ma.Usage().Report(n); err == nil {
				reports = append(reports, re)
			}
		}
	})
	for _, re := range reports {
		if !co.reportWindow(ctx, held, re) {
			co.usage.pausedUntil = co.cfg.Now() + reportRetryDelay

			return
		}
	}
}

func (co *Controller) reportWindow(ctx context.Context, held leasedtask.Held, re usage.Report) bool {
	fencing, ok := held()
	if !ok {
		return false
	}
	cctx, cancel := context.WithTimeout(ctx, leaseTiming.MaxCall)
	defer cancel()
	fl := log.Fields{"window": re.Window, "fencing": fencing, "workspaces": len(re.Lines)}
	err := co.cfg.ReportUsage(cctx, co.cfg.Settings.Name, fencing, re)
	if err != nil {
		fl["error"] = err.Error()
		co.cfg.Log.WithFields(fl).Warn("usage window not reported")
		// If the fencing number was too low, another process holds the lease now; the
		// keeper of this one notices soon.
		return false
	}
	co.cfg.Log.WithFields(fl).Info("usage window reported")
	if err := co.group.Propose(ctx, statemachine.KindMarkReported, usage.MarkReported{Window: re.Window, Fencing: fencing}, nil); err != nil {
		if !result.Is(err, result.LeaseLost) {
			co.cfg.Log.WithError(err).Warn("usage report sent but not recorded, the same figures are sent again")
		}

		return false
	}

	return true
}
