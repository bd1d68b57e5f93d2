// Package engine implements a client of model engines: completions streamed as
// server-sent events, orders to load and activate weights, status and cache
// events. docs/interfaces/engine.md specifies the protocol.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/tamarackbay/tamarackbay/internal/httpcall"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

// Client calls one engine.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the engine at address, an IP number with a port. It dials
// from the IP number bind.
func New(address, bind string) *Client {
	return &Client{base: "http://" + address, http: httpcall.NewClient(bind, true)}
}

// Request is one completion.
type Request struct {
	ID          string  `json:"request_id"`
	Model       string  `json:"model"`
	Prompt      string  `json:"prompt"`
	MaxTokens   uint32  `json:"max_tokens"`
	Temperature float64 `json:"temperature"`
	Seed        uint64  `json:"seed"`
	Priority    uint32  `json:"priority"`
	CacheKey    string  `json:"cache_key,omitempty"`
	Stream      bool    `json:"stream"`
}

// Chunk is a part of a completion.
type Chunk struct {
	Text         string
	Tokens       uint32
	Version      string // "" if the engine doesn't name it
	Finish       string // set on the last chunk: stop or length
	PromptTokens uint32
}

// chunkBody is the JSON body of a chunk.
type chunkBody struct {
	ID            string `json:"id"`
	WeightVersion string `json:"weight_version"`
	Choices       []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage struct {
		PromptTokens     uint32 `json:"prompt_tokens"`
		CompletionTokens uint32 `json:"completion_tokens"`
	} `json:"usage"`
}

const (
	maxLineBytes = 1 << 20
	dataPrefix   = "data: "
	endMark      = "[DONE]" // data of the last event of a complete stream
)

// Complete runs a completion and calls onChunk for each chunk. It returns nil only
// after the end mark. A chunk with the ID of another request is an error and is not
// forwarded.
func (cl *Client) Complete(ctx context.Context, rq Request, onChunk func(Chunk) error) error {
	rq.Stream = true
	b, err := json.Marshal(rq)
	if err != nil {
		return err
	}
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, cl.base+"/v1/completions", bytes.NewReader(b))
	if err != nil {
		return err
	}
	hr.Header.Set("Content-Type", "application/json")

	rs, err := cl.http.Do(hr)
	if err != nil {
		return httpcall.Failure("engine", err)
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return httpcall.Refusal("engine", rs)
	}

	return readEvents(rs.Body, rq.ID, onChunk)
}

// readEvents decodes the server-sent events of a completion up to the end mark.
func readEvents(body io.Reader, id string, onChunk func(Chunk) error) error {
	sc := bufio.NewScanner(body)
	sc.Buffer(make([]byte, 0, 4096), maxLineBytes)
	isFinished := false
	skipped := 0 // bytes of other lines since the last event
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), dataPrefix)
		if !ok {
			if skipped += len(sc.Bytes()) + 1; skipped > maxLineBytes {
				return brokenAnswer(fmt.Sprintf("%d bytes without an event", skipped))
			}

			continue
		}
		skipped = 0
		if data == endMark {
			if !isFinished {
				return brokenAnswer("the stream has an end mark but no finish reason")
			}

			return nil
		}
		ch, err := decodeChunk(data, id)
		if err != nil {
			return err
		}
		isFinished = isFinished || ch.Finish != ""
		if err := onChunk(ch); err != nil {
			return err
		}
	}
	if err := sc.Err(); err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		return httpcall.Failure("engine: stream", err)
	}

	return result.New(result.BackendCrashed, "engine: the stream ended before its end mark").WithExecution(result.ExecutionUnknown)
}

func decodeChunk(data, id string) (Chunk, error) {
	var cb chunkBody
	if err := json.Unmarshal([]byte(data), &cb); err != nil {
		return Chunk{}, brokenAnswer(err.Error())
	}
	if cb.ID != id {
		return Chunk{}, brokenAnswer(fmt.Sprintf("the answer belongs to request %q, not %q", cb.ID, id))
	}
	if len(cb.Choices) != 1 {
		return Chunk{}, brokenAnswer(fmt.Sprintf("a chunk has %d choices, not 1", len(cb.Choices)))
	}

	return Chunk{
		Text: cb.Choices[0].Text, Finish: cb.Choices[0].FinishReason, Version: cb.WeightVersion,
		Tokens: cb.Usage.CompletionTokens, PromptTokens: cb.Usage.PromptTokens,
	}, nil
}

func brokenAnswer(what string) *result.Error {
	return result.New(result.BackendAnswerBroken, "engine: %s", what).WithExecution(result.ExecutionUnknown)
}

// Status is the status that an engine reports.
type Status struct {
	Instance      string `json:"instance"` // changes with each start of the engine
	State         string `json:"state"`    // ready, loading or failed
	Version       string `json:"weight_version"`
	LoadedVersion string `json:"loaded_version"`
	Running       uint32 `json:"running"`
	Queued        uint32 `json:"queued"`
	CacheSequence uint64 `json:"cache_sequence"`
}

// StateReady is the state of an engine that accepts requests.
const StateReady = "ready"

// Status returns the engine's current status.
func (cl *Client) Status(ctx context.Context) (Status, error) {
	var st Status
	_, err := httpcall.JSON(ctx, cl.http, http.MethodGet, cl.base+"/v1/status", nil, &st)

	return st, err
}

// Order is an order to load or activate weights. An engine that checks fencing
// numbers refuses an order whose number is lower than the highest it has seen.
type Order struct {
	ID          string `json:"order_id"`
	Model       string `json:"model"`
	Version     string `json:"version"`
	Fencing     uint64 `json:"fencing"`
	LeaseHolder string `json:"giver"`
}

// Load makes the engine fetch weights while it keeps serving the current ones.
func (cl *Client) Load(ctx context.Context, or Order) error {
	return cl.order(ctx, "/v1/weights/load", or)
}

// Activate makes the engine serve the weights that it has loaded.
func (cl *Client) Activate(ctx context.Context, or Order) error {
	return cl.order(ctx, "/v1/weights/activate", or)
}

// order sends an order. After any failure other than a refused fencing number, the
// outcome of the order is unknown.
func (cl *Client) order(ctx context.Context, path string, or Order) error {
	status, err := httpcall.JSON(ctx, cl.http, http.MethodPost, cl.base+path, or, nil)
	switch {
	case err == nil:
		return nil
	case status == http.StatusPreconditionFailed:
		return result.New(result.FencingTooLow, "engine: order %s: %v", or.ID, err)
	}

	return result.New(result.SwapFailed, "engine: order %s: %v", or.ID, err).WithExecution(result.ExecutionUnknown)
}

// CacheEvent reports that a prefix was added to or evicted from the engine's prefix
// cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Key      string `json:"cache_key"`
	Evicted  bool   `json:"evicted"`
}

// CacheEvents returns the events after a sequence number. The events after 0 describe
// the complete cache.
func (cl *Client) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	var out struct {
		Events []CacheEvent `json:"events"`
	}
	_, err := httpcall.JSON(ctx, cl.http, http.MethodGet, fmt.Sprintf("%s/v1/cache_events?after=%d", cl.base, after), nil, &out)

	return out.Events, err
}

// Abort cancels a request on the engine.
func (cl *Client) Abort(ctx context.Context, id string) error {
	_, err := httpcall.JSON(ctx, cl.http, http.MethodPost, cl.base+"/v1/abort", map[string]string{"request_id": id}, nil)

	return err
}
