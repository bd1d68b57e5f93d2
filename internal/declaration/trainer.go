package declaration

import "time"

// Trainer defines the model from which a trainer of a workspace draws samples and how
// stale their weight versions may be.
type Trainer struct {
	Workspace      string `json:"workspace"`
	Model          string `json:"model"`
	StalenessBound uint64 `json:"stalenessBound"` // in versions; at most the bound of the model
	StepTimeoutMs  int    `json:"stepTimeoutMs"`
}

// Defaults sets fields that are zero to their defaults.
func (tr *Trainer) Defaults() {
	if tr.StepTimeoutMs == 0 {
		tr.StepTimeoutMs = 360_000
	}
}

// Validate checks the trainer called name.
func (tr Trainer) Validate(name string, se *Set) error {
	path := KindTrainer + "/" + name
	if _, ok := se.Workspaces[tr.Workspace]; !ok {
		return invalid(path, "workspace %q does not exist", tr.Workspace)
	}
	mo, ok := se.Models[tr.Model]
	if !ok {
		return invalid(path, "model %q does not exist", tr.Model)
	}
	if tr.StalenessBound > mo.StalenessBound {
		return invalid(path, "stalenessBound %d is over the model's %d", tr.StalenessBound, mo.StalenessBound)
	}
	if tr.StepTimeoutMs < 1 {
		return invalid(path, "stepTimeoutMs must be at least 1")
	}

	return nil
}

// StepTimeout returns the maximum duration of a step.
func (tr Trainer) StepTimeout() time.Duration {
	return time.Duration(tr.StepTimeoutMs) * time.Millisecond
}

// Window defines the windows of time in which usage is counted. Only the declaration
// called WindowName is used.
type Window struct {
	LengthSeconds int `json:"lengthSeconds"`
	GraceSeconds  int `json:"graceSeconds"` // how long late counters are accepted before a window is closed
}

// WindowName is the name of the declaration of windows that is used.
const WindowName = "usage"

// Defaults sets fields that are zero to their defaults.
func (wi *Window) Defaults() {
	if wi.LengthSeconds == 0 {
		wi.LengthSeconds = 3600
	}
	if wi.GraceSeconds == 0 {
		wi.GraceSeconds = 5
	}
}

// Validate checks the window called name.
func (wi Window) Validate(name string, _ *Set) error {
	if wi.LengthSeconds < 1 || wi.GraceSeconds < 0 {
		return invalid(KindWindow+"/"+name, "lengthSeconds must be at least 1 and graceSeconds not negative")
	}

	return nil
}
