package group

import (
	"fmt"
	"sync"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/storage"
	"github.com/tamarackbay/tamarackbay/internal/suite"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

func TestSuite(t *testing.T) { suite.Run(t, "group") }

var _ = ginkgo.Describe("the addresses of the other replicas", func() {
	// The race detector is what checks the access to the identity here.
	ginkgo.It("are stored while other goroutines read the identity, and are restored after a restart", func() {
		dir := ginkgo.GinkgoT().TempDir()
		cfg := Config{Name: "a", Address: "x", DataFolder: dir, Files: storage.OSFiles(), Log: logging.Discard()}
		cfg.Peer.Hello = &wire.Hello{}
		gr, err := New(cfg)
		Expect(err).NotTo(HaveOccurred())
		var wg sync.WaitGroup
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range 20 {
				gr.storePeers(map[consensus.ReplicaID]string{"b-1": fmt.Sprint(i)})
			}
		}()
		for range 2000 {
			Expect(gr.targetVoters()).To(BeZero())
			Expect(gr.identity.Replica).NotTo(BeEmpty())
		}
		wg.Wait()

		again, err := New(cfg)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.addressOf("b-1")).To(Equal("19"))
		Expect(again.identity.Replica).To(Equal(gr.identity.Replica))
	})

	// Guards against heartbeats that wait until addresses are on the disk.
	ginkgo.It("can be read while they are stored on a disk that hangs", func() {
		files := storage.OSFiles()
		create, hangs, goOn := files.Create, make(chan struct{}), make(chan struct{})
		cfg := Config{Name: "a", Address: "x", DataFolder: ginkgo.GinkgoT().TempDir(), Files: files, Log: logging.Discard()}
		cfg.Peer.Hello = &wire.Hello{}
		gr, err := New(cfg)
		Expect(err).NotTo(HaveOccurred())
		gr.cfg.Files.Create = func(path string) (storage.File, error) {
			close(hangs)
			<-goOn

			return create(path)
		}
		var wg sync.WaitGroup
		wg.Go(func() { gr.storePeers(map[consensus.ReplicaID]string{"b-1": "y"}) })
		<-hangs
		read := make(chan struct{})
		go func() {
			gr.addressOf("b-1")
			close(read)
		}()
		Eventually(read, "2s").Should(BeClosed())
		close(goOn)
		wg.Wait()
	})
})
