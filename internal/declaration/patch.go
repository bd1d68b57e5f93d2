package declaration

import (
	"encoding/json"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

const (
	maxHistory = 20_000 // patches whose answers are remembered
	maxDeltas  = 4_096  // changes that subscribers can catch up with one by one
)

// Patch changes the configuration. It is accepted against the version it names or refused.
type Patch struct {
	ID     string `json:"id" cbor:"1,keyasint"`
	Base   uint64 `json:"base" cbor:"2,keyasint"`
	Author string `json:"author" cbor:"3,keyasint"`
	Ops    []Op   `json:"ops" cbor:"4,keyasint"`
}

// Change is one accepted patch.
type Change struct {
	Version uint64 `json:"version" cbor:"1,keyasint"`
	PatchID string `json:"patchId" cbor:"2,keyasint"`
	Author  string `json:"author" cbor:"3,keyasint"`
	AtMs    int64  `json:"atMs" cbor:"4,keyasint"`
	Ops     []Op   `json:"ops" cbor:"5,keyasint"`
}

// Answer is what a patch was answered.
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

// Book is the replicated configuration with its history.
type Book struct {
	version uint64
	set     *Set
	history []Change          // oldest first; the last maxDeltas with their ops
	answers map[string]Answer // by patch ID
	order   []string          // patch IDs, oldest first
}

// NewBook returns an empty configuration at version 0.
func NewBook() *Book {
	return &Book{set: NewSet(), answers: map[string]Answer{}}
}

// Version returns the number of the current version.
func (bo *Book) Version() uint64 { return bo.version }

// Set returns the current configuration; it must not be changed.
func (bo *Book) Set() *Set { return bo.set }

// Apply takes a patch. The same patch ID always gets the first answer.
func (bo *Book) Apply(pa Patch, atMs int64) Answer {
	if an, ok := bo.answers[pa.ID]; ok {
		return an
	}

	an := bo.judge(pa, atMs)
	if pa.ID != "" {
		bo.remember(pa.ID, an)
	}

	return an
}

func (bo *Book) judge(pa Patch, atMs int64) Answer {
	if pa.ID == "" || len(pa.Ops) == 0 {
		return Answer{Version: bo.version, Code: result.InvalidDeclaration, Message: "patch: id and ops must be set"}
	}
	if pa.Base != bo.version {
		er := result.New(result.PatchVersionOld, "patch %s: made against version %d, the current one is %d%s",
			pa.ID, pa.Base, bo.version, bo.conflict(pa))

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

// conflict names the first path of pa that changed since its base.
func (bo *Book) conflict(pa Patch) string {
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
			return "; " + op.Path + " changed in version " + jsonNumber(v)
		}
	}

	return "; none of its paths changed since"
}

func jsonNumber(v uint64) string {
	b, _ := json.Marshal(v)

	return string(b)
}

func (bo *Book) remember(id string, an Answer) {
	bo.answers[id] = an
	bo.order = append(bo.order, id)
	if len(bo.order) > maxHistory {
		delete(bo.answers, bo.order[0])
		bo.order = bo.order[1:]
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

// Since returns the changes after version, and false if they are not all held any more.
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

// Image is a Book in a snapshot.
type Image struct {
	Version uint64            `cbor:"1,keyasint"`
	Ops     []Op              `cbor:"2,keyasint"`
	History []Change          `cbor:"3,keyasint"`
	Answers map[string]Answer `cbor:"4,keyasint"`
	Order   []string          `cbor:"5,keyasint"`
}

// Image returns the book's content for a snapshot.
func (bo *Book) Image() (Image, error) {
	ops, err := bo.set.Ops()

	return Image{Version: bo.version, Ops: ops, History: bo.history, Answers: bo.answers, Order: bo.order}, err
}

// NewBookFrom returns the book of an image.
func NewBookFrom(im Image) (*Book, error) {
	bo := &Book{version: im.Version, set: NewSet(), history: im.History, answers: im.Answers, order: im.Order}
	if bo.answers == nil {
		bo.answers = map[string]Answer{}
	}
	if len(im.Ops) == 0 {
		return bo, nil
	}

	return bo, bo.set.Apply(im.Ops)
}
