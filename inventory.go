package radishspoke

import "time"

// TargetKind tells what a target runs.
type TargetKind string

// The kinds of target.
const (
	EngineTarget  TargetKind = "engine"
	ServiceTarget TargetKind = "service"
)

// Role is the part of a generation that an engine is meant to do.
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

// Host is one machine of the inventory.
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

// Target is an engine or a plain service, reached through its sidecar.
type Target struct {
	Name string
	Host string     `ini:"host" required:"yes"`
	Zone string     // zone of Host
	Kind TargetKind `ini:"kind" required:"yes" oneof:"engine|service"`

	// Address is where the target listens, Sidecar where its sidecar does.
	// Both are IP:port.
	Address string `ini:"address" required:"yes" format:"address"`
	Sidecar string `ini:"sidecar" required:"yes" format:"address"`

	// Group is the name that routes use to select service targets.
	Group string `ini:"group"`

	// Model, Role and Slots apply to engines. Slots is the number of
	// sequences that the engine decodes at once.
	Model string `ini:"model"`
	Role  Role   `ini:"role" default:"both" oneof:"prefill|decode|both"`
	Slots int    `ini:"slots" default:"32" min:"1" max:"4096"`

	// Fencing tells whether the target itself refuses orders that carry an
	// old fencing number.
	Fencing bool `ini:"fencing" default:"no"`

	// Draining is set while operators keep new work away from the target.
	Draining bool
}

// Team is a tenant.
type Team struct {
	Name string

	// Weight is the team's part of a contended fleet.
	Weight float64 `ini:"weight" default:"1" min:"0.001" max:"1000000"`

	// Order ranks teams: those of a lower order are served first.
	Order int `ini:"order" default:"1" min:"1" max:"1000"`

	// Rate is in tokens per second and Burst in tokens, over all hosts.
	Rate  float64 `ini:"rate" required:"yes" min:"0.001"`
	Burst float64 `ini:"burst" required:"yes" min:"1"`
}

// RouteKind tells what a route leads to.
type RouteKind string

// The kinds of route.
const (
	ModelRoute   RouteKind = "model"
	ServiceRoute RouteKind = "service"
)

// Route maps request paths to targets.
type Route struct {
	Name string

	// Path is the prefix that a request's path must have. The longest
	// matching prefix wins.
	Path    string    `ini:"path" required:"yes"`
	Methods []string  `ini:"methods"` // empty for all
	Kind    RouteKind `ini:"kind" required:"yes" oneof:"model|service"`

	// Group names the service targets; empty for model routes.
	Group string `ini:"group"`

	// Open routes take requests without a key.
	Open bool `ini:"open" default:"no"`

	// Idempotent requests may run more than once.
	Idempotent bool `ini:"idempotent" default:"no"`

	// Deadline bounds a request that brings none of its own.
	Deadline time.Duration `ini:"deadline" default:"30s" min:"0.01" max:"3600"`

	// Cost is the charge for one request, in tokens, on service routes.
	Cost float64 `ini:"cost" default:"0" min:"0"`
}

// Rules are the operators' settings for the whole system.
type Rules struct {
	// DrainTimeout bounds how long a planned stop waits for streams.
	DrainTimeout time.Duration `ini:"drain-timeout" default:"30s" min:"0.1" max:"3600"`

	// QueueLimit is the most requests that one entry holds for one team.
	QueueLimit int `ini:"queue-limit" default:"256" min:"1" max:"100000"`

	// RetryBudget is the part of requests that may be retried, 0 to 1.
	RetryBudget float64 `ini:"retry-budget" default:"0.1" min:"0" max:"1"`

	// MaxOutput bounds the tokens of one answer and is the estimate for
	// requests that name none.
	MaxOutput int `ini:"max-output" default:"1024" min:"1" max:"1000000"`
}

// Inventory is what operators edit: the fleet, the teams and the rules.
type Inventory struct {
	Zones   []Zone
	Hosts   []Host
	Models  []Model
	Targets []Target
	Teams   []Team
	Routes  []Route
	Rules   Rules
}

// Team returns the team of that name and whether there is one.
func (v *Inventory) Team(name string) (Team, bool) {
	for _, t := range v.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// Target returns the target of that name and whether there is one.
func (v *Inventory) Target(name string) (Target, bool) {
	for _, t := range v.Targets {
		if t.Name == name {
			return t, true
		}
	}
	return Target{}, false
}

// Model returns the model of that name and whether there is one.
func (v *Inventory) Model(name string) (Model, bool) {
	for _, m := range v.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Key is a team's credential. Only the hash of the secret is kept.
type Key struct {
	ID        string `json:"id"`
	Team      string `json:"team"`
	Hash      string `json:"hash"` // hex SHA-256 of the secret
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// Document is one version of the configuration, as it is stored.
type Document struct {
	// Inventory is the operators' text, in INI.
	Inventory string   `json:"inventory"`
	Drained   []string `json:"drained,omitempty"` // target names
	Keys      []Key    `json:"keys,omitempty"`

	Author string    `json:"author"`
	Note   string    `json:"note"`
	Time   time.Time `json:"time"`
}

// Configuration is a document with its version and its parsed inventory.
type Configuration struct {
	Version   int64
	Hash      string // hex SHA-256 of the stored document
	Document  Document
	Inventory Inventory
}
