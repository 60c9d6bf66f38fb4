// Package explain reads the log files of several nodes and prints the history of
// one request, item or batch job in chronological order, with related events.
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

// maxLineSize is the maximum length of a log line, in bytes.
const maxLineSize = 4 << 20

// contextMargin extends the time range of a history on both sides when related
// entries are searched.
const contextMargin = time.Second

// Entry is one entry of a node's log.
type Entry struct {
	Time    time.Time
	Source  string
	Level   string
	Logger  string
	Message string
	// Fields holds the other fields of the entry.
	Fields map[string]any
	// ids holds the values of the idFields, by field.
	ids map[string]string
}

// idFields are the fields that hold the ID of an entry's subject.
var idFields = []string{"request", "job", "item"}

// commonFields are the fields of every entry; they aren't kept in Entry.Fields.
var commonFields = []string{"level", "ts", "logger", "msg", "node"}

// timeLayout is the format of log timestamps.
const timeLayout = "2006-01-02T15:04:05.000Z0700"

// Read returns the entries of a log and skips other lines. The source of an entry
// is its field "node", else the word before the opening brace, else the given
// source.
func Read(source string, reader io.Reader) ([]Entry, error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineSize)
	var entries []Entry
	for scanner.Scan() {
		if entry, ok := parseEntry(source, scanner.Bytes()); ok {
			entries = append(entries, entry)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read %s: %w", source, err)
	}
	return entries, nil
}

func parseEntry(source string, text []byte) (Entry, bool) {
	brace := bytes.IndexByte(text, '{')
	if brace < 0 {
		return Entry{}, false
	}
	fields := make(map[string]any)
	if json.Unmarshal(text[brace:], &fields) != nil {
		return Entry{}, false
	}
	entry := Entry{Source: source, Fields: fields, ids: make(map[string]string)}
	if words := strings.Fields(string(text[:brace])); len(words) > 0 {
		entry.Source = words[len(words)-1]
	}
	if node, ok := fields["node"].(string); ok {
		entry.Source = node
	}
	timestamp, _ := fields["ts"].(string)
	entry.Time, _ = time.Parse(timeLayout, timestamp)
	entry.Level, _ = fields["level"].(string)
	entry.Logger, _ = fields["logger"].(string)
	entry.Message, _ = fields["msg"].(string)
	for _, key := range commonFields {
		delete(fields, key)
	}
	for _, key := range idFields {
		entry.ids[key], _ = fields[key].(string)
	}
	return entry, entry.Message != ""
}

// History holds the log entries about one ID.
type History struct {
	ID string
	// Entries are about the ID itself; Related entries may have affected it. Both
	// are in chronological order.
	Entries, Related []Entry
	// Refusals are the refusals among the entries, in chronological order.
	Refusals []Refusal
}

// Explain returns the entries about an ID, those about the nodes, servers and store
// involved in it during its lifetime, and what is known of its refusals.
func Explain(id string, entries []Entry) History {
	history := History{ID: id}
	participants := make(map[string]bool)
	belongsToJob := false
	for _, entry := range entries {
		if entry.hasID(id) {
			history.Entries = append(history.Entries, entry)
			entry.addParticipants(participants)
			belongsToJob = belongsToJob || entry.ids["job"] != ""
		}
	}
	if len(history.Entries) == 0 {
		return history
	}
	slices.SortStableFunc(history.Entries, compareByTime)
	from := history.Entries[0].Time.Add(-contextMargin)
	to := history.Entries[len(history.Entries)-1].Time.Add(contextMargin)
	fingerprints := fingerprintsOf(history.Entries)
	for _, entry := range entries {
		if entry.hasID(id) {
			continue
		}
		inLifetime := !entry.Time.Before(from) && !entry.Time.After(to)
		if inLifetime && entry.isRelated(participants, belongsToJob) || entry.matchesFingerprint(fingerprints) {
			history.Related = append(history.Related, entry)
		}
	}
	slices.SortStableFunc(history.Related, compareByTime)
	history.Refusals = refusalsOf(history.Entries, entries)
	return history
}

// fingerprintsOf returns the shortened request fingerprints in the entries.
func fingerprintsOf(entries []Entry) []string {
	var fingerprints []string
	for _, entry := range entries {
		if fingerprint, ok := entry.Fields["fingerprint"].(string); ok {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	return fingerprints
}

// matchesFingerprint reports whether the entry comes from the quarantine and
// concerns one of the request fingerprints. Such entries aren't limited in time or
// node: the server crashes that led to a request's quarantine may have been seen
// by other nodes and long before.
func (e Entry) matchesFingerprint(fingerprints []string) bool {
	if e.Logger != "quarantine" {
		return false
	}
	logged, _ := e.Fields["fingerprints"].([]any)
	logged = append(logged, e.Fields["fingerprint"])
	for _, value := range logged {
		text, _ := value.(string)
		if slices.ContainsFunc(fingerprints, func(fingerprint string) bool { return strings.HasPrefix(text, fingerprint) }) {
			return true
		}
	}
	return false
}

func compareByTime(a, b Entry) int {
	return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Source, b.Source))
}

func (e Entry) hasID(id string) bool {
	for _, key := range idFields {
		if e.ids[key] == id {
			return true
		}
	}
	return false
}

// addParticipants adds the node and the servers of the entry.
func (e Entry) addParticipants(participants map[string]bool) {
	participants[e.Source] = true
	if server, ok := e.Fields["server"].(string); ok {
		participants[server] = true
	}
	servers, _ := e.Fields["servers"].([]any)
	for _, server := range servers {
		if name, ok := server.(string); ok {
			participants[name] = true
		}
	}
}

// nodeMessages are the messages that affect all operations of a node.
var nodeMessages = map[string]bool{
	"store lost": true, "store regained": true, "started": true, "stopped": true, "leaving": true, "configuration in force": true,
}

// allJobsMessages are the messages that affect all batch jobs.
var allJobsMessages = map[string]bool{"lease taken": true, "lease lost": true, "holder ended": true, "items wait": true}

// serverMessages are the messages that affect all operations at a server.
var serverMessages = map[string]bool{"server gone": true, "server changed": true, "server found gone": true}

func (e Entry) isRelated(participants map[string]bool, belongsToJob bool) bool {
	if belongsToJob && allJobsMessages[e.Message] || nodeMessages[e.Message] && participants[e.Source] {
		return true
	}
	server, _ := e.Fields["server"].(string)
	return participants[server] && serverMessages[e.Message] && participants[e.Source] ||
		participants[server] && e.Message == "load ordered"
}

// Write prints the history.
func (h History) Write(w io.Writer) error {
	if len(h.Entries) == 0 {
		_, err := fmt.Fprintf(w, "%s: no line is about it\n", h.ID)
		return err
	}
	if err := writeEntries(w, h.ID, h.Entries); err != nil {
		return err
	}
	if err := writeRefusals(w, h.Refusals); err != nil {
		return err
	}
	return writeGroups(w, "meanwhile", collapseRepeated(h.Related))
}

func writeEntries(w io.Writer, title string, entries []Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if _, err := fmt.Fprintf(w, "%s\n", title); err != nil {
		return err
	}
	for _, entry := range entries {
		if err := writeEntry(w, entry); err != nil {
			return err
		}
	}
	return nil
}

// clockLayout is the format of printed times.
const clockLayout = "15:04:05.000"

func writeEntry(w io.Writer, entry Entry) error {
	_, err := fmt.Fprintf(w, "  %s  %-20s %s: %s%s\n",
		entry.Time.Format(clockLayout), entry.Source, entry.Logger, entry.Message, entry.formatFields())
	return err
}

// formatFields formats the fields, sorted by name, and omits empty ones.
func (e Entry) formatFields() string {
	var text strings.Builder
	keys := make([]string, 0, len(e.Fields))
	for key := range e.Fields {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		value, err := json.Marshal(e.Fields[key])
		if err != nil || string(value) == `""` || string(value) == "null" {
			continue
		}
		fmt.Fprintf(&text, " %s=%s", key, strings.Trim(string(value), `"`))
	}
	return text.String()
}
