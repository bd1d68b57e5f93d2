package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/tamarackbay/tamarackbay/internal/httpcall"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

const nodesUsage = `Show the state of a platform's nodes: configuration, leadership, jobs and items.

Each address is the metrics address of one node. If a node does not respond, the
error is shown in its line and the exit code is not 0.

Example:
  tamarackbay nodes 10.0.0.11:9464 10.0.0.21:9464`

// nodesTimeout bounds the request to one node, which normally takes milliseconds.
const nodesTimeout = 2 * time.Second

// nodeColumns lists the gauges that are shown and their headings.
var nodeColumns = []struct{ heading, gauge string }{
	{"CONFIG", "configuration_version"},
	{"AGE MS", "configuration_ageMs"},
	{"SERVERS", "servers_known"},
	{"LEADS", "group_leads"},
	{"TERM", "group_term"},
	{"VOTERS", "group_voters"},
	{"ELECTIONS", "group_elections"},
	{"APPLIED", "group_applied"},
	{"JOBS", "jobs_open"},
	{"WAITING", "items_waiting"},
	{"RUNNING", "items_running"},
	{"LINES LOST", "log_dropped"},
}

func addNodes(app *kingpin.Application) []command {
	c := app.Command("nodes", nodesUsage)
	addresses := c.Arg("address", "Metrics address of a node.").Required().Strings()

	return []command{{c, func() error {
		return showNodes(os.Stdout, *addresses, func(address string) (map[string]int64, error) {
			ctx, cancel := context.WithTimeout(context.Background(), nodesTimeout)
			defer cancel()

			return meter.Fetch(ctx, httpcall.NewClient("", false), address)
		})
	}}}
}

// showNodes writes one line per node. A dash stands for a gauge that a node does not have.
func showNodes(w io.Writer, addresses []string, read func(address string) (map[string]int64, error)) error {
	var failed []string
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(tw, "NODE")
	for _, co := range nodeColumns {
		fmt.Fprint(tw, "\t", co.heading)
	}
	fmt.Fprintln(tw)
	for _, a := range addresses {
		values, err := read(a)
		if err != nil {
			fmt.Fprintf(tw, "%s\t%v\n", a, err)
			failed = append(failed, a)

			continue
		}
		fmt.Fprint(tw, a)
		for _, co := range nodeColumns {
			if v, ok := values[co.gauge]; ok {
				fmt.Fprintf(tw, "\t%d", v)
			} else {
				fmt.Fprint(tw, "\t-")
			}
		}
		fmt.Fprintln(tw)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	if len(failed) > 0 {
		return result.New(result.BackendUnreachable, "nodes: no response from %s", strings.Join(failed, ", "))
	}

	return nil
}
