package rollout

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/step"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

func (dr *Driver) address() string {
	a, _, _ := strings.Cut(dr.cfg.Identity, "|")

	return a
}

// Page returns a page of a step as JSON. It waits up to wait for samples. A page
// that is requested again has the same bytes, unless payloads were lost in between.
func (dr *Driver) Page(ctx context.Context, workspace, id string, number uint64, limit int, wait time.Duration) ([]byte, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	if limit <= 0 {
		limit = defaultPageSamples
	}
	key := step.Key(workspace, id)
	fp := step.FormPage{Key: key, Number: number, Max: min(limit, maxPageSamples)}
	lastCheck := time.Duration(0)
	for {
		if dr.shouldPropose(fp) {
			var rep step.PageReply
			err := dr.cfg.Group.Propose(ctx, statemachine.KindFormPage, fp, &rep)
			dr.cfg.Meter.Add("samples.stale", int64(rep.Stale))
			if err == nil {
				return dr.assemble(ctx, key, id, rep)
			}
			if !result.Is(err, result.PageNotReady) {
				return nil, err
			}
		}
		if now := dr.cfg.Now(); now > lastCheck+driverCheckPeriod {
			lastCheck = now
			dr.checkDriver(ctx, key)
		}
		select {
		case <-time.After(pagePollPeriod):
		case <-ctx.Done():
			return nil, result.New(result.DeadlinePassed, "step %s: the request ended while waiting for a page", id)
		case <-timer.C:
			return nil, result.New(result.PageNotReady, "step %s: page %d is not ready", id, number).WithRetryAfter(pagePollPeriod)
		}
	}
}

// shouldPropose reports whether the page should be requested from the group,
// judging by the local replica of the ledger; without one it always is. A page is
// proposed when it would be full, when no more samples are pending than have won, when more
// than a quarter of the step's samples have won, or after the deadline.
func (dr *Driver) shouldPropose(fp step.FormPage) bool {
	propose := true
	dr.cfg.Group.Read(func(ma *statemachine.Machine) {
		st, err := ma.Steps().Get(fp.Key)
		if err != nil || fp.Number != uint64(len(st.Pages))+1 {
			return // the group returns the existing page or an error
		}
		won, pending := 0, 0
		for i := range st.Samples {
			switch st.Samples[i].State {
			case step.Won:
				won++
			case step.Pending:
				pending++
			case step.Paged, step.Delivered:
			}
		}
		late := time.Now().UnixMilli() > st.DeadlineMs
		propose = won >= fp.Max || won >= pending || pending == 0 || late || won > 0 && won*4 > len(st.Samples)
	})

	return propose
}

// checkDriver takes over the step if its driver does not answer.
func (dr *Driver) checkDriver(ctx context.Context, key string) {
	driver := ""
	ok := dr.cfg.Group.Read(func(ma *statemachine.Machine) {
		if st, err := ma.Steps().Get(key); err == nil && st.DoneMs == 0 {
			driver = st.Driver
		}
	})
	if !ok {
		if st, err := dr.cfg.Group.QueryStepUpstream(ctx, key); err == nil && st.DoneMs == 0 {
			driver = st.Driver
		}
	}
	if driver != "" {
		dr.takeOver(ctx, key, driver)
	}
}

// assemble builds the JSON of a page from the payloads stored here and at other
// holders.
func (dr *Driver) assemble(ctx context.Context, key, id string, rep step.PageReply) ([]byte, error) {
	found := map[string][]byte{}
	wanted := map[string][]string{} // digests by holder
	for _, sa := range rep.Samples {
		if b := dr.store.get(key, sa.Digest); b != nil {
			found[sa.Digest] = b

			continue
		}
		for _, h := range sa.Holders {
			if h != dr.address() {
				wanted[h] = append(wanted[h], sa.Digest)
			}
		}
	}
	for holder, digests := range wanted {
		dr.fetchPayloads(ctx, key, holder, digests, found)
	}

	lost := step.ResetLost{Key: key}
	var buf bytes.Buffer
	stepID, err := json.Marshal(id)
	if err != nil {
		return nil, err
	}
	buf.WriteString(`{"step":`)
	buf.Write(stepID)
	buf.WriteString(`,"page":`)
	buf.WriteString(jsonNumber(rep.Number))
	buf.WriteString(`,"samples":[`)
	for i, sa := range rep.Samples {
		b, ok := found[sa.Digest]
		if !ok {
			lost.Samples = append(lost.Samples, dr.sampleIndex(ctx, key, sa.ID))
			lost.Digests = append(lost.Digests, sa.Digest)

			continue
		}
		if i > 0 {
			buf.WriteByte(',')
		}
		buf.Write(b)
	}
	buf.WriteString("]}")
	if len(lost.Samples) == 0 {
		return buf.Bytes(), nil
	}

	return nil, dr.reportLost(ctx, lost, rep.Samples)
}

func jsonNumber(n uint64) string {
	b, _ := json.Marshal(n)

	return string(b)
}

// fetchPayloads adds the payloads that holder returns to found. It ignores errors,
// as reportLost asks the holders again for what is missing.
func (dr *Driver) fetchPayloads(ctx context.Context, key, holder string, digests []string, found map[string][]byte) {
	cctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()

	var rep wire.PayloadReply
	rq := &wire.PayloadRequest{Step: key, Digests: digests}
	if err := dr.cfg.Group.Call(cctx, holder, methodPayloads, rq, &rep); err != nil {
		return
	}
	for i, b := range rep.GetPayloads() {
		if i < len(digests) && len(b) > 0 && digestOf(b) == digests[i] {
			found[digests[i]] = b
		}
	}
}

// sampleIndex returns the index of a sample in its step, or -1.
func (dr *Driver) sampleIndex(ctx context.Context, key, sampleID string) int {
	index := -1
	find := func(st *step.Step) {
		for i := range st.Samples {
			if st.Samples[i].ID == sampleID {
				index = i
			}
		}
	}
	if dr.cfg.Group.Read(func(ma *statemachine.Machine) {
		if st, err := ma.Steps().Get(key); err == nil {
			find(st)
		}
	}) {
		return index
	}
	if st, err := dr.cfg.Group.QueryStepUpstream(ctx, key); err == nil {
		find(st)
	}

	return index
}

// reportLost asks the holders of each missing payload once more and resets the
// samples whose payload none of them returns. The other payloads are fetched again
// with the next request for the page.
func (dr *Driver) reportLost(ctx context.Context, lost step.ResetLost, samples []step.Sample) error {
	byDigest := map[string]step.Sample{}
	for _, sa := range samples {
		byDigest[sa.Digest] = sa
	}
	confirmed := step.ResetLost{Key: lost.Key}
	for i, d := range lost.Digests {
		if dr.isPayloadLost(ctx, lost.Key, byDigest[d]) {
			confirmed.Samples = append(confirmed.Samples, lost.Samples[i])
			confirmed.Digests = append(confirmed.Digests, d)
		}
	}
	if len(confirmed.Samples) > 0 {
		dr.cfg.Meter.Add("payloads.lost", int64(len(confirmed.Samples)))
		if err := dr.cfg.Group.Propose(ctx, statemachine.KindResetLost, confirmed, nil); err != nil {
			return err
		}
	}

	return result.New(result.PayloadLost, "step %s: the payloads of %d samples of the page are unavailable; lost samples are generated again", lost.Key, len(lost.Samples)).WithRetryAfter(time.Second)
}

// isPayloadLost reports whether no other holder returns the payload: each has none
// or does not answer within peerCallTimeout.
func (dr *Driver) isPayloadLost(ctx context.Context, key string, sa step.Sample) bool {
	for _, h := range sa.Holders {
		if h == dr.address() {
			continue // assemble has checked the local store
		}
		cctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		var rep wire.PayloadReply
		err := dr.cfg.Group.Call(cctx, h, methodPayloads, &wire.PayloadRequest{Step: key, Digests: []string{sa.Digest}}, &rep)
		cancel()
		if err == nil && len(rep.GetPayloads()) == 1 && len(rep.GetPayloads()[0]) > 0 {
			return false
		}
	}

	return true
}

// Ack records that the trainer has received a page. It returns the number of
// samples that are on no page yet.
func (dr *Driver) Ack(ctx context.Context, workspace, id string, number uint64) (remaining int, err error) {
	var rep step.PageReply
	err = dr.cfg.Group.Propose(ctx, statemachine.KindAckPage, step.AckPage{Key: step.Key(workspace, id), Number: number}, &rep)

	return rep.Remaining, err
}
