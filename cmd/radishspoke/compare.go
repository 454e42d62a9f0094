package main

import (
	"fmt"
	"reflect"
	"sort"
	"strings"

	"radishspoke"
)

// difference is a section of an inventory that was added, removed or changed.
type difference struct {
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Change string `json:"what"` // "added", "removed", or the changed fields
}

// compareInventories returns the differences between two inventories, by kind and
// then by name.
func compareInventories(before, after *radishspoke.Inventory) []difference {
	var out []difference
	out = append(out, compareSections("zone", before.Zones, after.Zones, func(e radishspoke.Zone) string { return e.Name })...)
	out = append(out, compareSections("host", before.Hosts, after.Hosts, func(e radishspoke.Host) string { return e.Name })...)
	out = append(out, compareSections("model", before.Models, after.Models, func(e radishspoke.Model) string { return e.Name })...)
	out = append(out, compareSections("target", before.Targets, after.Targets, func(e radishspoke.Target) string { return e.Name })...)
	out = append(out, compareSections("team", before.Teams, after.Teams, func(e radishspoke.Team) string { return e.Name })...)
	out = append(out, compareSections("route", before.Routes, after.Routes, func(e radishspoke.Route) string { return e.Name })...)
	if changed := changedFields(before.Rules, after.Rules); changed != "" {
		out = append(out, difference{Kind: "rules", Change: changed})
	}
	return out
}

// compareSections returns the differences between the sections of one kind, by
// name.
func compareSections[T any](kind string, before, after []T, name func(T) string) []difference {
	unmatched := map[string]T{}
	for _, e := range before {
		unmatched[name(e)] = e
	}
	var out []difference
	for _, e := range after {
		n := name(e)
		b, ok := unmatched[n]
		delete(unmatched, n)
		if !ok {
			out = append(out, difference{Kind: kind, Name: n, Change: "added"})
			continue
		}
		if changed := changedFields(b, e); changed != "" {
			out = append(out, difference{Kind: kind, Name: n, Change: changed})
		}
	}
	for n := range unmatched {
		out = append(out, difference{Kind: kind, Name: n, Change: "removed"})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// changedFields returns the fields that differ, each as "KEY: OLD -> NEW" with its key
// in the inventory file. It returns "" if none differ.
func changedFields[T any](before, after T) string {
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	var out []string
	for i := range a.NumField() {
		key := a.Type().Field(i).Tag.Get("ini")
		x, y := a.Field(i).Interface(), b.Field(i).Interface()
		if key != "" && !reflect.DeepEqual(x, y) {
			out = append(out, fmt.Sprintf("%s: %v -> %v", key, x, y))
		}
	}
	return strings.Join(out, ", ")
}
