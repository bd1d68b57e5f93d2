// Package origin remembers which software version began each stream, since a stream may be
// continued by backend servers of that version alone. The gateway that begins a stream records
// it with the controllers before it forwards the first event; a gateway at which a client takes
// the stream up asks them. Gateways send their records again to a controller that has restarted,
// and controllers keep them on their disks too, for the case that all gateways are lost as well.
package origin

import (
	"crypto/sha256"
	"sync"
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
	// IsAmbiguous says that attempts with the same ID began at different versions or services, so
	// that nobody knows which of them the client has events of. Origin is empty then.
	IsAmbiguous bool `cbor:"3,keyasint,omitempty"`
	// Server is the ID of the backend server that began the stream, "" if it is not known, BornMs
	// the start of its incarnation as the gateway knew it, and BegunMs the time of the first event.
	Server  string `cbor:"4,keyasint,omitempty"`
	BornMs  int64  `cbor:"5,keyasint,omitempty"`
	BegunMs int64  `cbor:"6,keyasint,omitempty"`
}

// maxClockDifference is the difference of the clocks of two VMs up to which MayBeOf is right.
const maxClockDifference = 250 * time.Millisecond

// MayBeOf reports whether a later incarnation of the backend server may have begun the stream:
// it started, at bornMs, before the first event, while the gateway did not know of it yet.
func (re *Record) MayBeOf(bornMs int64) bool {
	return bornMs > re.BornMs && re.BegunMs+maxClockDifference.Milliseconds() >= bornMs
}

// Query asks a controller for the origin of a stream.
type Query struct {
	Key Key `cbor:"1,keyasint"`
}

// Finding answers a Query. Key 3 of its encoding was in use and must not be assigned again.
type Finding struct {
	Origin      Origin `cbor:"1,keyasint"`
	IsFound     bool   `cbor:"2,keyasint"` // the stream was recorded, and only with this origin
	IsAmbiguous bool   `cbor:"4,keyasint,omitempty"`
	// OtherSoftware lists the IDs of the backend servers of the service that run other software. A
	// gateway with an outdated view may take one of them for its earlier incarnation.
	OtherSoftware []string `cbor:"5,keyasint,omitempty"`
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
type Table struct {
	mu  sync.Mutex // held while a record is merged with the earlier one of its stream
	lru *expirable.LRU[Key, entry]
}

type entry struct {
	record  Record
	addedAt time.Time // when Add last returned the record
}

// NewTable returns a table of at most size origins.
func NewTable(size int) *Table {
	return &Table{lru: expirable.NewLRU[Key, entry](size, nil, Retention)}
}

// Add records origins. A stream that was recorded with another origin before is ambiguous from
// then on: records arrive in any order and repeatedly, so the later one is not the right one. Add
// returns the records that are new, have changed, or were last returned rewriteAfter ago.
func (ta *Table) Add(records []Record) []Record { return ta.addAged(records, 0) }

// addAged is Add for records that were added elsewhere some time ago.
func (ta *Table) addAged(records []Record, age time.Duration) []Record {
	ta.mu.Lock()
	defer ta.mu.Unlock()

	now := time.Now()
	var out []Record
	for _, re := range records {
		old, ok := ta.lru.Peek(re.Key)
		switch {
		case ok && (old.record.IsAmbiguous || old.record.Origin != re.Origin):
			re = Record{Key: re.Key, IsAmbiguous: true}
		case ok && old.record.Server != "":
			re = old.record // the gateway of a resume does not know the backend server
		}
		en := entry{record: re, addedAt: old.addedAt}
		if !ok || old.record != re || now.Sub(old.addedAt) >= rewriteAfter {
			en.addedAt = now.Add(-age)
			out = append(out, re)
		}
		ta.lru.Add(re.Key, en)
	}

	return out
}

// Find returns what is known of the origin of a stream.
func (ta *Table) Find(key Key) Finding {
	re, ok := ta.Record(key)

	return Finding{Origin: re.Origin, IsFound: ok && !re.IsAmbiguous, IsAmbiguous: re.IsAmbiguous}
}

// Record returns the record of a stream, and false if there is none.
func (ta *Table) Record(key Key) (Record, bool) {
	en, ok := ta.lru.Peek(key)

	return en.record, ok
}

// Len returns the number of streams in the table.
func (ta *Table) Len() int { return ta.lru.Len() }

// records returns all records, the oldest first.
func (ta *Table) records() []Record {
	entries := ta.lru.Values()
	out := make([]Record, len(entries))
	for i := range entries {
		out[i] = entries[i].record
	}

	return out
}
