// Package backend defines the requests to backend servers and their answers,
// independent of the wire format. A Client translates them to one dialect.
package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/payload"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

// Call is one request to a backend server.
type Call struct {
	ID            string // of the request; the backend server echoes it
	Method        string
	Host          string
	Target        string      // path and query, as the client sent them
	Header        http.Header // of the client, without hop-by-hop headers
	Body          payload.Chunks
	Instance      string        // the only incarnation that may run it, "" for any
	Workspace     string        // "" for public routes
	Timeout       time.Duration // the backend server stops work after it, 0 for never
	ExpectVersion uint64        // the only weight version that may run it, 0 for any
	Priority      int           // 0 is the highest, -1 for the default
	ResumeAfter   uint64        // number of the last event already received, 0 for none
	IsRepeat      bool          // this incarnation was sent a request with the ID before
}

// Load is the load that a backend server reports.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes at this moment, relative to the usual time: 1 is usual, 2
	// twice as long, 0 not reported. It may change within 100 ms.
	Pace float64
}

// RateLimitKind says what an answer tells of a rate limit.
type RateLimitKind uint8

// Kinds of RateLimit.
const (
	RateUnlimited  RateLimitKind = iota // the answer names no limit
	RateLimited                         // the answer names a limit
	RateUnreadable                      // the answer names a limit that is not a number
)

// RateLimit is the number of requests a second that a backend server takes from all
// processes together.
type RateLimit struct {
	Kind      RateLimitKind
	PerSecond float64 // of a RateLimited one, 0 or more
}

// Answer is the answer of a backend server. Body must be closed.
type Answer struct {
	Status   int
	Header   http.Header // for the client, without hop-by-hop headers
	Body     io.ReadCloser
	IsNotRun bool // the backend server reports that it did not run the request
	// IsLeaving says that the backend server is about to end, and wants nothing new.
	IsLeaving bool
	Stamp     string // signature of the backend server, "" if missing
	Version   uint64 // weight version at the start, 0 if missing
	Load      *Load  // nil if not reported
	// IsLoadUnreadable says that a load was reported, but not, or not entirely, as numbers.
	IsLoadUnreadable bool
	Limit            RateLimit
}

// Event is one event of a stream.
type Event struct {
	Number  uint64
	Data    string
	Version uint64 // weight version from this event on, 0 if unchanged
}

// WeightsOrder is an order to load a weight version.
type WeightsOrder struct {
	Model    string
	Version  uint64
	Mode     SwapMode
	Holder   string // of the lease under which the order is sent
	Fencing  uint64
	Sequence uint64 // orders that the backend server has accepted so far; it refuses an order with any other number
	Instance string // the only incarnation that may carry out the order
}

// SwapMode determines what happens to requests that run while weights are swapped.
type SwapMode uint8

// Swap modes.
const (
	Continue SwapMode = iota // requests continue under the new version
	Drain                    // requests finish before the swap
)

// Report is the state of a backend server. It may be some hundred milliseconds old.
type Report struct {
	BornMs   int64             // start of the backend server
	IsBusy   bool              // an order is being carried out
	Sequence uint64            // orders accepted so far
	Versions map[string]uint64 // by model
	Limit    RateLimit
	// IsLeaving is as in Answer.
	IsLeaving bool
}

// Client sends requests to backend servers in one dialect.
type Client struct {
	// Send sends a request. An error says whether the request may have run.
	Send func(ctx context.Context, address string, ca *Call) (*Answer, error)
	// NewEventReader returns a function that reads the next event of a stream. io.EOF is the
	// regular end of the stream.
	NewEventReader func(body io.Reader) func() (Event, error)
	// Swap sends a weights order. It returns nil once the order is accepted, or if it is
	// in effect already.
	Swap func(ctx context.Context, address string, we *WeightsOrder) error
	// Report requests the state of a backend server.
	Report func(ctx context.Context, address string) (Report, error)
	// HasEnded reports whether nothing listens at the address of a backend server any more.
	// One that does not answer at all may still run.
	HasEnded func(ctx context.Context, address string) bool
	// IdleTimeout returns how long an idle connection is kept open.
	IdleTimeout func() time.Duration
}

// incarnationTimeout bounds the call that asks a backend server which incarnation it is.
const incarnationTimeout = 300 * time.Millisecond

// ErrLaterIncarnation says that a backend server started at another time than its record names.
var ErrLaterIncarnation = errors.New("backend: it is a later incarnation")

// CheckIncarnation asks the backend server at an address whether it started at bornMs, in Unix milliseconds. It
// returns ErrLaterIncarnation if that names another time, and another error if it does not tell within
// incarnationTimeout. A later incarnation may have other software under the same ID and address.
func (cl *Client) CheckIncarnation(ctx context.Context, address string, bornMs int64) error {
	if cl.Report == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, incarnationTimeout)
	defer cancel()
	rep, err := cl.Report(ctx, address)
	if err == nil && rep.BornMs != 0 && rep.BornMs != bornMs {
		err = fmt.Errorf("%w: it started at %d, not at %d", ErrLaterIncarnation, rep.BornMs, bornMs)
	}

	return err
}

// MayHaveRun reports whether a failed call may have run.
func MayHaveRun(err error) bool { return result.From(err).Execution != result.NotRun }
