// Package quarantine keeps requests away that crash the backend servers they run
// on. What was in flight at a crash is suspect and runs from then on as the only
// suspect of its backend server, one at a time, which clears it or convicts it: a
// fingerprint is refused everywhere after two crashes of which one was such a run.
// Popular requests that are in flight whenever anything fails are so never refused.
package quarantine

// Verdict on a fingerprint.
type Verdict uint8

// Verdicts on a fingerprint.
const (
	Clear   Verdict = iota
	Suspect         // in flight at a crash: runs as the only suspect of its backend server
	Refused         // in flight at two crashes, at one of them as the only suspect
)

// Entry is what is known of one fingerprint.
type Entry struct {
	Crashes  []string `cbor:"1,keyasint"` // backend server incarnations that were lost
	Alone    bool     `cbor:"2,keyasint"` // at one of the crashes it was the only suspect
	AtMs     int64    `cbor:"3,keyasint"`
	Released bool     `cbor:"4,keyasint"`
}

// Crash says which fingerprints were in flight on a backend server that was lost.
type Crash struct {
	Server       string   `cbor:"1,keyasint"` // with its incarnation
	Fingerprints []string `cbor:"2,keyasint"`
	Alone        bool     `cbor:"3,keyasint"` // they ran as suspects
}

// Cleared says that a suspect has run to its end.
type Cleared struct {
	Fingerprint string `cbor:"1,keyasint"`
}

// Release ends the quarantine of a fingerprint by an operator's order.
type Release struct {
	Fingerprint string `cbor:"1,keyasint"`
}

const (
	crashLimit  = 2
	retentionMs = 24 * 60 * 60 * 1000
	maxEntries  = 50_000
)

// Book holds the entries of a group.
type Book struct {
	entries map[string]Entry
}

// NewBook returns the book that holds entries.
func NewBook(entries map[string]Entry) *Book {
	if entries == nil {
		entries = map[string]Entry{}
	}

	return &Book{entries: entries}
}

// Entries returns all entries; they must not be changed.
func (bo *Book) Entries() map[string]Entry { return bo.entries }

// Verdict returns the verdict on a fingerprint.
func (en Entry) Verdict() Verdict {
	switch {
	case en.Released || len(en.Crashes) == 0:
		return Clear
	case len(en.Crashes) >= crashLimit && en.Alone:
		return Refused
	}

	return Suspect
}

// Crash records the loss of a backend server.
func (bo *Book) Crash(cr Crash, atMs int64) {
	bo.dropExpired(atMs)
	for _, fp := range cr.Fingerprints {
		en, ok := bo.entries[fp]
		if !ok && len(bo.entries) >= maxEntries {
			continue
		}
		if contains(en.Crashes, cr.Server) || en.Released {
			continue
		}
		en.Crashes = append(append([]string(nil), en.Crashes...), cr.Server)
		en.Alone = en.Alone || cr.Alone
		en.AtMs = atMs
		bo.entries[fp] = en
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

// Cleared forgets a suspect that ran to its end.
func (bo *Book) Cleared(cl Cleared) {
	if en, ok := bo.entries[cl.Fingerprint]; ok && en.Verdict() == Suspect {
		delete(bo.entries, cl.Fingerprint)
	}
}

// Release lets a fingerprint run again.
func (bo *Book) Release(re Release) bool {
	en, ok := bo.entries[re.Fingerprint]
	if ok {
		en.Released = true
		bo.entries[re.Fingerprint] = en
	}

	return ok
}

func (bo *Book) dropExpired(atMs int64) {
	for fp, en := range bo.entries {
		if atMs > en.AtMs+retentionMs {
			delete(bo.entries, fp)
		}
	}
}
