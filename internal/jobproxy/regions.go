package jobproxy

import (
	"slices"

	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/routing"
)

// checkServers returns an error if no backend server of a route is ready in one of some regions,
// nil for any.
func (pr *Proxy) checkServers(ro *routing.Route, regions []string) error {
	if regions == nil {
		return nil
	}
	for _, ta := range ro.Targets {
		if ta.Weight > 0 && pr.cfg.Balancer.HasAllowed(ta.Service, regions) {
			return nil
		}
	}

	return result.New(result.NoServerInRegion, "jobproxy: no backend server of route %s is ready in the regions %q", ro.Name, regions).
		WithExecution(result.NotRun).WithRetryAfter(retryAfter)
}

// checkStores returns an error if a job that must stay in some regions, nil for any, cannot be
// stored: no store in one of them is known, or the job would also be sent to a VM outside of them
// and of the client's region. Each store may be or become a member of the group, which sends the
// job to all its members.
func (pr *Proxy) checkStores(regions []string) error {
	if regions == nil {
		return nil
	}
	hasAllowed := false
	for _, st := range pr.cfg.View().Stores {
		re := pr.cfg.RegionOf(st.FailureDomain)
		isAllowed := re != "" && slices.Contains(regions, re)
		if !isAllowed && (re == "" || re != pr.cfg.Region) {
			return result.New(result.NoStoreInRegion, "jobproxy: the store %s is in region %q, the job may be stored in %q", st.Name, re, regions).
				WithExecution(result.NotRun).WithRetryAfter(retryAfter)
		}
		hasAllowed = hasAllowed || isAllowed
	}
	if !hasAllowed {
		return result.New(result.NoStoreInRegion, "jobproxy: no store in the regions %q is known", regions).
			WithExecution(result.NotRun).WithRetryAfter(retryAfter)
	}

	return nil
}
