// Package rollout drives the steps of trainers: it runs an attempt for each
// sample, hedges stragglers, stores each payload on two gateways until it is
// acknowledged, and assembles the numbered pages.
package rollout

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

// VersionRange is a range of tokens, From inclusive and To exclusive, that a weight
// version generated. Where ranges overlap, either version may have.
type VersionRange struct {
	Version string `json:"version"`
	From    uint32 `json:"from"`
	To      uint32 `json:"to"`
}

// AddRange appends the range from..to of version to rs, or extends the last range
// if that has the same version and ends at from.
func AddRange(rs []VersionRange, version string, from, to uint32) []VersionRange {
	if n := len(rs); n > 0 && rs[n-1].Version == version && rs[n-1].To == from {
		rs[n-1].To = to

		return rs
	}

	return append(rs, VersionRange{Version: version, From: from, To: to})
}

// SampleRequest is a request to generate the text of one sample.
type SampleRequest struct {
	Workspace   string
	Model       string
	Prompt      string
	MaxTokens   uint32
	Temperature float64
	Seed        uint64
	Retries     int
	Timeout     time.Duration
	MinSequence uint64              // oldest eligible weight version
	Exclude     []string            // backend servers that may not run it
	OnPlaced    func(server string) // called when the attempt is sent to a backend server
}

// SampleResult is the result of a completed request.
type SampleResult struct {
	RequestID    string
	Text         string
	Finish       string
	Tokens       uint32
	PromptTokens uint32
	Versions     []VersionRange
	Server       string
}

// record is the payload of a sample as the trainer receives it.
type record struct {
	ID           string         `json:"id"`
	Group        string         `json:"group"`
	Attempt      uint32         `json:"attempt"`
	Text         string         `json:"text"`
	Finish       string         `json:"finish"`
	Tokens       uint32         `json:"tokens"`
	PromptTokens uint32         `json:"promptTokens"`
	Versions     []VersionRange `json:"versions"`
	Score        *float64       `json:"score,omitempty"`
	Failure      *failure       `json:"failure,omitempty"`
	StartedMs    int64          `json:"startedMs"`
	EndedMs      int64          `json:"endedMs"`
}

// failure replaces the text of a sample that cannot be generated, so that the step
// still completes.
type failure struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Message string      `json:"message"`
}

// encodeRecord returns the JSON of a record and its digest.
func encodeRecord(re record) ([]byte, string, error) {
	b, err := json.Marshal(re)
	if err != nil {
		return nil, "", err
	}
	s := sha256.Sum256(b)

	return b, hex.EncodeToString(s[:]), nil
}

func digestOf(b []byte) string {
	s := sha256.Sum256(b)

	return hex.EncodeToString(s[:])
}
