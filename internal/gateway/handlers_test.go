package gateway

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/group"
	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestSuite(t *testing.T) { suite.Run(t, "gateway") }

var _ = ginkgo.Describe("the length of usage windows that is sent to agents", func() {
	declared := declaration.NewSet()
	declared.Windows[declaration.WindowName] = declaration.Window{LengthSeconds: 3, GraceSeconds: 2}
	for _, tc := range []struct {
		name string
		view group.View
		want uint32
	}{
		{"is the declared one", group.View{Version: 7, Set: declared}, 3},
		{"is the default where none is declared", group.View{Version: 7, Set: declaration.NewSet()}, 3600},
		{"is 0 (unknown) before the view holds any declarations", group.View{Set: declaration.NewSet()}, 0},
	} {
		ginkgo.It(tc.name, func() { Expect(windowSeconds(&tc.view)).To(Equal(tc.want)) })
	}
})
