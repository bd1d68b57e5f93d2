package routing

// Put is a request to replace the configuration. It takes effect only if its version
// is higher than the one in force.
type Put struct {
	Config   Config `cbor:"1,keyasint"`
	Document []byte `cbor:"2,keyasint"` // what the operator sent, byte for byte
}

// PutReply reports the version in force after a Put, and whether the Put took effect.
type PutReply struct {
	Version  uint64 `cbor:"1,keyasint"`
	Replaced bool   `cbor:"2,keyasint"`
}

// State holds the configuration in force, replicated in a group.
type State struct {
	snapshot Snapshot
}

// Snapshot is the encoded form of a State.
type Snapshot struct {
	Config   Config `cbor:"1,keyasint"`
	Document []byte `cbor:"2,keyasint"`
}

// NewState returns the state with the content of a snapshot.
func NewState(sn Snapshot) *State { return &State{snapshot: sn} }

// Snapshot returns the state's encoded form.
func (st *State) Snapshot() Snapshot { return st.snapshot }

// Put applies pu. A version that is not higher is ignored and is not an error, as
// operators may send an older configuration again.
func (st *State) Put(pu Put) PutReply {
	if pu.Config.Version <= st.snapshot.Config.Version {
		return PutReply{Version: st.snapshot.Config.Version}
	}
	st.snapshot = Snapshot(pu)

	return PutReply{Version: pu.Config.Version, Replaced: true}
}

// Config returns the configuration in force. Its version is 0 before the first Put.
func (st *State) Config() *Config { return &st.snapshot.Config }

// Document returns the configuration in force as the operator sent it.
func (st *State) Document() []byte { return st.snapshot.Document }
