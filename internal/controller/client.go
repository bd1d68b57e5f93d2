package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/permit"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// callTimeout bounds a call to one controller.
const callTimeout = 900 * time.Millisecond

// Client calls the controllers from another process of the system.
type Client struct {
	Links     *peer.Links
	Addresses func() []string // peer addresses of the controllers
}

// Call sends a record to the controllers one after another, from a random one on, until one
// has accepted it, and decodes its answer into out unless that is nil.
func (cl *Client) Call(ctx context.Context, method string, record, out any) error {
	b, err := cbor.Marshal(record)
	if err != nil {
		return result.New(result.Internal, "controller: encode the call %s: %v", method, err)
	}

	targets := cl.Addresses()
	first := rand.IntN(max(len(targets), 1))
	err = result.New(result.NoLeader, "controller: no controller is connected")
	for i := range targets {
		a := targets[(first+i)%len(targets)]
		if cl.Links.To(a).Session() == nil {
			continue
		}
		if err = cl.call(ctx, a, method, b, out); err == nil || ctx.Err() != nil {
			return err
		}
	}

	return err
}

func (cl *Client) call(ctx context.Context, address, method string, record []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if out == nil {
		return cl.Links.Call(ctx, address, method, &wire.Payload{Record: record}, &wire.Empty{})
	}
	var pa wire.Payload
	if err := cl.Links.Call(ctx, address, method, &wire.Payload{Record: record}, &pa); err != nil {
		return err
	}

	if len(pa.GetRecord()) == 0 {
		return nil // a controller of an earlier version, which has nothing to answer
	}

	return cbor.Unmarshal(pa.GetRecord(), out)
}

// AskPermits asks the broker for permits.
func (cl *Client) AskPermits(ctx context.Context, rq *permit.Request) (permit.Reply, error) {
	var rep permit.Reply
	err := cl.Call(ctx, MethodPermits, rq, &rep)

	return rep, err
}

// ReportLeaving tells a controller that a backend server said in an answer that it leaves.
func (cl *Client) ReportLeaving(ctx context.Context, in registry.Incarnation) error {
	return cl.Call(ctx, MethodLeaving, in, nil)
}

// ReportLimits reports rate limits to the broker.
func (cl *Client) ReportLimits(ctx context.Context, limits []permit.Limit) error {
	return cl.Call(ctx, MethodLimits, limits, &struct{}{})
}
