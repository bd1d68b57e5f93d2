package program

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/settings"
)

var _ = ginkgo.Describe("a process whose components fail", func() {
	damaged, full := result.New(result.DataFolderDamaged, "x"), result.New(result.DataFolderWrite, "x")

	// failing returns a supervisor of components that fail after a time with each of errs, and then
	// end without an error, and the pauses that it made.
	failing := func(ran time.Duration, errs ...error) (*supervisor, *[]time.Duration) {
		now, pauses := time.Duration(0), []time.Duration{}
		done := make(chan struct{})
		close(done)
		i := -1

		return &supervisor{
			start: func() (*supervised, error) {
				i++
				now += ran
				if i < len(errs) && i%2 == 0 {
					return nil, errs[i] // fails at the start
				}

				return &supervised{done: done, err: func() error {
					if i < len(errs) {
						return errs[i]
					}

					return nil
				}}, nil
			},
			now: func() time.Duration { return now },
			after: func(d time.Duration) <-chan time.Time {
				pauses = append(pauses, d)
				out := make(chan time.Time, 1)
				out <- time.Time{}

				return out
			},
			log: logging.Discard(),
		}, &pauses
	}
	seconds := func(ns ...int) []time.Duration {
		out := []time.Duration{}
		for _, n := range ns {
			out = append(out, time.Duration(n)*time.Second)
		}

		return out
	}

	for _, tc := range []struct {
		name   string
		ran    time.Duration
		errs   []error
		pauses []time.Duration
	}{
		{"at once after one failure", 0, []error{damaged}, seconds(0)},
		{
			"after pauses that double up to 30 s while the error stays the same", 0,
			[]error{damaged, damaged, damaged, damaged, damaged, damaged, damaged, damaged, damaged},
			seconds(0, 1, 2, 4, 8, 16, 30, 30, 30),
		},
		{"without the pauses of another error", 0, []error{damaged, damaged, damaged, full, full, damaged}, seconds(0, 1, 2, 0, 1, 0)},
		{"after growing pauses if the error has no code", 0, []error{errors.New("x"), errors.New("y"), errors.New("z")}, seconds(0, 1, 2)},
		{"at once if they ran for a minute", stableAfter, []error{damaged, damaged, damaged}, seconds(0, 0, 0)},
	} {
		ginkgo.It("starts them again "+tc.name, func() {
			su, pauses := failing(tc.ran, tc.errs...)
			Expect(su.run()).To(Succeed())
			Expect(*pauses).To(Equal(tc.pauses))
		})
	}

	for _, code := range []result.Code{result.InvalidSettings, result.DataFolderForeign, result.DataFolderNewer} {
		ginkgo.It("ends with an error that a restart can't mend: "+result.Lookup(code).Name, func() {
			su, pauses := failing(0, result.New(code, "x"))
			Expect(result.Is(su.run(), code)).To(BeTrue())
			Expect(*pauses).To(BeEmpty())
		})
	}

	ginkgo.It("ends during a pause when it receives a stop signal, and not when it is to reload its settings", func() {
		sig := make(chan os.Signal, 2)
		su, _ := failing(0, damaged)
		su.signals = sig
		su.after = func(time.Duration) <-chan time.Time { return make(chan time.Time) }
		sig <- syscall.SIGHUP
		sig <- syscall.SIGTERM
		Expect(su.run()).To(MatchError(damaged))
	})
})

var _ = ginkgo.Describe("a node that fails again and again", func() {
	ginkgo.It("keeps neither files nor goroutines of the starts before, and takes up its work once the cause is gone", func() {
		const failures = 20
		dir := ginkgo.GinkgoT().TempDir()
		no := &settings.Node{
			Name: "c", DataFolder: filepath.Join(dir, "data"), BindIP: "127.94.0.1", PeerAddress: "127.94.0.1:7400", ControlAddress: "127.94.0.1:7401",
			Controllers: []string{"127.94.0.1:7400"}, MayBootstrap: true, HeartbeatPeriod: time.Second,
		}
		taken, err := net.Listen("tcp", no.ControlAddress)
		Expect(err).NotTo(HaveOccurred())
		sig, files, routines := make(chan os.Signal, 1), []int{}, []int{}
		ready := make(chan *Node, 1)
		su := supervisor{signals: sig, now: func() time.Duration { return 0 }, log: logging.Discard()}
		su.start = func() (*supervised, error) {
			nd, err := StartNode(RoleController, func() (*settings.Node, error) { return no, nil }, logging.Discard(), nil)
			if err != nil {
				return nil, err
			}
			ready <- nd

			return &supervised{done: nd.Done(), err: nd.Err, reload: nd.Reload, shutdown: nd.Shutdown}, nil
		}
		su.after = func(time.Duration) <-chan time.Time {
			files, routines = append(files, openFiles()), append(routines, runtime.NumGoroutine())
			if len(files) == failures {
				_ = taken.Close()
			}

			return time.After(10 * time.Millisecond)
		}
		done := make(chan error, 1)
		go func() { done <- su.run() }()
		var nd *Node
		Eventually(ready, "20s").Should(Receive(&nd))
		Expect(files).To(HaveLen(failures))
		Expect(files[failures-1]).To(BeNumerically("<=", files[2]+2), "open files after each failure: %v", files)
		// The cache of stream origins (golang-lru's expirable) has a goroutine that can't be ended.
		Expect(routines[failures-1]).To(BeNumerically("<=", routines[2]+failures-3+2), "goroutines after each failure: %v", routines)
		Eventually(nd.IsLeader, "10s").Should(BeTrue())
		sig <- syscall.SIGTERM
		Eventually(done, "10s").Should(Receive(Succeed()))
	})
})

// openFiles returns the number of open files of this process.
func openFiles() int {
	des, err := os.ReadDir("/proc/self/fd")
	Expect(err).NotTo(HaveOccurred())

	return len(des)
}
