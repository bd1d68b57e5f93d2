// Package usagesink implements a client of the platform's interface that receives
// usage reports. docs/interfaces/usage.md specifies the protocol.
package usagesink

import (
	"bytes"
	"context"
	"fmt"
	"net/http"

	"github.com/tamarackbay/tamarackbay/internal/httpcall"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

// Client calls the usage interface.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the interface at address, an IP number with a port. It
// dials from the IP number bind.
func New(address, bind string) *Client {
	return &Client{base: "http://" + address, http: httpcall.NewClient(bind, true)}
}

// Headers of a report: the lease holder that sends it and its fencing number.
const (
	HolderHeader  = "X-Giver"
	FencingHeader = "X-Fencing"
)

// Send sends the report of a usage window. It is idempotent, since the report of a
// window always has the same bytes.
func (cl *Client) Send(ctx context.Context, window uint64, report []byte, holder string, fencing uint64) error {
	rq, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("%s/v1/reports/%d", cl.base, window), bytes.NewReader(report))
	if err != nil {
		return err
	}
	rq.Header.Set("Content-Type", "application/json")
	rq.Header.Set(HolderHeader, holder)
	rq.Header.Set(FencingHeader, fmt.Sprint(fencing))

	rs, err := cl.http.Do(rq)
	if err != nil {
		return httpcall.Failure("usage interface", err)
	}
	defer rs.Body.Close()
	if rs.StatusCode >= http.StatusMultipleChoices {
		return result.From(httpcall.Refusal("usage interface", rs)).WithExecution(result.Ran)
	}

	return httpcall.ReadEnd("usage interface", rs)
}
