package logging_test

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestSuite(t *testing.T) { suite.Run(t, "logging") }

// slowWriter blocks all writes until open is closed.
type slowWriter struct {
	open chan struct{}
	mu   sync.Mutex
	b    bytes.Buffer
}

func (sw *slowWriter) Write(b []byte) (int, error) {
	<-sw.open
	sw.mu.Lock()
	defer sw.mu.Unlock()

	return sw.b.Write(b)
}

var _ = ginkgo.Describe("a handler whose writer is blocked while many lines are logged", func() {
	ginkgo.It("doesn't block its callers, drops info lines before errors and counts dropped lines", func() {
		sw := &slowWriter{open: make(chan struct{})}
		ah := logging.NewAsyncHandler(sw)
		lo := logging.NewWithHandler(ah, "info", "p", "n")
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range 20_000 {
				lo.Info("routine")
			}
			for range 100 {
				lo.Error("failure")
			}
		}()
		Eventually(done, "5s").Should(BeClosed())
		Expect(ah.Dropped()).To(BeNumerically(">", 10_000))
		close(sw.open)
		ah.Close()
		Expect(bytes.Count(sw.b.Bytes(), []byte(`"failure"`))).To(Equal(100))
	})

	ginkgo.It("logs that lines were dropped once the writer is unblocked", func() {
		sw := &slowWriter{open: make(chan struct{})}
		ah := logging.NewAsyncHandler(sw)
		lo := logging.NewWithHandler(ah, "info", "p", "n")
		for range 20_000 {
			lo.Info("routine")
		}
		close(sw.open)
		Eventually(func() string {
			lo.Error("later")
			sw.mu.Lock()
			defer sw.mu.Unlock()

			return sw.b.String()
		}, 3*time.Second, 50*time.Millisecond).Should(ContainSubstring("log lines dropped"))
		ah.Close()
	})
})
