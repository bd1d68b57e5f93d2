package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/tamarackbay/tamarackbay/internal/experiment"
)

const experimentUsage = `Compare the current policy with simple baselines under the same load and faults.

Each run starts gateways, agents and stand-ins on loopback addresses, a trainer,
callers, one workspace that sends ten times its share, and a script of faults. The
table shows the median of the repetitions with the lowest and the highest value.

Examples:
  tamarackbay experiment --workload consortium
  tamarackbay experiment --spending --duration 30s
  tamarackbay experiment --overload --duration 5s
  tamarackbay experiment --placement --duration 60s
  tamarackbay experiment --policy current --policy noFairness --repetitions 5`

func addExperiment(app *kingpin.Application) []command {
	c := app.Command("experiment", experimentUsage)
	var cfg experiment.Config
	c.Flag("workload", "Workload to run: consortium or cedarwick.").Default("consortium").EnumVar(&cfg.Workload, "consortium", "cedarwick")
	c.Flag("duration", "Duration of one run.").Default("10s").DurationVar(&cfg.Duration)
	c.Flag("repetitions", "Number of runs of each policy.").Default("3").IntVar(&cfg.Repetitions)
	c.Flag("policy", "Policy to run; all by default; may be repeated.").StringsVar(&cfg.Policies)
	spending := c.Flag("spending", "Compare how the policies size the fleet over a day's load curve, compressed to --duration.").Bool()
	overload := c.Flag("overload", "Serve lookups together with previews, at capacity and at twice the capacity.").Bool()
	placement := c.Flag("placement", "Compare policies of placement in virtual time; --duration is virtual, too.").Bool()
	plotFile := c.Flag("plot", "PNG or SVG file to write the plot to.").String()

	return []command{{c, func() error {
		cfg.Out = os.Stderr
		if *spending {
			all, err := experiment.RunSpending(context.Background(), cfg.Duration, cfg.Repetitions, os.Stderr)
			if err == nil {
				experiment.WriteSpending(os.Stdout, all)
			}

			return err
		}
		if *placement {
			experiment.WritePlacement(os.Stdout, experiment.RunPlacement(cfg.Duration, os.Stderr))

			return nil
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
