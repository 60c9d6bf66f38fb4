package bench

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"
	"github.com/rotisserie/eris"
)

// WriteTables prints the costs and the times of all sizes.
func WriteTables(w io.Writer, results []Result) {
	writeCosts(w, results)
	writeTimes(w, results)
}

// writeCosts prints what a node costs by size, phase and role.
func writeCosts(w io.Writer, results []Result) {
	t := newTable(w, "Cost of one node (mean of the role)")
	t.AppendHeader(table.Row{"nodes", "phase", "role", "of", "messages/s", "gob B/s", "gob B/s max", "with TCP/IP B/s", "polls/s", "log reads/s", "core %"})
	for _, result := range results {
		for _, phase := range result.Phases {
			for _, cost := range phase.Roles {
				t.AppendRow(table.Row{
					result.Nodes, phase.Phase, roleName(cost.Role), cost.Nodes,
					decimal(cost.Messages, 1), decimal(cost.Bytes, 0), decimal(cost.MaxBytes, 0), decimal(cost.WireBytes, 0),
					decimal(cost.Polls, 2), decimal(cost.LogReads, 2), decimal(100*cost.CoreShare, 3),
				})
			}
		}
		t.AppendSeparator()
	}
	t.Render()
}

// writeTimes prints how soon things are known.
func writeTimes(w io.Writer, results []Result) {
	t := newTable(w, "Times in seconds until the last node (median of the nodes / largest); heap of one node")
	t.AppendHeader(table.Row{"nodes", "phase", "configuration", "dead node", "leaving server", "dead server", "unseen", "refuted", "deaths taken back", "formed", "healed", "heap KB"})
	for _, result := range results {
		for _, phase := range result.Phases {
			t.AppendRow(table.Row{
				result.Nodes, phase.Phase,
				spreadText(phase.Configuration), spreadText(phase.DeadNode), spreadText(phase.LeavingServer), spreadText(phase.DeadServer),
				phase.Unseen, phase.Refuted, phase.Revived,
				seconds(result.Formed), seconds(result.Healed), result.HeapPerNode / 1024,
			})
		}
		t.AppendSeparator()
	}
	t.Render()
}

// newTable returns a table with numbers aligned to the right.
func newTable(w io.Writer, title string) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.SetTitle("%s", title)
	t.SetStyle(table.StyleLight)
	configs := make([]table.ColumnConfig, 0, 12)
	for column := 4; column <= 12; column++ {
		configs = append(configs, table.ColumnConfig{Number: column, Align: text.AlignRight, AlignHeader: text.AlignRight})
	}
	t.SetColumnConfigs(configs)
	return t
}

// WriteCSV writes one line for each size, phase and role.
func WriteCSV(w io.Writer, results []Result) error {
	out := csv.NewWriter(w)
	rows := [][]string{{
		"nodes", "servers", "phase", "role", "role_nodes", "messages_per_s", "gob_bytes_per_s", "max_gob_bytes_per_s",
		"tcp_bytes_per_s", "polls_per_s", "log_reads_per_s", "core_share", "heap_bytes",
		"configuration_p50_s", "configuration_max_s", "dead_node_p50_s", "dead_node_max_s",
		"leaving_server_p50_s", "leaving_server_max_s", "dead_server_p50_s", "dead_server_max_s",
		"unseen", "refuted", "deaths_taken_back", "formed_s", "healed_s",
	}}
	for _, result := range results {
		for _, phase := range result.Phases {
			for _, cost := range phase.Roles {
				rows = append(rows, csvRow(result, phase, cost))
			}
		}
	}
	if err := out.WriteAll(rows); err != nil {
		return eris.Wrap(err, "write the figures as CSV")
	}
	return nil
}

func csvRow(result Result, phase PhaseResult, cost RoleCost) []string {
	return []string{
		strconv.Itoa(result.Nodes), strconv.Itoa(result.Servers), string(phase.Phase), roleName(cost.Role), strconv.Itoa(cost.Nodes),
		decimal(cost.Messages, 3), decimal(cost.Bytes, 1), decimal(cost.MaxBytes, 1), decimal(cost.WireBytes, 1),
		decimal(cost.Polls, 3), decimal(cost.LogReads, 3), decimal(cost.CoreShare, 6), strconv.Itoa(result.HeapPerNode),
		seconds(phase.Configuration.Median), seconds(phase.Configuration.Largest),
		seconds(phase.DeadNode.Median), seconds(phase.DeadNode.Largest),
		seconds(phase.LeavingServer.Median), seconds(phase.LeavingServer.Largest),
		seconds(phase.DeadServer.Median), seconds(phase.DeadServer.Largest),
		strconv.Itoa(phase.Unseen), strconv.Itoa(phase.Refuted), strconv.Itoa(phase.Revived),
		seconds(result.Formed), seconds(result.Healed),
	}
}

// roleName names a role, and all nodes together.
func roleName(role Role) string {
	if role == "" {
		return "all"
	}
	return string(role)
}

func decimal(value float64, digits int) string { return strconv.FormatFloat(value, 'f', digits, 64) }

func seconds(d time.Duration) string { return decimal(d.Seconds(), 2) }

// spreadText returns "median / largest", or a dash when nothing was observed.
func spreadText(s Spread) string {
	if s.Observed == 0 {
		return "-"
	}
	return fmt.Sprintf("%s / %s", seconds(s.Median), seconds(s.Largest))
}
