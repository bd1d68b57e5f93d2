package ingress

import (
	"context"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/quarantine"
)

// identify sets the fingerprint of the request: what its caller sends again when it
// repeats the request. IDs, deadlines and other headers differ between repetitions.
func (rs *requestState) identify() string {
	if rs.fingerprint == "" {
		rq := rs.rq
		rs.fingerprint = quarantine.Fingerprint(rs.workspace, rq.Method, rq.Host, rq.Target, string(rq.Body))
	}

	return rs.fingerprint
}

// recordBreak logs that the connection of a run broke after the event lastEvent, 0 for
// none.
func (rs *requestState) recordBreak(ctx context.Context, gr *balance.Grant, lastEvent uint64) {
	if ctx.Err() != nil {
		return // cut by this process
	}
	re := gr.Record()
	rs.in.cfg.Meter.Count("request.brokenOff")
	rs.in.cfg.Log.WithFields(log.Fields{
		"request": rs.rq.ID, "fingerprint": rs.identify(), "server": re.ID, "born": re.BornMs, "attempt": rs.sentCount, "lastEvent": lastEvent,
	}).Warn("connection to the backend server broke during a request")
}
