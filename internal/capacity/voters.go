package capacity

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/group"
	"github.com/tamarackbay/tamarackbay/internal/idempotency"
	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/storage"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// voters runs the voters of one group in this process, connected over loopback.
type voters struct {
	groups    []*group.Group
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	listeners []*peer.Listener
}

// startVoters starts n voters with disks in folder and waits until they elect a leader.
// subnet is the third octet of their loopback addresses.
func startVoters(folder string, subnet, n int) (*voters, error) {
	vo := &voters{}
	ctx, cancel := context.WithCancel(context.Background())
	vo.cancel = cancel
	var fos []group.Founder
	for i := range n {
		fos = append(fos, group.Founder{Name: fmt.Sprintf("v%d", i), Address: fmt.Sprintf("127.77.%d.%d:8082", subnet, i+1)})
	}
	for i := range n {
		if err := vo.add(ctx, folder, fos, i); err != nil {
			vo.close()

			return nil, err
		}
	}

	return vo, vo.waitLeader()
}

// add starts the voter at index i of the founders. With an empty folder it has no disk.
func (vo *voters) add(ctx context.Context, folder string, fos []group.Founder, i int) error {
	pc := peer.Config{Hello: &wire.Hello{Name: fos[i].Name, Address: fos[i].Address, Protocol: peer.ProtocolVersion}, Mux: peer.Mux{}}
	dir := ""
	if folder != "" {
		dir = filepath.Join(folder, fos[i].Name)
	}
	gr, err := group.New(group.Config{
		Name: fos[i].Name, Address: fos[i].Address, DataFolder: dir, Founders: fos, Peer: pc, Files: storage.OSFiles(),
		Election: 500 * time.Millisecond, Heartbeat: 100 * time.Millisecond, FreshnessBound: 5 * time.Second, ReplaceAfter: time.Minute,
		WallMs: func() int64 { return time.Now().UnixMilli() }, Log: logging.Discard(),
	})
	if err != nil {
		return err
	}
	for m, h := range gr.Handlers() {
		pc.Mux[m] = h
	}
	li, err := peer.Listen(fos[i].Address, pc)
	if err != nil {
		return err
	}
	vo.groups, vo.listeners = append(vo.groups, gr), append(vo.listeners, li)
	vo.wg.Add(2)
	go func() {
		defer vo.wg.Done()
		_ = li.Serve()
	}()
	go func() {
		defer vo.wg.Done()
		_ = gr.Run(ctx)
	}()

	return nil
}

// leader returns the current leader, nil if there is none.
func (vo *voters) leader() *group.Group {
	for _, gr := range vo.groups {
		if gr.Status().Role == consensus.RoleLeader.String() {
			return gr
		}
	}

	return nil
}

func (vo *voters) waitLeader() error {
	for range 500 {
		if vo.leader() != nil {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}

	return fmt.Errorf("capacity: the voters elected no leader in time")
}

func (vo *voters) close() {
	vo.cancel()
	for _, li := range vo.listeners {
		li.Close()
	}
	vo.wg.Wait()
}

// measureCommitRate runs that many concurrent writers against each group of vos for d.
// It returns the commits per second of all groups and the latencies of all commits.
func measureCommitRate(vos []*voters, writers int, d time.Duration) (perSecond float64, latencies []time.Duration) {
	var n atomic.Int64
	var mu sync.Mutex
	var wg sync.WaitGroup
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	began := time.Now()
	for _, vo := range vos {
		ld := vo.leader()
		for w := range writers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				var own []time.Duration
				for i := 0; ctx.Err() == nil; i++ {
					at := time.Now()
					be := idempotency.Begin{Key: fmt.Sprintf("w%d-%d-%d", w, i, at.UnixNano()), Digest: "d", Owner: "o", Gateway: "g"}
					if ld.Propose(ctx, statemachine.KindBeginCall, be, nil) == nil {
						n.Add(1)
						own = append(own, time.Since(at))
					}
				}
				mu.Lock()
				latencies = append(latencies, own...)
				mu.Unlock()
			}()
		}
	}
	wg.Wait()

	return float64(n.Load()) / time.Since(began).Seconds(), latencies
}

// tempFolder creates a folder for the disks of a measurement. The returned function removes it.
func tempFolder() (string, func(), error) {
	f, err := os.MkdirTemp("", "tamarackbay-capacity-")

	return f, func() { _ = os.RemoveAll(f) }, err
}
