package group

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/storage"
)

const (
	// minDiskRetryPause is the first pause before a disk that refuses writes is tried again. It
	// doubles with each refusal, up to maxDiskRetryPause.
	minDiskRetryPause = 50 * time.Millisecond
	maxDiskRetryPause = time.Second
)

// disk keeps track of whether the data folder accepts writes, and says when to try again. It
// logs the first refusal and the end of the refusals. Safe for concurrent use.
type disk struct {
	log log.Interface

	mu           sync.Mutex
	refusedSince time.Time // zero while writes are accepted
	pause        time.Duration
	retryAt      time.Time
}

// recordRefusal records a refused write and returns the pause before the next attempt.
func (di *disk) recordRefusal(now time.Time, err error) time.Duration {
	di.mu.Lock()
	defer di.mu.Unlock()

	if di.refusedSince.IsZero() {
		di.refusedSince, di.pause = now, minDiskRetryPause
		di.log.WithError(err).Error("the disk refuses writes, the replica neither votes nor acknowledges until it accepts them")
	} else {
		di.pause = min(2*di.pause, maxDiskRetryPause)
	}
	di.retryAt = now.Add(di.pause)

	return di.pause
}

// recordSuccess records that a write was stored.
func (di *disk) recordSuccess(now time.Time) {
	di.mu.Lock()
	defer di.mu.Unlock()

	if di.refusedSince.IsZero() {
		return
	}
	di.log.WithField("ms", now.Sub(di.refusedSince).Milliseconds()).Info("the disk accepts writes again")
	di.refusedSince = time.Time{}
}

// isRefusing reports whether the last write was refused.
func (di *disk) isRefusing() bool {
	di.mu.Lock()
	defer di.mu.Unlock()

	return !di.refusedSince.IsZero()
}

// isRetryDue reports whether a refused write is to be tried again at now.
func (di *disk) isRetryDue(now time.Time) bool {
	di.mu.Lock()
	defer di.mu.Unlock()

	return !now.Before(di.retryAt)
}

// suspend stops the replica until the disk accepts writes: it gives up leadership, and from
// now on drops messages and refuses proposals and reads. The task that was refused is tried again.
// Errors that the disk won't recover from are returned.
func (n *node) suspend(err error, refused *storeTask) error {
	if !storage.IsTransient(err) {
		return err
	}
	n.disk.recordRefusal(time.Now(), err)
	if n.unstored != nil {
		return nil
	}
	refused.isRetry = true
	n.unstored = refused
	n.heardLeader = ""
	for _, m := range n.replica.Resign(n.now()) {
		n.send(m)
	}
	n.failPending(result.New(result.NotLeader, "group: the disk of the leader refuses writes").WithExecution(result.ExecutionUnknown))
	n.updateStatus()

	return nil
}

// resume tries the disk again if that is due, to take up the work where it stopped.
func (n *node) resume() {
	if !n.writer.isBusy && n.disk.isRetryDue(time.Now()) {
		n.startTask(n.unstored)
	}
}

// handleSuspended handles an event while the disk refuses writes. Of a message only the leader
// that it names is noted, so that commands and reads are forwarded there.
func (n *node) handleSuspended(ev event) {
	switch {
	case ev.message != nil:
		m := ev.message
		if (m.Kind == consensus.MessageAppend || m.Kind == consensus.MessageSnapshot) && m.Term >= n.replica.Term() {
			n.heardLeader = m.From
		}
	case ev.proposal != nil:
		ev.proposal.answer <- proposalAnswer{err: result.New(result.NotLeader, "group: the disk refuses writes")}
	case ev.read != nil:
		ev.read.answer <- readAnswer{err: result.New(result.NotLeader, "group: the disk refuses writes")}
	case ev.call != nil:
		ev.call(n.now(), n.replica)
	}
}

// untilAccepted repeats a write until the disk accepts it. It returns the first error that
// doesn't pass by itself, and nil once ctx ends.
func (gr *Group) untilAccepted(ctx context.Context, write func() error) error {
	for {
		err := write()
		if err == nil || !storage.IsTransient(err) {
			return err
		}
		select {
		case <-time.After(gr.disk.recordRefusal(time.Now(), err)):
		case <-ctx.Done():
			return nil
		}
	}
}
