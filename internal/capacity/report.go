package capacity

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"text/template"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

func discardLog() log.Interface { return logging.Discard() }

func subscriberPeer(address string) peer.Config {
	return peer.Config{Hello: &wire.Hello{Name: address, Address: address, Protocol: peer.ProtocolVersion}, Mux: peer.Mux{}}
}

// Report holds all measurements of one run.
type Report struct {
	Cores   int      `json:"cores"`
	Slopes  []Slope  `json:"slopes"`
	Figures []Figure `json:"figures"`
}

// Measure runs all measurements, or if only is not empty the one of that name. It
// writes its progress to out.
func Measure(out io.Writer, only string) (*Report, error) {
	re := &Report{Cores: runtime.NumCPU()}
	for _, m := range []struct {
		name string
		run  func() ([]Slope, error)
	}{
		{"configuration", measureConfiguration},
		{"ledgers", measureLedgers},
		{"pool", measurePool},
		{"calls", measureCalls},
		{"feed", measureFeed},
		{"partitions", func() ([]Slope, error) {
			sl, err := measurePartitions()

			return []Slope{sl}, err
		}},
	} {
		if only != "" && only != m.name {
			continue
		}
		fmt.Fprintf(out, "measuring %s\n", m.name)
		sls, err := m.run()
		if err != nil {
			return nil, err
		}
		re.Slopes = append(re.Slopes, sls...)
	}

	for _, m := range []struct {
		name string
		run  func() ([]Figure, error)
	}{
		{"path", measurePath}, {"commits", measureCommits}, {"failOver", singleFigure(measureFailOver)}, {"restart", singleFigure(measureRestart)},
	} {
		if only != "" && only != m.name {
			continue
		}
		fmt.Fprintf(out, "measuring %s\n", m.name)
		fs, err := m.run()
		if err != nil {
			return nil, err
		}
		re.Figures = append(re.Figures, fs...)
	}

	return re, nil
}

// singleFigure adapts a measurement of a single figure to the signature of those that return several.
func singleFigure(f func() (Figure, error)) func() ([]Figure, error) {
	return func() ([]Figure, error) {
		fi, err := f()

		return []Figure{fi}, err
	}
}

// Save writes the report to the file at path as JSON.
func (re *Report) Save(path string) error {
	b, err := json.MarshalIndent(re, "", " ")
	if err != nil {
		return err
	}

	return os.WriteFile(path, append(b, '\n'), 0o644)
}

// ReadReport returns the report in the file at path.
func ReadReport(path string) (*Report, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var re Report

	return &re, json.Unmarshal(b, &re)
}

// slope returns the slope of that name. It is an error if the report lacks it, for
// instance since only part of the measurements ran.
func (re *Report) slope(name string) (Slope, error) {
	for _, sl := range re.Slopes {
		if sl.Name == name {
			return sl, nil
		}
	}

	return Slope{}, fmt.Errorf("capacity: the report has no slope %q", name)
}

// figure returns the value of the first figure whose name begins with name.
func (re *Report) figure(name string) (float64, error) {
	for _, f := range re.Figures {
		if strings.HasPrefix(f.Name, name) {
			return f.Value, nil
		}
	}

	return 0, fmt.Errorf("capacity: the report has no figure whose name begins with %q", name)
}

//go:embed page.md.tmpl
var pageTemplate string

// WritePage renders the report as Markdown, the content of docs/CAPACITY.md.
func (re *Report) WritePage(w io.Writer) error {
	t, err := template.New("page").Funcs(template.FuncMap{
		"at": func(name string, x float64) (float64, error) {
			sl, err := re.slope(name)

			return sl.At(x), err
		},
		"per": func(name string) (float64, error) {
			sl, err := re.slope(name)

			return sl.Slope, err
		},
		"figure": re.figure,
		"mul": func(xs ...float64) float64 {
			p := 1.0
			for _, x := range xs {
				p *= x
			}

			return p
		},
		"add": func(xs ...float64) float64 {
			s := 0.0
			for _, x := range xs {
				s += x
			}

			return s
		},
		"div": func(a, b float64) float64 { return a / b },
		"f0":  func(x float64) string { return fmt.Sprintf("%.0f", x) },
		"f1":  func(x float64) string { return fmt.Sprintf("%.1f", x) },
		"f2":  func(x float64) string { return fmt.Sprintf("%.2f", x) },
		"f3":  func(x float64) string { return fmt.Sprintf("%.3f", x) },
		"g":   func(x float64) string { return fmt.Sprintf("%.3g", x) },
		"mb":  func(x float64) string { return fmt.Sprintf("%.1f MB", x/1e6) },
		"verdict": func(x, limit float64, otherwise string) string {
			if x <= limit {
				return "holds"
			}

			return otherwise
		},
	}).Parse(pageTemplate)
	if err != nil {
		return err
	}

	return t.Execute(w, re)
}
