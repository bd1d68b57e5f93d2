package meter

import (
	"fmt"
	"slices"
	"strings"
)

// Kinds of metrics.
const (
	KindCounter = "counter"
	KindGauge   = "gauge"
	KindTimer   = "histogram"
)

// Name describes a metric, or a family of them whose last part varies.
type Name struct {
	Name string // with a "*" for the part that varies
	Kind string
	Help string
}

// Names returns all metrics, in the order of the documentation.
func Names() []Name { return slices.Clone(names) }

var names = []Name{
	{"refused.*", KindCounter, "refusals by result code; every code of docs/codes.md has one, from 0"},
	{"request.*", KindCounter, "requests of clients by outcome: served, refused, failed, cut and the like"},
	{"request", KindTimer, "from the whole request to the end of its answer"},
	{"retry.*", KindCounter, "attempts made again, by the reason of the failure"},
	{"noRetry.*", KindCounter, "failures that were not tried again, by what forbade it: final, notRepeatable, attemptsSpent, deadline, budgetSpent"},
	{"queue.wait", KindTimer, "time in the queue of a gateway"},
	{"item.run.*", KindCounter, "runs of items of batch jobs, by outcome"},
	{"item.run", KindTimer, "one run of an item at a backend server"},
	{"item.listed", KindCounter, "results that were committed"},
	{"items.waiting", KindGauge, "items that wait for a backend server, where this store leads"},
	{"items.running", KindGauge, "items that run at backend servers, where this store leads"},
	{"jobs.open", KindGauge, "batch jobs that are not ended, where this store leads"},
	{"reward.*", KindCounter, "calls for scores, by outcome"},
	{"samples.again.*", KindCounter, "attempts of samples that failed for good and were made anew by the step, by result code"},
	{"samples.stale", KindCounter, "samples sent back at a page since newer weights came"},
	{"hedges.started", KindCounter, "stragglers raced"},
	{"hedges.overBudget", KindCounter, "stragglers not raced for want of budget"},
	{"wins.again", KindCounter, "commits of winners made again"},
	{"scores.again", KindCounter, "scorings made again"},
	{"payloads.oneHolder", KindCounter, "payload batches with one holder"},
	{"payloads.lost", KindCounter, "payloads that all holders lost"},
	{"steps.takenOver", KindCounter, "steps whose driver was lost"},
	{"steps.running", KindGauge, "steps driven here"},
	{"streams.cut", KindCounter, "requests ended since their key was withdrawn, or this process was stale"},
	{"calls.replayed", KindCounter, "recorded answers given again"},
	{"calls.endLost", KindCounter, "outcomes of calls that could not be committed"},
	{"calls.abandonLost", KindCounter, "abandoned calls that could not be committed"},
	{"servers.crashed", KindCounter, "crashes reported by agents"},
	{"servers.known", KindGauge, "backend servers that are believed to be alive"},
	{"quarantine.cleared", KindCounter, "suspect requests that ran to their end"},
	{"swaps.failed", KindCounter, "orders of weights that failed"},
	{"weightStore.failed", KindCounter, "calls to the weight store that failed"},
	{"orders.*", KindCounter, "orders of backend servers to the platform, by kind"},
	{"ordering.failed", KindCounter, "such orders that failed"},
	{"intents.unsettled", KindCounter, "outcomes of orders not yet committed"},
	{"reports.sent", KindCounter, "usage reports"},
	{"reports.failed", KindCounter, "usage reports that failed"},
	{"cacheEvents.gap", KindCounter, "lost cache events"},
	{"feed.full", KindCounter, "configurations taken whole"},
	{"configuration.version", KindGauge, "the configuration in force here"},
	{"configuration.ageMs", KindGauge, "since it was last known to be the newest one; -1 before the first"},
	{"group.ageMs", KindGauge, "since the replicated state was last known to be the newest; -1 before that"},
	{"group.term", KindGauge, "term of the group of replicas"},
	{"group.applied", KindGauge, "entries applied"},
	{"group.leads", KindGauge, "1 where this replica leads"},
	{"group.voters", KindGauge, "voters of the group"},
	{"group.elections", KindGauge, "changes of the leader that this replica saw"},
	{"group.moves", KindGauge, "changes of the membership that this replica saw"},
	{"disk.syncs", KindCounter, "syncs of files"},
	{"log.dropped", KindGauge, "lines of the log that were dropped for want of room"},
}

// describe returns the entry of a metric.
func describe(name string) (Name, bool) {
	for _, na := range names {
		prefix, isFamily := strings.CutSuffix(na.Name, "*")
		if na.Name == name || (isFamily && strings.HasPrefix(name, prefix)) {
			return na, true
		}
	}

	return Name{}, false
}

// Document returns the table of all metrics, in Markdown.
func Document() string {
	var sb strings.Builder
	sb.WriteString("| name | kind | tells |\n|---|---|---|\n")
	for _, na := range names {
		fmt.Fprintf(&sb, "| `%s` | %s | %s |\n", na.Name, na.Kind, na.Help)
	}

	return sb.String()
}
