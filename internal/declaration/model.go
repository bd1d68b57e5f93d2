package declaration

// Model is a model that engines serve.
type Model struct {
	StalenessBound uint64 `json:"stalenessBound"` // maximum number of versions that a sample may lag behind the latest
	SwapWave       int    `json:"swapWave"`       // number of engines that load new weights at the same time
	SwapMode       string `json:"swapMode"`       // continue or drain
}

// Swap modes of a model.
const (
	SwapContinue = "continue" // running requests continue with the new weights
	SwapDrain    = "drain"    // running requests finish before the swap
)

// Defaults sets fields that are zero to their defaults.
func (mo *Model) Defaults() {
	if mo.SwapWave == 0 {
		mo.SwapWave = 3
	}
	if mo.SwapMode == "" {
		mo.SwapMode = SwapContinue
	}
}

// Validate checks the model called name.
func (mo Model) Validate(name string, _ *Set) error {
	path := KindModel + "/" + name
	switch {
	case mo.SwapWave < 1:
		return invalid(path, "swapWave %d is under 1", mo.SwapWave)
	case mo.SwapMode != SwapContinue && mo.SwapMode != SwapDrain:
		return invalid(path, "swapMode %q is not one of continue, drain", mo.SwapMode)
	}

	return nil
}

// Version is one set of weights of a model.
type Version struct {
	Model    string `json:"model"`
	Name     string `json:"name"`
	Sequence uint64 `json:"sequence"` // increases by one with each version of the model
	Source   string `json:"source"`   // location in the weight store
}

// VersionPath returns the name under which a version is declared, such as "m@v1".
func VersionPath(model, name string) string { return model + "@" + name }

// Defaults does nothing, as no field of a version has a default.
func (ve *Version) Defaults() {}

// Validate checks the version declared under name.
func (ve Version) Validate(name string, se *Set) error {
	path := KindVersion + "/" + name
	if _, ok := se.Models[ve.Model]; !ok {
		return invalid(path, "model %q does not exist", ve.Model)
	}
	if name != VersionPath(ve.Model, ve.Name) {
		return invalid(path, "the path must be %s/%s", KindVersion, VersionPath(ve.Model, ve.Name))
	}
	if ve.Sequence == 0 {
		return invalid(path, "sequence must be at least 1")
	}
	for other, o := range se.Versions {
		if other != name && o.Model == ve.Model && o.Sequence == ve.Sequence {
			return invalid(path, "sequence %d belongs to %s", ve.Sequence, other)
		}
	}

	return nil
}
