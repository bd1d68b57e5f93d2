package jobstore

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"github.com/tamarackbay/tamarackbay/internal/job"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
)

const (
	// submittedShare is the divisor of a store's memory that gives what items may take whose results are
	// not listed. Clients decide how much they send at once, and a store holds it once as the ledger, once
	// as entries of the log, twice while a snapshot is written or read, and as much again until the garbage
	// collector has run.
	submittedShare = 10
	// ledgerShare is the divisor that gives what the ledger may take with its results, which are kept for
	// job.RetentionPeriod and grow with the pace of the backend servers.
	ledgerShare = 3
	// defaultMemoryBytes is the memory of a store where it is not known.
	defaultMemoryBytes = 300 << 20
	// smallJobBytes is the size up to which jobs may use all of the room for submitted items; larger ones
	// leave a part of 1/smallJobsShare to them.
	smallJobBytes  = 256 << 10
	smallJobsShare = 4
	// calmShare is the divisor of that room that gives the use up to which a job counts as the only one.
	calmShare = 8
	// workspaceShare is the divisor of it that gives what the large jobs of one workspace may take.
	workspaceShare = 2
	// fullRetryAfter is the time after which a refused job may come back: jobs end, and are forgotten some
	// time later.
	fullRetryAfter = 2 * time.Second
	// refusalLogPeriod is the shortest time between two log lines about refused jobs.
	refusalLogPeriod = time.Second
)

// admission bounds the memory of the jobs that a store accepts. It is safe for concurrent use.
type admission struct {
	maxSubmitted int
	maxTotal     int
	meter        *meter.Meter
	log          log.Interface
	logs         *rate.Limiter

	mu      sync.Mutex
	pending map[string]int // bytes of jobs that are being committed, by ID
}

func newAdmission(memory int64, me *meter.Meter, lo log.Interface) *admission {
	if memory <= 0 {
		memory = defaultMemoryBytes
	}

	return &admission{
		maxSubmitted: int(memory / submittedShare), maxTotal: int(memory / ledgerShare),
		meter: me, log: lo, logs: rate.NewLimiter(rate.Every(refusalLogPeriod), 1), pending: map[string]int{},
	}
}

// reserve takes room for a job. It returns false if there is none. The caller calls release once the
// job is in the ledger or was refused.
func (ad *admission) reserve(sp *job.Spec, us job.Use) bool {
	size := sp.Bytes()
	ad.mu.Lock()
	defer ad.mu.Unlock()

	if _, ok := ad.pending[sp.ID]; ok {
		return true // sent again while it is being committed
	}
	for _, n := range ad.pending {
		us.Total += n
		us.Submitted += n
	}
	limit := ad.maxSubmitted
	// A lone job may be as large as a body can be.
	if size > smallJobBytes && us.Submitted > limit/calmShare {
		if us.Own > 0 && us.Own+size > limit/workspaceShare {
			return false
		}
		limit -= limit / smallJobsShare
	}
	if us.Submitted+size > limit || us.Total+size > ad.maxTotal {
		return false
	}
	ad.pending[sp.ID] = size

	return true
}

func (ad *admission) release(id string) {
	ad.mu.Lock()
	defer ad.mu.Unlock()

	delete(ad.pending, id)
}

// refuse counts and logs a refused job and returns its error.
func (ad *admission) refuse(sp *job.Spec, us job.Use) error {
	ad.meter.Count("jobs.refused")
	if ad.logs.Allow() {
		ad.log.WithFields(log.Fields{
			"job": sp.ID, "workspace": sp.Workspace, "bytes": sp.Bytes(), "ledgerBytes": us.Total, "ledgerLimit": ad.maxTotal,
			"submittedBytes": us.Submitted, "workspaceBytes": us.Own, "submittedLimit": ad.maxSubmitted,
		}).Warn("job refused, the ledger has no room for it")
	}

	return result.New(result.ProcessOverloaded, "jobstore: items without results take %d of %d bytes, %d of them those of the workspace, the ledger %d of %d; this job takes %d",
		us.Submitted, ad.maxSubmitted, us.Own, us.Total, ad.maxTotal, sp.Bytes()).
		WithExecution(result.NotRun).WithRetryAfter(fullRetryAfter)
}

// admit returns an error if there is no room for a job that is not known yet.
func (st *Store) admit(ctx context.Context, sp *job.Spec) error {
	us, isKnown := st.useOfJobs(sp)
	if isKnown || st.admission.reserve(sp, us) {
		return nil
	}
	// An earlier leader may have accepted the job, which this store applies before the barrier ends.
	if err := st.barrier(ctx); err != nil {
		return err
	}
	if us, isKnown = st.useOfJobs(sp); isKnown || st.admission.reserve(sp, us) {
		return nil
	}

	return st.admission.refuse(sp, us)
}

// useOfJobs returns what the jobs in the ledger take, and whether a job is one of them.
func (st *Store) useOfJobs(sp *job.Spec) (us job.Use, isKnown bool) {
	st.group.Read(func(ma *statemachine.Machine) {
		us = ma.Jobs().Use(sp.Workspace)
		isKnown = ma.Jobs().Jobs()[sp.ID] != nil
	})

	return us, isKnown
}

// submit accepts a job.
func (st *Store) submit(ctx context.Context, su *job.Submit) (any, error) {
	if err := st.admit(ctx, &su.Spec); err != nil {
		return nil, err
	}
	defer st.admission.release(su.Spec.ID)
	if err := st.group.ProposeLocal(ctx, statemachine.KindSubmitJob, su, nil); err != nil {
		return nil, err
	}
	st.cfg.Log.WithFields(log.Fields{"job": su.Spec.ID, "items": len(su.Spec.Items)}).Info("job accepted")

	return nil, nil
}
