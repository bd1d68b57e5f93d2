package controller

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackbay/tamarackbay/internal/origin"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// Methods that gateways call.
const (
	methodRecordOrigins = "controller.recordOrigins"
	methodFindOrigin    = "controller.findOrigin"
)

// findOrigin returns what this controller knows of the beginning of a stream, and of the backend
// servers that can't continue it.
func (co *Controller) findOrigin(key origin.Key) origin.Finding {
	fi := co.origins.Find(key)
	re, ok := co.origins.Record(key)
	if !ok {
		return fi
	}
	co.mu.Lock()
	defer co.mu.Unlock()

	for _, st := range co.serverStatuses() {
		if se := &st.Record; se.Service == fi.Origin.Service && se.State != registry.Left && se.Software != fi.Origin.Software {
			fi.OtherSoftware = append(fi.OtherSoftware, se.ID)
		}
	}
	if re.Server == "" {
		return fi
	}
	// A backend server may return with other software under its ID before gateways know that.
	now, ok := co.registry.Record(re.Server)
	if ok && now.Software != "" && now.Software != re.Origin.Software && re.MayBeOf(now.BornMs) {
		return origin.Finding{IsAmbiguous: true}
	}

	return fi
}

func (co *Controller) originHandlers() peer.Mux {
	return peer.Mux{
		methodRecordOrigins: func(_ context.Context, st *peer.Stream) error {
			var records []origin.Record
			if err := st.RequestRecord(&records); err != nil {
				return err
			}
			co.originFile.Append(co.origins.Add(records))

			return st.Reply(&wire.Empty{})
		},
		methodFindOrigin: func(_ context.Context, st *peer.Stream) error {
			var qu origin.Query
			if err := st.RequestRecord(&qu); err != nil {
				return err
			}
			b, err := cbor.Marshal(co.findOrigin(qu.Key))
			if err != nil {
				return result.New(result.Internal, "controller: encode the origin of a stream: %v", err)
			}

			return st.Reply(&wire.Payload{Record: b})
		},
	}
}

// ConnectOrigins waits for a connection over which the origins of streams are recorded.
func (cl *Client) ConnectOrigins(ctx context.Context, address string) (origin.Session, error) {
	se, err := cl.Links.To(address).Wait(ctx)
	if err != nil {
		return origin.Session{}, err
	}

	return origin.Session{Done: se.Done(), Record: func(ctx context.Context, records []origin.Record) error {
		b, err := cbor.Marshal(records)
		if err != nil {
			return result.New(result.Internal, "controller: encode the origins of streams: %v", err)
		}

		return se.Call(ctx, methodRecordOrigins, &wire.Payload{Record: b}, &wire.Empty{})
	}}, nil
}

// FindOrigin asks the controller at an address for the origin of a stream.
func (cl *Client) FindOrigin(ctx context.Context, address string, qu origin.Query) (fi origin.Finding, err error) {
	if cl.Links.To(address).Session() == nil {
		return fi, result.New(result.NoLeader, "controller: %s is not connected", address)
	}
	b, err := cbor.Marshal(qu)
	if err != nil {
		return fi, result.New(result.Internal, "controller: encode a query for an origin: %v", err)
	}
	err = cl.call(ctx, address, methodFindOrigin, b, &fi)

	return fi, err
}
