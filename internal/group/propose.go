package group

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/step"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

const (
	proposeTimeout = 5 * time.Second
	confirmPeriod  = 500 * time.Millisecond
	confirmTimeout = time.Second
	retryMin       = 10 * time.Millisecond  // shortest pause before a retry
	retryMax       = 60 * time.Millisecond  // longest pause before a retry
	sessionTimeout = 500 * time.Millisecond // of the wait for a session before a call
)

// Methods of calls between processes of a group.
const (
	methodPropose       = "group.propose"
	methodProposeLeader = "group.proposeAtLeader"
	methodReadIndex     = "group.readIndex"
	methodIdentity      = "group.identity"
	methodJoin          = "group.join"
	methodFeed          = "group.feed"
	methodMember        = "group.member"
	methodQuery         = "group.query"
)

// Handlers returns the handlers of the calls from other processes.
func (gr *Group) Handlers() peer.Mux {
	return peer.Mux{
		methodConsensus: gr.handleConsensus,
		methodPropose: func(ctx context.Context, st *peer.Stream) error {
			return gr.handlePropose(ctx, st, true)
		},
		methodProposeLeader: func(ctx context.Context, st *peer.Stream) error {
			return gr.handlePropose(ctx, st, false)
		},
		methodReadIndex: gr.handleReadIndex,
		methodIdentity:  gr.handleIdentity,
		methodJoin:      gr.handleJoin,
		methodFeed:      gr.handleFeed,
		methodMember:    gr.handleMember,
		methodQuery:     gr.handleQuery,
	}
}

func (gr *Group) handleConsensus(_ context.Context, st *peer.Stream) error {
	he := st.Session().Remote()
	if he.GetReplica() == "" {
		return result.New(result.DataFolderForeign, "group: %s sent consensus messages but has no replica", he.GetName())
	}

	gr.recordAddress(he)
	for {
		st.SetDeadline(time.Now().Add(rawStreamTimeout))
		var w wire.ConsensusMessage
		if err := st.Read(&w); err != nil {
			return err
		}
		n := gr.node.Load()
		if n == nil {
			continue
		}
		m := fromWire(&w)
		select {
		case n.inbox <- event{message: &m}:
		case <-gr.ctx.Done():
			return nil
		}
	}
}

// Propose commits a command and decodes its reply into out. It retries after a change of the
// leader or a lost connection, which is safe as every command is idempotent.
func (gr *Group) Propose(ctx context.Context, kind statemachine.Kind, body, out any) error {
	command, err := statemachine.Encode(kind, body)
	if err != nil {
		return err
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
	}

	for {
		rep, err := gr.proposeOnce(ctx, command)
		if err == nil {
			return statemachine.DecodeReply(rep, out)
		}
		if !isRetriable(err) {
			return err
		}

		select {
		case <-time.After(retryMin + rand.N(retryMax-retryMin)):
		case <-ctx.Done():
			return result.New(result.GroupTimeout, "group: the command was not confirmed in time: %v", err).WithExecution(result.ExecutionUnknown)
		}
	}
}

// ProposeLocal commits a command if this replica is the leader, and otherwise returns an
// error at once. If the command may still be committed after a failure, the execution of
// the error is ExecutionUnknown.
func (gr *Group) ProposeLocal(ctx context.Context, kind statemachine.Kind, body, out any) error {
	command, err := statemachine.Encode(kind, body)
	if err != nil {
		return err
	}
	n := gr.node.Load()
	if n == nil {
		return result.New(result.NotLeader, "group: the replica has not started")
	}
	rep, err := n.proposeLocal(ctx, command)
	if err != nil {
		return err
	}

	return statemachine.DecodeReply(rep, out)
}

func isRetriable(err error) bool {
	for _, c := range []result.Code{
		result.NotLeader, result.NoLeader, result.BackendUnreachable, result.StreamCut, result.ShuttingDown,
	} {
		if result.Is(err, c) {
			return true
		}
	}

	return false
}

func (gr *Group) proposeOnce(ctx context.Context, command []byte) ([]byte, error) {
	if n := gr.node.Load(); n != nil && n.getStatus().Role == consensus.RoleLeader.String() {
		return n.proposeLocal(ctx, append([]byte(nil), command...))
	}

	var rep wire.ProposeReply
	req := &wire.ProposeRequest{Command: command}
	if !gr.HasDisk() {
		if err := gr.callUpstream(ctx, methodPropose, req, &rep); err != nil {
			return nil, err
		}

		return rep.GetResult(), nil
	}
	if err := gr.CallLeader(ctx, methodProposeLeader, req, &rep); err != nil {
		return nil, err
	}

	return rep.GetResult(), nil
}

// CallLeader calls the last known leader. It returns NoLeader if none is known or if
// this replica is the leader itself.
func (gr *Group) CallLeader(ctx context.Context, method string, req, rep message) error {
	n := gr.node.Load()
	if n == nil {
		return result.New(result.NoLeader, "group: the replica has not started")
	}
	st := n.getStatus()
	if st.Leader == "" || st.Leader == st.Replica {
		return result.New(result.NoLeader, "group: no leader is known")
	}
	a := gr.addressOf(st.Leader)
	if a == "" {
		return result.New(result.NoLeader, "group: the address of the leader %s is not known", st.Leader)
	}

	return gr.callAddress(ctx, a, method, req, rep)
}

func (gr *Group) callAddress(ctx context.Context, address, method string, req, rep message) error {
	wctx, cancel := context.WithTimeout(ctx, sessionTimeout)
	defer cancel()
	se, err := gr.transport.session(wctx, address)
	if err != nil {
		return err
	}

	return se.Call(ctx, method, req, rep)
}

func (gr *Group) handlePropose(ctx context.Context, st *peer.Stream, mayForward bool) error {
	var req wire.ProposeRequest
	if err := st.Request(&req); err != nil {
		return err
	}

	if !gr.HasDisk() && mayForward { // without a replica, commands are forwarded upstream
		var rep wire.ProposeReply
		if err := gr.callUpstream(ctx, methodPropose, &req, &rep); err != nil {
			return err
		}

		return st.Reply(&rep)
	}
	n := gr.node.Load()
	if n == nil {
		return result.New(result.NotLeader, "group: the replica has not started")
	}
	if n.getStatus().Role == consensus.RoleLeader.String() {
		rep, err := n.proposeLocal(ctx, req.GetCommand())
		if err != nil {
			return err
		}

		return st.Reply(&wire.ProposeReply{Result: rep})
	}
	if !mayForward {
		return result.New(result.NotLeader, "group: this replica is not the leader")
	}

	var rep wire.ProposeReply
	if err := gr.CallLeader(ctx, methodProposeLeader, &req, &rep); err != nil {
		return err
	}

	return st.Reply(&rep)
}

// readIndex returns a log position that covers everything committed before the call,
// as confirmed by the leader.
func (gr *Group) readIndex(ctx context.Context) (uint64, error) {
	n := gr.node.Load()
	if n == nil {
		return 0, result.New(result.NoLeader, "group: the replica has not started")
	}
	if n.getStatus().Role == consensus.RoleLeader.String() {
		return n.readLocal(ctx)
	}

	var rep wire.ReadIndexReply
	if err := gr.CallLeader(ctx, methodReadIndex, &wire.Empty{}, &rep); err != nil {
		return 0, err
	}

	return rep.GetIndex(), nil
}

func (gr *Group) handleReadIndex(ctx context.Context, st *peer.Stream) error {
	n := gr.node.Load()
	if n == nil {
		return result.New(result.NotLeader, "group: the replica has not started")
	}
	i, err := n.readLocal(ctx)
	if err != nil {
		return err
	}

	return st.Reply(&wire.ReadIndexReply{Index: i})
}

// Barrier returns once everything committed before the call is applied here.
func (gr *Group) Barrier(ctx context.Context) error {
	at := gr.now()
	i, err := gr.readIndex(ctx)
	if err != nil {
		return err
	}
	if err := gr.node.Load().waitApplied(ctx, i); err != nil {
		return err
	}
	gr.recordConfirmation(at)

	return nil
}

// confirmLoop renews the freshness time of a replica periodically.
func (gr *Group) confirmLoop(ctx context.Context) {
	for ctx.Err() == nil {
		cctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		err := gr.Barrier(cctx)
		cancel()
		wait := confirmPeriod
		if err != nil {
			wait = retryMax
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// Call calls another process by its peer address.
func (gr *Group) Call(ctx context.Context, address, method string, req, rep message) error {
	if address == gr.cfg.Address {
		return result.New(result.Internal, "group: %s is the address of this process", address)
	}

	return gr.callAddress(ctx, address, method, req, rep)
}

// ConnectedPeers returns the peer addresses of other gateways that are connected, those of
// other failure domains first.
func (gr *Group) ConnectedPeers(failureDomain string) []string {
	domains := map[string]string{}
	for _, fo := range gr.cfg.Founders {
		domains[fo.Address] = ""
	}
	gr.Read(func(ma *statemachine.Machine) {
		for _, re := range ma.Replicas() {
			domains[re.Address] = re.FailureDomain
		}
	})
	var far, near []string
	for a, d := range domains {
		if a == gr.cfg.Address || gr.transport.outbox(a).link.Session() == nil {
			continue
		}
		if d == failureDomain {
			near = append(near, a)
		} else {
			far = append(far, a)
		}
	}

	return append(far, near...)
}

// QueryStepUpstream returns a step as recorded at the upstream, which may lag behind the leader.
func (gr *Group) QueryStepUpstream(ctx context.Context, key string) (*step.Step, error) {
	var rep wire.ProposeReply
	req := &wire.QueryRequest{Kind: "step", Payload: []byte(key)}
	if err := gr.callUpstream(ctx, methodQuery, req, &rep); err != nil {
		return nil, err
	}

	var st step.Step

	return &st, decode(rep.GetResult(), &st)
}

// handleQuery answers from the state that is applied at this replica. A process without
// a replica forwards the query upstream.
func (gr *Group) handleQuery(ctx context.Context, st *peer.Stream) error {
	var req wire.QueryRequest
	if err := st.Request(&req); err != nil {
		return err
	}
	if !gr.HasDisk() {
		var rep wire.ProposeReply
		if err := gr.callUpstream(ctx, methodQuery, &req, &rep); err != nil {
			return err
		}

		return st.Reply(&rep)
	}

	var b []byte
	err := error(result.New(result.NotLeader, "group: the replica has not started"))
	gr.Read(func(ma *statemachine.Machine) {
		var s *step.Step
		if s, err = ma.Steps().Get(string(req.GetPayload())); err == nil {
			b, err = cbor.Marshal(s)
		}
	})
	if err != nil {
		return err
	}

	return st.Reply(&wire.ProposeReply{Result: b})
}

// OpenStream starts a call with several answers at another process.
func (gr *Group) OpenStream(ctx context.Context, address, method string, req message) (*peer.Stream, error) {
	wctx, cancel := context.WithTimeout(ctx, sessionTimeout)
	defer cancel()
	se, err := gr.transport.session(wctx, address)
	if err != nil {
		return nil, err
	}

	return se.Open(ctx, method, req)
}
