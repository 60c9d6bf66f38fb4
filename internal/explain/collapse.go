package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Parameters of collapsing repeated entries.
const (
	// collapseWindow is the time after the first entry of a group in which equal
	// entries join it.
	collapseWindow = time.Second
	// minCollapsed is the smallest number of entries that are collapsed.
	minCollapsed = 3
)

// entryGroup holds one entry, or several with the same logger and message within
// collapseWindow.
type entryGroup struct {
	entries []Entry
}

func (g *entryGroup) accepts(entry Entry) bool {
	first := g.entries[0]
	return first.Logger == entry.Logger && first.Message == entry.Message && entry.Time.Sub(first.Time) <= collapseWindow
}

// collapseRepeated groups repeated entries; the input is in chronological order.
// Groups of fewer than minCollapsed entries are split into single entries.
func collapseRepeated(entries []Entry) []*entryGroup {
	var groups []*entryGroup
	for _, entry := range entries {
		index := slices.IndexFunc(groups, func(g *entryGroup) bool { return g.accepts(entry) })
		if index < 0 {
			groups = append(groups, &entryGroup{entries: []Entry{entry}})
			continue
		}
		groups[index].entries = append(groups[index].entries, entry)
	}
	var collapsed []*entryGroup
	for _, g := range groups {
		if len(g.entries) >= minCollapsed {
			collapsed = append(collapsed, g)
			continue
		}
		for _, entry := range g.entries {
			collapsed = append(collapsed, &entryGroup{entries: []Entry{entry}})
		}
	}
	slices.SortStableFunc(collapsed, func(a, b *entryGroup) int { return compareByTime(a.entries[0], b.entries[0]) })
	return collapsed
}

// formatSources lists the sources of the group with their number of entries, in
// decreasing order of that number.
func (g *entryGroup) formatSources() string {
	counts := make(map[string]int)
	for _, entry := range g.entries {
		counts[entry.Source]++
	}
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(-cmp.Compare(counts[a], counts[b]), cmp.Compare(a, b))
	})
	for i, name := range names {
		if counts[name] > 1 {
			names[i] = fmt.Sprintf("%s (%d)", name, counts[name])
		}
	}
	return strings.Join(names, ", ")
}

func writeGroups(w io.Writer, title string, groups []*entryGroup) error {
	if len(groups) == 0 {
		return nil
	}
	if _, err := fmt.Fprintf(w, "%s\n", title); err != nil {
		return err
	}
	for _, g := range groups {
		first := g.entries[0]
		if len(g.entries) == 1 {
			if err := writeEntry(w, first); err != nil {
				return err
			}
			continue
		}
		_, err := fmt.Fprintf(w, "  %s  %d lines, %s: %s at %s\n",
			first.Time.Format(clockLayout), len(g.entries), first.Logger, first.Message, g.formatSources())
		if err != nil {
			return err
		}
	}
	return nil
}
