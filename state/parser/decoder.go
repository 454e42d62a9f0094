package parser

import (
	"fmt"
	"net"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"
)

var durationType = reflect.TypeFor[time.Duration]()

// decode sets the struct that p points to from one section. An absent section
// yields the default values. If override is not nil and returns true, its value
// replaces that of the file.
func (s *source) decode(section string, p any, override func(section, key string) (string, bool)) {
	v := reflect.ValueOf(p).Elem()
	known := make([]string, 0, v.NumField())
	for i := range v.NumField() {
		f := v.Type().Field(i)
		key := f.Tag.Get("ini")
		if key == "" {
			continue
		}
		known = append(known, key)
		s.decodeField(section, key, f, v.Field(i), override)
	}
	for key, line := range s.keys[section] {
		if !contains(known, key) {
			s.addFault(line, section, key, "key does not exist"+suggest(key, known))
		}
	}
}

func (s *source) decodeField(section, key string, f reflect.StructField, v reflect.Value, override func(section, key string) (string, bool)) {
	_, present := s.keys[section][key]
	text := f.Tag.Get("default")
	if present {
		text = strings.TrimSpace(s.file.Section(section).Key(key).String())
	}
	if override != nil {
		if value, ok := override(section, key); ok {
			text, present = value, true
		}
	}
	if !present && f.Tag.Get("required") == "yes" {
		s.addFault(s.line(section, key), section, key, "value is missing")
		return
	}
	if text == "" {
		return
	}
	if err := setValue(v, text, f.Tag); err != nil {
		s.addFault(s.line(section, key), section, key, err.Error())
	}
}

// setValue parses text into v, according to the type of v, and checks it against
// the tags oneof, format, min and max.
func setValue(v reflect.Value, text string, tag reflect.StructTag) error {
	if v.Type() == durationType {
		d, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("%q is not a duration such as 250ms or 30s", text)
		}
		v.SetInt(int64(d))
		return checkBounds(d.Seconds(), text, tag)
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
		return checkString(text, tag)
	case reflect.Bool:
		b, ok := booleans[strings.ToLower(text)]
		if !ok {
			return fmt.Errorf("%q is not yes or no", text)
		}
		v.SetBool(b)
	case reflect.Int:
		n, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("%q is not an integer", text)
		}
		v.SetInt(int64(n))
		return checkBounds(float64(n), text, tag)
	case reflect.Float64:
		x, err := strconv.ParseFloat(text, 64)
		if err != nil || x-x != 0 {
			return fmt.Errorf("%q is not a number", text)
		}
		v.SetFloat(x)
		return checkBounds(x, text, tag)
	case reflect.Slice:
		v.Set(reflect.ValueOf(splitList(text)))
	default:
		panic(fmt.Sprintf("parser: unsupported field kind %v", v.Kind()))
	}
	return nil
}

var booleans = map[string]bool{"yes": true, "true": true, "on": true, "no": false, "false": false, "off": false}

// splitList returns the items of a comma-separated list, without empty ones.
func splitList(text string) []string {
	var out []string
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}

func checkString(text string, tag reflect.StructTag) error {
	if allowed := tag.Get("oneof"); allowed != "" {
		known := strings.Split(allowed, "|")
		if !contains(known, text) {
			return fmt.Errorf("%q is not one of %s%s", text, strings.Join(known, ", "), suggest(text, known))
		}
	}
	if tag.Get("format") == "address" {
		return checkAddress(text)
	}
	return nil
}

func checkAddress(text string) error {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return fmt.Errorf("%q is not IP:port", text)
	}
	if _, err := netip.ParseAddr(host); err != nil {
		return fmt.Errorf("%q is not an IP address", host)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%q is not a port", port)
	}
	return nil
}

func checkBounds(x float64, text string, tag reflect.StructTag) error {
	if t := tag.Get("min"); t != "" {
		if lower, _ := strconv.ParseFloat(t, 64); x < lower {
			return fmt.Errorf("%s is below the minimum, %s", text, t)
		}
	}
	if t := tag.Get("max"); t != "" {
		if upper, _ := strconv.ParseFloat(t, 64); x > upper {
			return fmt.Errorf("%s is above the maximum, %s", text, t)
		}
	}
	return nil
}

func contains(list []string, word string) bool {
	for _, w := range list {
		if w == word {
			return true
		}
	}
	return false
}
