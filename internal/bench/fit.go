package bench

import (
	"io"
	"math"

	"github.com/jedib0t/go-pretty/v6/table"
	"gonum.org/v1/gonum/stat"
)

// minFitPoints is the smallest number of sizes that a line is fitted to.
const minFitPoints = 3

// Fit is a line through the figures of several sizes: value = Base + PerNode*nodes.
type Fit struct {
	Role    Role
	Phase   Phase
	Figure  string
	Base    float64
	PerNode float64
	// Residual is the root of the mean squared distance from the line.
	Residual float64
	// Points is the number of sizes, AtLargest the figure of the largest one.
	Points    int
	AtLargest float64
}

// figure is a cost that a line is fitted to.
type figure struct {
	name  string
	value func(cost RoleCost) float64
}

// figures lists the fitted costs.
var figures = []figure{
	{"messages/s", func(c RoleCost) float64 { return c.Messages }},
	{"gob bytes/s", func(c RoleCost) float64 { return c.Bytes }},
	{"bytes/s with TCP/IP", func(c RoleCost) float64 { return c.WireBytes }},
	{"core %", func(c RoleCost) float64 { return 100 * c.CoreShare }},
}

// Fits returns the lines of all roles in the phases without a fault, and that of
// the heap.
func Fits(results []Result) []Fit {
	var fits []Fit
	for _, phase := range []Phase{PhaseSteady, PhaseChanges} {
		for _, role := range []Role{"", RoleOrdinary, RoleReader, RoleView, RoleDirector, RoleOwner} {
			for _, f := range figures {
				nodes, values := costPoints(results, phase, role, f)
				if fit, ok := fitLine(nodes, values); ok {
					fit.Role, fit.Phase, fit.Figure = role, phase, f.name
					fits = append(fits, fit)
				}
			}
		}
	}
	var nodes, heap []float64
	for _, result := range results {
		nodes = append(nodes, float64(result.Nodes))
		heap = append(heap, float64(result.HeapPerNode)/1024)
	}
	if fit, ok := fitLine(nodes, heap); ok {
		fit.Phase, fit.Figure = PhaseSteady, "heap KB"
		fits = append(fits, fit)
	}
	return fits
}

// costPoints collects one figure of a role over the sizes.
func costPoints(results []Result, phase Phase, role Role, f figure) (nodes, values []float64) {
	for _, result := range results {
		for _, measured := range result.Phases {
			for _, cost := range measured.Roles {
				if measured.Phase == phase && cost.Role == role {
					nodes = append(nodes, float64(result.Nodes))
					values = append(values, f.value(cost))
				}
			}
		}
	}
	return nodes, values
}

// fitLine fits by least squares; too few points give none.
func fitLine(nodes, values []float64) (Fit, bool) {
	if len(nodes) < minFitPoints {
		return Fit{}, false
	}
	base, slope := stat.LinearRegression(nodes, values, nil, false)
	squares := 0.0
	for i := range nodes {
		distance := values[i] - base - slope*nodes[i]
		squares += distance * distance
	}
	return Fit{
		Base:      base,
		PerNode:   slope,
		Residual:  math.Sqrt(squares / float64(len(nodes))),
		Points:    len(nodes),
		AtLargest: values[len(values)-1],
	}, true
}

// WriteFits prints the lines.
func WriteFits(w io.Writer, results []Result) {
	fits := Fits(results)
	if len(fits) == 0 {
		return
	}
	t := newTable(w, "Lines over the number of nodes: figure = base + slope * nodes")
	t.AppendHeader(table.Row{"phase", "role", "figure", "sizes", "base", "slope", "residual", "at the largest"})
	for _, fit := range fits {
		t.AppendRow(table.Row{
			fit.Phase, roleName(fit.Role), fit.Figure, fit.Points,
			decimal(fit.Base, 3), decimal(fit.PerNode, 5), decimal(fit.Residual, 3), decimal(fit.AtLargest, 3),
		})
	}
	t.Render()
}
