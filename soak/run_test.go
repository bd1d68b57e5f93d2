package soak_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"time"
)

const (
	// recoverWithin is the time in which everything works again: recover_s of the
	// deployments.
	recoverWithin = 15 * time.Second
	// settleWithin is how long after its acceptance a job may be unknown somewhere:
	// settle_ms of the deployments.
	settleWithin = time.Second

	lookupPeriod  = 60 * time.Millisecond
	jobPeriod     = 1500 * time.Millisecond
	readPeriod    = 250 * time.Millisecond
	configPeriod  = 1200 * time.Millisecond
	versionPeriod = 3 * time.Second
	// acceptWithin is how long a trainer sends a job again that got no clear answer.
	acceptWithin = 10 * time.Second
)

// Config describes one run.
type Config struct {
	Seed        uint64
	Length      time.Duration // in which faults begin
	Subnet      int           // second number of the loopback IP numbers, for runs beside each other
	Binary      string        // of tamarackbay
	Folder      string        // of settings, data and logs
	Controllers int
	Stores      int
	Gateways    int
	Plain       int // backend servers of the plain service
	Engines     int
	Tell        func(format string, args ...any) // progress, one line a fault
}

// Defaults fills in what is not set.
func (cfg *Config) Defaults() {
	def := func(p *int, v int) {
		if *p == 0 {
			*p = v
		}
	}
	def(&cfg.Subnet, 30)
	def(&cfg.Controllers, 3)
	def(&cfg.Stores, 4)
	def(&cfg.Gateways, 3)
	def(&cfg.Plain, 3)
	def(&cfg.Engines, 4)
	if cfg.Length == 0 {
		cfg.Length = 20 * time.Second
	}
	if cfg.Tell == nil {
		cfg.Tell = func(string, ...any) {}
	}
}

// Validate checks the configuration.
func (cfg *Config) Validate() error {
	switch {
	case cfg.Subnet < 1 || cfg.Subnet > 254:
		return fmt.Errorf("the subnet %d is not between 1 and 254", cfg.Subnet)
	case cfg.Controllers < 3 || cfg.Stores < 3 || cfg.Gateways < 1 || cfg.Plain < 1 || cfg.Engines < 1:
		return errors.New("a run has 3 controllers, 3 stores, and one of each other kind at least")
	case max(cfg.Controllers, cfg.Stores, cfg.Gateways, cfg.Plain+cfg.Engines) > 250:
		return errors.New("a run has at most 250 processes of a kind")
	case cfg.Binary == "" || cfg.Folder == "":
		return errors.New("the binary and the folder must be given")
	}

	return nil
}

// Report is the outcome of a run.
type Report struct {
	Broken []string // promises that were not kept
	Counts map[string]int
	Faults int
}

func (re *Report) String() string {
	keys := make([]string, 0, len(re.Counts))
	for k := range re.Counts {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	out := fmt.Sprintf("%d faults", re.Faults)
	for _, k := range keys {
		out += fmt.Sprintf(", %d %s", re.Counts[k], k)
	}

	return out
}

// Run plays one seed: load, faults, recovery, and the check of every promise.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(filepath.Join(cfg.Folder, "data"), 0o700); err != nil {
		return nil, err
	}
	faults := drawFaults(rand.New(rand.NewPCG(cfg.Seed, 1)), &cfg)
	de, err := newDeployment(ctx, &cfg)
	if err != nil {
		return nil, err
	}

	pr := newPromises()
	lctx, stop := context.WithCancel(ctx)
	rctx, stopReads := context.WithCancel(ctx)
	defer stopReads()
	var wg sync.WaitGroup
	lo := &load{de: de, promises: pr, readUntil: rctx}
	for _, f := range []func(ctx context.Context){lo.lookups, lo.jobs, lo.configurations, lo.versions} {
		wg.Go(func() { f(lctx) })
	}
	in := &injector{de: de, logf: cfg.Tell}
	in.run(ctx, faults)
	stop()
	defer time.AfterFunc(recoverWithin, stopReads).Stop()
	wg.Wait()
	pr.awaitRecovery(ctx, de)
	err = errors.Join(append(in.errs, de.close())...)
	pr.checkFinalState(de)

	return &Report{Broken: pr.broken, Counts: pr.counts, Faults: len(faults)}, err
}

// load is what callers do all the while.
type load struct {
	de        *deployment
	promises  *promises
	readUntil context.Context // accepted jobs are read until it ends
}

func (lo *load) gateway() string {
	gws := lo.de.gateways()

	return gws[rand.IntN(len(gws))]
}

// every calls f in a goroutine of its own, again and again until ctx ends, and waits
// for all of them.
func (lo *load) every(ctx context.Context, period time.Duration, f func(i int)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		wg.Go(func() { f(i) })
		select {
		case <-time.After(period):
		case <-ctx.Done():
		}
	}
}

func (lo *load) lookups(ctx context.Context) {
	lo.every(ctx, lookupPeriod, func(i int) {
		id, isOnce := fmt.Sprintf("r%d", i), i%2 == 0
		lo.promises.recordLookup(id, isOnce)
		an, err := lo.de.caller.Lookup(context.WithoutCancel(ctx), lo.gateway(), id, isOnce)
		lo.promises.checkLookupAnswer(id, &an, err)
	})
}

// jobs submits jobs and reads each to its end.
func (lo *load) jobs(ctx context.Context) {
	const items, events = 6, 30
	lo.every(ctx, jobPeriod, func(i int) {
		pr, id := lo.promises, fmt.Sprintf("job%d", i)
		jo := &jobRecord{items: items, events: events}
		pr.mu.Lock()
		pr.jobs[id] = jo
		pr.mu.Unlock()
		wctx := context.WithoutCancel(ctx)
		for began := time.Now(); time.Since(began) < acceptWithin && !jo.isAccepted; {
			an, err := lo.de.caller.Submit(wctx, lo.gateway(), id, items, events)
			switch {
			case err == nil && an.Status == http.StatusAccepted:
				pr.mu.Lock()
				jo.isAccepted = true
				pr.mu.Unlock()
				pr.count("job accepted")
			case err == nil && an.Status < http.StatusInternalServerError && an.Status != http.StatusTooManyRequests:
				pr.reportBroken("job %s: a proper job is answered %d", id, an.Status)
			}
			time.Sleep(readPeriod)
		}
		if jo.isAccepted {
			lo.read(wctx, id, jo, time.Now())
		}
	})
}

// read reads a job until it is complete, or the last recovery should be over.
func (lo *load) read(ctx context.Context, id string, jo *jobRecord, accepted time.Time) {
	pr := lo.promises
	for !jo.isComplete(pr) && lo.readUntil.Err() == nil {
		sent := time.Now()
		pa, status, err := lo.de.caller.Read(ctx, lo.gateway(), id)
		switch {
		case err != nil:
		case status == http.StatusOK:
			pr.checkJobPage(id, &pa)
		case status == http.StatusNotFound && sent.Sub(accepted) > settleWithin:
			pr.reportBroken("job %s: unknown %v after it was accepted", id, sent.Sub(accepted))
		}
		time.Sleep(readPeriod)
	}
}

func (jo *jobRecord) isComplete(pr *promises) bool {
	pr.mu.Lock()
	defer pr.mu.Unlock()

	return jo.isDone
}

// configurations sends ever newer ones and reads them back everywhere.
func (lo *load) configurations(ctx context.Context) {
	pr := lo.promises
	lo.every(ctx, configPeriod, func(i int) {
		version, wctx := i+2, context.WithoutCancel(ctx)
		if err := lo.de.caller.Configure(wctx, version); err == nil {
			pr.mu.Lock()
			if version > pr.configVersion {
				pr.configVersion, pr.ackedAt = version, time.Now()
			}
			pr.mu.Unlock()
			pr.count("configuration accepted")
		}
		for _, ip := range lo.de.caller.Control {
			acked, ackedAt := pr.ackedConfig()
			sent := time.Now()
			if v, err := lo.de.caller.ReadVersion(wctx, ip); err == nil {
				pr.checkConfigRead(ip, v, sent, acked, ackedAt)
			}
		}
	})
}

// versions names ever newer weights.
func (lo *load) versions(ctx context.Context) {
	pr := lo.promises
	lo.every(ctx, versionPeriod, func(i int) {
		if err := lo.de.caller.NameVersion(context.WithoutCancel(ctx), uint64(i+2)); err == nil {
			pr.mu.Lock()
			pr.weightVersion = max(pr.weightVersion, uint64(i+2))
			pr.mu.Unlock()
			pr.count("version named")
		}
	})
}
