package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/tamarackbay/tamarackbay/internal/explain"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

const explainUsage = `Tell the course of a request, item or batch job from the logs.

The logs of several processes are joined by time. Between the lines that name the
ID stand those that say what its processes came to believe, and what became of the
backend servers that it met.

Example:
  tamarackbay explain 9c41d07be2a35f68 --logs gateway.log --logs store.log`

func addExplain(app *kingpin.Application) []command {
	c := app.Command("explain", explainUsage)
	id := c.Arg("id", "ID of the request, item, score or batch job.").Required().String()
	files := c.Flag("logs", "Log file of one or more processes; may be given again.").Required().ExistingFiles()

	return []command{{c, func() error {
		var all []explain.Line
		for _, name := range *files {
			lines, skipped, err := readLog(name)
			if err != nil {
				return err
			}
			if skipped > 0 {
				fmt.Fprintf(os.Stderr, "%s: %d lines are no log lines\n", name, skipped)
			}
			all = append(all, lines...)
		}
		course := explain.Course(all, *id)
		if len(course) == 0 {
			return result.New(result.UnknownObject, "explain: no line of %d names %q", len(all), *id)
		}

		return explain.Write(os.Stdout, course)
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
