// Package declaration defines the configuration that operators declare: workspaces,
// keys, routes, models, versions, classes and fleets of backend servers, trainers and
// usage windows, and the patches that change it from one numbered version to the next.
package declaration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"sort"
	"strings"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

// Kinds of objects. The path of an object is its kind and its name, such as
// "routes/preview".
const (
	KindWorkspace = "workspaces"
	KindKey       = "keys"
	KindRoute     = "routes"
	KindModel     = "models"
	KindVersion   = "versions"
	KindClass     = "classes"
	KindFleet     = "fleet"
	KindTrainer   = "trainers"
	KindWindow    = "windows"
)

// Set is a complete configuration. Its maps are keyed by the objects' names.
type Set struct {
	Workspaces map[string]Workspace   `json:"workspaces,omitempty"`
	Keys       map[string]Key         `json:"keys,omitempty"`
	Routes     map[string]Route       `json:"routes,omitempty"`
	Models     map[string]Model       `json:"models,omitempty"`
	Versions   map[string]Version     `json:"versions,omitempty"`
	Classes    map[string]Class       `json:"classes,omitempty"`
	Fleet      map[string]FleetBounds `json:"fleet,omitempty"`
	Trainers   map[string]Trainer     `json:"trainers,omitempty"`
	Windows    map[string]Window      `json:"windows,omitempty"`
}

// NewSet returns an empty configuration.
func NewSet() *Set {
	return &Set{
		Workspaces: map[string]Workspace{}, Keys: map[string]Key{}, Routes: map[string]Route{},
		Models: map[string]Model{}, Versions: map[string]Version{}, Classes: map[string]Class{},
		Fleet: map[string]FleetBounds{}, Trainers: map[string]Trainer{}, Windows: map[string]Window{},
	}
}

// Op is an operation that sets the object at Path to Value, or deletes it if Value is
// empty.
type Op struct {
	Path  string          `json:"path" cbor:"1,keyasint"`
	Value json.RawMessage `json:"value,omitempty" cbor:"2,keyasint,omitempty"`
}

// object is implemented by pointers to the types of all kinds.
type object interface {
	Defaults()
	Validate(name string, se *Set) error
}

// kind gives access to the objects of one kind in a Set, independent of their type.
type kind struct {
	get    func(se *Set, name string) (any, bool)
	set    func(se *Set, name string, raw []byte) (object, error)
	remove func(se *Set, name string)
	names  func(se *Set) []string
}

// newKind returns the kind whose objects are in the map that field returns.
func newKind[T any, P interface {
	*T
	object
}](field func(se *Set) map[string]T,
) kind {
	return kind{
		get: func(se *Set, name string) (any, bool) {
			v, ok := field(se)[name]

			return v, ok
		},
		set: func(se *Set, name string, raw []byte) (object, error) {
			var v T
			p := P(&v)
			if err := decodeStrict(raw, p); err != nil {
				return nil, err
			}
			p.Defaults()
			field(se)[name] = v

			return p, nil
		},
		remove: func(se *Set, name string) { delete(field(se), name) },
		names: func(se *Set) []string {
			names := make([]string, 0, len(field(se)))
			for n := range field(se) {
				names = append(names, n)
			}
			sort.Strings(names)

			return names
		},
	}
}

var kinds = map[string]kind{
	KindWorkspace: newKind(func(se *Set) map[string]Workspace { return se.Workspaces }),
	KindKey:       newKind(func(se *Set) map[string]Key { return se.Keys }),
	KindRoute:     newKind(func(se *Set) map[string]Route { return se.Routes }),
	KindModel:     newKind(func(se *Set) map[string]Model { return se.Models }),
	KindVersion:   newKind(func(se *Set) map[string]Version { return se.Versions }),
	KindClass:     newKind(func(se *Set) map[string]Class { return se.Classes }),
	KindFleet:     newKind(func(se *Set) map[string]FleetBounds { return se.Fleet }),
	KindTrainer:   newKind(func(se *Set) map[string]Trainer { return se.Trainers }),
	KindWindow:    newKind(func(se *Set) map[string]Window { return se.Windows }),
}

// kindOrder lists the kinds so that each kind follows those that its objects refer to.
var kindOrder = []string{
	KindWorkspace, KindModel, KindVersion, KindClass, KindFleet, KindRoute, KindTrainer, KindWindow, KindKey,
}

// decodeStrict decodes JSON and refuses unknown fields.
func decodeStrict(raw []byte, v any) error {
	de := json.NewDecoder(bytes.NewReader(raw))
	de.DisallowUnknownFields()

	return de.Decode(v)
}

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._@-]{0,127}$`)

func invalid(path, format string, args ...any) *result.Error {
	return result.New(result.InvalidDeclaration, "declaration %s: %s", path, fmt.Sprintf(format, args...))
}

// splitPath returns the kind and the name of a path.
func splitPath(path string) (kind, string, error) {
	k, name, ok := strings.Cut(path, "/")
	ki, known := kinds[k]
	if !ok || !known {
		return kind{}, "", invalid(path, "the path must start with one of %s", strings.Join(kindOrder, ", "))
	}
	if !namePattern.MatchString(name) {
		return kind{}, "", invalid(path, "the name must match %s", namePattern)
	}

	return ki, name, nil
}

// Get returns the object at path.
func (se *Set) Get(path string) (any, error) {
	ki, name, err := splitPath(path)
	if err != nil {
		return nil, err
	}

	v, ok := ki.get(se, name)
	if !ok {
		return nil, result.New(result.UnknownObject, "declaration %s: no such object", path)
	}

	return v, nil
}

// apply applies op without validating the object, and returns the op that undoes it.
func (se *Set) apply(op Op) (Op, error) {
	ki, name, err := splitPath(op.Path)
	if err != nil {
		return Op{}, err
	}

	undo := Op{Path: op.Path}
	if old, ok := ki.get(se, name); ok {
		if undo.Value, err = json.Marshal(old); err != nil {
			return Op{}, err
		}
	} else if len(op.Value) == 0 {
		return Op{}, result.New(result.UnknownObject, "declaration %s: no such object to delete", op.Path)
	}
	if len(op.Value) == 0 {
		ki.remove(se, name)

		return undo, nil
	}
	if _, err := ki.set(se, name, op.Value); err != nil {
		return Op{}, invalid(op.Path, "%v", err)
	}

	return undo, nil
}

// Apply applies all ops, or none if one of them or the resulting configuration is
// invalid.
func (se *Set) Apply(ops []Op) error {
	undo := make([]Op, 0, len(ops))
	err := func() error {
		for _, op := range ops {
			un, err := se.apply(op)
			if err != nil {
				return err
			}
			undo = append(undo, un)
		}

		return se.validateChanged(ops)
	}()
	if err == nil {
		return nil
	}

	for _, un := range slices.Backward(undo) {
		if _, uerr := se.apply(un); uerr != nil {
			return uerr
		}
	}

	return err
}

// validateChanged validates the changed objects, or all objects if one was deleted,
// because others may refer to it.
func (se *Set) validateChanged(ops []Op) error {
	for _, op := range ops {
		if len(op.Value) == 0 {
			return se.Validate()
		}
	}
	for _, op := range ops {
		if err := se.validatePath(op.Path); err != nil {
			return err
		}
	}

	return nil
}

// validatePath validates the object at path, if it exists.
func (se *Set) validatePath(path string) error {
	ki, name, err := splitPath(path)
	if err != nil {
		return err
	}

	raw, ok := ki.get(se, name)
	if !ok {
		return nil
	}

	return validateValue(raw, name, se)
}

func validateValue(v any, name string, se *Set) error {
	switch o := v.(type) {
	case Workspace:
		return o.Validate(name, se)
	case Key:
		return o.Validate(name, se)
	case Route:
		return o.Validate(name, se)
	case Model:
		return o.Validate(name, se)
	case Version:
		return o.Validate(name, se)
	case Class:
		return o.Validate(name, se)
	case FleetBounds:
		return o.Validate(name, se)
	case Trainer:
		return o.Validate(name, se)
	case Window:
		return o.Validate(name, se)
	}

	return nil
}

// Validate validates every object.
func (se *Set) Validate() error {
	for _, k := range kindOrder {
		for _, name := range kinds[k].names(se) {
			if err := se.validatePath(k + "/" + name); err != nil {
				return err
			}
		}
	}

	return nil
}

// Ops returns the operations that create the set from an empty one, in a valid order.
func (se *Set) Ops() ([]Op, error) {
	return Diff(NewSet(), se, true)
}

// Diff returns the operations that change one set into another. Keys are skipped
// unless withKeys is set, since files can't declare them.
func Diff(from, to *Set, withKeys bool) ([]Op, error) {
	var sets, deletes []Op
	for _, k := range kindOrder {
		if k == KindKey && !withKeys {
			continue
		}
		for _, name := range kinds[k].names(to) {
			next, _ := kinds[k].get(to, name)
			raw, err := json.Marshal(next)
			if err != nil {
				return nil, err
			}
			if old, ok := kinds[k].get(from, name); ok {
				oldRaw, err := json.Marshal(old)
				if err != nil {
					return nil, err
				}
				if bytes.Equal(raw, oldRaw) {
					continue
				}
			}
			sets = append(sets, Op{Path: k + "/" + name, Value: raw})
		}
		for _, name := range kinds[k].names(from) {
			if _, ok := kinds[k].get(to, name); !ok {
				deletes = append(deletes, Op{Path: k + "/" + name})
			}
		}
	}
	slices.Reverse(deletes)

	return append(sets, deletes...), nil
}

// Clone returns a copy that shares no map with se.
func (se *Set) Clone() *Set {
	return &Set{
		Workspaces: cloneMap(se.Workspaces), Keys: cloneMap(se.Keys), Routes: cloneMap(se.Routes),
		Models: cloneMap(se.Models), Versions: cloneMap(se.Versions), Classes: cloneMap(se.Classes),
		Fleet: cloneMap(se.Fleet), Trainers: cloneMap(se.Trainers), Windows: cloneMap(se.Windows),
	}
}

func cloneMap[V any](m map[string]V) map[string]V {
	c := make(map[string]V, len(m))
	for k, v := range m {
		c[k] = v
	}

	return c
}

// LatestVersion returns the version of model with the highest sequence number.
func (se *Set) LatestVersion(model string) (Version, bool) {
	var best Version
	for _, v := range se.Versions {
		if v.Model == model && v.Sequence > best.Sequence {
			best = v
		}
	}

	return best, best.Sequence > 0
}

// FindVersion returns the version of model called name.
func (se *Set) FindVersion(model, name string) (Version, bool) {
	v, ok := se.Versions[VersionPath(model, name)]

	return v, ok
}
