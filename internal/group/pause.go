package group

import (
	"runtime/metrics"
	"time"

	"github.com/apex/log"
)

// loopStep is a part of an iteration of a replica's loop.
type loopStep int

// Steps of an iteration, in their order.
const (
	stepReceive loopStep = iota // messages, reads and calls
	stepPropose                 // proposals and what is due by time
	stepSend
	stepStore
	stepApply
	stepPublish // the status
	loopSteps
)

// String returns the name of the step in logs, with its unit.
func (s loopStep) String() string {
	return [...]string{"receiveMs", "proposeMs", "sendMs", "storeMs", "applyMs", "publishMs"}[s]
}

const (
	// minLoggedPause is the time between two iterations of a replica's loop from which it is logged. It is
	// below the election timeout, so that the pauses that come before a lost election are logged too.
	minLoggedPause = 250 * time.Millisecond
	// pauseLogPeriod is the shortest time between two log lines about pauses.
	pauseLogPeriod = 500 * time.Millisecond
)

// pause is a time in which the loop of a replica neither received nor sent anything: from the end of an
// iteration to the end of the next one.
type pause struct {
	waited time.Duration // beyond the tick that was due: the loop did not get the processor
	steps  [loopSteps]time.Duration
	events int
}

// length returns how long the pause was.
func (p *pause) length() time.Duration {
	sum := p.waited
	for _, d := range p.steps {
		sum += d
	}

	return sum
}

// pauseWatch measures the pauses of a replica's loop. Only the loop may use it.
type pauseWatch struct {
	now     func() time.Duration
	report  func(p pause)
	ended   time.Duration // end of the last iteration
	marked  time.Duration // end of the last step
	current pause
}

// begin starts an iteration that was woken now.
func (pw *pauseWatch) begin() {
	pw.marked = pw.now()
	pw.current = pause{waited: max(pw.marked-pw.ended-tickPeriod, 0)}
}

// end adds the time since the last step to a step of the iteration.
func (pw *pauseWatch) end(s loopStep) {
	now := pw.now()
	pw.current.steps[s] += now - pw.marked
	pw.marked = now
}

// finish ends the iteration and reports its pause.
func (pw *pauseWatch) finish() {
	pw.ended = pw.now()
	pw.report(pw.current)
}

// reportPause records a pause of the loop, and logs a long one with what took the time.
func (gr *Group) reportPause(p pause) {
	length := p.length()
	gr.cfg.RecordPause(length)
	if length > time.Duration(gr.longestPause.Load()) {
		gr.longestPause.Store(int64(length))
	}
	now := gr.now()
	if length < minLoggedPause || (gr.pauseLoggedAt > 0 && now < gr.pauseLoggedAt+pauseLogPeriod) {
		return
	}
	gr.pauseLoggedAt = now
	st := gr.Status()
	fl := log.Fields{"ms": length.Milliseconds(), "waitedMs": p.waited.Milliseconds(), "events": p.events, "role": st.Role, "term": st.Term, "applied": st.Applied}
	for s := range loopSteps {
		fl[s.String()] = p.steps[s].Milliseconds()
	}
	for name, v := range readCollector() {
		fl[name] = v
	}
	gr.cfg.Log.WithFields(fl).Warn("the loop of the replica paused")
}

// readCollector returns what the garbage collector has done since the start of the process.
func readCollector() map[string]int64 {
	samples := []metrics.Sample{
		{Name: "/gc/cycles/total:gc-cycles"},
		{Name: "/cpu/classes/gc/total:cpu-seconds"},
		{Name: "/gc/heap/live:bytes"},
		{Name: "/memory/classes/heap/objects:bytes"},
	}
	metrics.Read(samples)
	const milli = 1000

	return map[string]int64{
		"gcCycles": int64(samples[0].Value.Uint64()), "gcMs": int64(samples[1].Value.Float64() * milli),
		"liveBytes": int64(samples[2].Value.Uint64()), "heapBytes": int64(samples[3].Value.Uint64()),
	}
}
