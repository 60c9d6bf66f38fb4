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

// statusCommand prints the status report of one node.
type statusCommand struct {
	streams     Streams
	clientFlags clientFlags
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
func (c *statusCommand) SetFlags(flags *flag.FlagSet) { c.clientFlags.register(flags) }

// Execute implements subcommands.Command.
func (c *statusCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	node, ok := c.clientFlags.newClient(c.streams, flags)
	if !ok {
		return subcommands.ExitUsageError
	}
	ctx, cancel := c.clientFlags.withTimeout(ctx)
	defer cancel()
	report, err := node.Status(ctx)
	if err != nil {
		return printFailure(c.streams, "status", err)
	}
	if c.clientFlags.json {
		return printJSON(c.streams, report)
	}
	renderStatus(c.streams.Output, report)
	return subcommands.ExitSuccess
}

// renderStatus writes a report as tables and omits empty ones.
func renderStatus(out io.Writer, report machine.StatusReport) {
	fmt.Fprintf(out, "Node %s in zone %s: revision %d, control offset %d, view %d with %d members%s%s\n",
		report.Node.ID, report.Node.Zone, report.Revision, report.ControlOffset,
		report.View.Number, len(report.View.Members),
		textIf(report.Leaving, ", leaving"), textIf(report.StoreDown, ", store down"))

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

// notReported is shown in place of the model of a backend that the node has no
// report of, because other nodes watch it.
const notReported = "not known here"

func backendRow(backend machine.BackendStatus) table.Row {
	row := table.Row{backend.ID, backend.Kind, backend.Pool, backend.Zone, backend.State}
	if backend.Unreported {
		return append(row, "", "", notReported, "")
	}
	return append(row, backend.Running, backend.Waiting, backend.Model, formatVersion(backend))
}

func newTable(title string, header table.Row) table.Writer {
	writer := table.NewWriter()
	writer.SetTitle(title)
	writer.AppendHeader(header)
	return writer
}

func formatVersion(backend machine.BackendStatus) string {
	if backend.Version == 0 {
		return ""
	}
	return fmt.Sprint(backend.Version)
}

func textIf(condition bool, text string) string {
	if condition {
		return text
	}
	return ""
}
