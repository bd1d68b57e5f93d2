// Package idempotency holds the ledger of non-repeatable requests. An intent with the
// caller's idempotency key is committed before the request is sent to a backend
// server, so that a resend through any gateway never causes a second run.
package idempotency

import (
	"github.com/tamarackbay/tamarackbay/internal/result"
)

// State is the state of a call.
type State uint8

// States of a call.
const (
	Begun State = iota // the intent is committed; the call may be running or may have run
	Done               // the answer is recorded
)

// Header is one header of a recorded answer.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Record is one call in the ledger.
type Record struct {
	Digest  string   `cbor:"1,keyasint"` // of the request
	Owner   string   `cbor:"2,keyasint"` // ID of the request that runs the call
	Gateway string   `cbor:"3,keyasint"` // peer address of the gateway that runs the call
	State   State    `cbor:"4,keyasint"`
	BegunMs int64    `cbor:"5,keyasint"` // when the call began
	Status  int      `cbor:"6,keyasint"`
	Headers []Header `cbor:"7,keyasint"`
	Body    []byte   `cbor:"8,keyasint"`
}

// Begin is the command that records the intent to run a call.
type Begin struct {
	Key     string `cbor:"1,keyasint"` // workspace, route and idempotency key
	Digest  string `cbor:"2,keyasint"`
	Owner   string `cbor:"3,keyasint"`
	Gateway string `cbor:"4,keyasint"`
}

// End is the command that records the answer of a call.
type End struct {
	Key     string   `cbor:"1,keyasint"`
	Owner   string   `cbor:"2,keyasint"`
	Status  int      `cbor:"3,keyasint"`
	Headers []Header `cbor:"4,keyasint"`
	Body    []byte   `cbor:"5,keyasint"`
}

// Abandon is the command that removes a call that has certainly not run, so that its
// key may be used again.
type Abandon struct {
	Key   string `cbor:"1,keyasint"`
	Owner string `cbor:"2,keyasint"`
}

const (
	retentionMs = 24 * 60 * 60 * 1000 // how long a resend receives the recorded answer
	maxRecords  = 1_000_000
)

// Ledger holds the non-repeatable calls of a group.
type Ledger struct {
	records   map[string]*Record
	keysByAge []string // keys, oldest first
}

// Snapshot is the encoded form of a Ledger.
type Snapshot struct {
	Records map[string]*Record `cbor:"1,keyasint"`
	Order   []string           `cbor:"2,keyasint"`
}

// NewLedger returns a ledger with the content of a snapshot.
func NewLedger(sn Snapshot) *Ledger {
	if sn.Records == nil {
		sn.Records = map[string]*Record{}
	}

	return &Ledger{records: sn.Records, keysByAge: sn.Order}
}

// Snapshot returns the ledger's encoded form.
func (le *Ledger) Snapshot() Snapshot { return Snapshot{Records: le.records, Order: le.keysByAge} }

// Begin returns the record of the call, and adds one if there is none. The sender of
// the command may run the call only if it is the record's owner and the state is Begun.
func (le *Ledger) Begin(be Begin, atMs int64) (Record, error) {
	le.dropExpired(atMs)
	if re, ok := le.records[be.Key]; ok {
		if re.Digest != be.Digest {
			return Record{}, result.New(result.IdempotencyReused, "call %s: the idempotency key was used for a different request", be.Key)
		}

		return *re, nil
	}
	if len(le.records) >= maxRecords {
		return Record{}, result.New(result.QueueFull, "call %s: the ledger is full, its limit is %d calls", be.Key, maxRecords)
	}

	re := &Record{Digest: be.Digest, Owner: be.Owner, Gateway: be.Gateway, State: Begun, BegunMs: atMs}
	le.records[be.Key] = re
	le.keysByAge = append(le.keysByAge, be.Key)

	return *re, nil
}

// dropExpired removes the records that are older than retentionMs.
func (le *Ledger) dropExpired(atMs int64) {
	for len(le.keysByAge) > 0 {
		re, ok := le.records[le.keysByAge[0]]
		if ok && atMs <= re.BegunMs+retentionMs {
			return
		}
		delete(le.records, le.keysByAge[0])
		le.keysByAge = le.keysByAge[1:]
	}
}

// End records the answer of a call. Later answers of the same call are ignored.
func (le *Ledger) End(en End) error {
	re, ok := le.records[en.Key]
	if !ok || re.Owner != en.Owner {
		return result.New(result.UnknownObject, "call %s: there is no record begun by request %s", en.Key, en.Owner)
	}
	if re.State == Begun {
		re.State, re.Status, re.Headers, re.Body = Done, en.Status, en.Headers, en.Body
	}

	return nil
}

// Abandon removes the record of a call that has not run.
func (le *Ledger) Abandon(ab Abandon) {
	re, ok := le.records[ab.Key]
	if !ok || re.Owner != ab.Owner || re.State != Begun {
		return
	}

	delete(le.records, ab.Key)
	for i := len(le.keysByAge) - 1; i >= 0; i-- {
		if le.keysByAge[i] == ab.Key {
			le.keysByAge = append(le.keysByAge[:i], le.keysByAge[i+1:]...)

			break
		}
	}
}

// Len returns the number of recorded calls.
func (le *Ledger) Len() int { return len(le.records) }
