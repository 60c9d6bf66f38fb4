package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/google/subcommands"
	"github.com/jedib0t/go-pretty/v6/table"

	"dalehook/internal/machine"
)

// statusCommand prints what one node knows.
type statusCommand struct {
	streams  Streams
	operator operatorFlags
}

func newStatusCommand(streams Streams) *statusCommand { return &statusCommand{streams: streams} }

// Name implements subcommands.Command.
func (*statusCommand) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*statusCommand) Synopsis() string { return "show what a node knows" }

// Usage implements subcommands.Command.
func (*statusCommand) Usage() string {
	return `status -node ADDRESS [-json]:
	Shows a node's configuration, its view of the other nodes, the back ends,
	the events in force and the steps that it owns.
`
}

// SetFlags implements subcommands.Command.
func (c *statusCommand) SetFlags(flags *flag.FlagSet) { c.operator.register(flags) }

// Execute implements subcommands.Command.
func (c *statusCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	node, ok := c.operator.client(c.streams, flags)
	if !ok {
		return subcommands.ExitUsageError
	}
	ctx, cancel := c.operator.context(ctx)
	defer cancel()
	report, err := node.Status(ctx)
	if err != nil {
		return reportFailure(c.streams, "status", err)
	}
	if c.operator.json {
		return printJSON(c.streams, report)
	}
	renderStatus(c.streams.Output, report)
	return subcommands.ExitSuccess
}

// renderStatus writes a report as tables; empty ones are left out.
func renderStatus(out io.Writer, report machine.StatusReport) {
	fmt.Fprintf(out, "Node %s in zone %s: revision %d, control offset %d, view %d with %d members%s%s\n",
		report.Node.ID, report.Node.Zone, report.Revision, report.ControlOffset,
		report.View.Number, len(report.View.Members),
		when(report.Leaving, ", leaving"), when(report.StoreDown, ", store down"))

	members := newTable("Nodes", table.Row{"node", "zone", "state", "incarnation"})
	for _, member := range report.Members {
		members.AppendRow(table.Row{member.ID, member.Zone, member.State, member.Incarnation})
	}
	backends := newTable("Back ends", table.Row{"back end", "kind", "pool", "zone", "state", "running", "waiting", "model", "version"})
	for _, backend := range report.Backends {
		backends.AppendRow(backendRow(backend))
	}
	events := newTable("Events in force", table.Row{"event", "start", "revision", "digest"})
	for _, event := range report.Events {
		events.AppendRow(table.Row{event.Name, event.Start.Format(time.RFC3339), event.Revision, event.Digest})
	}
	steps := newTable("Steps owned", table.Row{"step", "epoch", "samples", "committed", "running"})
	for _, step := range report.Steps {
		steps.AppendRow(table.Row{step.Step, step.Epoch, step.Samples, step.Committed, step.Running})
	}
	for _, writer := range []table.Writer{members, backends, events, steps} {
		if writer.Length() > 0 {
			fmt.Fprintf(out, "\n%s\n", writer.Render())
		}
	}
}

// unknownHere stands where a node has no report of a back end: other nodes watch it.
const unknownHere = "not known here"

func backendRow(backend machine.BackendStatus) table.Row {
	row := table.Row{backend.ID, backend.Kind, backend.Pool, backend.Zone, backend.State}
	if backend.Unreported {
		return append(row, "", "", unknownHere, "")
	}
	return append(row, backend.Running, backend.Waiting, backend.Model, versionText(backend))
}

func newTable(title string, header table.Row) table.Writer {
	writer := table.NewWriter()
	writer.SetTitle(title)
	writer.AppendHeader(header)
	return writer
}

func versionText(backend machine.BackendStatus) string {
	if backend.Version == 0 {
		return ""
	}
	return fmt.Sprint(backend.Version)
}

func when(condition bool, text string) string {
	if condition {
		return text
	}
	return ""
}
