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

// banned maps each package that no process of the product may import to the reason.
var banned = map[string]string{
	"os/exec":           "processes must not start other processes",
	"plugin":            "processes must not start other processes",
	"net/http/httputil": "proxying is implemented by the project itself",
	"unsafe":            "shared memory and io_uring are not allowed",
}

var _ = Describe("the source files of the programs", func() {
	It("import no package that the environments they run in forbid", func() {
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
