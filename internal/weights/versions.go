package weights

// VersionRecord is the command that records a weight version of a model that its engines are to serve.
type VersionRecord struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// VersionTable holds the newest recorded version of each model. It is a part of the replicated
// state of the controllers.
type VersionTable struct {
	latest map[string]uint64
}

// NewVersionTable returns a table that starts with the versions in latest, which may be nil.
func NewVersionTable(latest map[string]uint64) *VersionTable {
	if latest == nil {
		latest = map[string]uint64{}
	}

	return &VersionTable{latest: latest}
}

// Record records a version; one older than the newest changes nothing.
func (vt *VersionTable) Record(n VersionRecord) {
	vt.latest[n.Model] = max(vt.latest[n.Model], n.Version)
}

// All returns the newest version of each model.
func (vt *VersionTable) All() map[string]uint64 { return vt.latest }
