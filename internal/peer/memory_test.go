package peer_test

import (
	"context"
	"runtime"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// liveBytes returns the size of the heap after a collection.
func liveBytes() int64 {
	runtime.GC()
	runtime.GC() // frees what pools held at the first one
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)

	return int64(ms.HeapAlloc)
}

// Guards against leaders that run out of memory by what their sessions retain: each process of a
// deployment has one to the leader of the stores (docs/incidents/lost-jobs.md).
var _ = Describe("the sessions of a process that sends large messages", func() {
	It("retain little memory once the messages were sent", func() {
		const (
			sessions     = 40
			messageBytes = 2 << 20
			maxRetained  = 256 << 10 // of both ends of a session
		)
		mux := peer.Mux{"echo": func(_ context.Context, st *peer.Stream) error {
			var m wire.Payload
			if err := st.Request(&m); err != nil {
				return err
			}

			return st.Reply(&m)
		}}
		record := make([]byte, messageBytes)
		before := liveBytes()
		for range sessions {
			li, se, err := pair(mux)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func() { se.Close(); li.Close() })
			var got wire.Payload
			Expect(se.Call(context.Background(), "echo", &wire.Payload{Record: record}, &got)).To(Succeed())
			Expect(got.GetRecord()).To(HaveLen(messageBytes))
		}
		Expect((liveBytes() - before) / sessions).To(BeNumerically("<", maxRetained))
	})
})
