// Package call holds the ledger of requests that may not be repeated. An intent
// with the caller's idempotency key is committed before the request is sent to a
// backend server, so that a resend through any gateway is never a second run.
package call

import (
	"github.com/tamarackbay/tamarackbay/internal/result"
)

// State of a call.
type State uint8

// States of a call.
const (
	Begun State = iota // may be running, or may have run
	Done               // the answer is recorded
)

// Header is one header of a recorded answer.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Record is one call.
type Record struct {
	Digest  string   `cbor:"1,keyasint"` // of the request
	Owner   string   `cbor:"2,keyasint"` // request ID of the gateway's run
	Gateway string   `cbor:"3,keyasint"` // instance of the process that runs it
	State   State    `cbor:"4,keyasint"`
	AtMs    int64    `cbor:"5,keyasint"`
	Status  int      `cbor:"6,keyasint"`
	Headers []Header `cbor:"7,keyasint"`
	Body    []byte   `cbor:"8,keyasint"`
}

// Begin asks to run a call.
type Begin struct {
	Key     string `cbor:"1,keyasint"` // workspace, route and idempotency key
	Digest  string `cbor:"2,keyasint"`
	Owner   string `cbor:"3,keyasint"`
	Gateway string `cbor:"4,keyasint"`
}

// End records the answer of a call.
type End struct {
	Key     string   `cbor:"1,keyasint"`
	Owner   string   `cbor:"2,keyasint"`
	Status  int      `cbor:"3,keyasint"`
	Headers []Header `cbor:"4,keyasint"`
	Body    []byte   `cbor:"5,keyasint"`
}

// Abandon says that a call has surely not run: its key may be used again.
type Abandon struct {
	Key   string `cbor:"1,keyasint"`
	Owner string `cbor:"2,keyasint"`
}

const (
	retentionMs = 24 * 60 * 60 * 1000 // how long a resend gets the first answer
	maxRecords  = 1_000_000
)

// Ledger holds the calls of a group.
type Ledger struct {
	records   map[string]*Record
	keysByAge []string // keys, oldest first
}

// Image is a Ledger in a snapshot.
type Image struct {
	Records map[string]*Record `cbor:"1,keyasint"`
	Order   []string           `cbor:"2,keyasint"`
}

// NewLedger returns the ledger of an image.
func NewLedger(im Image) *Ledger {
	if im.Records == nil {
		im.Records = map[string]*Record{}
	}

	return &Ledger{records: im.Records, keysByAge: im.Order}
}

// Image returns the ledger's content for a snapshot.
func (le *Ledger) Image() Image { return Image{Records: le.records, Order: le.keysByAge} }

// Begin returns the record of the call. The caller runs it only if it is the owner and State is Begun.
func (le *Ledger) Begin(be Begin, atMs int64) (Record, error) {
	le.dropExpired(atMs)
	if re, ok := le.records[be.Key]; ok {
		if re.Digest != be.Digest {
			return Record{}, result.New(result.IdempotencyReused, "call %s: the key was used with another request", be.Key)
		}

		return *re, nil
	}
	if len(le.records) >= maxRecords {
		return Record{}, result.New(result.QueueFull, "call %s: the ledger holds %d calls", be.Key, maxRecords)
	}

	re := &Record{Digest: be.Digest, Owner: be.Owner, Gateway: be.Gateway, State: Begun, AtMs: atMs}
	le.records[be.Key] = re
	le.keysByAge = append(le.keysByAge, be.Key)

	return *re, nil
}

func (le *Ledger) dropExpired(atMs int64) {
	for len(le.keysByAge) > 0 {
		re, ok := le.records[le.keysByAge[0]]
		if ok && atMs <= re.AtMs+retentionMs {
			return
		}
		delete(le.records, le.keysByAge[0])
		le.keysByAge = le.keysByAge[1:]
	}
}

// End records the answer, once.
func (le *Ledger) End(en End) error {
	re, ok := le.records[en.Key]
	if !ok || re.Owner != en.Owner {
		return result.New(result.UnknownObject, "call %s: not begun by %s", en.Key, en.Owner)
	}
	if re.State == Begun {
		re.State, re.Status, re.Headers, re.Body = Done, en.Status, en.Headers, en.Body
	}

	return nil
}

// Abandon forgets a call that has not run.
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

// Len returns the number of calls held.
func (le *Ledger) Len() int { return len(le.records) }
