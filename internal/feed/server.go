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
	changed chan struct{}     // closed and replaced with each new state
	encoded map[*State][]byte // deltas that lead from a former state to this one
	latest  *State            // to which the deltas of encoded lead

	followers atomic.Int64
}

// noState is what a follower has before the first message.
var noState = &State{}

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

// next returns the current state, the encoded delta that leads to it from one that was sent,
// and a channel that is closed with the next change. Followers that have the same state share
// one encoding, which must not be changed.
func (sv *Server) next(sent *State) (now *State, b []byte, changed <-chan struct{}, err error) {
	sv.mu.Lock()
	defer sv.mu.Unlock()

	if sv.latest != sv.state {
		sv.encoded, sv.latest = map[*State][]byte{}, sv.state
	}
	b, ok := sv.encoded[sent]
	if !ok {
		de := diff(sent, sv.state)
		de.Followers = sv.Followers()
		if b, err = cbor.Marshal(de); err != nil {
			return nil, nil, nil, result.New(result.Internal, "feed: encoding a state delta: %v", err)
		}
		sv.encoded[sent] = b
	}

	return sv.state, b, sv.changed, nil
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
	sent := noState
	for {
		now, b, changed, err := sv.next(sent)
		if err != nil {
			return err
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
