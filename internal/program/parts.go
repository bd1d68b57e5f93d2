package program

import (
	"errors"
	"net/http"
	"sync"

	"github.com/apex/log"
	"github.com/gravitational/trace"
)

// parts run together: the first that breaks ends them all.
type parts struct {
	what string // of them, in the log
	log  log.Interface
	kill func() // ends all parts

	wg   sync.WaitGroup
	done chan struct{}
	mu   sync.Mutex
	err  error
}

// run starts a part. It must not be called after seal.
func (pa *parts) run(name string, f func() error) {
	pa.wg.Go(func() {
		if err := f(); err != nil && !errors.Is(err, http.ErrServerClosed) {
			pa.fail(name, err)
		}
	})
}

// fail ends all parts after one of them broke.
func (pa *parts) fail(name string, err error) {
	pa.mu.Lock()
	if pa.err == nil {
		pa.err = trace.Wrap(err, name)
	}
	pa.mu.Unlock()
	pa.log.WithError(err).WithField("part", name).Error("the " + pa.what + " stops")
	pa.kill()
}

// newParts returns no parts yet. The owner sets kill before it runs the first.
func newParts(what string, lo log.Interface) *parts {
	return &parts{what: what, log: lo, done: make(chan struct{})}
}

// seal says that all parts are started.
func (pa *parts) seal() {
	go func() {
		pa.wg.Wait()
		close(pa.done)
	}()
}

// Done is closed when all parts have ended.
func (pa *parts) Done() <-chan struct{} { return pa.done }

// Err returns why the process ended by itself, or nil.
func (pa *parts) Err() error {
	pa.mu.Lock()
	defer pa.mu.Unlock()

	return pa.err
}
