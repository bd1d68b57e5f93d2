package program_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// banned lists imports that a process of the product must not have, with the rule.
var banned = map[string]string{
	"os/exec":           "a process starts no other process",
	"plugin":            "a process starts no other process",
	"net/http/httputil": "proxying is the project's own work",
	"unsafe":            "no shared memory, no io_uring",
}

var _ = Describe("the programs' sources", func() {
	It("import nothing that the places they run in rule out", func() {
		files := 0
		Expect(filepath.WalkDir("../..", func(path string, de fs.DirEntry, err error) error {
			if err != nil || de.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") {
				return err
			}
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
			if err != nil {
				return err
			}
			files++
			for _, im := range f.Imports {
				name := strings.Trim(im.Path.Value, `"`)
				Expect(banned).NotTo(HaveKey(name), "%s: %s", path, banned[name])
				for _, part := range []string{"/raft", "memberlist", "/serf", "etcd"} {
					Expect(name).NotTo(ContainSubstring(part), path)
				}
			}

			return nil
		})).To(Succeed())
		Expect(files).To(BeNumerically(">", 100))
	})
})
