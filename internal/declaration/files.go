package declaration

import (
	"bytes"
	"encoding/json"
	"io/fs"
	"path"
	"sort"

	"github.com/tailscale/hujson"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

// ReadFolder reads the declarations in all files of a folder whose names end in .json
// or .jsonc. Each file is JSON with comments: an object that maps kinds to objects by
// name. An object must not be declared in more than one file.
func ReadFolder(fsys fs.FS, dir string) (*Set, error) {
	des, err := fs.ReadDir(fsys, dir)
	if err != nil {
		return nil, result.New(result.InvalidDeclaration, "declarations: %v", err)
	}
	sort.Slice(des, func(i, j int) bool { return des[i].Name() < des[j].Name() })

	se := NewSet()
	var ops []Op
	from := map[string]string{}
	for _, de := range des {
		if ext := path.Ext(de.Name()); de.IsDir() || (ext != ".json" && ext != ".jsonc") {
			continue
		}
		list, err := readFile(fsys, path.Join(dir, de.Name()))
		if err != nil {
			return nil, err
		}
		for _, op := range list {
			if other, ok := from[op.Path]; ok {
				return nil, result.New(result.InvalidDeclaration, "declarations: %s is declared in %s and in %s", op.Path, other, de.Name())
			}
			from[op.Path] = de.Name()
		}
		ops = append(ops, list...)
	}
	if len(ops) == 0 {
		return nil, result.New(result.InvalidDeclaration, "declarations: folder %s contains no declarations", dir)
	}

	return se, se.Apply(ops)
}

// readFile returns the operations that create the objects of a file, ordered by path.
func readFile(fsys fs.FS, name string) ([]Op, error) {
	b, err := fs.ReadFile(fsys, name)
	if err != nil {
		return nil, result.New(result.InvalidDeclaration, "declarations: %v", err)
	}
	std, err := hujson.Standardize(b)
	if err != nil {
		return nil, result.New(result.InvalidDeclaration, "declarations: %s: %v", name, err)
	}

	var parts map[string]map[string]json.RawMessage
	if err := json.Unmarshal(std, &parts); err != nil {
		return nil, result.New(result.InvalidDeclaration, "declarations: %s: %v", name, err)
	}
	var ops []Op
	for k, objects := range parts {
		if k == KindKey {
			return nil, result.New(result.InvalidDeclaration, "declarations: %s: keys are issued and can't be declared in files", name)
		}
		for n, raw := range objects {
			var buf bytes.Buffer
			if err := json.Compact(&buf, raw); err != nil {
				return nil, result.New(result.InvalidDeclaration, "declarations: %s: %s/%s: %v", name, k, n, err)
			}
			ops = append(ops, Op{Path: k + "/" + n, Value: buf.Bytes()})
		}
	}
	sort.Slice(ops, func(i, j int) bool { return ops[i].Path < ops[j].Path })

	return ops, nil
}
