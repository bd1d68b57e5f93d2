package quarantine

import (
	"maps"
	"slices"
	"time"
)

// RecoveryPeriod is for how long a backend server that crashed counts as missing from its
// service: a crashed one is back after some seconds.
const RecoveryPeriod = 5 * time.Second

const (
	recoveryMs = int64(RecoveryPeriod / time.Millisecond)
	// A service gives suspects one in runningShare of its backend servers to run on at one time,
	// and may lose one in lostShare by their crashes within the recovery period; one at least.
	runningShare = 2
	lostShare    = 4
	// trialMarginMs is added to the time that a trial may take, for its report.
	trialMarginMs = 1000
	// busyRetryMs is after what time a suspect may come again while another one runs.
	busyRetryMs = 50
	// crashRetentionMs is how long the backend servers that crashed are remembered: longer than
	// the reports of all runs that were in flight take. At most maxCrashed are.
	crashRetentionMs = 60_000
	maxCrashed       = 1024
)

// Trial asks to run a suspect once. While it runs, it is the only suspect of all gateways on
// its backend server. Whether a service can spare the backend server is decided for all
// gateways together.
type Trial struct {
	Fingerprint string `cbor:"1,keyasint"`
	Server      string `cbor:"2,keyasint"` // name and incarnation
	Service     string `cbor:"3,keyasint"`
	Servers     int    `cbor:"4,keyasint"` // backend servers of the service that are ready
	RunMs       int64  `cbor:"5,keyasint"` // how long the run may take, milliseconds
	// HasCompleted is set if the gateway knows that the fingerprint ran to its end before. It need
	// not wait for the backend servers that other suspects crashed.
	HasCompleted bool `cbor:"6,keyasint,omitempty"`
}

// TrialReply answers a Trial.
type TrialReply struct {
	IsGranted    bool  `cbor:"1,keyasint"`
	RetryAfterMs int64 `cbor:"2,keyasint"` // if it is not granted
	// IsServiceSpent is set if suspects took too many backend servers from the service, so that
	// none may run there until then.
	IsServiceSpent bool `cbor:"3,keyasint"`
}

// EndTrial records that the run of a trial has not begun, or has ended without a crash.
type EndTrial struct {
	Fingerprint string `cbor:"1,keyasint"`
	Server      string `cbor:"2,keyasint"`
}

// CrashReply answers a Crash.
type CrashReply struct {
	// IsExplained is set if the crash was put down to a suspect, and not counted.
	IsExplained bool `cbor:"1,keyasint"`
}

// runningTrial is a trial that was granted and of which no end is known.
type runningTrial struct {
	Server  string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	UntilMs int64  `cbor:"3,keyasint"` // Unix milliseconds
}

// isRunning reports whether a trial may still run.
func (tr *runningTrial) isRunning(atMs int64) bool { return tr != nil && atMs < tr.UntilMs }

// Explains reports whether a crash of a backend server is put down to the fingerprint: a trial of
// it was granted there, no end of it is known, and it never completed.
func (en Entry) Explains(server string) bool {
	return en.Trial != nil && en.Trial.Server == server && !en.HasCompleted
}

// Crashed is an incarnation of a backend server that crashed.
type Crashed struct {
	Service   string `cbor:"1,keyasint"` // "" if it is not known
	AtMs      int64  `cbor:"2,keyasint"`
	IsByTrial bool   `cbor:"3,keyasint"` // it ran a suspect alone
	// HasCompleted is set if that suspect ran to its end before, so that the crash may be due to
	// what ran beside it.
	HasCompleted bool `cbor:"4,keyasint,omitempty"`
}

// Snapshot is the stored form of a State beside its entries: backend servers that crashed a
// short time ago, by name and incarnation.
type Snapshot map[string]Crashed

// Crashed returns the backend servers that crashed a short time ago. The map is never changed,
// only replaced.
func (st *State) Crashed() Snapshot { return st.crashed }

// Trial grants or refuses the run of a suspect. It returns the fingerprints whose entries
// changed.
func (st *State) Trial(tr Trial, atMs int64) (rep TrialReply, changed []string) {
	en, ok := st.entries[tr.Fingerprint]
	if ok && en.Trial != nil && !en.Trial.isRunning(atMs) {
		// Nothing is known of its end: the gateway or its report was lost.
		en = en.WithCrash(Crash{Server: en.Trial.Server, Fingerprints: []string{tr.Fingerprint}}, atMs)
		en.Trial = nil
		st.replace(tr.Fingerprint, en)
		changed = []string{tr.Fingerprint}
	}
	switch {
	case !ok || en.Verdict(atMs) == Clear:
		return TrialReply{IsGranted: true}, changed
	case en.Verdict(atMs) == Refused:
		return TrialReply{RetryAfterMs: en.RefusedUntilMs() - atMs}, changed
	case en.Trial != nil && en.Trial.Server == tr.Server:
		return TrialReply{IsGranted: true}, changed // asked again after a lost reply
	case en.Trial != nil || st.hasCrashed(tr.Server):
		return TrialReply{RetryAfterMs: busyRetryMs}, changed
	}
	if wait, isSpent := st.trialWaitMs(tr, atMs); wait > 0 {
		return TrialReply{RetryAfterMs: wait, IsServiceSpent: isSpent}, changed
	}
	en.Trial = &runningTrial{Server: tr.Server, Service: tr.Service, UntilMs: atMs + tr.RunMs + trialMarginMs}
	st.replace(tr.Fingerprint, en)

	return TrialReply{IsGranted: true}, []string{tr.Fingerprint}
}

// trialWaitMs returns after what time a service may spare a backend server for a trial, 0 if
// it may now. isSpent is set if suspects took too many of its backend servers.
func (st *State) trialWaitMs(tr Trial, atMs int64) (waitMs int64, isSpent bool) {
	running := 0
	for _, en := range st.entries {
		if !en.Trial.isRunning(atMs) {
			continue
		}
		if en.Trial.Server == tr.Server {
			return busyRetryMs, false
		}
		if en.Trial.Service == tr.Service {
			running++
		}
	}
	var backAtMs []int64
	for _, cr := range st.crashed {
		if cr.IsByTrial && cr.Service == tr.Service && atMs < cr.AtMs+recoveryMs {
			backAtMs = append(backAtMs, cr.AtMs+recoveryMs)
		}
	}
	lost, servers := len(backAtMs), tr.Servers+len(backAtMs)
	if excess := lost - max(1, servers/lostShare); excess >= 0 && !tr.HasCompleted {
		slices.Sort(backAtMs)

		return backAtMs[excess] - atMs, true
	}
	if running >= max(1, servers/runningShare-lost) {
		return busyRetryMs, false
	}

	return 0, false
}

// EndTrial ends a trial without a crash.
func (st *State) EndTrial(en EndTrial) (changed bool) {
	e, ok := st.entries[en.Fingerprint]
	if !ok || e.Trial == nil || e.Trial.Server != en.Server {
		return false
	}
	e.Trial = nil
	st.replace(en.Fingerprint, e)

	return true
}

// isExplained reports whether a crash is put down to a suspect that ran on the backend server.
func (st *State) isExplained(server string, atMs int64) bool {
	if cr := st.crashed[server]; cr.IsByTrial && !cr.HasCompleted {
		return true
	}
	for _, en := range st.entries {
		if en.Trial.isRunning(atMs) && en.Explains(server) {
			return true
		}
	}

	return false
}

func (st *State) hasCrashed(server string) bool {
	_, ok := st.crashed[server]

	return ok
}

// recordCrashed remembers a backend server that crashed.
func (st *State) recordCrashed(cr Crash, atMs int64) {
	known, ok := st.crashed[cr.Server]
	if ok && (known.IsByTrial || !cr.WereSuspects) {
		return
	}
	next := maps.Clone(st.crashed)
	maps.DeleteFunc(next, func(_ string, c Crashed) bool { return atMs > c.AtMs+crashRetentionMs })
	if !ok {
		known = Crashed{Service: cr.Service, AtMs: atMs}
	}
	known.IsByTrial = cr.WereSuspects && cr.hasOneFingerprint()
	known.HasCompleted = known.IsByTrial && (cr.HasCompleted || st.entries[cr.Fingerprints[0]].HasCompleted)
	if ok || len(next) < maxCrashed {
		next[cr.Server] = known
	}
	st.crashed = next
}

func (st *State) replace(fp string, en Entry) {
	st.entries = maps.Clone(st.entries)
	st.entries[fp] = en
}
