// Package capacity measures the cost of each part at several sizes, fits a line to it,
// and extrapolates to the size that the design targets.
package capacity

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"google.golang.org/protobuf/proto"

	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/idempotency"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/pool"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/step"
	"github.com/tamarackbay/tamarackbay/internal/usage"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// Point is the value Y measured at size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a quantity measured at several sizes, with the line through the points.
type Slope struct {
	Name      string  `json:"name"`
	Per       string  `json:"per"`  // the item that X counts
	Unit      string  `json:"unit"` // unit of Y
	Points    []Point `json:"points"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	Residual  float64 `json:"residual"` // largest distance of a point from the line, in units of Y
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return 0
	}

	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)

	return ms.HeapAlloc
}

// heapOf returns the heap bytes that the result of build retains.
func heapOf(build func() any) float64 {
	before := heapBytes()
	kept := build()
	after := heapBytes()
	runtime.KeepAlive(kept)

	return float64(after) - float64(before)
}

// cpuOf returns the mean CPU seconds of n runs of f.
func cpuOf(n int, f func()) float64 {
	before := cpuTime()
	for range n {
		f()
	}

	return (cpuTime() - before).Seconds() / float64(n)
}

// series measures f at each size.
func series(name, per, unit string, sizes []int, f func(n int) (float64, error)) (Slope, error) {
	sl := Slope{Name: name, Per: per, Unit: unit}
	for _, n := range sizes {
		y, err := f(n)
		if err != nil {
			return sl, fmt.Errorf("capacity: %s at %d: %w", name, n, err)
		}
		sl.Points = append(sl.Points, Point{X: float64(n), Y: y})
	}
	sl.fit()

	return sl, nil
}

// setOp returns the operation that sets the object at path to v.
func setOp(path string, v any) declaration.Op {
	return declaration.Op{Path: path, Value: mustJSON(v)}
}

// configurationOps returns the declarations of n workspaces with a key and a route each.
func configurationOps(n int) []declaration.Op {
	ops := []declaration.Op{setOp("models/m", declaration.Model{StalenessBound: 1, SwapWave: 1, SwapMode: declaration.SwapContinue})}
	for i := range n {
		w := fmt.Sprintf("workspace-%05d", i)
		ops = append(ops,
			setOp("workspaces/"+w, declaration.Workspace{Weight: 1, MaxQueued: 100, Home: "main"}),
			setOp("routes/route-"+w, declaration.Route{Model: "m", Class: declaration.ClassPreview, TimeoutMs: 1000, MaxBodyBytes: 1 << 20}),
			setOp("keys/"+fmt.Sprintf("%016x", i), declaration.Key{Workspace: w, Hash: declaration.HashSecret(w)}))
	}

	return ops
}

func newDeclarations(n int) (*declaration.Set, error) {
	se := declaration.NewSet()

	return se, se.Apply(configurationOps(n))
}

func measureConfiguration() ([]Slope, error) {
	sizes := []int{1000, 4000, 8000}
	memory, err := series("configuration held", "workspace with key and route", "byte", sizes, func(n int) (float64, error) {
		var err error
		b := heapOf(func() any {
			var se *declaration.Set
			se, err = newDeclarations(n)

			return se
		})

		return b, err
	})
	if err != nil {
		return nil, err
	}
	change, err := series("change applied on a node", "workspace with key and route", "second of CPU", sizes, func(n int) (float64, error) {
		se, err := newDeclarations(n)
		if err != nil {
			return 0, err
		}
		ops := []declaration.Op{setOp("workspaces/workspace-00001", declaration.Workspace{Weight: 2, MaxQueued: 100, Home: "main"})}

		return cpuOf(50, func() { _ = se.Clone().Apply(ops) }), nil
	})
	if err != nil {
		return nil, err
	}
	bytes, err := series("bytes of a change sent to one subscriber", "changed object", "byte", []int{1, 4, 16}, func(n int) (float64, error) {
		ch := &declaration.Change{Version: 1 << 20, PatchID: "apply-0123456789abcdef01234567", Author: "operator", AtMs: 1 << 40, Ops: configurationOps(n)[1 : 1+n]}
		d, err := cbor.Marshal(statemachine.Delta{Revision: 1 << 20, Change: ch})
		if err != nil {
			return 0, err
		}
		rep, err := proto.Marshal(&wire.FeedReply{Version: 1 << 20, Revision: 1 << 20, AgeMs: 100, Deltas: [][]byte{d}})

		return float64(len(rep)), err
	})

	return []Slope{memory, change, bytes}, err
}

func measureLedgers() ([]Slope, error) {
	sizes := []int{2000, 8000, 32000}
	steps, err := series("step ledger held", "sample", "byte", sizes, func(n int) (float64, error) {
		return heapOf(func() any { return newFilledSteps(n) }), nil
	})
	if err != nil {
		return nil, err
	}
	wins, err := series("step ledger: winners committed 64 at once", "sample", "second of CPU", sizes, func(n int) (float64, error) {
		before := cpuTime()
		newFilledSteps(n)

		return (cpuTime() - before).Seconds(), nil
	})
	if err != nil {
		return nil, err
	}
	pages, err := series("step ledger: a page formed and acknowledged", "sample in the step", "second of CPU", sizes, func(n int) (float64, error) {
		le := newFilledSteps(n)
		page := uint64(0)
		rounds := min(8, n/256)

		return cpuOf(rounds, func() {
			page++
			_, _ = le.FormPage(step.FormPage{Key: "w/s", Number: page, Max: 256}, 1, 1)
			_, _ = le.AckPage(step.AckPage{Key: "w/s", Number: page}, 1)
		}), nil
	})
	if err != nil {
		return nil, err
	}
	calls, err := series("call ledger held", "call with an answer of 200 bytes", "byte", sizes, func(n int) (float64, error) {
		return heapOf(func() any {
			le := idempotency.NewLedger(idempotency.Snapshot{})
			for i := range n {
				k := fmt.Sprintf("workspace/route/key-%08d", i)
				_, _ = le.Begin(idempotency.Begin{Key: k, Digest: k, Owner: k, Gateway: "192.0.2.1:8082"}, 1)
				_ = le.End(idempotency.End{Key: k, Owner: k, Status: 200, Body: make([]byte, 200)})
			}

			return le
		}), nil
	})
	if err != nil {
		return nil, err
	}
	counters, err := series("usage counters held", "agent and workspace in a window", "byte", sizes, func(n int) (float64, error) {
		return heapOf(func() any { return newFilledUsage(n) }), nil
	})
	if err != nil {
		return nil, err
	}
	folds, err := series("usage counters folded", "agent and workspace in a window", "second of CPU", sizes, func(n int) (float64, error) {
		before := cpuTime()
		newFilledUsage(n)

		return (cpuTime() - before).Seconds(), nil
	})

	return []Slope{steps, wins, pages, calls, counters, folds}, err
}

// newFilledSteps returns a ledger with one step of n samples that all have a winner.
func newFilledSteps(n int) *step.Ledger {
	le := step.NewLedger(nil)
	st := step.Step{ID: "s", Workspace: "w", Model: "m", DeadlineMs: 1 << 50, Staleness: 1}
	for g := range n / 8 {
		st.Groups = append(st.Groups, step.Group{ID: fmt.Sprintf("g%05d", g), Prompt: fmt.Sprintf("prompt %d", g), Samples: 8, MaxTokens: 100})
	}
	if _, err := le.Open(step.OpenStep{Step: st}, 1); err != nil {
		panic(err)
	}
	for i := 0; i < n; i += 64 {
		var ws step.Wins
		ws.Key = "w/s"
		for j := i; j < min(i+64, n); j++ {
			ws.Wins = append(ws.Wins, step.Win{
				Sample: j, Attempt: 1, Sequence: 1, Digest: fmt.Sprintf("%064x", j), Holders: []string{"192.0.2.1:8082", "192.0.2.2:8082"},
			})
		}
		if _, err := le.Wins(ws); err != nil {
			panic(err)
		}
	}

	return le
}

// newFilledUsage returns a ledger with n counters, of 8 workspaces on each agent.
func newFilledUsage(n int) *usage.Ledger {
	le := usage.NewLedger(usage.Snapshot{})
	for i := range n {
		le.AddCounters(usage.AddCounters{Counters: []usage.Counter{{
			Agent: fmt.Sprintf("server-%05d", i/8), Incarnation: uint64(i), Workspace: fmt.Sprintf("w%d", i%8), Window: 1,
			Amounts: usage.Amounts{Requests: 1, Tokens: 100},
		}}})
	}

	return le
}

func measurePool() ([]Slope, error) {
	sizes := []int{60, 250, 1000}
	newPool := func(n int) *pool.Pool {
		po := pool.New(pool.Config{
			Name: "m", FailureDomain: "a", Now: func() time.Duration { return time.Second }, Meter: meter.New(),
			SequenceOf: func(string) uint64 { return 1 }, ReportPeriod: func() time.Duration { return time.Second },
		})
		for i := range n {
			po.AddServer(&wire.Announce{Server: fmt.Sprintf("server-%05d", i), Incarnation: 1, Model: "m", FailureDomain: "a", Slots: 16}, nil)
			po.ApplyLoad(loadReport(i, 1), 8)
		}

		return po
	}
	memory, err := series("backend servers in view", "backend server", "byte", sizes, func(n int) (float64, error) {
		return heapOf(func() any { return newPool(n) }), nil
	})
	if err != nil {
		return nil, err
	}
	load, err := series("load reports taken", "report", "second of CPU", []int{20_000, 60_000, 180_000}, func(n int) (float64, error) {
		po := newPool(60)
		before := cpuTime()
		for i := range n {
			po.ApplyLoad(loadReport(i%60, uint64(2+i/60)), 8)
		}

		return (cpuTime() - before).Seconds(), nil
	})
	if err != nil {
		return nil, err
	}
	place, err := series("requests placed and released", "request", "second of CPU", []int{20_000, 60_000, 180_000}, func(n int) (float64, error) {
		po := newPool(60)
		before := cpuTime()
		for range n {
			gr, err := po.Acquire(context.Background(), pool.Request{Workspace: "w", Weight: 1, Cost: 100, MaxQueued: 10})
			if err != nil {
				return 0, err
			}
			gr.Release(pool.Succeeded)
		}

		return (cpuTime() - before).Seconds(), nil
	})

	return []Slope{memory, load, place}, err
}

func loadReport(i int, sequence uint64) *wire.Load {
	return &wire.Load{
		Server: fmt.Sprintf("server-%05d", i), Incarnation: 1, Sequence: sequence, State: "ready", Version: "v100",
		LoadedVersion: "v100", Running: 8, Queued: 1, Gateways: 8,
	}
}

// callCounter counts the calls that the server handled.
type callCounter struct{ calls atomic.Int64 }

func measureCalls() ([]Slope, error) {
	var tr callCounter
	mux := peer.Mux{"load": func(_ context.Context, st *peer.Stream) error {
		tr.calls.Add(1)

		return st.Reply(&wire.LoadReply{WindowSeconds: 3600})
	}}
	li, err := peer.Listen("127.0.0.1:0", peer.Config{Hello: &wire.Hello{Protocol: peer.ProtocolVersion}, Mux: mux})
	if err != nil {
		return nil, err
	}
	defer li.Close()
	go func() { _ = li.Serve() }()
	se, err := peer.Dial(context.Background(), li.Address(), peer.Config{Hello: &wire.Hello{Protocol: peer.ProtocolVersion}})
	if err != nil {
		return nil, err
	}
	defer se.Close()

	cpu, err := series("call between two processes, both ends", "call", "second of CPU", []int{3000, 10_000, 30_000}, func(n int) (float64, error) {
		before := cpuTime()
		for i := range n {
			if err := se.Call(context.Background(), "load", loadReport(i, uint64(i)), &wire.LoadReply{}); err != nil {
				return 0, err
			}
		}

		return (cpuTime() - before).Seconds(), nil
	})
	if err != nil {
		return nil, err
	}
	sessions, err := series("sessions held, both ends", "session", "byte", []int{50, 150, 300}, func(n int) (float64, error) {
		var list []*peer.Session
		var derr error
		b := heapOf(func() any {
			for range n {
				s, err := peer.Dial(context.Background(), li.Address(), peer.Config{Hello: &wire.Hello{Protocol: peer.ProtocolVersion}})
				if err != nil {
					derr = err

					return nil
				}
				list = append(list, s)
			}

			return list
		})
		for _, s := range list {
			s.Close()
		}

		return b, derr
	})

	return []Slope{cpu, sessions, loadBytes()}, err
}

// loadBytes computes the bytes of a load report and its reply on the wire: the
// messages, their frames, and a yamux header of 12 bytes for each of the 5 yamux
// frames of a call.
func loadBytes() Slope {
	const yamuxFrames, yamuxHeader, lengthPrefix = 5, 12, 4
	sl := Slope{Name: "bytes of a load report with its reply", Per: "cache event", Unit: "byte"}
	for _, n := range []int{0, 4, 16} {
		lo := loadReport(12345, 1<<20)
		for i := range n {
			lo.CacheEvents = append(lo.CacheEvents, &wire.CacheEvent{Sequence: uint64(1<<20 + i), Prefix: 1 << 62})
		}
		b, _ := proto.Marshal(lo)
		rq, _ := proto.Marshal(&wire.Call{Method: "server.load", TimeoutMs: 2000, Payload: b})
		rb, _ := proto.Marshal(&wire.LoadReply{WindowSeconds: 3600})
		fr, _ := proto.Marshal(&wire.Frame{Payload: rb})
		end, _ := proto.Marshal(&wire.Frame{End: true})
		y := len(rq) + len(fr) + len(end) + 3*lengthPrefix + yamuxFrames*yamuxHeader
		sl.Points = append(sl.Points, Point{X: float64(n), Y: float64(y)})
	}
	sl.fit()

	return sl
}
