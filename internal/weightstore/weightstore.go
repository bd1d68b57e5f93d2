// Package weightstore is the adapter of the rate-limited weight store, from which
// engines fetch weights on their own. docs/interfaces/weight-store.md states the
// protocol.
package weightstore

import (
	"context"
	"net/http"
	"net/url"

	"github.com/tamarackbay/tamarackbay/internal/httpcall"
)

// Client talks to the weight store.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the store at an IP number with a port.
func New(address, bind string) *Client {
	return &Client{base: "http://" + address, http: httpcall.NewClient(bind, true)}
}

// Info describes a version in the store.
type Info struct {
	Model         string `json:"model"`
	Version       string `json:"version"`
	Bytes         int64  `json:"bytes"`
	MaxConcurrent int    `json:"maxConcurrent"` // fetches that the store serves at once
}

// Describe returns what the store knows of a version. It is the check that a
// version exists before a swap starts.
func (cl *Client) Describe(ctx context.Context, model, version string) (Info, error) {
	var in Info
	u := cl.base + "/v1/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version)
	_, err := httpcall.JSON(ctx, cl.http, http.MethodGet, u, nil, &in)

	return in, err
}
