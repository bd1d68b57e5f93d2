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

	"github.com/tamarackbay/tamarackbay/platform/standin"
)

const (
	// recoverWithin limits the recovery of the deployment after a fault: recover_s of the
	// deployments.
	recoverWithin = 15 * time.Second
	// settleWithin limits how long a gateway may not know a job after its acceptance:
	// settle_ms of the deployments.
	settleWithin = time.Second

	lookupPeriod  = 60 * time.Millisecond
	jobPeriod     = 1500 * time.Millisecond
	readPeriod    = 250 * time.Millisecond
	configPeriod  = 1200 * time.Millisecond
	versionPeriod = 3 * time.Second
	crashPeriod   = 700 * time.Millisecond
	streamPeriod  = 120 * time.Millisecond
	// contactWithin is the time after a fault within which the processes agree again:
	// contact_ms of the deployments. Later than that, a request that crashes its backend
	// servers may run maxLateCrashes times.
	contactWithin  = 3 * time.Second
	maxLateCrashes = 3
	// crashingAfter is for how long that request is sent after contactWithin.
	crashingAfter = 3 * time.Second
	// acceptWithin limits how long a trainer resends a job that was not accepted.
	acceptWithin = 10 * time.Second
)

// Config describes one run.
type Config struct {
	Seed         uint64
	Length       time.Duration // period in which faults start
	Subnet       int           // second number of the loopback IP numbers; different for concurrent runs
	Binary       string        // path of the tamarackbay program
	Folder       string        // for settings, data and logs
	Controllers  int
	Stores       int
	Gateways     int
	PlainServers int // backend servers of the plain service
	MovedServers int // the last of them are of serviceMoved instead
	Engines      int
	Zones        int                              // failure domains of the backend servers
	Work         time.Duration                    // of plain requests at backend servers
	IsDirect     bool                             // connections to backend servers are not forwarded
	Cores        int                              // processor cores that each process uses, 0 for all
	Heartbeat    time.Duration                    // of backend servers in the settings, 300 ms if it is 0
	Tolerated    int                              // machines that may be lost with their disks, 1 if it is 0
	Padding      string                           // follows each event of an engine
	Limits       map[string]standin.Limits        // of the processes, by role; the usual ones for the others
	Logf         func(format string, args ...any) // logs progress, one line per fault
}

// Defaults sets the default of each field that is zero.
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
	def(&cfg.PlainServers, 3)
	def(&cfg.Engines, 4)
	def(&cfg.Zones, 1)
	if cfg.Length == 0 {
		cfg.Length = 20 * time.Second
	}
	if cfg.Logf == nil {
		cfg.Logf = func(string, ...any) {}
	}
}

// Validate returns an error if the configuration cannot be run.
func (cfg *Config) Validate() error {
	switch {
	case cfg.Subnet < 1 || cfg.Subnet > 254:
		return fmt.Errorf("the subnet %d is not between 1 and 254", cfg.Subnet)
	case cfg.Controllers < 3 || cfg.Stores < 3 || cfg.Gateways < 1 || cfg.PlainServers < 1 || cfg.Engines < 1:
		return errors.New("a run needs at least 3 controllers, 3 stores, and one gateway, plain backend server and engine")
	case max(cfg.Controllers, cfg.Stores, cfg.Gateways, cfg.PlainServers+cfg.Engines) > 250:
		return errors.New("a run may have at most 250 controllers, 250 stores, 250 gateways and 250 backend servers")
	case cfg.Binary == "" || cfg.Folder == "":
		return errors.New("the binary and the folder must be set")
	}

	return nil
}

// Report is the outcome of a run.
type Report struct {
	BrokenPromises []string       // one message for each promise that was broken
	Counts         map[string]int // events by name
	Faults         int
}

// String returns the number of faults and all counts in one line.
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

// makeFolders makes the folders for settings, data and logs.
func makeFolders(cfg *Config) error { return os.MkdirAll(filepath.Join(cfg.Folder, "data"), 0o700) }

// Run runs one seed: it applies load, injects the faults, waits for the recovery, and checks
// every promise.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	if err := makeFolders(&cfg); err != nil {
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
	for _, f := range []func(ctx context.Context){lo.lookups, lo.jobs, lo.configurations, lo.versions, lo.streams} {
		wg.Go(func() { f(lctx) })
	}
	cctx, stopCrashing := context.WithCancel(ctx)
	defer stopCrashing()
	wg.Go(func() { lo.crashes(cctx) })
	in := &injector{de: de, logf: cfg.Logf}
	in.run(ctx, faults)
	stop()
	pr.inContactAt = time.Now().Add(contactWithin)
	defer time.AfterFunc(contactWithin+crashingAfter, stopCrashing).Stop()
	defer time.AfterFunc(recoverWithin, stopReads).Stop()
	wg.Wait()
	pr.awaitRecovery(ctx, de)
	err = errors.Join(append(in.errs, de.close())...)
	pr.checkFinalState(de)

	return &Report{BrokenPromises: pr.broken, Counts: pr.counts, Faults: len(faults)}, err
}

// load generates the requests of callers during the run.
type load struct {
	de        *deployment
	promises  *promises
	readUntil context.Context // accepted jobs are read until they are complete or this ends
}

// gateway returns the IP number of a random gateway.
func (lo *load) gateway() string {
	gws := lo.de.gateways()

	return gws[rand.IntN(len(gws))]
}

// every starts f in a new goroutine once per period until ctx ends, and then waits for all
// calls to return.
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

// lookups sends plain requests. Every second one may run at most once.
func (lo *load) lookups(ctx context.Context) {
	lo.every(ctx, lookupPeriod, func(i int) {
		id, isOnce := fmt.Sprintf("r%d", i), i%2 == 0
		lo.promises.recordLookup(id, isOnce)
		an, err := lo.de.caller.Lookup(context.WithoutCancel(ctx), lo.gateway(), id, isOnce)
		lo.promises.checkLookupAnswer(id, &an, err)
	})
}

// crashes sends a request that crashes each plain backend server on which it begins to run.
func (lo *load) crashes(ctx context.Context) {
	lo.every(ctx, crashPeriod, func(i int) {
		id := fmt.Sprintf("crash%d", i)
		lo.promises.recordLookup(id, false)
		an, err := lo.de.caller.Client(context.WithoutCancel(ctx), lo.gateway(), http.MethodPost, crashTarget, map[string]string{"Attempt-Id": id}, "x")
		lo.promises.checkLookupAnswer(id, &an, err)
	})
}

// streams runs streams that their clients leave at random and take up again at other gateways.
func (lo *load) streams(ctx context.Context) {
	const events, maxTakes = 12, 6
	lo.every(ctx, streamPeriod, func(i int) {
		st := &standin.Stream{}
		for take := range maxTakes {
			leaveAt := 0
			if rand.IntN(2) == 0 {
				leaveAt = len(st.Events) + 2 + rand.IntN(4)
			}
			id := fmt.Sprintf("s%d-%d", i, take)
			lo.promises.recordLookup(id, false)
			isResumed, before := len(st.Events) > 0, len(st.Events)
			at, err := lo.de.caller.Take(context.WithoutCancel(ctx), lo.gateway(), st, id, events, leaveAt)
			lo.promises.checkStreamAttempt(st, isResumed, len(st.Events) > before || at.IsComplete, &at)
			if err == nil && at.IsComplete {
				lo.promises.count("stream complete")

				break
			}
			time.Sleep(readPeriod / 2)
		}
		lo.promises.checkStream(st)
	})
}

// jobs submits jobs and reads each until it is complete.
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
				pr.reportBroken("job %s: submitting a valid job ended with the unexpected status %d", id, an.Status)
			}
			time.Sleep(readPeriod)
		}
		if jo.isAccepted {
			lo.read(wctx, id, jo, time.Now())
		}
	})
}

// read reads a job until it is complete or the time for the recovery after the last fault is
// over.
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
			pr.reportBroken("job %s: a gateway did not know it %v after it was accepted", id, sent.Sub(accepted))
		}
		time.Sleep(readPeriod)
	}
}

func (jo *jobRecord) isComplete(pr *promises) bool {
	pr.mu.Lock()
	defer pr.mu.Unlock()

	return jo.isDone
}

// configurations sends configurations with increasing versions and reads the version in force
// from every controller.
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
		for _, ip := range lo.de.caller.ControllerIPs {
			acked, ackedAt := pr.ackedConfig()
			sent := time.Now()
			if v, err := lo.de.caller.ReadVersion(wctx, ip); err == nil {
				pr.checkConfigRead(ip, v, sent, acked, ackedAt)
			}
		}
	})
}

// versions names weight versions with increasing numbers.
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
