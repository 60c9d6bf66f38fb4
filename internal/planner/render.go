package planner

import (
	"fmt"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"dalehook/internal/record"
)

// Render writes a plan as a page for people. Times have the offset in which the
// event was stated.
func Render(plan record.Plan) string {
	var page strings.Builder
	event := plan.Event
	fmt.Fprintf(&page, "Plan %s\n", plan.Digest)
	fmt.Fprintf(&page, "Event %s: %s, %v, crowd %d arriving within %v. Computed at revision %d.\n",
		event.Name, stamp(event.Start), event.Duration.Std(), event.Crowd, event.Arrival.Std(), plan.Base)
	if len(plan.Missing) > 0 {
		fmt.Fprintf(&page, "\nTHIS PLAN CANNOT BE MET. Missing:\n")
		bullets(&page, plan.Missing)
	}
	section(&page, "Overlapping events", plan.Overlaps)
	section(&page, "Capacity", plan.Arithmetic)
	renderWarm(&page, plan.Warm)
	renderLoads(&page, plan.Loads)
	renderLimits(&page, plan.Limits)
	if len(plan.ShedOrder) > 0 {
		fmt.Fprintf(&page, "\nShed first to last: %s\n", strings.Join(plan.ShedOrder, ", "))
	}
	section(&page, "Risks", plan.Risks)
	return page.String()
}

func section(page *strings.Builder, title string, lines []string) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintf(page, "\n%s:\n", title)
	bullets(page, lines)
}

func bullets(page *strings.Builder, lines []string) {
	for _, line := range lines {
		fmt.Fprintf(page, "  - %s\n", line)
	}
}

// renderWarm groups the back ends that are to be warm by time and pool.
func renderWarm(page *strings.Builder, warm []record.WarmBackend) {
	if len(warm) == 0 {
		return
	}
	t := newTable("Warm at", "Pool", "Zone", "Back end")
	for _, backend := range warm {
		t.AppendRow(table.Row{stamp(backend.At), backend.Pool, backend.Zone, backend.Backend})
	}
	fmt.Fprintf(page, "\nTo be warm:\n%s\n", t.Render())
}

func renderLoads(page *strings.Builder, loads []record.LoadVersion) {
	if len(loads) == 0 {
		return
	}
	t := newTable("Load at", "Pool", "Zone", "Engine", "Model", "Version")
	for _, load := range loads {
		t.AppendRow(table.Row{load.At.Format("15:04:05.000"), load.Pool, load.Zone, load.Engine, load.Model, load.Version})
	}
	fmt.Fprintf(page, "\nVersions to load:\n%s\n", t.Render())
}

func renderLimits(page *strings.Builder, limits []record.ClassLimit) {
	if len(limits) == 0 {
		return
	}
	t := newTable("Class", "Requests/s", "In flight", "Importance")
	for _, limit := range limits {
		t.AppendRow(table.Row{limit.Class, unlimited(limit.Rate), unlimited(limit.Concurrent), limit.Importance})
	}
	fmt.Fprintf(page, "\nLimits on the whole cluster:\n%s\n", t.Render())
}

func newTable(header ...any) table.Writer {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(header)
	return t
}

// unlimited writes zero, which means no limit, as a dash.
func unlimited[N int | float64](value N) string {
	if value == 0 {
		return "-"
	}
	return fmt.Sprint(value)
}

func stamp(at time.Time) string { return at.Format("2006-01-02 15:04:05 -07:00") }
