package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/program"
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
	level := c.Flag("log-level", "Lowest level that is logged: debug, info, warn or error.").Default("info").String()

	return []command{{c, func() error {
		ring := logging.NewRing(os.Stdout)
		defer ring.Close()
		lo := logging.NewWith(ring, *level, "tamarackbay", *role)
		nd, err := program.StartNode(*role, platform.LoadBoot, lo)
		if err != nil {
			lo.WithError(err).Error("not started")

			return err
		}

		sig := make(chan os.Signal, 1)
		signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
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
	}}}
}
