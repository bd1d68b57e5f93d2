package program

import (
	"errors"
	"net/http"
	"sync"

	"github.com/apex/log"
	"github.com/gravitational/trace"
)

// parts is a run group of the components of a process. When one component fails,
// all of them are terminated.
type parts struct {
	what string // kind of process, used in log messages
	log  log.Interface
	kill func() // terminates all components

	wg   sync.WaitGroup
	done chan struct{}
	mu   sync.Mutex
	err  error
}

// run starts a component. It must not be called after seal.
func (pa *parts) run(name string, f func() error) {
	pa.wg.Go(func() {
		if err := f(); err != nil && !errors.Is(err, http.ErrServerClosed) {
			pa.fail(name, err)
		}
	})
}

// fail records the first error and terminates all components.
func (pa *parts) fail(name string, err error) {
	pa.mu.Lock()
	if pa.err == nil {
		pa.err = trace.Wrap(err, name)
	}
	pa.mu.Unlock()
	pa.log.WithError(err).WithField("part", name).Error("terminating the " + pa.what + " because a component failed")
	pa.kill()
}

// newParts returns an empty run group. The owner sets kill before the first call of run.
func newParts(what string, lo log.Interface) *parts {
	return &parts{what: what, log: lo, done: make(chan struct{})}
}

// seal closes the done channel once all components have returned. It is called after
// the last component has been started.
func (pa *parts) seal() {
	go func() {
		pa.wg.Wait()
		close(pa.done)
	}()
}

// Done returns a channel that is closed once all components have returned.
func (pa *parts) Done() <-chan struct{} { return pa.done }

// Err returns the first error of a component, or nil if none failed.
func (pa *parts) Err() error {
	pa.mu.Lock()
	defer pa.mu.Unlock()

	return pa.err
}
