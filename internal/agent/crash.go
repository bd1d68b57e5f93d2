package agent

import (
	"context"
	"fmt"
	"sync"

	"github.com/tamarackbay/tamarackbay/internal/pool"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// crashReport ensures that a crash of one instance of the backend server is
// reported once, with the fingerprints of all requests that were in flight.
type crashReport struct {
	once sync.Once
	done chan struct{}
}

func newCrashReport() *crashReport { return &crashReport{done: make(chan struct{})} }

// reportCrash reports the fingerprints in flight to a gateway and returns when the
// replica group has recorded them or the call has failed. If suspect requests were
// in flight, only those are reported.
func (ag *Agent) reportCrash() {
	ag.mu.Lock()
	cr, instance := ag.crash, ag.status.Instance
	ag.state, ag.versionKnown = pool.StateSuspect, false
	var all, suspects []string
	for w := range ag.inFlight {
		if w.fingerprint == "" {
			continue
		}
		all = append(all, w.fingerprint)
		if w.isSuspect {
			suspects = append(suspects, w.fingerprint)
		}
	}
	ag.mu.Unlock()
	alone := len(suspects) > 0
	if alone {
		all = suspects
	}

	cr.once.Do(func() {
		defer close(cr.done)
		ag.reportToAll()
		if len(all) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		rq := &wire.CrashRequest{Server: fmt.Sprintf("%s/%d/%s", ag.cfg.Server, ag.incarnation, instance), Fingerprints: all, Alone: alone}
		_ = ag.callAny(ctx, MethodCrash, rq, &wire.Empty{})
	})
	<-cr.done
}
