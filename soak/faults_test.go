package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/program"
)

// The mean pause between two faults and the longest fault: several overlap, and
// most groups still have a quorum now and then.
const (
	faultGap     = 900 * time.Millisecond
	longestFault = 4 * time.Second
)

// fault is one disturbance, drawn before the run so that a seed replays it.
type fault struct {
	startsAt, duration time.Duration
	kind               string
	target             int // index of the process or backend server
	other              int // index of a second process
	size               int
}

func (fa fault) String() string {
	return fmt.Sprintf("%.2fs %s target %d other %d for %.2fs", fa.startsAt.Seconds(), fa.kind, fa.target, fa.other, fa.duration.Seconds())
}

// faultKinds of faults with their weights.
var faultKinds = []struct {
	name   string
	weight int
}{
	{"kill", 4},
	{"tear", 2},
	{"pause", 3},
	{"term", 3},
	{"reload", 1},
	{"wipe", 1},
	{"delay", 2},
	{"reset", 2},
	{"cut", 2},
	{"cutOneWay", 2},
	{"mute", 2},
	{"isolate", 1},
	{"serverCrash", 2},
	{"serverBreaksOff", 2},
	{"serverSilent", 1},
	{"killAll", 1},
}

// drawFaults returns the faults of a seed.
func drawFaults(rnd *rand.Rand, cfg *Config) []fault {
	sum := 0
	for _, k := range faultKinds {
		sum += k.weight
	}
	processes, servers := cfg.Controllers+cfg.Stores+cfg.Gateways, cfg.Plain+cfg.Engines
	wiped := map[bool]bool{} // by whether it is a store: a second loss may meet an unfinished repair
	var out []fault
	for at := time.Second; ; at += time.Duration(rnd.ExpFloat64() * float64(faultGap)) {
		if at > cfg.Length {
			return out
		}
		n := rnd.IntN(sum)
		fa := fault{
			startsAt: at, duration: 200*time.Millisecond + time.Duration(rnd.Int64N(int64(longestFault))), target: rnd.IntN(processes), other: rnd.IntN(processes),
			size: 1 + rnd.IntN(300),
		}
		for _, k := range faultKinds {
			if n < k.weight {
				fa.kind = k.name

				break
			}
			n -= k.weight
		}
		switch fa.kind {
		case "serverCrash", "serverBreaksOff", "serverSilent":
			fa.target = rnd.IntN(servers)
		case "wipe":
			fa.target %= cfg.Controllers + cfg.Stores
			isStore := fa.target >= cfg.Controllers
			if wiped[isStore] {
				continue
			}
			wiped[isStore] = true
		case "tear":
			fa.target %= cfg.Controllers + cfg.Stores
		}
		out = append(out, fa)
	}
}

// injector carries faults out.
type injector struct {
	de           *deployment
	logf         func(format string, args ...any)
	processLocks []sync.Mutex // one for each process: its faults come one after another
	serverLocks  []sync.Mutex // one for each backend server: it ends and starts once at a time
	errMu        sync.Mutex
	errs         []error
}

func (in *injector) recordError(err error) {
	if err == nil {
		return
	}
	in.errMu.Lock()
	defer in.errMu.Unlock()
	in.errs = append(in.errs, err)
}

// run carries out all faults and returns when the last one is over.
func (in *injector) run(ctx context.Context, faults []fault) {
	in.processLocks = make([]sync.Mutex, len(in.de.processes))
	in.serverLocks = make([]sync.Mutex, len(in.de.servers))
	began := time.Now()
	var wg sync.WaitGroup
	for _, fa := range faults {
		select {
		case <-time.After(time.Until(began.Add(fa.startsAt))):
		case <-ctx.Done():
		}
		in.logf("fault %v", fa)
		wg.Go(func() { in.inject(fa) })
	}
	wg.Wait()
	in.de.network.clearFaults()
}

func (in *injector) inject(fa fault) {
	de := in.de
	switch fa.kind {
	case "serverCrash":
		in.serverLocks[fa.target].Lock()
		defer in.serverLocks[fa.target].Unlock()
		bs := de.servers[fa.target]
		bs.Stop()
		time.Sleep(fa.duration)
		in.recordError(bs.Start(de.listenAddresses[bs]))
	case "serverBreaksOff":
		bs := de.servers[fa.target]
		bs.BreakOff(func(_ string, event int) bool { return event%7 == fa.size%7 && rand.IntN(2) == 0 })
		time.Sleep(fa.duration)
		bs.BreakOff(func(string, int) bool { return false })
	case "serverSilent":
		var ps []pair
		for _, pr := range de.processes {
			ps = append(ps, pair{pr.ip, serverIP(de.servers[fa.target])})
		}
		in.disturbLinks(linkFault{isMuted: true}, fa, ps)
	case "delay":
		in.disturbLinks(linkFault{delay: time.Duration(fa.size) * time.Millisecond}, fa, in.pairsBetween(fa))
	case "cut":
		in.disturbLinks(linkFault{isCut: true, isMuted: true}, fa, in.pairsBetween(fa))
	case "cutOneWay":
		in.disturbLinks(linkFault{isCut: true}, fa, in.pairsBetween(fa)[:1])
	case "mute":
		in.disturbLinks(linkFault{isMuted: true}, fa, in.pairsBetween(fa)[:1])
	case "isolate":
		in.disturbLinks(linkFault{isCut: true, isMuted: true}, fa, de.pairs(de.processes[fa.target].ip))
	case "reset":
		de.network.reset(de.pairs(de.processes[fa.target].ip)...)
	case "killAll":
		role := de.processes[fa.target].role
		var wg sync.WaitGroup
		for i, pr := range de.processes {
			if pr.role == role {
				wg.Go(func() { in.disturbProcess(fa, i) })
			}
		}
		wg.Wait()
	default:
		in.disturbProcess(fa, fa.target)
	}
}

// pairsBetween returns the links pairsBetween the two processes of a fault.
func (in *injector) pairsBetween(fa fault) []pair {
	a, b := in.de.processes[fa.target].ip, in.de.processes[fa.other].ip

	return []pair{{a, b}, {b, a}}
}

func (in *injector) disturbLinks(li linkFault, fa fault, ps []pair) {
	in.de.network.setFault(li, ps...)
	time.Sleep(fa.duration)
	in.de.network.setFault(linkFault{}, ps...)
}

// disturbProcess does something to one process and sets it right again.
func (in *injector) disturbProcess(fa fault, i int) {
	in.processLocks[i].Lock()
	defer in.processLocks[i].Unlock()

	pr := in.de.processes[i]
	switch fa.kind {
	case "reload":
		// Before a program has taken the signal over, the system ends it.
		in.recordError(pr.awaitStarted())
		in.recordError(pr.signal(syscall.SIGHUP))

		return
	case "pause":
		in.recordError(pr.signal(syscall.SIGSTOP))
		time.Sleep(fa.duration)
		in.recordError(pr.signal(syscall.SIGCONT))

		return
	case "term":
		in.recordError(pr.stop(syscall.SIGTERM))
	default:
		in.recordError(pr.stop(syscall.SIGKILL))
	}
	switch fa.kind {
	case "wipe":
		in.recordError(pr.wipe())
	case "tear":
		b := make([]byte, fa.size)
		for j := range b {
			b[j] = byte(rand.IntN(256))
		}
		if pr.role != program.RoleGateway {
			in.recordError(pr.appendGarbage(b))
		}
	}
	time.Sleep(fa.duration / 2)
	in.recordError(pr.start())
}
