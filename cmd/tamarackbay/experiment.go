package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/tamarackbay/tamarackbay/internal/experiment"
)

const experimentUsage = `Compare the policy with plain baselines under the same load and faults.

Each run starts gateways, agents and stand-ins on loopback, a trainer, callers, one
workspace that asks for ten times its share, and a fault script. The table holds the
median of the repetitions with the lowest and highest value.

Examples:
  tamarackbay experiment --workload consortium
  tamarackbay experiment --spending --duration 30s
  tamarackbay experiment --overload --duration 5s
  tamarackbay experiment --policy current --policy noFairness --repetitions 5`

func addExperiment(app *kingpin.Application) []command {
	c := app.Command("experiment", experimentUsage)
	var cfg experiment.Config
	c.Flag("workload", "consortium or cedarwick.").Default("consortium").EnumVar(&cfg.Workload, "consortium", "cedarwick")
	c.Flag("duration", "Time of one run.").Default("10s").DurationVar(&cfg.Duration)
	c.Flag("repetitions", "Runs of each policy.").Default("3").IntVar(&cfg.Repetitions)
	c.Flag("policy", "Policy to run, all by default; may be repeated.").StringsVar(&cfg.Policies)
	spending := c.Flag("spending", "Compare the fleet's sizing over a day's load curve compressed to --duration.").Bool()
	overload := c.Flag("overload", "Serve lookups beside previews at capacity and at twice it.").Bool()
	plotFile := c.Flag("plot", "PNG or SVG file to write.").String()

	return []command{{c, func() error {
		cfg.Out = os.Stderr
		if *spending {
			all, err := experiment.RunSpending(context.Background(), cfg.Duration, cfg.Repetitions, os.Stderr)
			if err == nil {
				experiment.WriteSpending(os.Stdout, all)
			}

			return err
		}
		if *overload {
			loads, err := experiment.RunOverload(context.Background(), cfg.Duration, os.Stderr)
			if err == nil {
				experiment.WriteOverload(os.Stdout, loads)
			}

			return err
		}
		ocs, err := experiment.Run(context.Background(), cfg)
		if err != nil {
			return err
		}
		experiment.WriteTable(os.Stdout, ocs)
		if *plotFile == "" {
			return nil
		}

		return experiment.Plot(*plotFile, ocs)
	}}}
}
