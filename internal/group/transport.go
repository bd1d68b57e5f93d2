package group

import (
	"context"
	"sync"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

const (
	outboxSize       = 512 // messages queued for one peer; further ones are dropped
	rawStreamTimeout = 24 * time.Hour
	rawWriteTimeout  = 5 * time.Second
	methodConsensus  = "raw.consensus"
	// messageSessionTimeout is how long a message waits for its peer's session: less than
	// the time after which the protocol sends it again.
	messageSessionTimeout = 200 * time.Millisecond
)

// transport sends messages to the other replicas; each address has a link and a goroutine.
type transport struct {
	links      *peer.Links
	ownAddress string // own address, never dialled
	ctx        context.Context
	mu         sync.Mutex
	outboxes   map[string]*outbox
	isEnding   bool // no more outboxes are started
	wg         sync.WaitGroup
}

// outbox holds the messages to one address that are not written yet.
type outbox struct {
	link  *peer.Link
	queue chan *wire.ConsensusMessage
}

func newTransport(ctx context.Context, cfg peer.Config, own string) *transport {
	return &transport{links: peer.NewLinks(ctx, cfg), ownAddress: own, ctx: ctx, outboxes: map[string]*outbox{}}
}

func (tr *transport) outbox(address string) *outbox {
	tr.mu.Lock()
	defer tr.mu.Unlock()

	ob, ok := tr.outboxes[address]
	if ok {
		return ob
	}

	ob = &outbox{link: tr.links.To(address), queue: make(chan *wire.ConsensusMessage, outboxSize)}
	tr.outboxes[address] = ob
	if !tr.isEnding {
		tr.wg.Go(func() { ob.writeMessages(tr.ctx) })
	}

	return ob
}

// session waits for the session to address and returns it.
func (tr *transport) session(ctx context.Context, address string) (*peer.Session, error) {
	return tr.outbox(address).link.Wait(ctx)
}

// connect opens the session to address before the first message needs it.
func (tr *transport) connect(address string) {
	if address != "" && address != tr.ownAddress {
		tr.outbox(address)
	}
}

// wait returns once all links and outboxes have ended, which they do after ctx.
func (tr *transport) wait() {
	tr.mu.Lock()
	tr.isEnding = true
	tr.mu.Unlock()
	tr.wg.Wait()
	tr.links.Wait()
}

// send queues a message; it is dropped when the peer's queue is full.
func (tr *transport) send(address string, m consensus.Message) {
	if address == "" || address == tr.ownAddress {
		return
	}

	select {
	case tr.outbox(address).queue <- toWire(m):
	default:
	}
}

// writeMessages writes the queued messages to a raw stream until ctx ends.
func (ob *outbox) writeMessages(ctx context.Context) {
	var st *peer.Stream
	defer func() {
		if st != nil {
			st.Close()
		}
	}()

	for {
		var m *wire.ConsensusMessage
		select {
		case m = <-ob.queue:
		case <-ctx.Done():
			return
		}

		if st == nil {
			wctx, wcancel := context.WithTimeout(ctx, messageSessionTimeout)
			se, err := ob.link.Wait(wctx)
			wcancel()
			if err != nil {
				continue // the message is dropped; the protocol repeats what matters
			}
			octx, cancel := context.WithTimeout(ctx, rawStreamTimeout)
			st, err = se.Open(octx, methodConsensus, &wire.Empty{})
			cancel()
			if err != nil {
				st = nil

				continue
			}
		}
		st.SetDeadline(time.Now().Add(rawWriteTimeout))
		if err := st.Write(m); err != nil {
			st.Close()
			st = nil
		}
	}
}

func toWire(m consensus.Message) *wire.ConsensusMessage {
	w := &wire.ConsensusMessage{
		Kind: uint32(m.Kind), Group: uint32(m.Group), From: string(m.From), To: string(m.To), Term: m.Term,
		Index: m.Index, LogTerm: m.LogTerm, Commit: m.Commit, Round: m.Round, Reject: m.Reject, Force: m.Force,
		Hint: m.Hint, SnapshotOffset: m.SnapshotOffset, SnapshotDone: m.SnapshotDone, Chunk: m.Chunk,
		SnapshotTransfer: m.SnapshotTransfer, SnapshotDigest: m.SnapshotDigest,
		Voters: toStrings(m.Membership.Voters), Learners: toStrings(m.Membership.Learners),
	}
	for i := range m.Entries {
		en := &m.Entries[i]
		w.Entries = append(w.Entries, &wire.Entry{Index: en.Index, Term: en.Term, Kind: uint32(en.Kind), Data: en.Data})
	}

	return w
}

func fromWire(w *wire.ConsensusMessage) consensus.Message {
	m := consensus.Message{
		Kind: consensus.MessageKind(w.GetKind()), Group: consensus.GroupID(w.GetGroup()),
		From: consensus.ReplicaID(w.GetFrom()), To: consensus.ReplicaID(w.GetTo()), Term: w.GetTerm(),
		Index: w.GetIndex(), LogTerm: w.GetLogTerm(), Commit: w.GetCommit(), Round: w.GetRound(),
		Reject: w.GetReject(), Force: w.GetForce(), Hint: w.GetHint(), SnapshotOffset: w.GetSnapshotOffset(),
		SnapshotDone: w.GetSnapshotDone(), Chunk: w.GetChunk(), SnapshotTransfer: w.GetSnapshotTransfer(), SnapshotDigest: w.GetSnapshotDigest(),
		Membership: consensus.Membership{Voters: toReplicas(w.GetVoters()), Learners: toReplicas(w.GetLearners())},
	}
	for _, en := range w.GetEntries() {
		m.Entries = append(m.Entries, consensus.Entry{
			Index: en.GetIndex(), Term: en.GetTerm(), Kind: consensus.EntryKind(en.GetKind()), Data: en.GetData(),
		})
	}

	return m
}

func toStrings(ids []consensus.ReplicaID) []string {
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = string(id)
	}

	return out
}

func toReplicas(ids []string) []consensus.ReplicaID {
	out := make([]consensus.ReplicaID, len(ids))
	for i, id := range ids {
		out[i] = consensus.ReplicaID(id)
	}

	return out
}
