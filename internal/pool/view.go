package pool

// Demand is this gateway's load on a pool, from which the fleet computes the pool's size.
type Demand struct {
	Waiting int // requests, including those recently refused for lack of a backend server, as they are retried
	Running int // in flight from this gateway
}

// Demand returns the requests that run and wait. Each call ends a period; refusals
// count for the period in which they happen and the next one.
func (po *Pool) Demand() Demand {
	po.mu.Lock()
	defer po.mu.Unlock()

	de := Demand{Waiting: po.queue.Len() + po.refused + po.refusedBefore}
	po.refusedBefore, po.refused = po.refused, 0
	for i := range po.cands {
		de.Running += po.cands[i].InFlight
	}

	return de
}

// Gateways returns the number of gateways that share the backend servers.
func (po *Pool) Gateways() int {
	po.mu.Lock()
	defer po.mu.Unlock()

	return po.gateways
}

// Find returns the backend server with the name and whether it is known.
func (po *Pool) Find(name string) (*Server, bool) {
	po.mu.Lock()
	defer po.mu.Unlock()

	i, ok := po.byName[name]
	if !ok {
		return nil, false
	}

	return po.servers[i], true
}

// Infos returns the state of all backend servers.
func (po *Pool) Infos() []Info {
	po.mu.Lock()
	defer po.mu.Unlock()

	now := po.cfg.Now()
	out := make([]Info, 0, len(po.servers))
	for i, se := range po.servers {
		an := se.announce
		in := Info{
			Server: se.Name(), Incarnation: se.Incarnation(), Class: an.GetClass(), Serves: an.GetModel() + an.GetService(),
			FailureDomain: an.GetFailureDomain(), State: StateStarting, Slots: int(an.GetSlots()),
			InFlight: po.cands[i].InFlight, Order: an.GetOrder(), HeardAgoMs: (now - se.heardAt).Milliseconds(),
			Failures: po.cands[i].Failures, ChecksFencing: an.GetChecksFencing(),
		}
		if se.lastLoad != nil {
			in.State, in.Version, in.LoadedVersion = se.lastLoad.GetState(), se.lastLoad.GetVersion(), se.lastLoad.GetLoadedVersion()
			in.Running = int(se.lastLoad.GetRunning())
		}
		if now > se.heardAt+po.maxSilence() {
			in.State = StateSuspect
		}
		out = append(out, in)
	}

	return out
}
