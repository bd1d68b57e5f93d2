package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/settings"
	"github.com/tamarackbay/tamarackbay/platform"
)

const settingsUsage = `Check a settings file, or explain every key with its default.

A node's settings file is the one that a platform writes.

Examples:
  tamarackbay settings explain gateway
  tamarackbay settings check gateway gateway.jsonc
  tamarackbay settings check node boot.json`

func addSettings(app *kingpin.Application) []command {
	c := app.Command("settings", settingsUsage)
	explain := c.Command("explain", "Write every key with its type, meaning and default.")
	explainOf := explain.Arg("program", "gateway or agent.").Required().Enum("gateway", "agent")
	check := c.Command("check", "Check a settings file; mistakes name the line and the key.")
	checkOf := check.Arg("program", "gateway, agent or node.").Required().Enum("gateway", "agent", "node")
	path := check.Arg("file", "Settings file.").Required().String()

	return []command{
		{explain, func() error {
			if *explainOf == "agent" {
				settings.Explain(os.Stdout, &settings.Agent{})
			} else {
				settings.Explain(os.Stdout, &settings.Gateway{})
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

// checkNode checks a platform's settings file and says what a node takes from it.
func checkNode(path string) error {
	no, err := platform.ReadBoot(path)
	if err != nil {
		return err
	}
	fmt.Printf("valid: node %s in %s, %d controllers, bears the loss of %d VMs", no.Name, no.FailureDomain, len(no.Controllers), no.Losses)
	if no.DataFolder == "" {
		fmt.Print(", no disk: a gateway only")
	}
	fmt.Println()

	return nil
}

func addCodes(app *kingpin.Application) []command {
	c := app.Command("codes", "Write the table of result codes.")

	return []command{{c, func() error {
		result.WriteTable(os.Stdout)

		return nil
	}}}
}

func addVersion(app *kingpin.Application) []command {
	c := app.Command("version", "Write the version.")

	return []command{{c, func() error {
		fmt.Println("tamarackbay", version)

		return nil
	}}}
}
