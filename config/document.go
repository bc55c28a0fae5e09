// Package config defines the operator configuration: the document and its
// validation, the immutable snapshot that the request path reads, and the
// repository that persists it in the platform's store.
package config

// ServerKind is the kind of a backend server and of its pool.
type ServerKind string

// The kinds of backend server.
const (
	// KindEngine is a language-model engine.
	KindEngine ServerKind = "engine"
	// KindService is an application server that handles plain HTTP calls.
	KindService ServerKind = "service"
)

// Role is the stage of a model request that an engine processes.
type Role string

// The roles of an engine. RoleMixed runs both the prefill and the decode stage.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// CapacityClass is the pricing class of a backend server.
type CapacityClass string

// The capacity classes.
const (
	ClassStandard CapacityClass = "standard"
	// ClassReclaimable servers cost less, but the platform can reclaim all of
	// them in a failure domain at once with a few seconds' notice.
	ClassReclaimable CapacityClass = "reclaimable"
)

// Document is the complete operator configuration.
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
	// FirstTokenSeconds is the maximum time to the first token.
	FirstTokenSeconds float64 `json:"first_token_s"`
	// BetweenTokensSeconds is the maximum time between two tokens.
	BetweenTokensSeconds float64 `json:"between_tokens_s"`
	// TargetRatio is the fraction of requests that must meet both objectives, for
	// example 0.95. It must be between 0 and 1, both excluded.
	TargetRatio float64 `json:"target_ratio"`
}

// Pool is a set of interchangeable backend servers of one kind.
type Pool struct {
	Name string     `json:"name"`
	Kind ServerKind `json:"kind"`
	// Models lists the models that every engine of the pool serves.
	Models []string `json:"models,omitempty"`
	// KVBlocks is the size of the KV cache of one engine, in blocks.
	KVBlocks int `json:"kv_blocks,omitempty"`
	// KVBlockTokens is the number of tokens in one KV cache block.
	KVBlockTokens int `json:"kv_block_tokens,omitempty"`
}

// Service routes plain HTTP calls to a pool.
type Service struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// Open allows calls without a workspace key.
	Open bool `json:"open,omitempty"`
	// IdempotentMethods are the HTTP methods that may be retried. All other
	// calls are sent at most once.
	IdempotentMethods []string `json:"idempotent_methods,omitempty"`
	// TimeoutSeconds is the timeout of one call.
	TimeoutSeconds float64 `json:"timeout_s"`
}

// Workspace is the tenant of one business.
type Workspace struct {
	Name string `json:"name"`
	// Weight is the workspace's share of the fleet relative to the weights of
	// other workspaces.
	Weight float64 `json:"weight"`
	Keys   []Key   `json:"keys,omitempty"`
	// Services lists the services that the workspace may call. If it is empty,
	// the workspace may call all of them.
	Services []string `json:"services,omitempty"`
}

// Key is the stored record of a workspace key. It contains only a keyed digest.
type Key struct {
	ID string `json:"id"`
	// Digest is the HMAC-SHA-256 of the key, in hexadecimal. The HMAC key is the
	// key digest secret of the deployment.
	Digest string `json:"digest"`
	// Withdrawn is set if the key has been revoked. Requests with it are rejected.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// BackendServer is one registered backend server.
type BackendServer struct {
	Name          string        `json:"name"`
	Pool          string        `json:"pool"`
	FailureDomain string        `json:"failure_domain"`
	Address       string        `json:"address"`
	Class         CapacityClass `json:"class,omitempty"`
	// ChecksFencing is set if the server rejects orders with an outdated
	// fencing token. If it is unset, the server is assumed not to check tokens.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Draining excludes the server from new requests. Running ones continue.
	Draining bool `json:"draining,omitempty"`
}

// Rule limits the number of servers of one pool in one failure domain.
type Rule struct {
	FailureDomain string `json:"failure_domain"`
	Pool          string `json:"pool"`
	// MinServers and MaxServers limit the number of running servers.
	MinServers int `json:"min_servers"`
	MaxServers int `json:"max_servers"`
	// MaxReclaimable is the maximum number of them in ClassReclaimable.
	MaxReclaimable int `json:"max_reclaimable,omitempty"`
	// MinPrefill and MinDecode are the minimum numbers of engines per role.
	MinPrefill int `json:"min_prefill,omitempty"`
	MinDecode  int `json:"min_decode,omitempty"`
}
