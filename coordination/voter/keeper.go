package voter

// maxMembers bounds a set, whatever the number of entries.
const maxMembers = 9

// Next returns the set that should follow s, given the entries that are live,
// best first, and the set version that each answering entry uses. It returns
// false if s is to stay. Sets change by one member at a time: first those that
// are gone go, then others come.
func Next(s Set, live []string, versions map[string]int64) (Set, bool) {
	if len(s.Members) == 0 {
		if len(live) == 0 {
			return s, false
		}
		return Set{Members: live[:1]}, true
	}
	if !adopted(s, live, versions) {
		return s, false
	}
	for i, m := range s.Members {
		if !contains(live, m) && len(s.Members) > 1 {
			members := append(append([]string(nil), s.Members[:i]...), s.Members[i+1:]...)
			return Set{Members: members}, true
		}
	}
	for _, m := range live {
		if !s.Has(m) && len(s.Members) < maxMembers {
			return Set{Members: append(append([]string(nil), s.Members...), m)}, true
		}
	}
	return s, false
}

// adopted tells whether a majority of a set uses it. Members that are gone
// vote no more, so they count as if they did.
func adopted(s Set, live []string, versions map[string]int64) bool {
	n := 0
	for _, m := range s.Members {
		if versions[m] == s.Version || !contains(live, m) {
			n++
		}
	}
	return n >= s.Majority()
}

func contains(list []string, name string) bool {
	for _, e := range list {
		if e == name {
			return true
		}
	}
	return false
}
