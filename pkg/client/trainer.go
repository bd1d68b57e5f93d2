package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
)

// Group is a prompt of a step with the number of samples to generate.
type Group struct {
	ID          string  `json:"id"`
	Prompt      string  `json:"prompt"`
	Samples     int     `json:"samples"`
	MaxTokens   int     `json:"maxTokens"`
	Temperature float64 `json:"temperature,omitempty"`
}

// Step is one step of a trainer. Opening the same step again has no effect.
type Step struct {
	ID         string  `json:"id"`
	Trainer    string  `json:"trainer"`
	Staleness  *uint64 `json:"staleness,omitempty"` // bound in versions; nil for that of the trainer
	MinVersion string  `json:"minVersion,omitempty"`
	TimeoutMs  int     `json:"timeoutMs,omitempty"`
	Groups     []Group `json:"groups"`
}

// Sample is one rollout. Failure is set if no text could be generated.
type Sample struct {
	ID           string         `json:"id"`
	Group        string         `json:"group"`
	Attempt      int            `json:"attempt"`
	Text         string         `json:"text"`
	Finish       string         `json:"finish"`
	Tokens       int            `json:"tokens"`
	PromptTokens int            `json:"promptTokens"`
	Versions     []VersionRange `json:"versions"`
	Score        *float64       `json:"score"`
	Failure      *Error         `json:"failure"`
	StartedMs    int64          `json:"startedMs"` // Unix time in ms
	EndedMs      int64          `json:"endedMs"`
}

type pageBody struct {
	Step    string   `json:"step"`
	Page    uint64   `json:"page"`
	Samples []Sample `json:"samples"`
}

// OpenStep opens a step, whose samples are then fetched with Samples.
func (cl *Client) OpenStep(ctx context.Context, st Step) error {
	return cl.post(ctx, "/v1/steps", st, nil)
}

// Samples calls onPage with the samples of each page of a step until all are delivered.
// A page is requested until it has been received completely, and is acknowledged after
// onPage has returned nil, so that each sample is passed to onPage once.
func (cl *Client) Samples(ctx context.Context, step string, onPage func([]Sample) error) error {
	return cl.SamplesFrom(ctx, step, 1, func(_ uint64, ss []Sample) error { return onPage(ss) })
}

// SamplesFrom is like Samples but starts at page number first. A trainer that stores the
// number of the last page that it has processed can resume with the next one.
func (cl *Client) SamplesFrom(ctx context.Context, step string, first uint64, onPage func(page uint64, samples []Sample) error) error {
	path := "/v1/steps/" + url.PathEscape(step) + "/pages/"
	for n := first; ; n++ {
		var pb pageBody
		err := cl.retry(ctx, isTemporary, func() error {
			_, b, err := cl.sendAndRead(ctx, http.MethodGet, fmt.Sprintf("%s%d?waitMs=%d", path, n, pageWait.Milliseconds()), nil, nil)
			if err != nil {
				return err
			}

			return json.Unmarshal(b, &pb)
		})
		var er *Error
		if errors.As(err, &er) && er.Name == nameStepOver {
			return nil
		}
		if err != nil {
			return err
		}
		if err := onPage(n, pb.Samples); err != nil {
			return err
		}
		if err := cl.post(ctx, fmt.Sprintf("%s%d/ack", path, n), struct{}{}, nil); err != nil {
			return err
		}
	}
}

// PushVersion declares a new weight version of a model and the source of its weights.
func (cl *Client) PushVersion(ctx context.Context, model, name, source string) error {
	in := map[string]string{"name": name, "source": source}

	return cl.post(ctx, "/v1/models/"+url.PathEscape(model)+"/versions", in, nil)
}
