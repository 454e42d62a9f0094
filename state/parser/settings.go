package parser

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// EnvPrefix is the prefix of the environment variables that override settings.
// The name of such a variable is RADISHSPOKE_SECTION_KEY, in upper case and with
// _ in place of -.
const EnvPrefix = "RADISHSPOKE_"

// Settings holds the settings that a daemon reads when it starts.
type Settings struct {
	Process   ProcessSettings
	Platform  PlatformSettings
	Callers   CallerSettings
	Sessions  SessionSettings
	Operators OperatorSettings
	Sidecar   SidecarSettings
}

// ProcessSettings holds the name of a process, its zone and its log level.
type ProcessSettings struct {
	Name string `ini:"name" required:"yes"`
	Zone string `ini:"zone" required:"yes"`

	// Log is the minimum level of log lines.
	Log string `ini:"log" default:"info" oneof:"debug|info|warn|error"`
}

// PlatformSettings holds the address of the platform's services and the timeout
// of each call to them.
type PlatformSettings struct {
	Address string        `ini:"address" required:"yes" format:"address"`
	Timeout time.Duration `ini:"timeout" default:"2s" min:"0.01" max:"60"`
}

// CallerSettings holds the address at which an entry serves callers, and the
// limits of their requests.
type CallerSettings struct {
	Address       string        `ini:"address" default:"127.0.0.1:8080" format:"address"`
	HeaderTimeout time.Duration `ini:"header-timeout" default:"5s" min:"0.1" max:"300"`
	BodyTimeout   time.Duration `ini:"body-timeout" default:"30s" min:"0.1" max:"3600"`
	MaxBody       int           `ini:"max-body" default:"4194304" min:"1024" max:"67108864"` // bytes
	MaxHeader     int           `ini:"max-header" default:"32768" min:"1024" max:"1048576"`  // bytes
}

// SessionSettings holds the address and the probe times of the sessions between
// the system's processes.
type SessionSettings struct {
	Address       string        `ini:"address" required:"yes" format:"address"`
	ProbeInterval time.Duration `ini:"probe-interval" default:"1s" min:"0.01" max:"60"`
	ProbeTimeout  time.Duration `ini:"probe-timeout" default:"2s" min:"0.01" max:"60"`
}

// OperatorSettings holds the address at which a process serves operators.
type OperatorSettings struct {
	Address string `ini:"address" required:"yes" format:"address"`
}

// SidecarSettings holds the settings of a sidecar.
type SidecarSettings struct {
	// Target is the name of the target that the sidecar runs next to.
	Target string `ini:"target"`

	// AnswerKeep is how long a finished response can be fetched again.
	AnswerKeep time.Duration `ini:"answer-keep" default:"60s" min:"1" max:"3600"`

	// Pace is the minimum time between two chunks of a generated response.
	// Tokens that are produced within this time are sent in one chunk.
	Pace time.Duration `ini:"pace" default:"20ms" min:"0" max:"1"`

	// RequestKeep is how long the id of a request is kept, so that a repeated
	// request is not executed twice.
	RequestKeep time.Duration `ini:"request-keep" default:"15m" min:"60" max:"86400"`
}

// LoadSettings reads settings from a file, overrides them by environment
// variables, and validates them. The error is of type Errors if the settings are
// not valid, and otherwise the wrapped error of reading the file.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseSettings(path, data, os.LookupEnv)
}

// ParseSettings parses and validates the settings in data like LoadSettings. The
// name of the file is used in error messages, and env looks up an environment
// variable.
func ParseSettings(name string, data []byte, env func(string) (string, bool)) (Settings, error) {
	s := parseSource(name, data)
	var out Settings
	sections := map[string]any{
		"process":   &out.Process,
		"platform":  &out.Platform,
		"callers":   &out.Callers,
		"sessions":  &out.Sessions,
		"operators": &out.Operators,
		"sidecar":   &out.Sidecar,
	}
	known := []string{"process", "platform", "callers", "sessions", "operators", "sidecar"}
	override := func(section, key string) (string, bool) { return env(EnvName(section, key)) }
	for _, k := range known {
		s.decode(k, sections[k], override)
	}
	for _, section := range s.order {
		if !contains(known, section) {
			s.addFault(s.sections[section], section, "", "section does not exist"+suggest(section, known))
		}
	}
	return out, s.err()
}

// EnvName returns the name of the environment variable that overrides a setting.
func EnvName(section, key string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(section+"_"+key, "-", "_"))
}
