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

// reader collects values from the sources and remembers where each was stated.
type reader struct {
	fields map[string]Field
	// values holds parsed values by key; a later source replaces an earlier one.
	values map[string]any
	// origins holds the origin of each key, and of elements ("peers[1]").
	origins map[string]Origin
	faults  Faults
}

func newReader() *reader {
	r := &reader{
		fields:  map[string]Field{},
		values:  map[string]any{},
		origins: map[string]Origin{},
	}
	for _, field := range Fields() {
		r.fields[field.Key] = field
	}
	return r
}

func (r *reader) fault(origin Origin, key, message string) {
	r.faults = append(r.faults, Fault{Origin: origin, Key: key, Message: message})
}

// readFile reads the YAML file and collects its faults. The error says that the
// file can't be read, or that it isn't YAML, so that nothing else can be said.
func (r *reader) readFile(path string) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read settings file")
	}
	var document yaml.Node
	if err := yaml.Unmarshal(content, &document); err != nil {
		return Faults{{Origin: Origin{Source: path}, Message: err.Error()}}
	}
	if len(document.Content) == 0 {
		return nil
	}
	r.readMapping(path, "", document.Content[0])
	return nil
}

func (r *reader) readMapping(path, prefix string, node *yaml.Node) {
	origin := Origin{Source: path, Line: node.Line}
	if node.Kind != yaml.MappingNode {
		r.fault(origin, strings.TrimSuffix(prefix, "."), "must hold keys and values")
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		name, value := node.Content[i], node.Content[i+1]
		key := prefix + name.Value
		nameOrigin := Origin{Source: path, Line: name.Line}
		if seen[key] {
			r.fault(nameOrigin, key, "is stated twice")
			continue
		}
		seen[key] = true
		field, known := r.fields[key]
		switch {
		case known:
			r.readNode(nameOrigin, field, value)
		case r.isSection(key):
			r.readMapping(path, key+".", value)
		default:
			r.fault(nameOrigin, key, "unknown key")
		}
	}
}

func (r *reader) isSection(key string) bool {
	for known := range r.fields {
		if strings.HasPrefix(known, key+".") {
			return true
		}
	}
	return false
}

// readNode reads the value of one key from the file.
func (r *reader) readNode(origin Origin, field Field, node *yaml.Node) {
	if node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	switch field.kind {
	case kindList:
		r.readSequence(origin, field, node)
	default:
		if node.Kind != yaml.ScalarNode || node.Tag == "!!null" {
			r.fault(origin, field.Key, "must be a single value")
			return
		}
		r.set(origin, field, node.Value)
	}
}

func (r *reader) readSequence(origin Origin, field Field, node *yaml.Node) {
	if node.Kind != yaml.SequenceNode && node.Tag != "!!null" {
		r.fault(origin, field.Key, "must be a list")
		return
	}
	var items []string
	for i, item := range node.Content {
		itemOrigin := Origin{Source: origin.Source, Line: item.Line}
		if item.Kind != yaml.ScalarNode {
			r.fault(itemOrigin, elementKey(field.Key, strconv.Itoa(i)), "must be a single value")
			return
		}
		r.origins[elementKey(field.Key, strconv.Itoa(i))] = itemOrigin
		items = append(items, item.Value)
	}
	r.values[field.Key] = items
	r.origins[field.Key] = origin
}

// elementKey names an element of a list as the validator does.
func elementKey(key, element string) string { return key + "[" + element + "]" }

// set takes the text of one value from any source.
func (r *reader) set(origin Origin, field Field, text string) {
	switch field.kind {
	case kindList:
		r.dropElements(field.Key)
		r.values[field.Key] = splitList(text)
	default:
		value, err := parseScalar(field.kind, text)
		if err != nil {
			r.fault(origin, field.Key, err.Error())
			return
		}
		r.values[field.Key] = value
	}
	r.origins[field.Key] = origin
}

// dropElements forgets element origins of a source that was overridden.
func (r *reader) dropElements(key string) {
	maps.DeleteFunc(r.origins, func(known string, _ Origin) bool {
		return strings.HasPrefix(known, key+"[")
	})
}

// splitList reads a list as flags and variables write it: "a,b,c".
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

// readEnvironment reads the variables that start with variablePrefix.
func (r *reader) readEnvironment(environ []string) {
	variables := map[string]Field{}
	for _, field := range r.fields {
		variables[field.Variable()] = field
	}
	for _, entry := range slices.Sorted(slices.Values(environ)) {
		name, text, _ := strings.Cut(entry, "=")
		if !strings.HasPrefix(name, variablePrefix) {
			continue
		}
		field, known := variables[name]
		if !known {
			r.fault(Origin{Source: name}, "", "unknown environment variable")
			continue
		}
		r.set(Origin{Source: name}, field, text)
	}
}

// readFlags reads values by key as flags stated them.
func (r *reader) readFlags(flags map[string]string) {
	for _, key := range slices.Sorted(maps.Keys(flags)) {
		origin := Origin{Source: "-" + key}
		field, known := r.fields[key]
		if !known {
			r.fault(origin, key, "unknown key")
			continue
		}
		r.set(origin, field, flags[key])
	}
}

// originOf returns where a key, or the list that it is an element of, was stated.
func (r *reader) originOf(key string) Origin {
	if origin, known := r.origins[key]; known {
		return origin
	}
	whole, _, _ := strings.Cut(key, "[")
	return r.origins[whole]
}
