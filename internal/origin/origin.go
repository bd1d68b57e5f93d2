// Package origin remembers which software version began each stream, since a stream may be
// continued by backend servers of that version alone. The gateway that begins a stream records
// it with the controllers before it forwards the first event; a gateway at which a client takes
// the stream up asks them. Records are kept in memory: gateways send theirs again to a
// controller that has restarted.
package origin

import (
	"crypto/sha256"
	"time"

	"github.com/hashicorp/golang-lru/v2/expirable"
)

// Key identifies a stream: a digest of the workspace and the ID of the client's attempt that
// brought its first event.
type Key [16]byte

// KeyOf returns the key of a stream.
func KeyOf(workspace, attempt string) Key {
	sum := sha256.Sum256([]byte(workspace + "\x00" + attempt))

	return Key(sum[:])
}

// Origin is what began a stream.
type Origin struct {
	Service  string `cbor:"1,keyasint"`
	Software string `cbor:"2,keyasint"` // version of the backend server's software
}

// Record is the origin of one stream.
type Record struct {
	Key    Key    `cbor:"1,keyasint"`
	Origin Origin `cbor:"2,keyasint"`
}

// Query asks a controller for the origin of a stream.
type Query struct {
	Key     Key    `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"` // the only one that may have begun the stream, "" if there are several
}

// Finding answers a Query.
type Finding struct {
	Origin  Origin `cbor:"1,keyasint"`
	IsFound bool   `cbor:"2,keyasint"` // the stream was recorded
	// IsSole says that the stream was not recorded, but that the service has had backend
	// servers of a single version for Retention, as far as this controller knows.
	IsSole bool `cbor:"3,keyasint"`
}

const (
	// Retention is how long an origin is kept after it was recorded last. It is well above the
	// deadlines of clients.
	Retention = 2 * time.Minute
	// MaxOrigins bounds the origins that a controller keeps. The oldest are dropped first.
	MaxOrigins = 200_000
	// maxOwnOrigins bounds the origins that a gateway keeps.
	maxOwnOrigins = 50_000
)

// Table holds the origins that were recorded. It is safe for concurrent use.
type Table struct{ lru *expirable.LRU[Key, Origin] }

// NewTable returns a table of at most size origins.
func NewTable(size int) *Table {
	return &Table{expirable.NewLRU[Key, Origin](size, nil, Retention)}
}

// Add records origins. A later record of a stream replaces the earlier one.
func (ta *Table) Add(records []Record) {
	for _, re := range records {
		ta.lru.Add(re.Key, re.Origin)
	}
}

// Find returns the origin of a stream.
func (ta *Table) Find(key Key) (Origin, bool) { return ta.lru.Peek(key) }
