package main

import (
	"fmt"
	"reflect"
	"sort"
	"strings"

	"radishspoke"
)

// difference is one thing that differs between two inventories.
type difference struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	What string `json:"what"`
}

// compare lists what differs in the new inventory, by kind and name.
func compare(old, now *radishspoke.Inventory) []difference {
	var out []difference
	out = append(out, compareLists("zone", old.Zones, now.Zones, func(e radishspoke.Zone) string { return e.Name })...)
	out = append(out, compareLists("host", old.Hosts, now.Hosts, func(e radishspoke.Host) string { return e.Name })...)
	out = append(out, compareLists("model", old.Models, now.Models, func(e radishspoke.Model) string { return e.Name })...)
	out = append(out, compareLists("target", old.Targets, now.Targets, func(e radishspoke.Target) string { return e.Name })...)
	out = append(out, compareLists("team", old.Teams, now.Teams, func(e radishspoke.Team) string { return e.Name })...)
	out = append(out, compareLists("route", old.Routes, now.Routes, func(e radishspoke.Route) string { return e.Name })...)
	if what := fields(old.Rules, now.Rules); what != "" {
		out = append(out, difference{Kind: "rules", What: what})
	}
	return out
}

func compareLists[T any](kind string, old, now []T, name func(T) string) []difference {
	before := map[string]T{}
	for _, e := range old {
		before[name(e)] = e
	}
	var out []difference
	for _, e := range now {
		n := name(e)
		b, ok := before[n]
		delete(before, n)
		if !ok {
			out = append(out, difference{Kind: kind, Name: n, What: "added"})
			continue
		}
		if what := fields(b, e); what != "" {
			out = append(out, difference{Kind: kind, Name: n, What: what})
		}
	}
	for n := range before {
		out = append(out, difference{Kind: kind, Name: n, What: "removed"})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// fields lists the fields that differ, by the key they have in the file.
func fields[T any](old, now T) string {
	a, b := reflect.ValueOf(old), reflect.ValueOf(now)
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
