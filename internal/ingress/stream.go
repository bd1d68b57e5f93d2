package ingress

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/crashguard"
	"github.com/tamarackbay/tamarackbay/internal/origin"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

// serveStream serves a request whose answer is a stream of events, which are
// forwarded as they arrive. If the route is resumable, a broken stream continues on
// another backend server after the last forwarded event.
func (rs *requestState) serveStream(ctx context.Context, sink *Sink) error {
	begun := false
	last := rs.rq.ResumeAfter
	if last > 0 {
		if err := rs.findOrigin(ctx); err != nil {
			return result.From(err).WithExecution(result.NotRun)
		}
	}
	for {
		pa, gr, err := rs.place(ctx)
		if err != nil {
			rs.lastErr = err

			break
		}
		err = rs.sendStream(ctx, gr, pa, sink, &begun, &last)
		pa.Release()
		if err == nil {
			sink.End()

			return nil
		}
		rs.lastErr = err
		if ctx.Err() != nil || !rs.canRetry() || (begun && (!rs.ro.IsResumable || rs.origin == nil)) {
			break
		}
		rs.in.cfg.Meter.CountRetry(result.Lookup(result.From(err).Code).Name, true)
	}
	if begun {
		return result.From(rs.lastErr).WithExecution(result.Ran)
	}

	return rs.replyFailure(sink)
}

// findOrigin finds out what began the stream that the client takes up.
func (rs *requestState) findOrigin(ctx context.Context) error {
	if rs.rq.Resumes == "" {
		return result.New(result.OriginUnknown, "ingress: the request does not name the attempt that began the stream").
			WithRetryAfter(sameSoftwareRetryAfter)
	}
	key := origin.KeyOf(rs.workspace, rs.rq.Resumes)
	fi, err := rs.in.cfg.Origins.Find(ctx, key)
	if err != nil {
		return err
	}
	or := fi.Origin
	rs.origin = &or
	rs.avoid(fi.OtherSoftware...)
	rs.in.cfg.Origins.Begin(origin.Record{Key: key, Origin: or}) // this gateway may be the only one left that knows it
	if rs.rq.ID != "" && rs.rq.ID != rs.rq.Resumes {
		// A later resume may name this attempt instead of the first one.
		rs.in.cfg.Origins.Begin(origin.Record{Key: origin.KeyOf(rs.workspace, rs.rq.ID), Origin: or})
	}

	return nil
}

// avoid keeps a stream that goes on from backend servers.
func (rs *requestState) avoid(ids ...string) {
	if rs.otherSoftware == nil {
		rs.otherSoftware = make(map[string]bool, len(ids))
	}
	for _, id := range ids {
		rs.otherSoftware[id] = true
	}
}

// confirmIncarnation returns an error if the backend server at which a stream is to go on does not confirm
// the incarnation that its record names. outcome is set to that for the backend server.
func (rs *requestState) confirmIncarnation(ctx context.Context, re registry.Record, outcome *balance.Outcome) error {
	err := rs.in.cfg.Client.CheckIncarnation(ctx, re.Address, re.BornMs)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, backend.ErrLaterIncarnation):
		*outcome = balance.Unused
		rs.avoid(re.ID)
	case ctx.Err() != nil:
		*outcome = balance.Unused // the client disconnected
	}
	rs.tried = append(rs.tried, re.ID)
	rs.in.cfg.Meter.Count("origins.notConfirmed")
	rs.in.cfg.Log.WithError(err).WithFields(log.Fields{"request": rs.rq.ID, "server": re.ID}).Info("no stream goes on at the backend server: it may be a later incarnation than its record names")

	return result.New(result.NoSameSoftware, "ingress: backend server %s may be a later incarnation than its record names: %v", re.ID, err).
		WithRetryAfter(sameSoftwareRetryAfter)
}

// beginOrigin records what begins a stream, before its first event is forwarded. A stream
// without an ID is not recorded: others of the workspace would have the same key. If this process may lack
// a later incarnation of the backend server, which does not confirm that there is none, the origin stays
// unknown and the stream is not resumed.
func (rs *requestState) beginOrigin(ctx context.Context, gr *balance.Grant) {
	if rs.origin != nil || !rs.ro.IsResumable {
		return
	}
	re := gr.Record()
	if rs.in.cfg.Current() != nil {
		if err := rs.in.cfg.Client.CheckIncarnation(ctx, re.Address, re.BornMs); err != nil {
			rs.in.cfg.Meter.Count("origins.notConfirmed")
			rs.in.cfg.Log.WithError(err).WithFields(log.Fields{"request": rs.rq.ID, "server": re.ID}).Info("the stream is not resumed: the backend server may be a later incarnation than its record names")

			return
		}
	}
	rs.origin = &origin.Origin{Service: re.Service, Software: re.Software}
	if rs.rq.ID != "" {
		rs.in.cfg.Origins.Begin(origin.Record{
			Key: origin.KeyOf(rs.workspace, rs.rq.ID), Origin: *rs.origin, Server: re.ID, BornMs: re.BornMs, BegunMs: time.Now().UnixMilli(),
		}).Wait(ctx)
	}
}

// sendStream forwards the stream of one backend server. It returns nil once the
// stream has ended regularly.
func (rs *requestState) sendStream(ctx context.Context, gr *balance.Grant, pa *crashguard.Pass, sink *Sink, begun *bool, last *uint64) error {
	outcome, load := balance.Failed, (*backend.Load)(nil)
	defer func() { rs.release(gr, outcome, load) }()

	if rs.origin != nil {
		if err := rs.confirmIncarnation(ctx, gr.Record(), &outcome); err != nil {
			rs.in.cfg.Guard.RecordNotRun(pa, rs.fingerprint)

			return err
		}
		if err := rs.checkFresh(); err != nil {
			outcome = balance.Unused
			rs.in.cfg.Guard.RecordNotRun(pa, rs.fingerprint)

			return err
		}
	}
	ca := rs.newCall(gr)
	ca.ResumeAfter = *last
	sent := time.Now()
	an, err := rs.in.cfg.Client.Send(ctx, gr.Record().Address, ca)
	if err != nil {
		rs.recordSendError(err, &outcome, sent)
		switch {
		case !backend.MayHaveRun(err):
			rs.in.cfg.Guard.RecordNotRun(pa, rs.fingerprint)
		case result.Is(err, result.BackendCrashed):
			rs.recordBreak(ctx, gr, pa, 0)
		}

		return err
	}
	defer an.Body.Close()

	gr.RecordAnswer(an)
	load = an.Load
	if an.IsNotRun {
		outcome = balance.Busy
		rs.in.cfg.Guard.RecordNotRun(pa, rs.fingerprint)

		return result.New(result.ServerDraining, "ingress: backend server %s refused with status %d", gr.Record().ID, an.Status).WithRetryAfter(defaultRetryAfter)
	}
	rs.recordStart(sent)
	if rs.origin != nil {
		// The incarnation that confirmed its record before may have ended since.
		if err := rs.confirmIncarnation(ctx, gr.Record(), &outcome); err != nil {
			return err
		}
	}
	if an.Status >= 300 || an.Stamp == "" {
		body, release, err := rs.in.answers.read(an.Body)
		switch {
		case err != nil:
		case *begun || an.Status < 300:
			release()
		default:
			rs.keepFailure(&completeAnswer{an, body, release})
		}

		return result.New(result.BackendRefused, "ingress: backend server %s answered with status %d", gr.Record().ID, an.Status).WithExecution(result.Ran)
	}

	next := rs.in.cfg.Client.NewEventReader(an.Body)
	delivered := uint64(0) // last event of this run
	for {
		ev, err := next()
		if errors.Is(err, io.EOF) {
			outcome = balance.Succeeded
			if !*begun {
				*begun = true
				sink.Begin(an)
			}
			rs.recordCompletion()

			return nil
		}
		if err != nil {
			rs.recordBreak(ctx, gr, pa, delivered)

			return result.New(result.StreamCut, "ingress: backend server %s: the stream broke off: %v", gr.Record().ID, err).WithExecution(result.Ran)
		}
		if *last > 0 && ev.Number != *last+1 {
			return result.New(result.BackendAnswerBroken, "ingress: backend server %s: event %d does not follow event %d directly", gr.Record().ID, ev.Number, *last).WithExecution(result.Ran)
		}
		if !*begun {
			rs.beginOrigin(ctx, gr)
			*begun = true
			sink.Begin(an)
		}
		if err := sink.Event(ev); err != nil {
			outcome = balance.Unused

			return result.New(result.DeadlinePassed, "ingress: the client disconnected: %v", err).WithExecution(result.Ran)
		}
		*last, delivered = ev.Number, ev.Number
		rs.recordEvent(pa, ev.Number)
	}
}
