// Package plainservice implements a client that forwards requests with any method,
// path, headers and body to plain HTTP services. docs/interfaces/plain-service.md
// specifies what is expected of a service.
package plainservice

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"

	"github.com/tamarackbay/tamarackbay/internal/httpcall"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

// RequestIDHeader carries the request ID. If a service echoes it, an answer that
// belongs to another request is detected.
const RequestIDHeader = "X-Request-Id"

// hopByHop are the headers that concern a single connection and are never forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Host", "Content-Length",
}

// IsHopByHop reports whether a header, in canonical form, is never forwarded.
func IsHopByHop(name string) bool { return slices.Contains(hopByHop, name) }

// Client calls one service.
type Client struct {
	base          string
	repeatable    *http.Client
	nonRepeatable *http.Client // without keep-alive, so that net/http never sends a request twice
}

// New returns a client of the service at address, an IP number with a port. It dials
// from the IP number bind.
func New(address, bind string) *Client {
	return &Client{
		base: "http://" + address, repeatable: httpcall.NewClient(bind, true), nonRepeatable: httpcall.NewClient(bind, false),
	}
}

// Request is a request to the service.
type Request struct {
	ID           string
	Method       string
	Path         string // escaped, starts with a slash
	Query        string
	Header       http.Header
	Body         []byte
	IsRepeatable bool
}

// maxPartBytes is the maximum size of a part of an answer's body, in bytes.
const maxPartBytes = 32 << 10

// Do sends the request. It calls onHead once with the status and headers of the
// answer, then onBody for each part of the body. It returns nil only if the complete
// body has arrived.
func (cl *Client) Do(ctx context.Context, rq Request, onHead func(status int, h http.Header) error, onBody func([]byte) error) error {
	u := cl.base + rq.Path
	if rq.Query != "" {
		u += "?" + rq.Query
	}
	var body io.Reader = http.NoBody
	if len(rq.Body) > 0 {
		body = bytes.NewReader(rq.Body)
	}
	hr, err := http.NewRequestWithContext(ctx, rq.Method, u, body)
	if err != nil {
		return result.New(result.MalformedBody, "plain service: %v", err)
	}
	hr.Header = rq.Header.Clone()
	if hr.Header == nil {
		hr.Header = http.Header{}
	}
	hr.Header.Set(RequestIDHeader, rq.ID)
	if _, ok := hr.Header["User-Agent"]; !ok {
		hr.Header.Set("User-Agent", "")
	}

	hc := cl.nonRepeatable
	if rq.IsRepeatable {
		hc = cl.repeatable
	}
	rs, err := hc.Do(hr)
	if err != nil {
		return httpcall.Failure("plain service", err)
	}
	defer rs.Body.Close()
	if echo := rs.Header.Get(RequestIDHeader); echo != "" && echo != rq.ID {
		return result.New(result.BackendAnswerBroken, "plain service: the answer belongs to request %q, not %q", echo, rq.ID).WithExecution(result.ExecutionUnknown)
	}
	if err := onHead(rs.StatusCode, rs.Header); err != nil {
		return err
	}

	return copyBody(rs.Body, onBody)
}

func copyBody(body io.Reader, onBody func([]byte) error) error {
	buf := make([]byte, maxPartBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if werr := onBody(buf[:n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return httpcall.Failure("plain service: body", err)
		}
	}
}

// Healthy reports whether the service answers a health check with a status below 500.
func (cl *Client) Healthy(ctx context.Context) bool {
	hr, err := http.NewRequestWithContext(ctx, http.MethodGet, cl.base+"/healthz", http.NoBody)
	if err != nil {
		return false
	}
	rs, err := cl.repeatable.Do(hr)
	if err != nil {
		return false
	}
	_ = rs.Body.Close()

	return rs.StatusCode < http.StatusInternalServerError
}
