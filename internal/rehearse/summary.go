package rehearse

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"

	"github.com/jedib0t/go-pretty/v6/table"
	"gonum.org/v1/gonum/stat"

	"dalehook/internal/routing"
)

// Figure is a mean over seeds with its spread.
type Figure struct {
	Mean      float64 `json:"mean"`
	Deviation float64 `json:"deviation"`
	Least     float64 `json:"least"`
	Most      float64 `json:"most"`
}

func figure(values []float64) Figure {
	if len(values) == 0 {
		return Figure{}
	}
	f := Figure{Mean: stat.Mean(values, nil), Least: slices.Min(values), Most: slices.Max(values)}
	if len(values) > 1 {
		f.Deviation = stat.StdDev(values, nil)
	}
	return f
}

// String writes mean, deviation and range.
func (f Figure) String() string {
	return fmt.Sprintf("%.4g ±%.2g [%.4g, %.4g]", f.Mean, f.Deviation, f.Least, f.Most)
}

// row is one line of the report.
type row struct {
	name  string
	value func(Metrics) float64
}

var rows = []row{
	{"trainer idle time, s", func(m Metrics) float64 { return m.Idle }},
	{"step time, s", func(m Metrics) float64 { return m.StepTime }},
	{"step floor, s", func(m Metrics) float64 { return m.Floor }},
	{"step time / floor", func(m Metrics) float64 { return m.OverFloor }},
	{"staleness mean, versions", func(m Metrics) float64 { return m.StaleMean }},
	{"staleness p99, versions", func(m Metrics) float64 { return m.StaleP99 }},
	{"staleness largest, versions", func(m Metrics) float64 { return m.StaleMost }},
	{"staleness mean, s", func(m Metrics) float64 { return m.StaleMeanSeconds }},
	{"staleness largest, s", func(m Metrics) float64 { return m.StaleMostSeconds }},
	{"samples handed over", func(m Metrics) float64 { return m.Delivered }},
	{"samples over the bound", func(m Metrics) float64 { return m.OverBound }},
	{"samples with a final error", func(m Metrics) float64 { return m.Failed }},
	{"steps unfinished", func(m Metrics) float64 { return m.Unfinished }},
	{"requests", func(m Metrics) float64 { return m.Requests }},
	{"requests answered", func(m Metrics) float64 { return m.Answered }},
	{"request p50, s", func(m Metrics) float64 { return m.LookupP50 }},
	{"request p99, s", func(m Metrics) float64 { return m.LookupP99 }},
}

// shedRows returns a line for each class that was shed anywhere.
func (r Result) shedRows() []row {
	var classes []string
	for _, p := range r.Policies {
		for _, m := range p.Runs {
			for class := range m.Shed {
				classes = append(classes, class)
			}
		}
	}
	slices.Sort(classes)
	var lines []row
	for _, class := range slices.Compact(classes) {
		lines = append(lines, row{"shed of class " + class, func(m Metrics) float64 { return m.Shed[class] }})
	}
	return lines
}

func (p PolicyRuns) values(value func(Metrics) float64) []float64 {
	values := make([]float64, 0, len(p.Runs))
	for _, m := range p.Runs {
		values = append(values, value(m))
	}
	return values
}

// Ratio is dalehook's figure over a baseline's under the same seed.
type Ratio struct {
	Baseline string `json:"baseline"`
	Figure   string `json:"figure"`
	Ratio    Figure `json:"ratio"`
}

// Ratios compares dalehook with each baseline, seed by seed. Seeds under which
// the baseline's figure is zero are left out.
func (r Result) Ratios() []Ratio {
	own := slices.IndexFunc(r.Policies, func(p PolicyRuns) bool { return p.Policy == routing.PolicyDalehook })
	if own < 0 {
		return nil
	}
	compared := []row{rows[0], rows[1], rows[3], rows[4], rows[7], rows[16]}
	var ratios []Ratio
	for i, baseline := range r.Policies {
		if i == own {
			continue
		}
		for _, line := range compared {
			ratios = append(ratios, Ratio{
				Baseline: baseline.Policy, Figure: line.name,
				Ratio: figure(quotients(r.Policies[own].values(line.value), baseline.values(line.value))),
			})
		}
	}
	return ratios
}

func quotients(over, under []float64) []float64 {
	var values []float64
	for i := range over {
		if quotient := over[i] / under[i]; !math.IsNaN(quotient) && !math.IsInf(quotient, 0) {
			values = append(values, quotient)
		}
	}
	return values
}

// WriteTable writes the report as a table.
func (r Result) WriteTable(to io.Writer) {
	writer := table.NewWriter()
	writer.SetOutputMirror(to)
	writer.SetTitle(fmt.Sprintf("%s at %s, seeds %d to %d: mean ±deviation [least, most]",
		r.Event, r.Deployment, r.FirstSeed, r.FirstSeed+uint64(max(r.Seeds, 1))-1))
	header := table.Row{"figure"}
	for _, p := range r.Policies {
		header = append(header, p.Policy)
	}
	writer.AppendHeader(header)
	for _, line := range slices.Concat(rows, r.shedRows()) {
		cells := table.Row{line.name}
		for _, p := range r.Policies {
			cells = append(cells, figure(p.values(line.value)).String())
		}
		writer.AppendRow(cells)
	}
	writer.Render()
	r.writeRatios(to)
}

func (r Result) writeRatios(to io.Writer) {
	ratios := r.Ratios()
	if len(ratios) == 0 {
		return
	}
	slices.SortStableFunc(ratios, func(a, b Ratio) int { return cmp.Compare(a.Figure, b.Figure) })
	writer := table.NewWriter()
	writer.SetOutputMirror(to)
	writer.SetTitle("dalehook over each baseline, seed by seed")
	writer.AppendHeader(table.Row{"figure", "baseline", "ratio"})
	for _, ratio := range ratios {
		writer.AppendRow(table.Row{ratio.Figure, ratio.Baseline, ratio.Ratio.String()})
	}
	writer.Render()
}
