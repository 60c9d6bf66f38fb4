package settings

import (
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// kind says how the value of a field is written.
type kind int

const (
	kindText kind = iota + 1
	kindList
	kindDuration
	kindSize
	kindInteger
	kindNumber
)

// Field is one key of the settings.
type Field struct {
	// Key is the dotted key.
	Key string
	// Help says in a few words what the key is for.
	Help string
	kind kind
}

// Variable returns the name of the environment variable for the key.
func (f Field) Variable() string {
	return variablePrefix + strings.ToUpper(strings.ReplaceAll(f.Key, ".", "_"))
}

// variablePrefix starts the name of each environment variable that is read.
const variablePrefix = "DALEHOOK_"

// Fields lists all keys in the order of Settings.
func Fields() []Field {
	return fieldsOf(reflect.TypeFor[Settings](), "")
}

func fieldsOf(structure reflect.Type, prefix string) []Field {
	var fields []Field
	for i := range structure.NumField() {
		member := structure.Field(i)
		key := prefix + member.Tag.Get("koanf")
		if member.Type.Kind() == reflect.Struct {
			fields = append(fields, fieldsOf(member.Type, key+".")...)
			continue
		}
		fields = append(fields, Field{Key: key, Help: member.Tag.Get("help"), kind: kindOf(member.Type)})
	}
	return fields
}

func kindOf(member reflect.Type) kind {
	switch member {
	case reflect.TypeFor[time.Duration]():
		return kindDuration
	case reflect.TypeFor[Size]():
		return kindSize
	}
	switch member.Kind() {
	case reflect.Slice:
		return kindList
	case reflect.Int:
		return kindInteger
	case reflect.Float64:
		return kindNumber
	}
	return kindText
}

// parseScalar reads one value as its kind demands.
func parseScalar(kind kind, text string) (any, error) {
	switch kind {
	case kindDuration:
		return parseDuration(text)
	case kindSize:
		return parseSize(text)
	case kindInteger:
		return parseInteger(text)
	case kindNumber:
		return parseNumber(text)
	}
	return text, nil
}

func parseDuration(text string) (time.Duration, error) {
	if _, err := strconv.ParseFloat(text, 64); err == nil {
		return 0, eris.Errorf(`wrong unit: %q is a bare number; write a duration with its unit, such as "30s"`, text)
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return 0, eris.Errorf(`wrong unit: %q is no duration; write one such as "30s", "250ms" or "10m"`, text)
	}
	return value, nil
}

// sizeUnits holds the units of a size, longest first since all end in "B".
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{
	{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1},
}

func parseSize(text string) (Size, error) {
	for _, unit := range sizeUnits {
		digits, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		count, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || count > (1<<62)/unit.bytes {
			break
		}
		return Size(count * unit.bytes), nil
	}
	if _, err := strconv.ParseFloat(text, 64); err == nil {
		return 0, eris.Errorf(`wrong unit: %q is a bare number; write a size with its unit, such as "8MiB"`, text)
	}
	return 0, eris.Errorf(`wrong unit: %q is no size; write a whole number of B, KiB, MiB or GiB, such as "8MiB"`, text)
}

func parseInteger(text string) (int, error) {
	value, err := strconv.Atoi(text)
	if err != nil {
		return 0, eris.Errorf("%q is no whole number", text)
	}
	return value, nil
}

func parseNumber(text string) (float64, error) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, eris.Errorf("%q is no number", text)
	}
	return value, nil
}
