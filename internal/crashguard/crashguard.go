// Package crashguard protects backend servers, at one gateway, from requests that crash
// them. Before each run it asks the quarantine, which the controllers replicate. It runs
// suspects one after another, reports crashes to the controllers and clears suspects
// that completed. Its own crashes count at once, also while no controller answers.
package crashguard

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/singleflight"

	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/quarantine"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

const (
	// maxSuspectWait bounds the wait of a suspect for the end of another one. Then it is
	// refused, and may come again after suspectRetryAfter.
	maxSuspectWait    = 250 * time.Millisecond
	suspectRetryAfter = 250 * time.Millisecond
	// probeTimeout bounds the check whether a backend server has ended. A refused
	// connection takes one round trip.
	probeTimeout = 100 * time.Millisecond
	// maxReports bounds the reports that wait for a controller. The oldest is dropped.
	maxReports       = 1024
	reportRetryPause = 200 * time.Millisecond
	// localRetention is how long a reported crash counts here although the controllers
	// do not show it: they may have cleared the fingerprint since.
	localRetention = 2 * time.Second
	// endedRetention is how long the incarnations that ended are remembered: longer than
	// the requests that were in flight may take to fail.
	endedRetention = time.Minute
	// A run whose backend server may have crashed is kept for unresolvedRetention, longer than
	// a backend server takes to come back. At most maxUnresolved are kept, the last ones.
	unresolvedRetention = 15 * time.Second
	maxUnresolved       = 256
)

// Config configures a Guard.
type Config struct {
	// Entries returns the quarantine as the controllers last reported it.
	Entries func() map[string]quarantine.Entry
	// ReportCrash and ReportCompletion record a command at a controller, in bounded time.
	ReportCrash      func(ctx context.Context, cr quarantine.Crash) error
	ReportCompletion func(ctx context.Context, cl quarantine.ClearSuspect) error
	// HasEnded reports whether nothing listens at the address of a backend server.
	HasEnded func(ctx context.Context, address string) bool
	Now      func() time.Time
	Meter    *meter.Meter
	Log      log.Interface
}

// Guard decides which requests of this gateway may run. It is safe for concurrent use.
type Guard struct {
	cfg    Config
	probes singleflight.Group
	wake   chan struct{}

	mu      sync.Mutex
	local   map[string][]localCrash  // by fingerprint: crashes that the controllers may not show yet
	running map[string]chan struct{} // by fingerprint: closed when its suspect run ends
	ended   map[string]time.Time     // incarnations of backend servers that ended, and when
	reports []report                 // in the order in which they are sent
	// unresolved holds the runs that ended without an answer at a backend server of which it
	// is not known whether it crashed.
	unresolved []unresolvedRun
}

type unresolvedRun struct {
	Run
	at time.Time
}

// localCrash is a crash that this gateway observed.
type localCrash struct {
	crash      quarantine.Crash
	atMs       int64
	reportedAt time.Time // zero until a controller recorded it
}

// report is a command for the controllers: a crash, or else a completion.
type report struct {
	fingerprint string
	crash       *quarantine.Crash
	completion  quarantine.ClearSuspect
}

// New returns a guard. Run sends its reports.
func New(cfg Config) *Guard {
	return &Guard{
		cfg: cfg, wake: make(chan struct{}, 1), local: map[string][]localCrash{}, running: map[string]chan struct{}{},
		ended: map[string]time.Time{},
	}
}

// IsIdle reports whether no fingerprint is suspect or refused, nor may become so, so that
// requests need none.
func (gu *Guard) IsIdle() bool {
	gu.mu.Lock()
	defer gu.mu.Unlock()

	return len(gu.local) == 0 && len(gu.unresolved) == 0 && len(gu.cfg.Entries()) == 0
}

// entry returns the entry of a fingerprint, with the crashes that only this gateway
// knows of. The caller must hold gu.mu.
func (gu *Guard) entry(fp string) quarantine.Entry {
	en := gu.cfg.Entries()[fp]
	now := gu.cfg.Now()
	kept := slices.DeleteFunc(gu.local[fp], func(lc localCrash) bool {
		return slices.Contains(en.Crashes, lc.crash.Server) || (!lc.reportedAt.IsZero() && now.Sub(lc.reportedAt) > localRetention)
	})
	if len(kept) == 0 {
		delete(gu.local, fp)

		return en
	}
	gu.local[fp] = kept
	for _, lc := range kept {
		en = en.WithCrash(lc.crash, lc.atMs)
	}

	return en
}

// Pass is the permission to run a request once.
type Pass struct {
	IsSuspect bool   // it must be the only suspect on its backend server
	LastEvent uint64 // furthest event of the runs that ended at crashes
	release   func()
}

// FreePass returns a permission that needs no release.
func FreePass() *Pass { return &Pass{release: func() {}} }

// Release ends the run. Further calls have no effect.
func (pa *Pass) Release() { pa.release() }

// Admit permits a run of a fingerprint or refuses it. A suspect waits for the end of
// another run of its fingerprint, maxSuspectWait at most.
func (gu *Guard) Admit(ctx context.Context, fp string) (*Pass, error) {
	ctx, cancel := context.WithTimeout(ctx, maxSuspectWait)
	defer cancel()

	for {
		gu.mu.Lock()
		en, nowMs := gu.entry(fp), gu.cfg.Now().UnixMilli()
		verdict := en.Verdict(nowMs)
		unresolved := gu.unresolvedSuspect(fp)
		busy := gu.running[fp]
		if verdict == quarantine.Suspect && busy == nil && unresolved == 0 {
			done := make(chan struct{})
			gu.running[fp] = done
			gu.mu.Unlock()

			return &Pass{IsSuspect: true, LastEvent: en.LastEvent, release: sync.OnceFunc(func() { gu.endRun(fp, done) })}, nil
		}
		gu.mu.Unlock()

		switch verdict {
		case quarantine.Clear:
			return FreePass(), nil
		case quarantine.Refused:
			left := time.Duration(en.RefusedUntilMs()-nowMs) * time.Millisecond

			return nil, result.New(result.Quarantined, "crashguard: %d backend servers crashed while they ran this request, fingerprint %s", len(en.Crashes), fp).
				WithRetryAfter(left)
		case quarantine.Suspect:
			if unresolved > 0 {
				return nil, result.New(result.Quarantined, "crashguard: a run of the suspect fingerprint %s got no answer, its backend server may have crashed", fp).
					WithRetryAfter(unresolved)
			}
		}
		select {
		case <-busy:
		case <-ctx.Done():
			return nil, result.New(result.QueueFull, "crashguard: another request with the suspect fingerprint %s is running", fp).
				WithRetryAfter(suspectRetryAfter)
		}
	}
}

// unresolvedSuspect returns for how long a run of the fingerprint as a suspect may still
// turn out to have been in flight at a crash, 0 if there is none. The caller must hold gu.mu.
func (gu *Guard) unresolvedSuspect(fp string) time.Duration {
	left := time.Duration(0)
	for _, ur := range gu.unresolved {
		if ur.Fingerprint == fp && ur.IsSuspect {
			left = max(left, unresolvedRetention-gu.cfg.Now().Sub(ur.at))
		}
	}

	return left
}

func (gu *Guard) endRun(fp string, done chan struct{}) {
	gu.mu.Lock()
	defer gu.mu.Unlock()

	delete(gu.running, fp)
	close(done)
}

// Run describes a run of a request that ended without an answer.
type Run struct {
	RequestID   string
	Fingerprint string
	ServerID    string
	BornMs      int64 // start of the backend server's incarnation, Unix milliseconds
	Address     string
	IsSuspect   bool
	LastEvent   uint64 // last event that it delivered, 0 for none
}

// server names the incarnation of the backend server.
func (ru Run) server() string { return fmt.Sprintf("%s/%d", ru.ServerID, ru.BornMs) }

// RecordBreak records a run whose connection broke. If its backend server has ended, the
// run was in flight at a crash.
func (gu *Guard) RecordBreak(ctx context.Context, ru Run) {
	if gu.hasEnded(ctx, ru.server(), ru.Address) {
		gu.recordCrash(ru)
	} else {
		gu.RecordSilence(ru)
	}
}

// RecordSilence records a run that got no answer in time, from a backend server that may
// have crashed, be slow or be cut off.
func (gu *Guard) RecordSilence(ru Run) {
	gu.mu.Lock()
	defer gu.mu.Unlock()

	if len(gu.unresolved) >= maxUnresolved {
		gu.unresolved = gu.unresolved[1:]
	}
	gu.unresolved = append(gu.unresolved, unresolvedRun{ru, gu.cfg.Now()})
}

// ObserveServers takes the backend servers that are known now. A later incarnation under
// the same ID or address shows that the one before has ended.
func (gu *Guard) ObserveServers(servers []registry.Record) {
	now := gu.cfg.Now()
	var crashed []Run
	gu.mu.Lock()
	gu.unresolved = slices.DeleteFunc(gu.unresolved, func(ur unresolvedRun) bool {
		if now.Sub(ur.at) > unresolvedRetention {
			return true
		}
		isReplaced := slices.ContainsFunc(servers, func(re registry.Record) bool {
			return re.BornMs > ur.BornMs && (re.ID == ur.ServerID || re.Address == ur.Address)
		})
		if isReplaced {
			crashed = append(crashed, ur.Run)
		}

		return isReplaced
	})
	gu.mu.Unlock()
	for _, ru := range crashed {
		gu.recordCrash(ru)
	}
}

// recordCrash counts a run that was in flight when its backend server crashed.
func (gu *Guard) recordCrash(ru Run) {
	server := ru.server()
	now := gu.cfg.Now()
	cr := quarantine.Crash{Server: server, Fingerprints: []string{ru.Fingerprint}, WereSuspects: ru.IsSuspect, LastEvent: ru.LastEvent}
	gu.mu.Lock()
	gu.pruneLocal()
	gu.local[ru.Fingerprint] = append(gu.local[ru.Fingerprint], localCrash{crash: cr, atMs: now.UnixMilli()})
	en := gu.entry(ru.Fingerprint)
	gu.queue(report{fingerprint: ru.Fingerprint, crash: &cr})
	gu.mu.Unlock()

	gu.cfg.Meter.Count("servers.crashed")
	gu.cfg.Log.WithFields(log.Fields{
		"request": ru.RequestID, "fingerprint": ru.Fingerprint, "server": ru.ServerID, "born": ru.BornMs, "onlySuspect": ru.IsSuspect,
		"lastEvent": ru.LastEvent, "crashes": len(en.Crashes), "verdict": en.Verdict(now.UnixMilli()).String(),
	}).Warn("backend server crashed during a request")
}

// pruneLocal drops the local crashes of all fingerprints that need not count any more.
// The caller must hold gu.mu.
func (gu *Guard) pruneLocal() {
	for fp := range gu.local {
		gu.entry(fp)
	}
}

// hasEnded reports whether an incarnation of a backend server has ended. Concurrent calls
// share one check.
func (gu *Guard) hasEnded(ctx context.Context, server, address string) bool {
	gu.mu.Lock()
	now := gu.cfg.Now()
	for s, at := range gu.ended {
		if now.Sub(at) > endedRetention {
			delete(gu.ended, s)
		}
	}
	_, ok := gu.ended[server]
	gu.mu.Unlock()
	if ok {
		return true
	}

	ended, _, _ := gu.probes.Do(server, func() (any, error) {
		pctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
		defer cancel()

		return gu.cfg.HasEnded(pctx, address), nil
	})
	if ended != true {
		return false
	}
	gu.mu.Lock()
	gu.ended[server] = now
	gu.mu.Unlock()

	return true
}

// RecordCompletion records that a request ran to its end, which clears its fingerprint
// unless it is refused.
func (gu *Guard) RecordCompletion(fp string) {
	gu.mu.Lock()
	defer gu.mu.Unlock()

	delete(gu.local, fp)
	gu.unresolved = slices.DeleteFunc(gu.unresolved, func(ur unresolvedRun) bool { return ur.Fingerprint == fp })
	gu.reports = slices.DeleteFunc(gu.reports, func(re report) bool { return re.fingerprint == fp })
	en := gu.cfg.Entries()[fp]
	if en.Verdict(gu.cfg.Now().UnixMilli()) == quarantine.Suspect {
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
		return gu.cfg.ReportCrash(ctx, *re.crash)
	}
	gu.cfg.Meter.Count("quarantine.cleared")

	return gu.cfg.ReportCompletion(ctx, re.completion)
}

// confirm removes a report that a controller has recorded.
func (gu *Guard) confirm(re report) {
	gu.mu.Lock()
	defer gu.mu.Unlock()

	if i := slices.IndexFunc(gu.reports, func(o report) bool { return o.crash == re.crash && o.completion == re.completion }); i >= 0 {
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
