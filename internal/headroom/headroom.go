// Package headroom decides from a process's use of memory and file descriptors whether it may take
// more work. It becomes not ready before it refuses requests, and refuses them before it fails.
package headroom

import (
	"sync"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

// Shares of the limits. The garbage collector keeps the memory at 60% of its limit: if as much is
// in use, it runs without pause. A gateway needs two descriptors for a request, and those for its
// sessions.
const (
	memoryUnready  = 0.5
	memoryRefusing = 0.6
	filesUnready   = 0.75
	filesRefusing  = 0.85
	// recovery is the part of a threshold below which the use must fall until the state ends, so
	// that it does not change with each request.
	recovery = 0.9
	// retryAfter is the time after which a refused caller may come back: the balancer knows of the
	// process's state by then.
	retryAfter = 500 * time.Millisecond
)

// Use is what a process uses and may use. A limit of 0 is unknown.
type Use struct {
	Memory      int64 // bytes that are in use after the last collection
	MemoryLimit int64
	Files       int
	FilesLimit  int
}

// Gate holds the state of a process. It is safe for concurrent use.
type Gate struct {
	mu                  sync.Mutex
	use                 Use
	isUnready, refusing bool
}

// Observe records the use and reports whether the state changed.
func (ga *Gate) Observe(use Use) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()

	wasUnready, wasRefusing := ga.isUnready, ga.refusing
	ga.use = use
	memory, files := share(use.Memory, use.MemoryLimit), share(int64(use.Files), int64(use.FilesLimit))
	ga.isUnready = isOver(wasUnready, memory, memoryUnready) || isOver(wasUnready, files, filesUnready)
	ga.refusing = isOver(wasRefusing, memory, memoryRefusing) || isOver(wasRefusing, files, filesRefusing)

	return wasUnready != ga.isUnready || wasRefusing != ga.refusing
}

func share(use, limit int64) float64 {
	if limit <= 0 {
		return 0
	}

	return float64(use) / float64(limit)
}

// isOver reports whether a share is over a threshold, or has not recovered from it.
func isOver(was bool, share, threshold float64) bool {
	if was {
		threshold *= recovery
	}

	return share >= threshold
}

// IsReady reports whether new clients may be sent to the process.
func (ga *Gate) IsReady() bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()

	return !ga.isUnready && !ga.refusing
}

// Check returns an error if the process must refuse requests.
func (ga *Gate) Check() error {
	ga.mu.Lock()
	defer ga.mu.Unlock()

	if !ga.refusing {
		return nil
	}

	return result.New(result.ProcessOverloaded, "headroom: %d of %d bytes of memory and %d of %d file descriptors are in use",
		ga.use.Memory, ga.use.MemoryLimit, ga.use.Files, ga.use.FilesLimit).WithRetryAfter(retryAfter)
}
