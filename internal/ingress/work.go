package ingress

import (
	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/workload"
)

// kind describes the request for the estimate of its work at a service.
func (rs *requestState) kind(service string) *workload.Request {
	return &workload.Request{
		Service: service, Route: rs.ro.Name, Model: rs.rq.Model, Workspace: rs.workspace, BodyBytes: rs.rq.Body.Len(),
	}
}

// estimate returns the expected work of the request at a service.
func (rs *requestState) estimate(service string) workload.Estimate {
	return rs.in.cfg.Workload.Estimate(rs.in.cfg.Now(), rs.kind(service))
}

// learnWork learns the work of a complete request. A stream that the client resumed is not a
// complete one.
func (rs *requestState) learnWork(gr *balance.Grant, oc balance.Outcome) {
	if oc != balance.Succeeded || rs.rq.ResumeAfter > 0 || rs.sentCount > 1 {
		return
	}
	if work := gr.Work(); work > 0 {
		re := gr.Record()
		rs.in.cfg.Workload.Observe(rs.in.cfg.Now(), rs.kind(re.Service), &workload.Result{Seconds: work})
	}
}
