package jobdriver

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/job"
)

const (
	loadCommitTime = 5 * time.Millisecond
	loadEvents     = 25
	loadEventBytes = 360
	loadItems      = 160
)

// load is a ledger whose jobs a driver executes, each followed by another one when it is complete.
type load struct {
	mu      sync.RWMutex
	le      *job.Ledger
	applied chan struct{}
	steps   int
	listed  chan struct{} // has an element for each result
}

func (lo *load) commit(f func()) error {
	time.Sleep(loadCommitTime)
	lo.mu.Lock()
	defer lo.mu.Unlock()
	f()
	close(lo.applied)
	lo.applied = make(chan struct{})

	return nil
}

// list applies results, and replaces the job if it is complete.
func (lo *load) list(li job.ListResults) {
	for range lo.le.ListResults(li) {
		lo.listed <- struct{}{}
	}
	jo := lo.le.Jobs()[li.Job]
	if !jo.IsOpen() || len(jo.Results) < len(jo.Listed) {
		return
	}
	_ = lo.le.End(job.End{Job: li.Job, Workspace: "w"}, int64(5000+lo.steps)) // it is there
	lo.steps++
	sp := job.Spec{ID: fmt.Sprint("n", lo.steps), Workspace: "w", Host: "h", Model: "m", ResultDeadlineMs: 7500}
	for i := range loadItems {
		sp.Items = append(sp.Items, job.Item{
			ID: fmt.Sprintf("%s-%d", sp.ID, i), Path: "/usual/x", Group: fmt.Sprint(i / 8), Tokens: 1000, Expected: 500 + rand.IntN(700),
		})
	}
	_ = lo.le.Submit(job.Submit{Spec: sp}, 3000) // its ID is new
}

func (lo *load) read(f func(le *job.Ledger)) {
	lo.mu.RLock()
	defer lo.mu.RUnlock()
	f(lo.le)
}

func (lo *load) nextApplied() <-chan struct{} {
	lo.mu.RLock()
	defer lo.mu.RUnlock()

	return lo.applied
}

// newLoadClient returns a client of backend servers that write an event each 30 to 50 ms.
func newLoadClient() *backend.Client {
	text := strings.Repeat("x", loadEventBytes)

	return &backend.Client{
		Send: func(context.Context, string, *backend.Call) (*backend.Answer, error) {
			return &backend.Answer{Status: http.StatusOK, Stamp: "x", Version: 3, Body: io.NopCloser(strings.NewReader(""))}, nil
		},
		NewEventReader: func(io.Reader) func() (backend.Event, error) {
			n, gap := uint64(0), time.Duration(30+rand.IntN(20))*time.Millisecond

			return func() (backend.Event, error) {
				time.Sleep(gap)
				if n++; n > loadEvents {
					return backend.Event{}, io.EOF
				}

				return backend.Event{Number: n, Data: text, Version: 3}, nil
			}
		},
	}
}

// BenchmarkItem executes items of six jobs at 39 backend servers, whose slots are all in use. It reports the
// processor time and the passes of the driver for each item.
func BenchmarkItem(b *testing.B) {
	lo := &load{le: newLedger(ledgerSize{open: 6, ended: 90, items: loadItems, textBytes: 9000}), applied: make(chan struct{}), listed: make(chan struct{}, 1<<20)}
	for _, jo := range lo.le.Jobs() {
		clear(jo.Partial) // the backend servers begin each text at its first event
	}
	dr := newLedgerDriver(lo.le, false)
	dr.cfg.Client = newLoadClient()
	dr.intake.read = lo.read
	dr.commit = func(_ context.Context, pr job.Progress) error { return lo.commit(func() { lo.le.RecordProgress(pr) }) }
	dr.list = func(_ context.Context, li job.ListResults) error { return lo.commit(func() { lo.list(li) }) }
	ctx, cancel := context.WithCancel(context.Background())
	dr.ctx = ctx
	defer dr.wg.Wait()
	passes := 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		dr.loop(ctx, lo.nextApplied, func() bool {
			passes++

			return dr.pass()
		})
	}()
	cpu := func() time.Duration {
		var ru syscall.Rusage
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &ru) // fails for other arguments only

		return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
	}
	for range loadItems {
		<-lo.listed // until all slots are in use
	}
	start := cpu()
	b.ReportAllocs()
	for b.Loop() {
		<-lo.listed
	}
	b.ReportMetric(float64((cpu()-start).Microseconds())/float64(b.N), "cpu-us/op")
	cancel()
	<-done
	b.ReportMetric(float64(passes)/float64(b.N+loadItems), "passes/op")
}
