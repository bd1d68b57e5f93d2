package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/program"
	"github.com/tamarackbay/tamarackbay/internal/settings"
)

const gatewayUsage = `Serve callers, trainers and operators on an entry VM.

With a data folder in its settings the gateway is also a voter of the group that
replicates the state. SIGTERM or SIGINT terminates it gracefully: the health check
fails first, new requests are accepted until the balancer has removed the gateway,
and running requests finish.

Example:
  tamarackbay gateway --settings /etc/tamarackbay/gateway.jsonc`

func addGateway(app *kingpin.Application) []command {
	c := app.Command("gateway", gatewayUsage)
	path := c.Flag("settings", "Settings file, JSON with comments.").Required().String()

	return []command{{c, func() error {
		var se settings.Gateway
		if err := settings.Load(*path, &se); err != nil {
			return err
		}
		debug.SetMemoryLimit(program.SoftMemoryLimit(int64(se.MemoryMB) << 20))
		pg, err := program.StartGateway(se, logging.New(os.Stderr, se.LogLevel, "gateway", se.Name))
		if err != nil {
			return err
		}

		sig := stopSignals()
		select {
		case <-sig:
			pg.Shutdown()
		case <-pg.Done():
		}

		return pg.Err()
	}}}
}

// stopSignals returns a channel that receives SIGTERM and SIGINT.
func stopSignals() <-chan os.Signal {
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT)

	return sig
}
