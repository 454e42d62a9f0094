package parser

import (
	"fmt"
	"sort"
	"strings"

	"github.com/agnivade/levenshtein"
	"gopkg.in/ini.v1"
)

// Fault is one thing wrong with a file.
type Fault struct {
	File    string
	Line    int
	Section string
	Key     string
	Problem string
}

// Error gives the place and the problem on one line.
func (f Fault) Error() string {
	place := fmt.Sprintf("%s:%d:", f.File, f.Line)
	if f.Section != "" {
		place += fmt.Sprintf(" [%s]", f.Section)
	}
	if f.Key != "" {
		place += " " + f.Key + ":"
	}
	return place + " " + f.Problem
}

// Errors is every fault of a file, in line order.
type Errors []Fault

// Error gives one fault a line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// source is an INI file with the line of each section and key. Values come
// from the ini library, which keeps no positions.
type source struct {
	name     string
	file     *ini.File
	order    []string
	sections map[string]int            // line by section
	keys     map[string]map[string]int // line by section and key
	faults   Errors
}

func load(name string, data []byte) *source {
	s := &source{
		name:     name,
		sections: map[string]int{"": 1},
		keys:     map[string]map[string]int{"": {}},
	}
	s.index(string(data))
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, IgnoreContinuation: true, SkipUnrecognizableLines: true}, data)
	if err != nil {
		if len(s.faults) == 0 {
			s.fault(1, "", "", err.Error())
		}
		f = ini.Empty()
	}
	s.file = f
	return s
}

func (s *source) fault(line int, section, key, problem string) {
	s.faults = append(s.faults, Fault{File: s.name, Line: line, Section: section, Key: key, Problem: problem})
}

// index notes the line of each section and key, and finds repeated ones.
func (s *source) index(text string) {
	section := ""
	for i, l := range strings.Split(text, "\n") {
		l = strings.TrimSpace(l)
		line := i + 1
		switch {
		case l == "" || l[0] == '#' || l[0] == ';':
		case l[0] == '[':
			if !strings.HasSuffix(l, "]") {
				s.fault(line, "", "", fmt.Sprintf("section header %q has no closing bracket", l))
				continue
			}
			section = strings.TrimSpace(l[1 : len(l)-1])
			if first, ok := s.sections[section]; ok {
				s.fault(line, section, "", fmt.Sprintf("section stands already at line %d", first))
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
		s.fault(line, section, "", fmt.Sprintf("%q is not key = value", l))
		return
	}
	if section == "" {
		s.fault(line, "", key, "key stands outside any section")
		return
	}
	if first, ok := s.keys[section][key]; ok {
		s.fault(line, section, key, fmt.Sprintf("key stands already at line %d", first))
		return
	}
	s.keys[section][key] = line
}

// line returns the line of a key, or of its section when the key is absent.
func (s *source) line(section, key string) int {
	if l, ok := s.keys[section][key]; ok {
		return l
	}
	return s.sections[section]
}

// failure returns the faults in line order, or nil.
func (s *source) failure() error {
	if len(s.faults) == 0 {
		return nil
	}
	sort.SliceStable(s.faults, func(i, j int) bool { return s.faults[i].Line < s.faults[j].Line })
	return s.faults
}

const maxDistance = 3 // edits between a misspelt word and the one suggested

// suggest returns a hint that names the known word nearest to word, or "".
func suggest(word string, known []string) string {
	best, least := "", maxDistance+1
	for _, k := range known {
		if d := levenshtein.ComputeDistance(word, k); d < least {
			best, least = k, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf(", did you mean %q?", best)
}
