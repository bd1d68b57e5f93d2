package meter_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/meter"
)

// Guards against a metric for each of thousands of workspaces, and against names that break the
// text form.
var _ = Describe("the values of a label", func() {
	It("are bounded, and stay the same", func() {
		la := meter.NewLabels(3)
		got := map[string]bool{}
		for i := range 100 {
			got[la.Of(fmt.Sprint("w", i))] = true
		}
		Expect(got).To(HaveLen(4))
		Expect(la.Of("w1")).To(Equal("w1"))
		Expect(la.Of("w99")).To(Equal(meter.OtherLabel))
	})

	It("hold no characters with a meaning", func() {
		la := meter.NewLabels(3)
		Expect(la.Of("a.b\n{c}")).To(Equal("a_b__c_"))
		Expect(la.Of("")).To(Equal(meter.OtherLabel))
	})
})
