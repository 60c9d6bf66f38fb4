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

// How equal lines are folded.
const (
	// foldWithin is the time after the first of several equal lines up to which others
	// are folded with it.
	foldWithin = time.Second
	// foldFrom is the number of equal lines from which on they are.
	foldFrom = 3
)

// group is one line, or several that say the same within a short time.
type group struct {
	lines []Line
}

func (g *group) takes(line Line) bool {
	first := g.lines[0]
	return first.Part == line.Part && first.Message == line.Message && line.Time.Sub(first.Time) <= foldWithin
}

// fold groups lines, which are in the order of time. Lines of too small a group stand
// alone.
func fold(lines []Line) []*group {
	var groups []*group
	for _, line := range lines {
		at := slices.IndexFunc(groups, func(g *group) bool { return g.takes(line) })
		if at < 0 {
			groups = append(groups, &group{lines: []Line{line}})
			continue
		}
		groups[at].lines = append(groups[at].lines, line)
	}
	var folded []*group
	for _, g := range groups {
		if len(g.lines) >= foldFrom {
			folded = append(folded, g)
			continue
		}
		for _, line := range g.lines {
			folded = append(folded, &group{lines: []Line{line}})
		}
	}
	slices.SortStableFunc(folded, func(a, b *group) int { return byTime(a.lines[0], b.lines[0]) })
	return folded
}

// sources names the nodes of a group, those with the most lines first.
func (g *group) sources() string {
	counts := make(map[string]int)
	for _, line := range g.lines {
		counts[line.Source]++
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

func writeFolded(w io.Writer, title string, groups []*group) error {
	if len(groups) == 0 {
		return nil
	}
	if _, err := fmt.Fprintf(w, "%s\n", title); err != nil {
		return err
	}
	for _, g := range groups {
		first := g.lines[0]
		if len(g.lines) == 1 {
			if err := writeLine(w, first); err != nil {
				return err
			}
			continue
		}
		_, err := fmt.Fprintf(w, "  %s  %d lines, %s: %s at %s\n",
			first.Time.Format(clockLayout), len(g.lines), first.Part, first.Message, g.sources())
		if err != nil {
			return err
		}
	}
	return nil
}
