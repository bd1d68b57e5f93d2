package explain_test

import (
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/explain"
	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestSuite(t *testing.T) { suite.Run(t, "explain") }

const gatewayLog = `  4.1 edge-1 {"fields":{"node":"edge-1","version":7},"level":"info","timestamp":"2026-01-01T00:00:01Z","message":"configuration applied"}
{"fields":{"node":"edge-1","request":"r1","servers":["s1","s2"],"outcome":"served"},"level":"info","timestamp":"2026-01-01T00:00:03Z","message":"request ended"}
{"fields":{"node":"edge-1","request":"r1","outcome":"failed","error":"x"},"level":"warn","timestamp":"2026-01-01T00:00:01.5Z","message":"request ended"}
{"fields":{"node":"edge-1","request":"r2"},"level":"info","timestamp":"2026-01-01T00:00:02Z","message":"request ended"}
not a log line
`

const controllerLog = `{"fields":{"node":"core-1","server":"s1"},"level":"warn","timestamp":"2026-01-01T00:00:02Z","message":"backend server silent"}
{"fields":{"node":"core-1","server":"s9"},"level":"warn","timestamp":"2026-01-01T00:00:02Z","message":"backend server silent"}
{"fields":{"node":"core-1","version":8},"level":"info","timestamp":"2026-01-01T00:00:02.5Z","message":"leadership changed"}
`

var _ = ginkgo.Describe("the timeline of a request", func() {
	ginkgo.It("contains its lines from all processes in order, and changes of state between them", func() {
		var all []explain.Line
		skipped := 0
		for _, text := range []string{gatewayLog, controllerLog} {
			lines, n, err := explain.Read(strings.NewReader(text))
			Expect(err).NotTo(HaveOccurred())
			all, skipped = append(all, lines...), skipped+n
		}
		Expect(skipped).To(Equal(1))

		timeline := explain.Timeline(all, "r1")
		var b strings.Builder
		Expect(explain.Write(&b, timeline)).To(Succeed())
		Expect(b.String()).To(Equal(`    0.000 s  edge-1                   request ended error=x outcome=failed request=r1
    0.500 s  core-1                   backend server silent server=s1
    1.500 s  edge-1                   request ended outcome=served request=r1 servers=[s1 s2]
`))
	})

	ginkgo.It("is empty for an ID that occurs in no line", func() {
		lines, _, err := explain.Read(strings.NewReader(gatewayLog))
		Expect(err).NotTo(HaveOccurred())
		Expect(explain.Timeline(lines, "r9")).To(BeEmpty())
	})
})
