package radishspoke

import "time"

// Repeatability tells what may happen to a request more than once.
type Repeatability int

// The kinds of request by what may be repeated.
const (
	// Unsafe requests run at most once for each attempt of a caller.
	Unsafe Repeatability = iota

	// Safe requests may run more than once.
	Safe

	// Streaming requests are answered by a stream of events. They run at
	// most once, unless the route allows a stream to be resumed.
	Streaming
)

// PathRule maps requests by host and path prefix to a group of targets.
type PathRule struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Repeatability

	// Choices share the requests by weight. It is never empty.
	Choices []GroupShare

	// Timeout is the longest time that a request is kept; 0 for no bound.
	Timeout time.Duration

	// Objective is the time to the answer, or to a stream's first event,
	// within which the answer is on time.
	Objective time.Duration

	// Pause is the longest pause between two events of a stream on time.
	Pause time.Duration

	Rank       int // 0 goes first
	Attempts   int // most targets that one attempt of a caller may run on
	Open       bool
	Resumable  bool
	Generation bool // requests carry the sizes and parts of a prompt
}

// GroupShare is a group of targets with its share of a route's requests.
type GroupShare struct {
	Group  string
	Weight float64
}

// Group describes the targets of one service.
type Group struct {
	Name string

	// Engine is nil for plain services.
	Engine *EngineLimits
}

// EngineLimits are the sizes of a group's engines.
type EngineLimits struct {
	Slots int // requests that run at once

	// SwitchTime is how long a change of role takes, once work has ended.
	SwitchTime time.Duration
}

// TeamRule is a team with its limits and the hashes of its keys.
type TeamRule struct {
	Name string
	Rank int

	// Rate is in tokens per second and Burst in tokens, over all hosts; a
	// Rate of 0 means no limit.
	Rate  float64
	Burst float64

	// PlainTokens is the charge for a request that states no size.
	PlainTokens float64

	// Keys are the hashes of the team's keys.
	Keys []string
}

// RoutingTable is one version of what operators allow.
type RoutingTable struct {
	Version int64
	Rules   []PathRule
	Groups  map[string]Group
	Teams   []TeamRule

	// Keyed is set when requests need a key, except on open routes.
	Keyed bool
}

// Instance is one lifetime of a target, as the platform lists it.
type Instance struct {
	ID      string
	Group   string
	Address string // IP:port
	Zone    string
	Slots   int
	Role    Role // PrefillRole or DecodeRole; empty for plain services
	Model   string
	Leaving bool
	Born    time.Time
}

// Generating is what a request to a model says of its prompt.
type Generating struct {
	Model  string
	Prompt int // tokens
	Output int // tokens, at most

	// Parts make up the prompt, in order.
	Parts []PromptPart
}

// PromptPart is a piece of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Handle names the KV cache of a prompt that an engine keeps for another.
type Handle struct {
	Address string // of the engine that has it
	ID      string
}
