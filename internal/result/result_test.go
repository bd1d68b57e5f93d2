package result_test

import (
	"bytes"
	"os"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestSuite(t *testing.T) {
	suite.Run(t, "result")
}

var _ = ginkgo.Describe("the table of result codes", func() {
	ginkgo.It("matches docs/codes.md", func() {
		doc, err := os.ReadFile("../../docs/codes.md")
		Expect(err).NotTo(HaveOccurred())
		var b bytes.Buffer
		result.WriteTable(&b)
		Expect(string(doc)).To(ContainSubstring(b.String()), "print the new table with: go run ./cmd/tamarackbay codes")
	})

	ginkgo.It("has each number and name once, in order", func() {
		names := map[string]bool{}
		last := result.Code(0)
		for _, en := range result.Table() {
			Expect(en.Code).To(BeNumerically(">", last))
			Expect(names).NotTo(HaveKey(en.Name))
			Expect(en.Status).To(BeNumerically(">=", 400))
			names[en.Name], last = true, en.Code
		}
	})
})
