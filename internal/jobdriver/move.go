package jobdriver

import (
	"cmp"
	"slices"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/stepplan"
)

// maxMovesPerPass bounds how many runs are moved in one pass, so that they do not all
// go to the same backend servers before their new load is known.
const maxMovesPerPass = 8

const (
	// minLongRun is the age from which a run is moved from a lagging backend server to a faster
	// one. It doubles with each move of the text, at most maxMoveDoublings times: paces depend on
	// the load, so that moves would follow each other.
	minLongRun       = 1500 * time.Millisecond
	maxMoveDoublings = 4
	// minSlowRun is the same for slow backend servers: while a new step's prompts are read, all of
	// them are slow in turn.
	minSlowRun = 300 * time.Millisecond
)

// minAge returns the age from which the run of a task may be moved. The caller holds dr.mu.
func (dr *Driver) minAge(t *task) time.Duration {
	age := minLongRun
	if slices.Contains(dr.classes.slow, t.server) {
		age = minSlowRun
	}

	return age << min(t.moves, maxMoveDoublings)
}

// stuckRun is a run that would be complete sooner at a fast backend server.
type stuckRun struct {
	task        *task
	latestStart time.Time
}

// stuckRuns returns the runs at slow and lagging backend servers that gain by a move, those
// that are due first at the front. The caller holds dr.mu.
func (dr *Driver) stuckRuns() []stuckRun {
	if dr.tokensPerEvent == 0 || len(dr.classes.slow)+len(dr.classes.lagging) == 0 {
		return nil
	}
	pa := dr.tokenPaces()
	var out []stuckRun
	for _, js := range dr.jobs {
		for _, t := range js.tasks {
			if t.phase != running || t.cancelForMove == nil || !dr.classes.isBehind(t.server) {
				continue
			}
			if time.Since(t.startedAt) < dr.minAge(t) {
				continue
			}
			remaining := dr.remaining(t)
			if dr.isMoveWorthwhile(t, remaining, pa) {
				out = append(out, stuckRun{task: t, latestStart: stepplan.LatestStart(js.due, remaining, pa.Fast)})
			}
		}
	}
	slices.SortFunc(out, func(a, b stuckRun) int {
		return cmp.Or(a.latestStart.Compare(b.latestStart), cmp.Compare(a.task.job.id, b.task.job.id), cmp.Compare(a.task.index, b.task.index))
	})

	return out
}

// minPacedGain is what a move must gain at least, in seconds, where backend servers report their
// pace, unless the text would be late. Each move closes a connection, and their paces vary.
const minPacedGain = 1.0

// isMoveWorthwhile reports whether a run gains more by a move than the move costs. The caller
// holds dr.mu.
func (dr *Driver) isMoveWorthwhile(t *task, remaining float64, pa stepplan.Paces) bool {
	here := dr.classes.interval[t.server] / dr.tokensPerEvent
	if !stepplan.IsMoveWorthwhile(remaining, here, pa.Fast) {
		return false
	}
	if !dr.isPaced(t) {
		return true
	}

	return remaining*(here-pa.Fast) > minPacedGain || remaining*here > time.Until(t.job.due).Seconds()
}

// moveRuns moves runs to fast backend servers, as far as these have free slots. A moved run
// resumes after its last event.
func (dr *Driver) moveRuns() {
	if !dr.mayPlace() {
		return
	}
	stuck := dr.stuckRuns()
	for _, sr := range stuck[:min(len(stuck), maxMovesPerPass)] {
		t := sr.task
		// Reserve the slot before the run is cancelled: other passes happen before it ends.
		t.nextGrant = dr.cfg.Balancer.Acquire(&balance.Request{
			Service: t.service, Model: t.job.model, MinVersion: t.job.minVersion, Prefix: t.job.model + "/" + t.item.Group, Tokens: t.item.Tokens,
			Software: t.software, Regions: t.regions, Exclude: slices.Concat(t.failedServers, dr.classes.slow, dr.classes.lagging), Work: dr.work(t),
		})
		if t.nextGrant == nil {
			continue
		}
		t.cancelForMove()
		t.cancelForMove = nil
	}
}
