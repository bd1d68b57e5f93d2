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
	changed chan struct{}        // closed and replaced with each new state
	encoded map[*State]*encoding // deltas that lead from a former state to this one
	latest  *State               // to which the deltas of encoded lead
	encode  func(de *stateDelta) ([]byte, error)

	serversGap      time.Duration // minServersGap
	followerTimeout time.Duration // followerTimeout
	followers       atomic.Int64
	sent            map[*sentState]bool // one for each follower
	waits           map[*sentWait]bool  // one for each call of AwaitSent
}

// encoding is a delta that the first follower that needs it encodes, while the others wait.
type encoding struct {
	once  sync.Once
	bytes []byte
	err   error
}

func encodeDelta(de *stateDelta) ([]byte, error) { return cbor.Marshal(de) }

// sentState is what a follower was sent last.
type sentState struct {
	state   *State
	heardAt time.Time // when the last ping was received
}

// isConnected reports whether the follower was heard within controllerTimeout.
func (ss *sentState) isConnected() bool { return time.Since(ss.heardAt) <= controllerTimeout }

// sentWait is a call that waits until a change was published and sent to every connected follower. It looks
// at a follower only when that one was sent something, so that a change costs each follower once.
type sentWait struct {
	has         func(st *State) bool
	isPublished bool
	missing     map[*sentState]bool // followers that were not sent it yet
	done        chan struct{}
}

// finish ends the wait if nothing is missing. The caller holds the mutex of the Server.
func (sw *sentWait) finish() {
	if !sw.isPublished || len(sw.missing) > 0 {
		return
	}
	select {
	case <-sw.done:
	default:
		close(sw.done)
	}
}

// minServersGap is the shortest time between two messages to a follower with changes of backend servers
// where the second has nothing else: engines that load weights change several times a
// second each, and a follower looks at them once for each message.
const minServersGap = 50 * time.Millisecond

// noState is what a follower has before the first message.
var noState = &State{IsUnconfirmed: true}

// NewServer returns a server without a confirmed state.
func NewServer() *Server {
	return &Server{state: noState, changed: make(chan struct{}), encode: encodeDelta, serversGap: minServersGap, followerTimeout: followerTimeout, sent: map[*sentState]bool{}, waits: map[*sentWait]bool{}}
}

// Publish replaces the state and notifies followers if it has changed.
func (sv *Server) Publish(st *State) {
	sv.mu.Lock()
	defer sv.mu.Unlock()

	de := diff(sv.state, st)
	notify := !de.isEmpty() || sv.state.IsSettled != st.IsSettled || sv.state.IsUnconfirmed != st.IsUnconfirmed
	sv.state = st
	for sw := range sv.waits {
		sw.isPublished = sw.isPublished || sw.has(st)
		sw.finish()
	}
	if notify {
		close(sv.changed)
		sv.changed = make(chan struct{})
	}
}

// next returns the current state, the encoded delta that leads to it from one that was sent,
// and a channel that is closed with the next change. Followers that have the same state share
// one encoding, which must not be changed. A large state is encoded without the lock, which those that
// publish need.
func (sv *Server) next(sent *State) (now *State, b []byte, changed <-chan struct{}, err error) {
	now, en, changed := sv.encodingFrom(sent)
	en.once.Do(func() {
		de := diff(sent, now)
		de.Followers = sv.Followers()
		if en.bytes, en.err = sv.encode(de); en.err != nil {
			en.err = result.New(result.Internal, "feed: encoding a state delta: %v", en.err)
		}
	})
	if en.err != nil {
		return nil, nil, nil, en.err
	}

	return now, en.bytes, changed, nil
}

// encodingFrom returns the current state, the encoding of the delta that leads to it, and a channel that is
// closed with the next change.
func (sv *Server) encodingFrom(sent *State) (now *State, en *encoding, changed <-chan struct{}) {
	sv.mu.Lock()
	defer sv.mu.Unlock()

	if sv.latest != sv.state {
		sv.encoded, sv.latest = map[*State]*encoding{}, sv.state
	}
	en = sv.encoded[sent]
	if en == nil {
		en = &encoding{}
		sv.encoded[sent] = en
	}

	return sv.state, en, sv.changed
}

// Followers returns the number of processes that follow this controller.
func (sv *Server) Followers() int { return int(sv.followers.Load()) }

// Handlers returns the handler of the calls of followers.
func (sv *Server) Handlers() peer.Mux { return peer.Mux{Method: sv.handle} }

func (sv *Server) handle(ctx context.Context, st *peer.Stream) error {
	var first ping
	if err := st.RequestRecord(&first); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	in := &pings{received: make(chan struct{}, 1)}
	in.last.Store(first.Number)
	sv.followers.Add(1)
	defer sv.followers.Add(-1)
	fo := &sentState{}
	sv.recordSent(fo, noState)
	defer sv.forget(fo)
	go func() {
		defer cancel()
		sv.receivePings(ctx, st, in, func() { sv.recordPing(fo) })
	}()
	sent := noState
	var serversAt time.Time // last message with backend servers
	for {
		now, b, changed, err := sv.next(sent)
		if err != nil {
			return err
		}
		number := in.last.Load() // before the age, which then covers the time since the ping was sent
		if b, err = encodeMessage(newHead(number, now), b); err != nil {
			return err
		}
		if err := st.Send(&wire.Payload{Record: b}); err != nil {
			return err
		}
		if !isSameSlice(sent.Servers, now.Servers) {
			serversAt = time.Now()
		}
		sent = now
		sv.recordSent(fo, now)
		if !sv.await(ctx, sent, serversAt, changed, in.received) {
			return nil
		}
	}
}

// pings is what a controller received from a follower.
type pings struct {
	last     atomic.Int64  // number of the last one
	received chan struct{} // holds an element if one has not been answered
}

// receivePings receives the pings of a follower until its stream ends or it is silent, and calls record
// with each.
func (sv *Server) receivePings(ctx context.Context, st *peer.Stream, in *pings, record func()) {
	for ctx.Err() == nil {
		dl := time.Now().Add(sv.followerTimeout)
		if end, ok := ctx.Deadline(); ok && end.Before(dl) {
			dl = end
		}
		st.SetDeadline(dl)
		var pa wire.Payload
		var pi ping
		if st.Read(&pa) != nil || cbor.Unmarshal(pa.GetRecord(), &pi) != nil {
			return
		}
		in.last.Store(pi.Number)
		record()
		select {
		case in.received <- struct{}{}:
		default:
		}
	}
}

// recordSent records the state that a follower was sent.
func (sv *Server) recordSent(fo *sentState, st *State) {
	sv.mu.Lock()
	defer sv.mu.Unlock()

	isNew := !sv.sent[fo]
	sv.sent[fo], fo.state = true, st
	if isNew {
		fo.heardAt = time.Now()
	}
	for sw := range sv.waits {
		if isNew {
			sw.missing[fo] = true // until it was sent its first state
		} else if sw.missing[fo] && sw.has(st) {
			delete(sw.missing, fo)
			sw.finish()
		}
	}
}

// recordPing records that a follower was heard.
func (sv *Server) recordPing(fo *sentState) {
	sv.mu.Lock()
	defer sv.mu.Unlock()

	fo.heardAt = time.Now()
}

// forget drops a follower whose stream has ended.
func (sv *Server) forget(fo *sentState) {
	sv.mu.Lock()
	defer sv.mu.Unlock()

	delete(sv.sent, fo)
	for sw := range sv.waits {
		delete(sw.missing, fo)
		sw.finish()
	}
}

// AwaitSent waits until a confirmed state that has a change was published and sent to every connected
// follower, or until ctx ends, and reports whether it was. CountSent tells to how many.
func (sv *Server) AwaitSent(ctx context.Context, has func(st *State) bool) bool {
	sw := sv.addWait(confirmed(has))
	defer func() {
		sv.mu.Lock()
		defer sv.mu.Unlock()
		delete(sv.waits, sw)
	}()
	select {
	case <-sw.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// confirmed returns a condition that holds for the confirmed states that meet another one.
func confirmed(has func(st *State) bool) func(st *State) bool {
	return func(st *State) bool { return !st.IsUnconfirmed && has(st) }
}

// CountSent returns the number of connected followers that were sent a confirmed state that has a change.
func (sv *Server) CountSent(has func(st *State) bool) int {
	sv.mu.Lock()
	defer sv.mu.Unlock()

	n := 0
	for fo := range sv.sent {
		if fo.isConnected() && confirmed(has)(fo.state) {
			n++
		}
	}

	return n
}

func (sv *Server) addWait(has func(st *State) bool) *sentWait {
	sv.mu.Lock()
	defer sv.mu.Unlock()

	sw := &sentWait{has: has, isPublished: has(sv.state), missing: map[*sentState]bool{}, done: make(chan struct{})}
	for fo := range sv.sent {
		if fo.isConnected() && !has(fo.state) {
			sw.missing[fo] = true
		}
	}
	sv.waits[sw] = true
	sw.finish()

	return sw
}

// await returns when the next message is due to a follower that has just been sent a state: at
// once after a change that must not wait, minServersGap after serversAt if only backend servers
// changed, and with each ping. It returns false once ctx ends.
func (sv *Server) await(ctx context.Context, sent *State, serversAt time.Time, changed, pinged <-chan struct{}) bool {
	gap := time.After(time.Until(serversAt.Add(sv.serversGap)))
	isChanged, isGapOver := false, false
	for {
		select {
		case <-changed:
			changed = sv.nextChange()
			isChanged = true
			if sv.isUrgent(sent) {
				return true
			}
		case <-gap:
			isGapOver = true
		case <-pinged:
			return true
		case <-ctx.Done():
			return false
		}
		if isChanged && isGapOver {
			return true
		}
	}
}

// nextChange returns a channel that is closed with the next change.
func (sv *Server) nextChange() <-chan struct{} {
	sv.mu.Lock()
	defer sv.mu.Unlock()

	return sv.changed
}

// isUrgent reports whether more than backend servers has changed since a state was sent.
func (sv *Server) isUrgent(sent *State) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()

	return sent.isOlder(sv.state)
}
