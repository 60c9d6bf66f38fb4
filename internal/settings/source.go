package settings

import (
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// loader collects values from all sources and records the origin of each.
type loader struct {
	fields map[string]Field
	// values holds the parsed values by key; later sources override earlier ones.
	values map[string]any
	// origins holds the origin of each key and of each list element ("peers[1]").
	origins map[string]Origin
	errors  FieldErrors
}

func newLoader() *loader {
	l := &loader{
		fields:  map[string]Field{},
		values:  map[string]any{},
		origins: map[string]Origin{},
	}
	for _, field := range Fields() {
		l.fields[field.Key] = field
	}
	return l
}

func (l *loader) addError(origin Origin, key, message string) {
	l.errors = append(l.errors, FieldError{Origin: origin, Key: key, Message: message})
}

// readFile reads the YAML file and records its field errors. It returns an error
// if the file can't be read or isn't valid YAML.
func (l *loader) readFile(path string) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read settings file")
	}
	var document yaml.Node
	if err := yaml.Unmarshal(content, &document); err != nil {
		return FieldErrors{{Origin: Origin{Source: path}, Message: err.Error()}}
	}
	if len(document.Content) == 0 {
		return nil
	}
	l.readMapping(path, "", document.Content[0])
	return nil
}

func (l *loader) readMapping(path, prefix string, node *yaml.Node) {
	origin := Origin{Source: path, Line: node.Line}
	if node.Kind != yaml.MappingNode {
		l.addError(origin, strings.TrimSuffix(prefix, "."), "must hold keys and values")
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		name, value := node.Content[i], node.Content[i+1]
		key := prefix + name.Value
		nameOrigin := Origin{Source: path, Line: name.Line}
		if seen[key] {
			l.addError(nameOrigin, key, "is stated twice")
			continue
		}
		seen[key] = true
		field, known := l.fields[key]
		switch {
		case known:
			l.readNode(nameOrigin, field, value)
		case l.isSection(key):
			l.readMapping(path, key+".", value)
		default:
			l.addError(nameOrigin, key, "unknown key")
		}
	}
}

func (l *loader) isSection(key string) bool {
	for known := range l.fields {
		if strings.HasPrefix(known, key+".") {
			return true
		}
	}
	return false
}

// readNode reads the value of one field from its YAML node.
func (l *loader) readNode(origin Origin, field Field, node *yaml.Node) {
	if node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	switch field.kind {
	case kindList:
		l.readSequence(origin, field, node)
	default:
		if node.Kind != yaml.ScalarNode || node.Tag == "!!null" {
			l.addError(origin, field.Key, "must be a single value")
			return
		}
		l.setFromText(origin, field, node.Value)
	}
}

func (l *loader) readSequence(origin Origin, field Field, node *yaml.Node) {
	if node.Kind != yaml.SequenceNode && node.Tag != "!!null" {
		l.addError(origin, field.Key, "must be a list")
		return
	}
	var items []string
	for i, item := range node.Content {
		itemOrigin := Origin{Source: origin.Source, Line: item.Line}
		if item.Kind != yaml.ScalarNode {
			l.addError(itemOrigin, elementKey(field.Key, strconv.Itoa(i)), "must be a single value")
			return
		}
		l.origins[elementKey(field.Key, strconv.Itoa(i))] = itemOrigin
		items = append(items, item.Value)
	}
	l.values[field.Key] = items
	l.origins[field.Key] = origin
}

// elementKey returns the key of a list element in the validator's notation.
func elementKey(key, element string) string { return key + "[" + element + "]" }

// setFromText parses a value and stores it, overriding an earlier source.
func (l *loader) setFromText(origin Origin, field Field, text string) {
	switch field.kind {
	case kindList:
		l.deleteElementOrigins(field.Key)
		l.values[field.Key] = splitList(text)
	default:
		value, err := parseScalar(field.kind, text)
		if err != nil {
			l.addError(origin, field.Key, err.Error())
			return
		}
		l.values[field.Key] = value
	}
	l.origins[field.Key] = origin
}

// deleteElementOrigins deletes the element origins of an overridden list.
func (l *loader) deleteElementOrigins(key string) {
	maps.DeleteFunc(l.origins, func(known string, _ Origin) bool {
		return strings.HasPrefix(known, key+"[")
	})
}

// splitList parses a comma-separated list, the form used in flags and
// environment variables.
func splitList(text string) []string {
	if text == "" {
		return nil
	}
	items := strings.Split(text, ",")
	for i := range items {
		items[i] = strings.TrimSpace(items[i])
	}
	return items
}

// readEnvironment reads the environment variables that start with
// environmentPrefix; unknown ones are errors.
func (l *loader) readEnvironment(environ []string) {
	variables := map[string]Field{}
	for _, field := range l.fields {
		variables[field.EnvironmentVariable()] = field
	}
	for _, entry := range slices.Sorted(slices.Values(environ)) {
		name, text, _ := strings.Cut(entry, "=")
		if !strings.HasPrefix(name, environmentPrefix) {
			continue
		}
		field, known := variables[name]
		if !known {
			l.addError(Origin{Source: name}, "", "unknown environment variable")
			continue
		}
		l.setFromText(Origin{Source: name}, field, text)
	}
}

// readFlags reads the values given as flags, by key.
func (l *loader) readFlags(flags map[string]string) {
	for _, key := range slices.Sorted(maps.Keys(flags)) {
		origin := Origin{Source: "-" + key}
		field, known := l.fields[key]
		if !known {
			l.addError(origin, key, "unknown key")
			continue
		}
		l.setFromText(origin, field, flags[key])
	}
}

// originOf returns the origin of a key; for a list element without its own
// origin, that of the list.
func (l *loader) originOf(key string) Origin {
	if origin, known := l.origins[key]; known {
		return origin
	}
	listKey, _, _ := strings.Cut(key, "[")
	return l.origins[listKey]
}
