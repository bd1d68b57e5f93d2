package ingress_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/ingress"
	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/routing"
)

// events is a body that holds events from a number on, up to where it breaks.
type events struct {
	io.ReadCloser
	next, last uint64
	err        error
}

func (*events) Close() error { return nil }

const pieces = 5

// stream answers with events after what the call holds; it breaks after the
// event breakAt, 0 for never.
func stream(breakAt uint64) reply {
	return func(_ context.Context, ca *backend.Call) (*backend.Answer, error) {
		ev := &events{next: ca.ResumeAfter + 1, last: pieces, err: io.EOF}
		if breakAt > 0 {
			ev.last, ev.err = breakAt, io.ErrUnexpectedEOF
		}

		return &backend.Answer{Status: 200, Stamp: "s", Header: http.Header{}, Body: ev}, nil
	}
}

func readEvents(body io.Reader) func() (backend.Event, error) {
	ev := body.(*events)

	return func() (backend.Event, error) {
		if ev.next > ev.last {
			return backend.Event{}, ev.err
		}
		ev.next++

		return backend.Event{Number: ev.next - 1}, nil
	}
}

var _ = ginkgo.Describe("a request whose answer is a stream", func() {
	all := []uint64{1, 2, 3, 4, 5}
	for _, tc := range []struct {
		name      string
		resumable bool
		replies   []reply
		got       []uint64
		isWhole   bool
		runs      result.Execution // of the error, where it is not whole
		sent      int
	}{
		{"is passed on to its end", false, []reply{stream(0)}, all, true, 0, 1},
		{"goes on at another backend server after its last event", true, []reply{stream(3), stream(0)}, all, true, 0, 2},
		{"is cut, and never joined with another run, where it may not go on", false, []reply{stream(3), stream(0)}, all[:3], false, result.Ran, 1},
		{"goes to another backend server when the first has not run it", false, []reply{notRun, refusedConnection, stream(0)}, all, true, 0, 3},
		{"is not run again after a cut before its first event", false, []reply{cut, stream(0)}, nil, false, result.Unknown, 1},
		{"is truly refused when nobody ran it", true, []reply{notRun}, nil, false, result.NotRun, 3},
	} {
		ginkgo.It(tc.name, func() {
			cfg := &routing.Config{Version: 1, Services: []routing.Service{{Name: "s"}}, Routes: []routing.Route{{
				Name: "r", Host: "h", Prefix: "/p/", Kind: routing.AtMostOnce, IsStreaming: true, IsResumable: tc.resumable, Timeout: time.Second,
				Aim: 50 * time.Millisecond, MaxAttempts: 3, IsPublic: true, Targets: []routing.Target{{Service: "s", Weight: 1}},
			}}}
			Expect(cfg.Validate()).To(Succeed())
			ta := routing.NewTable(cfg)
			start := time.Now().Add(-time.Hour)
			ba := balance.New(balance.Config{Now: func() time.Duration { return time.Since(start) }, Random: func(int) int { return 0 }})
			var records []registry.Record
			for _, id := range []string{"a", "b", "c"} {
				records = append(records, registry.Record{ID: id, BornMs: 1, Address: id, Service: "s", Slots: 4, State: registry.Ready})
			}
			ba.Sync(records)
			sent := 0
			in := ingress.New(ingress.Config{
				Table: func() *routing.Table { return ta }, Fresh: func() error { return nil }, Balancer: ba, Random: func() float64 { return 0 },
				Began: func(string, time.Time) {}, Meter: meter.New(), Log: logging.Discard(),
				Client: &backend.Client{Events: readEvents, Send: func(ctx context.Context, _ string, ca *backend.Call) (*backend.Answer, error) {
					sent++

					return tc.replies[min(sent-1, len(tc.replies)-1)](ctx, ca)
				}},
			})

			var got []uint64
			begun, ended := 0, 0
			err := in.Serve(context.Background(), &ingress.Request{ID: "1", Host: "h", Path: "/p/x", Arrived: time.Now()}, &ingress.Sink{
				Begin: func(*backend.Answer) { begun++ },
				Event: func(ev backend.Event) error {
					got = append(got, ev.Number)

					return nil
				},
				End: func() { ended++ },
			})
			Expect(got).To(Equal(tc.got))
			Expect(sent).To(Equal(tc.sent))
			Expect(begun).To(BeNumerically("<=", 1))
			Expect(ended == 1).To(Equal(tc.isWhole))
			Expect(err == nil).To(Equal(tc.isWhole))
			var er *result.Error
			if errors.As(err, &er) {
				Expect(er.Execution).To(Equal(tc.runs))
			}
		})
	}
})
