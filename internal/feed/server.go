package feed

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// Server sends this controller's state to followers.
type Server struct {
	mu      sync.Mutex
	state   *State
	changed chan struct{} // closed and replaced with each new state

	followers atomic.Int64
}

// NewServer returns a server with an empty state.
func NewServer() *Server {
	return &Server{state: &State{}, changed: make(chan struct{})}
}

// Publish replaces the state and notifies followers if it has changed.
func (sv *Server) Publish(st *State) {
	sv.mu.Lock()
	defer sv.mu.Unlock()

	de := diff(sv.state, st)
	notify := !de.isEmpty() || sv.state.IsSettled != st.IsSettled
	sv.state = st
	if notify {
		close(sv.changed)
		sv.changed = make(chan struct{})
	}
}

func (sv *Server) current() (*State, <-chan struct{}) {
	sv.mu.Lock()
	defer sv.mu.Unlock()

	return sv.state, sv.changed
}

// Followers returns the number of processes that follow this controller.
func (sv *Server) Followers() int { return int(sv.followers.Load()) }

// Handlers returns the handler of the calls of followers.
func (sv *Server) Handlers() peer.Mux { return peer.Mux{Method: sv.handle} }

func (sv *Server) handle(ctx context.Context, st *peer.Stream) error {
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()

	sv.followers.Add(1)
	defer sv.followers.Add(-1)
	sent := &State{}
	for {
		now, changed := sv.current()
		de := diff(sent, now)
		de.Followers = sv.Followers()
		b, err := cbor.Marshal(de)
		if err != nil {
			return result.New(result.Internal, "feed: encoding a state delta: %v", err)
		}
		if err := st.Send(&wire.Payload{Record: b}); err != nil {
			return err
		}
		sent = now

		select {
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}
