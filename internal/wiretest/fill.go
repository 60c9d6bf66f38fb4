package wiretest

import (
	"fmt"
	"hash/fnv"
	"reflect"
	"time"
)

// fill gives each part of a value what its path stands for, so that whoever decodes it knows what to find there.
func fill(value reflect.Value, path string) {
	number := numberOf(path)
	switch value.Kind() {
	case reflect.Struct:
		if value.Type() == timeType {
			value.Set(reflect.ValueOf(time.Unix(number, 0).UTC()))
			return
		}
		for i := range value.NumField() {
			if field := value.Type().Field(i); field.IsExported() {
				fill(value.Field(i), fieldPath(path, field.Name))
			}
		}
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		fill(value.Index(0), path+elemPath)
	case reflect.Array:
		for i := range value.Len() {
			fill(value.Index(i), path+elemPath)
		}
	case reflect.Map:
		elem := reflect.New(value.Type().Elem()).Elem()
		fill(elem, path+elemPath)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(reflect.ValueOf(path).Convert(value.Type().Key()), elem)
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), path+elemPath)
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
		panic(fmt.Sprintf("%s is of kind %s", path, value.Kind()))
	}
}

// numberOf returns what a path stands for among numbers, from 1 to 100.
func numberOf(path string) int64 {
	digest := fnv.New32a()
	digest.Write([]byte(path))
	return int64(digest.Sum32()%100) + 1
}

// faultsOf tells each part of a decoded value that is not what its path stands for, or that is not zero though
// the encoder's type, whose kinds are given by path, does not have it.
func faultsOf(value reflect.Value, path string, encoded map[string]string) []string {
	if _, sent := encoded[path]; path != "" && !sent {
		if value.IsZero() {
			return nil
		}
		return []string{fmt.Sprintf("%s is not zero, though the encoder does not have it", path)}
	}
	want := reflect.New(value.Type()).Elem()
	switch {
	case value.Kind() == reflect.Struct && value.Type() != timeType:
		var faults []string
		for i := range value.NumField() {
			if field := value.Type().Field(i); field.IsExported() {
				faults = append(faults, faultsOf(value.Field(i), fieldPath(path, field.Name), encoded)...)
			}
		}
		return faults
	case value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct:
		if value.Len() != 1 {
			return []string{fmt.Sprintf("%s has %d elements", path, value.Len())}
		}
		return faultsOf(value.Index(0), path+elemPath, encoded)
	case value.Kind() == reflect.Pointer:
		if value.IsNil() {
			return []string{path + " is missing"}
		}
		return faultsOf(value.Elem(), path+elemPath, encoded)
	}
	fill(want, path)
	if !reflect.DeepEqual(want.Interface(), normal(value).Interface()) {
		return []string{fmt.Sprintf("%s is %v, not %v", path, value, want)}
	}
	return nil
}

// normal returns a value without what a decoder is free to choose: the location of a time.
func normal(value reflect.Value) reflect.Value {
	if value.Type() == timeType {
		return reflect.ValueOf(value.Interface().(time.Time).UTC())
	}
	return value
}
