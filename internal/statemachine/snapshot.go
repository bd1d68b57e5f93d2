package statemachine

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackbay/tamarackbay/internal/codec"
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

const (
	// SnapshotEntries is the distance of the log positions after which a snapshot is due.
	SnapshotEntries = 20_000
	// SnapshotBytes is the size of the commands after which a snapshot is due: a tenth of the smallest disk.
	SnapshotBytes = 12 << 20
)

// jobsField is the key of the jobs in the map that a snapshot is encoded as.
const jobsField = 15

// snapshot is the encoded form of a Machine.
type snapshot struct {
	Applied       uint64                               `cbor:"1,keyasint"`
	AtMs          int64                                `cbor:"2,keyasint"`
	Configuration declaration.Snapshot                 `cbor:"3,keyasint"`
	Leases        map[string]lease.Lease               `cbor:"4,keyasint"`
	Intents       intent.Snapshot                      `cbor:"5,keyasint"`
	Steps         map[string]*step.Step                `cbor:"6,keyasint"`
	Calls         idempotency.Snapshot                 `cbor:"7,keyasint"`
	Usage         usage.Snapshot                       `cbor:"8,keyasint"`
	Quarantine    map[string]quarantine.Entry          `cbor:"9,keyasint"`
	Replicas      map[consensus.ReplicaID]Registration `cbor:"10,keyasint"`
	Revision      uint64                               `cbor:"11,keyasint"`
	Routing       routing.Snapshot                     `cbor:"12,keyasint"`
	Versions      map[string]uint64                    `cbor:"13,keyasint"`
	Roster        roster.Snapshot                      `cbor:"14,keyasint"`
	Jobs          map[string]*job.Job                  `cbor:"15,keyasint,omitempty"`
	Evacuations   evacuation.Snapshot                  `cbor:"16,keyasint"`
	Crashed       quarantine.Snapshot                  `cbor:"17,keyasint,omitempty"`
	Departures    departure.Snapshot                   `cbor:"18,keyasint,omitempty"`
	CommandBytes  uint64                               `cbor:"19,keyasint,omitempty"`
}

// count counts the entry that was applied last, with a command of so many bytes. The count begins anew at
// each multiple of SnapshotEntries, so that replicas agree on it soon after all run a version that counts.
func (ma *Machine) count(bytes int) {
	ma.commandBytes += uint64(bytes)
	isIndexDue, isSizeDue := ma.applied%SnapshotEntries == 0, ma.commandBytes >= SnapshotBytes
	switch {
	case isIndexDue:
		ma.commandBytes = 0
	case isSizeDue:
		ma.commandBytes %= SnapshotBytes
	}
	ma.isSnapshotDue = isIndexDue || isSizeDue
}

// IsSnapshotDue reports whether a snapshot is due after the last entry applied. It is due after the same
// entries on all replicas, so that these take the same snapshots.
func (ma *Machine) IsSnapshotDue() bool { return ma.isSnapshotDue }

// Snapshot returns the encoded state.
func (ma *Machine) Snapshot() ([]byte, error) {
	encode, err := ma.Freeze()
	if err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	if err := encode(&buf); err != nil {
		return nil, err
	}

	return buf.Bytes(), nil
}

// Freeze returns a function that writes the encoded current state and may run concurrently with further
// commands. Only the ledger of jobs grows large: Freeze takes a snapshot of it and encodes the rest
// immediately. The jobs are encoded one by one, so that no copy of the whole is held. Equal states are
// encoded to equal bytes.
func (ma *Machine) Freeze() (encode func(w io.Writer) error, err error) {
	cs, err := ma.configuration.Snapshot()
	if err != nil {
		return nil, err
	}
	rest, err := codec.AppendSorted(nil, snapshot{
		Applied: ma.applied, AtMs: ma.atMs, Configuration: cs, Leases: ma.leases.Leases(), Intents: ma.intents.Snapshot(),
		Steps: ma.steps.Steps(), Calls: ma.calls.Snapshot(), Usage: ma.usage.Snapshot(),
		Quarantine: ma.quarantine.Entries(), Crashed: ma.quarantine.Crashed(), Replicas: ma.replicas, Revision: ma.revision,
		Routing: ma.routing.Snapshot(), Versions: ma.versions.All(), Roster: ma.roster.Snapshot(), Evacuations: ma.evacuations.Snapshot(),
		Departures: ma.departures.Snapshot(), CommandBytes: ma.commandBytes,
	})
	if err != nil {
		return nil, err
	}
	jobs := ma.jobs.Freeze()

	return func(w io.Writer) error { return encodeState(w, rest, jobs) }, nil
}

// encodeState writes the map of the fields in rest, which is encoded, and of the jobs.
func encodeState(w io.Writer, rest []byte, jobs map[string]*job.Job) error {
	if len(jobs) == 0 {
		_, err := w.Write(rest)

		return err
	}
	st := newStream(bytes.NewReader(rest))
	fields, err := st.mapLength()
	if err != nil {
		return result.New(result.Internal, "statemachine: encode snapshot: %v", err)
	}
	head := appendHead(nil, majorMap, uint64(fields)+1)
	pairs := rest[st.headBytes:]
	b := slices.Concat(head, pairs, appendHead(nil, majorUint, jobsField), appendHead(nil, majorMap, uint64(len(jobs))))
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		if b, err = codec.AppendSorted(b, id); err != nil {
			return err
		}
		if b, err = codec.AppendSorted(b, jobs[id]); err != nil {
			return err
		}
		if _, err := w.Write(b); err != nil {
			return err
		}
		b = b[:0]
	}

	return nil
}

// Restore returns the state that a snapshot holds.
func Restore(data []byte) (*Machine, error) { return RestoreFrom(bytes.NewReader(data)) }

// RestoreFrom returns the state that the snapshot in r holds. An error of r is returned as it is.
func RestoreFrom(r io.Reader) (*Machine, error) {
	src := &source{r: r}
	sn, err := decodeState(newStream(src))
	switch {
	case src.err != nil:
		return nil, src.err
	case err != nil:
		return nil, result.New(result.DataFolderDamaged, "statemachine: decode snapshot: %v", err)
	}

	return restore(sn)
}

// source retains the error of a reader, which the decoder may wrap.
type source struct {
	r   io.Reader
	err error // nil for io.EOF
}

func (so *source) Read(b []byte) (int, error) {
	n, err := so.r.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		so.err = err
	}

	return n, err
}

// decodeState decodes the jobs one by one, and the other fields together.
func decodeState(st *stream) (sn snapshot, err error) {
	fields, err := st.mapLength()
	if err != nil {
		return sn, err
	}
	var jobs map[string]*job.Job
	var rest []byte
	count := uint64(0)
	for range fields {
		var key uint64
		if err := st.decode(&key); err != nil {
			return sn, err
		}
		if key == jobsField {
			if jobs, err = decodeJobs(st); err != nil {
				return sn, err
			}

			continue
		}
		var value cbor.RawMessage
		if err := st.decode(&value); err != nil {
			return sn, err
		}
		rest = append(appendHead(rest, majorUint, key), value...)
		count++
	}
	if err := st.end(); err != nil {
		return sn, err
	}
	if err := cbor.Unmarshal(slices.Concat(appendHead(nil, majorMap, count), rest), &sn); err != nil {
		return sn, err
	}
	sn.Jobs = jobs

	return sn, nil
}

func decodeJobs(st *stream) (map[string]*job.Job, error) {
	n, err := st.mapLength()
	if err != nil {
		return nil, err
	}
	jobs := map[string]*job.Job{}
	for range n {
		var id string
		if err := st.decode(&id); err != nil {
			return nil, err
		}
		jo := &job.Job{}
		if err := st.decode(jo); err != nil {
			return nil, err
		}
		jobs[id] = jo
	}

	return jobs, nil
}

func restore(sn snapshot) (*Machine, error) {
	cs, err := declaration.NewConfigurationFrom(sn.Configuration)
	if err != nil {
		return nil, err
	}
	if sn.Replicas == nil {
		sn.Replicas = map[consensus.ReplicaID]Registration{}
	}

	return &Machine{
		applied: sn.Applied, atMs: sn.AtMs, configuration: cs, leases: lease.NewTable(sn.Leases),
		intents: intent.NewLog(sn.Intents), steps: step.NewLedger(sn.Steps), calls: idempotency.NewLedger(sn.Calls),
		usage: usage.NewLedger(sn.Usage), quarantine: quarantine.NewState(sn.Quarantine, sn.Crashed), replicas: sn.Replicas,
		deltasAfter: sn.Applied, revision: sn.Revision,
		routing: routing.NewState(sn.Routing), versions: weights.NewVersionTable(sn.Versions),
		roster: roster.NewRoster(sn.Roster), jobs: job.NewLedger(sn.Jobs), evacuations: evacuation.NewState(sn.Evacuations),
		departures: departure.NewState(sn.Departures), commandBytes: sn.CommandBytes,
	}, nil
}
