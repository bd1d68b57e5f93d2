// Command tamarackbay contains the gateway, the agent, the nodes of a platform, the
// operators' tools and the demo of the rollout service.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes of every subcommand.
const (
	exitFailed   = 1 // the subcommand failed; the reason is on standard error
	exitUsage    = 2 // the command line is invalid
	exitRefused  = 3 // a gateway refused the request with a numbered code
	exitDiffers  = 4 // ctl diff found differences
	exitSettings = 5 // the settings or declarations are invalid
)

// version is set by the linker in releases.
var version = "0.1.0-dev"

// command is a subcommand and the function that runs it.
type command struct {
	clause *kingpin.CmdClause
	run    func() error
}

func main() {
	app := kingpin.New("tamarackbay", usage)
	app.Version(version)
	app.HelpFlag.Short('h')
	app.UsageTemplate(kingpin.CompactUsageTemplate)

	var commands []command
	for _, add := range []func(*kingpin.Application) []command{
		addGateway, addAgent, addNode, addNodes, addExplain, addCtl, addDemo, addFake, addSettings, addCapacity, addExperiment, addCodes, addVersion,
	} {
		commands = append(commands, add(app)...)
	}

	name, err := app.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "tamarackbay: %v; try --help\n", err)
		os.Exit(exitUsage)
	}
	for _, c := range commands {
		if c.clause.FullCommand() == name {
			os.Exit(exitCode(c.run()))
		}
	}
}

const usage = `tamarackbay serves rollouts for reinforcement learning.

A gateway on an entry VM serves callers and trainers, an agent runs next to each
backend server, and operators change the versioned configuration with ctl.

Exit codes: 0 success, 1 failed, 2 invalid command line, 3 refused with a numbered
code, 4 differences found, 5 invalid settings or declarations.

Examples:
  tamarackbay demo
  tamarackbay gateway --settings gateway.jsonc
  tamarackbay ctl apply --folder examples/consortium`
