package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/deployment"
	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/program"
	"github.com/tamarackbay/tamarackbay/internal/settings"
	"github.com/tamarackbay/tamarackbay/platform"
	"github.com/tamarackbay/tamarackbay/platform/standin"
)

// The size of the load without faults: large enough to use every code path.
const (
	nodeLookups  = 100
	nodeJobs     = 4
	nodeItems    = 16                    // of a job
	nodeEvents   = 20                    // of an item
	nodeWindow   = 2 * time.Second       // length of a usage window
	nodeReady    = 20 * time.Second      // timeout of operations that are retried
	nodePatience = 5 * time.Second       // timeout of a call, stop grace period and lease
	nodePoll     = 50 * time.Millisecond // period of the heartbeats of backend servers
)

// nodeDay is a run without faults of the nodes of a platform, all in this process.
type nodeDay struct {
	out     io.Writer
	caller  *standin.Caller
	cloud   *standin.Cloud
	nodes   []*program.Node
	servers []*standin.BackendServer
	gateway string
	wg      sync.WaitGroup
}

// RunNodes starts three controllers, three stores and a gateway on loopback addresses
// against a stand-in for the platform, serves lookups and batch jobs while the
// configuration and the weights change, and checks what the stand-in received.
func RunNodes(ctx context.Context, out io.Writer) error {
	folder, err := os.MkdirTemp("", "tamarackbay-demo-")
	if err != nil {
		return err
	}
	defer func() {
		if err := os.RemoveAll(folder); err != nil {
			fmt.Fprintf(out, "temporary folder %s could not be removed: %v\n", folder, err)
		}
	}()
	ctx, cancel := context.WithCancel(ctx)
	da := &nodeDay{out: out, gateway: "127.0.9.31"}
	defer da.close()
	defer cancel()
	if err := da.start(ctx, folder); err != nil {
		return err
	}
	if err := da.serve(ctx); err != nil {
		return err
	}

	return da.check()
}

// start starts the stand-in for the platform, the nodes and the backend servers.
func (da *nodeDay) start(ctx context.Context, folder string) error {
	ports, err := standin.FreePorts()
	if err != nil {
		return err
	}
	if da.cloud, err = standin.StartCloud(); err != nil {
		return err
	}
	da.caller = &standin.Caller{Ports: ports, Timeout: nodePatience, Control: []string{"127.0.9.11", "127.0.9.12", "127.0.9.13"}}
	add := func(role, ip string) error {
		bo := standin.Boot{
			Name: role + "-" + ip, IP: ip, Ports: ports, Controllers: da.caller.Control, IsFirst: true, Cloud: da.cloud.Address(),
			Grace: nodePatience, Window: nodeWindow, Lease: nodePatience,
		}
		if role != program.RoleGateway {
			bo.DataFolder = filepath.Join(folder, ip)
		}
		b, err := bo.Encode()
		if err != nil {
			return err
		}
		nd, err := program.StartNode(role, func() (*settings.Node, error) { return platform.DecodeBoot(b) }, logging.Discard(), nil)
		if err == nil {
			da.nodes = append(da.nodes, nd)
		}

		return err
	}
	errs := []error{add(program.RoleGateway, da.gateway)}
	for i, ip := range da.caller.Control {
		errs = append(errs, add(program.RoleController, ip), add(program.RoleStore, fmt.Sprintf("127.0.9.2%d", i+1)))
	}
	for i := range 5 {
		bs := standin.NewBackendServer(fmt.Sprintf("plain-%d", i), "plain")
		if i >= 2 {
			bs = standin.NewBackendServer(fmt.Sprintf("engine-%d", i), "engines", standin.Model)
		}
		errs = append(errs, bs.Start("127.0.0.1:0"))
		da.servers = append(da.servers, bs)
		da.wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				// An error is ignored: a controller that is not ready yet receives a later heartbeat.
				_ = bs.Beat(fmt.Sprintf("%s:%d", da.caller.Control[i%len(da.caller.Control)], ports.Control))
				time.Sleep(nodePoll)
			}
		})
	}

	return errors.Join(errs...)
}

// until calls f until it returns nil or the time that a start may take has passed.
func until(ctx context.Context, f func() error) error {
	ctx, cancel := context.WithTimeout(ctx, nodeReady)
	defer cancel()

	return deployment.Until(ctx, f)
}

// lookup sends one lookup and checks its response.
func (da *nodeDay) lookup(ctx context.Context, id string) error {
	an, err := da.caller.Lookup(ctx, da.gateway, id, false)
	switch {
	case err != nil:
		return err
	case an.Status != http.StatusOK || string(an.Body) != standin.LookupAnswer(id):
		return fmt.Errorf("lookup %s: response with status %d and body %q", id, an.Status, an.Body)
	}

	return nil
}

// serve sends lookups and batch jobs while the configuration and the weights change.
func (da *nodeDay) serve(ctx context.Context) error {
	began := time.Now()
	if err := until(ctx, func() error { return da.caller.Configure(ctx, 1) }); err != nil {
		return fmt.Errorf("apply the first configuration: %w", err)
	}
	if err := until(ctx, func() error { return da.lookup(ctx, "first") }); err != nil {
		return err
	}
	fmt.Fprintf(da.out, "7 nodes are serving %.1f s after their start\n", time.Since(began).Seconds())
	for i := range nodeLookups {
		if i == nodeLookups/2 {
			if err := until(ctx, func() error { return da.caller.Configure(ctx, 2) }); err != nil {
				return fmt.Errorf("apply the second configuration: %w", err)
			}
		}
		if err := da.lookup(ctx, fmt.Sprintf("lookup-%d", i)); err != nil {
			return err
		}
	}
	fmt.Fprintf(da.out, "%d lookups served while the configuration changed\n", nodeLookups)
	for i := range nodeJobs {
		if err := until(ctx, func() error { return da.caller.NameVersion(ctx, uint64(i+2)) }); err != nil {
			return fmt.Errorf("name weight version %d: %w", i+2, err)
		}
		if err := da.job(ctx, fmt.Sprintf("job-%d", i)); err != nil {
			return err
		}
	}
	fmt.Fprintf(da.out, "%d batch jobs of %d items complete, each with its full text and score, while versions 2 to %d were named\n", nodeJobs, nodeItems, nodeJobs+1)
	err := until(ctx, func() error {
		for _, bs := range da.servers[2:] {
			if v := bs.Versions()[standin.Model]; v != nodeJobs+1 {
				return fmt.Errorf("engine %s has weight version %d loaded", bs.ID, v)
			}
		}

		return nil
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(da.out, "all engines have weight version %d loaded\n", nodeJobs+1)

	return until(ctx, func() error {
		if n := da.cloud.Reported(); n < nodeLookups {
			return fmt.Errorf("usage reports contain %d of %d requests", n, nodeLookups)
		}

		return nil
	})
}

// job submits a job twice, as after a lost response, reads its results and finishes it.
func (da *nodeDay) job(ctx context.Context, id string) error {
	for range 2 {
		an, err := da.caller.Submit(ctx, da.gateway, id, nodeItems, nodeEvents)
		if err != nil || an.Status != http.StatusAccepted {
			return errors.Join(fmt.Errorf("submit job %s: status %d", id, an.Status), err)
		}
	}
	err := until(ctx, func() error {
		pa, status, err := da.caller.Read(ctx, da.gateway, id)
		if err != nil || status != http.StatusOK || len(pa.Results) < nodeItems {
			return errors.Join(fmt.Errorf("read job %s: status %d, %d results", id, status, len(pa.Results)), err)
		}
		for i := range pa.Results {
			if err := pa.Results[i].Check(nodeEvents); err != nil {
				return err
			}
		}

		return nil
	})
	if err != nil {
		return err
	}
	_, err = da.caller.Finish(ctx, da.gateway, id)

	return err
}

// check compares what was requested with what the backend servers and the platform's
// interface for duties received.
func (da *nodeDay) check() error {
	runs, keys := map[string]int{}, 0
	holders := map[uint64]string{}
	var broken []error
	for _, bs := range da.servers {
		for id, n := range bs.Runs() {
			runs[id] += n
		}
		keys += bs.Keys()
		for _, or := range bs.AllOrders() {
			if old := holders[or.Fencing]; old != "" && old != or.Holder {
				broken = append(broken, fmt.Errorf("%s and %s both sent orders with fencing number %d", old, or.Holder, or.Fencing))
			}
			holders[or.Fencing] = or.Holder
		}
	}
	for i := range nodeLookups {
		if n := runs[fmt.Sprintf("lookup-%d", i)]; n < 1 {
			broken = append(broken, fmt.Errorf("lookup %d was answered but ran %d times", i, n))
		}
	}
	for j := range nodeJobs {
		for i := range nodeItems {
			if n := runs[standin.ItemID(fmt.Sprintf("job-%d", j), i)]; n < 1 {
				broken = append(broken, fmt.Errorf("item %d of job %d has a text but ran %d times", i, j, n))
			}
		}
	}
	if keys > 0 {
		broken = append(broken, fmt.Errorf("%d requests with a client's key reached a backend server", keys))
	}
	for _, s := range da.cloud.Problems() {
		broken = append(broken, errors.New(s))
	}
	if len(broken) == 0 {
		fmt.Fprintln(da.out, "every response came from a backend server, no key was forwarded, each fencing number had one sender of orders, each usage window one figure")
	}

	return errors.Join(broken...)
}

func (da *nodeDay) close() {
	for _, nd := range da.nodes {
		nd.Kill()
		<-nd.Done()
	}
	for _, bs := range da.servers {
		bs.Stop()
	}
	if da.cloud != nil {
		da.cloud.Stop()
	}
	da.wg.Wait()
}
