package radishspoke

import (
	"strconv"
	"time"
)

// Repeatability tells whether a request may be executed more than once.
type Repeatability int

// The degrees of repeatability.
const (
	// Unsafe requests run at most once per attempt of the caller.
	Unsafe Repeatability = iota

	// Safe requests may run more than once.
	Safe

	// Streaming requests are answered by an event stream. They run at most
	// once, unless their route allows streams to be resumed.
	Streaming
)

// PathRule maps requests, by host and path prefix, to groups of targets.
type PathRule struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Repeatability

	// Choices are the groups that share the requests by weight. It is never
	// empty.
	Choices []GroupShare

	// Timeout is the maximum time for a request, or 0 for no limit.
	Timeout time.Duration

	// Objective is the latency objective: the time within which an answer, or
	// the first event of a stream, must arrive to be on time.
	Objective time.Duration

	// Pause is the maximum time between two consecutive events of a stream that
	// is on time.
	Pause time.Duration

	Rank       int  // scheduling rank; 0 goes first
	Attempts   int  // maximum number of targets that one attempt of the caller may run on
	Open       bool // requests need no key
	Resumable  bool // a broken stream may continue on another target
	Generation bool // requests state the size and the parts of their prompt

	// Regions are the regions to which requests may go. It is empty for all.
	Regions []string
}

// GroupShare is a group of targets and its relative share of the requests of a
// route.
type GroupShare struct {
	Group  string
	Weight float64
}

// CallerLimits bounds what callers may send. A value of 0 means that the operators
// state no limit.
type CallerLimits struct {
	HeaderBytes int           // of the headers of a request
	BodyBytes   int64         // of the body of a request
	HeaderTime  time.Duration // in which the headers must arrive
	IdleTime    time.Duration // after which an idle connection may be closed
}

// Group is the set of targets of one service.
type Group struct {
	Name string

	// Engine is nil for plain services.
	Engine *EngineLimits

	// ColdRate is the rate, in requests per second, that a cold target takes from all
	// senders together. It is 0 if cold targets have no limit.
	ColdRate float64

	// ColdStart is the time for which a target is cold after its start.
	ColdStart time.Duration
}

// TransferTime returns the time in which a KV cache of a number of tokens crosses the
// link of an engine, or 0 if the link is not stated.
func (l *EngineLimits) TransferTime(tokens int) time.Duration {
	if l == nil || l.Link <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) * l.TokenBytes / l.Link * float64(time.Second))
}

// EngineLimits holds the limits of the engines in a group.
type EngineLimits struct {
	Slots int // maximum number of concurrent requests

	// SwitchTime is the duration of a role change, after the running requests
	// have ended.
	SwitchTime time.Duration

	// CacheTokens is the capacity of the KV cache of an engine, TokenBytes the size
	// of one token in it, and Link the rate at which an engine sends or receives a KV
	// cache, in bytes per second. They are 0 if they are not stated.
	CacheTokens int
	TokenBytes  float64
	Link        float64

	// HoldTime is the longest time for which an engine reserves capacity for a
	// request, or 0 if engines take no reservations.
	HoldTime time.Duration
}

// TeamRule holds the limits of a team and the hashes of its keys.
type TeamRule struct {
	Name string
	Rank int // scheduling rank; 0 goes first

	// Rate, in tokens per second, and Burst, in tokens, apply to all hosts
	// together. A Rate of 0 means no limit.
	Rate  float64
	Burst float64

	// PlainTokens is the charge, in tokens, for a request that states no size.
	PlainTokens float64

	// Keys holds the hashes of the team's keys.
	Keys []string

	// Regions are the regions to which requests of the team may go. It is empty for
	// all.
	Regions []string
}

// RoutingTable is one version of the operators' routes, groups and teams.
type RoutingTable struct {
	Version int64
	Rules   []PathRule
	Groups  map[string]Group
	Teams   []TeamRule
	Limits  CallerLimits

	// Skipped says what of this version could not be read, and why. The rest is in force.
	Skipped []string

	// KeysRequired is set if requests need a key, except on open routes.
	KeysRequired bool `json:"Keyed"`
}

// Instance is one run of a target, from its start to its exit, as listed by
// the platform.
type Instance struct {
	ID        string
	Group     string
	Address   string // IP:port
	Zone      string
	Region    string `json:"-"` // of the zone, by the settings of this process; empty if not known
	Slots     int
	Role      Role // PrefillRole or DecodeRole; empty for plain services
	Model     string
	Software  string    // version of the target's software; empty if not known
	Leaving   bool      // shutting down; takes no new requests
	StartTime time.Time `json:"Born"` // start of the run

	// Cold is the time, from the read of the list on, for which the target takes
	// requests at the ColdRate of its group only. It is 0 if the target is not cold.
	Cold time.Duration `json:",omitempty"`
}

// Lifetime identifies one run of the instance, which may start again with its ID.
func (i Instance) Lifetime() string {
	return i.ID + "@" + strconv.FormatInt(i.StartTime.UnixMilli(), 10)
}

// GenerationInfo holds the model and the sizes that a generation request
// states.
type GenerationInfo struct {
	Model  string
	Prompt int // tokens
	Output int // maximum number of tokens

	// Parts are the consecutive parts of the prompt.
	Parts []PromptPart
}

// PromptPart is a part of a prompt that several requests may have in common.
type PromptPart struct {
	ID     string
	Tokens int
}

// Handle identifies the KV cache of a prompt that one engine holds for
// another to fetch.
type Handle struct {
	Address string // of the engine that holds the cache
	ID      string
}
