// Package suite runs the specs of a package in a fixed order, so that their results are
// reproducible. Only tests import it.
package suite

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// Run runs the specs of the package name with a fixed random seed.
func Run(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	cfg, reporter := ginkgo.GinkgoConfiguration()
	cfg.RandomSeed = 1
	ginkgo.RunSpecs(t, name, cfg, reporter)
}
