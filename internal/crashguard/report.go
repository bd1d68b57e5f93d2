package crashguard

import (
	"context"
	"slices"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/quarantine"
)

const (
	// maxReports bounds the reports that wait for a controller. The oldest is dropped.
	maxReports       = 1024
	reportRetryPause = 200 * time.Millisecond
	// localRetention is how long a reported crash counts here although the controllers
	// do not show it: they may have cleared the fingerprint since.
	localRetention = 2 * time.Second
	// maxCompleted bounds the fingerprints that are known to have completed, the last ones.
	maxCompleted = 8192
)

// report is a command for the controllers: a crash, the end of a trial, or else a completion.
type report struct {
	fingerprint string
	crash       *quarantine.Crash
	end         quarantine.EndTrial // "" as its fingerprint for none
	completion  quarantine.ClearSuspect
}

// RecordCompletion records that a request ran to its end, which clears its fingerprint
// unless it is refused, and speaks for it at its next crash.
func (gu *Guard) RecordCompletion(fp string) {
	gu.completed.Add(fp, struct{}{})
	if gu.IsIdle() {
		return
	}
	gu.mu.Lock()
	defer gu.mu.Unlock()

	delete(gu.local, fp)
	gu.unresolved = slices.DeleteFunc(gu.unresolved, func(ur unresolvedRun) bool { return ur.Fingerprint == fp })
	gu.reports = slices.DeleteFunc(gu.reports, func(re report) bool { return re.fingerprint == fp })
	en := gu.cfg.Entries()[fp]
	_, wasTried := gu.trials[fp]
	delete(gu.trials, fp)
	if wasTried {
		gu.ownTrialAt = time.Time{}
	}
	if wasTried || (!en.IsClear() && en.Verdict(gu.cfg.Now().UnixMilli()) != quarantine.Refused) {
		gu.queue(report{fingerprint: fp, completion: quarantine.ClearSuspect{Fingerprint: fp, Crashes: len(en.Crashes)}})
	}
}

// queue adds a report. The caller must hold gu.mu.
func (gu *Guard) queue(re report) {
	if len(gu.reports) >= maxReports {
		oldest := gu.reports[0].fingerprint
		gu.cfg.Log.WithField("fingerprint", oldest).Error("report to the quarantine dropped: too many wait for a controller")
		gu.reports = gu.reports[1:]
		delete(gu.local, oldest)
	}
	gu.reports = append(gu.reports, re)
	select {
	case gu.wake <- struct{}{}:
	default:
	}
}

// Run sends the reports to the controllers until ctx ends.
func (gu *Guard) Run(ctx context.Context) {
	for ctx.Err() == nil {
		re, ok := gu.next()
		if !ok {
			select {
			case <-gu.wake:
			case <-ctx.Done():
			}

			continue
		}
		if err := gu.send(ctx, re); err != nil {
			gu.cfg.Log.WithError(err).WithField("fingerprint", re.fingerprint).Warn("no controller recorded the report to the quarantine, it will be sent again")
			select {
			case <-time.After(reportRetryPause):
			case <-ctx.Done():
			}

			continue
		}
		gu.confirm(re)
	}
}

func (gu *Guard) next() (report, bool) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	if len(gu.reports) == 0 {
		return report{}, false
	}

	return gu.reports[0], true
}

func (gu *Guard) send(ctx context.Context, re report) error {
	if re.crash != nil {
		rep, err := gu.cfg.ReportCrash(ctx, *re.crash)
		if err == nil && rep.IsExplained {
			gu.forget(re)
		}

		return err
	}
	if re.end.Fingerprint != "" {
		return gu.cfg.EndTrial(ctx, re.end)
	}
	gu.cfg.Meter.Count("quarantine.cleared")

	return gu.cfg.ReportCompletion(ctx, re.completion)
}

// forget drops a crash of this process's own that the controllers put down to another
// fingerprint.
func (gu *Guard) forget(re report) {
	gu.mu.Lock()
	defer gu.mu.Unlock()

	kept := slices.DeleteFunc(gu.local[re.fingerprint], func(lc localCrash) bool { return lc.crash.Server == re.crash.Server })
	if gu.local[re.fingerprint] = kept; len(kept) == 0 {
		delete(gu.local, re.fingerprint)
	}
}

// confirm removes a report that a controller has recorded.
func (gu *Guard) confirm(re report) {
	gu.mu.Lock()
	defer gu.mu.Unlock()

	if i := slices.IndexFunc(gu.reports, func(o report) bool { return o.crash == re.crash && o.end == re.end && o.completion == re.completion }); i >= 0 {
		gu.reports = slices.Delete(gu.reports, i, i+1)
	}
	if re.crash == nil {
		return
	}
	for i := range gu.local[re.fingerprint] {
		if lc := &gu.local[re.fingerprint][i]; lc.crash.Server == re.crash.Server {
			lc.reportedAt = gu.cfg.Now()
		}
	}
}
