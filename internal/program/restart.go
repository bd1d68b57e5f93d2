package program

import (
	"errors"
	"os"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

const (
	// minRestartPause is the pause before the second restart in a row after the same error. It
	// doubles with each further one, up to maxRestartPause.
	minRestartPause = time.Second
	maxRestartPause = 30 * time.Second
	// stableAfter is how long the components must have run for their failure to count as a first one.
	stableAfter = time.Minute
)

// restarts decides how long a process that failed waits before it starts its components again.
type restarts struct {
	code     result.Code
	failures int // in a row with that code
}

// next records a failure after the components ran for a time, and returns the pause. The first
// failure is followed by a restart at once, as what failed may be gone.
func (re *restarts) next(code result.Code, ran time.Duration) time.Duration {
	if code != re.code || ran >= stableAfter {
		re.code, re.failures = code, 0
	}
	re.failures++
	if re.failures == 1 {
		return 0
	}
	pause := minRestartPause
	for i := 2; i < re.failures && pause < maxRestartPause; i++ {
		pause *= 2
	}

	return min(pause, maxRestartPause)
}

// isFinal reports whether err ends the process: a restart can't mend settings or a data folder
// that is not this process's.
func isFinal(err error) bool {
	return result.Is(err, result.InvalidSettings) || result.Is(err, result.DataFolderForeign) || result.Is(err, result.DataFolderNewer)
}

// codeOf returns the code of err, 0 if it has none.
func codeOf(err error) result.Code {
	var er *result.Error
	if errors.As(err, &er) {
		return er.Code
	}

	return 0
}

// supervisor runs the components of a process and starts them again when they fail.
type supervisor struct {
	start   func() (*supervised, error)
	signals <-chan os.Signal
	now     func() time.Duration
	after   func(d time.Duration) <-chan time.Time
	log     log.Interface
}

// supervised is a set of components that run.
type supervised struct {
	done     <-chan struct{}
	err      func() error
	reload   func()
	shutdown func()
}

// RunNode runs a node until a stop signal has been handled, or until it fails with an error that a
// restart can't mend. After other errors its components are started again in this process, with a
// pause that grows while the error stays the same: a platform that restarts processes at once does
// not know that they fail in a row, and a gateway has no disk to count on.
func RunNode(start func() (*Node, error), signals <-chan os.Signal, lo log.Interface) error {
	su := supervisor{
		start: func() (*supervised, error) {
			nd, err := start()
			if err != nil {
				return nil, err
			}

			return &supervised{done: nd.Done(), err: nd.Err, reload: nd.Reload, shutdown: nd.Shutdown}, nil
		},
		signals: signals, now: timeSinceBoot, after: time.After, log: lo,
	}

	return su.run()
}

func (su *supervisor) run() error {
	var re restarts
	for {
		began := su.now()
		stopped, err := su.runOnce()
		if stopped || err == nil || isFinal(err) {
			return err
		}
		pause := re.next(codeOf(err), su.now()-began)
		su.log.WithError(err).WithFields(log.Fields{"failures": re.failures, "pauseMs": pause.Milliseconds()}).
			Error("the process failed, its components are started again after the pause")
		if su.isStoppedWithin(pause) {
			return err
		}
	}
}

// runOnce starts the components and waits until they end. It reports whether a signal ended them.
func (su *supervisor) runOnce() (stopped bool, err error) {
	sd, err := su.start()
	if err != nil {
		return false, err
	}
	for {
		select {
		case s := <-su.signals:
			if s == syscall.SIGHUP {
				sd.reload()

				continue
			}
			sd.shutdown()

			return true, sd.err()
		case <-sd.done:
			return false, sd.err()
		}
	}
}

// isStoppedWithin waits for a time and reports whether a stop signal arrived meanwhile.
func (su *supervisor) isStoppedWithin(pause time.Duration) bool {
	due := su.after(pause)
	for {
		select {
		case s := <-su.signals:
			if s != syscall.SIGHUP { // the start reads the settings again
				return true
			}
		case <-due:
			return false
		}
	}
}
