package declaration

import "time"

// Classes of routes, the first served before the last.
const (
	ClassLookup  = "lookup"
	ClassPreview = "preview"
	ClassRollout = "rollout"
	ClassBatch   = "batch"
)

var classRanks = map[string]int{ClassLookup: 0, ClassPreview: 1, ClassRollout: 2, ClassBatch: 3}

// ClassCount is the number of classes.
const ClassCount = 4

// ClassRank returns the position of a class, 0 for the one served first.
func ClassRank(class string) int { return classRanks[class] }

// Route connects a path of callers with a model or a plain service.
type Route struct {
	Model          string   `json:"model,omitempty"`
	Service        string   `json:"service,omitempty"`
	Open           bool     `json:"open,omitempty"` // served without a key, under the workspace named here
	OpenWorkspace  string   `json:"openWorkspace,omitempty"`
	Class          string   `json:"class"`
	Repeatable     bool     `json:"repeatable"`
	TimeoutMs      int      `json:"timeoutMs"`
	Retries        int      `json:"retries"`              // further attempts for one request
	Workspaces     []string `json:"workspaces,omitempty"` // who may use it, none for all
	MaxBodyBytes   int      `json:"maxBodyBytes"`
	SpareForDomain bool     `json:"spareForDomain,omitempty"` // keep capacity for the loss of a failure domain
}

// Defaults fills the fields left zero.
func (ro *Route) Defaults() {
	if ro.Class == "" {
		ro.Class = ClassPreview
	}
	if ro.TimeoutMs == 0 {
		ro.TimeoutMs = 30_000
	}
	if ro.Retries == 0 {
		ro.Retries = 2
	}
	if ro.MaxBodyBytes == 0 {
		ro.MaxBodyBytes = 1 << 20
	}
}

// Validate checks the route called name.
func (ro Route) Validate(name string, se *Set) error {
	path := KindRoute + "/" + name
	switch {
	case (ro.Model == "") == (ro.Service == ""):
		return invalid(path, "exactly one of model and service must be set")
	case ro.TimeoutMs < 1 || ro.TimeoutMs > 3_600_000:
		return invalid(path, "timeoutMs %d is not between 1 and 3600000", ro.TimeoutMs)
	case ro.Retries < 0 || ro.Retries > 10:
		return invalid(path, "retries %d is not between 0 and 10", ro.Retries)
	case ro.MaxBodyBytes < 1 || ro.MaxBodyBytes > 16<<20:
		return invalid(path, "maxBodyBytes %d is not between 1 and 16777216", ro.MaxBodyBytes)
	case ro.Open == (ro.OpenWorkspace == ""):
		return invalid(path, "open and openWorkspace go together")
	}
	if _, ok := classRanks[ro.Class]; !ok {
		return invalid(path, "class %q is not one of lookup, preview, rollout, batch", ro.Class)
	}
	if ro.Model != "" {
		if _, ok := se.Models[ro.Model]; !ok {
			return invalid(path, "model %q does not exist", ro.Model)
		}
	}
	for _, w := range append([]string{ro.OpenWorkspace}, ro.Workspaces...) {
		if _, ok := se.Workspaces[w]; w != "" && !ok {
			return invalid(path, "workspace %q does not exist", w)
		}
	}

	return nil
}

// Timeout returns the longest time a request of the route may take.
func (ro Route) Timeout() time.Duration { return time.Duration(ro.TimeoutMs) * time.Millisecond }
