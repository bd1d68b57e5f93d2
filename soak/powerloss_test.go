package soak_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/program"
	"github.com/tamarackbay/tamarackbay/platform/standin"
)

const (
	// powerOffTime is how long all machines are without power. Each bound that begins with an
	// acknowledgement has passed before they start again.
	powerOffTime = configAppliedWithin
	// powerReadPeriod is the pause between two reads at one process after the start.
	powerReadPeriod = 20 * time.Millisecond
	// changedVersion is the version of the configuration and of the weights that is acknowledged.
	changedVersion = 2

	powerJob                      = "kept"
	powerJobItems, powerJobEvents = 12, 10
)

// lostDisk is a disk that is lost with the power.
type lostDisk struct {
	name, role string
	n          int  // among the processes of the role; the first controller acknowledges the change
	isDefault  bool // a row of it runs without --power
}

var lostDisks = []lostDisk{
	{"the controller that acknowledged it", program.RoleController, 0, true},
	{"another controller", program.RoleController, 1, false},
	{"the first store", program.RoleStore, 0, true},
	{"the second store", program.RoleStore, 1, false},
	{"the third store", program.RoleStore, 2, false},
}

// acknowledgedChange is a change that must hold after the loss of power.
type acknowledgedChange struct {
	name string
	// defaultRole is the role of the process whose disk is lost in the row that runs without --power,
	// "" for none.
	defaultRole string
	// prepare may be nil. make returns once control, or a gateway, has acknowledged the change.
	prepare func(pl *powerLoss)
	make    func(ctx context.Context, pl *powerLoss, control string)
	// check checks the change from the start of all processes on, for recoverWithin at most.
	check func(ctx context.Context, pl *powerLoss)
}

// Guards against an acknowledged change that only the lost disk and the memory of processes held.
var _ = ginkgo.Describe("a loss of power of all machines, and of one disk, right after an acknowledgement", func() {
	ra := commandLine()
	subnet := 95
	if ra.power {
		subnet = ra.Subnet
	}
	for _, ch := range []acknowledgedChange{
		{
			name: "a configuration", defaultRole: program.RoleController,
			make: func(ctx context.Context, pl *powerLoss, control string) {
				an, err := pl.de.caller.Call(ctx, http.MethodPut, control, "/config", nil, changedConfiguration(changedVersion))
				Expect(err).NotTo(HaveOccurred())
				Expect(an.Status).To(Equal(http.StatusOK))
			},
			check: checkConfiguration,
		},
		{
			name: "a weight version",
			prepare: func(pl *powerLoss) {
				// The engines must not get it before the loss.
				pl.de.network.setFault(linkFault{isCut: true}, pl.orderPairs()...)
			},
			make: func(ctx context.Context, pl *powerLoss, control string) {
				an, err := pl.de.caller.Call(ctx, http.MethodPost, control, "/version-put", nil, map[string]any{"model": standin.Model, "version": changedVersion})
				Expect(err).NotTo(HaveOccurred())
				Expect(an.Status).To(Equal(http.StatusOK))
			},
			check: checkWeights,
		},
		{
			name:  "a leave notice",
			make:  sendLeave,
			check: checkDeparture,
		},
		{
			name: "a leave notice, before an earlier heartbeat arrives", defaultRole: program.RoleController,
			prepare: func(pl *powerLoss) {
				pl.late = recordHeartbeat(pl.de.servers[0])
			},
			make: sendLeave,
			check: func(ctx context.Context, pl *powerLoss) {
				pl.deliverLate(ctx)
				checkDeparture(ctx, pl)
			},
		},
		{
			name: "a batch job", defaultRole: program.RoleStore,
			make: func(ctx context.Context, pl *powerLoss, _ string) {
				an, err := pl.de.caller.Submit(ctx, pl.de.gateways()[0], powerJob, powerJobItems, powerJobEvents)
				Expect(err).NotTo(HaveOccurred())
				Expect(an.Status).To(BeNumerically("<", http.StatusMultipleChoices), "%s", an.Body)
			},
			check: checkJob,
		},
	} {
		for _, ld := range lostDisks {
			if !ra.power && !(ld.isDefault && ld.role == ch.defaultRole) {
				continue
			}
			ginkgo.It(fmt.Sprintf("keeps %s: the disk of %s", ch.name, ld.name), func() { playPowerLoss(subnet, ch, ld) })
		}
	}
})

// powerLoss is one play.
type powerLoss struct {
	de      *deployment
	acked   time.Time
	started time.Time // all processes, after the loss
	lost    *process
	late    *lateHeartbeat // nil for none
}

func playPowerLoss(subnet int, ch acknowledgedChange, ld lostDisk) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	cfg := Config{Folder: filepath.Join(folder, "power-"+ch.name+"-"+ld.name), Subnet: subnet, Stores: 3, Gateways: 2, Engines: 2, Work: shareWork, Heartbeat: deployedHeartbeat}
	pl := &powerLoss{de: startLoaded(ctx, &wg, cfg)}
	defer func() {
		cancel()
		wg.Wait()
		Expect(pl.de.close()).To(Succeed())
	}()
	time.Sleep(contactWithin)
	controllers := pl.processes(program.RoleController)
	pl.lost = pl.processes(ld.role)[ld.n]
	if ch.prepare != nil {
		ch.prepare(pl)
	}

	ch.make(ctx, pl, pl.control(controllers[0]))
	pl.acked = time.Now()
	pl.loseAllPower(pl.lost)
	ch.check(ctx, pl)
	for _, pr := range pl.de.processes {
		Expect(pr.unexpectedExits()).To(BeEmpty())
	}
}

// loseAllPower kills all processes, empties the disks of some, and starts all after powerOffTime.
func (pl *powerLoss) loseAllPower(lost ...*process) {
	// A page that was written and not synced survives SIGKILL, unlike a real loss of power.
	for _, pr := range pl.de.processes {
		Expect(pr.signal(syscall.SIGKILL)).To(Succeed())
	}
	took := time.Since(pl.acked)
	for _, pr := range pl.de.processes {
		Expect(pr.stop(syscall.SIGKILL)).To(Succeed())
	}
	var names []string
	for _, pr := range lost {
		Expect(pr.wipe()).To(Succeed())
		names = append(names, pr.settings.Name)
	}
	pl.de.network.clearFaults()
	time.Sleep(powerOffTime)
	for _, pr := range pl.de.processes {
		Expect(pr.start()).To(Succeed())
	}
	pl.started = time.Now()
	ginkgo.GinkgoWriter.Printf("all processes were killed within %v after the acknowledgement; the disks of %v were lost\n", took, names)
}

func (pl *powerLoss) processes(role string) []*process {
	var out []*process
	for _, pr := range pl.de.processes {
		if pr.role == role {
			out = append(out, pr)
		}
	}

	return out
}

func (pl *powerLoss) control(pr *process) string {
	return fmt.Sprintf("%s:%d", pr.ip, pl.de.caller.Ports.Control)
}

func (pl *powerLoss) engines() []*standin.BackendServer {
	return slices.DeleteFunc(slices.Clone(pl.de.servers), func(bs *standin.BackendServer) bool { return bs.Service != serviceEngines })
}

// orderPairs returns the links from the controllers to the engines.
func (pl *powerLoss) orderPairs() []pair {
	var out []pair
	for _, ip := range pl.de.caller.ControllerIPs {
		for _, bs := range pl.engines() {
			out = append(out, pair{ip, serverIP(bs)})
		}
	}

	return out
}

// awaitEach polls for each IP address until isDone, and prints after how long that was. It fails if one needs longer than recoverWithin.
func (pl *powerLoss) awaitEach(ips []string, what string, isDone func(ip string) bool) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	took := map[string]time.Duration{}
	for _, ip := range ips {
		wg.Go(func() {
			for time.Since(pl.started) < recoverWithin {
				if isDone(ip) {
					mu.Lock()
					defer mu.Unlock()
					took[ip] = time.Since(pl.started).Round(time.Millisecond)

					return
				}
				time.Sleep(powerReadPeriod)
			}
		})
	}
	wg.Wait()
	ginkgo.GinkgoWriter.Printf("%s, after the start: %v\n", what, took)
	Expect(took).To(HaveLen(len(ips)), "%s within %v", what, recoverWithin)
}

// findings collects answers that break a promise.
type findings struct {
	mu    sync.Mutex
	found []string
}

func (fi *findings) add(format string, args ...any) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	fi.found = append(fi.found, fmt.Sprintf(format, args...))
}

// checkConfiguration checks that no controller returns, and no gateway goes by, the version before, from
// the first answer after the start on.
func checkConfiguration(ctx context.Context, pl *powerLoss) {
	var fi findings
	var wg sync.WaitGroup
	wg.Go(func() {
		defer ginkgo.GinkgoRecover()
		pl.awaitEach(pl.de.caller.ControllerIPs, "the controllers return the configuration", func(ip string) bool {
			version, err := pl.de.caller.ReadVersion(ctx, ip)
			if err == nil && version != changedVersion {
				fi.add("controller %s returned version %d, %v after the start", ip, version, time.Since(pl.started))
			}

			return err == nil && version == changedVersion
		})
	})
	wg.Go(func() {
		defer ginkgo.GinkgoRecover()
		pl.awaitEach(pl.de.gateways(), "the gateways handle requests by the configuration", func(ip string) bool {
			an, err := pl.de.caller.Client(ctx, ip, http.MethodPost, fmt.Sprintf("/added%d/x", changedVersion), map[string]string{"Attempt-Id": fmt.Sprintf("a%s-%d", ip, time.Now().UnixNano())}, "x")
			if err == nil && an.Status >= http.StatusBadRequest && an.Status < http.StatusInternalServerError && an.Status != http.StatusTooManyRequests {
				fi.add("gateway %s answered %d, %v after the start", ip, an.Status, time.Since(pl.started))
			}

			return err == nil && an.Status == http.StatusOK
		})
	})
	wg.Wait()
	Expect(fi.found).To(BeEmpty())
}

// checkWeights checks that each engine is given the weights, and keeps them.
func checkWeights(_ context.Context, pl *powerLoss) {
	byIP := map[string]*standin.BackendServer{}
	var ips []string
	for _, bs := range pl.engines() {
		ips = append(ips, serverIP(bs))
		byIP[serverIP(bs)] = bs
	}
	pl.awaitEach(ips, "the engines have the weights", func(ip string) bool { return byIP[ip].Versions()[standin.Model] == changedVersion })
	time.Sleep(contactWithin)
	for _, bs := range byIP {
		Expect(bs.Versions()[standin.Model]).To(BeEquivalentTo(changedVersion), "%s", bs.ID)
	}
}

func sendLeave(ctx context.Context, pl *powerLoss, control string) {
	Expect(pl.de.servers[0].SendLeave(ctx, control)).To(Succeed())
}

// checkDeparture checks that the backend server gets nothing from contactWithin after the start on, while requests go on.
func checkDeparture(ctx context.Context, pl *powerLoss) {
	pl.awaitEach(pl.de.gateways(), "the gateways serve", func(ip string) bool {
		an, err := pl.de.caller.Lookup(ctx, ip, fmt.Sprintf("w%s-%d", ip, time.Now().UnixNano()), false)

		return err == nil && an.Status == http.StatusOK
	})
	judged := pl.started.Add(contactWithin)
	time.Sleep(time.Until(judged.Add(contactWithin)))
	since := func(bs *standin.BackendServer, from time.Time) int {
		return len(slices.DeleteFunc(bs.Arrivals(), func(at time.Time) bool { return at.Before(from) }))
	}
	gone, all := pl.de.servers[0], 0
	for _, bs := range pl.de.servers {
		all += since(bs, judged)
	}
	ginkgo.GinkgoWriter.Printf("arrivals at the one that left: %d after the start, %d later than %v, of %d in all\n", since(gone, pl.started), since(gone, judged), contactWithin, all)
	Expect(all).To(BeNumerically(">", 0), "the load goes on")
	Expect(since(gone, judged)).To(BeZero(), "requests at the one that left")
}

// checkJob checks that each gateway that answers knows the job, and that it completes.
func checkJob(ctx context.Context, pl *powerLoss) {
	var fi findings
	pl.awaitEach(pl.de.gateways(), "the job is complete", func(ip string) bool {
		pa, status, err := pl.de.caller.Read(ctx, ip, powerJob)
		switch {
		case err != nil:
			return false
		case status == http.StatusNotFound:
			fi.add("gateway %s does not know the job, %v after the start", ip, time.Since(pl.started))
		case status == http.StatusOK && pa.Total != powerJobItems:
			fi.add("gateway %s: %d items, %v after the start", ip, pa.Total, time.Since(pl.started))
		}
		if status != http.StatusOK || len(pa.Results) < powerJobItems {
			return false
		}
		for i := range pa.Results {
			if err := pa.Results[i].Check(powerJobEvents); err != nil {
				fi.add("gateway %s: %v", ip, err)
			}
		}

		return true
	})
	Expect(fi.found).To(BeEmpty())
}

// lateHeartbeat is a heartbeat that a backend server sent and that has not arrived yet.
type lateHeartbeat struct {
	path string
	body []byte
}

// recordHeartbeat returns the next heartbeat of a backend server.
func recordHeartbeat(bs *standin.BackendServer) *lateHeartbeat {
	lh := &lateHeartbeat{}
	sv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		lh.path = r.URL.Path
		lh.body, _ = io.ReadAll(r.Body) // checked below
	}))
	defer sv.Close()
	Expect(bs.SendHeartbeat(sv.Listener.Addr().String())).To(Succeed())
	Expect(lh.body).NotTo(BeEmpty())

	return lh
}

// deliverLate delivers the late heartbeat to a controller that has its disk, as soon as that one takes it.
func (pl *powerLoss) deliverLate(ctx context.Context) {
	to := pl.processes(program.RoleController)[2]
	Expect(to).NotTo(Equal(pl.lost))
	pl.awaitEach([]string{to.ip}, "the late heartbeat is taken", func(string) bool {
		rq, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+pl.control(to)+pl.late.path, bytes.NewReader(pl.late.body))
		if err != nil {
			return false
		}
		rs, err := http.DefaultClient.Do(rq)
		if err != nil {
			return false
		}
		defer rs.Body.Close()

		return rs.StatusCode == http.StatusOK
	})
}
