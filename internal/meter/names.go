package meter

import (
	"fmt"
	"slices"
	"strings"
)

// Kinds of metrics.
const (
	KindCounter   = "counter"
	KindGauge     = "gauge"
	KindHistogram = "histogram"
)

// Description describes a metric, or a family of them whose last part varies.
type Description struct {
	Name string // ends in "*" if it names a family
	Kind string
	Help string
}

// Names returns the descriptions of all metrics, in the order of the documentation.
func Names() []Description { return slices.Clone(names) }

var names = []Description{
	{"refused.*", KindCounter, "refusals by result code; every code of docs/codes.md has a counter, which starts at 0"},
	{"request.*", KindCounter, "requests of clients by outcome: served, refused, failed, cut and the like"},
	{"request", KindHistogram, "time from the receipt of the complete request to the end of its answer"},
	{"balance.loadUnreadable", KindCounter, "answers of backend servers whose report of their load could not be read"},
	{"permits.used", KindCounter, "requests sent to backend servers that limit their rate"},
	{"permits.refused", KindCounter, "requests for which no permit of a limited backend server was to be had"},
	{"origins.notRecorded", KindCounter, "streams that began while no controller was connected that could record their software version"},
	{"origins.ambiguous", KindCounter, "streams that clients took up and of which attempts with the same ID began at several software versions"},
	{"origins.unknown", KindCounter, "streams that clients took up and whose software version was not known"},
	{"origins.notConfirmed", KindCounter, "backend servers at which no stream went on, or which began one that is not resumed, since they did not confirm the incarnation that their record names"},
	{"origins.known", KindGauge, "streams of which a controller knows the software version that began them"},
	{"origins.notWritten", KindGauge, "records of such streams that a controller's disk refused since it started; they are in memory only"},
	{"items.restarted", KindCounter, "texts of items that were begun again, since no backend server of their software version was to be had"},
	{"items.held", KindCounter, "times from which on a store placed no items and score requests, as its view might lack acknowledged changes"},
	{"attempts.brokenOff", KindCounter, "attempts whose connection to the backend server broke"},
	{"retry.*", KindCounter, "retried attempts, by the reason of the failure"},
	{"noRetry.*", KindCounter, "failures that were not retried, by the reason for that: final, notRepeatable, attemptsSpent, deadline, budgetSpent"},
	{"queue.wait", KindHistogram, "time that a request waited in the queue of a gateway"},
	{"intake.refused.*", KindCounter, "requests refused before or while they were read, by the name of their code"},
	{"intake.refused.unlogged", KindCounter, "those of them without a log line, as one was written in the last second"},
	{"intake.yielded", KindCounter, "requests or answers behind the least pace that gave their memory to others"},
	{"intake.bytes", KindGauge, "memory that the requests of clients hold"},
	{"intake.reading", KindGauge, "requests whose bodies are being read, and answers that wait for their readers"},
	{"connections.refused", KindCounter, "connections closed at once, as all others served requests"},
	{"connections.yielded", KindCounter, "connections without a request, or behind the least pace, that were closed for a new one"},
	{"connections.open", KindGauge, "connections of clients"},
	{"connections.limit", KindGauge, "bound of the connections of clients"},
	{"wait.requests", KindGauge, "requests that wait at this gateway for a slot at a backend server"},
	{"wait.hopeless", KindCounter, "requests that were refused at once because they would have waited for too long"},
	{"item.run.*", KindCounter, "runs of items of batch jobs, by outcome"},
	{"item.run", KindHistogram, "duration of one run of an item at a backend server"},
	{"item.listed", KindCounter, "results of items that were committed"},
	{"items.waiting", KindGauge, "items that wait for a backend server; only on the store that leads"},
	{"items.running", KindGauge, "items that run at backend servers; only on the store that leads"},
	{"jobs.refused", KindCounter, "batch jobs that were refused since the ledger had no room for them"},
	{"jobs.bytes", KindGauge, "upper estimate of the memory that the ledger of batch jobs takes, with results"},
	{"jobs.submittedBytes", KindGauge, "the part of it that items take whose results are not listed"},
	{"jobs.limitBytes", KindGauge, "bound of jobs.bytes up to which a store that leads accepts batch jobs"},
	{"jobs.submittedLimitBytes", KindGauge, "bound of jobs.submittedBytes up to which it does"},
	{"jobs.open", KindGauge, "batch jobs that have not ended; only on the store that leads"},
	{"jobs.yielding", KindGauge, "batch jobs whose items give way to those of others, as not all can be complete in time; only on the store that leads"},
	{"shares.services", KindGauge, "services for which requests or items wait, by the reports to the controller that leads"},
	{"shares.use.*", KindGauge, "slots in use by a workspace at services for which requests wait; 32 workspaces by name, the rest under other; only on the controller that leads"},
	{"shares.waiting.*", KindGauge, "requests and items of a workspace that wait for a slot; labels as for shares.use"},
	{"shares.share.*", KindGauge, "fair share of a workspace in slots; labels as for shares.use"},
	{"wait.refused.*", KindCounter, "requests of a workspace for which no slot became free; 32 workspaces by name, the rest under other"},
	{"shares.processes", KindGauge, "processes that report the use and demand of workspaces to the controller that leads"},
	{"reward.*", KindCounter, "calls to the scorer, by outcome"},
	{"samples.again.*", KindCounter, "attempts of samples that failed after all retries and were repeated by the step, by result code"},
	{"samples.stale", KindCounter, "samples sent back while a page was formed, because newer weights had made them stale"},
	{"hedges.started", KindCounter, "stragglers that were hedged"},
	{"hedges.overBudget", KindCounter, "stragglers that were not hedged because the budget was spent"},
	{"wins.again", KindCounter, "commits of winning samples that failed and were repeated"},
	{"scores.again", KindCounter, "scorings of samples that failed; each is repeated a limited number of times"},
	{"payloads.oneHolder", KindCounter, "batches of payloads that were stored by a single holder only"},
	{"payloads.lost", KindCounter, "payloads that were lost by all their holders"},
	{"steps.takenOver", KindCounter, "steps taken over from a lost driver"},
	{"steps.running", KindGauge, "steps that this process drives"},
	{"streams.cut", KindCounter, "requests that were ended because their key was withdrawn or this process was stale"},
	{"calls.replayed", KindCounter, "answers replayed from the record of an earlier call"},
	{"calls.endLost", KindCounter, "outcomes of calls that could not be committed"},
	{"calls.abandonLost", KindCounter, "abandoned calls that could not be committed"},
	{"servers.crashed", KindCounter, "requests that were in flight when their backend server crashed, or crashes reported by agents"},
	{"servers.leaving", KindCounter, "backend servers whose answers said that they leave"},
	{"item.replacedServer", KindCounter, "runs that broke off at a backend server which had been replaced by a later incarnation"},
	{"servers.known", KindGauge, "backend servers that are considered alive and have not left"},
	{"quarantine.cleared", KindCounter, "suspect requests that ran to completion"},
	{"swaps.failed", KindCounter, "orders to load or activate weights that failed"},
	{"weightStore.failed", KindCounter, "calls to the weight store that failed"},
	{"orders.*", KindCounter, "orders to the platform to start or stop backend servers, by kind"},
	{"ordering.failed", KindCounter, "calls to the platform's ordering interface that failed"},
	{"intents.unsettled", KindCounter, "outcomes of orders that could not be committed at once"},
	{"reports.sent", KindCounter, "usage reports that were sent"},
	{"reports.failed", KindCounter, "usage reports that could not be sent"},
	{"cacheEvents.gap", KindCounter, "gaps in the sequence of cache events"},
	{"feed.full", KindCounter, "complete configurations received instead of single changes"},
	{"configuration.version", KindGauge, "version of the configuration in force in this process"},
	{"controllers.followed", KindGauge, "controllers whose state a gateway or store receives"},
	{"controllers.known", KindGauge, "controllers that a gateway or store tries to follow"},
	{"feed.followers", KindGauge, "gateways and stores that receive the state of a controller"},
	{"configuration.ageMs", KindGauge, "milliseconds since the configuration was last known to be current; -1 before the first one"},
	{"failureDomains.evacuated", KindGauge, "failure domains whose backend servers get nothing new, as known to this process"},
	{"group.ageMs", KindGauge, "milliseconds since the replicated state was last known to be current; -1 before that"},
	{"group.term", KindGauge, "current term of the replica group"},
	{"group.applied", KindGauge, "index of the last log entry applied"},
	{"group.leads", KindGauge, "1 if this replica is the leader, otherwise 0"},
	{"group.voters", KindGauge, "voters of the replica group"},
	{"group.elections", KindGauge, "changes of the leader that this replica observed"},
	{"group.moves", KindGauge, "changes of the membership that this replica observed"},
	{"group.damagedBytes", KindGauge, "size of the damaged files that the data folder keeps for the operator, 0 if there are none"},
	{"group.droppedSnapshots", KindGauge, "received snapshots that were dropped because they were not those that the leader sent"},
	{"group.longestPauseMs", KindGauge, "longest pause of the replica's loop since its start, in milliseconds"},
	{"group.loopPause", KindHistogram, "pauses of the replica's loop, in which it neither received nor sent anything"},
	{"group.diskRefuses", KindGauge, "1 while the disk refuses the replica's writes, otherwise 0"},
	{"disk.syncs", KindCounter, "file syncs"},
	{"log.dropped", KindGauge, "log lines dropped because the buffer was full"},
}

// descriptionOf returns the description of a metric.
func descriptionOf(name string) (Description, bool) {
	for _, na := range names {
		prefix, isFamily := strings.CutSuffix(na.Name, "*")
		if na.Name == name || (isFamily && strings.HasPrefix(name, prefix)) {
			return na, true
		}
	}

	return Description{}, false
}

// MarkdownTable returns the table of all metrics, in Markdown.
func MarkdownTable() string {
	var sb strings.Builder
	sb.WriteString("| name | kind | meaning |\n|---|---|---|\n")
	for _, na := range names {
		fmt.Fprintf(&sb, "| `%s` | %s | %s |\n", na.Name, na.Kind, na.Help)
	}

	return sb.String()
}
