// Package scorer is the HTTP client of the services that score samples.
// docs/interfaces/scorer.md describes the protocol.
package scorer

import (
	"context"
	"net/http"

	"github.com/tamarackbay/tamarackbay/internal/httpcall"
)

// Client is a client of one scorer.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the scorer at address, an IP number with a port, that dials
// from the IP number bind.
func New(address, bind string) *Client {
	return &Client{base: "http://" + address, http: httpcall.NewClient(bind, true)}
}

type scoreRequest struct {
	SampleID string `json:"sampleId"`
	Prompt   string `json:"prompt"`
	Text     string `json:"text"`
}

// Score returns the score of a sample. The call is idempotent.
func (cl *Client) Score(ctx context.Context, sampleID, prompt, text string) (float64, error) {
	var out struct {
		Score float64 `json:"score"`
	}
	_, err := httpcall.JSON(ctx, cl.http, http.MethodPost, cl.base+"/v1/score", scoreRequest{sampleID, prompt, text}, &out)

	return out.Score, err
}
