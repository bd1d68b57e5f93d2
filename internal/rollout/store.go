package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// Methods of peer calls between gateways.
const (
	methodHold     = "rollout.hold"
	methodPayloads = "rollout.payloads"
	methodDriving  = "rollout.driving"
	methodRun      = "rollout.run"
)

// maxStoreBytes limits the payloads that one gateway stores.
const maxStoreBytes = 1 << 30

// store holds payloads by step and digest until the ledger no longer needs them.
type store struct {
	mu    sync.Mutex
	steps map[string]*stepPayloads
	bytes int
}

type stepPayloads struct {
	byDigest map[string][]byte
	lastPut  time.Duration // when the last payload was stored
}

func newStore() *store { return &store{steps: map[string]*stepPayloads{}} }

func (st *store) put(now time.Duration, step, digest string, payload []byte) error {
	st.mu.Lock()
	defer st.mu.Unlock()

	if st.bytes+len(payload) > maxStoreBytes {
		return result.New(result.QueueFull, "rollout: payload store is full with %d bytes", st.bytes)
	}
	sp, ok := st.steps[step]
	if !ok {
		sp = &stepPayloads{byDigest: map[string][]byte{}}
		st.steps[step] = sp
	}
	sp.lastPut = now
	if _, ok := sp.byDigest[digest]; !ok {
		sp.byDigest[digest] = payload
		st.bytes += len(payload)
	}

	return nil
}

func (st *store) get(step, digest string) []byte {
	st.mu.Lock()
	defer st.mu.Unlock()

	sp, ok := st.steps[step]
	if !ok {
		return nil
	}

	return sp.byDigest[digest]
}

// retainOnly removes the payloads of a step whose digests are not in needed.
func (st *store) retainOnly(step string, needed map[string]struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()

	sp, ok := st.steps[step]
	if !ok {
		return
	}
	for d, b := range sp.byDigest {
		if _, ok := needed[d]; !ok {
			st.bytes -= len(b)
			delete(sp.byDigest, d)
		}
	}
	if len(sp.byDigest) == 0 {
		delete(st.steps, step)
	}
}

// idleSteps returns the steps that received no payload for d.
func (st *store) idleSteps(now, d time.Duration) []string {
	st.mu.Lock()
	defer st.mu.Unlock()

	var out []string
	for k, sp := range st.steps {
		if now > sp.lastPut+d {
			out = append(out, k)
		}
	}

	return out
}

// Handlers returns the handlers of peer calls from other gateways.
func (dr *Driver) Handlers() peer.Mux {
	return peer.Mux{methodHold: dr.handleHold, methodPayloads: dr.handlePayloads, methodDriving: dr.handleDriving, methodRun: dr.handleRun}
}

func (dr *Driver) handleHold(_ context.Context, st *peer.Stream) error {
	var rq wire.HoldRequest
	if err := st.Request(&rq); err != nil {
		return err
	}
	for _, b := range rq.GetPayloads() {
		if err := dr.store.put(dr.cfg.Now(), rq.GetStep(), digestOf(b), b); err != nil {
			return err
		}
	}

	return nil
}

func (dr *Driver) handlePayloads(_ context.Context, st *peer.Stream) error {
	var rq wire.PayloadRequest
	if err := st.Request(&rq); err != nil {
		return err
	}
	rep := &wire.PayloadReply{}
	for _, d := range rq.GetDigests() {
		rep.Payloads = append(rep.Payloads, dr.store.get(rq.GetStep(), d))
	}

	return st.Reply(rep)
}

func (dr *Driver) handleDriving(_ context.Context, st *peer.Stream) error {
	var rq wire.PayloadRequest
	if err := st.Request(&rq); err != nil {
		return err
	}
	if !dr.isDriving(rq.GetStep()) {
		return result.New(result.UnknownStep, "rollout: this gateway does not drive step %s", rq.GetStep())
	}

	return nil
}
