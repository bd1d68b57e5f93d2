package jobdriver

import (
	"slices"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/job"
)

// progressPeriod is how often the progress of an item is committed. It bounds the
// work that an item loses with its driver.
const progressPeriod = 400 * time.Millisecond

// recordProgress queues the events that a run generated since its last call.
func (dr *Driver) recordProgress(t *task, te *generatedText) {
	dr.mu.Lock()
	defer dr.mu.Unlock()

	if dr.jobs[t.job.id] != t.job || t.phase != running || t.isProgressStopped {
		return
	}
	dr.progress = append(dr.progress, job.Part{Job: t.job.id, Item: t.index, After: te.proposed, IsFirst: !te.hasProposed, Text: job.Partial{
		Events: slices.Clip(te.events[te.proposedEvents:]), LastEvent: te.lastEvent, Versions: slices.Clone(te.versions), Term: dr.term,
		Service: te.service, Software: te.software,
	}})
	te.proposed, te.proposedEvents, te.hasProposed = te.lastEvent, len(te.events), true
}

// maxProgressBytes bounds the texts in one commit of progress, unless its first part has more: a long log entry
// holds up the heartbeats behind it.
const maxProgressBytes = 256 << 10

// nextProgress removes the first parts of the queued progress, up to maxProgressBytes.
func (dr *Driver) nextProgress() []job.Part {
	bytes := 0
	for i := range dr.progress {
		for _, ev := range dr.progress[i].Text.Events {
			bytes += len(ev)
		}
		if bytes > maxProgressBytes && i > 0 {
			parts := dr.progress[:i:i]
			dr.progress = dr.progress[i:]

			return parts
		}
	}
	parts := dr.progress
	dr.progress = nil

	return parts
}

// flushProgress commits queued progress in one log entry.
func (dr *Driver) flushProgress() {
	if len(dr.progress) == 0 || dr.isFlushing {
		return
	}
	parts, term := dr.nextProgress(), dr.term
	dr.isFlushing = true
	dr.wg.Add(1)
	go func() {
		defer dr.wg.Done()
		err := dr.commit(dr.ctx, job.Progress{Parts: parts})
		if err != nil {
			dr.cfg.Log.WithError(err).WithField("parts", len(parts)).Warn("progress of running items not committed")
		}
		dr.mu.Lock()
		dr.isFlushing = false
		if err != nil && dr.term == term {
			dr.stopProgress(parts)
		}
		dr.mu.Unlock()
		dr.wakeSoon()
	}()
}

// stopProgress stops committing progress of items of which a part may be lost: a later
// part could be appended to events that it doesn't belong to. If this driver is lost,
// these items resume from an earlier event.
func (dr *Driver) stopProgress(lost []job.Part) {
	isLost := func(pa job.Part) bool {
		return slices.ContainsFunc(lost, func(lo job.Part) bool { return lo.Job == pa.Job && lo.Item == pa.Item })
	}
	dr.progress = slices.DeleteFunc(dr.progress, isLost)
	for _, pa := range lost {
		if js := dr.jobs[pa.Job]; js != nil && js.tasks[pa.Item] != nil {
			js.tasks[pa.Item].isProgressStopped = true
		}
	}
}
