package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"runtime"
	"runtime/metrics"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/tamarackbay/tamarackbay/internal/job"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
)

const (
	recoveryJobItems  = 160
	recoveryItemBytes = 200   // body of an item
	recoveryTextBytes = 9_000 // text of a result
	recoveryWorkspace = "w"
	recoveryOpenJob   = "open" // whose progress is committed while the group is measured

	fillWriters = 32
	fillTimeout = 2 * time.Minute
	// recoveryWait bounds each wait for the group; what takes longer is reported as such.
	recoveryWait  = 60 * time.Second
	settledPeriod = 20 * time.Second // in which changes of the leader are counted
	quietPeriod   = 3 * time.Second  // without a new snapshot, after which none is being written
	pollPeriod    = 10 * time.Millisecond

	steadyPeriod   = 10 * time.Millisecond // between two small progress commits
	steadyTimeout  = 5 * time.Second
	steadyWriters  = 64
	largeTextBytes = 16_000 // of a progress commit that makes snapshots due
)

// RecoveryReport holds the recovery of a group at several sizes of its ledger.
type RecoveryReport struct {
	Processors int             `json:"processors"` // that the process may use for Go code
	Points     []RecoveryPoint `json:"points"`
}

// RecoveryPoint is the recovery of a group whose ledger has one size. Times are nil if they are over the
// bound of the measurement.
type RecoveryPoint struct {
	LedgerMB float64 `json:"ledgerMB"`
	FillS    float64 `json:"fillS"`
	// SteadyPauseMs is the longest pause of a replica's loop while each replica writes a snapshot.
	SteadyPauseMs float64  `json:"steadyPauseMs"`
	SnapshotsS    *float64 `json:"snapshotsS"` // until each replica has written one
	SteadyLeaders int      `json:"steadyLeaderChanges"`
	// SettledS is the time from the return of power to a settled leader that answers a barrier.
	SettledS        *float64 `json:"settledS"`
	LeaderChanges   int      `json:"leaderChanges"`   // in settledPeriod from then on
	VotersS         *float64 `json:"votersS"`         // from the return of power to the full number of living voters
	CaughtUpS       *float64 `json:"caughtUpS"`       // until all replicas are members and have applied what is committed
	RecoveryPauseMs float64  `json:"recoveryPauseMs"` // longest pause of a loop after the return of power
	IdleHeapMB      float64  `json:"idleHeapMB"`      // live heap of all replicas with the filled ledger
	SteadyPeakMB    float64  `json:"steadyPeakMB"`    // peak of the heap above the idle one while snapshots are written
	RecoveryPeakMB  float64  `json:"recoveryPeakMB"`  // the same after the return of power
	Failure         string   `json:"failure,omitempty"`
}

// MeasureRecovery measures the recovery of a group from the loss of all power and of two disks, for each
// size of its ledger in MB. It writes its progress to out.
func MeasureRecovery(out io.Writer, sizes []float64) (*RecoveryReport, error) {
	re := &RecoveryReport{Processors: runtime.GOMAXPROCS(0)}
	for _, mb := range sizes {
		fmt.Fprintf(out, "measuring the recovery with a ledger of %g MB\n", mb)
		p, err := measureRecoveryAt(mb, settledPeriod)
		if err != nil {
			return nil, err
		}
		re.Points = append(re.Points, p)
	}

	return re, nil
}

// measureRecoveryAt measures at one size. It counts changes of the leader for settled after the recovery.
func measureRecoveryAt(mb float64, settled time.Duration) (RecoveryPoint, error) {
	p := RecoveryPoint{LedgerMB: mb}
	folder, clean, err := tempFolder()
	if err != nil {
		return p, err
	}
	defer clean()
	rg, err := startRecoveryGroup(folder, os.Getpid()%250)
	defer func() { _ = rg.loseAllPower() }()
	if err != nil {
		return p, err
	}
	if _, ok := waitFor(func() bool { _, ok := rg.livingVoters(); return ok && rg.isSettled() }); !ok {
		return p, fmt.Errorf("capacity: the group was not complete within %v", recoveryWait)
	}

	began := time.Now()
	err = rg.fill(mb)
	p.FillS = time.Since(began).Seconds()
	if err != nil {
		p.Failure = fmt.Sprintf("fill: %v", err)

		return p, nil
	}
	if err := rg.awaitQuiet(); err != nil {
		return p, err
	}
	p.IdleHeapMB = float64(heapBytes()) / 1e6
	stopSteady := rg.runSteady()
	rg.measureSnapshots(&p)
	stopSteady()
	err = rg.measurePowerLoss(&p, settled)

	return p, err
}

// measureSnapshots makes snapshots due until each replica has written one.
func (rg *recoveryGroup) measureSnapshots(p *RecoveryPoint) {
	rg.longestPause.Store(0)
	leaders := rg.leaders()
	peak := watchHeap()
	before := rg.newestSnapshots()
	stop := rg.runLarge()
	p.SnapshotsS = seconds(waitFor(func() bool {
		for i, name := range rg.newestSnapshots() {
			if name == before[i] {
				return false
			}
		}

		return true
	}))
	stop()
	p.SteadyPauseMs = ms(time.Duration(rg.longestPause.Load()))
	p.SteadyLeaders = rg.leaders() - leaders
	p.SteadyPeakMB = peak() - p.IdleHeapMB
}

// awaitQuiet waits until the snapshots that became due while the ledger was filled are written.
func (rg *recoveryGroup) awaitQuiet() error {
	last, since := rg.newestSnapshots(), time.Now()
	_, ok := waitFor(func() bool {
		if now := rg.newestSnapshots(); !slices.Equal(now, last) || rg.isWritingSnapshot() {
			last, since = now, time.Now()
		}

		return time.Since(since) > quietPeriod
	})
	if !ok {
		return fmt.Errorf("capacity: snapshots were written for %v after the ledger was filled", recoveryWait)
	}

	return nil
}

// measurePowerLoss measures the recovery after all replicas and the disks of two voters are lost.
func (rg *recoveryGroup) measurePowerLoss(p *RecoveryPoint, settled time.Duration) error {
	if err := rg.loseAllPower(rg.all[0].Name, rg.all[1].Name); err != nil {
		return err
	}
	runtime.GC()
	rg.longestPause.Store(0)
	peak := watchHeap()
	stopSteady := rg.runSteady()
	defer stopSteady()
	began := time.Now()
	if err := rg.start(); err != nil {
		return err
	}
	var leaders int
	var settledAt time.Time
	waitFor(func() bool {
		now := time.Since(began)
		if p.SettledS == nil && rg.isSettled() {
			leaders, settledAt = rg.leaders(), time.Now()
			p.SettledS = seconds(time.Since(began), true)
		}
		if voters, isComplete := rg.livingVoters(); voters == recoveryVoters {
			if p.VotersS == nil {
				p.VotersS = seconds(now, true)
			}
			if ld := rg.leader(); p.CaughtUpS == nil && isComplete && ld != nil && rg.haveApplied(ld.Status().Commit) {
				p.CaughtUpS = seconds(now, true)
			}
		}

		return p.CaughtUpS != nil && p.SettledS != nil
	})
	if p.SettledS != nil {
		time.Sleep(time.Until(settledAt.Add(settled)))
		p.LeaderChanges = rg.leaders() - leaders
	}
	p.RecoveryPauseMs = ms(time.Duration(rg.longestPause.Load()))
	p.RecoveryPeakMB = peak() - p.IdleHeapMB

	return nil
}

// fill submits jobs whose results take mb in all, lists the results one by one and ends the jobs. One more
// job stays open.
func (rg *recoveryGroup) fill(mb float64) error {
	ctx, cancel := context.WithTimeout(context.Background(), fillTimeout)
	defer cancel()
	jobs := max(int(mb*1e6/(recoveryJobItems*recoveryTextBytes)+0.5), 1)
	var eg errgroup.Group
	eg.SetLimit(fillWriters)
	for i := range jobs {
		id := fmt.Sprintf("job-%d", i)
		if err := rg.propose(ctx, statemachine.KindSubmitJob, newRecoveryJob(id)); err != nil {
			return err
		}
		for item := range recoveryJobItems {
			eg.Go(func() error {
				li := job.ListResults{Job: id, Results: []job.Result{{Item: item, State: job.Completed, Text: randomText(recoveryTextBytes), Versions: []uint64{1}}}}

				return rg.propose(ctx, statemachine.KindListResults, li)
			})
		}
	}
	if err := eg.Wait(); err != nil {
		return err
	}
	for i := range jobs {
		if err := rg.propose(ctx, statemachine.KindEndJob, job.End{Job: fmt.Sprintf("job-%d", i), Workspace: recoveryWorkspace}); err != nil {
			return err
		}
	}

	return rg.propose(ctx, statemachine.KindSubmitJob, newRecoveryJob(recoveryOpenJob))
}

func newRecoveryJob(id string) job.Submit {
	sp := job.Spec{ID: id, Workspace: recoveryWorkspace, Host: "model.example", Model: "m"}
	for i := range recoveryJobItems {
		sp.Items = append(sp.Items, job.Item{ID: fmt.Sprintf("item-%d", i), Path: "/v1/generate", Body: []byte(randomText(recoveryItemBytes)), Tokens: 1})
	}

	return job.Submit{Spec: sp}
}

// randomText returns n letters.
func randomText(n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte('a' + rand.N(26))
	}

	return string(b)
}

// propose commits a command at the leader, whichever it is, until ctx ends.
func (rg *recoveryGroup) propose(ctx context.Context, kind statemachine.Kind, body any) error {
	for {
		err := fmt.Errorf("capacity: the group has no leader")
		if ld := rg.leader(); ld != nil {
			if err = ld.ProposeLocal(ctx, kind, body, nil); err == nil {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollPeriod):
		}
	}
}

// runSteady commits small progress of the open job in each steadyPeriod, until the returned function is
// called.
func (rg *recoveryGroup) runSteady() (stop func()) { return rg.runProgress(0, 100) }

// runLarge commits large progress of the open job. It replaces what was recorded, so that the ledger does
// not grow.
func (rg *recoveryGroup) runLarge() (stop func()) { return rg.runProgress(1, largeTextBytes) }

func (rg *recoveryGroup) runProgress(item, bytes int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		var eg errgroup.Group
		eg.SetLimit(steadyWriters)
		defer func() { _ = eg.Wait() }() // commits may fail while there is no leader
		ticker := time.NewTicker(steadyPeriod)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			ld := rg.leader()
			if ld == nil {
				continue
			}
			eg.TryGo(func() error {
				pctx, cancel := context.WithTimeout(ctx, steadyTimeout)
				defer cancel()
				pa := job.Part{Job: recoveryOpenJob, Item: item, Text: job.Partial{Events: []string{randomText(bytes)}, LastEvent: 1, Versions: []uint64{1}, Term: 1}}

				return ld.ProposeLocal(pctx, statemachine.KindRecordProgress, job.Progress{Parts: []job.Part{pa}}, nil)
			})
		}
	}()

	return func() {
		cancel()
		wg.Wait()
	}
}

// waitFor polls until ok holds, at most for recoveryWait, and returns the time and whether it holds.
func waitFor(ok func() bool) (time.Duration, bool) {
	began := time.Now()
	for !ok() {
		if time.Since(began) > recoveryWait {
			return 0, false
		}
		time.Sleep(pollPeriod)
	}

	return time.Since(began), true
}

func seconds(d time.Duration, ok bool) *float64 {
	if !ok {
		return nil
	}
	s := d.Seconds()

	return &s
}

// watchHeap samples the heap of the process until the returned function is called, which returns its
// peak in MB.
func watchHeap() (peak func() float64) {
	stop, done := make(chan struct{}), make(chan uint64, 1)
	go func() {
		ticker := time.NewTicker(pollPeriod)
		defer ticker.Stop()
		s := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
		top := uint64(0)
		for {
			metrics.Read(s)
			top = max(top, s[0].Value.Uint64())
			select {
			case <-stop:
				done <- top

				return
			case <-ticker.C:
			}
		}
	}()

	return func() float64 {
		close(stop)

		return float64(<-done) / 1e6
	}
}

// WriteText writes the report as a table.
func (re *RecoveryReport) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "%d voters, %d spare replicas, %d processors. Times over %v are shown as \"-\".\n", recoveryVoters, recoverySpares, re.Processors, recoveryWait)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(cells ...string) { fmt.Fprintln(tw, strings.Join(cells, "\t")+"\t") }
	row("ledger", "fill", "longest pause,", "snapshots", "leader", "settled", "leader", "voters", "caught", "longest pause,", "heap", "peak,", "peak,")
	row("MB", "s", "snapshots ms", "s", "changes", "s", "changes", "s", "up s", "recovery ms", "idle MB", "snapshots MB", "recovery MB")
	for _, p := range re.Points {
		if p.Failure != "" {
			row(slices.Concat([]string{format(&p.LedgerMB, 0), format(&p.FillS, 1)}, slices.Repeat([]string{"-"}, 10), []string{p.Failure})...)

			continue
		}
		row(format(&p.LedgerMB, 0), format(&p.FillS, 1), format(&p.SteadyPauseMs, 0), format(p.SnapshotsS, 1), fmt.Sprint(p.SteadyLeaders),
			format(p.SettledS, 2), fmt.Sprint(p.LeaderChanges), format(p.VotersS, 1), format(p.CaughtUpS, 1), format(&p.RecoveryPauseMs, 0),
			format(&p.IdleHeapMB, 0), format(&p.SteadyPeakMB, 0), format(&p.RecoveryPeakMB, 0))
	}

	return tw.Flush()
}

func format(x *float64, digits int) string {
	if x == nil {
		return "-"
	}

	return fmt.Sprintf("%.*f", digits, *x)
}

// Save writes the report to the file at path as JSON.
func (re *RecoveryReport) Save(path string) error {
	b, err := json.MarshalIndent(re, "", " ")
	if err != nil {
		return err
	}

	return os.WriteFile(path, append(b, '\n'), 0o644)
}
