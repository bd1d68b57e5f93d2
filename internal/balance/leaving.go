package balance

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/tamarackbay/tamarackbay/internal/registry"
)

const (
	// maxLeaving bounds the leaving backend servers that are remembered, the last ones.
	maxLeaving = 4096
	// leavingReportPause is the pause after a report that no controller took.
	leavingReportPause = 250 * time.Millisecond
)

// leaving holds the incarnations of backend servers whose answers said that they leave. They get
// nothing new from this process, whatever their heartbeats say and also while no controller can
// be reached.
type leaving struct {
	incarnations *lru.Cache[registry.Incarnation, struct{}]
	unreported   []registry.Incarnation
	wake         chan struct{}
}

func newLeaving() leaving {
	incarnations, err := lru.New[registry.Incarnation, struct{}](maxLeaving)
	if err != nil {
		panic(err) // the size is positive
	}

	return leaving{incarnations: incarnations, wake: make(chan struct{}, 1)}
}

// markLeaving records that an answer of a backend server said that it leaves. Requests that run
// there go on.
func (ba *Balancer) markLeaving(re *registry.Record) {
	ba.mu.Lock()
	defer ba.mu.Unlock()

	in := re.Incarnation()
	if found, _ := ba.leaving.incarnations.ContainsOrAdd(in, struct{}{}); found {
		return
	}
	ba.cfg.Meter.Count("servers.leaving")
	ba.cfg.Log.WithFields(log.Fields{"server": in.ID, "born": in.BornMs, "service": re.Service}).Info("backend server says that it leaves, it gets no new requests")
	if se := ba.services[re.Service]; se != nil {
		for i, sv := range se.servers {
			se.cands[i].IsReady = ba.isReady(&sv.record)
		}
	}
	if ba.cfg.ReportLeaving == nil {
		return
	}
	ba.leaving.unreported = append(ba.leaving.unreported, in)
	select {
	case ba.leaving.wake <- struct{}{}:
	default:
	}
}

// Run reports the backend servers that leave to the controllers, until ctx ends.
func (ba *Balancer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		in, ok := ba.nextUnreported()
		if !ok {
			select {
			case <-ba.leaving.wake:
			case <-ctx.Done():
			}

			continue
		}
		if err := ba.cfg.ReportLeaving(ctx, in); err != nil {
			ba.cfg.Log.WithError(err).WithField("server", in.ID).Warn("no controller recorded that a backend server leaves, it will be reported again")
			select {
			case <-time.After(leavingReportPause):
			case <-ctx.Done():
			}

			continue
		}
		ba.mu.Lock()
		ba.leaving.unreported = slices.DeleteFunc(ba.leaving.unreported, func(o registry.Incarnation) bool { return o == in })
		ba.mu.Unlock()
	}
}

func (ba *Balancer) nextUnreported() (registry.Incarnation, bool) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	if len(ba.leaving.unreported) == 0 {
		return registry.Incarnation{}, false
	}

	return ba.leaving.unreported[0], true
}
