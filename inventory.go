package radishspoke

import "time"

// TargetKind is the kind of workload that a target runs.
type TargetKind string

// The kinds of targets.
const (
	EngineTarget  TargetKind = "engine"
	ServiceTarget TargetKind = "service"
)

// Role is the phase of generation that an engine serves.
type Role string

// The roles of an engine.
const (
	PrefillRole Role = "prefill"
	DecodeRole  Role = "decode"
	BothRole    Role = "both"
)

// Zone is an availability zone.
type Zone struct {
	Name   string
	Region string `ini:"region" default:"local"`
}

// Host is one machine in the inventory.
type Host struct {
	Name string
	Zone string `ini:"zone" required:"yes"`
}

// Model is a language model that engines can load.
type Model struct {
	Name     string
	Version  string   `ini:"version" required:"yes"`
	Adapters []string `ini:"adapters"`
}

// Target is an engine or a plain service. It is reached through its sidecar.
type Target struct {
	Name string
	Host string     `ini:"host" required:"yes"`
	Zone string     // zone of Host
	Kind TargetKind `ini:"kind" required:"yes" oneof:"engine|service"`

	// Address and Sidecar are the addresses on which the target and its
	// sidecar listen. Both have the form IP:port.
	Address string `ini:"address" required:"yes" format:"address"`
	Sidecar string `ini:"sidecar" required:"yes" format:"address"`

	// Group is the name by which routes select service targets.
	Group string `ini:"group"`

	// Model, Role and Slots apply to engines only. Slots is the number of
	// sequences that the engine decodes concurrently.
	Model string `ini:"model"`
	Role  Role   `ini:"role" default:"both" oneof:"prefill|decode|both"`
	Slots int    `ini:"slots" default:"32" min:"1" max:"4096"`

	// Fencing reports whether the target itself rejects orders with an
	// outdated fencing token.
	Fencing bool `ini:"fencing" default:"no"`

	// Draining is set if operators have drained the target. It then gets no new
	// requests.
	Draining bool
}

// Team is a tenant.
type Team struct {
	Name string

	// Weight is the team's relative share of the fleet under contention.
	Weight float64 `ini:"weight" default:"1" min:"0.001" max:"1000000"`

	// Order is the scheduling rank. Teams with a lower order are served
	// first.
	Order int `ini:"order" default:"1" min:"1" max:"1000"`

	// Rate, in tokens per second, and Burst, in tokens, apply to all hosts
	// together.
	Rate  float64 `ini:"rate" required:"yes" min:"0.001"`
	Burst float64 `ini:"burst" required:"yes" min:"1"`
}

// RouteKind is the kind of target that a route selects.
type RouteKind string

// The kinds of routes.
const (
	ModelRoute   RouteKind = "model"
	ServiceRoute RouteKind = "service"
)

// Route maps request paths to targets.
type Route struct {
	Name string

	// Path is the prefix of the paths of matching requests. The route with the
	// longest matching prefix is used.
	Path    string    `ini:"path" required:"yes"`
	Methods []string  `ini:"methods"` // empty for all
	Kind    RouteKind `ini:"kind" required:"yes" oneof:"model|service"`

	// Group is the group of service targets. It is empty for model routes.
	Group string `ini:"group"`

	// Open is set if requests need no key.
	Open bool `ini:"open" default:"no"`

	// Idempotent is set if a request may run more than once.
	Idempotent bool `ini:"idempotent" default:"no"`

	// Deadline applies to requests that specify none.
	Deadline time.Duration `ini:"deadline" default:"30s" min:"0.01" max:"3600"`

	// Cost is the charge for one request on a service route, in tokens.
	Cost float64 `ini:"cost" default:"0" min:"0"`
}

// Rules holds the settings that apply to the whole system.
type Rules struct {
	// DrainTimeout is the maximum time that a planned shutdown waits for
	// running streams.
	DrainTimeout time.Duration `ini:"drain-timeout" default:"30s" min:"0.1" max:"3600"`

	// QueueLimit is the maximum number of requests of one team that an entry
	// queues.
	QueueLimit int `ini:"queue-limit" default:"256" min:"1" max:"100000"`

	// RetryBudget is the fraction of requests that may be retried, from 0 to 1.
	RetryBudget float64 `ini:"retry-budget" default:"0.1" min:"0" max:"1"`

	// MaxOutput is the maximum number of output tokens of one request. It is
	// also the estimate for requests that specify no maximum.
	MaxOutput int `ini:"max-output" default:"1024" min:"1" max:"1000000"`
}

// Inventory is the part of the configuration that operators edit: the fleet,
// the teams, the routes and the rules.
type Inventory struct {
	Zones   []Zone
	Hosts   []Host
	Models  []Model
	Targets []Target
	Teams   []Team
	Routes  []Route
	Rules   Rules
}

// Team returns the team with the given name and whether it exists.
func (v *Inventory) Team(name string) (Team, bool) {
	for _, t := range v.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// Target returns the target with the given name and whether it exists.
func (v *Inventory) Target(name string) (Target, bool) {
	for _, t := range v.Targets {
		if t.Name == name {
			return t, true
		}
	}
	return Target{}, false
}

// Model returns the model with the given name and whether it exists.
func (v *Inventory) Model(name string) (Model, bool) {
	for _, m := range v.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Key is an API key of a team. Only the hash of the secret is stored.
type Key struct {
	ID        string `json:"id"`
	Team      string `json:"team"`
	Hash      string `json:"hash"`                // hex SHA-256 of the secret
	Withdrawn bool   `json:"withdrawn,omitempty"` // revoked
}

// Document is the stored form of one version of the configuration.
type Document struct {
	// Inventory is the inventory as operators wrote it, in INI format.
	Inventory string   `json:"inventory"`
	Drained   []string `json:"drained,omitempty"` // target names
	Keys      []Key    `json:"keys,omitempty"`

	// Author, Note and Time describe the change that made this version.
	Author string    `json:"author"`
	Note   string    `json:"note"`
	Time   time.Time `json:"time"`
}

// Configuration is a document together with its version and its parsed
// inventory.
type Configuration struct {
	Version   int64
	Hash      string // hex SHA-256 of the stored document
	Document  Document
	Inventory Inventory
}
