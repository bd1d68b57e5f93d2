package headroom_test

import (
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/headroom"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestSuite(t *testing.T) { suite.Run(t, "headroom") }

// Guards against a gateway that takes requests until it fails, and against one that leaves and
// comes back with each request.
var _ = Describe("a gate", func() {
	memory := func(n int64) headroom.Use { return headroom.Use{Memory: n, MemoryLimit: 100} }
	files := func(n int) headroom.Use { return headroom.Use{Files: n, FilesLimit: 100} }
	for _, tc := range []struct {
		name       string
		uses       []headroom.Use
		isReady    bool
		isRefusing bool
	}{
		{"is open with room", []headroom.Use{memory(40), files(70)}, true, false},
		{"is not ready before it refuses for lack of memory", []headroom.Use{memory(55)}, false, false},
		{"refuses for lack of memory", []headroom.Use{memory(65)}, false, true},
		{"is not ready before it refuses for lack of descriptors", []headroom.Use{files(80)}, false, false},
		{"refuses for lack of descriptors", []headroom.Use{files(90)}, false, true},
		{"stays closed close below the threshold", []headroom.Use{memory(65), memory(56)}, false, true},
		{"opens in steps", []headroom.Use{memory(65), memory(50)}, false, false},
		{"opens again", []headroom.Use{memory(65), memory(40)}, true, false},
		{"is open where the limits are not known", []headroom.Use{{Memory: 1 << 40, Files: 1 << 20}}, true, false},
	} {
		It(tc.name, func() {
			var ga headroom.Gate
			for _, use := range tc.uses {
				ga.Observe(use)
			}
			Expect(ga.IsReady()).To(Equal(tc.isReady))
			err := ga.Check()
			Expect(err != nil).To(Equal(tc.isRefusing))
			if err != nil {
				Expect(result.Is(err, result.ProcessOverloaded)).To(BeTrue())
				Expect(result.From(err).Execution).To(Equal(result.NotRun))
				Expect(result.From(err).RetryAfter).To(BeNumerically(">", 0))
			}
		})
	}

	It("reads the use of the process", func() {
		before := headroom.OfProcess(1 << 30)
		Expect(before.Memory).To(BeNumerically(">", 0))
		Expect(before.FilesLimit).To(BeNumerically(">", before.Files))
		f, err := os.Open("/dev/null")
		Expect(err).NotTo(HaveOccurred())
		defer f.Close()
		Expect(headroom.OfProcess(1 << 30).Files).To(Equal(before.Files + 1))
	})
})
