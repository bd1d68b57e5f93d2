// Package stepplan decides in which order, and at which backend servers, the texts of a
// trainer's steps are generated. A trainer goes on once nearly all texts of a step are complete,
// so that the longest ones determine how long a step takes. The decisions need no clock and no
// network; lengths are counted in tokens, times in seconds.
package stepplan

import "time"

const (
	// overrunShare is the share of its length so far that a text longer than estimated is
	// expected to go on for.
	overrunShare = 0.5
	// estimateFactor is how many times longer than estimated nearly all texts are at most.
	estimateFactor = 4
	// moveSeconds is what it costs to continue a run elsewhere: tokens since the last event are
	// lost, and the prompt and the text are read again.
	moveSeconds = 0.25
	// moveGainFactor is how many times its cost a move must gain, as lengths are estimates.
	moveGainFactor = 2
)

// Remaining returns how many tokens a text is expected to need that was estimated to have a
// length and has a number of tokens already.
func Remaining(estimated, generated float64) float64 {
	return max(estimated-generated, overrunShare*generated)
}

// LatestStart returns the latest time at which a text must be at a backend server to be
// complete when it is due. Texts are placed in the order of these times, across all steps.
func LatestStart(due time.Time, remaining, tokenSeconds float64) time.Time {
	return due.Add(-time.Duration(remaining * tokenSeconds * float64(time.Second)))
}

// Paces are the times between two tokens of a text.
type Paces struct {
	Fast    float64 // at fast backend servers
	Lagging float64 // at the healthy ones that are slower
}

// Preference is the kind of backend servers that a text is to be generated at.
type Preference uint8

// Preferences of a text.
const (
	PreferLagging Preference = iota // it is complete in time anywhere: fast ones are left to others
	PreferFast
	RequireFast // it would be late elsewhere: it waits for a slot at a fast one
)

// Prefer returns the preference of a text that is due in a number of seconds.
func Prefer(due, remaining float64, pa Paces) Preference {
	switch {
	case estimateFactor*remaining*pa.Lagging < due:
		return PreferLagging
	case remaining*pa.Lagging > due && remaining*pa.Fast < due:
		return RequireFast
	}

	return PreferFast
}

// IsMoveWorthwhile reports whether a run gains by going on at a backend server with another
// pace, also where the text is shorter than expected.
func IsMoveWorthwhile(remaining, here, there float64) bool {
	return remaining*(here-there) > moveGainFactor*moveSeconds
}
