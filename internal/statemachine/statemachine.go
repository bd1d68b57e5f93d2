// Package statemachine is the replicated state machine of a consensus group. It applies
// the commands of the log to the state of each domain (configuration, leases, orders,
// steps and so on). It never reads a clock: the time is a field of the command.
package statemachine

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/departure"
	"github.com/tamarackbay/tamarackbay/internal/evacuation"
	"github.com/tamarackbay/tamarackbay/internal/idempotency"
	"github.com/tamarackbay/tamarackbay/internal/intent"
	"github.com/tamarackbay/tamarackbay/internal/job"
	"github.com/tamarackbay/tamarackbay/internal/lease"
	"github.com/tamarackbay/tamarackbay/internal/quarantine"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/roster"
	"github.com/tamarackbay/tamarackbay/internal/routing"
	"github.com/tamarackbay/tamarackbay/internal/step"
	"github.com/tamarackbay/tamarackbay/internal/usage"
	"github.com/tamarackbay/tamarackbay/internal/weights"
)

// Registration is the address of a replica, and the command that records it.
type Registration struct {
	Replica       consensus.ReplicaID `cbor:"1,keyasint" json:"replica"`
	Name          string              `cbor:"2,keyasint" json:"name"`
	Address       string              `cbor:"3,keyasint" json:"address"`
	FailureDomain string              `cbor:"4,keyasint" json:"failureDomain"`
}

// Delta is one change of the state that subscribers follow: the configuration and
// the quarantine. Revision is its position in the log.
type Delta struct {
	Revision   uint64                      `cbor:"1,keyasint"`
	Change     *declaration.Change         `cbor:"2,keyasint,omitempty"`
	Quarantine map[string]quarantine.Entry `cbor:"3,keyasint,omitempty"`
}

// maxRetainedDeltas is the number of changes that a subscriber may lag behind before
// it needs the full state.
const maxRetainedDeltas = 4096

// Machine is the state of a group after the log entries applied so far. It is not
// safe for concurrent use.
type Machine struct {
	applied       uint64 // position of the last entry applied
	atMs          int64  // latest time of a command, Unix milliseconds
	configuration *declaration.Configuration
	leases        *lease.Table
	intents       *intent.Log
	steps         *step.Ledger
	calls         *idempotency.Ledger
	usage         *usage.Ledger
	quarantine    *quarantine.State
	replicas      map[consensus.ReplicaID]Registration
	routing       *routing.State
	versions      *weights.VersionTable
	roster        *roster.Roster
	jobs          *job.Ledger
	evacuations   *evacuation.State
	departures    *departure.State

	deltas      []Delta
	deltasAfter uint64 // position after which deltas holds every change
	revision    uint64 // position of the last change that subscribers follow

	commandBytes  uint64 // size of the commands since a snapshot was due by it
	isSnapshotDue bool   // after the last entry applied
}

// New returns the state before the first log entry.
func New() *Machine {
	ma, err := restore(snapshot{})
	if err != nil {
		panic(err) // the empty snapshot is valid
	}

	return ma
}

// Applied returns the position of the last entry applied.
func (ma *Machine) Applied() uint64 { return ma.applied }

// TimeMs returns the time of the log after the last entry applied, in Unix milliseconds.
func (ma *Machine) TimeMs() int64 { return ma.atMs }

// Revision returns the position of the last change that subscribers follow.
func (ma *Machine) Revision() uint64 { return ma.revision }

// Configuration returns the configuration.
func (ma *Machine) Configuration() *declaration.Configuration { return ma.configuration }

// Leases returns the leases.
func (ma *Machine) Leases() *lease.Table { return ma.leases }

// Intents returns the log of intents to order backend servers.
func (ma *Machine) Intents() *intent.Log { return ma.intents }

// Steps returns the ledger of the trainers' steps.
func (ma *Machine) Steps() *step.Ledger { return ma.steps }

// Calls returns the ledger of calls that may not be repeated.
func (ma *Machine) Calls() *idempotency.Ledger { return ma.calls }

// Usage returns the ledger of usage windows.
func (ma *Machine) Usage() *usage.Ledger { return ma.usage }

// Quarantine returns the fingerprints of suspect and refused requests.
func (ma *Machine) Quarantine() *quarantine.State { return ma.quarantine }

// Replicas returns the registered addresses of replicas.
func (ma *Machine) Replicas() map[consensus.ReplicaID]Registration { return ma.replicas }

// Routing returns the routing configuration by host and path.
func (ma *Machine) Routing() *routing.State { return ma.routing }

// Versions returns the newest recorded weight version of each model.
func (ma *Machine) Versions() *weights.VersionTable { return ma.versions }

// Roster returns the VMs that store batch jobs.
func (ma *Machine) Roster() *roster.Roster { return ma.roster }

// Jobs returns the ledger of batch jobs.
func (ma *Machine) Jobs() *job.Ledger { return ma.jobs }

// Evacuations returns the evacuated failure domains.
func (ma *Machine) Evacuations() *evacuation.State { return ma.evacuations }

// Departures returns the incarnations of backend servers that take nothing new.
func (ma *Machine) Departures() *departure.State { return ma.departures }

// Skip records an entry without a command as applied.
func (ma *Machine) Skip(index uint64) {
	ma.applied = index
	ma.count(0)
}

// Apply applies the command at index and returns its encoded reply.
func (ma *Machine) Apply(index uint64, command []byte) []byte {
	ma.applied = index
	ma.count(len(command))
	if len(command) < commandHeaderBytes {
		return encodeReply(nil, result.New(result.Internal, "statemachine: command of %d bytes is shorter than its header", len(command)))
	}

	ma.atMs = max(ma.atMs, int64(binary.LittleEndian.Uint64(command[1:])))
	h, ok := handlers[Kind(command[0])]
	if !ok {
		return encodeReply(nil, result.New(result.Internal, "statemachine: unknown command kind %d", command[0]))
	}

	return encodeReply(h(ma, command[commandHeaderBytes:]))
}

// handle returns a handler that decodes the body of a command and applies it.
func handle[T any](apply func(ma *Machine, body T) (any, error)) func(ma *Machine, raw []byte) (any, error) {
	return func(ma *Machine, raw []byte) (any, error) {
		var body T
		if err := cbor.Unmarshal(raw, &body); err != nil {
			return nil, result.New(result.Internal, "statemachine: decode body of command: %v", err)
		}

		return apply(ma, body)
	}
}

var handlers = map[Kind]func(ma *Machine, raw []byte) (any, error){
	KindPatch:        handle((*Machine).patch),
	KindAcquireLease: handle(func(ma *Machine, c lease.Acquire) (any, error) { return ma.leases.Acquire(c) }),
	KindRenewLease:   handle(func(ma *Machine, c lease.Renew) (any, error) { return ma.leases.Renew(c) }),
	KindReleaseLease: handle(func(ma *Machine, c lease.Release) (any, error) { return ma.leases.Release(c) }),
	KindOpenIntent:   handle((*Machine).openIntent),
	KindSettleIntent: handle((*Machine).settleIntent),
	KindOpenStep: handle(func(ma *Machine, c step.OpenStep) (any, error) {
		st, err := ma.steps.Open(c, ma.atMs)
		if err != nil {
			return nil, err
		}

		return *st, nil
	}),
	KindWins:      handle(func(ma *Machine, c step.Wins) (any, error) { return ma.steps.Wins(c) }),
	KindFormPage:  handle((*Machine).formPage),
	KindAckPage:   handle(func(ma *Machine, c step.AckPage) (any, error) { return ma.steps.AckPage(c, ma.atMs) }),
	KindResetLost: handle(func(ma *Machine, c step.ResetLost) (any, error) { return nil, ma.steps.ResetLost(c) }),
	KindChangeDriver: handle(func(ma *Machine, c step.ChangeDriver) (any, error) {
		st, err := ma.steps.ChangeDriver(c)
		if err != nil {
			return nil, err
		}

		return *st, nil
	}),
	KindBeginCall: handle(func(ma *Machine, c idempotency.Begin) (any, error) { return ma.calls.Begin(c, ma.atMs) }),
	KindEndCall:   handle(func(ma *Machine, c idempotency.End) (any, error) { return nil, ma.calls.End(c) }),
	KindAbandonCall: handle(func(ma *Machine, c idempotency.Abandon) (any, error) {
		ma.calls.Abandon(c)

		return nil, nil
	}),
	KindAddUsage:     handle(func(ma *Machine, c usage.AddCounters) (any, error) { return ma.usage.AddCounters(c), nil }),
	KindCloseWindow:  handle((*Machine).closeWindow),
	KindMarkReported: handle((*Machine).markReported),
	KindRecordCrash:  handle((*Machine).recordCrash),
	KindClearSuspect: handle(func(ma *Machine, c quarantine.ClearSuspect) (any, error) {
		ma.quarantine.ClearSuspect(c, ma.atMs)
		ma.appendQuarantineDelta([]string{c.Fingerprint})

		return nil, nil
	}),
	KindTrial: handle((*Machine).tryOut),
	KindEndTrial: handle(func(ma *Machine, c quarantine.EndTrial) (any, error) {
		if ma.quarantine.EndTrial(c) {
			ma.appendQuarantineDelta([]string{c.Fingerprint})
		}

		return nil, nil
	}),
	KindReleaseQuarantine: handle(func(ma *Machine, c quarantine.Release) (any, error) {
		if !ma.quarantine.Release(c) {
			return nil, result.New(result.UnknownObject, "quarantine: unknown fingerprint %s", c.Fingerprint)
		}
		ma.appendQuarantineDelta([]string{c.Fingerprint})

		return nil, nil
	}),
	KindRegister: handle(func(ma *Machine, c Registration) (any, error) {
		ma.replicas[c.Replica] = c

		return nil, nil
	}),
	KindPutRouting: handle(func(ma *Machine, c routing.Put) (any, error) { return ma.routing.Put(c), nil }),
	KindRecordVersion: handle(func(ma *Machine, c weights.VersionRecord) (any, error) {
		ma.versions.Record(c)

		return nil, nil
	}),
	KindAnnounceMember: handle(func(ma *Machine, c roster.Announce) (any, error) {
		ma.roster.Announce(c)

		return nil, nil
	}),
	KindFormStores: handle(func(ma *Machine, c roster.Form) (any, error) {
		ma.roster.Form(c)

		return nil, nil
	}),
	KindRetireMember: handle(func(ma *Machine, c roster.Retire) (any, error) { return nil, ma.roster.Retire(c) }),
	KindFinishRetirement: handle(func(ma *Machine, c roster.Finish) (any, error) {
		ma.roster.Finish(c)

		return nil, nil
	}),
	KindSubmitJob:   handle(func(ma *Machine, c job.Submit) (any, error) { return nil, ma.jobs.Submit(c, ma.atMs) }),
	KindListResults: handle(func(ma *Machine, c job.ListResults) (any, error) { return ma.jobs.ListResults(c), nil }),
	KindRecordProgress: handle(func(ma *Machine, c job.Progress) (any, error) {
		ma.jobs.RecordProgress(c)

		return nil, nil
	}),
	KindEndJob: handle(func(ma *Machine, c job.End) (any, error) { return nil, ma.jobs.End(c, ma.atMs) }),
	KindChangeEvacuation: handle(func(ma *Machine, c evacuation.Change) (any, error) {
		return ma.evacuations.Apply(c, ma.applied, ma.atMs)
	}),
	KindRecordDeparture: handle(func(ma *Machine, c departure.Record) (any, error) {
		return ma.departures.Apply(c, ma.applied, ma.atMs)
	}),
}

func (ma *Machine) patch(pa declaration.Patch) (any, error) {
	before := ma.configuration.Version()
	an := ma.configuration.Apply(pa, ma.atMs)
	if ma.configuration.Version() != before {
		ma.appendDelta(Delta{Change: &ma.configuration.History(1)[0]})
	}

	return an, an.Err()
}

func (ma *Machine) openIntent(op intent.Open) (any, error) {
	if err := ma.leases.Check(op.Intent.Lease, op.Intent.Fencing); err != nil {
		return nil, err
	}
	op.Intent.AtMs = ma.atMs

	return ma.intents.Open(op), nil
}

func (ma *Machine) settleIntent(se intent.Settle) (any, error) {
	if err := ma.leases.Check(se.Lease, se.Fencing); err != nil {
		return nil, err
	}

	return ma.intents.Settle(se)
}

func (ma *Machine) formPage(fp step.FormPage) (any, error) {
	st, err := ma.steps.Get(fp.Key)
	if err != nil {
		return nil, err
	}
	latest, _ := ma.configuration.Set().LatestVersion(st.Model)

	return ma.steps.FormPage(fp, latest.Sequence, ma.atMs)
}

// UsageLease is the name of the lease of the process that closes and reports usage
// windows.
const UsageLease = "usage"

func (ma *Machine) closeWindow(cl usage.Close) (any, error) {
	if err := ma.leases.Check(UsageLease, cl.Fencing); err != nil {
		return nil, err
	}
	ma.usage.Close(cl)

	return nil, nil
}

func (ma *Machine) markReported(re usage.MarkReported) (any, error) {
	if err := ma.leases.Check(UsageLease, re.Fencing); err != nil {
		return nil, err
	}

	return nil, ma.usage.MarkReported(re)
}

func (ma *Machine) recordCrash(cr quarantine.Crash) (any, error) {
	changed, isExplained := ma.quarantine.Crash(cr, ma.atMs)
	if len(changed) > 0 {
		ma.appendQuarantineDelta(changed)
	}

	return quarantine.CrashReply{IsExplained: isExplained}, nil
}

func (ma *Machine) tryOut(tr quarantine.Trial) (any, error) {
	rep, changed := ma.quarantine.Trial(tr, ma.atMs)
	if len(changed) > 0 {
		ma.appendQuarantineDelta(changed)
	}

	return rep, nil
}

// appendQuarantineDelta adds the current quarantine entries of fingerprints as a change.
func (ma *Machine) appendQuarantineDelta(fingerprints []string) {
	d := Delta{Quarantine: map[string]quarantine.Entry{}}
	for _, fp := range fingerprints {
		d.Quarantine[fp] = ma.quarantine.Entries()[fp]
	}
	ma.appendDelta(d)
}

// appendDelta adds a change at the last entry applied and removes the oldest one over
// the limit.
func (ma *Machine) appendDelta(d Delta) {
	d.Revision = ma.applied
	ma.revision = ma.applied
	ma.deltas = append(ma.deltas, d)
	if n := len(ma.deltas); n > maxRetainedDeltas {
		ma.deltasAfter = ma.deltas[0].Revision
		ma.deltas = ma.deltas[1:]
	}
}

// DeltasSince returns the changes after a position, and false if some of them are no
// longer retained.
func (ma *Machine) DeltasSince(revision uint64) ([]Delta, bool) {
	if revision < ma.deltasAfter && ma.revision > revision {
		return nil, false
	}

	n := len(ma.deltas)
	for n > 0 && ma.deltas[n-1].Revision > revision {
		n--
	}

	return ma.deltas[n:], true
}

// FullState is the complete state that subscribers follow.
type FullState struct {
	Revision   uint64                      `cbor:"1,keyasint"`
	Version    uint64                      `cbor:"2,keyasint"`
	Ops        []declaration.Op            `cbor:"3,keyasint"`
	Quarantine map[string]quarantine.Entry `cbor:"4,keyasint"`
}

// FullState returns the complete state that subscribers follow.
func (ma *Machine) FullState() (FullState, error) {
	ops, err := ma.configuration.Set().Ops()

	return FullState{Revision: ma.revision, Version: ma.configuration.Version(), Ops: ops, Quarantine: ma.quarantine.Entries()}, err
}
