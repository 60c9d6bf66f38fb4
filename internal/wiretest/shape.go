package wiretest

import (
	"fmt"
	"reflect"
	"time"
)

// Shape is the shape of a type as gob and JSON see it: names and kinds, without the types' own names.
type Shape struct {
	// Kind is that of reflect, or "time".
	Kind string
	// Fields are those of a struct.
	Fields []Field `json:",omitempty"`
	// Elem is the shape of the elements of a slice, an array, a map with text keys or a pointer.
	Elem *Shape `json:",omitempty"`
	// Length is that of an array.
	Length int `json:",omitempty"`
}

// Field is a field of a struct.
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

// basicTypes are the types without parts, by kind.
var basicTypes = basicTypesByKind(false, int(0), int64(0), uint64(0), uint8(0), float64(0), "")

func basicTypesByKind(values ...any) map[string]reflect.Type {
	types := make(map[string]reflect.Type)
	for _, value := range values {
		types[reflect.TypeOf(value).Kind().String()] = reflect.TypeOf(value)
	}
	return types
}

// typeOf returns a type of a shape, which stands for the type of another build.
func typeOf(shape Shape) reflect.Type {
	switch shape.Kind {
	case timeKind:
		return timeType
	case reflect.Struct.String():
		var fields []reflect.StructField
		for _, field := range shape.Fields {
			fields = append(fields, reflect.StructField{Name: field.Name, Type: typeOf(field.Shape)})
		}
		return reflect.StructOf(fields)
	case reflect.Slice.String():
		return reflect.SliceOf(typeOf(*shape.Elem))
	case reflect.Array.String():
		return reflect.ArrayOf(shape.Length, typeOf(*shape.Elem))
	case reflect.Map.String():
		return reflect.MapOf(reflect.TypeFor[string](), typeOf(*shape.Elem))
	case reflect.Pointer.String():
		return reflect.PointerTo(typeOf(*shape.Elem))
	}
	basic, known := basicTypes[shape.Kind]
	if !known {
		panic(fmt.Sprintf("no type of kind %s", shape.Kind))
	}
	return basic
}

// paths returns the kinds of all parts of a shape, by their paths.
func (s Shape) paths(path string, into map[string]string) {
	if path != "" {
		into[path] = s.Kind
	}
	for _, field := range s.Fields {
		field.Shape.paths(fieldPath(path, field.Name), into)
	}
	if s.Elem != nil {
		s.Elem.paths(path+elemPath, into)
	}
}

// elemPath is added to the path of what has elements.
const elemPath = "[]"

func fieldPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
