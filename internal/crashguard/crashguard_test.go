package crashguard_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/crashguard"
	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/quarantine"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestSuite(t *testing.T) { suite.Run(t, "crashguard") }

// gateway is a guard whose reports are recorded in a quarantine, or fail.
type gateway struct {
	*crashguard.Guard
	mu          sync.Mutex
	state       *quarantine.State
	ended       bool // nothing listens at any backend server
	unreachable bool // no controller answers
}

func newGateway() *gateway {
	ga := &gateway{state: quarantine.NewState(nil, nil), ended: true}
	nowMs := func() int64 { return time.Now().UnixMilli() }
	ga.Guard = crashguard.New(crashguard.Config{
		Entries: func() map[string]quarantine.Entry {
			ga.mu.Lock()
			defer ga.mu.Unlock()

			return ga.state.Entries()
		},
		ReportCrash: func(_ context.Context, cr quarantine.Crash) (quarantine.CrashReply, error) {
			if ga.unreachable {
				return quarantine.CrashReply{}, errors.New("unreachable")
			}
			ga.mu.Lock()
			defer ga.mu.Unlock()
			_, isExplained := ga.state.Crash(cr, nowMs())

			return quarantine.CrashReply{IsExplained: isExplained}, nil
		},
		Trial: func(_ context.Context, tr quarantine.Trial) (quarantine.TrialReply, error) {
			if ga.unreachable {
				return quarantine.TrialReply{}, errors.New("unreachable")
			}
			ga.mu.Lock()
			defer ga.mu.Unlock()
			rep, _ := ga.state.Trial(tr, nowMs())

			return rep, nil
		},
		EndTrial: func(_ context.Context, en quarantine.EndTrial) error {
			ga.mu.Lock()
			defer ga.mu.Unlock()
			ga.state.EndTrial(en)

			return nil
		},
		Processes: func() int { return 4 },
		ReportCompletion: func(_ context.Context, cl quarantine.ClearSuspect) error {
			ga.mu.Lock()
			defer ga.mu.Unlock()
			ga.state.ClearSuspect(cl, nowMs())

			return nil
		},
		HasEnded: func(context.Context, string) bool { return ga.ended }, Now: time.Now, Meter: meter.New(), Log: logging.Discard(),
	})

	return ga
}

// crash admits a run of the fingerprint, breaks it and returns the error of the next admission.
func (ga *gateway) crash(fp, server string) error {
	pa, err := ga.Admit(context.Background(), fp)
	if err != nil {
		return err
	}
	ga.RecordBreak(context.Background(), crashguard.FailedRun{Fingerprint: fp, ServerID: server, IsSuspect: pa.IsSuspect})
	pa.Release()
	pa, err = ga.Admit(context.Background(), fp)
	if err == nil {
		pa.Release()
	}

	return err
}

var _ = ginkgo.Describe("a guard", func() {
	for _, tc := range []struct {
		name               string
		ended, unreachable bool
		servers            []string
		refused            bool
	}{
		{"admits a request after one crash", true, false, []string{"a"}, false},
		{"refuses a request after a second crash", true, false, []string{"a", "b"}, true},
		{"refuses it also while no controller answers", true, true, []string{"a", "b"}, true},
		{"counts a crash of one incarnation once", true, false, []string{"a", "a"}, false},
		{"does not count connections that broke to backend servers that run", false, false, []string{"a", "b", "c"}, false},
	} {
		ginkgo.It(tc.name, func() {
			ga := newGateway()
			ga.ended, ga.unreachable = tc.ended, tc.unreachable
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { defer close(done); ga.Run(ctx) }()
			var err error
			for _, s := range tc.servers {
				err = ga.crash("x", s)
			}
			cancel()
			<-done
			Expect(result.Is(err, result.Quarantined)).To(Equal(tc.refused), "%v", err)
			if tc.refused {
				er := result.From(err)
				Expect(er.Execution).To(Equal(result.NotRun))
				Expect(er.RetryAfter).To(BeNumerically("~", 30*time.Second, time.Second))
			}
			Expect(ga.crash("other", "z")).To(Succeed())
		})
	}

	ginkgo.It("runs a suspect once at a time, refuses another one soon, and clears it when it completes", func() {
		ga := newGateway()
		Expect(ga.crash("x", "a")).To(Succeed())
		pa, err := ga.Admit(context.Background(), "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(pa.IsSuspect).To(BeTrue())
		began := time.Now()
		_, err = ga.Admit(context.Background(), "x")
		Expect(err).To(HaveOccurred())
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		ga.RecordCompletion("x")
		pa.Release()
		pa, err = ga.Admit(context.Background(), "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(pa.IsSuspect).To(BeFalse())
		Expect(ga.IsIdle()).To(BeTrue())
	})

	// Guards against several gateways that each run suspects of their own on the few backend servers
	// of a service.
	ginkgo.It("runs a suspect only in a trial, and leaves the end of one to its completion", func() {
		ga := newGateway()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); ga.Run(ctx) }()
		defer func() { cancel(); <-done }()
		trial := func(fp, server string) quarantine.Trial {
			return quarantine.Trial{Fingerprint: fp, Server: server, Service: "s", Servers: 3, RunMs: 1000}
		}
		for _, fp := range []string{"x", "y", "z"} {
			Expect(ga.crash(fp, "first")).To(Succeed())
		}
		Eventually(func() int { ga.mu.Lock(); defer ga.mu.Unlock(); return len(ga.state.Entries()) }).Should(Equal(3))
		Expect(ga.TryOut(ctx, crashguard.FreePass(), trial("x", "a/0"))).To(Succeed(), "not a suspect")
		px, err := ga.Admit(ctx, "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(ga.TryOut(ctx, px, trial("x", "a/0"))).To(Succeed())
		py, err := ga.Admit(ctx, "y")
		Expect(err).NotTo(HaveOccurred())
		began := time.Now()
		Expect(result.From(ga.TryOut(ctx, py, trial("y", "b/0"))).Execution).To(Equal(result.NotRun))
		Expect(time.Since(began)).To(BeNumerically("~", 250*time.Millisecond, 200*time.Millisecond), "it waited for the other trial")

		ga.RecordBreak(ctx, crashguard.FailedRun{Fingerprint: "bystander", ServerID: "a", Service: "s"})
		pa, err := ga.Admit(ctx, "bystander")
		Expect(err).NotTo(HaveOccurred())
		Expect(pa.IsSuspect).To(BeFalse(), "the crash of a trial is its own")

		ga.RecordNotRun(px, "x")
		Eventually(func() error { return ga.TryOut(ctx, py, trial("y", "b/0")) }).Should(Succeed())
		ga.RecordBreak(ctx, crashguard.FailedRun{Fingerprint: "y", ServerID: "b", Service: "s", IsSuspect: true})
		py.Release()
		Eventually(func() time.Duration { return result.From(ga.TryOut(ctx, px, trial("x", "c/0"))).RetryAfter }).Should(BeNumerically(">", 3*time.Second), "the service is short of a backend server")
		px.Release()
	})

	ginkgo.It("runs its share of the trials while no controller answers", func() {
		ga := newGateway()
		ga.unreachable = true
		ctx := context.Background()
		trial := quarantine.Trial{Fingerprint: "x", Server: "a/0", Service: "s", Servers: 3, RunMs: 1000}
		Expect(ga.crash("x", "first")).To(Succeed())
		pa, err := ga.Admit(ctx, "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(ga.TryOut(ctx, pa, trial)).To(Succeed())
		Expect(ga.TryOut(ctx, pa, trial)).NotTo(Succeed())
		pa.Release()
	})

	ginkgo.It("does not suspect a request for its first crash that it has served before", func() {
		ga := newGateway()
		ga.RecordCompletion("x")
		for _, isSuspect := range []bool{false, true} {
			ga.RecordBreak(context.Background(), crashguard.FailedRun{Fingerprint: "x", ServerID: map[bool]string{false: "a", true: "b"}[isSuspect]})
			pa, err := ga.Admit(context.Background(), "x")
			Expect(err).NotTo(HaveOccurred())
			Expect(pa.IsSuspect).To(Equal(isSuspect))
			pa.Release()
		}
	})

	ginkgo.It("counts a crash of which only a later incarnation tells, and refuses a suspect until it is known", func() {
		ga := newGateway()
		ga.ended = false
		ctx := context.Background()
		silence := func(fp, server string) {
			pa, err := ga.Admit(ctx, fp)
			Expect(err).NotTo(HaveOccurred())
			ga.RecordSilence(crashguard.FailedRun{Fingerprint: fp, ServerID: server, BornMs: 1, Address: server, IsSuspect: pa.IsSuspect})
			pa.Release()
		}
		silence("x", "a")
		silence("sound", "a")
		ga.ObserveServers([]registry.Record{{ID: "a", BornMs: 1, Address: "a"}})
		silence("x", "b") // it may have been a slow backend server
		ga.RecordCompletion("sound")
		ga.ObserveServers([]registry.Record{{ID: "a", BornMs: 5, Address: "elsewhere"}, {ID: "new", BornMs: 5, Address: "b"}})
		silence("x", "c")
		_, err := ga.Admit(ctx, "x")
		Expect(result.From(err).RetryAfter).To(BeNumerically("~", 15*time.Second, time.Second), "%v", err)
		ga.ObserveServers([]registry.Record{{ID: "c", BornMs: 5, Address: "c"}})
		_, err = ga.Admit(ctx, "x")
		Expect(result.From(err).RetryAfter).To(BeNumerically("~", 5*time.Minute, time.Second), "%v", err)
		pa, err := ga.Admit(ctx, "sound")
		Expect(err).NotTo(HaveOccurred())
		Expect(pa.IsSuspect).To(BeFalse())
	})
})
