// Package httpcall holds what the adapters of outside interfaces share: HTTP clients
// that dial from the process's own address, small JSON calls, and errors that say
// whether a failed call may have run.
package httpcall

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/dialer"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

const (
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 30 * time.Second
	maxIdlePerServer   = 256
	maxHeaderBytes     = 64 << 10 // of an answer
	maxAnswerBytes     = 1 << 20  // of a JSON answer
	maxErrorBytes      = 512
	// maxKeepAliveSeconds bounds what a Keep-Alive header may announce to be believed.
	maxKeepAliveSeconds = 24 * 60 * 60
)

var errAnswerTooLarge = errors.New("the answer exceeds the limit of 1 MiB")

// Config configures a client.
type Config struct {
	Bind        string        // local IP number to dial from, "" for any
	KeepAlive   bool          // whether connections are reused
	Idle        time.Duration // how long an idle connection is kept open
	DialTimeout time.Duration
	AckTimeout  time.Duration // a connection is cut if the peer acknowledges nothing for this long; 0 for the kernel's limit
	// ResetOnClose drops what was sent and not acknowledged when a request is given up: a server
	// that is cut off at that time does not get the request later.
	ResetOnClose bool
}

// Defaults sets the default values of Idle and DialTimeout where they are zero.
func (c *Config) Defaults() {
	if c.Idle == 0 {
		c.Idle = defaultIdleTimeout
	}
	if c.DialTimeout == 0 {
		c.DialTimeout = defaultDialTimeout
	}
}

// New returns a client that follows no redirects.
func New(cfg Config) *http.Client {
	cfg.Defaults()
	nd := dialer.New(dialer.Config{Bind: cfg.Bind, Timeout: cfg.DialTimeout, AckTimeout: cfg.AckTimeout, ResetOnClose: cfg.ResetOnClose})

	return &http.Client{
		Transport: NewTransport(&http.Transport{
			DialContext: nd.DialContext, DisableKeepAlives: !cfg.KeepAlive, MaxIdleConnsPerHost: maxIdlePerServer,
			IdleConnTimeout: cfg.Idle, DisableCompression: true, Proxy: nil, MaxResponseHeaderBytes: maxHeaderBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// idleFraction is the part of a server's keep-alive time for which the client keeps an
// idle connection. The rest is a margin, so that no request is sent on a connection
// that the server is about to close.
const idleFraction = 0.8

// adaptiveTransport keeps idle connections for slightly less time than the servers
// announce in their Keep-Alive headers.
type adaptiveTransport struct {
	cfg Config

	mu         sync.Mutex
	transport  http.RoundTripper
	serverIdle time.Duration // shortest keep-alive time that a server announced, 0 before the first
}

// NewAdaptive returns a client that starts with the idle time of cfg and then adapts
// it to the shortest keep-alive time that a server announces.
func NewAdaptive(cfg Config) *http.Client {
	hc := New(cfg)
	hc.Transport = &adaptiveTransport{cfg: cfg, transport: hc.Transport}

	return hc
}

// IdleTimeout returns how long a client of NewAdaptive currently keeps an idle
// connection, or 0 for any other client.
func IdleTimeout(hc *http.Client) time.Duration {
	at, ok := hc.Transport.(*adaptiveTransport)
	if !ok {
		return 0
	}
	at.mu.Lock()
	defer at.mu.Unlock()

	return at.idle()
}

// idle returns how long idle connections are currently kept. The caller must hold at.mu.
func (at *adaptiveTransport) idle() time.Duration {
	if at.serverIdle == 0 {
		return at.cfg.Idle
	}

	return time.Duration(idleFraction * float64(at.serverIdle))
}

// IsRefused reports whether a new connection to address is refused: its VM runs, but no
// process listens there. hc is a client of New or NewAdaptive.
func IsRefused(ctx context.Context, hc *http.Client, address string) bool {
	rt := hc.Transport
	if at, ok := rt.(*adaptiveTransport); ok {
		at.mu.Lock()
		rt = at.transport
		at.mu.Unlock()
	}
	tr, ok := rt.(*Transport)
	if !ok {
		return false
	}
	co, err := tr.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = co.Close()
	}

	return errors.Is(err, syscall.ECONNREFUSED)
}

// RoundTrip sends a request and adapts to the Keep-Alive header of the answer.
func (at *adaptiveTransport) RoundTrip(rq *http.Request) (*http.Response, error) {
	at.mu.Lock()
	rt := at.transport
	at.mu.Unlock()

	rs, err := rt.RoundTrip(rq)
	if err == nil {
		at.observeKeepAlive(rs.Header.Get("Keep-Alive"))
	}

	return rs, err
}

// observeKeepAlive lowers the idle time if a Keep-Alive header announces a shorter one
// than any before.
func (at *adaptiveTransport) observeKeepAlive(header string) {
	s, ok := strings.CutPrefix(header, "timeout=")
	if !ok {
		return
	}
	s, _, _ = strings.Cut(s, ",")
	n, err := strconv.Atoi(strings.TrimSpace(s))
	if err != nil || n <= 0 || n > maxKeepAliveSeconds {
		return // without a time-out the server may keep its connections for ever
	}

	at.mu.Lock()
	defer at.mu.Unlock()
	idle := time.Duration(n) * time.Second
	if at.serverIdle > 0 && idle >= at.serverIdle {
		return
	}
	at.serverIdle = idle
	cfg := at.cfg
	cfg.Idle = at.idle()
	old := at.transport
	at.transport = New(cfg).Transport
	if tr, ok := old.(*Transport); ok {
		tr.CloseIdleConnections() // requests in flight finish on the old connections
	}
}

// NewClient returns a client that dials from the IP number bind. Without keepAlive
// each request opens its own connection, because net/http may send a request a second
// time if a reused connection fails.
func NewClient(bind string, keepAlive bool) *http.Client {
	return New(Config{Bind: bind, KeepAlive: keepAlive})
}

// WithoutReuse returns a client that dials like hc, a client of New or NewAdaptive, and opens a
// connection for each request.
func WithoutReuse(hc *http.Client) *http.Client {
	rt := hc.Transport
	if at, ok := rt.(*adaptiveTransport); ok {
		rt = New(at.cfg).Transport
	}
	out := *hc
	if tr, ok := rt.(*Transport); ok {
		unshared := tr.Clone()
		unshared.DisableKeepAlives = true
		out.Transport = &Transport{unshared}
	}

	return &out
}

// Failure returns the numbered error of a call that received no answer.
func Failure(what string, err error) *result.Error {
	var op *net.OpError
	var head *headError
	switch {
	case errors.As(err, &head):
		return result.New(result.BackendAnswerBroken, "%s: %v", what, err).WithExecution(result.ExecutionUnknown)
	case errors.As(err, &op) && op.Op == "dial":
		return result.New(result.BackendUnreachable, "%s: %v", what, err)
	case errors.Is(err, context.DeadlineExceeded):
		return result.New(result.BackendTimeout, "%s: %v", what, err).WithExecution(result.ExecutionUnknown)
	case errors.Is(err, context.Canceled):
		return result.New(result.DeadlinePassed, "%s: the caller canceled the request", what).WithExecution(result.ExecutionUnknown)
	}

	return result.New(result.BackendCrashed, "%s: %v", what, err).WithExecution(result.ExecutionUnknown)
}

// Refusal returns the numbered error of an answer with an error status. It includes
// the start of the answer's body.
func Refusal(what string, rs *http.Response) *result.Error {
	b, _ := io.ReadAll(io.LimitReader(rs.Body, maxErrorBytes))

	return result.New(result.BackendRefused, "%s: status %d: %s", what, rs.StatusCode, bytes.TrimSpace(b))
}

// JSON sends in as JSON, if it is not nil, and decodes the answer into out, if it is
// not nil. It returns the answer's status, also with an error; 0 if there was no answer.
func JSON(ctx context.Context, hc *http.Client, method, url string, in, out any) (int, error) {
	var body io.Reader = http.NoBody
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return 0, err
		}
		body = bytes.NewReader(b)
	}
	rq, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, err
	}
	rq.Header.Set("Content-Type", "application/json")
	what := method + " " + rq.URL.Path

	rs, err := hc.Do(rq)
	if err != nil {
		return 0, Failure(what, err)
	}
	defer rs.Body.Close()

	return rs.StatusCode, DecodeJSON(what, rs, out)
}

// DecodeJSON decodes the body of an answer with a success status into out, if it is not nil. It returns an
// error unless the answer is whole. The caller closes the body.
func DecodeJSON(what string, rs *http.Response, out any) error {
	if rs.StatusCode >= http.StatusMultipleChoices {
		return Refusal(what, rs)
	}
	if out == nil {
		return ReadEnd(what, rs)
	}
	b, err := io.ReadAll(io.LimitReader(rs.Body, maxAnswerBytes+1))
	if err == nil && len(b) > maxAnswerBytes {
		err = errAnswerTooLarge
	}
	if err == nil {
		err = json.Unmarshal(b, out)
	}
	if err != nil {
		return result.New(result.BackendAnswerBroken, "%s: %v", what, err).WithExecution(result.ExecutionUnknown)
	}

	return nil
}

// ReadEnd reads an answer whose body is not used, so that its connection can be reused. It returns an error
// unless the answer is whole. The caller closes the body.
func ReadEnd(what string, rs *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(rs.Body, maxAnswerBytes+1))
	if err == nil && n > maxAnswerBytes {
		err = errAnswerTooLarge
	}
	if err != nil {
		return result.New(result.BackendAnswerBroken, "%s: %v", what, err).WithExecution(result.ExecutionUnknown)
	}

	return nil
}
