package loadsim

import (
	"math/rand/v2"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/backend"
)

// job is one request at a server.
type job struct {
	class     *Class
	gateway   *gateway
	workspace int
	arrivedAt time.Duration
	rest      float64 // seconds of work that are left
	finish    func(lo *backend.Load)
	begin     func(lo *backend.Load)
}

// server runs up to slots jobs at once and queues the others. Its pace changes in spells.
type server struct {
	id, slots int
	queue     int
	slowness  float64
	domain    string
	spell     float64 // factor of the current spell, 1 for none
	running   []*job
	waiting   []*job
	updatedAt time.Duration
	epoch     int // of the next completion; events of earlier epochs are void
}

func (sv *server) load() *backend.Load {
	return &backend.Load{Running: len(sv.running), Waiting: len(sv.waiting), Slots: sv.slots, Pace: sv.spell}
}

// advance works on the running jobs up to now.
func (sv *server) advance(now time.Duration) {
	done := (now - sv.updatedAt).Seconds() / (sv.slowness * sv.spell)
	for _, jo := range sv.running {
		jo.rest -= done
	}
	sv.updatedAt = now
}

// accept takes a job, or returns false if the queue is full.
func (sv *server) accept(jo *job) bool {
	switch {
	case len(sv.running) < sv.slots:
		sv.start(jo)
	case len(sv.waiting) < sv.queue:
		sv.waiting = append(sv.waiting, jo)
	default:
		return false
	}

	return true
}

func (sv *server) start(jo *job) {
	sv.running = append(sv.running, jo)
	if jo.begin != nil {
		jo.begin(sv.load())
	}
}

// epsilon is the work that counts as none.
const epsilon = 1e-9

// complete ends the jobs that have no work left and starts waiting ones.
func (sv *server) complete() {
	for i := 0; i < len(sv.running); {
		jo := sv.running[i]
		if jo.rest > epsilon {
			i++

			continue
		}
		jo.finish(sv.load())
		sv.running = append(sv.running[:i], sv.running[i+1:]...)
		if len(sv.waiting) > 0 {
			next := sv.waiting[0]
			sv.waiting = sv.waiting[1:]
			sv.start(next)
		}
	}
}

// next returns the time until the next job is complete, or false if none runs.
func (sv *server) next() (time.Duration, bool) {
	if len(sv.running) == 0 {
		return 0, false
	}
	rest := sv.running[0].rest
	for _, jo := range sv.running {
		rest = min(rest, jo.rest)
	}
	rest = max(rest, 0) * sv.slowness * sv.spell

	return time.Duration(rest*float64(time.Second)) + 1, true
}

// pickWorkspace returns a workspace; low numbers are larger ones.
func pickWorkspace(rnd *rand.Rand, n int) int {
	if n <= 1 {
		return 0
	}

	return min(int(float64(n)*rnd.Float64()*rnd.Float64()), n-1)
}
