package group

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"google.golang.org/protobuf/proto"

	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

type message = proto.Message

const (
	feedWait    = 500 * time.Millisecond // longest wait of a feed request for a change
	feedTimeout = 2 * time.Second
	// maxRelayDeltas is the number of changes that a process without a replica retains for its subscribers.
	maxRelayDeltas = 1024
)

func (gr *Group) upstreams() []string {
	if len(gr.cfg.Upstreams) > 0 {
		return gr.cfg.Upstreams
	}

	out := make([]string, 0, len(gr.cfg.Founders))
	for _, fo := range gr.cfg.Founders {
		out = append(out, fo.Address)
	}

	return out
}

// callUpstream calls the current upstream and switches to the next one after a retriable error.
func (gr *Group) callUpstream(ctx context.Context, method string, req, rep message) error {
	ups := gr.upstreams()
	if len(ups) == 0 {
		return result.New(result.NoLeader, "group: no upstream is configured")
	}
	gr.mu.Lock()
	i := gr.upstreamIndex
	gr.mu.Unlock()

	err := gr.callAddress(ctx, ups[i%len(ups)], method, req, rep)
	if err != nil && isRetriable(err) {
		gr.mu.Lock()
		if gr.upstreamIndex == i {
			gr.upstreamIndex++
		}
		gr.mu.Unlock()
	}

	return err
}

// follow updates the view and the freshness time of a process without a replica until ctx ends.
func (gr *Group) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if err := gr.followOnce(ctx); err != nil {
			select {
			case <-time.After(retryMax):
			case <-ctx.Done():
			}
		}
	}
}

// followOnce makes one feed request and applies its reply.
func (gr *Group) followOnce(ctx context.Context) error {
	at := gr.now()
	vi := gr.View()
	cctx, cancel := context.WithTimeout(ctx, feedTimeout)
	defer cancel()

	var rep wire.FeedReply
	req := &wire.FeedRequest{Version: vi.Version, Revision: vi.Revision, WaitMs: uint32(feedWait.Milliseconds())}
	if err := gr.callUpstream(cctx, methodFeed, req, &rep); err != nil {
		return err
	}
	if rep.GetRevision() < vi.Revision {
		// The upstream lags behind this process: its configuration would move the view back.
		return result.New(result.StaleProcess, "group: the upstream is at revision %d, behind this process at revision %d", rep.GetRevision(), vi.Revision)
	}

	next, deltas, err := viewAfter(vi, &rep)
	if err != nil {
		gr.cfg.Log.WithFields(log.Fields{"error": err.Error()}).Error("feed reply could not be decoded or applied")

		return err
	}
	if next != vi {
		gr.recordDeltas(next, deltas)
		gr.setView(next)
	}
	// The upstream measures the age after the request was sent, so at-age is never
	// later than the confirmation itself.
	if age := time.Duration(rep.GetAgeMs()) * time.Millisecond; at > age {
		gr.recordConfirmation(at - age)
	}

	return nil
}

// viewAfter returns the view after a feed reply and the deltas that led to it. There
// are no deltas if the reply holds the full configuration.
func viewAfter(vi *View, rep *wire.FeedReply) (*View, []statemachine.Delta, error) {
	if rep.GetFull() {
		if len(rep.GetDeltas()) != 1 {
			return nil, nil, result.New(result.Internal, "group: a full feed reply holds %d parts instead of one", len(rep.GetDeltas()))
		}
		var fu statemachine.FullState
		if err := decode(rep.GetDeltas()[0], &fu); err != nil {
			return nil, nil, err
		}
		next, err := newView(fu)

		return next, nil, err
	}
	if len(rep.GetDeltas()) == 0 {
		return vi, nil, nil
	}

	ds := make([]statemachine.Delta, len(rep.GetDeltas()))
	for i, b := range rep.GetDeltas() {
		if err := decode(b, &ds[i]); err != nil {
			return nil, nil, err
		}
	}
	next, err := vi.withDeltas(ds)

	return next, ds, err
}

// recordDeltas retains the latest changes for subscribers of a process without a replica.
func (gr *Group) recordDeltas(next *View, ds []statemachine.Delta) {
	gr.mu.Lock()
	defer gr.mu.Unlock()

	if len(ds) == 0 { // the reply held the full configuration
		gr.cfg.Count("feed.full")
		gr.deltas, gr.deltasAfter = nil, next.Revision

		return
	}
	gr.deltas = append(gr.deltas, ds...)
	if n := len(gr.deltas) - maxRelayDeltas; n > 0 {
		gr.deltasAfter = gr.deltas[n-1].Revision
		gr.deltas = append([]statemachine.Delta(nil), gr.deltas[n:]...)
	}
}

// deltasSince returns the changes after a revision, and false if some of them are not
// retained any more.
func (gr *Group) deltasSince(revision uint64) ([]statemachine.Delta, bool) {
	var ds []statemachine.Delta
	ok := false
	if gr.Read(func(ma *statemachine.Machine) {
		if ds, ok = ma.DeltasSince(revision); ok {
			ds = append([]statemachine.Delta(nil), ds...)
		}
	}) {
		return ds, ok
	}

	gr.mu.Lock()
	defer gr.mu.Unlock()
	if revision < gr.deltasAfter {
		return nil, false
	}
	n := len(gr.deltas)
	for n > 0 && gr.deltas[n-1].Revision > revision {
		n--
	}

	return append([]statemachine.Delta(nil), gr.deltas[n:]...), true
}

// handleFeed answers with what changed after the subscriber's revision; without a
// change it waits for one. Any process may serve it, so that feeds form a tree.
func (gr *Group) handleFeed(ctx context.Context, st *peer.Stream) error {
	var req wire.FeedRequest
	if err := st.Request(&req); err != nil {
		return err
	}

	select {
	case gr.feedSlots <- struct{}{}:
		defer func() { <-gr.feedSlots }()
	default:
		return result.New(result.QueueFull, "group: the limit of %d waiting subscribers is reached", maxFeeds)
	}

	gr.waitForRevision(ctx, req.GetRevision(), time.Duration(req.GetWaitMs())*time.Millisecond)
	age, ok := gr.Age()
	if !ok {
		return result.New(result.NoLeader, "group: nothing received from the group yet")
	}
	rep, err := gr.feedReply(req.GetRevision())
	if err != nil {
		return err
	}
	rep.AgeMs = uint32(age.Milliseconds()) + 1

	return st.Reply(rep)
}

// waitForRevision waits until the view is newer than revision, for d or feedWait at most.
func (gr *Group) waitForRevision(ctx context.Context, revision uint64, d time.Duration) {
	timer := time.NewTimer(min(d, feedWait))
	defer timer.Stop()

	for {
		changed := gr.Changed()
		if gr.View().Revision > revision {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (gr *Group) feedReply(revision uint64) (*wire.FeedReply, error) {
	// The caller read the age first, so this view is at least as recent as that age says.
	vi := gr.View()
	rep := &wire.FeedReply{Version: vi.Version, Revision: vi.Revision}
	if vi.Revision <= revision {
		return rep, nil
	}

	if ds, ok := gr.deltasSince(revision); ok && revision > 0 {
		for _, d := range ds {
			if d.Revision > vi.Revision {
				break
			}
			b, err := cbor.Marshal(d)
			if err != nil {
				return nil, err
			}
			rep.Deltas = append(rep.Deltas, b)
		}

		return rep, nil
	}

	ops, err := vi.Set.Ops()
	if err != nil {
		return nil, err
	}
	b, err := cbor.Marshal(statemachine.FullState{Revision: vi.Revision, Version: vi.Version, Ops: ops, Quarantine: vi.Quarantine})
	if err != nil {
		return nil, err
	}
	rep.Full, rep.Deltas = true, [][]byte{b}

	return rep, nil
}
