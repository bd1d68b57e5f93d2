package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/tamarackbay/tamarackbay/internal/demo"
)

const demoUsage = `Run a complete deployment on this machine in less than a minute.

Three gateways, agents and small stand-ins for the external systems run in this
process. A trainer runs steps while its weights change, a gateway is killed and an
engine crashes. The demo prints the five measures and a line for each promise; the
exit code is 1 if a promise was broken.

With the deployment "platform", controllers, stores and a gateway serve a load without
faults through the interfaces of the users' platform, against a stand-in for it.

Examples:
  tamarackbay demo
  tamarackbay demo --deployment cedarwick
  tamarackbay demo --deployment platform`

func addDemo(app *kingpin.Application) []command {
	c := app.Command("demo", demoUsage)
	name := c.Flag("deployment", "Deployment to run: consortium, cedarwick or platform.").Default("consortium").Enum("consortium", "cedarwick", "platform")

	return []command{{c, func() error {
		if *name == "platform" {
			return demo.RunPlatform(context.Background(), os.Stdout)
		}

		return demo.Run(context.Background(), demo.Config{Deployment: *name, Out: os.Stdout})
	}}}
}
