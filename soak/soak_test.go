package main

import (
	"context"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestSuite(t *testing.T) { suite.Run(t, "soak") }

// binary is built once for all runs.
var binary, folder string

var _ = ginkgo.BeforeSuite(func() {
	var err error
	folder, err = os.MkdirTemp("", "soak-test-")
	Expect(err).NotTo(HaveOccurred())
	binary = filepath.Join(folder, "tamarackbay")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/tamarackbay").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
})

var _ = ginkgo.AfterSuite(func() { Expect(os.RemoveAll(folder)).To(Succeed()) })

var _ = ginkgo.Describe("the soak", func() {
	for _, tc := range []struct {
		name   string
		seed   uint64
		length time.Duration
	}{
		{"keeps every promise over a short run", 3, 8 * time.Second},
	} {
		ginkgo.It(tc.name, func() {
			re, err := Run(context.Background(), Config{
				Seed: tc.seed, Length: tc.length, Binary: binary, Folder: filepath.Join(folder, tc.name), Subnet: 60,
				Tell: func(format string, args ...any) { ginkgo.GinkgoWriter.Printf(format+"\n", args...) },
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(re.Broken).To(BeEmpty())
			Expect(re.Counts["job complete"]).To(BeNumerically(">", 0))
			Expect(re.Counts["lookup served"]).To(BeNumerically(">", 0))
		})
	}

	ginkgo.It("draws the same faults for a seed, and at most one emptied disk a group", func() {
		cfg := Config{Length: time.Minute}
		cfg.Defaults()
		for seed := range uint64(100) {
			a, b := draw(rand.New(rand.NewPCG(seed, 1)), &cfg), draw(rand.New(rand.NewPCG(seed, 1)), &cfg)
			Expect(a).To(Equal(b))
			wiped := map[bool]int{}
			for _, fa := range a {
				if fa.kind == "wipe" {
					wiped[fa.target >= cfg.Controllers]++
				}
			}
			Expect(wiped[false]).To(BeNumerically("<=", 1))
			Expect(wiped[true]).To(BeNumerically("<=", 1))
		}
	})
})
