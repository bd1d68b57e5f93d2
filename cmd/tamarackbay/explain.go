package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/tamarackbay/tamarackbay/internal/explain"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

const explainUsage = `Show the timeline of a request, item or batch job from the logs.

The logs of several processes are merged by time. Besides the lines that name the ID,
the timeline has the lines about configuration, weight versions and leadership of the
processes involved, and about the state of the backend servers that were used.

Example:
  tamarackbay explain 9c41d07be2a35f68 --logs gateway.log --logs store.log`

func addExplain(app *kingpin.Application) []command {
	c := app.Command("explain", explainUsage)
	id := c.Arg("id", "ID of the request, item, score or batch job.").Required().String()
	files := c.Flag("logs", "Log file of one or more processes; may be repeated.").Required().ExistingFiles()

	return []command{{c, func() error {
		var all []explain.Line
		for _, name := range *files {
			lines, skipped, err := readLog(name)
			if err != nil {
				return err
			}
			if skipped > 0 {
				fmt.Fprintf(os.Stderr, "%s: skipped %d lines that are not log lines\n", name, skipped)
			}
			all = append(all, lines...)
		}
		timeline := explain.Timeline(all, *id)
		if len(timeline) == 0 {
			return result.New(result.UnknownObject, "explain: none of %d log lines names the ID %q", len(all), *id)
		}

		return explain.Write(os.Stdout, timeline)
	}}}
}

func readLog(name string) ([]explain.Line, int, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, 0, result.New(result.InvalidSettings, "explain: %v", err)
	}
	defer f.Close()

	return explain.Read(f)
}
