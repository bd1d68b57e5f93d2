package gateway

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/tamarackbay/tamarackbay/internal/quarantine"
)

const (
	// completedRetention is for how long a request that completed speaks for itself: longer than
	// the report of a crash at which it was in flight takes to be recorded.
	completedRetention = 5 * time.Second
	maxCompleted       = 8192
)

// completedRuns holds the fingerprints that completed a short time ago. It is safe for concurrent use.
type completedRuns struct {
	at *lru.Cache[string, time.Time]
}

func newCompletedRuns() *completedRuns {
	at, err := lru.New[string, time.Time](maxCompleted)
	if err != nil {
		panic(err) // the size is positive
	}

	return &completedRuns{at: at}
}

// recordStart forgets the completions of a fingerprint, which runs again.
func (cr *completedRuns) recordStart(fp string) { cr.at.Remove(fp) }

// recordEnd records that a fingerprint completed.
func (cr *completedRuns) recordEnd(fp string, now time.Time) {
	if fp != "" {
		cr.at.Add(fp, now)
	}
}

// suspects returns the fingerprints that completed a short time ago and have become suspect.
func (cr *completedRuns) suspects(entries map[string]quarantine.Entry, now time.Time, nowMs int64) []string {
	if len(entries) == 0 {
		return nil
	}

	var out []string
	for _, fp := range cr.at.Keys() {
		at, ok := cr.at.Peek(fp)
		en, known := entries[fp]
		switch {
		case ok && now.Sub(at) > completedRetention:
			cr.at.Remove(fp)
		case ok && known && en.Verdict(nowMs) == quarantine.Suspect:
			out = append(out, fp)
		}
	}

	return out
}
