// Package client is the client library for callers and trainers. It switches to the next
// gateway when one fails, waits as long as a Retry-After-Ms header says, and retries only
// requests that may be repeated.
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/httpcall"
)

const (
	minBackoff     = 20 * time.Millisecond
	maxBackoff     = 2 * time.Second
	maxAnswerBytes = 256 << 20
	pageWait       = 2 * time.Second // how long a gateway waits for samples before it responds
)

// Config describes the gateways and the caller.
type Config struct {
	Gateways []string     // base URLs such as http://192.0.2.1:8080, or only that of the balancer
	Token    string       // key of the workspace
	HTTP     *http.Client // nil for one that refuses broken answers
}

// Client calls the gateways. It is safe for concurrent use.
type Client struct {
	cfg          Config
	gatewayIndex atomic.Uint32 // current gateway, modulo the number of gateways
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Transport: httpcall.NewTransport(&http.Transport{MaxIdleConnsPerHost: 64, ForceAttemptHTTP2: true})}
	}

	return &Client{cfg: cfg}
}

// Error is an error response with a numbered code; docs/codes.md lists the codes.
type Error struct {
	Code       int           `json:"code"`
	Name       string        `json:"name"`
	Message    string        `json:"message"`
	Execution  string        `json:"execution"` // whether the request was executed: notRun, ran or unknown
	Status     int           `json:"-"`
	RetryAfter time.Duration `json:"-"`
}

// Error returns the name, the code and the message.
func (er *Error) Error() string {
	return fmt.Sprintf("%s (%d): %s [%s]", er.Name, er.Code, er.Message, er.Execution)
}

// Names of errors, and an execution, that the client handles itself.
const (
	nameStepOver     = "stepOver"
	nameCallInFlight = "callInFlight"
	executionNotRun  = "notRun"
)

// baseURL returns the base URL of the current gateway.
func (cl *Client) baseURL() string {
	return cl.cfg.Gateways[int(cl.gatewayIndex.Load())%len(cl.cfg.Gateways)]
}

// sendAndRead sends one request to the current gateway and returns the response with its
// complete body. If the body is incomplete, it switches to the next gateway.
func (cl *Client) sendAndRead(ctx context.Context, method, path string, body []byte, h http.Header) (*http.Response, []byte, error) {
	rs, err := cl.send(ctx, method, path, body, h)
	if err != nil {
		return nil, nil, err
	}
	defer rs.Body.Close()
	b, err := io.ReadAll(io.LimitReader(rs.Body, maxAnswerBytes))
	if err != nil {
		cl.gatewayIndex.Add(1)

		return nil, nil, fmt.Errorf("client: %s %s: the response is incomplete: %w", method, path, err)
	}

	return rs, b, nil
}

// send sends one request to the current gateway and returns the response with its body
// unread. It switches to the next gateway if there is no response.
func (cl *Client) send(ctx context.Context, method, path string, body []byte, h http.Header) (*http.Response, error) {
	rq, err := http.NewRequestWithContext(ctx, method, cl.baseURL()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for n, v := range h {
		rq.Header[n] = v
	}
	if cl.cfg.Token != "" {
		rq.Header.Set("Authorization", "Bearer "+cl.cfg.Token)
	}
	rs, err := cl.cfg.HTTP.Do(rq)
	if err != nil {
		cl.gatewayIndex.Add(1)

		return nil, err
	}
	if rs.StatusCode < http.StatusBadRequest {
		return rs, nil
	}
	defer rs.Body.Close()

	return nil, cl.readError(rs)
}

// readError returns the error of a response. It switches to the next gateway for errors
// that are due to the state of the current one.
func (cl *Client) readError(rs *http.Response) error {
	var eb struct {
		Error Error `json:"error"`
	}
	b, _ := io.ReadAll(io.LimitReader(rs.Body, 1<<20))
	if err := json.Unmarshal(b, &eb); err != nil || eb.Error.Code == 0 {
		eb.Error = Error{Name: "status", Message: fmt.Sprintf("status %d: %s", rs.StatusCode, b), Execution: "unknown"}
	}
	eb.Error.Status = rs.StatusCode
	if ms, err := strconv.Atoi(rs.Header.Get("Retry-After-Ms")); err == nil {
		eb.Error.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	switch eb.Error.Name {
	case "staleProcess", "shuttingDown", "noLeader", "groupTimeout":
		cl.gatewayIndex.Add(1) // another gateway may be able to serve the request
	}

	return &eb.Error
}

// isTemporary reports whether the same request may succeed later. An error without a
// response counts as temporary, so callers use it for idempotent requests only.
func isTemporary(err error) bool {
	var er *Error
	if !errors.As(err, &er) {
		return true
	}

	return er.Status == http.StatusTooManyRequests || er.Status >= http.StatusInternalServerError
}

// retry retries a call with exponential back-off, or after the time that a response asked
// for, until it succeeds, isRetryable returns false or ctx ends.
func (cl *Client) retry(ctx context.Context, isRetryable func(err error) bool, call func() error) error {
	for wait := minBackoff; ; wait = min(2*wait, maxBackoff) {
		err := call()
		if err == nil || !isRetryable(err) {
			return err
		}
		d := wait
		var er *Error
		if errors.As(err, &er) && er.RetryAfter > 0 {
			d = er.RetryAfter
		}
		select {
		case <-time.After(d):
		case <-ctx.Done():
			return fmt.Errorf("client: stopped retrying: %w; last error: %w", ctx.Err(), err)
		}
	}
}

// post sends an idempotent request with a JSON body, retries temporary errors, and decodes
// the response into out unless that is nil.
func (cl *Client) post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}

	return cl.retry(ctx, isTemporary, func() error {
		_, b, err := cl.sendAndRead(ctx, http.MethodPost, path, body, http.Header{"Content-Type": {"application/json"}})
		if err != nil || out == nil {
			return err
		}

		return json.Unmarshal(b, out)
	})
}

// CompletionRequest is a request for a completion of a prompt.
type CompletionRequest struct {
	Model       string  `json:"model"`
	Prompt      string  `json:"prompt"`
	MaxTokens   int     `json:"max_tokens,omitempty"`
	Temperature float64 `json:"temperature,omitempty"`
	Seed        uint64  `json:"seed,omitempty"`
	Stream      bool    `json:"stream,omitempty"`
}

// VersionRange is the range of tokens that a weight version generated: From is inclusive,
// To exclusive.
type VersionRange struct {
	Version string `json:"version"`
	From    int    `json:"from"`
	To      int    `json:"to"`
}

// Completion is a generated text with the weight versions that generated it.
type Completion struct {
	ID       string
	Text     string
	Tokens   int
	Versions []VersionRange
}

type completionBody struct {
	ID      string `json:"id"`
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	Versions []VersionRange `json:"weight_versions"`
	Error    *Error         `json:"error"`
}

// Complete returns a completion without streaming.
func (cl *Client) Complete(ctx context.Context, rq CompletionRequest) (*Completion, error) {
	rq.Stream = false
	var cb completionBody
	if err := cl.post(ctx, "/v1/completions", rq, &cb); err != nil {
		return nil, err
	}

	co := &Completion{ID: cb.ID, Tokens: cb.Usage.CompletionTokens, Versions: cb.Versions}
	if len(cb.Choices) > 0 {
		co.Text = cb.Choices[0].Text
	}

	return co, nil
}

// Stream calls onText for each part of a completion as it arrives. It returns an error
// unless the end marker was received, and doesn't retry.
func (cl *Client) Stream(ctx context.Context, rq CompletionRequest, onText func(string)) (*Completion, error) {
	rq.Stream = true
	body, err := json.Marshal(rq)
	if err != nil {
		return nil, err
	}
	rs, err := cl.send(ctx, http.MethodPost, "/v1/completions", body, http.Header{"Content-Type": {"application/json"}})
	if err != nil {
		return nil, err
	}
	defer rs.Body.Close()

	co := &Completion{}
	sc := bufio.NewScanner(rs.Body)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return co, nil
		}
		var cb completionBody
		if err := json.Unmarshal([]byte(data), &cb); err != nil {
			return co, fmt.Errorf("client: decode an event of the stream: %w", err)
		}
		if cb.Error != nil {
			return co, cb.Error
		}
		for _, ch := range cb.Choices {
			co.Text += ch.Text
			onText(ch.Text)
		}
		if len(cb.Versions) > 0 {
			co.ID, co.Versions, co.Tokens = cb.ID, cb.Versions, cb.Usage.CompletionTokens
		}
	}

	return co, fmt.Errorf("client: the stream ended before its end marker: %w", errors.Join(sc.Err(), io.ErrUnexpectedEOF))
}

// Call sends a request to a plain service. With an idempotency key, the request is retried
// if its response was lost. Without one it is retried only after a temporary error that
// says that the request has not run.
func (cl *Client) Call(ctx context.Context, method, route, path string, body []byte, idempotencyKey string) ([]byte, error) {
	h := http.Header{}
	if idempotencyKey != "" {
		h.Set("Idempotency-Key", idempotencyKey)
	}

	isRetryable := func(err error) bool {
		var er *Error
		switch {
		case !errors.As(err, &er): // the response was lost
			return idempotencyKey != ""
		case er.Name == nameCallInFlight: // a retry receives the first request's response once it is available
			return true
		}

		return er.Execution == executionNotRun && isTemporary(err)
	}
	var out []byte
	err := cl.retry(ctx, isRetryable, func() error {
		_, b, err := cl.sendAndRead(ctx, method, "/r/"+route+path, body, h)
		out = b

		return err
	})

	return out, err
}
