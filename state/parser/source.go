package parser

import (
	"fmt"
	"sort"
	"strings"

	"github.com/agnivade/levenshtein"
	"gopkg.in/ini.v1"
)

// Fault is one fault of a file. Section and Key are empty if the fault does not
// concern a section or a key. Line is 0 if the section is absent from the file.
type Fault struct {
	File    string
	Line    int
	Section string
	Key     string
	Problem string
}

// Error returns the location and the problem on one line.
func (f Fault) Error() string {
	location := fmt.Sprintf("%s:%d:", f.File, f.Line)
	if f.Section != "" {
		location += fmt.Sprintf(" [%s]", f.Section)
	}
	if f.Key != "" {
		location += " " + f.Key + ":"
	}
	return location + " " + f.Problem
}

// Errors holds all faults of a file in the order of their lines.
type Errors []Fault

// Error returns the faults, one per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// source is an INI file with the line of each section and key. The values are
// parsed by the ini library, which does not record positions.
type source struct {
	name     string
	file     *ini.File
	order    []string                  // sections in the order of the file
	sections map[string]int            // line by section
	keys     map[string]map[string]int // line by section and key
	faults   Errors
}

// parseSource parses an INI file and collects its syntax faults.
func parseSource(name string, data []byte) *source {
	s := &source{
		name:     name,
		sections: map[string]int{"": 1},
		keys:     map[string]map[string]int{"": {}},
	}
	s.index(string(data))
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, IgnoreContinuation: true, SkipUnrecognizableLines: true}, data)
	if err != nil {
		if len(s.faults) == 0 {
			s.addFault(1, "", "", err.Error())
		}
		f = ini.Empty()
	}
	s.file = f
	return s
}

// addFault appends a fault to the faults of s.
func (s *source) addFault(line int, section, key, problem string) {
	s.faults = append(s.faults, Fault{File: s.name, Line: line, Section: section, Key: key, Problem: problem})
}

// index records the line of each section and key. It adds faults for lines that
// cannot be parsed, and for sections and keys that are repeated.
func (s *source) index(text string) {
	section := ""
	for i, l := range strings.Split(text, "\n") {
		l = strings.TrimSpace(l)
		line := i + 1
		switch {
		case l == "" || l[0] == '#' || l[0] == ';':
		case l[0] == '[':
			if !strings.HasSuffix(l, "]") {
				s.addFault(line, "", "", fmt.Sprintf("section header %q has no closing bracket", l))
				continue
			}
			section = strings.TrimSpace(l[1 : len(l)-1])
			if first, ok := s.sections[section]; ok {
				s.addFault(line, section, "", fmt.Sprintf("section is already defined at line %d", first))
				continue
			}
			s.sections[section] = line
			s.keys[section] = map[string]int{}
			s.order = append(s.order, section)
		default:
			s.indexKey(line, section, l)
		}
	}
}

func (s *source) indexKey(line int, section, l string) {
	key, _, ok := strings.Cut(l, "=")
	key = strings.TrimSpace(key)
	if !ok || key == "" {
		s.addFault(line, section, "", fmt.Sprintf("%q is not of the form key = value", l))
		return
	}
	if section == "" {
		s.addFault(line, "", key, "key is outside of any section")
		return
	}
	if first, ok := s.keys[section][key]; ok {
		s.addFault(line, section, key, fmt.Sprintf("key is already defined at line %d", first))
		return
	}
	s.keys[section][key] = line
}

// line returns the line of a key, or that of its section if the key is absent.
func (s *source) line(section, key string) int {
	if l, ok := s.keys[section][key]; ok {
		return l
	}
	return s.sections[section]
}

// err returns the faults in the order of their lines, or nil if there are none.
func (s *source) err() error {
	if len(s.faults) == 0 {
		return nil
	}
	sort.SliceStable(s.faults, func(i, j int) bool { return s.faults[i].Line < s.faults[j].Line })
	return s.faults
}

// maxEditDistance is the maximum edit distance between a misspelled word and the
// word that is suggested for it.
const maxEditDistance = 3

// suggest returns a hint with the known word that has the smallest edit distance
// to word, or "" if no known word is within maxEditDistance.
func suggest(word string, known []string) string {
	nearest, smallest := "", maxEditDistance+1
	for _, k := range known {
		if d := levenshtein.ComputeDistance(word, k); d < smallest {
			nearest, smallest = k, d
		}
	}
	if nearest == "" {
		return ""
	}
	return fmt.Sprintf(", did you mean %q?", nearest)
}
