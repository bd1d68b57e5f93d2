package crashguard

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/quarantine"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

// trialLifetime is how long a granted trial may be begun, by the time of day, which also
// advances while the process is suspended.
const trialLifetime = 500 * time.Millisecond

// TryOut asks the controllers whether the request of a pass may run at a backend server now. It
// waits for the ends of other trials, maxSuspectWait at most, and returns an error if the request
// may not run. A pass that is not suspect needs no trial. While no controller answers, the
// process runs its equal share of the trials.
func (gu *Guard) TryOut(ctx context.Context, pa *Pass, tr quarantine.Trial) error {
	if !pa.IsSuspect {
		return nil
	}
	tr.HasCompleted = pa.HasCompleted
	ctx, cancel := context.WithTimeout(ctx, maxSuspectWait)
	defer cancel()
	turn := gu.turnOf(tr.Service)
	select {
	case turn <- struct{}{}:
		defer func() { <-turn }()
	case <-ctx.Done():
		return trialRefused(tr, suspectRetryAfter)
	}

	for {
		wait, err := gu.askTrial(ctx, tr)
		if wait == 0 || err != nil {
			return err
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return trialRefused(tr, suspectRetryAfter)
		}
	}
}

// turnOf returns the lock under which this process asks for trials at a service, so that one
// call is on its way.
func (gu *Guard) turnOf(service string) chan struct{} {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	if gu.turns[service] == nil {
		gu.turns[service] = make(chan struct{}, 1)
	}

	return gu.turns[service]
}

// askTrial asks once. It returns after what time to ask again, 0 if the request may run.
func (gu *Guard) askTrial(ctx context.Context, tr quarantine.Trial) (time.Duration, error) {
	asked := gu.cfg.Now()
	gu.mu.Lock()
	left := gu.servicePauses[tr.Service].Sub(asked)
	gu.mu.Unlock()
	if left > 0 && !tr.HasCompleted {
		return 0, trialRefused(tr, left)
	}

	rep, err := gu.cfg.Trial(ctx, tr)
	gu.mu.Lock()
	defer gu.mu.Unlock()
	now := gu.cfg.Now()
	if err != nil {
		return 0, gu.tryAlone(tr, now, err)
	}
	wait := time.Duration(rep.RetryAfterMs) * time.Millisecond
	switch {
	case rep.IsServiceSpent:
		gu.servicePauses[tr.Service] = now.Add(wait)

		return 0, trialRefused(tr, wait)
	case !rep.IsGranted && wait > maxSuspectWait:
		return 0, trialRefused(tr, wait)
	case !rep.IsGranted:
		return wait, nil
	}
	gu.trials[tr.Fingerprint] = quarantine.EndTrial{Fingerprint: tr.Fingerprint, Server: tr.Server}
	if now.UnixMilli()-asked.UnixMilli() > trialLifetime.Milliseconds() {
		gu.endTrial(tr.Fingerprint)

		return 0, trialRefused(tr, suspectRetryAfter)
	}

	return 0, nil
}

// tryAlone decides about a trial without the controllers, which did not answer: each process runs
// an equal share. The caller must hold gu.mu.
func (gu *Guard) tryAlone(tr quarantine.Trial, now time.Time, err error) error {
	wait := quarantine.RecoveryPeriod*time.Duration(max(gu.cfg.Processes(), 1)) - now.Sub(gu.ownTrialAt)
	gu.cfg.Log.WithError(err).WithFields(log.Fields{"fingerprint": tr.Fingerprint, "server": tr.Server, "granted": wait <= 0}).
		Warn("no controller decided about the run of a suspect request")
	if wait > 0 {
		return trialRefused(tr, suspectRetryAfter)
	}
	gu.ownTrialAt = now

	return nil
}

func trialRefused(tr quarantine.Trial, wait time.Duration) error {
	return result.New(result.QueueFull, "crashguard: %s can spare no backend server for the suspect fingerprint %s", tr.Service, tr.Fingerprint).
		WithRetryAfter(wait)
}

// RecordNotRun records that the request of a pass did not run.
func (gu *Guard) RecordNotRun(pa *Pass, fp string) {
	if !pa.IsSuspect {
		return
	}
	gu.mu.Lock()
	defer gu.mu.Unlock()
	gu.endTrial(fp)
}

// endTrial reports the end of a trial. The caller must hold gu.mu.
func (gu *Guard) endTrial(fp string) {
	if en, ok := gu.trials[fp]; ok {
		gu.queue(report{fingerprint: fp, end: en})
		delete(gu.trials, fp)
	}
}

// isExplained reports whether a suspect is known to run alone on a backend server, so that its
// crash is put down to it.
func (gu *Guard) isExplained(server string) bool {
	for _, en := range gu.cfg.Entries() {
		if en.Explains(server) {
			return true
		}
	}

	return false
}
