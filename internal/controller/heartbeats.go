package controller

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/departure"
	"github.com/tamarackbay/tamarackbay/internal/feed"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
)

const (
	// relayPeriod is the time between two messages to another controller that hold only signs
	// of life, well below a heartbeat period.
	relayPeriod = 200 * time.Millisecond
	// relayDelay is how long a change waits for others that go with it.
	relayDelay = 5 * time.Millisecond
)

// relayedNotices is the message with the notices that a controller passes on to another.
type relayedNotices struct {
	Notices []registry.Notice `cbor:"1,keyasint"`
}

// relayReply names the backend servers whose content the other controller lacks.
type relayReply struct {
	Lacking []string `cbor:"1,keyasint,omitempty"`
}

// relay passes heartbeats and leave notices on to the other controllers.
type relay struct {
	wake chan struct{}

	mu       sync.Mutex
	outboxes map[string]*relayOutbox // by peer address
}

type relayOutbox struct {
	*registry.Outbox
	isSending bool
	sentAt    time.Duration
}

func newRelay() *relay {
	return &relay{wake: make(chan struct{}, 1), outboxes: map[string]*relayOutbox{}}
}

// RecordHeartbeat records a heartbeat of a backend server and passes it on to the other
// controllers. One that says that the backend server takes nothing new is recorded as RecordLeave
// does it.
func (co *Controller) RecordHeartbeat(ctx context.Context, re registry.Record) error {
	if re.State == registry.Draining {
		return co.recordDeparture(ctx, registry.Notice{Record: re})
	}
	co.recordNotice(registry.Notice{Record: re})

	return nil
}

// RecordLeave records that a backend server leaves. It returns nil once this is committed, so that it
// survives the loss of all controllers, and all followers that can be reached were sent it. A bornMs of 0 stands
// for the incarnation that the controllers know; if they know none, for each that started before the commit.
func (co *Controller) RecordLeave(ctx context.Context, id string, bornMs int64) error {
	if bornMs == 0 {
		bornMs = co.findIncarnation(ctx, id)
	}
	if bornMs == 0 {
		return co.commitDeparture(ctx, departure.Record{Server: registry.Record{ID: id}, HasLeft: true, IsUnnamed: true}, time.Now())
	}

	return co.recordDeparture(ctx, registry.Notice{Record: registry.Record{ID: id, BornMs: bornMs}, Leaves: true})
}

// askTimeout bounds the question to the other controllers which incarnation they know. With commitTimeout it
// ends before the caller turns to another controller.
const askTimeout = 300 * time.Millisecond

// findIncarnation returns the start of the incarnation of a backend server that leaves, 0 if it is not known. It
// asks the other controllers unless one that has not left is known here. One that has left already is meant only if
// all of them know no later one.
func (co *Controller) findIncarnation(ctx context.Context, id string) int64 {
	last := co.lastKnown(id)
	if last.BornMs != 0 && !last.HasLeft {
		return last.BornMs
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	others := co.otherControllers()
	answers := make(chan *knownIncarnation, len(others))
	for _, a := range others {
		go func() {
			var ki knownIncarnation
			if err := co.links.CallRecord(ctx, a, methodIncarnation, registry.Incarnation{ID: id}, &ki); err != nil {
				co.cfg.Log.WithError(err).WithFields(log.Fields{"server": id, "controller": a}).Info("incarnation of a backend server not learned")
				answers <- nil

				return
			}
			answers <- &ki
		}()
	}
	isComplete := true
	for range others {
		switch ki := <-answers; {
		case ki == nil:
			isComplete = false
		case ki.BornMs > last.BornMs:
			last = *ki
		}
	}
	if last.HasLeft && !isComplete {
		return 0
	}

	return last.BornMs
}

// knownIncarnation is the last incarnation of a backend server that a controller knows.
type knownIncarnation struct {
	BornMs  int64 `cbor:"1,keyasint"` // 0 if none is known
	HasLeft bool  `cbor:"2,keyasint,omitempty"`
}

func (co *Controller) lastKnown(id string) knownIncarnation {
	co.mu.Lock()
	defer co.mu.Unlock()
	re, _ := co.registry.Record(id)

	return knownIncarnation{BornMs: re.BornMs, HasLeft: re.State == registry.Left}
}

// handleIncarnation tells another controller the last known incarnation of a backend server.
func (co *Controller) handleIncarnation(_ context.Context, st *peer.Stream) error {
	var in registry.Incarnation
	if err := st.RequestRecord(&in); err != nil {
		return err
	}

	return st.ReplyRecord(co.lastKnown(in.ID))
}

// commitTimeout bounds the wait until a departure is committed. The caller turns to another controller
// after a second.
const commitTimeout = 600 * time.Millisecond

// recordDeparture records a notice that a backend server takes nothing new. It takes effect at once and is
// passed on in the background, while it is committed.
func (co *Controller) recordDeparture(ctx context.Context, no registry.Notice) error {
	began := time.Now()
	isCommitted := co.isCommitted(&no)
	co.recordNotice(no)
	if isCommitted {
		co.awaitSent(ctx, hasDeparted(no.Record.Incarnation()))

		return nil
	}

	return co.commitDeparture(ctx, departure.Record{Server: no.Record, HasLeft: no.Leaves}, began)
}

// hasDeparted returns a condition that holds for the states in which an incarnation gets no new work.
func hasDeparted(in registry.Incarnation) func(st *feed.State) bool {
	return func(st *feed.State) bool { return st.HasDeparted(in) }
}

// commitDeparture commits a departure and waits until the followers were sent it.
func (co *Controller) commitDeparture(ctx context.Context, re departure.Record, began time.Time) error {
	cctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	var rep departure.Reply
	err := co.group.Propose(cctx, statemachine.KindRecordDeparture, re, &rep)
	fl := log.Fields{"server": re.Server.ID, "born": re.Server.BornMs, "leaves": re.HasLeft, "sequence": re.Server.Sequence}
	if err != nil {
		fl["ms"] = time.Since(began).Milliseconds()
		co.cfg.Log.WithFields(fl).WithError(err).Warn("departure of a backend server not acknowledged")

		return err
	}
	has := hasDeparted(re.Server.Incarnation())
	if re.IsUnnamed { // it takes effect when this replica applies it
		has = func(st *feed.State) bool { return st.Position >= rep.Position }
	}
	fl["commitMs"], fl["position"] = time.Since(began).Milliseconds(), rep.Position
	fl["isSentToAll"], fl["followers"] = co.awaitSent(ctx, has), co.feed.CountSent(has)
	fl["ms"] = time.Since(began).Milliseconds()
	co.cfg.Log.WithFields(fl).Info("departure of a backend server acknowledged")

	return nil
}

// isCommitted reports whether the departure that a notice tells of is committed already. That of a backend server
// that may have been ready again since it drained is not.
func (co *Controller) isCommitted(no *registry.Notice) bool {
	var de departure.Departure
	ok := false
	co.group.Read(func(ma *statemachine.Machine) { de, ok = ma.Departures().Of(no.Record.Incarnation()) })
	switch {
	case !ok:
		return false
	case de.HasLeft || (!no.Leaves && no.Record.Sequence <= de.Server.Sequence):
		return true
	case no.Leaves:
		return false
	}
	co.mu.Lock()
	defer co.mu.Unlock()

	return co.registry.HasDrained(no.Record.Incarnation(), de.Server.Sequence, no.Record.Sequence)
}

// applyDepartures applies the departures to the registry that were committed since the last call. The caller
// holds mu.
func (co *Controller) applyDepartures() {
	var departures []departure.Departure
	var atMs int64
	co.group.Read(func(ma *statemachine.Machine) {
		if st := ma.Departures(); st.Revision() != co.departedAt {
			departures, atMs = st.Since(co.departedAt), ma.TimeMs()
		}
	})
	if len(departures) == 0 {
		return
	}
	now := co.cfg.Now()
	for i := range departures {
		de := &departures[i]
		age := time.Duration(atMs-de.AtMs) * time.Millisecond // by the log: the clock of this process may be wrong
		changed := false
		if de.IsUnnamed {
			changed = co.registry.LeaveBefore(now, age, de.Server.ID, de.Server.BornMs)
		} else {
			changed = co.registry.Depart(now, age, de.Server, de.HasLeft)
		}
		if changed {
			co.wakePublish()
			co.cfg.Log.WithFields(log.Fields{
				"server": de.Server.ID, "born": de.Server.BornMs, "leaves": de.HasLeft, "position": de.Position, "ageMs": age.Milliseconds(),
			}).Info("committed departure of a backend server applied")
		}
		co.departedAt = de.Position
	}
}

// recordNotice records a notice and passes it on to the other controllers in the background.
func (co *Controller) recordNotice(no registry.Notice) {
	co.receive([]registry.Notice{no})
	co.enqueue(co.otherControllers(), no)
}

// enqueue adds a notice to the outboxes of other controllers.
func (co *Controller) enqueue(addresses []string, no registry.Notice) {
	co.relay.mu.Lock()
	defer co.relay.mu.Unlock()
	isUrgent := false
	for _, a := range addresses {
		ob := co.relay.outboxes[a]
		if ob == nil {
			ob = &relayOutbox{Outbox: registry.NewOutbox()}
			co.relay.outboxes[a] = ob
		}
		ob.Add(no)
		isUrgent = isUrgent || ob.IsUrgent()
	}
	if isUrgent {
		select {
		case co.relay.wake <- struct{}{}:
		default:
		}
	}
}

// otherControllers returns the peer addresses of the group's other members.
func (co *Controller) otherControllers() []string {
	var out []string
	for _, a := range co.members() {
		if a != co.cfg.Settings.PeerAddress {
			out = append(out, a)
		}
	}

	return out
}

// relayLoop sends the notices that wait, changes at once and signs of life together.
func (co *Controller) relayLoop(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-co.relay.wake:
			select {
			case <-time.After(relayDelay):
			case <-ctx.Done():
			}
		case <-time.After(relayPeriod):
		case <-ctx.Done():
			return
		}
		co.relayDue(ctx)
	}
}

func (co *Controller) relayDue(ctx context.Context) {
	others := map[string]bool{}
	for _, a := range co.otherControllers() {
		others[a] = true
	}
	co.mu.Lock()
	alive := map[registry.Incarnation]bool{}
	for _, st := range co.serverStatuses() {
		alive[st.Record.Incarnation()] = true
	}
	co.mu.Unlock()

	now := co.cfg.Now()
	co.relay.mu.Lock()
	defer co.relay.mu.Unlock()
	for a, ob := range co.relay.outboxes {
		switch {
		case !others[a]:
			delete(co.relay.outboxes, a)
		case ob.isSending || (!ob.IsUrgent() && now < ob.sentAt+relayPeriod):
		default:
			ob.Retain(func(in registry.Incarnation) bool { return alive[in] })
			if notices := ob.Take(); len(notices) > 0 {
				ob.isSending, ob.sentAt = true, now
				go co.sendNotices(ctx, a, ob, notices)
			}
		}
	}
}

// sendNotices sends notices to another controller. One that misses them receives them again with
// later heartbeats.
func (co *Controller) sendNotices(ctx context.Context, address string, ob *relayOutbox, notices []registry.Notice) {
	cctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	var rep relayReply
	err := co.links.CallRecord(cctx, address, methodHeartbeats, relayedNotices{Notices: notices}, &rep)

	co.relay.mu.Lock()
	defer co.relay.mu.Unlock()
	ob.isSending = false
	if err != nil {
		ob.Restore(notices) // best effort: an unreachable controller is logged by its session

		return
	}
	ob.Confirm(notices, rep.Lacking)
}

func (co *Controller) handleHeartbeats(_ context.Context, st *peer.Stream) error {
	var no relayedNotices
	if err := st.RequestRecord(&no); err != nil {
		return err
	}

	return st.ReplyRecord(relayReply{Lacking: co.receive(no.Notices)})
}

// receive records notices and returns the IDs of the backend servers whose content is lacking.
func (co *Controller) receive(notices []registry.Notice) []string {
	co.mu.Lock()
	defer co.mu.Unlock()

	co.applyDepartures()
	now := co.cfg.Now()
	var lacking []string
	for i := range notices {
		no := &notices[i]
		missing, changed := co.registry.Receive(now, notices[i:i+1])
		lacking = append(lacking, missing...)
		if !changed {
			continue
		}
		co.wakePublish()
		re := no.Record
		co.cfg.Log.WithFields(log.Fields{
			"server": re.ID, "service": re.Service, "address": re.Address, "state": re.State.String(), "leaves": no.Leaves,
			"born": re.BornMs, "sequence": re.Sequence, "models": re.Models,
		}).Info("backend server state changed")
	}

	return lacking
}
