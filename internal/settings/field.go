package settings

import (
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// valueKind is the syntax of a field's value.
type valueKind int

const (
	kindString valueKind = iota + 1
	kindList
	kindDuration
	kindSize
	kindInteger
	kindFloat
)

// Field describes one settings key.
type Field struct {
	// Key is the dotted key.
	Key string
	// Help is the flag's help text.
	Help string
	kind valueKind
}

// EnvironmentVariable returns the name of the environment variable that sets
// the key.
func (f Field) EnvironmentVariable() string {
	return environmentPrefix + strings.ToUpper(strings.ReplaceAll(f.Key, ".", "_"))
}

// environmentPrefix is the prefix of all environment variables that are read.
const environmentPrefix = "DALEHOOK_"

// Fields lists all keys in declaration order.
func Fields() []Field {
	return fieldsOf(reflect.TypeFor[Settings](), "")
}

func fieldsOf(structType reflect.Type, prefix string) []Field {
	var fields []Field
	for i := range structType.NumField() {
		member := structType.Field(i)
		key := prefix + member.Tag.Get("koanf")
		if member.Type.Kind() == reflect.Struct {
			fields = append(fields, fieldsOf(member.Type, key+".")...)
			continue
		}
		fields = append(fields, Field{Key: key, Help: member.Tag.Get("help"), kind: kindOf(member.Type)})
	}
	return fields
}

func kindOf(member reflect.Type) valueKind {
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
		return kindFloat
	}
	return kindString
}

// parseScalar parses a value of the given kind.
func parseScalar(kind valueKind, text string) (any, error) {
	switch kind {
	case kindDuration:
		return parseDuration(text)
	case kindSize:
		return parseSize(text)
	case kindInteger:
		return parseInteger(text)
	case kindFloat:
		return parseFloat(text)
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

// sizeUnits holds the suffixes of a size. "B" comes last because every suffix
// ends in it.
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

func parseFloat(text string) (float64, error) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, eris.Errorf("%q is no number", text)
	}
	return value, nil
}
