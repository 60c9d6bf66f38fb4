package frontend

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/sergi/go-diff/diffmatchpatch"
)

// keySeparator separates the parts of a nested key.
const keySeparator = "."

// nearKeyShare is the share of a key's characters that may differ from those of a known key for the
// latter to be named in an error.
const nearKeyShare = 1.0 / 3

// keyTree holds the known keys of an object; the value of a key is nil if it holds no object with
// known keys.
type keyTree map[string]keyTree

// settingsKeys returns the keys of the settings. A map with tenants as keys counts as a value.
func settingsKeys() keyTree {
	text, err := json.Marshal(defaultSettings())
	if err != nil {
		panic(err) // Settings consist of encodable types.
	}
	var object map[string]any
	if err := json.Unmarshal(text, &object); err != nil {
		panic(err)
	}
	return newKeyTree(object)
}

func newKeyTree(object map[string]any) keyTree {
	tree := make(keyTree)
	for key, value := range object {
		tree[key] = nil
		if section, ok := value.(map[string]any); ok && len(section) > 0 {
			tree[key] = newKeyTree(section)
		}
	}
	return tree
}

// paths returns the keys with those of their sections, in alphabetical order.
func (t keyTree) paths(prefix string) []string {
	var paths []string
	for _, key := range slices.Sorted(maps.Keys(t)) {
		paths = append(paths, prefix+key)
		paths = append(paths, t[key].paths(prefix+key+keySeparator)...)
	}
	return paths
}

// unknown returns the keys of an object that are not in the tree, in alphabetical order.
func (t keyTree) unknown(prefix string, object map[string]any) []string {
	var unknown []string
	names := slices.Sorted(maps.Keys(t))
	for _, key := range slices.Sorted(maps.Keys(object)) {
		// Package json ignores case when it assigns keys to fields.
		index := slices.IndexFunc(names, func(name string) bool { return strings.EqualFold(name, key) })
		if index < 0 {
			unknown = append(unknown, prefix+key)
			continue
		}
		name := names[index]
		if section, ok := object[key].(map[string]any); ok && t[name] != nil {
			unknown = append(unknown, t[name].unknown(prefix+name+keySeparator, section)...)
		}
	}
	return unknown
}

// unknownKeys returns an error for each unknown key of a settings file, with the nearest known key if
// one is near.
func unknownKeys(text []byte) []error {
	var object map[string]any
	if json.Unmarshal(text, &object) != nil {
		return nil
	}
	keys := settingsKeys()
	var errs []error
	for _, key := range keys.unknown("", object) {
		if nearest, ok := nearestKey(key, keys.paths("")); ok {
			errs = append(errs, fmt.Errorf("unknown key %q; the nearest known key is %q", key, nearest))
		} else {
			errs = append(errs, fmt.Errorf("unknown key %q", key))
		}
	}
	return errs
}

// nearestKey returns the known key that is nearest to an unknown one; ok is false if none is near.
func nearestKey(key string, known []string) (nearest string, ok bool) {
	nearestDistance := 0
	for _, candidate := range known {
		distance, near := keyDistance(key, candidate)
		if near && (!ok || distance < nearestDistance) {
			nearest, nearestDistance, ok = candidate, distance, true
		}
	}
	return nearest, ok
}

// keyDistance returns the edit distance between two keys. If the keys are near without their
// sections, the section counts as a single edit, since a key in a wrong section is a common mistake.
func keyDistance(key, candidate string) (distance int, near bool) {
	whole := editDistance(key, candidate)
	name, candidateName := lastPart(key), lastPart(candidate)
	part := editDistance(name, candidateName)
	isNear := func(distance int, key string) bool { return float64(distance) <= nearKeyShare*float64(len(key)) }
	switch {
	case isNear(part, name) && part+1 < whole:
		return part + 1, true
	default:
		return whole, isNear(whole, key)
	}
}

func lastPart(key string) string { return key[strings.LastIndex(key, keySeparator)+1:] }

func editDistance(a, b string) int {
	differ := diffmatchpatch.New()
	return differ.DiffLevenshtein(differ.DiffMain(a, b, false))
}
