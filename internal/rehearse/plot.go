package rehearse

import (
	"image/color"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of the plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	barWidth   = 14
)

// WritePlot draws trainer idle time and step time by policy, with the step's
// floor, into a file whose ending names the format (.png, .svg, .pdf).
func (r Result) WritePlot(path string) error {
	p := plot.New()
	p.Title.Text = r.Event + " at " + r.Deployment
	p.Y.Label.Text = "seconds, mean over seeds"
	p.Legend.Top = true
	shown := []struct {
		line  row
		shade uint8
	}{{rows[0], 60}, {rows[1], 130}, {rows[2], 200}}
	for i, s := range shown {
		bars, err := plotter.NewBarChart(r.means(s.line), vg.Points(barWidth))
		if err != nil {
			return eris.Wrap(err, "draw bars")
		}
		bars.Color = color.Gray{Y: s.shade}
		bars.Offset = vg.Points(float64(i-1) * barWidth)
		p.Add(bars)
		p.Legend.Add(s.line.name, bars)
	}
	names := make([]string, 0, len(r.Policies))
	for _, runs := range r.Policies {
		names = append(names, runs.Policy)
	}
	p.NominalX(names...)
	return eris.Wrapf(p.Save(plotWidth, plotHeight, path), "write plot %s", path)
}

func (r Result) means(line row) plotter.Values {
	values := make(plotter.Values, 0, len(r.Policies))
	for _, runs := range r.Policies {
		values = append(values, mean(runs.values(line.value)))
	}
	return values
}
