package controller

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/fairshare"
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
	mu      sync.Mutex
	divider *fairshare.Divider
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

	return sd.divider.Report(now, &re, equalWeight), nil
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
