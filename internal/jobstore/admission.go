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
	// ledgerShare is the divisor of a store's memory that gives what the ledger of jobs may take. A store
	// holds it once as the ledger, once as entries of the log, twice while a snapshot is written or read,
	// and as much again until the garbage collector has run.
	ledgerShare = 10
	// defaultLedgerBytes is that bound where the store's memory is not known.
	defaultLedgerBytes = 32 << 20
	// smallJobBytes is the size up to which jobs may use all of the ledger; larger ones leave a part of
	// 1/smallJobsShare to them.
	smallJobBytes  = 256 << 10
	smallJobsShare = 4
	// calmShare is the divisor of the ledger that gives the use up to which a job counts as the only one.
	calmShare = 8
	// workspaceShare is the divisor of the ledger that gives what the large jobs of one workspace may take.
	workspaceShare = 2
	// fullRetryAfter is the time after which a refused job may come back: jobs end, and are forgotten some
	// time later.
	fullRetryAfter = 2 * time.Second
	// refusalLogPeriod is the shortest time between two log lines about refused jobs.
	refusalLogPeriod = time.Second
)

// ledgerUse is what the jobs in the ledger take, and the part of one workspace, in bytes.
type ledgerUse struct{ all, own int }

// admission bounds the memory of the jobs that a store accepts. It is safe for concurrent use.
type admission struct {
	capacity int
	meter    *meter.Meter
	log      log.Interface
	logs     *rate.Limiter

	mu      sync.Mutex
	pending map[string]int // bytes of jobs that are being committed, by ID
}

func newAdmission(memory int64, me *meter.Meter, lo log.Interface) *admission {
	ad := &admission{
		capacity: int(memory / ledgerShare), meter: me, log: lo, logs: rate.NewLimiter(rate.Every(refusalLogPeriod), 1), pending: map[string]int{},
	}
	if ad.capacity <= 0 {
		ad.capacity = defaultLedgerBytes
	}

	return ad
}

// reserve takes room for a job. It returns false if there is none. The caller calls release once the
// job is in the ledger or was refused.
func (ad *admission) reserve(sp *job.Spec, use ledgerUse) bool {
	size := sp.Bytes()
	ad.mu.Lock()
	defer ad.mu.Unlock()

	if _, ok := ad.pending[sp.ID]; ok {
		return true // sent again while it is being committed
	}
	for _, n := range ad.pending {
		use.all += n
	}
	limit := ad.capacity
	// A lone job may be as large as a body can be.
	if size > smallJobBytes && use.all > ad.capacity/calmShare {
		limit -= ad.capacity / smallJobsShare
		if use.own > 0 && use.own+size > ad.capacity/workspaceShare {
			return false
		}
	}
	if use.all+size > limit {
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
func (ad *admission) refuse(sp *job.Spec, use ledgerUse) error {
	ad.meter.Count("jobs.refused")
	if ad.logs.Allow() {
		ad.log.WithFields(log.Fields{
			"job": sp.ID, "workspace": sp.Workspace, "bytes": sp.Bytes(), "ledgerBytes": use.all, "workspaceBytes": use.own, "limitBytes": ad.capacity,
		}).Warn("job refused, the ledger has no room for it")
	}

	return result.New(result.ProcessOverloaded, "jobstore: the jobs take %d of %d bytes, %d of them those of the workspace; this one takes %d", use.all, ad.capacity, use.own, sp.Bytes()).
		WithExecution(result.NotRun).WithRetryAfter(fullRetryAfter)
}

// admit returns an error if there is no room for a job that is not known yet.
func (st *Store) admit(ctx context.Context, sp *job.Spec) error {
	use, isKnown := st.ledgerUse(sp)
	if isKnown || st.admission.reserve(sp, use) {
		return nil
	}
	// An earlier leader may have accepted the job, which this store applies before the barrier ends.
	if err := st.barrier(ctx); err != nil {
		return err
	}
	if use, isKnown = st.ledgerUse(sp); isKnown || st.admission.reserve(sp, use) {
		return nil
	}

	return st.admission.refuse(sp, use)
}

// ledgerUse returns what the ledger holds, and whether a job is in it.
func (st *Store) ledgerUse(sp *job.Spec) (use ledgerUse, isKnown bool) {
	st.group.Read(func(ma *statemachine.Machine) {
		use.all, use.own = ma.Jobs().Bytes(sp.Workspace)
		isKnown = ma.Jobs().Jobs()[sp.ID] != nil
	})

	return use, isKnown
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
