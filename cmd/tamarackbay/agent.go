package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/program"
	"github.com/tamarackbay/tamarackbay/internal/settings"
)

const agentUsage = `Run the agent next to a backend server.

The agent announces the backend server to the gateways of its settings, forwards
requests to it, refuses orders with an old fencing number and counts usage. SIGTERM
or SIGINT drains it: new requests are refused and running ones finish.

Example:
  tamarackbay agent --settings /etc/tamarackbay/agent.jsonc`

func addAgent(app *kingpin.Application) []command {
	c := app.Command("agent", agentUsage)
	path := c.Flag("settings", "Settings file, JSON with comments.").Required().String()

	return []command{{c, func() error {
		var se settings.Agent
		if err := settings.Load(*path, &se); err != nil {
			return err
		}
		pa, err := program.StartAgent(se, logging.New(os.Stderr, se.LogLevel, "agent", se.Server))
		if err != nil {
			return err
		}
		<-stopSignals()
		pa.Shutdown()

		return nil
	}}}
}
