package experiment

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/loadsim"
	"github.com/tamarackbay/tamarackbay/internal/scheduler"
)

const (
	placementGateways = 22
	placementServers  = 16
	placementSlots    = 6
	placementQueue    = 24
	placementChoices  = 8
	placementSeed     = 1
	// unequalSlowness is that of the servers of one of four failure domains, where the servers
	// are unequal: 0.55 of the usual speed.
	unequalSlowness = 1 / 0.55
)

// PlacementResult holds the measurements of one policy under one load.
type PlacementResult struct {
	Policy   string
	Costs    string  // distribution of the work of requests
	Speeds   string  // equal or unequal
	Load     float64 // offered work as a share of the servers' capacity
	Outcome  loadsim.Outcome
	Duration time.Duration
}

// RunPlacement compares the previous policy, the least requests in flight and the time to
// completion, in virtual time, with the same seed, load and spells of slowness.
func RunPlacement(d time.Duration, out io.Writer) []PlacementResult {
	costs := []struct {
		name string
		draw func(rnd *rand.Rand) (float64, int)
	}{
		{"log-normal", loadsim.LogNormal(0.03, 0.9)},
		{"bimodal", loadsim.Bimodal(0.01, 1, 0.05)},
	}
	speeds := []struct {
		name     string
		slowness float64
	}{{"equal", 1}, {"unequal", unequalSlowness}}

	var all []PlacementResult
	for _, co := range costs {
		for _, sp := range speeds {
			for _, load := range []float64{0.5, 0.8, 0.95, 1.2} {
				for _, policy := range []string{scheduler.PolicyScore, scheduler.PolicyLeastInFlight, scheduler.PolicyCompletion} {
					oc := loadsim.Run(loadsim.Config{
						Seed: placementSeed, Policy: policy, Gateways: placementGateways, Choices: placementChoices, Servers: placementFleet(sp.slowness),
						Slots: placementSlots, Queue: placementQueue, Workspaces: 20, Load: load, Duration: d,
						Classes:    []loadsim.Class{{Name: "request", Share: 1, Draw: co.draw}},
						SpellShare: 0.15, SpellFactor: 2.5, SpellLength: 600 * time.Millisecond,
					})
					re := PlacementResult{Policy: policy, Costs: co.name, Speeds: sp.name, Load: load, Outcome: oc, Duration: d}
					fmt.Fprintf(out, "%-10s %-7s %3.0f%%  %-13s p50 %.1f ms  p99 %.1f ms  worst workspace %.1f ms\n",
						re.Costs, re.Speeds, 100*load, policy, ms(oc.P50), ms(oc.P99), ms(oc.WorstWorkspace))
					all = append(all, re)
				}
			}
		}
	}

	return all
}

// placementFleet returns servers in four failure domains; those of the first have a slowness.
func placementFleet(slowness float64) []loadsim.Server {
	out := make([]loadsim.Server, placementServers)
	for i := range out {
		out[i] = loadsim.Server{Slowness: 1, FailureDomain: string(rune('a' + i%4))}
		if i%4 == 0 {
			out[i].Slowness = slowness
		}
	}

	return out
}

func ms(d time.Duration) float64 { return d.Seconds() * 1000 }

// WritePlacement writes a Markdown table with one row per policy and load.
func WritePlacement(w io.Writer, all []PlacementResult) {
	fmt.Fprintln(w, "| costs | speeds | load | policy | p50 ms | p99 ms | worst workspace, mean ms | refused % | new connections per 1000 |\n|---|---|---|---|---|---|---|---|---|")
	for _, re := range all {
		oc := &re.Outcome
		fmt.Fprintf(w, "| %s | %s | %.0f%% | %s | %.1f | %.1f | %.1f | %.2f | %.1f |\n",
			re.Costs, re.Speeds, 100*re.Load, re.Policy, ms(oc.P50), ms(oc.P99), ms(oc.WorstWorkspace), 100*oc.Refused, 1000*oc.Connections)
	}
}
