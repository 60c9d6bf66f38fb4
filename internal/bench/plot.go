package bench

import (
	"image/color"
	"path/filepath"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// The size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// series is one line of a plot over the number of nodes.
type series struct {
	name  string
	value func(result Result) (float64, bool)
}

// WritePlots draws the figures over the number of nodes into a directory, as
// PNG files, and returns their names.
func WritePlots(directory string, results []Result) ([]string, error) {
	plots := []struct {
		file, title, unit string
		lines             []series
	}{
		{"control-bytes.png", "Bytes sent by a node", "bytes/s", []series{
			costSeries("steady, gob", PhaseSteady, func(c RoleCost) float64 { return c.Bytes }),
			costSeries("steady, with TCP/IP", PhaseSteady, func(c RoleCost) float64 { return c.WireBytes }),
			costSeries("failures, with TCP/IP", PhaseFailures, func(c RoleCost) float64 { return c.WireBytes }),
		}},
		{"control-processor.png", "Processor time of a node", "% of a core", []series{
			costSeries("steady", PhaseSteady, func(c RoleCost) float64 { return 100 * c.CoreShare }),
			costSeries("failures", PhaseFailures, func(c RoleCost) float64 { return 100 * c.CoreShare }),
		}},
		{"control-heap.png", "Live heap of a node", "KB", []series{
			{"steady", func(r Result) (float64, bool) { return float64(r.HeapPerNode) / 1024, true }},
		}},
		{"control-times.png", "Time until the last node knows", "seconds", []series{
			timeSeries("configuration", PhaseFailures, func(p PhaseResult) Spread { return p.Configuration }),
			timeSeries("leaving server", PhaseFailures, func(p PhaseResult) Spread { return p.LeavingServer }),
			timeSeries("dead server", PhaseFailures, func(p PhaseResult) Spread { return p.DeadServer }),
			timeSeries("dead node", PhaseFailures, func(p PhaseResult) Spread { return p.DeadNode }),
			timeSeries("dead node, zone lost", PhaseZoneLost, func(p PhaseResult) Spread { return p.DeadNode }),
			timeSeries("dead server, zone lost", PhaseZoneLost, func(p PhaseResult) Spread { return p.DeadServer }),
		}},
	}
	var names []string
	for _, drawn := range plots {
		name := filepath.Join(directory, drawn.file)
		if err := draw(name, drawn.title, drawn.unit, drawn.lines, results); err != nil {
			return nil, err
		}
		names = append(names, name)
	}
	return names, nil
}

// costSeries reads the mean cost of all nodes in a phase.
func costSeries(name string, phase Phase, value func(RoleCost) float64) series {
	return series{name: name, value: func(result Result) (float64, bool) {
		for _, p := range result.Phases {
			if p.Phase == phase && len(p.Roles) > 0 {
				return value(p.Roles[0]), true
			}
		}
		return 0, false
	}}
}

// timeSeries reads the largest observed time in a phase.
func timeSeries(name string, phase Phase, value func(PhaseResult) Spread) series {
	return series{name: name, value: func(result Result) (float64, bool) {
		for _, p := range result.Phases {
			if p.Phase == phase && value(p).Observed > 0 {
				return value(p).Largest.Seconds(), true
			}
		}
		return 0, false
	}}
}

// draw writes one plot.
func draw(file, title, unit string, lines []series, results []Result) error {
	p := plot.New()
	p.Title.Text = title + " before 600 servers, virtual clock"
	p.X.Label.Text = "nodes"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	for number, s := range lines {
		var points plotter.XYs
		for _, result := range results {
			if value, observed := s.value(result); observed {
				points = append(points, plotter.XY{X: float64(result.Nodes), Y: value})
			}
		}
		if len(points) == 0 {
			continue
		}
		line, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			return eris.Wrapf(err, "plot %s", title)
		}
		line.Color = lineColor(number)
		marks.Color = lineColor(number)
		p.Add(line, marks)
		p.Legend.Add(s.name, line, marks)
		p.Y.Max = max(p.Y.Max, 1.4*line.XYs[len(points)-1].Y)
	}
	return eris.Wrapf(p.Save(plotWidth, plotHeight, file), "write plot %s", file)
}

// lineColor tells the lines of a plot apart.
func lineColor(number int) color.Color {
	colors := []color.RGBA{
		{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff}, {R: 0xd6, G: 0x27, B: 0x28, A: 0xff}, {R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff},
		{R: 0x94, G: 0x67, B: 0xbd, A: 0xff}, {R: 0xff, G: 0x7f, B: 0x0e, A: 0xff}, {R: 0x8c, G: 0x56, B: 0x4b, A: 0xff},
	}
	return colors[number%len(colors)]
}
