package meter_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestSuite(t *testing.T) { suite.Run(t, "meter") }

var _ = ginkgo.Describe("the table of metrics", func() {
	ginkgo.It("matches the table in docs/operators/counters.md", func() {
		b, err := os.ReadFile("../../docs/operators/counters.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(b)).To(ContainSubstring(meter.MarkdownTable()), "replace the table in docs/operators/counters.md with the output of meter.MarkdownTable")
	})

	ginkgo.It("contains every metric that the source uses", func() {
		used := regexp.MustCompile(`\.(?:Count|Add|RecordDuration|Gauge)\("([a-zA-Z.]+)"`)
		known := func(name string) bool {
			for _, na := range meter.Names() {
				prefix, isFamily := strings.CutSuffix(na.Name, "*")
				if na.Name == name || (isFamily && strings.HasPrefix(name, prefix)) {
					return true
				}
			}

			return false
		}
		n := 0
		Expect(filepath.WalkDir("..", func(path string, de fs.DirEntry, err error) error {
			if err != nil || de.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			b, err := os.ReadFile(path)
			for _, m := range used.FindAllStringSubmatch(string(b), -1) {
				n++
				Expect(known(m[1])).To(BeTrue(), "%s in %s", m[1], path)
			}

			return err
		})).To(Succeed())
		Expect(n).To(BeNumerically(">", 30))
	})
})

var _ = ginkgo.Describe("the metrics of a process", func() {
	ginkgo.It("are written as counters, gauges and histograms with cumulative buckets", func() {
		me := meter.New()
		for _, d := range []time.Duration{500 * time.Microsecond, 20 * time.Millisecond, 20 * time.Millisecond, 3 * time.Second, time.Hour} {
			me.RecordDuration("request", d)
		}
		me.Count("request.served")
		me.Gauge("jobs.open", 3)
		var sb strings.Builder
		Expect(me.WriteText(&sb)).To(Succeed())
		for _, line := range []string{
			`tamarackbay_request_seconds_bucket{le="0.001"} 1`, `tamarackbay_request_seconds_bucket{le="0.01"} 1`,
			`tamarackbay_request_seconds_bucket{le="0.025"} 3`, `tamarackbay_request_seconds_bucket{le="5"} 4`,
			`tamarackbay_request_seconds_bucket{le="30"} 4`, `tamarackbay_request_seconds_bucket{le="+Inf"} 5`,
			`tamarackbay_request_seconds_count 5`, `tamarackbay_request_seconds_sum 3603.0405`, `tamarackbay_request_served 1`,
			`tamarackbay_jobs_open 3`, `# TYPE tamarackbay_request_seconds histogram`,
			`# HELP tamarackbay_jobs_open batch jobs that have not ended; only on the store that leads`,
		} {
			Expect(strings.Split(sb.String(), "\n")).To(ContainElement(line))
		}
		var js strings.Builder
		me.WriteJSON(&js)
		Expect(js.String()).To(ContainSubstring(`"count":5`))
	})
})
