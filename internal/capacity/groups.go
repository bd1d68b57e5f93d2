package capacity

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/group"
	"github.com/tamarackbay/tamarackbay/internal/quantile"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/storage"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// Figure is a single measured value, at one size only.
type Figure struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
}

const (
	commitDuration = 3 * time.Second
	commitWriters  = 64
	idleDuration   = 3 * time.Second
	restartChanges = 100_000
)

// measureSync returns the latencies of 300 writes of 4 KiB to a file in folder, each with a sync.
func measureSync(folder string) ([]time.Duration, error) {
	f, err := os.Create(filepath.Join(folder, "sync"))
	if err != nil {
		return nil, err
	}
	defer f.Close()

	var out []time.Duration
	b := make([]byte, 4096)
	for range 300 {
		at := time.Now()
		if _, err := f.Write(b); err != nil {
			return nil, err
		}
		if err := f.Sync(); err != nil {
			return nil, err
		}
		out = append(out, time.Since(at))
	}

	return out, nil
}

// measureCommits measures disk syncs, commits of three voters with many writers and with
// one, and the cost of idle voters.
func measureCommits() ([]Figure, error) {
	folder, clean, err := tempFolder()
	if err != nil {
		return nil, err
	}
	defer clean()

	syncs, err := measureSync(folder)
	if err != nil {
		return nil, err
	}
	out := []Figure{
		{"one sync of the disk, p50", "ms", quantile.Milliseconds(syncs, 0.5)},
		{"one sync of the disk, p99", "ms", quantile.Milliseconds(syncs, 0.99)},
	}
	vo, err := startVoters(folder, 1, 3)
	if err != nil {
		return nil, err
	}
	defer vo.close()

	before := cpuTime()
	rate, lat := measureCommitRate([]*voters{vo}, commitWriters, commitDuration)
	cpu := (cpuTime() - before).Seconds()
	out = append(out,
		Figure{"commits a second, 3 voters, 64 writers", "1/s", rate},
		Figure{"commit p50, 64 writers", "ms", quantile.Milliseconds(lat, 0.5)},
		Figure{"commit p99, 64 writers", "ms", quantile.Milliseconds(lat, 0.99)},
		Figure{"CPU of a commit, 3 voters and writers together", "us", cpu / (rate * commitDuration.Seconds()) * 1e6},
	)
	_, one := measureCommitRate([]*voters{vo}, 1, time.Second)
	out = append(out, Figure{"commit p50, 1 writer", "ms", quantile.Milliseconds(one, 0.5)})

	before = cpuTime()
	time.Sleep(idleDuration)
	out = append(out, heartbeatBytes(), Figure{"CPU of an idle voter", "share of a core", (cpuTime() - before).Seconds() / idleDuration.Seconds() / 3})

	return out, nil
}

// heartbeatBytes computes the size of a heartbeat and its reply, each in one frame of a raw stream.
func heartbeatBytes() Figure {
	const frameOverhead = 4 + 12 // length prefix and yamux header
	id := "gateway-1-0123456789abcdef"
	// Kinds 5 and 6 are consensus.MessageAppend and consensus.MessageAppendReply.
	ap, _ := proto.Marshal(&wire.ConsensusMessage{
		Kind: 5, Group: 1, From: id, To: id, Term: 100, Index: 1 << 24, LogTerm: 100, Commit: 1 << 24, Round: 1 << 20,
	})
	rep, _ := proto.Marshal(&wire.ConsensusMessage{Kind: 6, Group: 1, From: id, To: id, Term: 100, Index: 1 << 24, Round: 1 << 20})

	return Figure{"bytes of a heartbeat with its reply", "byte", float64(len(ap) + len(rep) + 2*frameOverhead)}
}

func ms(d time.Duration) float64 { return d.Seconds() * 1000 }

// measureFailOver returns the longest of 5 times from the stop of a leader to the next commit.
func measureFailOver() (Figure, error) {
	var worst time.Duration
	for i := range 5 {
		folder, clean, err := tempFolder()
		if err != nil {
			return Figure{}, err
		}
		d, err := timeFailOver(folder, 20+i)
		clean()
		if err != nil {
			return Figure{}, err
		}
		worst = max(worst, d)
	}

	return Figure{"from the loss of a leader to the next commit, worst of 5", "s", worst.Seconds()}, nil
}

// timeFailOver starts three voters, stops the leader and returns the time until the next commit.
// subnet is the third octet of their loopback addresses.
func timeFailOver(folder string, subnet int) (time.Duration, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	vos := make([]*voters, 3)
	var fos []group.Founder
	for i := range 3 {
		fos = append(fos, group.Founder{Name: fmt.Sprintf("v%d", i), Address: fmt.Sprintf("127.77.%d.%d:8082", subnet, i+1)})
	}
	all := &voters{cancel: func() {}}
	for i := range 3 {
		vctx, vcancel := context.WithCancel(ctx)
		vos[i] = &voters{cancel: vcancel}
		if err := vos[i].add(vctx, folder, fos, i); err != nil {
			return 0, err
		}
		all.groups = append(all.groups, vos[i].groups...)
	}
	defer func() {
		for _, vo := range vos {
			vo.close()
		}
	}()
	if err := all.waitLeader(); err != nil {
		return 0, err
	}

	time.Sleep(500 * time.Millisecond)
	for i, gr := range all.groups {
		if gr == all.leader() {
			at := time.Now()
			vos[i].close()
			next := all.groups[(i+1)%3]
			pctx, pcancel := context.WithTimeout(ctx, 10*time.Second)
			defer pcancel()
			err := next.Propose(pctx, statemachine.KindRegister, statemachine.Registration{Replica: "probe"}, nil)

			return time.Since(at), err
		}
	}

	return 0, fmt.Errorf("capacity: no voter is the leader of the group")
}

// measureRestart writes a log of many changes and measures the time to recover from it.
func measureRestart() (Figure, error) {
	folder, clean, err := tempFolder()
	if err != nil {
		return Figure{}, err
	}
	defer clean()

	if err := writeLog(folder); err != nil {
		return Figure{}, err
	}
	at := time.Now()
	st, re, err := storage.Open(storage.OSFiles(), folder, 1)
	if err != nil {
		return Figure{}, err
	}
	ma, err := statemachine.Restore(re.Snapshot.Data)
	if err != nil {
		return Figure{}, err
	}
	for _, en := range re.Entries {
		ma.Apply(en.Index, en.Data)
	}
	d := time.Since(at)
	if v := ma.Configuration().Version(); v != restartChanges {
		return Figure{}, fmt.Errorf("capacity: configuration version is %d after the restart, expected %d", v, restartChanges)
	}

	return Figure{fmt.Sprintf("restart after %d changes", restartChanges), "s", d.Seconds()}, st.Close()
}

// writeLog writes a log of restartChanges patches, with periodic snapshots as a replica takes them.
func writeLog(folder string) error {
	const snapshotEvery, batch = 20_000, 500
	st, _, err := storage.Open(storage.OSFiles(), folder, 1)
	if err != nil {
		return err
	}
	ma := statemachine.New()
	var es []consensus.Entry
	for i := uint64(1); i <= restartChanges; i++ {
		c, err := statemachine.Encode(statemachine.KindPatch, declaration.Patch{
			ID: fmt.Sprintf("patch-%d", i), Base: i - 1, Author: "operator",
			Ops: []declaration.Op{setOp(fmt.Sprintf("workspaces/w%d", i%500), declaration.Workspace{Weight: 1 + float64(i%9), MaxQueued: 10, Home: "main"})},
		})
		if err != nil {
			return err
		}
		statemachine.Stamp(c, int64(i))
		ma.Apply(i, c)
		es = append(es, consensus.Entry{Index: i, Term: 1, Data: c})
		if len(es) == batch {
			if err := st.Save(&consensus.Ready{Entries: es}); err != nil {
				return err
			}
			es = nil
		}
		if i%snapshotEvery == 0 && i < restartChanges {
			data, err := ma.Snapshot()
			if err != nil {
				return err
			}
			if err := st.SaveSnapshot(consensus.Snapshot{Index: i, Term: 1, Data: data}, false); err != nil {
				return err
			}
		}
	}

	return st.Close()
}

// measureFeed runs subscribers against three voters. It measures the CPU and memory of
// idle subscribers, and the time until a change is in force on all of them.
func measureFeed() ([]Slope, error) {
	folder, clean, err := tempFolder()
	if err != nil {
		return nil, err
	}
	defer clean()
	vo, err := startVoters(folder, 40, 3)
	if err != nil {
		return nil, err
	}
	defer vo.close()

	idle := Slope{Name: "subscriber at rest, both ends", Per: "subscriber", Unit: "share of a core"}
	held := Slope{Name: "subscriber held, both ends", Per: "subscriber", Unit: "byte"}
	force := Slope{Name: "change in force on all subscribers, median of 20", Per: "subscriber", Unit: "second"}
	for i, n := range []int{50, 100, 200} {
		x := float64(n)
		before := heapBytes()
		su, err := startSubscribers(vo, 41+i, n)
		if err != nil {
			return nil, err
		}
		held.Points = append(held.Points, Point{x, float64(heapBytes()) - float64(before)})
		cpu := cpuTime()
		time.Sleep(idleDuration)
		idle.Points = append(idle.Points, Point{x, (cpuTime() - cpu).Seconds() / idleDuration.Seconds()})
		d, err := su.medianChangeTime(vo, 20)
		su.stop()
		if err != nil {
			return nil, err
		}
		force.Points = append(force.Points, Point{x, d.Seconds()})
	}
	for _, sl := range []*Slope{&idle, &held, &force} {
		sl.fit()
	}

	return []Slope{idle, held, force}, nil
}

// subscribers are processes without a replica that follow the feed of the voters.
type subscribers struct {
	groups []*group.Group
	stop   func()
}

func startSubscribers(vo *voters, subnet, n int) (*subscribers, error) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	su := &subscribers{stop: func() { cancel(); wg.Wait() }}
	for i := range n {
		gr, err := newSubscriber(vo, fmt.Sprintf("127.78.%d.%d:8082", subnet, i+1), i)
		if err != nil {
			su.stop()

			return nil, err
		}
		su.groups = append(su.groups, gr)
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = gr.Run(ctx)
		}()
	}

	return su, su.waitAll(func(gr *group.Group) bool { return gr.CheckFresh() == nil })
}

func newSubscriber(vo *voters, address string, i int) (*group.Group, error) {
	ups := make([]string, len(vo.listeners))
	for j := range vo.listeners {
		ups[j] = vo.listeners[(i+j)%len(vo.listeners)].Address()
	}

	return group.New(group.Config{
		Name: fmt.Sprintf("s%d", i), Address: address, Upstreams: ups, FreshnessBound: 5 * time.Second,
		Peer: subscriberPeer(address), WallMs: func() int64 { return 0 }, Log: discardLog(),
	})
}

// waitAll polls until ok holds for all subscribers.
func (su *subscribers) waitAll(ok func(gr *group.Group) bool) error {
	for range 20_000 {
		all := true
		for _, gr := range su.groups {
			all = all && ok(gr)
		}
		if all {
			return nil
		}
		time.Sleep(time.Millisecond)
	}

	return fmt.Errorf("capacity: timed out waiting for the subscribers of the feed")
}

// medianChangeTime commits changes one after the other and returns the median time until a
// change is in force on all subscribers.
func (su *subscribers) medianChangeTime(vo *voters, times int) (time.Duration, error) {
	var ds []time.Duration
	for i := range times {
		ld := vo.leader()
		if ld == nil {
			return 0, fmt.Errorf("capacity: no voter is the leader of the group")
		}
		var an declaration.Answer
		at := time.Now()
		err := ld.Propose(context.Background(), statemachine.KindPatch, declaration.Patch{
			ID: fmt.Sprintf("p-%d-%d", len(su.groups), i), Base: ld.View().Version,
			Ops: []declaration.Op{setOp("workspaces/w", declaration.Workspace{Weight: float64(1 + i), MaxQueued: 1, Home: "main"})},
		}, &an)
		if err != nil {
			return 0, err
		}
		if err := su.waitAll(func(gr *group.Group) bool { return gr.View().Version >= an.Version }); err != nil {
			return 0, err
		}
		ds = append(ds, time.Since(at))
	}

	return quantile.Of(ds, 0.5), nil
}

// measurePartitions measures the total commit rate of several groups that run at the
// same time, each with its own leader and log.
func measurePartitions() (Slope, error) {
	sl := Slope{Name: "commits of several groups at once", Per: "group", Unit: "1/s"}
	for i, n := range []int{1, 2, 4, 7} {
		rate, err := partitionRate(60+10*i, n)
		if err != nil {
			return sl, err
		}
		sl.Points = append(sl.Points, Point{float64(n), rate})
	}
	sl.fit()

	return sl, nil
}

func partitionRate(subnet, n int) (float64, error) {
	var vos []*voters
	defer func() {
		for _, vo := range vos {
			vo.close()
		}
	}()
	for g := range n {
		folder, clean, err := tempFolder()
		if err != nil {
			return 0, err
		}
		defer clean()
		vo, err := startVoters(folder, subnet+g, 3)
		if err != nil {
			return 0, err
		}
		vos = append(vos, vo)
	}
	rate, _ := measureCommitRate(vos, commitWriters, commitDuration)

	return rate, nil
}
