// Package quarantine refuses requests that crash the backend servers they run on. A
// fingerprint that was in flight at a crash becomes suspect, at a second one if it has
// completed before; from then on its requests run as the only suspect on their backend
// server. A suspect that completes is cleared.
// A fingerprint is refused by all gateways after two crashes if it was the only suspect
// at one of them. Without this condition, a popular request, which is in flight at
// nearly every crash, would be refused. A refusal ends after a time that grows with the
// crashes; then one more run clears the fingerprint or refuses it again.
package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"slices"
)

const fingerprintBytes = 12

// Fingerprint returns a hash, in hexadecimal, of everything that determines what a
// request makes a backend server do.
func Fingerprint(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:", len(p))
		_, _ = io.WriteString(h, p)
	}

	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

// Verdict says how requests with a fingerprint are treated.
type Verdict uint8

// Verdicts on a fingerprint, from harmless to refused.
const (
	Clear   Verdict = iota
	Suspect         // was in flight at a crash: runs as the only suspect on its backend server
	Refused         // was in flight at two crashes, at one of them as the only suspect
)

// String returns the verdict's name.
func (ve Verdict) String() string {
	return [...]string{"clear", "suspect", "refused"}[min(ve, Refused)]
}

// Entry records the crashes of one fingerprint.
type Entry struct {
	Crashes        []string `cbor:"1,keyasint"`           // names and incarnations of the backend servers that crashed
	WasOnlySuspect bool     `cbor:"2,keyasint"`           // it was the only suspect at one of the crashes
	AtMs           int64    `cbor:"3,keyasint"`           // time of the last crash, Unix milliseconds
	Released       bool     `cbor:"4,keyasint"`           // by an operator
	SuspectAt      []string `cbor:"5,keyasint,omitempty"` // the crashes at which it ran as a suspect
	LastEvent      uint64   `cbor:"6,keyasint,omitempty"` // furthest event that any of its crashed runs reached
	// HasCompleted is set if it ran to its end before its crashes. Then the first one does not make
	// it a suspect, and only crashes of its trials count towards its refusal.
	HasCompleted bool `cbor:"8,keyasint,omitempty"`
	// Trial is its run as a suspect, nil if none is known.
	Trial *runningTrial `cbor:"7,keyasint,omitempty"`
}

// Crash records which fingerprints were in flight on a backend server that crashed.
type Crash struct {
	Server       string   `cbor:"1,keyasint"` // name and incarnation
	Fingerprints []string `cbor:"2,keyasint"`
	WereSuspects bool     `cbor:"3,keyasint"`           // the fingerprints ran as suspects
	LastEvent    uint64   `cbor:"4,keyasint,omitempty"` // last event of the crashed run, 0 for none
	Service      string   `cbor:"5,keyasint,omitempty"` // of the backend server, "" if it is not known
	HasCompleted bool     `cbor:"6,keyasint,omitempty"` // the fingerprint is known to have run to its end before
}

// ClearSuspect records that a request of a suspect fingerprint has completed.
type ClearSuspect struct {
	Fingerprint string `cbor:"1,keyasint"`
	// Crashes is the number of crashes that were known when it completed, and its refusal
	// had ended by the sender's clock. 0 leaves that to the clock of the group.
	Crashes int `cbor:"2,keyasint,omitempty"`
}

// Release is an operator's request to end the quarantine of a fingerprint.
type Release struct {
	Fingerprint string `cbor:"1,keyasint"`
}

const (
	crashLimit  = 2                   // crashes after which a fingerprint may be refused
	maxCrashes  = 8                   // crashes remembered of one fingerprint, the last ones
	retentionMs = 24 * 60 * 60 * 1000 // since the last crash of a fingerprint
	maxEntries  = 50_000              // further fingerprints are not recorded
)

// refusalsMs holds how long a fingerprint is refused after its last crash, in
// milliseconds, by the number of its crashes above crashLimit. A sound request that was
// running at crashes of other causes gets another run soon; one that crashes each
// backend server gets few.
var refusalsMs = []int64{30_000, 5 * 60_000, 60 * 60_000, retentionMs}

// State holds the entries of a replicated group by fingerprint.
type State struct {
	entries map[string]Entry
	crashed Snapshot
}

// NewState returns a state with the entries and the backend servers that crashed a short time
// ago. Both may be nil.
func NewState(entries map[string]Entry, crashed Snapshot) *State {
	if entries == nil {
		entries = map[string]Entry{}
	}
	if crashed == nil {
		crashed = Snapshot{}
	}

	return &State{entries: entries, crashed: crashed}
}

// Entries returns all entries. The map is never changed, only replaced.
func (st *State) Entries() map[string]Entry { return st.entries }

// Verdict returns the verdict on a fingerprint at a time in Unix milliseconds.
func (en Entry) Verdict(atMs int64) Verdict {
	switch {
	case en.IsClear(), en.HasCompleted && len(en.Crashes) == 1:
		return Clear
	case atMs < en.RefusedUntilMs():
		return Refused
	}

	return Suspect
}

// IsClear reports whether the verdict is Clear at any time.
func (en Entry) IsClear() bool { return en.Released || len(en.Crashes) == 0 }

// RefusedUntilMs returns when the refusal of a fingerprint ends, in Unix milliseconds.
// It is 0 for one that is not refused.
func (en Entry) RefusedUntilMs() int64 {
	evidence := en.Crashes
	if en.HasCompleted {
		// At one trial it may have run beside another request that crashes backend servers.
		evidence = en.SuspectAt
	}
	n := len(evidence) - crashLimit
	if en.Released || n < 0 || !en.WasOnlySuspect {
		return 0
	}

	return en.AtMs + refusalsMs[min(n, len(refusalsMs)-1)]
}

// WithCrash returns the entry after a crash of a backend server. A crash that is known
// already counts once, and tells only whether the fingerprint was a suspect at it.
func (en Entry) WithCrash(cr Crash, atMs int64) Entry {
	if en.Released {
		return en
	}
	if !slices.Contains(en.Crashes, cr.Server) {
		if cr.LastEvent > en.LastEvent {
			// The run got further than all before it, so it did not crash where they did.
			en.Crashes, en.SuspectAt, en.WasOnlySuspect = nil, nil, false
		}
		en.LastEvent = max(en.LastEvent, cr.LastEvent)
		en.HasCompleted = en.HasCompleted || cr.HasCompleted
		en.Crashes = appendLast(en.Crashes, cr.Server)
		en.AtMs = atMs
	}
	if en.Trial != nil && en.Trial.Server == cr.Server {
		en.Trial = nil
	}
	if cr.WereSuspects && !slices.Contains(en.SuspectAt, cr.Server) {
		en.SuspectAt = appendLast(en.SuspectAt, cr.Server)
		en.WasOnlySuspect = en.WasOnlySuspect || cr.hasOneFingerprint()
	}

	return en
}

func (cr Crash) hasOneFingerprint() bool {
	return !slices.ContainsFunc(cr.Fingerprints, func(fp string) bool { return fp != cr.Fingerprints[0] })
}

// appendLast returns a new slice of the last maxCrashes elements.
func appendLast(list []string, s string) []string {
	out := append(slices.Clone(list), s)

	return out[max(0, len(out)-maxCrashes):]
}

// Crash records the crash of a backend server and removes expired entries. Reports of
// the same crash count once. If a suspect ran there alone that never completed, the crash
// explains the ends of all other runs, and they are not counted. It returns the fingerprints
// whose entries changed.
func (st *State) Crash(cr Crash, atMs int64) (changed []string, isExplained bool) {
	isExplained = !cr.WereSuspects && st.isExplained(cr.Server, atMs)
	st.recordCrashed(cr, atMs)
	next := maps.Clone(st.entries)
	for fp, en := range st.entries {
		if atMs > en.AtMs+retentionMs {
			delete(next, fp)
			changed = append(changed, fp)
		}
	}
	for _, fp := range cr.Fingerprints {
		en, ok := next[fp]
		if isExplained || (!ok && len(next) >= maxEntries) {
			continue
		}
		next[fp] = en.WithCrash(cr, atMs)
		changed = append(changed, fp)
	}
	if cr.WereSuspects {
		changed = append(changed, shareSuspicion(next, cr.Server)...)
	}
	st.entries = next

	return changed, isExplained
}

// shareSuspicion corrects the entries of the fingerprints that ran as suspects on the
// same crashed backend server, reported by several gateways: none was the only suspect.
// It returns the corrected fingerprints.
func shareSuspicion(entries map[string]Entry, server string) []string {
	at := map[string]int{} // suspects by crash
	var involved []string
	for fp, en := range entries {
		for _, s := range en.SuspectAt {
			at[s]++
		}
		if slices.Contains(en.SuspectAt, server) {
			involved = append(involved, fp)
		}
	}
	if len(involved) < 2 {
		return nil
	}
	for _, fp := range involved {
		en := entries[fp]
		en.WasOnlySuspect = slices.ContainsFunc(en.SuspectAt, func(s string) bool { return at[s] == 1 })
		entries[fp] = en
	}

	return involved
}

// ClearSuspect removes a fingerprint that completed. A refused one stays refused.
func (st *State) ClearSuspect(cl ClearSuspect, atMs int64) {
	en, ok := st.entries[cl.Fingerprint]
	if !ok || en.Released || (en.Verdict(atMs) == Refused && (cl.Crashes == 0 || cl.Crashes != len(en.Crashes))) {
		return
	}
	st.entries = maps.Clone(st.entries)
	delete(st.entries, cl.Fingerprint)
}

// Release ends the quarantine of a fingerprint and reports whether it had an entry.
// Further crashes don't count until the entry expires.
func (st *State) Release(re Release) bool {
	en, ok := st.entries[re.Fingerprint]
	if ok {
		en.Released = true
		st.entries = maps.Clone(st.entries)
		st.entries[re.Fingerprint] = en
	}

	return ok
}
