package ingress

import (
	"fmt"
	"slices"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/routing"
)

// apply handles the request by what a configuration holds for it from now on.
func (rs *requestState) apply(en entry) {
	rs.table, rs.ro, rs.configAgeMs = en.table, en.route, rs.in.configAgeMs()
	rs.workspace = ""
	if en.workspace != nil {
		rs.workspace = en.workspace.Name
	}
	rs.urgency, rs.regions = en.route.Urgency(en.workspace), en.route.AllowedRegions(en.workspace)
}

// checkFresh returns an error if this process may lack changes that are in force, so that no attempt may be made.
func (rs *requestState) checkFresh() error {
	if err := rs.in.cfg.Fresh(); err != nil {
		return rs.endAttempts(err)
	}

	return nil
}

// renew handles the request by the configuration in force. It returns an error if no attempt may be made.
func (rs *requestState) renew() error {
	if err := rs.checkFresh(); err != nil || rs.in.cfg.Table() == rs.table {
		return err
	}
	stale := rs.in.cfg.Current() // before the table, which is then at least as recent
	ta := rs.in.cfg.Table()
	en, err := lookUp(ta, stale, rs.rq.Host, rs.rq.Path, rs.rq.Key)
	if err == nil && (en.route.IsStreaming != rs.ro.IsStreaming || en.route.Kind == routing.Batch) {
		err = result.New(result.StaleProcess, "ingress: route %q has changed the way of answering in configuration version %d", en.route.Name, ta.Version()).
			WithRetryAfter(defaultRetryAfter)
	}
	if err != nil {
		return rs.endAttempts(err)
	}
	rs.apply(en)
	if rs.mayHaveRun && (!rs.canRetry() || (rs.origin != nil && !rs.ro.IsResumable)) {
		return rs.endAttempts(fmt.Errorf("ingress: route %q allows no further attempt in configuration version %d", rs.ro.Name, ta.Version()))
	}

	return nil
}

// endAttempts returns the error of a request for which no attempt may be made because of err: that of the last one
// if one may have run.
func (rs *requestState) endAttempts(err error) error {
	rs.in.cfg.Log.WithError(err).WithFields(log.Fields{"request": rs.rq.ID, "servers": rs.tried}).Info("no attempt is made: this process may lack changes, or the configuration was replaced")
	if rs.mayHaveRun {
		return rs.lastErr
	}

	return err
}

// allows reports whether the request may use a slot that it acquired while it was allowed in some regions.
func (rs *requestState) allows(gr *balance.Grant, regions []string) bool {
	return rs.ro.Allows(gr.Record().Service) && (rs.regions == nil) == (regions == nil) && slices.Equal(rs.regions, regions)
}
