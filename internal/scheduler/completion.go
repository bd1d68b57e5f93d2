package scheduler

const (
	// unknownWork stands for the work of a request of which nothing is known: all terms of the
	// expected time are then multiples of it.
	unknownWork = 0.05
	// connectSeconds is how much sooner a request must be complete to be worth a new connection,
	// besides Config.ConnectShare of its work: with 10 ms, short lookups left their connection
	// for each of the spells in which its backend server is slow.
	connectSeconds = 0.05
	// spellSeconds is for how long the momentary pace is expected to last.
	spellSeconds = 0.3
	// riskShare is the penalty for a backend server whose slots are nearly all in use, as a share
	// of the request's work: reports lag, so that it may have to wait there.
	riskShare = 0.5
	// restShare is the share of the work of a request in flight that is still to be done, on
	// average.
	restShare = 0.5
	// longFactor is the ratio to the mean work of a service's requests above which a request is
	// long. It leaves the last slot of a backend server to shorter ones, which would wait for it.
	longFactor = 3
	// failureShare is the penalty for each failure, as a share of the request's work.
	failureShare = 0.3
	// versionShare is the bonus for each newer weight version, where newer ones come first.
	versionShare = 0.5
	// jitterSteps is the number of different values of the jitter.
	jitterSteps = 1024
)

// fill sets what is not known of the work of a request.
func (wo *Work) fill() {
	if wo.Own <= 0 {
		wo.Own = wo.Usual
	}
	if wo.Own <= 0 {
		wo.Own = unknownWork
	}
	if wo.Usual <= 0 {
		wo.Usual = wo.Own
	}
}

// factor returns a ratio, or 1 if it is not known.
func factor(v float64) float64 {
	if v <= 0 {
		return 1
	}

	return v
}

// completion returns the expected time until the request is complete at a candidate, in
// seconds, with the costs of a new connection and of another failure domain. It consists of the
// expected wait and the request's own work, less the prompt where the candidate holds it, both
// multiplied by the lasting slowness, and for the length of a spell by the momentary pace. A
// small random part spreads the requests of many processes that see the same candidates.
func (sc *Scheduler) completion(ca *Candidate, i int, rq *Request) float64 {
	own := rq.Work.Own
	s := wait(ca, rq)
	if i == rq.Affinity {
		s += max(own-rq.Work.Prompt, 0)
	} else {
		s += own
	}
	s *= factor(ca.Slowness)
	s += (factor(ca.Pace) - 1) * min(s, spellSeconds)

	if !ca.HasIdle {
		s += connectSeconds + sc.cfg.ConnectShare*own
	}
	if ca.FailureDomain != rq.FailureDomain {
		s += sc.cfg.DomainShare * own
	}
	s += failureShare * ca.Failures * own
	if rq.NewestFirst && ca.Sequence > 0 {
		s -= versionShare * own * float64(ca.Sequence-rq.MinSequence)
	}

	return s * (1 + sc.cfg.Jitter*float64(sc.random(jitterSteps))/jitterSteps)
}

// wait returns the expected time until a slot of the candidate is free, in seconds of work, with
// penalties for a high load and for a long request in the last slot.
func wait(ca *Candidate, rq *Request) float64 {
	own, usual := rq.Work.Own, rq.Work.Usual
	slots := float64(max(ca.Slots-rq.ExtraSlots, 1))
	others := float64(max(0, ca.Running-ca.InFlightReported))
	count := others + float64(ca.InFlight)
	outstanding := restShare * (others*usual + ca.Work)
	rest := max(restShare*usual, rq.Work.Queued) // of each request in flight
	if count > 0 {
		rest = max(outstanding/count, rq.Work.Queued)
	}

	s := riskShare * own * min(count/slots, 1) * min(outstanding/(slots*restShare*usual), 1)
	if count >= slots {
		s += (count - slots + 1) / slots * rest
	} else {
		s += fullProbability(count/slots) * rest / slots
	}
	if rq.Work.Mean > 0 && own > longFactor*rq.Work.Mean && count+1 >= slots {
		s += rest
	}

	return s
}

// fullProbability estimates how likely all slots are in use when the request arrives, given the
// share that was reported: its eighth power. With the fourth, short requests left fast backend
// servers that had two slots free.
func fullProbability(share float64) float64 {
	square := share * share

	return square * square * square * square
}
