package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/program"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/settings"
	"github.com/tamarackbay/tamarackbay/platform"
)

const nodeUsage = `Run one process of a deployment that a platform starts.

The platform names the settings file in the environment. A gateway serves clients
at the edge, a controller holds configuration, weight versions and leases, a store
holds batch jobs and drives their items. SIGTERM ends it gracefully, SIGHUP reads
the settings anew. Logs are JSON lines on standard output.

Example:
  tamarackbay node gateway`

func addNode(app *kingpin.Application) []command {
	c := app.Command("node", nodeUsage)
	role := c.Arg("role", "gateway, controller or store.").Required().Enum(program.RoleGateway, program.RoleController, program.RoleStore)
	peerListen := c.Flag("peer-listen", "Address to listen on for own processes, where a forwarder stands at the one they are told.").
		PlaceHolder("HOST:PORT").String()
	level := c.Flag("log-level", "Lowest level that is logged: debug, info, warn or error.").Default("info").String()

	return []command{{c, func() error {
		ring := logging.NewRing(os.Stdout)
		defer ring.Close()
		err := runNode(*role, *peerListen, logging.NewWith(ring, *level, "tamarackbay", *role), ring.Dropped)
		if result.Is(err, result.DataFolderWrite) {
			time.Sleep(diskPause)
		}

		return err
	}}}
}

// diskPause is kept before the end of a process whose disk takes no bytes: it is
// started again at once, and meets the same disk.
const diskPause = time.Second

func runNode(role, peerListen string, lo log.Interface, dropped func() int64) error {
	// Taken over first: a signal that comes while the process starts waits.
	sig := make(chan os.Signal, 4)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	nd, err := program.StartNode(role, func() (*settings.Node, error) {
		no, err := platform.LoadBoot()
		if err != nil {
			return nil, err
		}
		no.PeerListen = peerListen

		return no, nil
	}, lo, dropped)
	if err != nil {
		lo.WithError(err).Error("not started")

		return err
	}

	for {
		select {
		case s := <-sig:
			if s == syscall.SIGHUP {
				nd.Reload()

				continue
			}
			nd.Shutdown()
		case <-nd.Done():
		}

		return nd.Err()
	}
}
