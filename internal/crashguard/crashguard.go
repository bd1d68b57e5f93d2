// Package crashguard protects backend servers, at one gateway, from requests that crash
// them. Before each run it asks the quarantine, which the controllers replicate. It runs
// suspects one after another, reports crashes to the controllers and clears suspects
// that completed. Its own crashes count at once, also while no controller answers.
package crashguard

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/sync/singleflight"

	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/quarantine"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

const (
	// maxSuspectWait bounds the wait of a suspect for the end of another one. Then it is
	// refused, and may come again after suspectRetryAfter.
	maxSuspectWait    = 250 * time.Millisecond
	suspectRetryAfter = 250 * time.Millisecond
)

// Config configures a Guard.
type Config struct {
	// Entries returns the quarantine as the controllers last reported it.
	Entries func() map[string]quarantine.Entry
	// ReportCrash and ReportCompletion record a command at a controller, in bounded time.
	ReportCrash      func(ctx context.Context, cr quarantine.Crash) (quarantine.CrashReply, error)
	ReportCompletion func(ctx context.Context, cl quarantine.ClearSuspect) error
	// Trial asks the controllers for the run of a suspect, and EndTrial reports its end.
	Trial    func(ctx context.Context, tr quarantine.Trial) (quarantine.TrialReply, error)
	EndTrial func(ctx context.Context, en quarantine.EndTrial) error
	// Processes returns the number of processes that share trials while no controller answers.
	Processes func() int
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
	// completed holds the fingerprints that ran to their end a short time ago.
	completed *lru.Cache[string, struct{}]
	wake      chan struct{}

	mu      sync.Mutex
	local   map[string][]localCrash        // by fingerprint: crashes that the controllers may not show yet
	running map[string]chan struct{}       // by fingerprint: closed when its suspect run ends
	ended   map[string]time.Time           // incarnations of backend servers that ended, and when
	reports []report                       // in the order in which they are sent
	trials  map[string]quarantine.EndTrial // by fingerprint: granted, and not ended
	turns   map[string]chan struct{}       // by service: held while this process asks for a trial
	// servicePauses holds until when a service can spare no backend server, and ownTrialAt when
	// this process last decided about a trial by itself.
	servicePauses map[string]time.Time
	ownTrialAt    time.Time
	// unresolved holds the runs that ended without an answer at a backend server of which it
	// is not known whether it crashed.
	unresolved []unresolvedRun
}

// New returns a guard. Run sends its reports.
func New(cfg Config) *Guard {
	completed, err := lru.New[string, struct{}](maxCompleted)
	if err != nil {
		panic(err) // the size is positive
	}

	return &Guard{
		cfg: cfg, completed: completed, wake: make(chan struct{}, 1), local: map[string][]localCrash{}, running: map[string]chan struct{}{},
		ended: map[string]time.Time{}, trials: map[string]quarantine.EndTrial{}, servicePauses: map[string]time.Time{}, turns: map[string]chan struct{}{},
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
	IsSuspect bool // it must be the only suspect on its backend server
	// HasCompleted is set for a suspect that ran to its end before its crashes.
	HasCompleted bool
	LastEvent    uint64 // furthest event of the runs that ended at crashes
	release      func()
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

			return &Pass{
				IsSuspect: true, HasCompleted: en.HasCompleted || gu.completed.Contains(fp), LastEvent: en.LastEvent,
				release: sync.OnceFunc(func() { gu.endRun(fp, done) }),
			}, nil
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
