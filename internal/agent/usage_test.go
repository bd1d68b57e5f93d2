package agent

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/suite"
	"github.com/tamarackbay/tamarackbay/internal/usage"
)

func TestSuite(t *testing.T) { suite.Run(t, "agent") }

var _ = ginkgo.Describe("the usage counters of an agent", func() {
	var ag *Agent
	var now int64
	ginkgo.BeforeEach(func() {
		now = 1_800_000_007
		ag = New(Config{Server: "s", Service: "p", WallSeconds: func() int64 { return now }})
	})
	const length = 3
	one := usage.Amounts{Requests: 1, Tokens: 20}

	ginkgo.It("keep the reported window length when a gateway that has just started reports 0", func() {
		ag.setWindowLength(length)
		ag.count("w", 1, 20)
		ag.setWindowLength(0)
		now += length
		ag.count("w", 1, 20)
		first := uint64(1_800_000_007 / length)
		Expect(ag.usage.unacknowledged()).To(Equal(map[counterKey]usage.Amounts{{"w", first}: one, {"w", first + 1}: one}))
	})

	ginkgo.It("are assigned to windows once the window length is known", func() {
		ag.count("w", 1, 0)
		ag.count("w", 0, 20)
		now += length
		ag.count("v", 1, 20)
		Expect(ag.usage.unacknowledged()).To(BeEmpty())
		ag.setWindowLength(length)
		first := uint64(1_800_000_007 / length)
		Expect(ag.usage.unacknowledged()).To(Equal(map[counterKey]usage.Amounts{{"w", first}: one, {"v", first + 1}: one}))
		ag.setWindowLength(length)
		Expect(ag.usage.unacknowledged()).To(HaveLen(2))
	})
})
