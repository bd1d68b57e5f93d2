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

// Book holds the replicated configuration, its history and the answers to patches.
type Book struct {
	version     uint64
	set         *Set
	history     []Change          // oldest first; only the last maxDeltas have their operations
	answers     map[string]Answer // by patch ID
	answerOrder []string          // patch IDs in answers, oldest first
}

// NewBook returns an empty configuration at version 0.
func NewBook() *Book {
	return &Book{set: NewSet(), answers: map[string]Answer{}}
}

// Version returns the current version number.
func (bo *Book) Version() uint64 { return bo.version }

// Set returns the current configuration, which callers must not change.
func (bo *Book) Set() *Set { return bo.set }

// Apply applies a patch or refuses it. A patch whose ID was already answered gets the
// same answer again.
func (bo *Book) Apply(pa Patch, atMs int64) Answer {
	if an, ok := bo.answers[pa.ID]; ok {
		return an
	}

	an := bo.applyNew(pa, atMs)
	if pa.ID != "" {
		bo.recordAnswer(pa.ID, an)
	}

	return an
}

// applyNew applies a patch whose ID is new, or refuses it.
func (bo *Book) applyNew(pa Patch, atMs int64) Answer {
	if pa.ID == "" || len(pa.Ops) == 0 {
		return Answer{Version: bo.version, Code: result.InvalidDeclaration, Message: "patch: id and ops must be set"}
	}
	if pa.Base != bo.version {
		er := result.New(result.PatchVersionOld, "patch %s: made against version %d, the current one is %d%s",
			pa.ID, pa.Base, bo.version, bo.describeConflict(pa))

		return Answer{Version: bo.version, Code: er.Code, Message: er.Message}
	}
	if err := bo.set.Apply(pa.Ops); err != nil {
		er := result.From(err)

		return Answer{Version: bo.version, Code: er.Code, Message: er.Message}
	}

	bo.version++
	bo.history = append(bo.history, Change{Version: bo.version, PatchID: pa.ID, Author: pa.Author, AtMs: atMs, Ops: pa.Ops})
	if n := len(bo.history); n > maxDeltas {
		bo.history[n-maxDeltas-1].Ops = nil
	}
	if len(bo.history) > maxHistory {
		bo.history = bo.history[1:]
	}

	return Answer{Version: bo.version}
}

// describeConflict names the first path of a patch that has changed since its base
// version.
func (bo *Book) describeConflict(pa Patch) string {
	changed := map[string]uint64{}
	for _, ch := range bo.history {
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
func (bo *Book) recordAnswer(id string, an Answer) {
	bo.answers[id] = an
	bo.answerOrder = append(bo.answerOrder, id)
	if len(bo.answerOrder) > maxHistory {
		delete(bo.answers, bo.answerOrder[0])
		bo.answerOrder = bo.answerOrder[1:]
	}
}

// History returns the last n changes, newest first.
func (bo *Book) History(n int) []Change {
	var out []Change
	for i := len(bo.history) - 1; i >= 0 && len(out) < n; i-- {
		out = append(out, bo.history[i])
	}

	return out
}

// Since returns the changes after version. It returns false if some of them are no
// longer retained.
func (bo *Book) Since(version uint64) ([]Change, bool) {
	if version > bo.version {
		return nil, false
	}

	missing := int(bo.version - version)
	if missing > len(bo.history) || missing > maxDeltas {
		return nil, false
	}

	return bo.history[len(bo.history)-missing:], true
}

// Image is the snapshot of a Book.
type Image struct {
	Version uint64            `cbor:"1,keyasint"`
	Ops     []Op              `cbor:"2,keyasint"`
	History []Change          `cbor:"3,keyasint"`
	Answers map[string]Answer `cbor:"4,keyasint"`
	Order   []string          `cbor:"5,keyasint"`
}

// Image returns a snapshot of the book.
func (bo *Book) Image() (Image, error) {
	ops, err := bo.set.Ops()

	return Image{Version: bo.version, Ops: ops, History: bo.history, Answers: bo.answers, Order: bo.answerOrder}, err
}

// NewBookFrom restores a book from a snapshot.
func NewBookFrom(im Image) (*Book, error) {
	bo := &Book{version: im.Version, set: NewSet(), history: im.History, answers: im.Answers, answerOrder: im.Order}
	if bo.answers == nil {
		bo.answers = map[string]Answer{}
	}
	if len(im.Ops) == 0 {
		return bo, nil
	}

	return bo, bo.set.Apply(im.Ops)
}
