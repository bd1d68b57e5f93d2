package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/program"
	"github.com/tamarackbay/tamarackbay/internal/settings"
	"github.com/tamarackbay/tamarackbay/platform"
)

const nodeUsage = `Run one process of a deployment that is started by a platform.

The platform passes the path of the settings file in the environment. A gateway
serves clients at the edge, a controller holds configuration, weight versions and
leases, a store holds batch jobs and dispatches their items to backend servers.
SIGTERM terminates the process gracefully, SIGHUP reloads the settings. Logs are JSON
lines on standard output.

Example:
  tamarackbay node gateway`

func addNode(app *kingpin.Application) []command {
	c := app.Command("node", nodeUsage)
	role := c.Arg("role", "Role of the process: gateway, controller or store.").Required().Enum(program.RoleGateway, program.RoleController, program.RoleStore)
	peerListen := c.Flag("peer-listen", "Address to listen on for the deployment's other processes, if a forwarder listens on the address that they dial.").
		PlaceHolder("HOST:PORT").String()
	level := c.Flag("log-level", "Lowest level that is logged: debug, info, warn or error.").Default("info").String()

	return []command{{c, func() error {
		ah := logging.NewAsyncHandler(os.Stdout)
		defer ah.Close()

		return runNode(*role, *peerListen, logging.NewWithHandler(ah, *level, "tamarackbay", *role), ah.Dropped)
	}}}
}

// runNode runs the process of a role until a stop signal has been handled or it fails for good.
func runNode(role, peerListen string, lo log.Interface, dropped func() int64) error {
	// Registered before the start, so that a signal received meanwhile is queued.
	sig := make(chan os.Signal, 4)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	signal.Ignore(syscall.SIGXFSZ) // a write over the file size limit fails like on a full disk
	readSettings := func() (*settings.Node, error) {
		no, err := platform.LoadSettings()
		if err != nil {
			return nil, err
		}
		no.PeerListen = peerListen

		return no, nil
	}

	return program.RunNode(func() (*program.Node, error) {
		nd, err := program.StartNode(role, readSettings, lo, dropped)
		if err != nil {
			lo.WithError(err).Error("node could not be started")
		}

		return nd, err
	}, sig, lo)
}
