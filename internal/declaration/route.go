package declaration

import "time"

// Classes of routes, in order of priority.
const (
	ClassLookup  = "lookup"
	ClassPreview = "preview"
	ClassRollout = "rollout"
	ClassBatch   = "batch"
)

var classRanks = map[string]int{ClassLookup: 0, ClassPreview: 1, ClassRollout: 2, ClassBatch: 3}

// ClassCount is the number of classes of routes.
const ClassCount = 4

// ClassRank returns the rank of a class. Rank 0 has the highest priority.
func ClassRank(class string) int { return classRanks[class] }

// Route maps a path that callers use to a model or a plain service.
type Route struct {
	Model          string   `json:"model,omitempty"`
	Service        string   `json:"service,omitempty"`
	Open           bool     `json:"open,omitempty"` // served without a key, as requests of OpenWorkspace
	OpenWorkspace  string   `json:"openWorkspace,omitempty"`
	Class          string   `json:"class"`
	Repeatable     bool     `json:"repeatable"`
	TimeoutMs      int      `json:"timeoutMs"`
	Retries        int      `json:"retries"`              // maximum number of further attempts of a request
	Workspaces     []string `json:"workspaces,omitempty"` // workspaces that may use the route; empty for all
	MaxBodyBytes   int      `json:"maxBodyBytes"`
	SpareForDomain bool     `json:"spareForDomain,omitempty"` // reserve capacity for the loss of a failure domain
}

// Defaults sets fields that are zero to their defaults.
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

// Timeout returns the maximum duration of a request to the route.
func (ro Route) Timeout() time.Duration { return time.Duration(ro.TimeoutMs) * time.Millisecond }
