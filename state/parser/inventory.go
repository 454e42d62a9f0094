package parser

import (
	"fmt"
	"sort"
	"strings"

	"radishspoke"
)

// Inventory reads an inventory and checks it whole. The error is Errors.
func Inventory(name string, data []byte) (radishspoke.Inventory, error) {
	s := load(name, data)
	b := inventoryBuilder{source: s}
	for _, section := range s.order {
		b.add(section)
	}
	if _, ok := s.sections["rules"]; !ok {
		s.decode("rules", &b.Rules, nil)
	}
	b.link()
	return b.Inventory, s.failure()
}

type inventoryBuilder struct {
	*source
	radishspoke.Inventory
}

var sectionKinds = []string{"zone", "host", "model", "target", "team", "route", "rules"}

func (b *inventoryBuilder) add(section string) {
	kind, name, _ := strings.Cut(section, " ")
	name = strings.TrimSpace(name)
	if kind == "rules" && name == "" {
		b.decode(section, &b.Rules, nil)
		return
	}
	if !contains(sectionKinds, kind) {
		b.fault(b.sections[section], section, "", fmt.Sprintf("section kind %q does not exist%s", kind, suggest(kind, sectionKinds)))
		return
	}
	if name == "" {
		b.fault(b.sections[section], section, "", fmt.Sprintf("name is missing, write [%s NAME]", kind))
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
		b.fault(b.sections[section], section, "", "rules take no name")
	}
}

// addSection decodes a section into e and appends that to a list.
func addSection[T any](b *inventoryBuilder, list *[]T, section string, e T) {
	b.decode(section, &e, nil)
	*list = append(*list, e)
}

// link checks what one section says of another.
func (b *inventoryBuilder) link() {
	zones := names(b.Zones, func(z radishspoke.Zone) string { return z.Name })
	hosts := names(b.Hosts, func(h radishspoke.Host) string { return h.Name })
	models := names(b.Models, func(m radishspoke.Model) string { return m.Name })
	zoneOf := map[string]string{}
	for _, h := range b.Hosts {
		b.refer("host "+h.Name, "zone", "zone", h.Zone, zones)
		zoneOf[h.Name] = h.Zone
	}
	addresses := map[string]string{}
	groups := map[string]bool{}
	for i := range b.Targets {
		t := &b.Targets[i]
		section := "target " + t.Name
		b.refer(section, "host", "host", t.Host, hosts)
		t.Zone = zoneOf[t.Host]
		b.checkTarget(section, t, models)
		b.unique(addresses, section, "address", t.Address)
		b.unique(addresses, section, "sidecar", t.Sidecar)
		groups[t.Group] = true
	}
	b.checkRoutes(groups)
	b.checkTeams()
}

func (b *inventoryBuilder) checkTarget(section string, t *radishspoke.Target, models []string) {
	if t.Kind == radishspoke.EngineTarget {
		if t.Model == "" {
			b.fault(b.line(section, "model"), section, "model", "an engine needs a model")
			return
		}
		b.refer(section, "model", "model", t.Model, models)
		return
	}
	if t.Kind == radishspoke.ServiceTarget && t.Group == "" {
		b.fault(b.line(section, "group"), section, "group", "a service needs a group")
	}
}

func (b *inventoryBuilder) checkRoutes(groups map[string]bool) {
	paths := map[string]string{}
	for _, r := range b.Routes {
		section := "route " + r.Name
		if r.Path != "" && !strings.HasPrefix(r.Path, "/") {
			b.fault(b.line(section, "path"), section, "path", fmt.Sprintf("%q does not start with /", r.Path))
		}
		b.unique(paths, section, "path", r.Path+" "+strings.Join(r.Methods, ","))
		if r.Kind != radishspoke.ServiceRoute {
			continue
		}
		if r.Group == "" {
			b.fault(b.line(section, "group"), section, "group", "a service route needs a group")
			continue
		}
		known := make([]string, 0, len(groups))
		for g := range groups {
			known = append(known, g)
		}
		sort.Strings(known)
		b.refer(section, "group", "target of group", r.Group, known)
	}
}

func (b *inventoryBuilder) checkTeams() {
	for _, t := range b.Teams {
		section := "team " + t.Name
		if t.Burst > 0 && t.Rate > 0 && t.Burst < t.Rate*leastBurst {
			b.fault(b.line(section, "burst"), section, "burst",
				fmt.Sprintf("%g is below %g, what the rate brings in %g s", t.Burst, t.Rate*leastBurst, leastBurst))
		}
	}
}

// leastBurst is the shortest time, in seconds, in which a team's rate may
// fill its burst. Grants that are out count toward the burst.
const leastBurst = 1.0

// refer faults a name that is not among the known ones.
func (b *inventoryBuilder) refer(section, key, what, name string, known []string) {
	if name == "" || contains(known, name) {
		return
	}
	b.fault(b.line(section, key), section, key, fmt.Sprintf("%s %q does not exist%s", what, name, suggest(name, known)))
}

// unique faults a value that another section has already.
func (b *inventoryBuilder) unique(seen map[string]string, section, key, value string) {
	if other, ok := seen[value]; ok && strings.TrimSpace(value) != "" {
		b.fault(b.line(section, key), section, key, fmt.Sprintf("%q stands already in [%s]", strings.TrimSpace(value), other))
		return
	}
	seen[value] = section
}

func names[T any](list []T, name func(T) string) []string {
	out := make([]string, len(list))
	for i, e := range list {
		out[i] = name(e)
	}
	return out
}
