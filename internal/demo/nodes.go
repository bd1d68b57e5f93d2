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
	nodeLookups         = 100
	nodeJobs            = 4
	nodeItems           = 16                    // per job
	nodeEvents          = 20                    // per item
	nodeUsageWindow     = 2 * time.Second       // length of a usage window
	nodeRetryTimeout    = 20 * time.Second      // bounds retried operations, among them the start of the nodes
	nodeTimeout         = 5 * time.Second       // timeout of a call, stop grace period and lease
	nodeHeartbeatPeriod = 50 * time.Millisecond // period of the heartbeats of backend servers
)

// nodeRun is a run without faults of the nodes of a platform, all in this process.
type nodeRun struct {
	out     io.Writer
	caller  *standin.Caller
	usage   *standin.UsageInterface
	nodes   []*program.Node
	servers []*standin.BackendServer
	gateway string
	wg      sync.WaitGroup
}

// RunPlatform starts three controllers, three stores and a gateway on loopback addresses
// against a stand-in for the platform, serves lookups and batch jobs while the
// configuration and the weights change, and checks what the stand-in received.
func RunPlatform(ctx context.Context, out io.Writer) error {
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
	nr := &nodeRun{out: out, gateway: "127.0.9.31"}
	defer nr.close()
	defer cancel()
	if err := nr.start(ctx, folder); err != nil {
		return err
	}
	if err := nr.runLoad(ctx); err != nil {
		return err
	}

	return nr.check()
}

// start starts the stand-in for the platform, the nodes and the backend servers.
func (nr *nodeRun) start(ctx context.Context, folder string) error {
	ports, err := standin.FreePorts()
	if err != nil {
		return err
	}
	if nr.usage, err = standin.StartUsageInterface(); err != nil {
		return err
	}
	nr.caller = &standin.Caller{Ports: ports, Timeout: nodeTimeout, ControllerIPs: []string{"127.0.9.11", "127.0.9.12", "127.0.9.13"}}
	add := func(role, ip string) error {
		ns := standin.NodeSettings{
			Name: role + "-" + ip, IP: ip, Ports: ports, Controllers: nr.caller.ControllerIPs, IsFirst: true, UsageAddress: nr.usage.Address(),
			Grace: nodeTimeout, Window: nodeUsageWindow, Lease: nodeTimeout,
		}
		if role != program.RoleGateway {
			ns.DataFolder = filepath.Join(folder, ip)
		}
		b, err := ns.Encode()
		if err != nil {
			return err
		}
		nd, err := program.StartNode(role, func() (*settings.Node, error) { return platform.DecodeSettings(b) }, logging.Discard(), nil)
		if err == nil {
			nr.nodes = append(nr.nodes, nd)
		}

		return err
	}
	errs := []error{add(program.RoleGateway, nr.gateway)}
	for i, ip := range nr.caller.ControllerIPs {
		errs = append(errs, add(program.RoleController, ip), add(program.RoleStore, fmt.Sprintf("127.0.9.2%d", i+1)))
	}
	for i := range 5 {
		bs := standin.NewBackendServer(fmt.Sprintf("plain-%d", i), "plain")
		if i >= 2 {
			bs = standin.NewBackendServer(fmt.Sprintf("engine-%d", i), "engines", standin.Model)
		}
		errs = append(errs, bs.Start("127.0.0.1:0"))
		nr.servers = append(nr.servers, bs)
		nr.wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				// An error is ignored: a controller that is not ready yet receives a later heartbeat.
				_ = bs.SendHeartbeat(fmt.Sprintf("%s:%d", nr.caller.ControllerIPs[i%len(nr.caller.ControllerIPs)], ports.Control))
				time.Sleep(nodeHeartbeatPeriod)
			}
		})
	}

	return errors.Join(errs...)
}

// retryUntil calls f until it returns nil or nodeRetryTimeout has passed.
func retryUntil(ctx context.Context, f func() error) error {
	ctx, cancel := context.WithTimeout(ctx, nodeRetryTimeout)
	defer cancel()

	return deployment.RetryUntil(ctx, f)
}

// lookup sends one lookup and checks its response.
func (nr *nodeRun) lookup(ctx context.Context, id string) error {
	an, err := nr.caller.Lookup(ctx, nr.gateway, id, false)
	switch {
	case err != nil:
		return err
	case an.Status != http.StatusOK || string(an.Body) != standin.LookupAnswer(id):
		return fmt.Errorf("lookup %s: response with status %d and body %q", id, an.Status, an.Body)
	}

	return nil
}

// runLoad sends lookups and batch jobs while the configuration and the weights change.
func (nr *nodeRun) runLoad(ctx context.Context) error {
	began := time.Now()
	if err := retryUntil(ctx, func() error { return nr.caller.Configure(ctx, 1) }); err != nil {
		return fmt.Errorf("apply the first configuration: %w", err)
	}
	if err := retryUntil(ctx, func() error { return nr.lookup(ctx, "first") }); err != nil {
		return err
	}
	fmt.Fprintf(nr.out, "7 nodes are serving %.1f s after their start\n", time.Since(began).Seconds())
	for i := range nodeLookups {
		if i == nodeLookups/2 {
			if err := retryUntil(ctx, func() error { return nr.caller.Configure(ctx, 2) }); err != nil {
				return fmt.Errorf("apply the second configuration: %w", err)
			}
		}
		if err := nr.lookup(ctx, fmt.Sprintf("lookup-%d", i)); err != nil {
			return err
		}
	}
	fmt.Fprintf(nr.out, "%d lookups served while the configuration changed\n", nodeLookups)
	for i := range nodeJobs {
		if err := retryUntil(ctx, func() error { return nr.caller.NameVersion(ctx, uint64(i+2)) }); err != nil {
			return fmt.Errorf("name weight version %d: %w", i+2, err)
		}
		if err := nr.runJob(ctx, fmt.Sprintf("job-%d", i)); err != nil {
			return err
		}
	}
	fmt.Fprintf(nr.out, "%d batch jobs of %d items complete, each with its full text and score, while versions 2 to %d were named\n", nodeJobs, nodeItems, nodeJobs+1)
	err := retryUntil(ctx, func() error {
		for _, bs := range nr.servers[2:] {
			if v := bs.Versions()[standin.Model]; v != nodeJobs+1 {
				return fmt.Errorf("engine %s has weight version %d loaded", bs.ID, v)
			}
		}

		return nil
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(nr.out, "all engines have weight version %d loaded\n", nodeJobs+1)

	return retryUntil(ctx, func() error {
		if n := nr.usage.Reported(); n < nodeLookups {
			return fmt.Errorf("usage reports contain %d of %d requests", n, nodeLookups)
		}

		return nil
	})
}

// runJob submits a job twice, as after a lost response, reads its results and finishes it.
func (nr *nodeRun) runJob(ctx context.Context, id string) error {
	for range 2 {
		an, err := nr.caller.Submit(ctx, nr.gateway, id, nodeItems, nodeEvents)
		if err != nil || an.Status != http.StatusAccepted {
			return errors.Join(fmt.Errorf("submit job %s: status %d", id, an.Status), err)
		}
	}
	err := retryUntil(ctx, func() error {
		pa, status, err := nr.caller.Read(ctx, nr.gateway, id)
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
	_, err = nr.caller.Finish(ctx, nr.gateway, id)

	return err
}

// check compares what was requested with what the backend servers and the platform's
// usage interface received.
func (nr *nodeRun) check() error {
	runs, keys := map[string]int{}, 0
	holders := map[uint64]string{}
	var broken []error
	for _, bs := range nr.servers {
		for id, n := range bs.Runs() {
			runs[id] += n
		}
		keys += bs.RequestsWithKey()
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
	for _, s := range nr.usage.Problems() {
		broken = append(broken, errors.New(s))
	}
	if len(broken) == 0 {
		fmt.Fprintln(nr.out, "every response came from a backend server, no key was forwarded, each fencing number had one sender of orders, each usage window one figure")
	}

	return errors.Join(broken...)
}

func (nr *nodeRun) close() {
	for _, nd := range nr.nodes {
		nd.Kill()
		<-nd.Done()
	}
	for _, bs := range nr.servers {
		bs.Stop()
	}
	if nr.usage != nil {
		nr.usage.Stop()
	}
	nr.wg.Wait()
}
