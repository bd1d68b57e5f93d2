package group

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/job"
	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/storage"
)

// snapshotBytes is the size of the commands after which a snapshot is due.
const snapshotBytes = statemachine.SnapshotBytes

// startSingleReplica runs the only replica of a group; done receives the error that ended it.
func startSingleReplica(files storage.Files, dir string) (n *node, cancel context.CancelFunc, done chan error) {
	n, err := openNode(nodeConfig{
		id: "a", group: 1, bootstrap: consensus.Membership{Voters: []consensus.ReplicaID{"a"}}, files: files, dir: dir,
		election: 100 * time.Millisecond, heartbeat: 20 * time.Millisecond, wallMs: func() int64 { return 1 },
		send: func(consensus.Message) {}, onApply: func() {}, onStatus: func(_, _ Status) {}, disk: &disk{log: logging.Discard()},
	})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done = make(chan error, 1)
	go func() { done <- n.run(ctx) }()
	Eventually(func() bool { return n.getStatus().IsSettled }, "5s").Should(BeTrue())

	return n, cancel, done
}

// testJob returns a job whose item has a body of so many bytes.
func testJob(id string, bytes int) job.Submit {
	return job.Submit{Spec: job.Spec{ID: id, Items: []job.Item{{ID: "i", Body: make([]byte, bytes)}}}}
}

// snapshotsIn returns the stored snapshots of a replica's folder.
func snapshotsIn(dir string) []string {
	names, err := filepath.Glob(filepath.Join(dir, "snapshot-*"))
	Expect(err).NotTo(HaveOccurred())

	return slices.DeleteFunc(names, func(s string) bool { return strings.HasSuffix(s, ".tmp") || strings.HasSuffix(s, ".part") })
}

// submit proposes a job whose item has a body of so many bytes, and returns how long the
// answer took.
func submit(n *node, id string, bytes int) time.Duration {
	b, err := statemachine.Encode(statemachine.KindSubmitJob, testJob(id, bytes))
	Expect(err).NotTo(HaveOccurred())
	began := time.Now()
	pr := &proposal{command: b, answer: make(chan proposalAnswer, 1)}
	n.inbox <- event{proposal: pr}
	var an proposalAnswer
	Eventually(pr.answer, "10s").Should(Receive(&an))
	Expect(an.err).NotTo(HaveOccurred())

	return time.Since(began)
}

var _ = ginkgo.Describe("a snapshot of a large state", func() {
	const commandBytes = 1 << 20

	ginkgo.It("delays no proposal while it is encoded and written", func() {
		const writeDelay = 2 * time.Second
		dir := ginkgo.GinkgoT().TempDir()
		files := storage.OSFiles()
		create := files.Create
		files.Create = func(path string) (storage.File, error) {
			if strings.Contains(path, "snapshot") {
				time.Sleep(writeDelay)
			}

			return create(path)
		}
		n, cancel, done := startSingleReplica(files, dir)
		for i := range snapshotBytes/commandBytes + 4 {
			Expect(submit(n, fmt.Sprintf("j%d", i), commandBytes)).To(BeNumerically("<", writeDelay/4))
		}
		Eventually(func() []string { return snapshotsIn(dir) }, "10s").Should(HaveLen(1))
		cancel()
		Expect(<-done).To(Succeed())

		n, cancel, done = startSingleReplica(storage.OSFiles(), dir)
		defer func() {
			cancel()
			Expect(<-done).To(Succeed())
		}()
		n.mu.RLock()
		defer n.mu.RUnlock()
		Expect(n.machine.Jobs().Jobs()).To(HaveLen(snapshotBytes/commandBytes + 4))
		Expect(n.snapshots.stored()).To(BeNumerically(">", 0), "the state comes from a snapshot and the log after it")
	})

	ginkgo.It("terminates the replica if it cannot be written", func() {
		dir := ginkgo.GinkgoT().TempDir()
		files := storage.OSFiles()
		create := files.Create
		files.Create = func(path string) (storage.File, error) {
			if strings.Contains(path, "snapshot") {
				return storage.File{}, os.ErrPermission
			}

			return create(path)
		}
		n, cancel, done := startSingleReplica(files, dir)
		defer cancel()
		// One command is enough for a snapshot to be due.
		submit(n, "j", snapshotBytes)
		Eventually(done, "10s").Should(Receive(MatchError(ContainSubstring("permission denied"))))
	})
})
