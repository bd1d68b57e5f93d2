// Package ordering implements a client of the platform's interface that starts and
// stops backend servers by failure domain. docs/interfaces/ordering.md specifies the
// protocol.
package ordering

import (
	"context"
	"net/http"

	"github.com/tamarackbay/tamarackbay/internal/httpcall"
)

// Client calls the ordering interface.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the interface at address, an IP number with a port. It
// dials from the IP number bind.
func New(address, bind string) *Client {
	return &Client{base: "http://" + address, http: httpcall.NewClient(bind, true)}
}

// Actions of an order.
const (
	ActionStart = "start"
	ActionStop  = "stop"
)

// Order requests the start or stop of a backend server. It is idempotent: the
// interface executes each order ID once, however often it is sent.
type Order struct {
	ID            string `json:"orderId"`
	Action        string `json:"action"`
	Class         string `json:"class"`
	FailureDomain string `json:"failureDomain"`
	Server        string `json:"server,omitempty"` // the backend server to stop
	Fencing       uint64 `json:"fencing"`
	LeaseHolder   string `json:"giver"`
}

// Answer is the interface's answer to an order.
type Answer struct {
	ID     string `json:"orderId"`
	State  string `json:"state"` // accepted or refused
	Server string `json:"server,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// StateAccepted is the state of an order that the platform executes.
const StateAccepted = "accepted"

// Send sends an order and returns the answer.
func (cl *Client) Send(ctx context.Context, or Order) (Answer, error) {
	var an Answer
	_, err := httpcall.JSON(ctx, cl.http, http.MethodPost, cl.base+"/v1/orders", or, &an)

	return an, err
}

// Server is a backend server that the platform runs and bills.
type Server struct {
	Name          string `json:"server"`
	OrderID       string `json:"orderId"`
	Class         string `json:"class"`
	FailureDomain string `json:"failureDomain"`
}

// Servers lists the backend servers that the platform runs.
func (cl *Client) Servers(ctx context.Context) ([]Server, error) {
	var out struct {
		Servers []Server `json:"servers"`
	}
	_, err := httpcall.JSON(ctx, cl.http, http.MethodGet, cl.base+"/v1/servers", nil, &out)

	return out.Servers, err
}
