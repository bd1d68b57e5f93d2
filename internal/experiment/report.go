package experiment

import (
	"fmt"
	"image/color"
	"io"
	"sort"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// column is a quantity in the table that WriteTable writes.
type column struct {
	name  string
	value func(oc Outcome) float64
}

var outcomeColumns = []column{
	{"idle s/step", func(oc Outcome) float64 { return oc.IdleSecondsPerStep }},
	{"worst share %", func(oc Outcome) float64 { return 100 * oc.WorstShare }},
	{"lookup p99 ms", func(oc Outcome) float64 { return oc.LookupP99 }},
	{"goodput /s", func(oc Outcome) float64 { return oc.Goodput }},
	{"amplification", func(oc Outcome) float64 { return oc.Amplification }},
	{"stale %", func(oc Outcome) float64 { return 100 * oc.StaleShare }},
	{"broken", func(oc Outcome) float64 { return float64(oc.Violations) }},
}

// spread holds the median, lowest and highest value of the repetitions.
type spread struct{ low, median, high float64 }

func spreadOf(vs []float64) spread {
	sort.Float64s(vs)

	return spread{vs[0], vs[len(vs)/2], vs[len(vs)-1]}
}

// byPolicy groups outcomes by policy; names keeps the order of first appearance.
func byPolicy(ocs []Outcome) (names []string, groups map[string][]Outcome) {
	groups = map[string][]Outcome{}
	for _, oc := range ocs {
		if len(groups[oc.Policy]) == 0 {
			names = append(names, oc.Policy)
		}
		groups[oc.Policy] = append(groups[oc.Policy], oc)
	}

	return names, groups
}

// WriteTable writes a Markdown table of the median, lowest and highest values by policy.
func WriteTable(w io.Writer, ocs []Outcome) {
	names, groups := byPolicy(ocs)
	fmt.Fprint(w, "| policy |")
	for _, m := range outcomeColumns {
		fmt.Fprintf(w, " %s |", m.name)
	}
	fmt.Fprint(w, "\n|---|")
	for range outcomeColumns {
		fmt.Fprint(w, "---|")
	}
	fmt.Fprintln(w)
	for _, n := range names {
		fmt.Fprintf(w, "| %s |", n)
		for _, m := range outcomeColumns {
			var vs []float64
			for _, oc := range groups[n] {
				vs = append(vs, m.value(oc))
			}
			sp := spreadOf(vs)
			fmt.Fprintf(w, " %.3g (%.3g to %.3g) |", sp.median, sp.low, sp.high)
		}
		fmt.Fprintln(w)
	}
}

// Plot writes a bar chart of the trainer idle time and the share of the worst-served workspace.
func Plot(path string, ocs []Outcome) error {
	names, groups := byPolicy(ocs)
	p := plot.New()
	p.Title.Text = "Trainer idle time and worst-served workspace by policy"
	p.Y.Label.Text = "idle, s per step x 10; worst share, %"
	const width = 14
	for i, m := range []column{
		{"idle x 10", func(oc Outcome) float64 { return 10 * oc.IdleSecondsPerStep }}, outcomeColumns[1],
	} {
		var vs plotter.Values
		for _, n := range names {
			var list []float64
			for _, oc := range groups[n] {
				list = append(list, m.value(oc))
			}
			vs = append(vs, spreadOf(list).median)
		}
		bars, err := plotter.NewBarChart(vs, vg.Points(width))
		if err != nil {
			return err
		}
		bars.Offset = vg.Points(width * (float64(i) - 0.5))
		bars.Color = barColors[i]
		p.Add(bars)
		p.Legend.Add(m.name, bars)
	}
	p.Legend.Top = true
	p.NominalX(names...)

	return p.Save(8*vg.Inch, 4*vg.Inch, path)
}

var barColors = []color.Color{color.RGBA{R: 40, G: 90, B: 160, A: 255}, color.RGBA{R: 220, G: 140, B: 40, A: 255}}
