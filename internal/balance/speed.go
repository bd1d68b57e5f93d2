package balance

import (
	"math"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/scheduler"
)

const (
	// maxPaceAge is the age above which a reported pace is ignored: it changes many times a
	// second.
	maxPaceAge = 300 * time.Millisecond
	// paceSpell is for how much of a request's duration the reported pace is taken to hold.
	paceSpell = 300 * time.Millisecond
	// slownessSmoothing is the smallest weight of a new request in the slowness of a backend
	// server, slownessPrior how many requests count for it that the server has the usual speed.
	slownessSmoothing = 0.05
	slownessPrior     = 4
	// slownessHalfLife is how long the slowness of a backend server without requests takes to
	// count half, so that it gets requests again which show whether it still holds.
	slownessHalfLife = time.Minute
	// maxSlowness bounds what one request says about a backend server.
	maxSlowness = 8
	// slownessPeriod is how often the slowness of all backend servers is related to their mean.
	slownessPeriod = time.Second
	// usualSmoothing is the weight of a new request in the moving means of the work of a
	// service's requests, and of those that a request waits for at a full backend server.
	usualSmoothing = 0.05
	// othersSmoothing is the weight of a new report in the usual number of requests from other
	// processes at a backend server, which is used while there is no recent report.
	othersSmoothing = 0.2
)

// speed is what is known about the speed and the load of one backend server.
type speed struct {
	logSlowness float64 // moving mean of the logarithm of actual to expected durations
	samples     float64 // 0 if nothing is known
	learnedAt   time.Duration
	isPaced     bool // its last report held its pace
	pacedAt     time.Duration
	others      float64 // moving mean of the requests from other processes
	usualOthers int     // others, rounded
}

// usualWork is what is known about the work of a service's requests.
type usualWork struct {
	mean, square float64 // moving means of the work and of its square, 0 if unknown
	queued       float64 // mean work of each request waited for at full backend servers, 0 if unknown
}

// inFlight returns the mean work of the requests in flight: long ones are in flight for longer.
func (uw *usualWork) inFlight() float64 {
	if uw.mean <= 0 {
		return 0
	}

	return uw.square / uw.mean
}

func (uw *usualWork) add(seconds float64) {
	if uw.mean == 0 {
		uw.mean, uw.square = seconds, seconds*seconds
	}
	uw.mean += usualSmoothing * (seconds - uw.mean)
	uw.square += usualSmoothing * (seconds*seconds - uw.square)
}

func (uw *usualWork) addQueued(seconds float64) {
	if uw.queued == 0 {
		uw.queued = seconds
	}
	uw.queued += usualSmoothing * (seconds - uw.queued)
}

// recordLoad takes over the load that the backend server i reported. The caller holds ba.mu.
func (se *serverSet) recordLoad(now time.Duration, i int, lo *backend.Load, inFlight int) {
	ca, sv := &se.cands[i], se.servers[i]
	ca.Running = lo.Running + lo.Waiting
	ca.InFlightReported = min(inFlight, ca.Running)
	sv.loadReportedAt = now
	sv.speed.others += othersSmoothing * (float64(ca.Running-ca.InFlightReported) - sv.speed.others)
	sv.speed.usualOthers = int(math.Round(sv.speed.others))
	if isPaced := lo.Pace > 0 && se.usesPace; isPaced != sv.speed.isPaced {
		sv.speed.isPaced = isPaced
		se.countPaced(isPaced)
	}
	ca.Pace = lo.Pace
	sv.speed.pacedAt = now
}

func (se *serverSet) countPaced(isPaced bool) {
	if isPaced {
		se.paced++
	} else {
		se.paced--
	}
}

// refresh drops what is out of date about the backend server i.
func (se *serverSet) refresh(now time.Duration, i int) {
	ca, sv := &se.cands[i], se.servers[i]
	if now-sv.loadReportedAt > maxLoadAge {
		ca.Running, ca.InFlightReported = 0, 0
		if se.paced > 0 {
			ca.Running = sv.speed.usualOthers
		}
	}
	if now-sv.speed.pacedAt > maxPaceAge {
		ca.Pace = 0
	}
}

// refreshSlowness relates the slowness of all backend servers to their mean: the usual speed of
// a service is that of its servers.
func (se *serverSet) refreshSlowness(now time.Duration) {
	if se.paced == 0 || now-se.relatedAt < slownessPeriod {
		return
	}
	se.relatedAt = now
	sum, n := 0.0, 0
	for _, sv := range se.servers {
		if sv.speed.samples > 0 {
			sum += sv.speed.logSlowness
			n++
		}
	}
	mean := sum / float64(max(n, 1))
	for i, sv := range se.servers {
		se.cands[i].Slowness = 0
		if sv.speed.samples > 0 {
			age := float64(now-sv.speed.learnedAt) / float64(slownessHalfLife)
			se.cands[i].Slowness = math.Exp((sv.speed.logSlowness - mean) * math.Exp2(-age))
		}
	}
}

// learn records how long a request took that the backend server i has answered completely, and
// returns its work.
func (se *serverSet) learn(now time.Duration, gr *Grant, i int) float64 {
	ca, sv := &se.cands[i], se.servers[i]
	elapsed := (now - gr.grantedAt).Seconds()
	if elapsed <= 0 {
		return 0
	}
	pace := 1.0
	if gr.pace > 0 {
		pace += (gr.pace - 1) * min(1, paceSpell.Seconds()/elapsed)
	}
	slowness := 1.0
	if ca.Slowness > 0 {
		slowness = ca.Slowness
	}
	work := elapsed / (pace * slowness)
	if gr.ahead > 0 || gr.hasWaiting {
		if gr.ahead > 0 && gr.work > 0 && work > gr.work {
			se.usual.addQueued((work - gr.work) * float64(ca.Slots) / float64(gr.ahead))
		}

		return 0 // it waited for a slot: its own part is not known
	}
	se.usual.add(work)
	if gr.work > 0 {
		ratio := math.Log(min(max(elapsed/(gr.work*pace), 1.0/maxSlowness), maxSlowness))
		sp := &sv.speed
		sp.samples++
		sp.logSlowness += max(1/(sp.samples+slownessPrior), slownessSmoothing) * (ratio - sp.logSlowness)
		sp.learnedAt = now
	}

	return work
}

// work returns what the scheduler needs of the work of a request.
func (se *serverSet) work(rq *Request) scheduler.Work {
	return scheduler.Work{
		IsPaced: se.paced > 0, Own: rq.Work.Seconds, Prompt: rq.Work.Prompt, Mean: se.usual.mean, Usual: se.usual.inFlight(), Queued: se.usual.queued,
	}
}
