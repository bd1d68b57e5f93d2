// Package httpcall holds what the adapters of outside interfaces share: clients
// that dial from the process's own address, small JSON calls, and the judgement
// whether a failed call can have run.
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
	"time"

	"github.com/tamarackbay/tamarackbay/internal/dialer"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

const (
	dialTimeout      = time.Second
	idleTimeout      = 30 * time.Second
	maxIdlePerServer = 256
	maxAnswerBytes   = 16 << 20
	maxErrorBytes    = 512
)

// Config builds a client.
type Config struct {
	Bind        string        // IP number that is dialled from, "" for any
	KeepAlive   bool          // whether connections carry more than one request
	Idle        time.Duration // how long an unused connection is kept
	DialTimeout time.Duration
	Silence     time.Duration // a connection whose peer acknowledges nothing for so long is cut, 0 for the kernel's limit
}

// Defaults fills the fields left zero.
func (c *Config) Defaults() {
	if c.Idle == 0 {
		c.Idle = idleTimeout
	}
	if c.DialTimeout == 0 {
		c.DialTimeout = dialTimeout
	}
}

// New returns a client.
func New(cfg Config) *http.Client {
	cfg.Defaults()
	nd := dialer.New(dialer.Config{Bind: cfg.Bind, Timeout: cfg.DialTimeout, Silence: cfg.Silence})

	return &http.Client{
		Transport: &http.Transport{
			DialContext: nd.DialContext, DisableKeepAlives: !cfg.KeepAlive, MaxIdleConnsPerHost: maxIdlePerServer,
			IdleConnTimeout: cfg.Idle, DisableCompression: true, Proxy: nil,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// idleShare of the time after which a server closes unused connections is how long
// they are kept here, so that no request meets the close on its way.
const idleShare = 0.8

// learner keeps unused connections for as long as the servers say that they do.
type learner struct {
	cfg Config

	mu      sync.Mutex
	current http.RoundTripper
	told    time.Duration // shortest time that a server told, 0 before the first
}

// NewLearning returns a client that begins with the idle time of cfg and takes the
// shortest one that servers tell.
func NewLearning(cfg Config) *http.Client {
	hc := New(cfg)
	hc.Transport = &learner{cfg: cfg, current: hc.Transport}

	return hc
}

// KeepIdle returns how long a client of NewLearning keeps an unused connection now.
func KeepIdle(hc *http.Client) time.Duration {
	le, ok := hc.Transport.(*learner)
	if !ok {
		return 0
	}
	le.mu.Lock()
	defer le.mu.Unlock()

	return le.keep()
}

// keep is called with le.mu held.
func (le *learner) keep() time.Duration {
	if le.told == 0 {
		return le.cfg.Idle
	}

	return time.Duration(idleShare * float64(le.told))
}

// RoundTrip sends a request and learns from its answer.
func (le *learner) RoundTrip(rq *http.Request) (*http.Response, error) {
	le.mu.Lock()
	rt := le.current
	le.mu.Unlock()

	rs, err := rt.RoundTrip(rq)
	if err == nil {
		le.learn(rs.Header.Get("Keep-Alive"))
	}

	return rs, err
}

// learn takes the header that tells the time after which a server closes unused connections.
func (le *learner) learn(header string) {
	s, ok := strings.CutPrefix(header, "timeout=")
	if !ok {
		return
	}
	s, _, _ = strings.Cut(s, ",")
	n, err := strconv.Atoi(strings.TrimSpace(s))
	if err != nil || n <= 0 {
		return // a server that tells no time may keep its connections for ever
	}

	le.mu.Lock()
	defer le.mu.Unlock()
	idle := time.Duration(n) * time.Second
	if le.told > 0 && idle >= le.told {
		return
	}
	le.told = idle
	cfg := le.cfg
	cfg.Idle = le.keep()
	old := le.current
	le.current = New(cfg).Transport
	if tr, ok := old.(*http.Transport); ok {
		tr.CloseIdleConnections() // requests under way finish on the old connections
	}
}

// NewClient returns a client that dials from the IP number bind. Without
// keepAlive each request has a connection of its own, so that the library never
// sends one a second time.
func NewClient(bind string, keepAlive bool) *http.Client {
	return New(Config{Bind: bind, KeepAlive: keepAlive})
}

// Failure returns the numbered error of a call that got no answer.
func Failure(what string, err error) *result.Error {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return result.New(result.BackendUnreachable, "%s: %v", what, err)
	case errors.Is(err, context.DeadlineExceeded):
		return result.New(result.BackendTimeout, "%s: %v", what, err).With(result.Unknown)
	case errors.Is(err, context.Canceled):
		return result.New(result.DeadlinePassed, "%s: the caller has gone", what).With(result.Unknown)
	}

	return result.New(result.BackendCrashed, "%s: %v", what, err).With(result.Unknown)
}

// Refusal returns the numbered error of an answer with an error status.
func Refusal(what string, rs *http.Response) *result.Error {
	b, _ := io.ReadAll(io.LimitReader(rs.Body, maxErrorBytes))

	return result.New(result.BackendRefused, "%s: status %d: %s", what, rs.StatusCode, bytes.TrimSpace(b))
}

// JSON sends in as JSON, if it is not nil, and decodes the answer into out. The
// status of the answer is returned with every error that an answer had.
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

	if rs.StatusCode >= http.StatusMultipleChoices {
		return rs.StatusCode, Refusal(what, rs)
	}
	if out == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(rs.Body, maxAnswerBytes))

		return rs.StatusCode, nil
	}
	if err := json.NewDecoder(io.LimitReader(rs.Body, maxAnswerBytes)).Decode(out); err != nil {
		return rs.StatusCode, result.New(result.BackendAnswerBroken, "%s: %v", what, err).With(result.Unknown)
	}

	return rs.StatusCode, nil
}
