package voter

// maxMembers is the largest size of a set, whatever the number of entries.
const maxMembers = 9

// NextSet returns the set that should follow s, or false if s should stay. The
// list live holds the names of the live entries, best candidate first. The map
// versions holds the set version that each entry uses, for the entries that
// replied. Sets change by one member at a time: members that are no longer live
// are removed before others are added. The returned set has no version, as its
// version is that of the table row it is written to.
func NextSet(s Set, live []string, versions map[string]int64) (Set, bool) {
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

// adopted returns whether a majority of the members uses the set. Members that
// are no longer live do not vote, so they count as if they used it.
func adopted(s Set, live []string, versions map[string]int64) bool {
	n := 0
	for _, m := range s.Members {
		if versions[m] == s.Version || !contains(live, m) {
			n++
		}
	}
	return n >= s.Majority()
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
