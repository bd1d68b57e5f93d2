// Package backend holds what is said to backend servers and what they answer, in
// terms of the product. A dialect of the wire translates it.
package backend

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

// Call is one request to a backend server.
type Call struct {
	ID            string // of the request; the backend server echoes it
	Method        string
	Host          string
	Target        string      // path and query, as the client sent them
	Header        http.Header // of the client, without what concerns one connection
	Body          []byte
	Instance      string        // incarnation that alone may run it, "" for any
	Workspace     string        // "" for public routes
	TimeLeft      time.Duration // after which the backend server stops work, 0 for never
	ExpectVersion uint64        // weight version that alone may run it, 0 for any
	Priority      int           // 0 is first, -1 for the default
	ResumeAfter   uint64        // number of the last event already held, 0 for none
}

// Load is what a backend server tells of its work.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Answer is the answer of a backend server. Body must be closed.
type Answer struct {
	Status   int
	Header   http.Header // to be passed on, without what concerns one connection
	Body     io.ReadCloser
	IsNotRun bool   // the backend server says that it did not run the request
	Stamp    string // its signature, "" where it is missing
	Version  uint64 // weight version at the start, 0 where it is missing
	Load     *Load  // nil where it does not tell
}

// Event is one event of a stream.
type Event struct {
	Number  uint64
	Data    string
	Version uint64 // weight version from this event on, 0 where it has not changed
}

// Weights is an order to load a weight version.
type Weights struct {
	Model    string
	Version  uint64
	Mode     SwapMode
	Holder   string // of the lease under which the order is given
	Fencing  uint64
	Sequence uint64 // orders that the backend server has accepted so far: with another number it refuses
	Instance string
}

// SwapMode says what happens to requests that run while weights are swapped.
type SwapMode uint8

// Swap modes.
const (
	Continue SwapMode = iota // they go on under the new version
	Drain                    // they finish first
)

// Report is the state of a backend server, as of some hundred milliseconds ago.
type Report struct {
	BornMs   int64
	IsBusy   bool // an order is being carried out
	Sequence uint64
	Versions map[string]uint64 // by model
}

// Client speaks to backend servers in one dialect.
type Client struct {
	// Send sends a request. An error says whether it can have run.
	Send func(ctx context.Context, address string, ca *Call) (*Answer, error)
	// Events reads the next event of a stream; io.EOF is its regular end.
	Events func(body io.Reader) func() (Event, error)
	// Swap orders weights and returns nil once the order is accepted or holds already.
	Swap func(ctx context.Context, address string, we *Weights) error
	// Report asks for the state.
	Report func(ctx context.Context, address string) (Report, error)
	// KeepIdle returns how long an unused connection is kept open.
	KeepIdle func() time.Duration
}

// HasRun reports whether a failed call can have run.
func HasRun(err error) bool { return result.From(err).Execution != result.NotRun }
