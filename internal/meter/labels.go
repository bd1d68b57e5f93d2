package meter

import (
	"strings"
	"sync"
)

// Labels bounds the values of a label, such as the names of workspaces: each value is a metric
// that is kept as long as the process runs. It is safe for concurrent use.
type Labels struct {
	max int

	mu   sync.Mutex
	seen map[string]bool
}

// OtherLabel stands for the values beyond the bound.
const OtherLabel = "other"

// NewLabels returns labels with at most maxValues values beside OtherLabel.
func NewLabels(maxValues int) *Labels { return &Labels{max: maxValues, seen: map[string]bool{}} }

// Of returns the label of a value: the value itself, with other characters than letters, digits
// and dashes replaced, or OtherLabel once the bound is reached.
func (la *Labels) Of(value string) string {
	value = strings.Map(func(r rune) rune {
		if r == '-' || (r >= '0' && r <= '9') || (r >= 'a' && r <= 'z') || (r >= 'A' && r <= 'Z') {
			return r
		}

		return '_'
	}, value)
	la.mu.Lock()
	defer la.mu.Unlock()

	if !la.seen[value] {
		if value == "" || len(la.seen) >= la.max {
			return OtherLabel
		}
		la.seen[value] = true
	}

	return value
}
