package crashguard

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/quarantine"
	"github.com/tamarackbay/tamarackbay/internal/registry"
)

const (
	// probeTimeout bounds the check whether a backend server has ended. A refused
	// connection takes one round trip.
	probeTimeout = 100 * time.Millisecond
	// endedRetention is how long the incarnations that ended are remembered: longer than
	// the requests that were in flight may take to fail.
	endedRetention = time.Minute
	// A run whose backend server may have crashed is kept for unresolvedRetention, longer than
	// a backend server takes to come back. At most maxUnresolved are kept, the last ones.
	unresolvedRetention = 15 * time.Second
	maxUnresolved       = 256
)

// unresolvedRun is a run at a backend server of which it is not known whether it crashed.
type unresolvedRun struct {
	FailedRun
	at time.Time
}

// localCrash is a crash that this gateway observed.
type localCrash struct {
	crash      quarantine.Crash
	atMs       int64
	reportedAt time.Time // zero until a controller recorded it
}

// FailedRun describes a run of a request that ended without an answer.
type FailedRun struct {
	RequestID   string
	Fingerprint string
	ServerID    string
	BornMs      int64 // start of the backend server's incarnation, Unix milliseconds
	Address     string
	Service     string
	IsSuspect   bool
	LastEvent   uint64 // last event that it delivered, 0 for none
}

// server names the incarnation of the backend server.
func (ru FailedRun) server() string { return ServerName(ru.ServerID, ru.BornMs) }

// ServerName names an incarnation of a backend server in reports and trials.
func ServerName(id string, bornMs int64) string { return fmt.Sprintf("%s/%d", id, bornMs) }

// RecordBreak records a run whose connection broke. If its backend server has ended, the
// run was in flight at a crash. It reports whether that incarnation has ended.
func (gu *Guard) RecordBreak(ctx context.Context, ru FailedRun) (hasEnded bool) {
	if !gu.hasEnded(ctx, ru.server(), ru.Address) {
		gu.RecordSilence(ru)

		return false
	}
	gu.recordCrash(ru)

	return true
}

// RecordSilence records a run that got no answer in time, from a backend server that may
// have crashed, be slow or be cut off.
func (gu *Guard) RecordSilence(ru FailedRun) {
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
	var crashed []FailedRun
	gu.mu.Lock()
	gu.unresolved = slices.DeleteFunc(gu.unresolved, func(ur unresolvedRun) bool {
		if now.Sub(ur.at) > unresolvedRetention {
			return true
		}
		isReplaced := slices.ContainsFunc(servers, func(re registry.Record) bool {
			return re.BornMs > ur.BornMs && (re.ID == ur.ServerID || re.Address == ur.Address)
		})
		if isReplaced {
			crashed = append(crashed, ur.FailedRun)
		}

		return isReplaced
	})
	gu.mu.Unlock()
	for _, ru := range crashed {
		gu.recordCrash(ru)
	}
}

// recordCrash counts a run that was in flight when its backend server crashed.
func (gu *Guard) recordCrash(ru FailedRun) {
	server := ru.server()
	now := gu.cfg.Now()
	cr := quarantine.Crash{Server: server, Fingerprints: []string{ru.Fingerprint}, WereSuspects: ru.IsSuspect, LastEvent: ru.LastEvent, Service: ru.Service}
	cr.HasCompleted = gu.completed.Contains(ru.Fingerprint)
	gu.mu.Lock()
	gu.pruneLocal()
	isExplained := !ru.IsSuspect && gu.isExplained(server)
	if !isExplained {
		gu.local[ru.Fingerprint] = append(gu.local[ru.Fingerprint], localCrash{crash: cr, atMs: now.UnixMilli()})
	}
	if ru.IsSuspect {
		delete(gu.trials, ru.Fingerprint) // the report ends it
	}
	en := gu.entry(ru.Fingerprint)
	if en.Verdict(now.UnixMilli()) == quarantine.Refused {
		gu.completed.Remove(ru.Fingerprint)
	}
	gu.queue(report{fingerprint: ru.Fingerprint, crash: &cr})
	gu.mu.Unlock()

	gu.cfg.Meter.Count("servers.crashed")
	gu.cfg.Log.WithFields(log.Fields{
		"request": ru.RequestID, "fingerprint": ru.Fingerprint, "server": ru.ServerID, "born": ru.BornMs, "onlySuspect": ru.IsSuspect,
		"lastEvent": ru.LastEvent, "crashes": len(en.Crashes), "verdict": en.Verdict(now.UnixMilli()).String(), "explained": isExplained,
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
