package engine

import (
	"io"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestSuite(t *testing.T) { suite.Run(t, "engine") }

// endless repeats a text for ever and counts what was read of it.
type endless struct {
	text string
	read int
}

func (en *endless) Read(p []byte) (int, error) {
	n := copy(p, strings.Repeat(en.text, 1+len(p)/len(en.text)))
	en.read += n

	return n, nil
}

// Guards against an engine whose stream never ends and holds its slot until the deadline
// of the request.
var _ = ginkgo.Describe("a stream without end", func() {
	for _, tc := range []struct{ name, text string }{
		{"of one line", "data: "},
		{"of lines that are no events", ": comment\n"},
		{"of empty lines", "\n"},
	} {
		ginkgo.It("is broken off: "+tc.name, func() {
			en := &endless{text: tc.text}
			err := readEvents(io.Reader(en), "r", func(Chunk) error { return nil })
			Expect(err).To(HaveOccurred())
			Expect(result.From(err).Execution).To(Equal(result.ExecutionUnknown))
			Expect(en.read).To(BeNumerically("<=", 2*maxLineBytes))
		})
	}
})
