package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/settings"
	"github.com/tamarackbay/tamarackbay/platform"
)

const settingsUsage = `Check a settings file, or describe every key with its default.

The settings file of a node is written by the platform.

Examples:
  tamarackbay settings explain gateway
  tamarackbay settings check gateway gateway.jsonc
  tamarackbay settings check node boot.json`

func addSettings(app *kingpin.Application) []command {
	c := app.Command("settings", settingsUsage)
	explain := c.Command("explain", "Print every key with its type, meaning and default.")
	explainOf := explain.Arg("program", "Program: gateway or agent.").Required().Enum("gateway", "agent")
	check := c.Command("check", "Check a settings file; errors name the line and the key.")
	checkOf := check.Arg("program", "Program: gateway, agent or node.").Required().Enum("gateway", "agent", "node")
	path := check.Arg("file", "Settings file to check.").Required().String()

	return []command{
		{explain, func() error {
			if *explainOf == "agent" {
				settings.WriteReference(os.Stdout, &settings.Agent{})
			} else {
				settings.WriteReference(os.Stdout, &settings.Gateway{})
			}

			return nil
		}},
		{check, func() error {
			if *checkOf == "node" {
				return checkNode(*path)
			}
			var v interface{ Validate() error } = &settings.Gateway{}
			if *checkOf == "agent" {
				v = &settings.Agent{}
			}
			if err := settings.Load(*path, v); err != nil {
				return err
			}
			fmt.Println("valid")

			return nil
		}},
	}
}

// checkNode checks a platform's settings file and prints a summary of the node's settings.
func checkNode(path string) error {
	no, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	fmt.Printf("valid: node %s in %s, %d controllers, tolerates the loss of %d VMs", no.Name, no.FailureDomain, len(no.Controllers), no.ToleratedFailures)
	if no.DataFolder == "" {
		fmt.Print(", no data folder: can only run as a gateway")
	}
	fmt.Println()

	return nil
}

func addCodes(app *kingpin.Application) []command {
	c := app.Command("codes", "Print the table of result codes.")

	return []command{{c, func() error {
		result.WriteTable(os.Stdout)

		return nil
	}}}
}

func addVersion(app *kingpin.Application) []command {
	c := app.Command("version", "Print the version.")

	return []command{{c, func() error {
		fmt.Println("tamarackbay", version)

		return nil
	}}}
}
