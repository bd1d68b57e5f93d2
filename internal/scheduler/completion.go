package scheduler

const (
	// unknownWork stands for the work of a request of which nothing is known: all terms of the
	// expected time are then multiples of it.
	unknownWork = 0.05
	// connectSeconds is how long a new connection takes.
	connectSeconds = 0.001
	// restShare is the share of the work of a request in flight that is still to be done, on
	// average.
	restShare = 0.5
	// failureShare is the penalty for each failure, as a share of the request's work.
	failureShare = 0.3
	// versionShare is the bonus for each newer weight version, where newer ones come first.
	versionShare = 0.5
	// jitterSteps is the number of different values of the jitter.
	jitterSteps = 1024
)

// completion returns the expected time until the request is complete at a candidate, in
// seconds, with the costs of a new connection and of another failure domain. It consists of
//   - the wait for a slot, if the outstanding requests of all processes fill the candidate,
//   - the risk that they do so when the request arrives, as reports lag: it grows with the
//     outstanding work and with the share of the slots in use,
//   - the request's own work, less the prompt where the candidate holds it,
//
// all multiplied by the lasting slowness and the momentary pace. A small random part spreads
// the requests of many processes that see the same candidates.
func (sc *Scheduler) completion(ca *Candidate, i int, rq *Request) float64 {
	own := rq.Work.Own
	if own <= 0 {
		own = rq.Work.Usual
	}
	if own <= 0 {
		own = unknownWork
	}
	usual := rq.Work.Usual
	if usual <= 0 {
		usual = own
	}
	slots := float64(max(ca.Slots, 1))
	others := float64(max(0, ca.Running-ca.InFlightReported))
	count := others + float64(ca.InFlight)
	outstanding := restShare * (others*usual + ca.Work)

	s := outstanding / slots * min(count/slots, 1)
	if count >= slots {
		s += (count - slots + 1) / slots * max(outstanding/count, rq.Work.Queued)
	}
	if i == rq.Affinity {
		s += max(own-rq.Work.Prompt, 0)
	} else {
		s += own
	}
	s *= factor(ca.Slowness) * factor(ca.Pace)

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

// factor returns a ratio, or 1 if it is not known.
func factor(v float64) float64 {
	if v <= 0 {
		return 1
	}

	return v
}
