package jobstore

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/job"
)

const (
	// watchPeriod is how often the ledger is looked at when no commit causes it.
	watchPeriod = 100 * time.Millisecond
	// maxChangesPerLook bounds the changes that are read while the lock of the ledger is held once.
	maxChangesPerLook = 256
)

// watch wakes the readers that wait for results when their job changes: a commit of another job or of progress
// wakes none.
type watch struct {
	read     func(f func(le *job.Ledger))
	isBegun  bool   // revision is known
	revision uint64 // up to which changes were looked at

	mu    sync.Mutex
	waits map[string]chan struct{} // by job; closed and removed when it changes
}

func newWatch(read func(f func(le *job.Ledger))) *watch {
	return &watch{read: read, waits: map[string]chan struct{}{}}
}

// changed returns a channel that is closed when a job changes after the call. It may be closed without a change.
func (wa *watch) changed(id string) <-chan struct{} {
	wa.mu.Lock()
	defer wa.mu.Unlock()

	c := wa.waits[id]
	if c == nil {
		c = make(chan struct{})
		wa.waits[id] = c
	}

	return c
}

// look wakes the readers of the jobs that changed, and reports whether there are further changes. Only the
// goroutine of run calls it.
func (wa *watch) look() (hasMore bool) {
	if !wa.isAwaited() {
		wa.isBegun = false

		return false
	}
	var ids []string
	isKnown := false
	wa.read(func(le *job.Ledger) {
		var next uint64
		ids, next, isKnown = le.Changes(wa.revision, maxChangesPerLook)
		if isKnown = isKnown && wa.isBegun; !isKnown {
			next = le.Revision()
		}
		wa.isBegun, wa.revision, hasMore = true, next, next < le.Revision()
	})

	wa.mu.Lock()
	defer wa.mu.Unlock()
	if !isKnown {
		ids = slices.Collect(maps.Keys(wa.waits))
	}
	for _, id := range ids {
		if c := wa.waits[id]; c != nil {
			close(c)
			delete(wa.waits, id)
		}
	}

	return hasMore
}

func (wa *watch) isAwaited() bool {
	wa.mu.Lock()
	defer wa.mu.Unlock()

	return len(wa.waits) > 0
}

// run looks at the ledger after each commit, until ctx ends. applied returns a channel that is closed by the next one.
func (wa *watch) run(ctx context.Context, applied func() <-chan struct{}) {
	for ctx.Err() == nil {
		next := applied()
		if wa.look() {
			continue
		}
		select {
		case <-next:
		case <-time.After(watchPeriod):
		case <-ctx.Done():
		}
	}
}
