// Package intent records the intents of outside orders in the replicated state. An intent
// is committed before its call is made, so that the next lease holder can settle the
// order under the same ID.
package intent

import (
	"slices"
	"sort"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

// Kinds of orders.
const (
	KindStart    = "start"    // order a backend server from the platform
	KindStop     = "stop"     // return a backend server to the platform
	KindLoad     = "load"     // load weights on an engine
	KindActivate = "activate" // serve the loaded weights
)

// Intent is an order that may have been sent.
type Intent struct {
	ID            string `cbor:"1,keyasint" json:"id"`
	Lease         string `cbor:"2,keyasint" json:"lease"`
	Fencing       uint64 `cbor:"3,keyasint" json:"fencing"`
	Kind          string `cbor:"4,keyasint" json:"kind"`
	Class         string `cbor:"5,keyasint" json:"class,omitempty"`
	FailureDomain string `cbor:"6,keyasint" json:"failureDomain,omitempty"`
	Server        string `cbor:"7,keyasint" json:"server,omitempty"`
	Model         string `cbor:"8,keyasint" json:"model,omitempty"`
	Version       string `cbor:"9,keyasint" json:"version,omitempty"`
	AtMs          int64  `cbor:"10,keyasint" json:"atMs"`
	Settled       bool   `cbor:"11,keyasint" json:"settled"`
	Outcome       string `cbor:"12,keyasint" json:"outcome,omitempty"`
}

// Open is the command to record an intent under a lease.
type Open struct {
	Intent Intent `cbor:"1,keyasint"`
}

// Settle is the command to record how an order ended.
type Settle struct {
	ID      string `cbor:"1,keyasint"`
	Lease   string `cbor:"2,keyasint"`
	Fencing uint64 `cbor:"3,keyasint"`
	Outcome string `cbor:"4,keyasint"`
	Server  string `cbor:"5,keyasint"`
}

// maxSettled is the number of settled intents that are retained to answer repeated commands.
const maxSettled = 2_000

// Log holds the intents of a group.
type Log struct {
	intents map[string]Intent
	settled []string // IDs, oldest first
}

// Snapshot is the encoded form of a Log.
type Snapshot struct {
	Intents map[string]Intent `cbor:"1,keyasint"`
	Settled []string          `cbor:"2,keyasint"`
}

// NewLog returns a log with the content of a snapshot.
func NewLog(sn Snapshot) *Log {
	if sn.Intents == nil {
		sn.Intents = map[string]Intent{}
	}

	return &Log{intents: sn.Intents, settled: sn.Settled}
}

// Snapshot returns the log's encoded form.
func (lo *Log) Snapshot() Snapshot { return Snapshot{Intents: lo.intents, Settled: lo.settled} }

// Open records an intent, or returns the one recorded under its ID before. The caller
// has checked the lease.
func (lo *Log) Open(op Open) Intent {
	if in, ok := lo.intents[op.Intent.ID]; ok {
		return in
	}

	lo.intents[op.Intent.ID] = op.Intent

	return op.Intent
}

// Settle records the outcome of an order; the first one recorded stays.
func (lo *Log) Settle(se Settle) (Intent, error) {
	in, ok := lo.intents[se.ID]
	if !ok {
		return in, result.New(result.UnknownObject, "order %s: no intent is recorded under this ID", se.ID)
	}
	if in.Settled {
		return in, nil
	}

	in.Settled, in.Outcome = true, se.Outcome
	if se.Server != "" {
		in.Server = se.Server
	}
	lo.intents[se.ID] = in
	lo.settled = append(lo.settled, se.ID)
	if len(lo.settled) > maxSettled {
		delete(lo.intents, lo.settled[0])
		lo.settled = slices.Delete(lo.settled, 0, 1)
	}

	return in, nil
}

// Unsettled returns the intents whose outcome is not known, sorted by ID.
func (lo *Log) Unsettled() []Intent {
	var out []Intent
	for _, in := range lo.intents {
		if !in.Settled {
			out = append(out, in)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })

	return out
}

// Get returns the intent with the ID.
func (lo *Log) Get(id string) (Intent, bool) {
	in, ok := lo.intents[id]

	return in, ok
}
