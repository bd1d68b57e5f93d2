// Package ordering is the adapter of the platform's interface that starts and
// stops backend servers by failure domain. docs/interfaces/ordering.md states the
// protocol.
package ordering

import (
	"context"
	"net/http"

	"github.com/tamarackbay/tamarackbay/internal/httpcall"
)

// Client talks to the ordering interface.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the interface at an IP number with a port.
func New(address, bind string) *Client {
	return &Client{base: "http://" + address, http: httpcall.NewClient(bind, true)}
}

// Actions of an order.
const (
	ActionStart = "start"
	ActionStop  = "stop"
)

// Order asks for a backend server or gives one back. The interface carries out an
// order ID once, however often it is sent.
type Order struct {
	ID            string `json:"orderId"`
	Action        string `json:"action"`
	Class         string `json:"class"`
	FailureDomain string `json:"failureDomain"`
	Server        string `json:"server,omitempty"` // to stop
	Fencing       uint64 `json:"fencing"`
	Giver         string `json:"giver"`
}

// Answer is the interface's answer to an order.
type Answer struct {
	ID     string `json:"orderId"`
	State  string `json:"state"` // accepted, refused
	Server string `json:"server,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// StateAccepted is the state of an order that is carried out.
const StateAccepted = "accepted"

// Send gives an order.
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

// Servers lists what the platform runs.
func (cl *Client) Servers(ctx context.Context) ([]Server, error) {
	var out struct {
		Servers []Server `json:"servers"`
	}
	_, err := httpcall.JSON(ctx, cl.http, http.MethodGet, cl.base+"/v1/servers", nil, &out)

	return out.Servers, err
}
