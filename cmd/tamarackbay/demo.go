package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/tamarackbay/tamarackbay/internal/demo"
)

const demoUsage = `Run a whole deployment on this machine, under a minute.

Three gateways, agents and small stand-ins of the outside systems run in this
process. A trainer runs steps while its weights change, a gateway is killed and an
engine crashes. It ends with the five measures and a line for each promise; the
exit code is 1 if one was broken.

Examples:
  tamarackbay demo
  tamarackbay demo --deployment cedarwick`

func addDemo(app *kingpin.Application) []command {
	c := app.Command("demo", demoUsage)
	name := c.Flag("deployment", "consortium or cedarwick.").Default("consortium").Enum("consortium", "cedarwick")

	return []command{{c, func() error {
		return demo.Run(context.Background(), demo.Config{Deployment: *name, Out: os.Stdout})
	}}}
}
