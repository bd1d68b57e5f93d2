package balance

const (
	// unknownWork is the work of a request while none of the service's requests is known.
	unknownWork = 0.05
	// restShare is the share of the work of a request in flight that is still to be done, on
	// average.
	restShare = 0.5
)

// Backlog returns the outstanding work of all processes at the backend servers of a service,
// as far as it is known: that of the requests beyond the slots and that of the requests in the
// slots, in seconds of one slot of a server of usual speed, and how much of it the ready
// servers do per second.
func (ba *Balancer) Backlog(service string) (waiting, inFlight, perSecond float64) {
	ba.mu.Lock()
	defer ba.mu.Unlock()

	se := ba.services[service]
	if se == nil {
		return 0, 0, 0
	}
	now := ba.cfg.Now()
	usual := se.usual.inFlight()
	if usual <= 0 {
		usual = unknownWork
	}
	for i, sv := range se.servers {
		se.refresh(now, i)
		ca := &se.cands[i]
		own := ca.Work
		if own <= 0 {
			own = float64(ca.InFlight) * usual
		}
		others := max(0, ca.Running-ca.InFlightReported)
		count := float64(others + ca.InFlight)
		work, slots := own+float64(others)*usual, float64(sv.record.Slots)
		if count > slots {
			waiting += work * (count - slots) / count
			work *= slots / count
		}
		inFlight += restShare * work
		if !ca.IsReady {
			continue
		}
		slowness := 1.0
		if ca.Slowness > 0 {
			slowness = ca.Slowness
		}
		if ca.Pace > 0 {
			slowness *= ca.Pace
		}
		perSecond += slots / slowness
	}

	return waiting, inFlight, perSecond
}
