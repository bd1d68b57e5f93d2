// Package jobproxy forwards requests of clients about batch jobs to the leader of the
// store group. It never reports a job as accepted or as rejected unless that is known.
package jobproxy

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackbay/tamarackbay/internal/balance"
	"github.com/tamarackbay/tamarackbay/internal/codec"
	"github.com/tamarackbay/tamarackbay/internal/feed"
	"github.com/tamarackbay/tamarackbay/internal/ingress"
	"github.com/tamarackbay/tamarackbay/internal/intake"
	"github.com/tamarackbay/tamarackbay/internal/job"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/routing"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// Names of the methods that stores serve to gateways.
const (
	MethodSubmit = "job.submit"
	MethodRead   = "job.read"
	MethodBody   = "job.body"
	MethodEnd    = "job.end"
)

const (
	// callTimeout bounds one call to a store. It covers a few commits on a slow disk.
	callTimeout = 900 * time.Millisecond
	// requestTimeout bounds all calls for one request of a client. It is longer than
	// the election of a new leader, which takes about two seconds.
	requestTimeout = 2500 * time.Millisecond
	// sessionTimeout bounds the wait for the session to a store. It takes milliseconds unless the store is
	// lost.
	sessionTimeout = 300 * time.Millisecond
	// retryPause is the pause between two calls, cut short by a change of the view.
	retryPause = 60 * time.Millisecond
	// largeRecordBytes is the size from which the transfer of a record takes time of its own, and
	// transferPace the bytes a second at which that is expected at least: a third of the slowest link.
	largeRecordBytes = 256 << 10
	transferPace     = 2 << 20
	// answerCopies is how many times a large answer is in memory while it is decoded.
	answerCopies = 4
	// retryAfter is the retry delay reported to clients while there is no leader.
	retryAfter = 500 * time.Millisecond
)

// Config holds the dependencies of a Proxy.
type Config struct {
	Ingress *ingress.Ingress // identifies callers
	Table   func() *routing.Table
	View    func() *feed.View
	Changed func() <-chan struct{}
	Links   *peer.Links
	// Balancer knows which backend servers could run a job.
	Balancer *balance.Balancer
	// Region is the one of this process and of the clients that connect to it, "" if it is not known.
	Region string
	// RegionOf returns the region of a failure domain, "" if it is not known.
	RegionOf func(failureDomain string) string
	Meter    *meter.Meter
	Log      log.Interface
}

// Proxy forwards requests of clients to stores. It is safe for concurrent use.
type Proxy struct{ cfg Config }

// New returns a proxy.
func New(cfg Config) *Proxy { return &Proxy{cfg: cfg} }

// BodyRequest requests the body of an item whose result is not listed yet.
type BodyRequest struct {
	Workspace string `cbor:"1,keyasint"`
	Job       string `cbor:"2,keyasint"`
	Item      string `cbor:"3,keyasint"`
}

// IsBatch reports whether requests to host and path submit batch jobs.
func (pr *Proxy) IsBatch(host, path string) bool {
	ta := pr.cfg.Table()
	if ta == nil {
		return false
	}
	ro := ta.Match(host, path)

	return ro != nil && ro.Kind == routing.Batch
}

// Check returns the error of a job that is refused whatever it holds, and logs it.
func (pr *Proxy) Check(host, path, key, id string) error {
	ro, ws, err := pr.cfg.Ingress.Admit(host, path, key)
	if err == nil {
		err = pr.checkServers(ro, ro.AllowedRegions(ws))
	}
	if err != nil {
		workspace := ""
		if ws != nil {
			workspace = ws.Name
		}
		pr.logOutcome("request to submit a job", id, workspace, err, log.Fields{})
	}

	return err
}

// Submit submits a batch job, whose memory le holds. After it has returned nil, the job survives every
// loss of VMs that the deployment tolerates. The items of the job are gone afterwards.
func (pr *Proxy) Submit(ctx context.Context, path, key string, sp *job.Spec, le *intake.Lease) error {
	fl := log.Fields{
		"items": len(sp.Items), "step": sp.Step, "model": sp.Model, "minVersion": sp.MinVersion, "targetGroups": sp.TargetGroups,
	}
	ro, ws, err := pr.cfg.Ingress.Admit(sp.Host, path, key)
	if err == nil {
		if ws != nil {
			sp.Workspace = ws.Name
		}
		sp.ResultDeadlineMs, sp.MaxQueueMs = ro.ResultDeadline.Milliseconds(), ro.MaxQueueTime.Milliseconds()
		regions := ro.AllowedRegions(ws)
		if err = pr.checkServers(ro, regions); err == nil {
			var b []byte
			if b, err = encodeJob(sp, le); err == nil {
				err = pr.callStores(ctx, MethodSubmit, b, nil, regions, le)
			}
		}
	}
	pr.logOutcome("request to submit a job", sp.ID, sp.Workspace, err, fl)

	return err
}

// encodeJob encodes a job and gives up its items, so that the job is not held twice while stores are
// called.
func encodeJob(sp *job.Spec, le *intake.Lease) ([]byte, error) {
	size := sp.EncodedBytes()
	if err := le.Grow(int64(size)); err != nil {
		return nil, err
	}
	b, err := codec.Append(make([]byte, 0, size), &job.Submit{Spec: *sp})
	if err != nil {
		return nil, result.New(result.Internal, "jobproxy: encode the job: %v", err)
	}
	le.Shrink(int64(sp.Bytes()))
	sp.Items = nil

	return b, nil
}

// Read returns a page of the results of a job, whose memory le holds.
func (pr *Proxy) Read(ctx context.Context, le *intake.Lease, rd *job.Read) (*job.Page, error) {
	var pa job.Page
	err := pr.identify(rd.Key, &rd.Workspace)
	if err == nil {
		err = pr.call(ctx, MethodRead, rd, &pa, le)
	}
	pr.logOutcome("request to read results of a job", rd.Job, rd.Workspace, err, log.Fields{"from": rd.From, "next": pa.Next, "total": pa.Total})

	return &pa, err
}

// Body returns the body of an item whose result is not listed yet. Its memory is held by le.
func (pr *Proxy) Body(ctx context.Context, le *intake.Lease, key, id, item string) ([]byte, error) {
	rq, body := BodyRequest{Job: id, Item: item}, []byte(nil)
	err := pr.identify(key, &rq.Workspace)
	if err == nil {
		err = pr.call(ctx, MethodBody, &rq, &body, le)
	}
	pr.logOutcome("request to read the body of an item", id, rq.Workspace, err, log.Fields{"item": item, "bytes": len(body)})

	return body, err
}

// End ends a job.
func (pr *Proxy) End(ctx context.Context, key, id string) error {
	en := job.End{Job: id}
	err := pr.identify(key, &en.Workspace)
	if err == nil {
		err = pr.call(ctx, MethodEnd, &en, nil, nil)
	}
	pr.logOutcome("request to end a job", id, en.Workspace, err, log.Fields{})

	return err
}

func (pr *Proxy) identify(key string, workspace *string) error {
	ws, err := pr.cfg.Ingress.Identify(key, false)
	if ws != nil {
		*workspace = ws.Name
	}

	return err
}

// logOutcome logs a request about a job and counts it as refused if err is not nil.
func (pr *Proxy) logOutcome(msg, id, workspace string, err error, fl log.Fields) {
	fl["job"], fl["workspace"] = id, workspace
	if err == nil {
		pr.cfg.Log.WithFields(fl).Info(msg)

		return
	}
	pr.cfg.Meter.CountRefusal(err)
	fl["error"] = err.Error()
	pr.cfg.Log.WithFields(fl).Warn(msg)
}

// call is callStores with a record that is encoded here, for a call that may be sent to any store.
func (pr *Proxy) call(ctx context.Context, method string, in, out any, le *intake.Lease) error {
	b, err := cbor.Marshal(in)
	if err != nil {
		return result.New(result.Internal, "jobproxy: encode the request: %v", err)
	}

	return pr.callStores(ctx, method, b, out, nil, le)
}

// transferTime returns how long the transfer of a large record may take beyond the usual time.
func transferTime(bytes int) time.Duration {
	if bytes <= largeRecordBytes {
		return 0
	}

	return time.Duration(float64(bytes) / transferPace * float64(time.Second))
}

// callStores calls the leader of the store group, and the other stores as well if the
// leader fails or is unknown, until one answers or requestTimeout has passed. If a store may
// have executed a failed submission, the error says that its outcome is unknown. regions lists
// those to which the call may be sent beside the client's own, nil for any. The lease holds the
// memory of the answer; nil for an answer that is small.
func (pr *Proxy) callStores(ctx context.Context, method string, b []byte, out any, regions []string, le *intake.Lease) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout+transferTime(len(b)))
	defer cancel()

	var last error = result.New(result.NoLeader, "jobproxy: the store group has no known leader").WithRetryAfter(retryAfter)
	mayHaveRun := false
	for try := 0; ; try++ {
		changed := pr.cfg.Changed()
		if err := pr.checkStores(regions); err != nil {
			if !mayHaveRun {
				return err
			}
			last = err
		} else if st, ok := pr.pickStore(try); ok {
			err := pr.callStore(ctx, st, method, b, out, le)
			if err != nil && method == MethodSubmit && mayHaveRun {
				err = result.From(err).WithExecution(result.ExecutionUnknown) // another store may have accepted the job
			}
			if err == nil || !canRetryElsewhere(err) {
				return err
			}
			mayHaveRun = mayHaveRun || result.From(err).Execution != result.NotRun
			last = err
		}
		select {
		case <-changed:
		case <-time.After(retryPause):
		case <-ctx.Done():
			er := result.From(last)
			if method == MethodSubmit && mayHaveRun {
				return er.WithExecution(result.ExecutionUnknown)
			}

			return er.WithExecution(result.NotRun).WithRetryAfter(retryAfter)
		}
	}
}

// pickStore returns the store for a try, counted from 0: the last known leader on even
// tries, and the stores one after another on odd ones or if no leader is known, those first that
// this process is connected to.
func (pr *Proxy) pickStore(try int) (feed.Store, bool) {
	vi := pr.cfg.View()
	if st, ok := vi.Leader(); ok && try%2 == 0 {
		return st, true
	}
	if len(vi.Stores) == 0 {
		return feed.Store{}, false
	}
	var connected, others []feed.Store
	for _, st := range vi.Stores {
		if pr.cfg.Links.To(st.Address).Session() != nil {
			connected = append(connected, st)
		} else {
			others = append(others, st)
		}
	}

	return append(connected, others...)[(try/2)%len(vi.Stores)], true
}

func (pr *Proxy) callStore(ctx context.Context, st feed.Store, method string, b []byte, out any, le *intake.Lease) error {
	limit := callTimeout + transferTime(len(b))
	if method == MethodRead {
		limit += maxReadWait
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()

	wctx, wcancel := context.WithTimeout(ctx, sessionTimeout)
	_, err := pr.cfg.Links.To(st.Address).Wait(wctx)
	wcancel()
	if err != nil {
		return err
	}
	var rep wire.Payload
	received := int64(0) // memory for the answer
	reserve := func(bytes int64) error {
		received += answerCopies * bytes

		return le.Grow(answerCopies * bytes)
	}
	if le == nil {
		reserve = nil
	}
	if err := pr.cfg.Links.CallReserving(ctx, st.Address, method, &wire.Payload{Record: b}, &rep, reserve); err != nil {
		return err
	}
	if received > 0 {
		defer func() { le.Shrink(received - received/answerCopies) }() // only the decoded answer is left
	}
	if out == nil {
		return nil
	}
	if err := cbor.Unmarshal(rep.GetRecord(), out); err != nil {
		return result.New(result.Internal, "jobproxy: decode the answer of the store: %v", err)
	}

	return nil
}

// maxReadWait is the longest wait for a first result that the platform's clients
// request. callTimeout is extended by it for reads.
const maxReadWait = time.Second

// canRetryElsewhere reports whether another store may succeed after this error.
func canRetryElsewhere(err error) bool {
	switch result.From(err).Code {
	case result.NotLeader, result.NoLeader, result.BackendUnreachable, result.StreamCut, result.GroupTimeout,
		result.ShuttingDown, result.DeadlinePassed:
		return true
	}

	return false
}
