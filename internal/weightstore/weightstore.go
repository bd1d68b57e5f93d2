// Package weightstore implements a client of the rate-limited weight store. Engines
// fetch weights from the store directly; the client only reads descriptions of
// versions. docs/interfaces/weight-store.md specifies the protocol.
package weightstore

import (
	"context"
	"net/http"
	"net/url"

	"github.com/tamarackbay/tamarackbay/internal/httpcall"
)

// Client calls the weight store.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the store at address, an IP number with a port. It dials
// from the IP number bind.
func New(address, bind string) *Client {
	return &Client{base: "http://" + address, http: httpcall.NewClient(bind, true)}
}

// Info describes a weight version in the store.
type Info struct {
	Model         string `json:"model"`
	Version       string `json:"version"`
	Bytes         int64  `json:"bytes"`
	MaxConcurrent int    `json:"maxConcurrent"` // maximum number of concurrent fetches
}

// Describe returns the store's description of a weight version. It is called before
// a swap to check that the version exists.
func (cl *Client) Describe(ctx context.Context, model, version string) (Info, error) {
	var in Info
	u := cl.base + "/v1/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version)
	_, err := httpcall.JSON(ctx, cl.http, http.MethodGet, u, nil, &in)

	return in, err
}
