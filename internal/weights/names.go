package weights

// Name records a weight version of a model that its engines are to serve.
type Name struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// Names holds the newest recorded version of each model. It is a part of the replicated
// state of the controllers.
type Names struct {
	latest map[string]uint64
}

// NewNames returns Names that start with the versions in latest, which may be nil.
func NewNames(latest map[string]uint64) *Names {
	if latest == nil {
		latest = map[string]uint64{}
	}

	return &Names{latest: latest}
}

// Name records a version; one older than the newest changes nothing.
func (na *Names) Name(n Name) { na.latest[n.Model] = max(na.latest[n.Model], n.Version) }

// All returns the newest version of each model.
func (na *Names) All() map[string]uint64 { return na.latest }
