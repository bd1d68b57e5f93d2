package capacity

import (
	"bytes"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/storage"
	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestSuite(t *testing.T) { suite.Run(t, "capacity") }

var _ = ginkgo.Describe("the measurement of a recovery", func() {
	ginkgo.It("sees the group settle, all voters return and the joined replicas follow", func() {
		p, err := measureRecoveryAt(10, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Failure).To(BeEmpty())
		Expect(p.SnapshotsS).NotTo(BeNil())
		Expect(p.SettledS).NotTo(BeNil())
		Expect(p.VotersS).NotTo(BeNil())
		Expect(p.CaughtUpS).NotTo(BeNil())
		Expect(*p.CaughtUpS).To(BeNumerically(">=", *p.VotersS))
		Expect(p.IdleHeapMB).To(BeNumerically(">", (recoveryVoters+recoverySpares)*p.LedgerMB), "each replica holds the ledger")
	})

	ginkgo.It("shows what it could not see within its bound", func() {
		settled := 1.25
		re := RecoveryReport{Processors: 2, Points: []RecoveryPoint{{LedgerMB: 10, SettledS: &settled}, {LedgerMB: 25, Failure: "no leader"}}}
		var b bytes.Buffer
		Expect(re.WriteText(&b)).To(Succeed())
		Expect(b.String()).To(MatchRegexp(`(?m)^ +10 .* 1\.25 +0 +- +- .*$`))
		Expect(b.String()).To(MatchRegexp(`(?m)^ +25 .*no leader$`))
	})
})

var _ = ginkgo.Describe("a modelled disk", func() {
	ginkgo.It("takes its time for each way to read and write", func() {
		const size = 6e6
		md := newModelDisk()
		fi, path := md.files(), filepath.Join(ginkgo.GinkgoT().TempDir(), "f")
		takes := func(f func()) {
			began := time.Now()
			f()
			Expect(time.Since(began)).To(BeNumerically(">=", 50*time.Millisecond))
		}
		for _, open := range []func(string) (storage.File, error){fi.Create, fi.Append} {
			f, err := open(path)
			Expect(err).NotTo(HaveOccurred())
			takes(func() { Expect(f.Write(make([]byte, size))).To(BeEquivalentTo(size)) })
			Expect(f.Close()).To(Succeed())
		}
		takes(func() { Expect(fi.Read(path)).To(HaveLen(2 * size)) })
		f, err := fi.Open(path)
		Expect(err).NotTo(HaveOccurred())
		takes(func() { Expect(f.ReadAt(make([]byte, size), 0)).To(BeEquivalentTo(size)) })
		Expect(f.Close()).To(Succeed())
	})

	ginkgo.It("serves its users in their order, and none without power", func() {
		md := newModelDisk()
		began := time.Now()
		first := make(chan error)
		go func() { first <- md.transfer(6e6) }()
		Eventually(func() bool {
			md.mu.Lock()
			defer md.mu.Unlock()

			return md.idle.After(began)
		}).Should(BeTrue())
		Expect(md.use(modelDiskSync)).To(Succeed())
		Expect(time.Since(began)).To(BeNumerically(">=", 51*time.Millisecond), "6 MB and a sync")
		Expect(<-first).To(Succeed())

		waiting := make(chan error)
		go func() { waiting <- md.transfer(120e7) }()
		md.cutPower()
		Eventually(waiting).Should(Receive(MatchError(errPowerLost)))
		Expect(md.use(0)).To(MatchError(errPowerLost))
	})
})
