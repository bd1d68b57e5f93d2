package handlers

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/gateway"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/rollout"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

const (
	// maxMediumBodyBytes bounds completion requests and operators' patches.
	maxMediumBodyBytes = 4 << 20
	maxTokensLimit     = 131_072
	defaultMaxTokens   = 256
)

// completionRequest is the body of the usual completion calls. Fields of the usual
// interface that have no effect here, such as User, are accepted and ignored.
type completionRequest struct {
	Model       string        `json:"model"`
	Prompt      string        `json:"prompt"`
	Messages    []chatMessage `json:"messages"`
	MaxTokens   uint32        `json:"max_tokens"`
	Temperature float64       `json:"temperature"`
	Seed        uint64        `json:"seed"`
	Stream      bool          `json:"stream"`
	N           int           `json:"n"`
	User        string        `json:"user"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionChoice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type completionUsage struct {
	PromptTokens     uint32 `json:"prompt_tokens"`
	CompletionTokens uint32 `json:"completion_tokens"`
	TotalTokens      uint32 `json:"total_tokens"`
}

type completionReply struct {
	ID             string                 `json:"id"`
	Object         string                 `json:"object"`
	Created        int64                  `json:"created"`
	Model          string                 `json:"model"`
	Choices        []completionChoice     `json:"choices"`
	Usage          *completionUsage       `json:"usage,omitempty"`
	WeightVersions []rollout.VersionRange `json:"weight_versions,omitempty"`
}

func (ca *Callers) completions(w http.ResponseWriter, r *http.Request, cl gateway.Caller) {
	ca.complete(w, r, cl, false)
}

func (ca *Callers) chat(w http.ResponseWriter, r *http.Request, cl gateway.Caller) {
	ca.complete(w, r, cl, true)
}

func (ca *Callers) complete(w http.ResponseWriter, r *http.Request, cl gateway.Caller, isChat bool) {
	rq, co, err := ca.parseCompletion(w, r, cl, isChat)
	if err != nil {
		ca.refuse(w, err)

		return
	}
	if rq.Stream {
		ca.streamCompletion(w, r, co, isChat)

		return
	}

	wr, err := ca.gateway.Complete(r.Context(), co, nil)
	if err != nil {
		ca.refuse(w, err)

		return
	}
	w.Header().Set("X-Request-Id", wr.RequestID)
	writeJSON(w, http.StatusOK, completeReply(wr, co.Model, isChat))
}

func (ca *Callers) parseCompletion(w http.ResponseWriter, r *http.Request, cl gateway.Caller, isChat bool) (completionRequest, gateway.CompletionRequest, error) {
	var rq completionRequest
	var co gateway.CompletionRequest
	b, err := readBody(ca.gateway.Intake(), w, r, maxMediumBodyBytes)
	if err != nil {
		return rq, co, err
	}
	if cl.Secret != "" && strings.Contains(string(b), cl.Secret) {
		return rq, co, result.New(result.KeyInRequest, "the body contains the caller's key")
	}
	if err := decodeJSON(b, &rq); err != nil {
		return rq, co, err
	}
	if isChat {
		rq.Prompt = chatPrompt(rq.Messages)
	}
	if rq.MaxTokens == 0 {
		rq.MaxTokens = defaultMaxTokens
	}
	switch {
	case rq.Prompt == "":
		return rq, co, result.New(result.InvalidField, "prompt or messages must be set")
	case rq.MaxTokens > maxTokensLimit:
		return rq, co, result.New(result.InvalidField, "max_tokens %d is over the limit of %d", rq.MaxTokens, maxTokensLimit)
	case rq.N > 1:
		return rq, co, result.New(result.InvalidField, "n %d is not 1: a request gets one answer", rq.N)
	case rq.Temperature < 0 || rq.Temperature > 10:
		return rq, co, result.New(result.InvalidField, "temperature %g is not between 0 and 10", rq.Temperature)
	}

	name, ro, err := ca.gateway.RouteOfModel(rq.Model, cl.Workspace)
	if err != nil {
		return rq, co, err
	}
	timeout, err := callerTimeout(r, ro.Timeout())

	return rq, gateway.CompletionRequest{
		Workspace: cl.Workspace, Route: name, Model: rq.Model, Prompt: rq.Prompt, MaxTokens: rq.MaxTokens,
		Temperature: rq.Temperature, Seed: rq.Seed, Class: ro.Class, Retries: ro.Retries, Timeout: timeout,
	}, err
}

// chatPrompt joins messages into one prompt with one line per message.
func chatPrompt(ms []chatMessage) string {
	var sb strings.Builder
	for _, m := range ms {
		fmt.Fprintf(&sb, "%s: %s\n", m.Role, m.Content)
	}
	if sb.Len() > 0 {
		sb.WriteString("assistant:")
	}

	return sb.String()
}

func objectName(isChat, isChunk bool) string {
	switch {
	case isChat && isChunk:
		return "chat.completion.chunk"
	case isChat:
		return "chat.completion"
	}

	return "text_completion"
}

func completeReply(wr *gateway.CompletionResult, model string, isChat bool) completionReply {
	ch := completionChoice{FinishReason: &wr.Finish}
	if isChat {
		ch.Message = &chatMessage{Role: "assistant", Content: wr.Text}
	} else {
		ch.Text = &wr.Text
	}

	return completionReply{
		ID: wr.RequestID, Object: objectName(isChat, false), Created: time.Now().Unix(), Model: model,
		Choices: []completionChoice{ch}, Usage: usageOf(wr), WeightVersions: wr.Versions,
	}
}

func usageOf(wr *gateway.CompletionResult) *completionUsage {
	return &completionUsage{
		PromptTokens: wr.PromptTokens, CompletionTokens: wr.Tokens, TotalTokens: wr.PromptTokens + wr.Tokens,
	}
}

// streamCompletion forwards each part as it arrives. An error after the first part is
// sent as an event, without the end mark [DONE].
func (ca *Callers) streamCompletion(w http.ResponseWriter, r *http.Request, co gateway.CompletionRequest, isChat bool) {
	started := false
	send := func(v any) error {
		b, err := json.Marshal(v)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", b); err != nil {
			return err
		}

		return http.NewResponseController(w).Flush()
	}
	wr, err := ca.gateway.Complete(r.Context(), co, func(id string, part *wire.RunChunk) error {
		if !started {
			started = true
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("X-Request-Id", id)
			w.WriteHeader(http.StatusOK)
		}

		return send(chunkReply(id, co.Model, part, isChat))
	})
	switch {
	case err != nil && !started:
		ca.refuse(w, err)
	case err != nil:
		ca.gateway.Meter().CountRefusal(err)
		_ = send(newErrorBody(result.From(err))) // fails if the connection is the cause
	default:
		last := completionReply{
			ID: wr.RequestID, Object: objectName(isChat, true), Created: time.Now().Unix(), Model: co.Model,
			Choices: []completionChoice{}, Usage: usageOf(wr), WeightVersions: wr.Versions,
		}
		if send(last) == nil {
			_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
			_ = http.NewResponseController(w).Flush()
		}
	}
}

func chunkReply(id, model string, part *wire.RunChunk, isChat bool) completionReply {
	text := part.GetText()
	ch := completionChoice{}
	if isChat {
		ch.Delta = &chatMessage{Role: "assistant", Content: text}
	} else {
		ch.Text = &text
	}
	if f := part.GetFinish(); f != "" {
		ch.FinishReason = &f
	}

	return completionReply{
		ID: id, Object: objectName(isChat, true), Created: time.Now().Unix(), Model: model, Choices: []completionChoice{ch},
	}
}
