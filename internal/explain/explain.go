// Package explain reads the log files of several nodes and tells the life of one
// request, item or batch job in order, with what surrounded it.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineSize is the size in bytes of the longest line that is read.
const maxLineSize = 4 << 20

// margin is how long before and after the life of an id its surroundings count.
const margin = time.Second

// Line is one entry of a node's log.
type Line struct {
	Time    time.Time
	Source  string
	Level   string
	Part    string
	Message string
	// Fields holds the rest of the entry.
	Fields map[string]any
	// about holds the values of the fields that name something.
	about map[string]string
}

// keysOfIDs are the fields that name what a line is about.
var keysOfIDs = []string{"request", "job", "item"}

// headKeys are the fields that every line has.
var headKeys = []string{"level", "ts", "logger", "msg", "node"}

// timeLayout is the layout of a line's time.
const timeLayout = "2006-01-02T15:04:05.000Z0700"

// Read returns the entries of a log; lines that are none are passed over. An entry's
// field "node" names its node, else what stands before its brace, else the source.
func Read(source string, reader io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineSize)
	var lines []Line
	for scanner.Scan() {
		if line, ok := parse(source, scanner.Bytes()); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read %s: %w", source, err)
	}
	return lines, nil
}

func parse(source string, text []byte) (Line, bool) {
	brace := bytes.IndexByte(text, '{')
	if brace < 0 {
		return Line{}, false
	}
	fields := make(map[string]any)
	if json.Unmarshal(text[brace:], &fields) != nil {
		return Line{}, false
	}
	line := Line{Source: source, Fields: fields, about: make(map[string]string)}
	if words := strings.Fields(string(text[:brace])); len(words) > 0 {
		line.Source = words[len(words)-1]
	}
	if node, ok := fields["node"].(string); ok {
		line.Source = node
	}
	at, _ := fields["ts"].(string)
	line.Time, _ = time.Parse(timeLayout, at)
	line.Level, _ = fields["level"].(string)
	line.Part, _ = fields["logger"].(string)
	line.Message, _ = fields["msg"].(string)
	for _, key := range headKeys {
		delete(fields, key)
	}
	for _, key := range keysOfIDs {
		line.about[key], _ = fields[key].(string)
	}
	return line, line.Message != ""
}

// Story is the life of one id.
type Story struct {
	ID string
	// Own are the lines about the id, Around those that may have touched it; both
	// in the order of time.
	Own, Around []Line
}

// Explain picks the lines of an id, and what happened to the nodes, servers and
// store that it met, while it lived.
func Explain(id string, lines []Line) Story {
	story := Story{ID: id}
	met := make(map[string]bool)
	ofJob := false
	for _, line := range lines {
		if line.isAbout(id) {
			story.Own = append(story.Own, line)
			line.meet(met)
			ofJob = ofJob || line.about["job"] != ""
		}
	}
	if len(story.Own) == 0 {
		return story
	}
	slices.SortStableFunc(story.Own, byTime)
	from := story.Own[0].Time.Add(-margin)
	to := story.Own[len(story.Own)-1].Time.Add(margin)
	fingerprints := fingerprintsOf(story.Own)
	for _, line := range lines {
		if line.isAbout(id) {
			continue
		}
		lived := !line.Time.Before(from) && !line.Time.After(to)
		if lived && line.touches(met, ofJob) || line.tellsOf(fingerprints) {
			story.Around = append(story.Around, line)
		}
	}
	slices.SortStableFunc(story.Around, byTime)
	return story
}

// fingerprintsOf returns the fingerprints that lines name, shortened as in all of them.
func fingerprintsOf(lines []Line) []string {
	var fingerprints []string
	for _, line := range lines {
		if fingerprint, ok := line.Fields["fingerprint"].(string); ok {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	return fingerprints
}

// tellsOf says whether a line tells what is known against a request, by its fingerprint. What had
// it held may have been seen at other nodes, and long before.
func (l Line) tellsOf(fingerprints []string) bool {
	if l.Part != "quarantine" {
		return false
	}
	named, _ := l.Fields["fingerprints"].([]any)
	named = append(named, l.Fields["fingerprint"])
	for _, name := range named {
		text, _ := name.(string)
		if slices.ContainsFunc(fingerprints, func(fingerprint string) bool { return strings.HasPrefix(text, fingerprint) }) {
			return true
		}
	}
	return false
}

func byTime(a, b Line) int {
	return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Source, b.Source))
}

func (l Line) isAbout(id string) bool {
	for _, key := range keysOfIDs {
		if l.about[key] == id {
			return true
		}
	}
	return false
}

// meet notes the servers and the node of a line.
func (l Line) meet(met map[string]bool) {
	met[l.Source] = true
	if server, ok := l.Fields["server"].(string); ok {
		met[server] = true
	}
	servers, _ := l.Fields["servers"].([]any)
	for _, server := range servers {
		if name, ok := server.(string); ok {
			met[name] = true
		}
	}
}

// aboutNode are the messages that concern all that a node does.
var aboutNode = map[string]bool{
	"store lost": true, "store regained": true, "started": true, "stopped": true, "leaving": true, "configuration in force": true,
}

// aboutAll are the messages that concern every batch job.
var aboutAll = map[string]bool{"lease taken": true, "lease lost": true, "holder ended": true}

func (l Line) touches(met map[string]bool, ofJob bool) bool {
	if ofJob && aboutAll[l.Message] || aboutNode[l.Message] && met[l.Source] {
		return true
	}
	server, _ := l.Fields["server"].(string)
	return met[server] && (l.Message == "server gone" || l.Message == "server changed") && met[l.Source] ||
		met[server] && l.Message == "load ordered"
}

// Write prints a story.
func (s Story) Write(w io.Writer) error {
	if len(s.Own) == 0 {
		_, err := fmt.Fprintf(w, "%s: no line is about it\n", s.ID)
		return err
	}
	if err := writeLines(w, s.ID, s.Own); err != nil {
		return err
	}
	return writeFolded(w, "meanwhile", fold(s.Around))
}

func writeLines(w io.Writer, title string, lines []Line) error {
	if len(lines) == 0 {
		return nil
	}
	if _, err := fmt.Fprintf(w, "%s\n", title); err != nil {
		return err
	}
	for _, line := range lines {
		if err := writeLine(w, line); err != nil {
			return err
		}
	}
	return nil
}

// clockLayout is the layout of times that are told.
const clockLayout = "15:04:05.000"

func writeLine(w io.Writer, line Line) error {
	_, err := fmt.Fprintf(w, "  %s  %-20s %s: %s%s\n",
		line.Time.Format(clockLayout), line.Source, line.Part, line.Message, line.details())
	return err
}

// details renders the fields in the order of their names.
func (l Line) details() string {
	var text strings.Builder
	keys := make([]string, 0, len(l.Fields))
	for key := range l.Fields {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		value, err := json.Marshal(l.Fields[key])
		if err != nil || string(value) == `""` || string(value) == "null" {
			continue
		}
		fmt.Fprintf(&text, " %s=%s", key, strings.Trim(string(value), `"`))
	}
	return text.String()
}
