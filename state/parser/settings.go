package parser

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// EnvPrefix starts the name of every environment variable that overrides a
// setting: RADISHSPOKE_SECTION_KEY, in capitals, with _ for -.
const EnvPrefix = "RADISHSPOKE_"

// Settings are what a daemon reads at start.
type Settings struct {
	Process   ProcessSettings
	Platform  PlatformSettings
	Callers   CallerSettings
	Sessions  SessionSettings
	Operators OperatorSettings
	Sidecar   SidecarSettings
}

// ProcessSettings tell a process who and where it is.
type ProcessSettings struct {
	Name string `ini:"name" required:"yes"`
	Zone string `ini:"zone" required:"yes"`

	// Log is the least level of log lines.
	Log string `ini:"log" default:"info" oneof:"debug|info|warn|error"`
}

// PlatformSettings tell where the platform's services are.
type PlatformSettings struct {
	Address string        `ini:"address" required:"yes" format:"address"`
	Timeout time.Duration `ini:"timeout" default:"2s" min:"0.01" max:"60"`
}

// CallerSettings bound what callers may send to an entry.
type CallerSettings struct {
	Address       string        `ini:"address" default:"127.0.0.1:8080" format:"address"`
	HeaderTimeout time.Duration `ini:"header-timeout" default:"5s" min:"0.1" max:"300"`
	BodyTimeout   time.Duration `ini:"body-timeout" default:"30s" min:"0.1" max:"3600"`
	MaxBody       int           `ini:"max-body" default:"4194304" min:"1024" max:"67108864"` // bytes
	MaxHeader     int           `ini:"max-header" default:"32768" min:"1024" max:"1048576"`  // bytes
}

// SessionSettings are for the sessions between the system's processes.
type SessionSettings struct {
	Address       string        `ini:"address" required:"yes" format:"address"`
	ProbeInterval time.Duration `ini:"probe-interval" default:"1s" min:"0.01" max:"60"`
	ProbeTimeout  time.Duration `ini:"probe-timeout" default:"2s" min:"0.01" max:"60"`
}

// OperatorSettings are for the operators' address.
type OperatorSettings struct {
	Address string `ini:"address" required:"yes" format:"address"`
}

// SidecarSettings name the target that a sidecar stands beside.
type SidecarSettings struct {
	Target string `ini:"target"`

	// AnswerKeep is how long a finished answer can be fetched again.
	AnswerKeep time.Duration `ini:"answer-keep" default:"60s" min:"1" max:"3600"`

	// Pace is the least time between two parts of a generated answer:
	// tokens that come closer together travel as one part.
	Pace time.Duration `ini:"pace" default:"20ms" min:"0" max:"1"`

	// RequestKeep is how long a request's id is remembered, so that it does
	// not run twice.
	RequestKeep time.Duration `ini:"request-keep" default:"15m" min:"60" max:"86400"`
}

// LoadSettings reads the settings in a file, lets the environment override
// them, and checks them whole. The error is Errors or of reading the file.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseSettings(path, data, os.LookupEnv)
}

// ParseSettings is LoadSettings on text, with the environment given.
func ParseSettings(name string, data []byte, env func(string) (string, bool)) (Settings, error) {
	s := load(name, data)
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
			s.fault(s.sections[section], section, "", "section does not exist"+suggest(section, known))
		}
	}
	return out, s.failure()
}

// EnvName returns the environment variable that overrides a setting.
func EnvName(section, key string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(section+"_"+key, "-", "_"))
}
