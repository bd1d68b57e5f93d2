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

// The size of the calm day on a platform: enough for every path.
const (
	nodeLookups  = 100
	nodeJobs     = 4
	nodeItems    = 16
	nodeEvents   = 20
	nodeWindow   = 2 * time.Second // of usage
	nodeReady    = 20 * time.Second
	nodePatience = 5 * time.Second
	nodePoll     = 50 * time.Millisecond
)

// nodeDay is a calm day of the programs of a platform, in this process.
type nodeDay struct {
	out     io.Writer
	caller  *standin.Caller
	cloud   *standin.Cloud
	nodes   []*program.Node
	servers []*standin.BackendServer
	gateway string
	wg      sync.WaitGroup
}

// RunNodes starts three controllers, three stores and a gateway on loopback numbers
// against a stand-in of the platform, serves lookups and batch jobs while the
// configuration and the weights change, and checks what the stand-in saw.
func RunNodes(ctx context.Context, out io.Writer) error {
	folder, err := os.MkdirTemp("", "tamarackbay-demo-")
	if err != nil {
		return err
	}
	defer func() {
		if err := os.RemoveAll(folder); err != nil {
			fmt.Fprintf(out, "%s is left behind: %v\n", folder, err)
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
				// One that is not ready yet is told with the next heartbeat.
				_ = bs.Beat(fmt.Sprintf("%s:%d", da.caller.Control[i%len(da.caller.Control)], ports.Control))
				time.Sleep(nodePoll)
			}
		})
	}

	return errors.Join(errs...)
}

// until calls f until it has nothing to complain of, as long as a start may take.
func until(ctx context.Context, f func() error) error {
	ctx, cancel := context.WithTimeout(ctx, nodeReady)
	defer cancel()

	return deployment.Until(ctx, f)
}

func (da *nodeDay) lookup(ctx context.Context, id string) error {
	an, err := da.caller.Lookup(ctx, da.gateway, id, false)
	switch {
	case err != nil:
		return err
	case an.Status != http.StatusOK || string(an.Body) != standin.LookupAnswer(id):
		return fmt.Errorf("lookup %s: status %d, %q", id, an.Status, an.Body)
	}

	return nil
}

// serve plays the day.
func (da *nodeDay) serve(ctx context.Context) error {
	began := time.Now()
	if err := until(ctx, func() error { return da.caller.Configure(ctx, 1) }); err != nil {
		return fmt.Errorf("first configuration: %w", err)
	}
	if err := until(ctx, func() error { return da.lookup(ctx, "first") }); err != nil {
		return err
	}
	fmt.Fprintf(da.out, "7 programs serve %.1f s after their start\n", time.Since(began).Seconds())
	for i := range nodeLookups {
		if i == nodeLookups/2 {
			if err := until(ctx, func() error { return da.caller.Configure(ctx, 2) }); err != nil {
				return fmt.Errorf("second configuration: %w", err)
			}
		}
		if err := da.lookup(ctx, fmt.Sprintf("lookup-%d", i)); err != nil {
			return err
		}
	}
	fmt.Fprintf(da.out, "%d lookups served while the configuration changed\n", nodeLookups)
	for i := range nodeJobs {
		if err := until(ctx, func() error { return da.caller.NameVersion(ctx, uint64(i+2)) }); err != nil {
			return fmt.Errorf("version %d: %w", i+2, err)
		}
		if err := da.job(ctx, fmt.Sprintf("job-%d", i)); err != nil {
			return err
		}
	}
	fmt.Fprintf(da.out, "%d batch jobs of %d items complete, each text whole and scored, while versions 2 to %d were named\n", nodeJobs, nodeItems, nodeJobs+1)
	err := until(ctx, func() error {
		for _, bs := range da.servers[2:] {
			if v := bs.Versions()[standin.Model]; v != nodeJobs+1 {
				return fmt.Errorf("engine %s holds version %d", bs.ID, v)
			}
		}

		return nil
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(da.out, "all engines hold version %d\n", nodeJobs+1)

	return until(ctx, func() error {
		if n := da.cloud.Reported(); n < nodeLookups {
			return fmt.Errorf("%d of %d requests are in reports of usage", n, nodeLookups)
		}

		return nil
	})
}

// job submits a job twice and reads it to its end.
func (da *nodeDay) job(ctx context.Context, id string) error {
	for range 2 {
		an, err := da.caller.Submit(ctx, da.gateway, id, nodeItems, nodeEvents)
		if err != nil || an.Status != http.StatusAccepted {
			return errors.Join(fmt.Errorf("job %s: status %d", id, an.Status), err)
		}
	}
	err := until(ctx, func() error {
		pa, status, err := da.caller.Read(ctx, da.gateway, id)
		if err != nil || status != http.StatusOK || len(pa.Results) < nodeItems {
			return errors.Join(fmt.Errorf("job %s: status %d, %d results", id, status, len(pa.Results)), err)
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

// check compares what was asked with what the backend servers and the interface of
// duties saw.
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
				broken = append(broken, fmt.Errorf("%s and %s gave orders under the fencing number %d", old, or.Holder, or.Fencing))
			}
			holders[or.Fencing] = or.Holder
		}
	}
	for i := range nodeLookups {
		if n := runs[fmt.Sprintf("lookup-%d", i)]; n < 1 {
			broken = append(broken, fmt.Errorf("lookup %d was answered and ran %d times", i, n))
		}
	}
	for j := range nodeJobs {
		for i := range nodeItems {
			if n := runs[standin.ItemID(fmt.Sprintf("job-%d", j), i)]; n < 1 {
				broken = append(broken, fmt.Errorf("item %d of job %d has a text and ran %d times", i, j, n))
			}
		}
	}
	if keys > 0 {
		broken = append(broken, fmt.Errorf("%d keys of clients were passed on", keys))
	}
	for _, s := range da.cloud.Problems() {
		broken = append(broken, errors.New(s))
	}
	if len(broken) == 0 {
		fmt.Fprintln(da.out, "every answer came from a backend server, no key was passed on, one giver of orders, one figure a window")
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
