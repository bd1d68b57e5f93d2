package weights

// Name names a weight version of a model, which its engines are to serve.
type Name struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// Names holds the newest version named for each model. It is a part of the
// replicated state of the controllers.
type Names struct {
	latest map[string]uint64
}

// NewNames returns the names in latest.
func NewNames(latest map[string]uint64) *Names {
	if latest == nil {
		latest = map[string]uint64{}
	}

	return &Names{latest: latest}
}

// Name notes a version; an older one changes nothing.
func (na *Names) Name(n Name) { na.latest[n.Model] = max(na.latest[n.Model], n.Version) }

// All returns the newest version of each model.
func (na *Names) All() map[string]uint64 { return na.latest }
