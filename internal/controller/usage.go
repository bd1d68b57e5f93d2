package controller

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/duty"
	"github.com/tamarackbay/tamarackbay/internal/machine"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/usage"
)

const (
	// closeDelay after the end of a window its figures are fixed: gateways send
	// their counts every half second, a leader change takes one to two seconds.
	closeDelay = 3500 * time.Millisecond
	// reportRetryDelay is kept after a report that failed.
	reportRetryDelay = 500 * time.Millisecond
)

// usageState is what the holder remembers between two turns.
type usageState struct {
	pausedUntil time.Duration
}

// reportUsage closes the windows that are over and reports them. The figures are
// committed first, and only those are ever sent.
func (co *Controller) reportUsage(ctx context.Context, held duty.Held) {
	now := co.cfg.Now()
	if now < co.usage.pausedUntil {
		return
	}
	over := uint64(max(0, co.cfg.WallMs()-closeDelay.Milliseconds())) / uint64(co.cfg.Settings.UsageWindow.Milliseconds())
	if over == 0 {
		return
	}
	var closed uint64
	co.group.Read(func(ma *machine.Machine) { closed = ma.Usage().Closed() })
	if closed < over-1 {
		fencing, ok := held()
		if !ok {
			return
		}
		if err := co.group.Propose(ctx, machine.KindCloseWindow, usage.Close{Window: over - 1, Fencing: fencing}, nil); err != nil {
			co.cfg.Log.WithError(err).WithField("window", over-1).Warn("usage window not closed")

			return
		}
	}

	var reports []usage.Report
	co.group.Read(func(ma *machine.Machine) {
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

func (co *Controller) reportWindow(ctx context.Context, held duty.Held, re usage.Report) bool {
	fencing, ok := held()
	if !ok {
		return false
	}
	cctx, cancel := context.WithTimeout(ctx, leaseTerms.MaxCall)
	defer cancel()
	fl := log.Fields{"window": re.Window, "fencing": fencing, "workspaces": len(re.Lines)}
	err := co.cfg.ReportUsage(cctx, co.cfg.Settings.Name, fencing, re)
	if err != nil {
		fl["error"] = err.Error()
		co.cfg.Log.WithFields(fl).Warn("usage window not reported")
		// A lower fencing number means that this holder was followed: its keeper sees it soon.
		return false
	}
	co.cfg.Log.WithFields(fl).Info("usage window reported")
	if err := co.group.Propose(ctx, machine.KindReported, usage.Reported{Window: re.Window, Fencing: fencing}, nil); err != nil {
		if !result.Is(err, result.LeaseLost) {
			co.cfg.Log.WithError(err).Warn("report not recorded, the same figures are sent again")
		}

		return false
	}

	return true
}
