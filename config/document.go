// Package config holds the operators' configuration: its document, its checks,
// the immutable snapshot that the request path reads, and the repository that
// keeps it in the platform's store.
package config

// ServerKind distinguishes the two kinds of backend server.
type ServerKind string

// The kinds of backend server.
const (
	// KindEngine serves models.
	KindEngine ServerKind = "engine"
	// KindService is a plain application service.
	KindService ServerKind = "service"
)

// Role is the share of a request that an engine works on.
type Role string

// The roles of an engine.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// CapacityClass says how a backend server is paid for.
type CapacityClass string

// The capacity classes.
const (
	ClassStandard CapacityClass = "standard"
	// ClassReclaimable servers cost less and can be taken back a whole failure
	// domain at a time with a few seconds' notice.
	ClassReclaimable CapacityClass = "reclaimable"
)

// Document is the whole operator configuration.
type Document struct {
	Objectives     Objectives      `json:"objectives"`
	Pools          []Pool          `json:"pools"`
	Services       []Service       `json:"services"`
	Workspaces     []Workspace     `json:"workspaces"`
	BackendServers []BackendServer `json:"backend_servers"`
	Rules          []Rule          `json:"rules,omitempty"`
}

// Objectives are the service-level objectives of model requests.
type Objectives struct {
	// FirstTokenSeconds is the longest acceptable time to the first token.
	FirstTokenSeconds float64 `json:"first_token_s"`
	// BetweenTokensSeconds is the longest acceptable time between two tokens.
	BetweenTokensSeconds float64 `json:"between_tokens_s"`
	// TargetRatio is the share of requests that must meet both, for example 0.95.
	TargetRatio float64 `json:"target_ratio"`
}

// Pool is a set of backend servers of one kind that can replace each other.
type Pool struct {
	Name string     `json:"name"`
	Kind ServerKind `json:"kind"`
	// Models are the models that engines of the pool serve.
	Models []string `json:"models,omitempty"`
	// KVBlocks is the KV memory of one engine, in blocks.
	KVBlocks int `json:"kv_blocks,omitempty"`
	// KVBlockTokens is how many tokens one block holds.
	KVBlockTokens int `json:"kv_block_tokens,omitempty"`
}

// Service is a route of plain HTTP calls to a pool.
type Service struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// Open lets calls through without a key.
	Open bool `json:"open,omitempty"`
	// IdempotentMethods are the HTTP methods that may be retried. All other
	// calls are sent at most once.
	IdempotentMethods []string `json:"idempotent_methods,omitempty"`
	// TimeoutSeconds bounds one call.
	TimeoutSeconds float64 `json:"timeout_s"`
}

// Workspace is one business that shares the fleet.
type Workspace struct {
	Name string `json:"name"`
	// Weight is the share of the fleet relative to other workspaces.
	Weight float64 `json:"weight"`
	Keys   []Key   `json:"keys,omitempty"`
	// Services lists the services that the workspace may call; empty means all.
	Services []string `json:"services,omitempty"`
}

// Key is a workspace key. The store holds only its keyed digest.
type Key struct {
	ID string `json:"id"`
	// Digest is the HMAC-SHA-256 of the key under the deployment's key secret,
	// in hexadecimal.
	Digest string `json:"digest"`
	// Withdrawn keys are refused.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// BackendServer is one registered backend server.
type BackendServer struct {
	Name          string        `json:"name"`
	Pool          string        `json:"pool"`
	FailureDomain string        `json:"failure_domain"`
	Address       string        `json:"address"`
	Class         CapacityClass `json:"class,omitempty"`
	// ChecksFencing says that the server refuses orders with an old fencing
	// token. If unset, it is taken to ignore them.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Draining servers get no new work.
	Draining bool `json:"draining,omitempty"`
}

// Rule bounds what a failure domain holds of a pool.
type Rule struct {
	FailureDomain string `json:"failure_domain"`
	Pool          string `json:"pool"`
	// MinServers and MaxServers bound the number of running servers.
	MinServers int `json:"min_servers"`
	MaxServers int `json:"max_servers"`
	// MaxReclaimable bounds how many of them may be reclaimable.
	MaxReclaimable int `json:"max_reclaimable,omitempty"`
	// MinPrefill and MinDecode are floors for the roles of engines.
	MinPrefill int `json:"min_prefill,omitempty"`
	MinDecode  int `json:"min_decode,omitempty"`
}
