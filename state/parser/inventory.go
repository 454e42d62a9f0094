package parser

import (
	"fmt"
	"sort"
	"strings"

	"radishspoke"
)

// ParseInventory parses the inventory in data and validates it. The name of
// the file is used in error messages. If the inventory is not valid, the error
// is of type Errors and holds all its faults.
func ParseInventory(name string, data []byte) (radishspoke.Inventory, error) {
	s := parseSource(name, data)
	b := inventoryBuilder{source: s}
	for _, section := range s.order {
		b.add(section)
	}
	if _, ok := s.sections["rules"]; !ok {
		s.decode("rules", &b.Rules, nil)
	}
	b.checkReferences()
	return b.Inventory, s.err()
}

// inventoryBuilder collects the sections of one inventory.
type inventoryBuilder struct {
	*source
	radishspoke.Inventory
}

var sectionKinds = []string{"zone", "host", "model", "target", "team", "route", "rules"}

// add decodes a section and appends it to the list of its kind.
func (b *inventoryBuilder) add(section string) {
	kind, name, _ := strings.Cut(section, " ")
	name = strings.TrimSpace(name)
	if kind == "rules" && name == "" {
		b.decode(section, &b.Rules, nil)
		return
	}
	if !contains(sectionKinds, kind) {
		b.addFault(b.sections[section], section, "", fmt.Sprintf("section kind %q does not exist%s", kind, suggest(kind, sectionKinds)))
		return
	}
	if name == "" {
		b.addFault(b.sections[section], section, "", fmt.Sprintf("name is missing, expected [%s NAME]", kind))
		return
	}
	switch kind {
	case "zone":
		addSection(b, &b.Zones, section, radishspoke.Zone{Name: name})
	case "host":
		addSection(b, &b.Hosts, section, radishspoke.Host{Name: name})
	case "model":
		addSection(b, &b.Models, section, radishspoke.Model{Name: name})
	case "target":
		addSection(b, &b.Targets, section, radishspoke.Target{Name: name})
	case "team":
		addSection(b, &b.Teams, section, radishspoke.Team{Name: name})
	case "route":
		addSection(b, &b.Routes, section, radishspoke.Route{Name: name})
	default:
		b.addFault(b.sections[section], section, "", "a rules section must not have a name")
	}
}

// addSection decodes a section into e and appends e to list.
func addSection[T any](b *inventoryBuilder, list *[]T, section string, e T) {
	b.decode(section, &e, nil)
	*list = append(*list, e)
}

// checkReferences checks the references between sections, the uniqueness of
// addresses, and the fields that depend on each other. It also sets each target's
// zone to that of its host.
func (b *inventoryBuilder) checkReferences() {
	zones := names(b.Zones, func(z radishspoke.Zone) string { return z.Name })
	hosts := names(b.Hosts, func(h radishspoke.Host) string { return h.Name })
	models := names(b.Models, func(m radishspoke.Model) string { return m.Name })
	zoneOf := map[string]string{}
	for _, h := range b.Hosts {
		b.checkReference("host "+h.Name, "zone", "zone", h.Zone, zones)
		zoneOf[h.Name] = h.Zone
	}
	addresses := map[string]string{}
	groups := map[string]bool{}
	for i := range b.Targets {
		t := &b.Targets[i]
		section := "target " + t.Name
		b.checkReference(section, "host", "host", t.Host, hosts)
		t.Zone = zoneOf[t.Host]
		b.checkTarget(section, t, models)
		b.checkUnique(addresses, section, "address", t.Address)
		b.checkUnique(addresses, section, "sidecar", t.Sidecar)
		groups[t.Group] = true
	}
	b.checkRoutes(groups)
	b.checkTeams()
}

func (b *inventoryBuilder) checkTarget(section string, t *radishspoke.Target, models []string) {
	if t.Kind == radishspoke.EngineTarget {
		if t.Model == "" {
			b.addFault(b.line(section, "model"), section, "model", "an engine needs a model")
			return
		}
		b.checkReference(section, "model", "model", t.Model, models)
		return
	}
	if t.Kind == radishspoke.ServiceTarget && t.Group == "" {
		b.addFault(b.line(section, "group"), section, "group", "a service needs a group")
	}
}

func (b *inventoryBuilder) checkRoutes(groups map[string]bool) {
	paths := map[string]string{}
	for _, r := range b.Routes {
		section := "route " + r.Name
		if r.Path != "" && !strings.HasPrefix(r.Path, "/") {
			b.addFault(b.line(section, "path"), section, "path", fmt.Sprintf("%q does not start with /", r.Path))
		}
		b.checkUnique(paths, section, "path", r.Path+" "+strings.Join(r.Methods, ","))
		if r.Kind != radishspoke.ServiceRoute {
			continue
		}
		if r.Group == "" {
			b.addFault(b.line(section, "group"), section, "group", "a service route needs a group")
			continue
		}
		known := make([]string, 0, len(groups))
		for g := range groups {
			known = append(known, g)
		}
		sort.Strings(known)
		b.checkReference(section, "group", "target of group", r.Group, known)
	}
}

func (b *inventoryBuilder) checkTeams() {
	for _, t := range b.Teams {
		section := "team " + t.Name
		if t.Burst > 0 && t.Rate > 0 && t.Burst < t.Rate*minBurstSeconds {
			b.addFault(b.line(section, "burst"), section, "burst",
				fmt.Sprintf("%g is below %g, the tokens that the rate yields in %g s", t.Burst, t.Rate*minBurstSeconds, minBurstSeconds))
		}
	}
}

// minBurstSeconds is the minimum burst of a team, in seconds of its rate: the rate
// must not fill the burst in a shorter time. Grants of tokens that are still
// outstanding count toward the burst.
const minBurstSeconds = 1.0

// checkReference adds a fault if name is neither empty nor one of the known names.
// The kind of the name, such as zone, is used in the message.
func (b *inventoryBuilder) checkReference(section, key, kind, name string, known []string) {
	if name == "" || contains(known, name) {
		return
	}
	b.addFault(b.line(section, key), section, key, fmt.Sprintf("%s %q does not exist%s", kind, name, suggest(name, known)))
}

// checkUnique adds a fault if another section has the same value, unless the
// value is blank. The map seen holds, for each value, the section that has it.
func (b *inventoryBuilder) checkUnique(seen map[string]string, section, key, value string) {
	if other, ok := seen[value]; ok && strings.TrimSpace(value) != "" {
		b.addFault(b.line(section, key), section, key, fmt.Sprintf("%q is already used in [%s]", strings.TrimSpace(value), other))
		return
	}
	seen[value] = section
}

// names returns the name of each element of list.
func names[T any](list []T, name func(T) string) []string {
	out := make([]string, len(list))
	for i, e := range list {
		out[i] = name(e)
	}
	return out
}
