package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/tamarackbay/tamarackbay/internal/capacity"
)

const capacityUsage = `Measure the capacity of each component, or write docs/CAPACITY.md from a report.

The measurement takes about two minutes. It uses only loopback addresses and
temporary folders.

Examples:
  tamarackbay capacity measure --file docs/capacity.json
  tamarackbay capacity page --file docs/capacity.json > docs/CAPACITY.md

The recovery of a group by the size of its ledger takes about a minute for each size:
  tamarackbay capacity recovery --size 10 --size 100 --file recovery.json`

func addCapacity(app *kingpin.Application) []command {
	c := app.Command("capacity", capacityUsage)
	measure := c.Command("measure", "Measure and write a report.")
	only := measure.Flag("only", "Measure only one component: configuration, ledgers, pool, calls, feed, partitions, path, commits, failOver or restart.").String()
	to := measure.Flag("file", "Report file to write.").Required().String()
	page := c.Command("page", "Write the page from a report to standard output.")
	from := page.Flag("file", "Report file to read.").Required().ExistingFile()
	recovery := c.Command("recovery", "Measure the recovery of a group from the loss of all power and of two disks.")
	sizes := recovery.Flag("size", "Size of the ledger in MB; may be given several times.").Default("10", "25", "50", "75", "100").Float64List()
	recoveryTo := recovery.Flag("file", "Report file to write.").Required().String()

	return []command{
		{measure, func() error {
			re, err := capacity.Measure(os.Stderr, *only)
			if err != nil {
				return err
			}

			return re.Save(*to)
		}},
		{page, func() error {
			re, err := capacity.ReadReport(*from)
			if err != nil {
				return err
			}

			return re.WritePage(os.Stdout)
		}},
		{recovery, func() error {
			re, err := capacity.MeasureRecovery(os.Stderr, *sizes)
			if err != nil {
				return err
			}
			if err := re.WriteText(os.Stdout); err != nil {
				return err
			}

			return re.Save(*recoveryTo)
		}},
	}
}
