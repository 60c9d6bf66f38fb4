package wiretest

import (
	"fmt"
	"reflect"
	"time"
)

// Shape is the structure of a type as far as gob and JSON encode it: field names
// and kinds, without type names.
type Shape struct {
	// Kind is the name of the reflect.Kind, or "time".
	Kind string
	// Fields are the exported fields of a struct.
	Fields []Field `json:",omitempty"`
	// Elem is the element shape of a slice, an array, a map with string keys or a
	// pointer.
	Elem *Shape `json:",omitempty"`
	// Length is the length of an array.
	Length int `json:",omitempty"`
}

// Field is a struct field.
type Field struct {
	Name  string
	Shape Shape
}

const timeKind = "time"

var timeType = reflect.TypeFor[time.Time]()

// shapeOf returns the shape of a type.
func shapeOf(t reflect.Type) Shape {
	shape := Shape{Kind: t.Kind().String()}
	switch {
	case t == timeType:
		return Shape{Kind: timeKind}
	case t.Kind() == reflect.Struct:
		for i := range t.NumField() {
			if field := t.Field(i); field.IsExported() {
				shape.Fields = append(shape.Fields, Field{Name: field.Name, Shape: shapeOf(field.Type)})
			}
		}
	case t.Kind() == reflect.Array:
		shape.Length = t.Len()
		fallthrough
	case t.Kind() == reflect.Slice, t.Kind() == reflect.Map, t.Kind() == reflect.Pointer:
		elem := shapeOf(t.Elem())
		shape.Elem = &elem
	}
	return shape
}

// scalarTypes holds the supported scalar types by kind.
var scalarTypes = typesByKind(false, int(0), int64(0), uint64(0), uint8(0), float64(0), "")

func typesByKind(values ...any) map[string]reflect.Type {
	types := make(map[string]reflect.Type)
	for _, value := range values {
		types[reflect.TypeOf(value).Kind().String()] = reflect.TypeOf(value)
	}
	return types
}

// newType returns a type with the given shape. It stands in for the type of
// another build.
func newType(shape Shape) reflect.Type {
	switch shape.Kind {
	case timeKind:
		return timeType
	case reflect.Struct.String():
		var fields []reflect.StructField
		for _, field := range shape.Fields {
			fields = append(fields, reflect.StructField{Name: field.Name, Type: newType(field.Shape)})
		}
		return reflect.StructOf(fields)
	case reflect.Slice.String():
		return reflect.SliceOf(newType(*shape.Elem))
	case reflect.Array.String():
		return reflect.ArrayOf(shape.Length, newType(*shape.Elem))
	case reflect.Map.String():
		return reflect.MapOf(reflect.TypeFor[string](), newType(*shape.Elem))
	case reflect.Pointer.String():
		return reflect.PointerTo(newType(*shape.Elem))
	}
	scalar, known := scalarTypes[shape.Kind]
	if !known {
		panic(fmt.Sprintf("unsupported kind %s", shape.Kind))
	}
	return scalar
}

// addKinds adds the kinds of all parts of the shape to kinds, by path.
func (s Shape) addKinds(path string, kinds map[string]string) {
	if path != "" {
		kinds[path] = s.Kind
	}
	for _, field := range s.Fields {
		field.Shape.addKinds(fieldPath(path, field.Name), kinds)
	}
	if s.Elem != nil {
		s.Elem.addKinds(path+elemSuffix, kinds)
	}
}

// elemSuffix is appended to a path to get the path of its elements.
const elemSuffix = "[]"

func fieldPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
