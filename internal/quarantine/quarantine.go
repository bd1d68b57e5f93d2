// Package quarantine refuses requests that crash the backend servers they run on. A
// fingerprint that was in flight at a crash becomes suspect; from then on its requests
// run as the only suspect on their backend server. A suspect that completes is cleared.
// A fingerprint is refused by all gateways after two crashes if it was the only suspect
// at one of them. Without this condition, a popular request, which is in flight at
// nearly every crash, would be refused.
package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
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

// Entry records the crashes of one fingerprint.
type Entry struct {
	Crashes        []string `cbor:"1,keyasint"` // names and incarnations of the backend servers that crashed
	WasOnlySuspect bool     `cbor:"2,keyasint"` // it was the only suspect at one of the crashes
	AtMs           int64    `cbor:"3,keyasint"` // time of the last crash
	Released       bool     `cbor:"4,keyasint"` // by an operator
}

// Crash records which fingerprints were in flight on a backend server that crashed.
type Crash struct {
	Server       string   `cbor:"1,keyasint"` // name and incarnation
	Fingerprints []string `cbor:"2,keyasint"`
	WereSuspects bool     `cbor:"3,keyasint"` // the fingerprints ran as suspects
}

// ClearSuspect records that a request of a suspect fingerprint has completed.
type ClearSuspect struct {
	Fingerprint string `cbor:"1,keyasint"`
}

// Release is an operator's request to end the quarantine of a fingerprint.
type Release struct {
	Fingerprint string `cbor:"1,keyasint"`
}

const (
	crashLimit  = 2                   // crashes after which a fingerprint may be refused
	retentionMs = 24 * 60 * 60 * 1000 // since the last crash of a fingerprint
	maxEntries  = 50_000              // further fingerprints are not recorded
)

// State holds the entries of a replicated group by fingerprint.
type State struct {
	entries map[string]Entry
}

// NewState returns a state with the entries, which may be nil.
func NewState(entries map[string]Entry) *State {
	if entries == nil {
		entries = map[string]Entry{}
	}

	return &State{entries: entries}
}

// Entries returns all entries; they must not be changed.
func (st *State) Entries() map[string]Entry { return st.entries }

// Verdict returns the verdict on a fingerprint.
func (en Entry) Verdict() Verdict {
	switch {
	case en.Released || len(en.Crashes) == 0:
		return Clear
	case len(en.Crashes) >= crashLimit && en.WasOnlySuspect:
		return Refused
	}

	return Suspect
}

// Crash records the crash of a backend server and removes expired entries. Reports of
// the same crash count once.
func (st *State) Crash(cr Crash, atMs int64) {
	st.dropExpired(atMs)
	for _, fp := range cr.Fingerprints {
		en, ok := st.entries[fp]
		if !ok && len(st.entries) >= maxEntries {
			continue
		}
		if contains(en.Crashes, cr.Server) || en.Released {
			continue
		}
		en.Crashes = append(append([]string(nil), en.Crashes...), cr.Server)
		en.WasOnlySuspect = en.WasOnlySuspect || cr.WereSuspects
		en.AtMs = atMs
		st.entries[fp] = en
	}
}

func contains(list []string, s string) bool {
	for _, o := range list {
		if o == s {
			return true
		}
	}

	return false
}

// ClearSuspect removes a suspect that completed. A refused fingerprint stays refused.
func (st *State) ClearSuspect(cl ClearSuspect) {
	if en, ok := st.entries[cl.Fingerprint]; ok && en.Verdict() == Suspect {
		delete(st.entries, cl.Fingerprint)
	}
}

// Release ends the quarantine of a fingerprint and reports whether it had an entry.
// Further crashes don't count until the entry expires.
func (st *State) Release(re Release) bool {
	en, ok := st.entries[re.Fingerprint]
	if ok {
		en.Released = true
		st.entries[re.Fingerprint] = en
	}

	return ok
}

func (st *State) dropExpired(atMs int64) {
	for fp, en := range st.entries {
		if atMs > en.AtMs+retentionMs {
			delete(st.entries, fp)
		}
	}
}
