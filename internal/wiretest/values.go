package wiretest

import (
	"fmt"
	"hash/fnv"
	"reflect"
	"time"
)

// fillFromPath sets each part of a value to a value derived from its path, so that
// the decoder knows what to expect.
func fillFromPath(value reflect.Value, path string) {
	number := numberForPath(path)
	switch value.Kind() {
	case reflect.Struct:
		if value.Type() == timeType {
			value.Set(reflect.ValueOf(time.Unix(number, 0).UTC()))
			return
		}
		for i := range value.NumField() {
			if field := value.Type().Field(i); field.IsExported() {
				fillFromPath(value.Field(i), fieldPath(path, field.Name))
			}
		}
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		fillFromPath(value.Index(0), path+elemSuffix)
	case reflect.Array:
		for i := range value.Len() {
			fillFromPath(value.Index(i), path+elemSuffix)
		}
	case reflect.Map:
		elem := reflect.New(value.Type().Elem()).Elem()
		fillFromPath(elem, path+elemSuffix)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(reflect.ValueOf(path).Convert(value.Type().Key()), elem)
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fillFromPath(value.Elem(), path+elemSuffix)
	case reflect.String:
		value.SetString(path)
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int64:
		value.SetInt(number)
	case reflect.Uint8, reflect.Uint64:
		value.SetUint(uint64(number))
	case reflect.Float64:
		value.SetFloat(float64(number))
	default:
		panic(fmt.Sprintf("%s has unsupported kind %s", path, value.Kind()))
	}
}

// numberForPath returns the number for a path, from 1 to 100.
func numberForPath(path string) int64 {
	digest := fnv.New32a()
	digest.Write([]byte(path))
	return int64(digest.Sum32()%100) + 1
}

// findMismatches describes each part of a decoded value that differs from the value
// for its path, or that isn't zero although the encoder's type doesn't have it.
// encoderKinds holds the kinds of the encoder's type by path.
func findMismatches(value reflect.Value, path string, encoderKinds map[string]string) []string {
	if _, inEncoder := encoderKinds[path]; path != "" && !inEncoder {
		if value.IsZero() {
			return nil
		}
		return []string{fmt.Sprintf("%s is not zero, but the encoder does not have it", path)}
	}
	want := reflect.New(value.Type()).Elem()
	switch {
	case value.Kind() == reflect.Struct && value.Type() != timeType:
		var mismatches []string
		for i := range value.NumField() {
			if field := value.Type().Field(i); field.IsExported() {
				mismatches = append(mismatches, findMismatches(value.Field(i), fieldPath(path, field.Name), encoderKinds)...)
			}
		}
		return mismatches
	case value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct:
		if value.Len() != 1 {
			return []string{fmt.Sprintf("%s has %d elements, want 1", path, value.Len())}
		}
		return findMismatches(value.Index(0), path+elemSuffix, encoderKinds)
	case value.Kind() == reflect.Pointer:
		if value.IsNil() {
			return []string{path + " is missing"}
		}
		return findMismatches(value.Elem(), path+elemSuffix, encoderKinds)
	}
	fillFromPath(want, path)
	if !reflect.DeepEqual(want.Interface(), normalize(value).Interface()) {
		return []string{fmt.Sprintf("%s is %v, want %v", path, value, want)}
	}
	return nil
}

// normalize returns a value without what a decoder is free to choose, the location
// of a time.
func normalize(value reflect.Value) reflect.Value {
	if value.Type() == timeType {
		return reflect.ValueOf(value.Interface().(time.Time).UTC())
	}
	return value
}
