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

// eventFlags define an event by a file, by flags, or by a file with flags that
// override parts of it.
type eventFlags struct {
	path string
	// setters apply the flags to the event, in command-line order.
	setters []func(*record.Event) error
}

func (e *eventFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&e.path, "event", "", "event `file` in YAML; the flags below replace parts of it, or add to its lists")
	e.registerFlag(flags, "name", "name of the event", func(event *record.Event, text string) error {
		event.Name = text
		return nil
	})
	e.registerFlag(flags, "start", "start `time`, such as 2026-12-07T09:00:00-05:00, or from now, such as +1m", func(event *record.Event, text string) error {
		start, err := parseStart(time.Now(), text)
		event.Start = start
		return err
	})
	e.registerFlag(flags, "crowd", "expected number of callers", func(event *record.Event, text string) error {
		return yaml.Unmarshal([]byte(text), &event.Crowd)
	})
	e.registerFlag(flags, "duration", "how long the event lasts, such as 4h", func(event *record.Event, text string) error {
		return event.Duration.UnmarshalText([]byte(text))
	})
	e.registerFlag(flags, "arrival", "time over which the crowd's first requests come in, such as 5m", func(event *record.Event, text string) error {
		return event.Arrival.UnmarshalText([]byte(text))
	})
	e.registerFlag(flags, "service", "service that the event touches, as `key=value,...` with the keys of the event file; may be repeated", func(event *record.Event, text string) error {
		return appendFromPairs(&event.Services, text)
	})
	e.registerFlag(flags, "rollout", "rollout work, as `key=value,...` with the keys of the event file; may be repeated", func(event *record.Event, text string) error {
		return appendFromPairs(&event.Rollouts, text)
	})
}

// registerFlag registers a flag that sets one part of the event. The value is
// parsed immediately, so that an error names the flag, and applied after the file
// was read.
func (e *eventFlags) registerFlag(flags *flag.FlagSet, name, help string, set func(*record.Event, string) error) {
	flags.Func(name, help, func(text string) error {
		e.setters = append(e.setters, func(event *record.Event) error { return set(event, text) })
		return set(&record.Event{}, text)
	})
}

// load returns the event, or an error that lists all invalid fields.
func (e *eventFlags) load() (record.Event, error) {
	event, err := e.readFile()
	if err != nil {
		return record.Event{}, err
	}
	for _, set := range e.setters {
		if err := set(&event); err != nil {
			return record.Event{}, err
		}
	}
	return event, validateEvent(event)
}

// eventFile is the content of an event file. It accepts the rehearsal section,
// which only the rehearse subcommand reads, so that both can share a file.
type eventFile struct {
	record.Event `yaml:",inline"`
	Rehearsal    yaml.Node `yaml:"rehearsal"`
}

// readFile returns the event from the file, or an empty one if no file is given.
func (e *eventFlags) readFile() (record.Event, error) {
	if e.path == "" {
		return record.Event{}, nil
	}
	content, err := os.ReadFile(e.path)
	if err != nil {
		return record.Event{}, eris.Wrap(err, "read event file")
	}
	var file eventFile
	if err := decodeStrict(content, &file); err != nil {
		return record.Event{}, eris.Wrap(err, e.path)
	}
	return file.Event, nil
}

// parseStart parses an RFC 3339 time, or a duration from now that starts with
// "+".
func parseStart(now time.Time, text string) (time.Time, error) {
	if !strings.HasPrefix(text, "+") {
		return time.Parse(time.RFC3339, text)
	}
	offset, err := time.ParseDuration(text)
	return now.Add(offset).UTC().Truncate(time.Second), err
}

func decodeStrict(content []byte, target any) error {
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	err := decoder.Decode(target)
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// appendFromPairs parses "key=value,key=value" with the keys of the event file
// and appends the result to the list.
func appendFromPairs[T any](list *[]T, text string) error {
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
	if err := decodeStrict(content, &item); err != nil {
		return err
	}
	*list = append(*list, item)
	return nil
}

// validateEvent checks the event against its validate tags.
func validateEvent(event record.Event) error {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		return name
	})
	var failures validator.ValidationErrors
	if !errors.As(validate.Struct(event), &failures) {
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
