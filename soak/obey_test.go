package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/program"
	"github.com/tamarackbay/tamarackbay/platform/standin"
)

const (
	// applyWithin limits the time from the acknowledgement of a configuration until each gateway
	// in touch handles requests by it: config_apply_ms of the deployments.
	applyWithin = standin.ApplyBound
	// routesKept is how many of the added routes a configuration has. Each version adds one and
	// takes the oldest away.
	routesKept    = 10
	changePeriod  = 500 * time.Millisecond
	probePeriod   = 40 * time.Millisecond
	leavePeriod   = 3500 * time.Millisecond
	servesOnFor   = drainWithin + time.Second // after the leave notice was acknowledged
	maxFaultGap   = 700 * time.Millisecond
	maxFaultTime  = 6 * time.Second
	operatorLimit = time.Second // after which a caller of the controllers turns to the next one
)

// contact records when faults touched gateways, and the controllers among themselves.
type contact struct {
	mu     sync.Mutex
	spans  map[string][]span // by gateway, and "" for all
	events []string
}

// span is the time of a fault; to is zero until it ends.
type span struct{ from, to time.Time }

func (ct *contact) begin(what string, of ...string) (end func()) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	from, n := time.Now(), map[string]int{}
	ct.events = append(ct.events, from.Format("05.000 ")+what)
	for _, ip := range of {
		ct.spans[ip] = append(ct.spans[ip], span{from: from})
		n[ip] = len(ct.spans[ip]) - 1
	}

	return func() {
		ct.mu.Lock()
		defer ct.mu.Unlock()
		now := time.Now()
		ct.events = append(ct.events, now.Format("05.000 ")+"end of "+what)
		for ip, i := range n {
			ct.spans[ip][i].to = now
		}
	}
}

// isInTouch reports whether no fault touched a gateway or all from contactWithin before a time on.
func (ct *contact) isInTouch(ip string, at time.Time) bool {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	for _, sp := range slices.Concat(ct.spans[ip], ct.spans[""]) {
		if sp.from.Before(at) && (sp.to.IsZero() || sp.to.Add(contactWithin).After(at)) {
			return false
		}
	}

	return true
}

// changes records the configurations and leave notices that were acknowledged.
type changes struct {
	mu      sync.Mutex
	sent    int               // newest version sent
	acked   map[int]time.Time // by version
	leaving map[*standin.BackendServer]time.Time
}

// expected returns the versions of routes that must be served, and that must not be, by a gateway
// in touch at a time.
func (ch *changes) expected(at time.Time) (served, gone int) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	newest := 0
	for v, t := range ch.acked {
		if t.Add(applyWithin).Before(at) {
			newest = max(newest, v)
		}
	}
	// Later versions that may come into force before the answer have this route too, or lack it too.
	if newest > ch.sent-routesKept+2 {
		served = newest
	}

	return served, newest - routesKept
}

func changedConfiguration(version int) map[string]any {
	cfg := standin.Configuration(version)
	routes := cfg["routes"].([]map[string]any)
	for v := max(version-routesKept+1, 1); v <= version; v++ {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("added-%d", v), "host": standin.Host, "path_prefix": fmt.Sprintf("/added%d/", v), "type": "idempotent",
			"timeout_ms": 2000, "slo_ms": 500, "service": servicePlain, "max_attempts": 4,
		})
	}
	cfg["routes"] = routes

	return cfg
}

// Guards against a gateway in touch that handles requests as an older configuration says, or sends
// them to a backend server that has left, after faults of links and processes that overlap.
var _ = ginkgo.Describe("gateways in touch", func() {
	for _, seed := range []uint64{1} {
		ginkgo.It(fmt.Sprintf("obey each acknowledged configuration and leave notice, seed %d", seed), func() {
			Expect(playObedience(seed, 30*time.Second, 66)).To(BeEmpty())
		})
	}
})

// playObedience plays the faults of a seed and returns the broken promises.
func playObedience(seed uint64, length time.Duration, subnet int) []string {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	de := startLoaded(ctx, &wg, Config{Folder: filepath.Join(folder, fmt.Sprintf("obey-%d", seed)), Subnet: subnet, Gateways: 4, PlainServers: 8, Engines: 1, Stores: 3, Heartbeat: deployedHeartbeat})
	defer func() {
		wg.Wait()
		Expect(de.close()).To(Succeed())
	}()
	defer cancel()

	ct := &contact{spans: map[string][]span{}}
	ch := &changes{sent: 1, acked: map[int]time.Time{}, leaving: map[*standin.BackendServer]time.Time{}}
	var mu sync.Mutex
	var broken []string
	var judged atomic.Int64
	report := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		broken = append(broken, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
	}
	// call calls controllers at random until one has answered 200.
	call := func(f func(ctx context.Context, control string) error) (time.Time, string) {
		for ctx.Err() == nil {
			ip := de.caller.ControllerIPs[rand.IntN(len(de.caller.ControllerIPs))]
			cctx, stop := context.WithTimeout(ctx, operatorLimit)
			err := f(cctx, fmt.Sprintf("%s:%d", ip, de.caller.Ports.Control))
			stop()
			if err == nil {
				return time.Now(), ip
			}
			time.Sleep(50 * time.Millisecond)
		}

		return time.Time{}, ""
	}

	wg.Go(func() {
		for ctx.Err() == nil {
			ch.mu.Lock()
			ch.sent++
			v := ch.sent
			ch.mu.Unlock()
			at, ip := call(func(ctx context.Context, control string) error {
				an, err := de.caller.Call(ctx, http.MethodPut, control, "/config", nil, changedConfiguration(v))
				if err == nil && an.Status != http.StatusOK {
					err = fmt.Errorf("status %d", an.Status)
				}

				return err
			})
			if ip != "" {
				ch.mu.Lock()
				ch.acked[v] = at
				ch.mu.Unlock()
				ct.mu.Lock()
				ct.events = append(ct.events, at.Format("05.000 ")+fmt.Sprintf("version %d acknowledged by %s", v, ip))
				ct.mu.Unlock()
			}
			time.Sleep(changePeriod)
		}
	})
	for _, gw := range de.gateways() {
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				time.Sleep(probePeriod)
				at := time.Now()
				served, gone := ch.expected(at)
				v, isServed := served, i%2 == 0
				if !isServed {
					v = gone
				}
				if v < 2 || !ct.isInTouch(gw, at) {
					continue
				}
				judged.Add(1)
				wg.Go(func() {
					an, err := de.caller.Client(ctx, gw, http.MethodPost, fmt.Sprintf("/added%d/x", v), map[string]string{"Attempt-Id": fmt.Sprintf("o%s-%d", gw, i)}, "x")
					isMissing := an.Status == http.StatusNotFound || an.Status == http.StatusUnauthorized || an.Status == http.StatusForbidden
					if err == nil && isServed == isMissing && (isServed || an.Status == http.StatusOK) {
						report("CONFIG: %s answered %d on the route of version %d, sent at %s", gw, an.Status, v, at.Format("05.000"))
					}
				})
			}
		})
	}
	plain := de.servers[:8]
	wg.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			time.Sleep(leavePeriod)
			for _, bs := range []*standin.BackendServer{plain[(2*n)%8], plain[(2*n+1)%8]} {
				at, ip := call(bs.SendLeave)
				if ip == "" {
					return
				}
				wg.Go(func() {
					time.Sleep(servesOnFor)
					for _, gw := range de.gateways() {
						for _, t := range bs.ArrivalsFrom(gw) {
							if t.After(at.Add(drainWithin)) && ct.isInTouch(gw, t) {
								report("DRAIN: %s got a request from %s at %s, %v after %s acknowledged that it leaves", bs.ID, gw, t.Format("05.000"), t.Sub(at), ip)
							}
						}
					}
					bs.Stop()
					bs.Mute(0)
					Expect(bs.Start(de.listenAddresses[bs])).To(Succeed())
				})
			}
		}
	})

	rnd := rand.New(rand.NewPCG(seed, 0))
	var faults sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(time.Duration(rnd.Int64N(int64(maxFaultGap))))
		faults.Go(drawLinkFault(rnd, de, ct))
		if rnd.IntN(4) == 0 { // a calm time, in which gateways are in touch
			faults.Wait()
			time.Sleep(contactWithin + 2*time.Second)
		}
	}
	faults.Wait()
	time.Sleep(contactWithin + 2*time.Second)
	mu.Lock()
	defer mu.Unlock()
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if len(broken) > 0 {
		for _, ev := range ct.events {
			ginkgo.GinkgoWriter.Println(ev)
		}
	}
	ginkgo.GinkgoWriter.Printf("seed %d: %d versions acknowledged, %d requests judged, %d promises broken\n", seed, len(ch.acked), judged.Load(), len(broken))

	return broken
}

// drawLinkFault draws a fault and returns the function that plays it.
func drawLinkFault(rnd *rand.Rand, de *deployment, ct *contact) func() {
	length := 100*time.Millisecond + time.Duration(rnd.Int64N(int64(maxFaultTime)))
	control := de.caller.ControllerIPs
	gw := de.gateways()[rnd.IntN(len(de.gateways()))]
	co := control[rnd.IntN(len(control))]
	li := []linkFault{{isCut: true, isMuted: true}, {isCut: true}, {isMuted: true}, {delay: 700 * time.Millisecond}}[rnd.IntN(4)]
	play := func(what string, of string, ps ...pair) func() {
		return func() {
			end := ct.begin(fmt.Sprintf("%s %+v", what, li), of)
			de.network.setFault(li, ps...)
			time.Sleep(length)
			de.network.setFault(linkFault{}, ps...)
			end()
		}
	}
	switch rnd.IntN(7) {
	case 0:
		return play(gw+" to "+co, gw, pair{gw, co}, pair{co, gw})
	case 1, 2:
		var ps []pair
		for _, ip := range control {
			ps = append(ps, pair{gw, ip}, pair{ip, gw})
		}

		return play(gw+" to all controllers", gw, ps...)
	case 3:
		var ps []pair
		for _, ip := range control {
			if ip != co {
				ps = append(ps, pair{co, ip}, pair{ip, co})
			}
		}

		return play(co+" to the other controllers", "", ps...)
	case 4:
		return func() {
			end := ct.begin("reset of "+gw, gw)
			for _, ip := range control {
				de.network.reset(pair{gw, ip}, pair{ip, gw})
			}
			end()
		}
	}

	return harmProcesses(rnd, de, ct, length)
}

// harmProcesses draws controllers, one or all, or a gateway, which are stopped for a time or killed
// and started again.
func harmProcesses(rnd *rand.Rand, de *deployment, ct *contact, length time.Duration) func() {
	var targets []*process
	isAll, isKilled, role := rnd.IntN(2) == 0, rnd.IntN(2) == 0, program.RoleController
	if rnd.IntN(3) == 0 {
		role = program.RoleGateway
	}
	for _, pr := range de.processes {
		if pr.role == role {
			targets = append(targets, pr)
		}
	}
	if !isAll || role == program.RoleGateway {
		n := rnd.IntN(len(targets))
		targets = targets[n : n+1]
	}
	of := ""
	if role == program.RoleGateway {
		of = targets[0].ip
	}

	return func() {
		for _, pr := range targets {
			if !pr.harmed.TryLock() {
				return // another fault has it
			}
			defer pr.harmed.Unlock()
		}
		end := ct.begin(fmt.Sprintf("harm of %d from %s on, killed %v", len(targets), targets[0].ip, isKilled), of)
		defer end()
		for _, pr := range targets {
			if isKilled {
				_ = pr.stop(syscall.SIGKILL) // fails only if another fault has ended it
			} else {
				_ = pr.signal(syscall.SIGSTOP)
			}
		}
		time.Sleep(length)
		for _, pr := range targets {
			if isKilled {
				_ = pr.start() // the same
			} else {
				_ = pr.signal(syscall.SIGCONT)
			}
		}
	}
}
