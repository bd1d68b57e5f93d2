// Package lease implements leases for work that only one process may do at a time.
// A lease carries a fencing number that never decreases. The replicated state does
// not decide whether a lease has expired: a candidate watches the renewal number with
// its own monotonic clock and sends the last one it observed, so that its request
// fails if the holder has renewed the lease meanwhile.
package lease

import (
	"slices"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

// Lease is the replicated state of one lease.
type Lease struct {
	Name    string `cbor:"1,keyasint" json:"name"`
	Holder  string `cbor:"2,keyasint" json:"holder"` // "" when released
	Fencing uint64 `cbor:"3,keyasint" json:"fencing"`
	Renewal uint64 `cbor:"4,keyasint" json:"renewal"`
	Nonce   string `cbor:"5,keyasint" json:"-"` // of the command that acquired it
	// Former are the processes that may have acted as the holder within Timing.ReacquireDelay,
	// in the order in which they stopped.
	Former []string `cbor:"6,keyasint,omitempty" json:"former,omitempty"`
}

// withFormer returns the former holders once the current one, if any, is among them.
func (le *Lease) withFormer() []string {
	if le.Holder == "" || slices.Contains(le.Former, le.Holder) {
		return le.Former
	}

	return append(slices.Clone(le.Former), le.Holder)
}

// Acquire requests a lease; SeenFencing and SeenRenewal are its last observed state.
type Acquire struct {
	Name        string `cbor:"1,keyasint"`
	Holder      string `cbor:"2,keyasint"`
	SeenFencing uint64 `cbor:"3,keyasint"`
	SeenRenewal uint64 `cbor:"4,keyasint"`
	Nonce       string `cbor:"5,keyasint"`
}

// Renew extends a lease.
type Renew struct {
	Name    string `cbor:"1,keyasint"`
	Fencing uint64 `cbor:"2,keyasint"`
	Renewal uint64 `cbor:"3,keyasint"` // the number that this renewal sets
	// ForgetsFormer is set once the holder has held the lease for Timing.ReacquireDelay.
	ForgetsFormer bool `cbor:"4,keyasint,omitempty"`
}

// Release ends a lease at once.
type Release struct {
	Name    string `cbor:"1,keyasint"`
	Fencing uint64 `cbor:"2,keyasint"`
}

// Table holds all leases of a group.
type Table struct {
	leases map[string]Lease
}

// NewTable returns a table of the given leases, which may be nil.
func NewTable(leases map[string]Lease) *Table {
	if leases == nil {
		leases = map[string]Lease{}
	}

	return &Table{leases: leases}
}

// Leases returns all leases for a snapshot.
func (ta *Table) Leases() map[string]Lease { return ta.leases }

// Get returns the lease called name; apart from the name it is zero if it was never held.
func (ta *Table) Get(name string) Lease {
	le := ta.leases[name]
	le.Name = name

	return le
}

// Acquire assigns the lease to a new holder and increments the fencing number. It
// fails if the lease has changed since the candidate observed it.
func (ta *Table) Acquire(ac Acquire) (Lease, error) {
	le := ta.Get(ac.Name)
	if le.Nonce == ac.Nonce && ac.Nonce != "" {
		return le, nil // a retry of the same command
	}
	if le.Fencing != ac.SeenFencing || le.Renewal != ac.SeenRenewal {
		return le, result.New(result.LeaseTaken, "lease %s: held by %q under fencing number %d", ac.Name, le.Holder, le.Fencing)
	}

	former := le.withFormer()
	if i := slices.Index(former, ac.Holder); i >= 0 {
		former = slices.Delete(slices.Clone(former), i, i+1)
	}
	le = Lease{Name: ac.Name, Holder: ac.Holder, Fencing: le.Fencing + 1, Renewal: le.Renewal + 1, Nonce: ac.Nonce, Former: former}
	ta.leases[ac.Name] = le

	return le, nil
}

// Renew raises the renewal number; it fails unless the caller holds the lease.
func (ta *Table) Renew(re Renew) (Lease, error) {
	le := ta.Get(re.Name)
	if err := ta.Check(re.Name, re.Fencing); err != nil {
		return le, err
	}

	le.Renewal = max(le.Renewal, re.Renewal)
	if re.ForgetsFormer {
		le.Former = nil
	}
	ta.leases[re.Name] = le

	return le, nil
}

// Release frees the lease, so that the next holder need not wait for it to expire. It
// does nothing unless the fencing number is the current one.
func (ta *Table) Release(re Release) (Lease, error) {
	le := ta.Get(re.Name)
	if le.Fencing == re.Fencing && le.Holder != "" {
		le.Former = le.withFormer()
		le.Holder = ""
		le.Renewal++
		ta.leases[re.Name] = le
	}

	return le, nil
}

// Check returns an error unless the lease is held under this fencing number.
func (ta *Table) Check(name string, fencing uint64) error {
	le := ta.leases[name]
	if le.Holder == "" || le.Fencing != fencing {
		return result.New(result.LeaseLost, "lease %s: not held under fencing number %d, the current one is %d", name, fencing, le.Fencing)
	}

	return nil
}

// Timing holds the time limits of a lease.
type Timing struct {
	Duration time.Duration // how long a holder may act after it sent an acquire or a renewal
	MaxCall  time.Duration // longest outside call of a holder
	Drift    float64       // largest relative clock drift between two processes
	// ReacquireDelay is the shortest time between the last act of a holder that another process
	// followed and its next one; 0 for no such limit. It keeps two holders from taking turns
	// where what they act on does not check fencing numbers.
	ReacquireDelay time.Duration
}

// DefaultTiming returns the time limits for current deployments.
func DefaultTiming() Timing {
	return Timing{Duration: 3 * time.Second, MaxCall: time.Second, Drift: 0.01}
}

// AcquireDelay returns how long a candidate must observe no renewal before it may acquire the
// lease: the duration and the longest call, plus the drift of both clocks.
func (ti Timing) AcquireDelay() time.Duration {
	return time.Duration(float64(ti.Duration+ti.MaxCall) * (1 + 2*ti.Drift))
}

// Keeper decides for one process when to acquire, renew and release a lease. It does
// no input or output: time is an argument and actions are returned. It is not safe
// for concurrent use.
type Keeper struct {
	name   string
	holder string
	timing Timing
	nonce  func() string

	seen      Lease         // last observed state
	seenSince time.Duration // when that state was first observed
	observed  bool          // whether any state was observed

	formerSince time.Duration // when this process was first observed among the former holders
	isFormer    bool

	held           bool
	heldSince      time.Duration // when this process acquired the lease
	fencing        uint64
	renewal        uint64
	heldUntil      time.Duration // when this process's lease expires
	requestPending bool          // an acquire or renewal has no result yet
	requestSentAt  time.Duration
	stopped        bool // the lease is to be released and not acquired again
}

// Action is the command that the caller must propose; one field is set.
type Action struct {
	Acquire *Acquire
	Renew   *Renew
	Release *Release
}

// NewKeeper returns a keeper of the lease called name for the process holder.
func NewKeeper(name, holder string, timing Timing, nonce func() string) *Keeper {
	return &Keeper{name: name, holder: holder, timing: timing, nonce: nonce}
}

// Observe records the state of the lease as applied by the local replica.
func (ke *Keeper) Observe(now time.Duration, le Lease) {
	if !ke.observed || le.Fencing != ke.seen.Fencing || le.Renewal != ke.seen.Renewal || le.Holder != ke.seen.Holder {
		ke.seen, ke.seenSince, ke.observed = le, now, true
	}
	if ke.held && le.Fencing > ke.fencing {
		ke.held = false
	}
	ke.observeFormer(now, le)
}

// observeFormer notes since when this process is known to be a former holder. A process that
// was restarted counts from its first observation, since it doesn't know when it last acted.
func (ke *Keeper) observeFormer(now time.Duration, le Lease) {
	i := slices.Index(le.Former, ke.holder)
	isFormer := i >= 0 && (le.Holder != "" || i < len(le.Former)-1) // nobody followed the last one
	if isFormer && !ke.isFormer {
		ke.formerSince = now
	}
	ke.isFormer = isFormer
}

// reacquireDelay is Timing.ReacquireDelay on the fastest clock.
func (ke *Keeper) reacquireDelay() time.Duration {
	return time.Duration(float64(ke.timing.ReacquireDelay) * (1 + 2*ke.timing.Drift))
}

// Next returns the action that is due.
func (ke *Keeper) Next(now time.Duration) (Action, bool) {
	if ke.requestPending || !ke.observed {
		return Action{}, false
	}
	if ke.held && ke.stopped {
		ke.held = false

		return Action{Release: &Release{Name: ke.name, Fencing: ke.fencing}}, true
	}
	if ke.stopped {
		return Action{}, false
	}
	if ke.held && now < ke.heldUntil {
		if ke.heldUntil-now > 2*ke.timing.Duration/3 {
			return Action{}, false
		}
		// Each renewal sends a new number: a candidate must be able to observe every
		// renewal from which the holder counts its lease.
		ke.renewal++
		ke.requestPending, ke.requestSentAt = true, now

		forgets := len(ke.seen.Former) > 0 && now >= ke.heldSince+ke.reacquireDelay()

		return Action{Renew: &Renew{Name: ke.name, Fencing: ke.fencing, Renewal: ke.renewal, ForgetsFormer: forgets}}, true
	}

	ke.held = false
	if ke.isFormer && now < ke.formerSince+ke.reacquireDelay() {
		return Action{}, false
	}
	if ke.seen.Holder != "" && now < ke.seenSince+ke.timing.AcquireDelay() {
		return Action{}, false
	}
	ke.requestPending, ke.requestSentAt = true, now

	return Action{Acquire: &Acquire{
		Name: ke.name, Holder: ke.holder, SeenFencing: ke.seen.Fencing, SeenRenewal: ke.seen.Renewal, Nonce: ke.nonce(),
	}}, true
}

// HandleResult records the result of the last acquire or renewal.
func (ke *Keeper) HandleResult(now time.Duration, le Lease, err error) {
	ke.requestPending = false
	if err != nil {
		if result.Is(err, result.LeaseLost) || result.Is(err, result.LeaseTaken) {
			ke.held = false
			ke.seen, ke.seenSince = le, now
			ke.observeFormer(now, le)
		}

		return
	}

	if !ke.held || le.Fencing != ke.fencing {
		ke.heldSince = now
	}
	ke.held, ke.fencing, ke.renewal = true, le.Fencing, max(ke.renewal, le.Renewal)
	ke.heldUntil = ke.requestSentAt + ke.timing.Duration
	ke.seen, ke.seenSince = le, now
}

// Held returns the fencing number, and whether an outside call that takes at most
// MaxCall may start now.
func (ke *Keeper) Held(now time.Duration) (uint64, bool) {
	return ke.fencing, ke.held && !ke.stopped && now < ke.heldUntil
}

// Stop makes the keeper release the lease at the next call of Next.
func (ke *Keeper) Stop() { ke.stopped = true }
