// Package rollout drives the steps of trainers: it runs an attempt for each
// sample, races stragglers, keeps payloads with two holders until they are
// acknowledged, and forms the numbered pages.
package rollout

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

// VersionRange says which tokens of a text a weight version wrote: From
// inclusive, To exclusive. Overlapping ranges mean either of their versions.
type VersionRange struct {
	Version string `json:"version"`
	From    uint32 `json:"from"`
	To      uint32 `json:"to"`
}

// AddRange adds the tokens from..to of version, joining it with the last range where it goes on.
func AddRange(rs []VersionRange, version string, from, to uint32) []VersionRange {
	if n := len(rs); n > 0 && rs[n-1].Version == version && rs[n-1].To == from {
		rs[n-1].To = to

		return rs
	}

	return append(rs, VersionRange{Version: version, From: from, To: to})
}

// Attempt is one run of a sample.
type Attempt struct {
	Workspace   string
	Model       string
	Prompt      string
	MaxTokens   uint32
	Temperature float64
	Seed        uint64
	Retries     int
	Timeout     time.Duration
	MinSequence uint64
	Exclude     []string
	Placed      func(server string) // called when the attempt is sent to a backend server
}

// Written is what an attempt produced.
type Written struct {
	RequestID    string
	Text         string
	Finish       string
	Tokens       uint32
	PromptTokens uint32
	Versions     []VersionRange
	Server       string
}

// record is a sample as the trainer gets it.
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

// failure takes the place of a text that cannot be made, so that the step stays whole.
type failure struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Message string      `json:"message"`
}

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
