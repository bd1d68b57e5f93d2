package rollout

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// complete runs an attempt through this gateway or another one, round robin. Each
// gateway divides its part of the slots among the workspaces with requests there: a
// step that used a single gateway would get a share of that part only.
func (dr *Driver) complete(ctx context.Context, at SampleRequest) (*SampleResult, error) {
	if dr.cfg.NoSpread {
		return dr.cfg.Complete(ctx, at)
	}

	others := dr.cfg.Group.ConnectedPeers(dr.cfg.FailureDomain)
	i := int(dr.nextGateway.Add(1) % uint64(len(others)+1))
	if i == len(others) {
		return dr.cfg.Complete(ctx, at)
	}

	return dr.completeAt(ctx, others[i], at)
}

// completeAt runs an attempt through another gateway.
func (dr *Driver) completeAt(ctx context.Context, address string, at SampleRequest) (*SampleResult, error) {
	cctx, cancel := context.WithTimeout(ctx, at.Timeout)
	defer cancel()
	st, err := dr.cfg.Group.OpenStream(cctx, address, methodRun, &wire.SampleRequest{
		Workspace: at.Workspace, Model: at.Model, Prompt: at.Prompt, MaxTokens: at.MaxTokens, Temperature: at.Temperature,
		Seed: at.Seed, Retries: uint32(at.Retries), MinSequence: at.MinSequence, Exclude: at.Exclude,
	})
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(cctx, st.Close)
	defer stop()
	defer st.Close()

	for {
		var rep wire.SampleReply
		err := st.Recv(&rep)
		if errors.Is(err, io.EOF) {
			return nil, result.New(result.StreamCut, "gateway %s: stream closed without a result", address).WithExecution(result.ExecutionUnknown)
		}
		if err != nil {
			return nil, err
		}
		if rep.GetPlaced() == "" {
			return fromReply(&rep), nil
		}
		if at.OnPlaced != nil {
			at.OnPlaced(rep.GetPlaced())
		}
	}
}

func fromReply(rep *wire.SampleReply) *SampleResult {
	wr := &SampleResult{
		RequestID: rep.GetRequestId(), Text: rep.GetText(), Finish: rep.GetFinish(), Tokens: rep.GetTokens(),
		PromptTokens: rep.GetPromptTokens(), Server: rep.GetServer(),
	}
	for _, vr := range rep.GetVersions() {
		wr.Versions = append(wr.Versions, VersionRange{Version: vr.GetVersion(), From: vr.GetFrom(), To: vr.GetTo()})
	}

	return wr
}

// handleRun runs an attempt for the driver of a step on another gateway.
func (dr *Driver) handleRun(ctx context.Context, st *peer.Stream) error {
	var rq wire.SampleRequest
	if err := st.Request(&rq); err != nil {
		return err
	}
	dl, _ := ctx.Deadline()
	wr, err := dr.cfg.Complete(ctx, SampleRequest{
		Workspace: rq.GetWorkspace(), Model: rq.GetModel(), Prompt: rq.GetPrompt(), MaxTokens: rq.GetMaxTokens(),
		Temperature: rq.GetTemperature(), Seed: rq.GetSeed(), Retries: int(rq.GetRetries()), MinSequence: rq.GetMinSequence(),
		Exclude: rq.GetExclude(), Timeout: time.Until(dl),
		OnPlaced: func(server string) { _ = st.Send(&wire.SampleReply{Placed: server}) }, // the driver may have disconnected
	})
	if err != nil {
		return err
	}

	rep := &wire.SampleReply{
		RequestId: wr.RequestID, Text: wr.Text, Finish: wr.Finish, Tokens: wr.Tokens, PromptTokens: wr.PromptTokens, Server: wr.Server,
	}
	for _, vr := range wr.Versions {
		rep.Versions = append(rep.Versions, &wire.VersionRange{Version: vr.Version, From: vr.From, To: vr.To})
	}

	return st.Reply(rep)
}
