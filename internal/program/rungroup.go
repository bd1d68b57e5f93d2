package program

import (
	"errors"
	"net/http"
	"sync"

	"github.com/apex/log"
	"github.com/gravitational/trace"
)

// runGroup is a run group of the components of a process. When one component fails,
// all of them are terminated.
type runGroup struct {
	process   string // kind of process, used in log messages
	log       log.Interface
	terminate func() // terminates all components

	wg   sync.WaitGroup
	done chan struct{}
	mu   sync.Mutex
	err  error
}

// run starts a component. It must not be called after closeWhenDone.
func (rg *runGroup) run(name string, f func() error) {
	rg.wg.Go(func() {
		if err := f(); err != nil && !errors.Is(err, http.ErrServerClosed) {
			rg.fail(name, err)
		}
	})
}

// fail records the first error and terminates all components.
func (rg *runGroup) fail(name string, err error) {
	rg.mu.Lock()
	if rg.err == nil {
		rg.err = trace.Wrap(err, name)
	}
	rg.mu.Unlock()
	rg.log.WithError(err).WithField("part", name).Error("terminating the " + rg.process + " because a component failed")
	rg.terminate()
}

// newRunGroup returns an empty run group. The owner sets terminate before the first call of run.
func newRunGroup(process string, lo log.Interface) *runGroup {
	return &runGroup{process: process, log: lo, done: make(chan struct{})}
}

// closeWhenDone closes the done channel once all components have returned. It is called after
// the last component has been started.
func (rg *runGroup) closeWhenDone() {
	go func() {
		rg.wg.Wait()
		close(rg.done)
	}()
}

// Done returns a channel that is closed once all components have returned.
func (rg *runGroup) Done() <-chan struct{} { return rg.done }

// Err returns the first error of a component, or nil if none failed.
func (rg *runGroup) Err() error {
	rg.mu.Lock()
	defer rg.mu.Unlock()

	return rg.err
}
