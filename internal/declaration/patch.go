package declaration

import (
	"encoding/json"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

const (
	maxHistory = 20_000 // patches whose changes and answers are retained
	maxDeltas  = 4_096  // latest changes whose operations are retained, for subscribers that catch up
)

// Patch is a change of the configuration. It is refused unless the version that it is
// based on is the current one.
type Patch struct {
	ID     string `json:"id" cbor:"1,keyasint"`
	Base   uint64 `json:"base" cbor:"2,keyasint"`
	Author string `json:"author" cbor:"3,keyasint"`
	Ops    []Op   `json:"ops" cbor:"4,keyasint"`
}

// Change is an accepted patch.
type Change struct {
	Version uint64 `json:"version" cbor:"1,keyasint"`
	PatchID string `json:"patchId" cbor:"2,keyasint"`
	Author  string `json:"author" cbor:"3,keyasint"`
	AtMs    int64  `json:"atMs" cbor:"4,keyasint"`
	Ops     []Op   `json:"ops" cbor:"5,keyasint"`
}

// Answer is the answer to a patch. It is part of the replicated state, including its
// message.
type Answer struct {
	Version uint64      `json:"version" cbor:"1,keyasint"`
	Code    result.Code `json:"code,omitempty" cbor:"2,keyasint,omitempty"`
	Message string      `json:"message,omitempty" cbor:"3,keyasint,omitempty"`
}

// Err returns the refusal, or nil when the patch was accepted.
func (an Answer) Err() error {
	if an.Code == 0 {
		return nil
	}

	return result.New(an.Code, "%s", an.Message)
}

// Configuration holds the replicated declarations, their history and the answers to patches.
type Configuration struct {
	version     uint64
	set         *Set
	history     []Change          // oldest first; only the last maxDeltas have their operations
	answers     map[string]Answer // by patch ID
	answerOrder []string          // patch IDs in answers, oldest first
}

// NewConfiguration returns an empty configuration at version 0.
func NewConfiguration() *Configuration {
	return &Configuration{set: NewSet(), answers: map[string]Answer{}}
}

// Version returns the current version number.
func (co *Configuration) Version() uint64 { return co.version }

// Set returns the current configuration, which callers must not change.
func (co *Configuration) Set() *Set { return co.set }

// Apply applies a patch or refuses it. A patch whose ID was already answered gets the
// same answer again.
func (co *Configuration) Apply(pa Patch, atMs int64) Answer {
	if an, ok := co.answers[pa.ID]; ok {
		return an
	}

	an := co.applyNew(pa, atMs)
	if pa.ID != "" {
		co.recordAnswer(pa.ID, an)
	}

	return an
}

// applyNew applies a patch whose ID is new, or refuses it.
func (co *Configuration) applyNew(pa Patch, atMs int64) Answer {
	if pa.ID == "" || len(pa.Ops) == 0 {
		return Answer{Version: co.version, Code: result.InvalidDeclaration, Message: "patch: id and ops must be set"}
	}
	if pa.Base != co.version {
		er := result.New(result.PatchVersionOld, "patch %s: made against version %d, the current one is %d%s",
			pa.ID, pa.Base, co.version, co.describeConflict(pa))

		return Answer{Version: co.version, Code: er.Code, Message: er.Message}
	}
	if err := co.set.Apply(pa.Ops); err != nil {
		er := result.From(err)

		return Answer{Version: co.version, Code: er.Code, Message: er.Message}
	}

	co.version++
	co.history = append(co.history, Change{Version: co.version, PatchID: pa.ID, Author: pa.Author, AtMs: atMs, Ops: pa.Ops})
	if n := len(co.history); n > maxDeltas {
		co.history[n-maxDeltas-1].Ops = nil
	}
	if len(co.history) > maxHistory {
		co.history = co.history[1:]
	}

	return Answer{Version: co.version}
}

// describeConflict names the first path of a patch that has changed since its base
// version.
func (co *Configuration) describeConflict(pa Patch) string {
	changed := map[string]uint64{}
	for _, ch := range co.history {
		if ch.Version > pa.Base {
			for _, op := range ch.Ops {
				changed[op.Path] = ch.Version
			}
		}
	}
	for _, op := range pa.Ops {
		if v, ok := changed[op.Path]; ok {
			return "; " + op.Path + " changed in version " + formatNumber(v)
		}
	}

	return "; none of its paths changed since"
}

// formatNumber formats a number in decimal.
func formatNumber(v uint64) string {
	b, _ := json.Marshal(v)

	return string(b)
}

// recordAnswer records the answer to a patch and removes the oldest one above maxHistory.
func (co *Configuration) recordAnswer(id string, an Answer) {
	co.answers[id] = an
	co.answerOrder = append(co.answerOrder, id)
	if len(co.answerOrder) > maxHistory {
		delete(co.answers, co.answerOrder[0])
		co.answerOrder = co.answerOrder[1:]
	}
}

// History returns the last n changes, newest first.
func (co *Configuration) History(n int) []Change {
	var out []Change
	for i := len(co.history) - 1; i >= 0 && len(out) < n; i-- {
		out = append(out, co.history[i])
	}

	return out
}

// Since returns the changes after version. It returns false if some of them are no
// longer retained.
func (co *Configuration) Since(version uint64) ([]Change, bool) {
	if version > co.version {
		return nil, false
	}

	missing := int(co.version - version)
	if missing > len(co.history) || missing > maxDeltas {
		return nil, false
	}

	return co.history[len(co.history)-missing:], true
}

// Snapshot is the encoded form of a Configuration.
type Snapshot struct {
	Version uint64            `cbor:"1,keyasint"`
	Ops     []Op              `cbor:"2,keyasint"`
	History []Change          `cbor:"3,keyasint"`
	Answers map[string]Answer `cbor:"4,keyasint"`
	Order   []string          `cbor:"5,keyasint"`
}

// Snapshot returns the configuration's encoded form.
func (co *Configuration) Snapshot() (Snapshot, error) {
	ops, err := co.set.Ops()

	return Snapshot{Version: co.version, Ops: ops, History: co.history, Answers: co.answers, Order: co.answerOrder}, err
}

// NewConfigurationFrom restores a configuration from a snapshot.
func NewConfigurationFrom(sn Snapshot) (*Configuration, error) {
	co := &Configuration{version: sn.Version, set: NewSet(), history: sn.History, answers: sn.Answers, answerOrder: sn.Order}
	if co.answers == nil {
		co.answers = map[string]Answer{}
	}
	if len(sn.Ops) == 0 {
		return co, nil
	}

	return co, co.set.Apply(sn.Ops)
}
