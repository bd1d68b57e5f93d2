package controller

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/fairshare"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

// MethodShares is the method to which gateways and stores report the use and demand of
// workspaces.
const (
	MethodShares       = "controller.shares"
	methodSharesLeader = "controller.sharesLeader"
)

const (
	// shareTick is how often a process checks whether a report is due.
	shareTick = 100 * time.Millisecond
	// shareTimeout bounds a report. A reply that is later is too old for the decisions it is for.
	shareTimeout = 300 * time.Millisecond
)

// shareDivider divides the services while this replica leads.
type shareDivider struct {
	mu       sync.Mutex
	divider  *fairshare.Divider
	services int // for which anything waited at the last log line
	loggedAt time.Duration
	labels   *meter.Labels
	labeled  map[string]bool // labels whose gauges were set
}

const (
	// maxStandings is the number of workspaces in a log line.
	maxStandings = 5
	// maxWorkspaceLabels bounds the workspaces that have metrics of their own.
	maxWorkspaceLabels = 32
	// shareLogPause is the pause between two log lines about shares.
	shareLogPause = 5 * time.Second
)

func newShareDivider() shareDivider {
	return shareDivider{divider: fairshare.NewDivider(), labels: meter.NewLabels(maxWorkspaceLabels), labeled: map[string]bool{}, loggedAt: -shareLogPause}
}

// logShares logs when services become short of slots and when none is any more. The caller holds
// sd.mu.
func (sd *shareDivider) logShares(now time.Duration, lo log.Interface) {
	services, processes := sd.divider.Services()
	if services == sd.services || now-sd.loggedAt < shareLogPause {
		return
	}
	sd.services, sd.loggedAt = services, now
	lo.WithFields(log.Fields{"services": services, "processes": processes, "workspaces": sd.divider.Standings(maxStandings)}).
		Info("services for which requests wait changed")
}

// measure sets the gauges of the shares. Workspaces that left have gauges of 0.
func (sd *shareDivider) measure(me *meter.Meter) {
	sd.mu.Lock()
	defer sd.mu.Unlock()

	services, processes := sd.divider.Services()
	me.Gauge("shares.services", int64(services))
	me.Gauge("shares.processes", int64(processes))
	sums := map[string]fairshare.Standing{}
	for la := range sd.labeled {
		sums[la] = fairshare.Standing{}
	}
	for _, st := range sd.divider.Standings(math.MaxInt) {
		la := sd.labels.Of(st.Workspace)
		sum := sums[la]
		sums[la] = fairshare.Standing{Use: sum.Use + st.Use, Waiting: sum.Waiting + st.Waiting, Share: sum.Share + st.Share}
		sd.labeled[la] = true
	}
	for la, st := range sums {
		me.Gauge("shares.use."+la, int64(math.Round(st.Use)))
		me.Gauge("shares.waiting."+la, int64(math.Round(st.Waiting)))
		me.Gauge("shares.share."+la, int64(math.Round(st.Share)))
	}
}

// recordShares takes a report and returns the shares if this replica leads.
func (co *Controller) recordShares(_ context.Context, re fairshare.Report) (fairshare.Reply, error) {
	st := co.group.Status()
	if !st.IsSettled {
		return fairshare.Reply{}, errNotBroker
	}
	sd := &co.shares
	sd.mu.Lock()
	defer sd.mu.Unlock()

	now := co.cfg.Now()
	sd.divider.Lead(now, st.Term)

	rep := sd.divider.Report(now, &re, equalWeight)
	sd.logShares(now, co.cfg.Log)

	return rep, nil
}

// equalWeight is the weight of every workspace: the configuration names none.
func equalWeight(string) float64 { return 1 }

// shareHandlers returns the handlers of reports. A replica that does not lead forwards them to
// the leader once.
func (co *Controller) shareHandlers() peer.Mux {
	return peer.Mux{
		MethodShares:       handleBroker(co, methodSharesLeader, co.recordShares),
		methodSharesLeader: handleBroker(co, "", co.recordShares),
	}
}

// RunShares reports what a holder counted, until ctx ends.
func (cl *Client) RunShares(ctx context.Context, ho *fairshare.Holder, now func() time.Duration, lo log.Interface) {
	isSilent := false
	for ctx.Err() == nil {
		select {
		case <-time.After(shareTick):
		case <-ctx.Done():
			return
		}
		re := ho.NextReport(now())
		if re == nil {
			continue
		}
		var rep fairshare.Reply
		cctx, cancel := context.WithTimeout(ctx, shareTimeout)
		err := cl.Call(cctx, MethodShares, re, &rep)
		cancel()
		if err == nil {
			ho.Apply(now(), &rep)
		}
		if (err != nil) != isSilent && ctx.Err() == nil {
			isSilent = err != nil
			if isSilent {
				lo.WithField("error", result.From(err).Error()).Warn("no controller returned shares, slots are divided among this process's requests alone")
			} else {
				lo.Info("shares are returned again")
			}
		}
	}
}
