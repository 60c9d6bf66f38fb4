package command

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"dalehook/internal/record"
)

// eventFlags state an event: a file, flags, or a file of which flags replace
// parts.
type eventFlags struct {
	path string
	// parts set what the flags stated, in their order.
	parts []func(*record.Event) error
}

func (e *eventFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&e.path, "event", "", "event `file` in YAML; the flags below replace parts of it, or add to its lists")
	e.flag(flags, "name", "name of the event", func(event *record.Event, text string) error {
		event.Name = text
		return nil
	})
	e.flag(flags, "start", "start `time`, such as 2026-12-07T09:00:00-05:00, or from now, such as +1m", func(event *record.Event, text string) error {
		start, err := parseStart(time.Now(), text)
		event.Start = start
		return err
	})
	e.flag(flags, "crowd", "expected number of callers", func(event *record.Event, text string) error {
		return yaml.Unmarshal([]byte(text), &event.Crowd)
	})
	e.flag(flags, "duration", "how long the event lasts, such as 4h", func(event *record.Event, text string) error {
		return event.Duration.UnmarshalText([]byte(text))
	})
	e.flag(flags, "arrival", "time over which the crowd's first requests come in, such as 5m", func(event *record.Event, text string) error {
		return event.Arrival.UnmarshalText([]byte(text))
	})
	e.flag(flags, "service", "service that the event touches, as `key=value,...` with the keys of the event file; may be repeated", func(event *record.Event, text string) error {
		return appendPairs(&event.Services, text)
	})
	e.flag(flags, "rollout", "rollout work, as `key=value,...` with the keys of the event file; may be repeated", func(event *record.Event, text string) error {
		return appendPairs(&event.Rollouts, text)
	})
}

// flag registers one part of the event. The text is tried at once, so that a
// fault is reported with its flag, and set when the file has been read.
func (e *eventFlags) flag(flags *flag.FlagSet, name, help string, set func(*record.Event, string) error) {
	flags.Func(name, help, func(text string) error {
		e.parts = append(e.parts, func(event *record.Event) error { return set(event, text) })
		return set(&record.Event{}, text)
	})
}

// load returns the event as stated, or everything that is wrong with it.
func (e *eventFlags) load() (record.Event, error) {
	event, err := e.readFile()
	if err != nil {
		return record.Event{}, err
	}
	for _, set := range e.parts {
		if err := set(&event); err != nil {
			return record.Event{}, err
		}
	}
	return event, checkEvent(event)
}

// eventFile is an event as it stands in a file. The part that only a rehearsal
// reads may stand there too, so that one file serves both.
type eventFile struct {
	record.Event `yaml:",inline"`
	Rehearsal    yaml.Node `yaml:"rehearsal"`
}

// readFile returns the event of the named file, or an empty one.
func (e *eventFlags) readFile() (record.Event, error) {
	if e.path == "" {
		return record.Event{}, nil
	}
	content, err := os.ReadFile(e.path)
	if err != nil {
		return record.Event{}, eris.Wrap(err, "read event file")
	}
	var file eventFile
	if err := decodeStrictly(content, &file); err != nil {
		return record.Event{}, eris.Wrap(err, e.path)
	}
	return file.Event, nil
}

// parseStart reads a time, or a duration from now that begins with "+".
func parseStart(now time.Time, text string) (time.Time, error) {
	if !strings.HasPrefix(text, "+") {
		return time.Parse(time.RFC3339, text)
	}
	lead, err := time.ParseDuration(text)
	return now.Add(lead).UTC().Truncate(time.Second), err
}

func decodeStrictly(content []byte, target any) error {
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	err := decoder.Decode(target)
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// appendPairs reads "key=value,key=value" by the keys of the event file.
func appendPairs[T any](list *[]T, text string) error {
	document := yaml.Node{Kind: yaml.MappingNode}
	for pair := range strings.SplitSeq(text, ",") {
		key, value, found := strings.Cut(pair, "=")
		if !found {
			return eris.Errorf("%q is no key=value", pair)
		}
		document.Content = append(document.Content,
			&yaml.Node{Kind: yaml.ScalarNode, Value: strings.TrimSpace(key)},
			&yaml.Node{Kind: yaml.ScalarNode, Value: strings.TrimSpace(value)})
	}
	content, err := yaml.Marshal(&document)
	if err != nil {
		return err
	}
	var item T
	if err := decodeStrictly(content, &item); err != nil {
		return err
	}
	*list = append(*list, item)
	return nil
}

// checkEvent applies the rules of the event's validate tags.
func checkEvent(event record.Event) error {
	check := validator.New(validator.WithRequiredStructEnabled())
	check.RegisterTagNameFunc(func(member reflect.StructField) string {
		name, _, _ := strings.Cut(member.Tag.Get("yaml"), ",")
		return name
	})
	var failures validator.ValidationErrors
	if !errors.As(check.Struct(event), &failures) {
		return nil
	}
	lines := make([]string, len(failures))
	for i, failure := range failures {
		_, key, _ := strings.Cut(failure.Namespace(), ".")
		lines[i] = fmt.Sprintf("%s: fails the rule %s", key, failure.ActualTag())
		if failure.Tag() == "required" {
			lines[i] = key + ": is required"
		}
	}
	return eris.New(strings.Join(lines, "\n"))
}
